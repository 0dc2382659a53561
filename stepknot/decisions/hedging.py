"""Hedging: sends a second attempt of a part whose first one is overdue, or whose server is unresponsive.

The settings are those of `stepknot/interface.py`; hedges are sent only where `second_copies` allows them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from functools import partial

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.health import FailureMemory
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, AttemptKey, Capsule, Part, Query
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import EPSILON, Turn

OVERDUE_MEANS = 4.0  # mean response times after which an attempt is overdue
# A hedge of an overdue attempt is sent only to a replica below this fraction of beta, so that hedges never
# add to an overload.
HEDGE_SHARE = 0.25
# The same fraction for a hedge of an attempt at an unresponsive server. It is higher because the first
# attempt has probably done little work.
UNRESPONSIVE_HEDGE_SHARE = 0.4

SendAgain = Callable[[Query, Part, float], None]  # the last argument is a factor applied to beta


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
        """Set the function that sends hedges, which are watched like first attempts.

        It is called before the first event.

        Args:
            send_again: Sends a part to another replica, if that is allowed.
            in_flight: The attempts in flight.
        """
        self._send_again, self._in_flight = send_again, in_flight

    def watch_attempt(self, key: AttemptKey, attempt: Attempt) -> None:
        """Set a timer for when an attempt becomes overdue, if that is within its wait."""
        overdue = OVERDUE_MEANS * self._throttle.estimate(attempt.capsule)[0]
        if overdue < attempt.wait:
            self._timers.set(self._turn.now + overdue, partial(self._on_overdue, key))

    def watch_server(self, capsule: Capsule, since: float) -> None:
        """Set a timer for when the server becomes unresponsive if it sends nothing after `since`."""
        if not capsule.has_response_timer:
            capsule.has_response_timer = True
            threshold = self._outliers.unresponsive.threshold()
            self._timers.set(since + threshold, partial(self._on_no_response, capsule))

    def _on_overdue(self, key: AttemptKey) -> None:
        """Hedge an overdue attempt: its server may be unresponsive or unreachable, or its answer lost.

        A failure is recorded only if the server has served nothing since the attempt was sent; otherwise it
        may just have a queue, or have lost only this part.
        """
        attempt = self._in_flight.get(key)
        if attempt is None:
            return
        query, part, capsule = attempt.query, attempt.part, attempt.capsule
        attempt.is_overdue = True
        self._outliers.shared_faults.record(attempt, is_lost=True)
        self._outliers.class_losses.record(attempt, is_lost=True)
        if capsule.last_served_at < attempt.sent_at:
            self._failures.record(capsule)
        if part not in query.parts or part.is_served:
            return
        if self._turn.settings.limits.second_copies:
            self._send_again(query, part, HEDGE_SHARE)

    def _on_no_response(self, capsule: Capsule) -> None:
        """Hedge the parts at an unresponsive server: their answers would be late after even a short pause.

        The capsule of a server that has restarted shares its calls with the new capsule. If none of them is
        its own, it is not watched any longer.
        """
        capsule.has_response_timer = False
        if not capsule.calls or capsule.unanswered_since == math.inf:
            return
        unanswered_for = self._turn.now - capsule.unanswered_since
        if unanswered_for < self._outliers.unresponsive.threshold() - EPSILON:
            self.watch_server(capsule, capsule.unanswered_since)
            return
        if not capsule.attempts:
            return
        for attempt in list(capsule.attempts.values()):
            query, part = attempt.query, attempt.part
            is_unhedged = (
                part in query.parts and not part.is_served and part.attempts_in_flight == 1
            )
            if is_unhedged and self._turn.settings.limits.second_copies:
                self._send_again(query, part, UNRESPONSIVE_HEDGE_SHARE)
        self.watch_server(capsule, self._turn.now)
