"""What a member may send: so many bytes a second on the long run, and a burst on top after quiet times."""

from __future__ import annotations

import math


class Rate:
    """Invariant: from any moment on, no more than `rate` times the seconds passed, and two bursts, is ever granted."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.saved, self.at = burst, -math.inf

    def grant(self, now: float, size: int, borrow: float) -> bool:
        """Whether so many bytes may go; `borrow`: the share of the burst by which they may exceed what is saved, or
        that must be left of it, where it is under 0."""
        self.saved = min(self.burst, self.saved + self.rate * max(now - self.at, 0.0))
        self.at = now
        if self.saved - size < -borrow * self.burst:
            return False
        self.saved -= size
        return True
