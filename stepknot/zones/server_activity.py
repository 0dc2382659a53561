"""Tracks when each server last served an attempt and the mean answer time, to decide whether an attempt is lost."""

from __future__ import annotations

import math
from collections.abc import Container

from stepknot.interface import Outcome

# A cancelled attempt counts as lost after this multiple of the mean answer time.
LOST_ANSWER_TIMES = 5.0
MEAN_WEIGHT = 0.05  # weight of a new answer in the moving average of the answer time
FAILED_OUTCOMES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.NOT_CONNECTED})


class ServerActivity:
    """Tracks the served attempts of all servers."""

    __slots__ = ("_last_served", "_mean_seconds")

    def __init__(self) -> None:
        self._last_served: dict[str, float] = {}
        self._mean_seconds = 0.0  # mean answer time; 0 before the first answer

    def keep_only(self, servers: Container[str]) -> None:
        """Remove all servers but the given ones, which are those listed now."""
        self._last_served = {
            server: at for server, at in self._last_served.items() if server in servers
        }

    def record_served(self, now: float, server: str, seconds: float) -> None:
        """Record that a server answered an attempt after `seconds`."""
        self._last_served[server] = now
        weight = MEAN_WEIGHT if self._mean_seconds else 1.0
        self._mean_seconds += weight * (seconds - self._mean_seconds)

    def served_since(self, server: str, since: float) -> bool:
        """Return whether a server has served an attempt since the time `since`; such a server is merely slow."""
        return self._last_served.get(server, -math.inf) >= since

    def is_lost(self, outcome: Outcome, seconds: float, served_since_sent: bool) -> bool:
        """Return whether an attempt with this outcome and duration counts as lost."""
        if outcome in FAILED_OUTCOMES:
            return True
        if served_since_sent:
            return False
        if outcome is Outcome.TIMED_OUT:
            return True
        was_overdue = self._mean_seconds > 0 and seconds >= LOST_ANSWER_TIMES * self._mean_seconds
        return outcome is Outcome.CANCELLED and was_overdue
