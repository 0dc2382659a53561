"""Hedging: a second attempt of a part whose first one is overdue, or whose server is unresponsive.

The settings are those of `stepknot/interface.py`; hedges are sent only where `second_copies` allows them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.health import FailureMemory
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, AttemptKey, Capsule, Part, Query
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import EPSILON, Turn

OVERDUE_MEANS = 4.0  # mean times after which an attempt is overdue
# Of beta: a hedge of an overdue attempt goes only to a replica under it, so that hedges never feed a jam.
HEDGE_SHARE = 0.25
# Of beta, for what is out at an unresponsive server: its first attempt hardly ran.
UNRESPONSIVE_HEDGE_SHARE = 0.4

SendAgain = Callable[[Query, Part, float], None]  # with a factor on beta


class Hedging:
    """Watches attempts and servers by timers and sends hedges."""

    __slots__ = (
        "_failures",
        "_in_flight",
        "_outliers",
        "_send_again",
        "_throttle",
        "_timers",
        "_turn",
    )

    def __init__(
        self,
        turn: Turn,
        timers: Timers,
        throttle: Throttle,
        failures: FailureMemory,
        outliers: OutlierDetection,
    ) -> None:
        self._turn, self._timers, self._throttle = turn, timers, throttle
        self._failures, self._outliers = failures, outliers

    def connect(self, send_again: SendAgain, in_flight: Mapping[AttemptKey, Attempt]) -> None:
        """Set what sends the hedges, before the first event; a hedge is watched like any attempt.

        Args:
            send_again: Sends a part to another replica, if that is allowed.
            in_flight: The attempts in flight.
        """
        self._send_again, self._in_flight = send_again, in_flight

    def watch_attempt(self, key: AttemptKey, attempt: Attempt) -> None:
        """Look at an attempt when it becomes overdue, if that is within its wait."""
        overdue = OVERDUE_MEANS * self._throttle.estimate(attempt.capsule)[0]
        if overdue < attempt.wait:
            self._timers.set(self._turn.now + overdue, partial(self._on_overdue, key))

    def watch_server(self, capsule: Capsule, since: float) -> None:
        """Look at a server once nothing came back from it for the patience that all servers get."""
        if not capsule.has_silence_timer:
            capsule.has_silence_timer = True
            patience = self._outliers.unresponsive.patience()
            self._timers.set(since + patience, partial(self._on_silence, capsule))

    def _on_overdue(self, key: AttemptKey) -> None:
        """Guard against unresponsive servers, cut links and lost answers.

        Only a server that has answered nothing since is held to be failing; another one may have a queue, or
        lost just this part.
        """
        attempt = self._in_flight.get(key)
        if attempt is None:
            return
        query, part, capsule = attempt.query, attempt.part, attempt.capsule
        attempt.is_overdue = True
        self._outliers.shared_faults.note(attempt, is_lost=True)
        self._outliers.class_losses.note(attempt, is_lost=True)
        if capsule.answered_at < attempt.sent_at:
            self._failures.record(capsule)
        if part not in query.parts or part.is_served:
            return
        if self._turn.settings.limits.second_copies:
            self._send_again(query, part, HEDGE_SHARE)

    def _on_silence(self, capsule: Capsule) -> None:
        """Guard against servers that stand still for a moment: what is out there cannot be in time."""
        capsule.has_silence_timer = False
        if not capsule.calls:
            return
        silent_for = self._turn.now - capsule.unanswered_since
        if silent_for < self._outliers.unresponsive.patience() - EPSILON:
            self.watch_server(capsule, capsule.unanswered_since)
            return
        for attempt in [each for each in self._in_flight.values() if each.capsule is capsule]:
            query, part = attempt.query, attempt.part
            is_alone = part in query.parts and not part.is_served and part.attempts_out == 1
            if is_alone and self._turn.settings.limits.second_copies:
                self._send_again(query, part, UNRESPONSIVE_HEDGE_SHARE)
        self.watch_server(capsule, self._turn.now)
