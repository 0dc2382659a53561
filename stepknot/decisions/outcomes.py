"""Outcomes of attempts: updates the records of the server, then retries the part or concludes its query.

The events are `AttemptEnded` of `stepknot/interface.py`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from stepknot.decisions.answers import AnswerAssembly
from stepknot.decisions.capsule import FLEET_SAMPLE_WEIGHT, SERVER_SAMPLE_WEIGHT, Throttle
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.health import MAX_REMEMBERED_ERRORS, FailureMemory, LoadReports
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, Capsule, Part
from stepknot.decisions.retries import Retries
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.turn import Turn
from stepknot.interface import AttemptEnded, Outcome

REPLIES = (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED)  # the server sent a response
# The elapsed time is a lower bound of the response time, which was not observed.
CENSORED = (Outcome.TIMED_OUT, Outcome.CANCELLED)
NO_FAILURES = (Outcome.SERVED, Outcome.CANCELLED, Outcome.NOT_SENT)
FINAL = (Outcome.NOT_SENT, Outcome.TIMED_OUT)  # the part is not sent again: it gets a single wait


class OutcomeRecorder:
    """Updates a server's records with the end of an attempt."""

    __slots__ = (
        "_class_losses",
        "_failures",
        "_outage",
        "_shared_faults",
        "_slow_start",
        "_throttle",
        "_turn",
        "_unresponsive",
    )

    def __init__(
        self,
        turn: Turn,
        throttle: Throttle,
        slow_start: SlowStart,
        failures: FailureMemory,
        outliers: OutlierDetection,
    ) -> None:
        self._turn, self._throttle = turn, throttle
        self._slow_start, self._failures = slow_start, failures
        self._unresponsive, self._outage = outliers.unresponsive, outliers.outage
        self._class_losses, self._shared_faults = outliers.class_losses, outliers.shared_faults

    def record(self, attempt: Attempt, event: AttemptEnded, listed: dict[str, Capsule]) -> None:
        """Record the end of an attempt that is no longer in flight; `listed` holds all listed servers."""
        outcome, capsule = event.outcome, attempt.capsule
        self._unresponsive.record_end(capsule, outcome in REPLIES)
        self._record_time(attempt, event)
        if outcome is Outcome.SERVED:
            if self._outage.is_present(len(listed)):
                self._forget_means(listed.values())
            self._record_success(attempt, event.elapsed)
        elif outcome not in NO_FAILURES:
            has_served_since = capsule.last_served_at >= attempt.sent_at
            if not (outcome is Outcome.TIMED_OUT and has_served_since):
                self._record_failure(attempt, outcome)
        if outcome is Outcome.TIMED_OUT and not attempt.is_overdue:
            self._class_losses.record(attempt, is_lost=True)

    def _record_time(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the mean response times of the server and the fleet.

        If the attempt timed out or was cancelled, its elapsed time is only a lower bound of the response
        time. It is limited to `aim`, and is ignored unless it exceeds the mean.
        """
        is_served, elapsed = event.outcome is Outcome.SERVED, event.elapsed
        if not is_served:
            if event.outcome not in CENSORED:
                return
            elapsed = min(elapsed, attempt.query.query_class.aim)
        capsule, fleet = attempt.capsule, self._throttle.fleet
        if is_served or elapsed > capsule.mean_time:
            self._throttle.record_response(
                capsule, elapsed, attempt.in_flight_at_send, SERVER_SAMPLE_WEIGHT
            )
        if is_served or elapsed > fleet.mean_time:
            self._throttle.record_response(
                fleet, elapsed, attempt.in_flight_at_send, FLEET_SAMPLE_WEIGHT
            )

    def _forget_means(self, servers: Iterable[Capsule]) -> None:
        """Reset the means of all servers: times from an outage of all servers describe none of them."""
        for capsule in (*servers, self._throttle.fleet):
            capsule.responses = 0
            capsule.last_response_at = -math.inf

    def _record_success(self, attempt: Attempt, elapsed: float) -> None:
        capsule = attempt.capsule
        self._outage.lost_parts = 0
        capsule.last_served_at = capsule.last_used_at = self._turn.now
        capsule.latest_served_sent_at = max(capsule.latest_served_sent_at, attempt.sent_at)
        work = elapsed / max(attempt.in_flight_at_send, 1.0)
        self._slow_start.learn_work(attempt.query.query_class.name, work)
        self._class_losses.record(attempt, is_lost=False)
        self._shared_faults.record(attempt, is_lost=False)

    def _record_failure(self, attempt: Attempt, outcome: Outcome) -> None:
        max_remembered = math.inf if outcome in CENSORED else MAX_REMEMBERED_ERRORS
        self._failures.record(attempt.capsule, max_remembered)
        self._shared_faults.record(attempt, is_lost=True)
        self._outage.lost_parts += 1


class AttemptOutcomes:
    """Ends attempts: records each one, then retries its part or concludes its query."""

    __slots__ = ("_answers", "_endpoints", "_recorder", "_reports", "_retries")

    def __init__(
        self,
        endpoints: EndpointList,
        reports: LoadReports,
        recorder: OutcomeRecorder,
        retries: Retries,
        answers: AnswerAssembly,
    ) -> None:
        self._endpoints, self._reports = endpoints, reports
        self._recorder, self._retries, self._answers = recorder, retries, answers

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """End an attempt; an unknown attempt is ignored."""
        attempt = self._retries.dispatcher.end((event.part_id, event.attempt))
        if attempt is None:
            return
        part, query = attempt.part, attempt.query
        part.attempts_in_flight -= 1
        self._recorder.record(attempt, event, self._endpoints.capsules)
        self._reports.record(attempt.capsule, event.load)
        self._update_part(part, event.outcome)
        if part not in query.parts or query.number in self._answers.unplaced:
            return
        if not part.is_served and not part.attempts_in_flight and event.outcome not in FINAL:
            self._retries.send_again(query, part)
        self._answers.on_part_ended(query)

    def _update_part(self, part: Part, outcome: Outcome) -> None:
        if outcome is Outcome.SERVED:
            part.is_served = True
        if not outcome.never_ran:
            part.may_have_run = True
        if not part.attempts_in_flight and not part.may_have_run:
            part.may_run_since = None
