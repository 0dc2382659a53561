"""The send budget: bytes a second on the long run, with a burst on top after quiet times (a token bucket)."""

from __future__ import annotations

import math

# Shares of the burst that may be borrowed beyond what is saved.
ANSWER_BORROW = 0.25
HEARTBEAT_BORROW = 1.0


class SendBudget:
    """Invariant: from any moment on, no more than `rate` times the seconds passed, plus two bursts, is ever granted."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate  # bytes a second
        self.burst = burst  # bytes
        self.saved = burst  # bytes; below zero: borrowed
        self.updated_at = -math.inf

    def grant(self, now: float, size: int, borrow: float) -> bool:
        """Whether so many bytes may be sent; they are taken off then.

        Args:
            now: Seconds.
            size: Bytes.
            borrow: The share of the burst by which they may exceed what is saved. A negative one is the share that
                must be left.
        """
        self.saved = min(self.burst, self.saved + self.rate * max(now - self.updated_at, 0.0))
        self.updated_at = now
        if self.saved - size < -borrow * self.burst:
            return False
        self.saved -= size
        return True
