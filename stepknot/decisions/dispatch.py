"""Dispatch of attempts: plan one at a server with its wait, and send it. Types: `stepknot/interface.py`."""

from __future__ import annotations

import math

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.hedging import Hedging
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, AttemptKey, Part, Query
from stepknot.decisions.selection import ReplicaSelector
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import Close, Effect, Send


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
        self.in_flight: dict[AttemptKey, Attempt] = {}  # sent and not ended

    def plan(
        self, query: Query, part: Part, share: float = 1.0, is_trial: bool = False
    ) -> Attempt | None:
        """Count an attempt out, at a replica that has had none if there is one.

        Args:
            query: The part's query.
            part: The part.
            share: Factor on beta.
            is_trial: As in `Throttle.part_wait`.

        Returns:
            The attempt, to be sent or withdrawn; None where the replica is at its bound or bypassed.
        """
        choose = self._selector.choose
        capsule = choose(query, part.shard, part.servers, share, is_trial) or choose(
            query, part.shard, [], share, is_trial
        )
        if capsule is None:
            return None
        wait = self._throttle.part_wait(query, capsule, share, is_trial)
        if wait <= 0:
            return None
        call = self._throttle.count_out(capsule)
        self._slow_start.spend(capsule, query.query_class.name)
        out = len(capsule.calls) + self._throttle.others_out(capsule)
        now = self._turn.now
        if query.query_class.late_value and wait >= query.wait_end - now - EPSILON:
            wait = query.answer_by - now  # not shortened: still of use after the wait's end
        return Attempt(capsule, call, part, query, out, now, wait)

    def withdraw(self, attempt: Attempt) -> None:
        """Take back a planned attempt, which is not sent."""
        self._throttle.release(attempt.capsule, attempt.call)
        self._slow_start.refund(attempt.capsule)

    def send(self, attempt: Attempt) -> None:
        """Send a planned attempt."""
        part, capsule, now = attempt.part, attempt.capsule, self._turn.now
        actions, server = self._turn.actions, capsule.entry.server
        number = len(part.servers)
        key = (part.part_id, number)
        self.in_flight[key] = attempt
        not_after = self._latest_write(attempt)
        part.servers.append(server)
        part.attempts_out += 1
        if part.may_run_since is None:
            part.may_run_since = now
        if attempt.call.on_idle_connection and self._shared_faults.lose_idle_connections():
            attempt.call.on_idle_connection = False
            actions.append(Close(server))
        capsule.last_used_at = now
        capsule.unanswered_since = min(capsule.unanswered_since, now)
        self._hedging.watch_server(capsule, now)
        actions.append(Send(part.part_id, server, attempt.wait, number, not_after))
        self._hedging.watch_attempt(key, attempt)

    def _latest_write(self, attempt: Attempt) -> float:
        """Until when a part may be written.

        A connection may come up late, or take nothing: the repeat window of a part that may have run can
        close before the part is on the wire.
        """
        kind, since = attempt.query.query_class, attempt.part.may_run_since
        if kind.effect is not Effect.KEYED or since is None:
            return math.inf
        return since + kind.repeat_window
