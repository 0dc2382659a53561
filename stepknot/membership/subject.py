"""The state that an observer keeps for one member that it observes (its subject, in the terms of Rapid)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Subject:
    """Keeps an observer's observations of one subject. Times are seconds of the observer's clock; -inf: never."""

    observed_since: float  # earliest start of the time without a sign of life
    last_received: float = -math.inf  # when this member last received a datagram from the subject
    last_sign: float = -math.inf  # the latest sign of life, received here or reported by a helper
    last_sign_source: str = ""
    # When the subject last received something from this member, according to the subject's heartbeats.
    last_received_by_it: float = -math.inf
    next_heartbeat: float = 0.0
    next_probe: float = 0.0
    # The helper that last reported a fresh sign of life. It may reach the subject across a partition, so it is asked
    # first the next time.
    last_reporter: str = ""
    differs_since: float = math.inf  # since when the subject's digest differs from this view's
    # The helpers whose answers left the subject unresponsive, and when each of them last answered.
    confirmations: dict[str, float] = field(default_factory=dict)

    def record_sign_of_life(self, at: float, source: str) -> None:
        """Store a sign of life, if it is the latest one."""
        if at > self.last_sign:
            self.last_sign, self.last_sign_source = at, source

    def unresponsive_time(self, now: float) -> float:
        """Seconds without a sign of life."""
        return now - max(self.last_sign, self.observed_since)

    def shift(self, gap: float) -> None:
        """Shift all times by the length of a pause of the observer's process, so that the pause does not count."""
        self.observed_since += gap
        self.last_received += gap
        self.last_sign += gap
        self.last_received_by_it += gap
        self.confirmations.clear()

    def drop_confirmations(self, before: float) -> None:
        """Remove the confirmations that are older than `before`."""
        for name in [name for name, at in self.confirmations.items() if at < before]:
            del self.confirmations[name]
