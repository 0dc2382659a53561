"""What an observer knows of one member that it observes (its subject, in the terms of Rapid)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Subject:
    """Times are seconds of the observer's clock; -inf: never."""

    observed_since: float  # silence is counted from then
    last_received: float = -math.inf  # a datagram came from it to this member
    last_sign: float = -math.inf  # the youngest sign of life, received here or reported by a helper
    last_sign_source: str = ""
    last_received_by_it: float = -math.inf  # it received something from here, as it says itself
    next_heartbeat: float = 0.0
    next_probe: float = 0.0
    # Who reported a sign of life when nothing was received here: a way round a cut, asked first the next time.
    last_reporter: str = ""
    differs_since: float = math.inf  # since when its view's digest differs from the one here
    # Helpers that had no younger observation, and when they said so.
    confirmations: dict[str, float] = field(default_factory=dict)

    def note_sign(self, at: float, source: str) -> None:
        """Take a sign of life, where it is the youngest."""
        if at > self.last_sign:
            self.last_sign, self.last_sign_source = at, source

    def silence(self, now: float) -> float:
        """Seconds without a sign of life."""
        return now - max(self.last_sign, self.observed_since)

    def shift(self, gap: float) -> None:
        """Move all times by the seconds in which the observer itself stood still."""
        self.observed_since += gap
        self.last_received += gap
        self.last_sign += gap
        self.last_received_by_it += gap
        self.confirmations.clear()

    def drop_confirmations(self, before: float) -> None:
        """Forget confirmations that are older."""
        for name in [name for name, at in self.confirmations.items() if at < before]:
            del self.confirmations[name]
