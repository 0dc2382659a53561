"""The send budget: a token bucket with a long-term rate in bytes a second, and a burst after idle times."""

from __future__ import annotations

import math

# Shares of the burst that may be borrowed when no bytes are available any more.
ANSWER_BORROW = 0.25
HEARTBEAT_BORROW = 1.0


class SendBudget:
    """Limits the bytes sent. In any interval it grants at most `rate` times its seconds, plus two bursts."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate  # bytes a second
        self.burst = burst  # bytes
        self.available = burst  # bytes; negative if bytes are borrowed
        self.updated_at = -math.inf

    def grant(self, now: float, size: int, borrow: float) -> bool:
        """Decide whether a datagram may be sent, and deduct its size if so.

        Args:
            now: Seconds.
            size: Size of the datagram in bytes.
            borrow: The share of the burst by which the size may exceed the available bytes. A negative value is the
                share that must remain available.

        Returns:
            Whether the datagram may be sent.
        """
        self.available = min(
            self.burst, self.available + self.rate * max(now - self.updated_at, 0.0)
        )
        self.updated_at = now
        if self.available - size < -borrow * self.burst:
            return False
        self.available -= size
        return True
