"""The retry budget limits retries and hedges within a time window. Rules: `stepknot/interface.py`."""

from __future__ import annotations

from collections import deque

from stepknot.decisions.turn import Turn

RESERVED_BUDGET_SHARE = 0.5  # reserved for parts that their query needs to reach its floor


class RetryBudget:
    """Limits further attempts within a window to a share of the queries and parts that arrived in it."""

    __slots__ = ("_turn", "arrivals", "retries")

    def __init__(self, turn: Turn) -> None:
        self._turn = turn
        self.arrivals: deque[float] = deque()  # when each query or part arrived
        self.retries: deque[float] = deque()  # when each further attempt (retry or hedge) was sent

    def record_arrival(self) -> None:
        """Count a query or a part."""
        if self._turn.settings.rules.extra_window > 0:
            self._drop_earlier(self.arrivals)
            self.arrivals.append(self._turn.now)

    def allows(self, is_needed: bool) -> bool:
        """Whether one more attempt is within the budget.

        Args:
            is_needed: Whether the query cannot reach its floor without the part.
        """
        rules = self._turn.settings.rules
        for times in (self.arrivals, self.retries):
            self._drop_earlier(times)
        allowed = rules.extra_floor + rules.extra_share * len(self.arrivals)
        if not is_needed:
            allowed *= 1 - RESERVED_BUDGET_SHARE
        return rules.extra_window <= 0 or len(self.retries) + 1 <= allowed

    def spend(self) -> None:
        """Count a further attempt."""
        self.retries.append(self._turn.now)

    def _drop_earlier(self, times: deque[float]) -> None:
        """Drop the times before the window."""
        since = self._turn.now - self._turn.settings.rules.extra_window
        while times and times[0] <= since:
            times.popleft()
