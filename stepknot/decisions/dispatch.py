"""Dispatch: chooses server and wait of each attempt, and sends it. Types: `stepknot/interface.py`."""

from __future__ import annotations

import math

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.hedging import Hedging
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, AttemptKey, Part, Query
from stepknot.decisions.selection import ReplicaSelector
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import Close, Effect, QueryClass, Send


class Dispatcher:
    """Plans attempts and sends them."""

    __slots__ = (
        "_hedging",
        "_selector",
        "_shared_faults",
        "_slow_start",
        "_throttle",
        "_turn",
        "in_flight",
    )

    def __init__(
        self,
        turn: Turn,
        throttle: Throttle,
        slow_start: SlowStart,
        selector: ReplicaSelector,
        outliers: OutlierDetection,
        hedging: Hedging,
    ) -> None:
        self._turn, self._throttle, self._slow_start = turn, throttle, slow_start
        self._selector, self._hedging = selector, hedging
        self._shared_faults = outliers.shared_faults
        self.in_flight: dict[AttemptKey, Attempt] = {}  # attempts that were sent and have not ended

    def plan(
        self, query: Query, part: Part, beta_factor: float = 1.0, is_trial: bool = False
    ) -> Attempt | None:
        """Choose a replica for an attempt and count it as in flight there.

        A replica that has had no attempt of the part is preferred.

        Args:
            query: The part's query.
            part: The part.
            beta_factor: Factor applied to beta.
            is_trial: As in `Throttle.part_wait`.

        Returns:
            The attempt, to be sent or withdrawn; None if the replica is at beta or bypassed.
        """
        choose = self._selector.choose
        capsule = choose(query, part.shard, part.servers, beta_factor, is_trial) or choose(
            query, part.shard, [], beta_factor, is_trial
        )
        if capsule is None:
            return None
        wait = self._throttle.part_wait(query, capsule, beta_factor, is_trial)
        if wait <= 0:
            return None
        call = self._throttle.add_part(capsule)
        self._slow_start.spend(capsule, query.query_class.name)
        in_flight = len(capsule.calls) + self._throttle.others_in_flight(capsule)
        now = self._turn.now
        if query.query_class.late_value and wait >= query.wait_end - now - EPSILON:
            wait = query.answer_by - now  # a part with a full wait is still of use after its end
        return Attempt(capsule, call, part, query, in_flight, now, wait)

    def withdraw(self, attempt: Attempt) -> None:
        """Drop a planned attempt instead of sending it."""
        self._throttle.release(attempt.capsule, attempt.call)
        self._slow_start.refund(attempt.capsule)

    def send(self, attempt: Attempt) -> None:
        """Send a planned attempt."""
        part, capsule, now = attempt.part, attempt.capsule, self._turn.now
        query_class = attempt.query.query_class
        actions, server = self._turn.actions, capsule.entry.server
        number = len(part.servers)
        key = (part.part_id, number)
        self.in_flight[key] = capsule.attempts[key] = attempt
        part.servers.append(server)
        part.attempts_in_flight += 1
        if part.may_run_since is None:
            part.may_run_since = now
        not_after = _write_deadline(query_class, part.may_run_since)
        if attempt.call.on_idle_connection and self._shared_faults.should_close_idle_connections():
            attempt.call.on_idle_connection = False
            actions.append(Close(server))
        capsule.last_used_at = now
        capsule.unanswered_since = min(capsule.unanswered_since, now)
        self._hedging.watch_server(capsule, now)
        actions.append(Send(part.part_id, server, attempt.wait, number, not_after))
        self._hedging.watch_attempt(key, attempt)

    def end(self, key: AttemptKey) -> Attempt | None:
        """Remove an attempt from those in flight; returns it, or None if it is unknown."""
        attempt = self.in_flight.pop(key, None)
        if attempt is not None:
            del attempt.capsule.attempts[key]
            self._throttle.release(attempt.capsule, attempt.call)
        return attempt


def _write_deadline(query_class: QueryClass, may_run_since: float) -> float:
    """The time after which a part must not be written to a connection.

    A connection may be established late or may accept no data for a while, so the repeat window can close
    before the part is written. The first attempt has a deadline, too: a later one may run before it.
    """
    if query_class.effect is not Effect.KEYED:
        return math.inf
    return may_run_since + query_class.repeat_window
