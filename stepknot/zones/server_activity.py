"""When each server last served, and how long an answer takes: whether a cancelled attempt counts as lost."""

from __future__ import annotations

import math
from collections.abc import Container

from stepknot.interface import Outcome

SILENT_ANSWER_TIMES = 5.0  # mean answer times after which a cancelled attempt counts as lost
MEAN_WEIGHT = 0.05  # of an answer in the mean time
FAILED_OUTCOMES = frozenset({Outcome.ERROR, Outcome.RESET, Outcome.NOT_CONNECTED})


class ServerActivity:
    """Served attempts of all servers."""

    __slots__ = ("_last_served", "_mean_seconds")

    def __init__(self) -> None:
        self._last_served: dict[str, float] = {}
        self._mean_seconds = 0.0  # of an answer; 0: none yet

    def keep_only(self, servers: Container[str]) -> None:
        """Forget the servers that are not listed any more."""
        self._last_served = {
            server: at for server, at in self._last_served.items() if server in servers
        }

    def record_served(self, now: float, server: str, seconds: float) -> None:
        """A server answered an attempt after this long."""
        self._last_served[server] = now
        weight = MEAN_WEIGHT if self._mean_seconds else 1.0
        self._mean_seconds += weight * (seconds - self._mean_seconds)

    def served_since(self, server: str, since: float) -> bool:
        """Whether a server served something since: one that did is merely slow."""
        return self._last_served.get(server, -math.inf) >= since

    def is_lost(self, outcome: Outcome, seconds: float, served_meanwhile: bool) -> bool:
        """Whether an attempt that ended so, after so long, counts as lost."""
        if outcome in FAILED_OUTCOMES:
            return True
        if served_meanwhile:
            return False
        if outcome is Outcome.TIMED_OUT:
            return True
        was_silent = self._mean_seconds > 0 and seconds >= SILENT_ANSWER_TIMES * self._mean_seconds
        return outcome is Outcome.CANCELLED and was_silent
