"""Sums and rates that decay with time."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class DecayingSum:
    """A sum that decays by half every `half_life` seconds."""

    half_life: float
    value: float = 0.0  # as of `updated_at`
    updated_at: float = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount at time `now`."""
        if now == self.updated_at:
            self.value += amount
            return
        self.value = self.value_at(now) + amount
        self.updated_at = max(now, self.updated_at)

    def value_at(self, now: float) -> float:
        """Return the sum, decayed to `now`."""
        return self.value * math.exp2(min(0.0, (self.updated_at - now) / self.half_life))


@dataclass(slots=True)
class DecayingRate:
    """Events per second, as an exponential moving average with a time constant of `memory` seconds."""

    memory: float
    value: float = 0.0  # as of `updated_at`
    updated_at: float | None = None

    def add(self, now: float, amount: float) -> None:
        """Count `amount` events at time `now`."""
        if now == self.updated_at:
            self.value += amount / self.memory
            return
        self.value = self.rate_at(now) + amount / self.memory
        self.updated_at = now if self.updated_at is None else max(now, self.updated_at)

    def rate_at(self, now: float) -> float:
        """Return the events per second as of `now`."""
        if self.updated_at is None:
            return 0.0
        return self.value * math.exp(min(0.0, (self.updated_at - now) / self.memory))
