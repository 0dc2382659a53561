"""What is asked of this broker: parts a second, and the largest query lately."""

from __future__ import annotations

from stepknot.zones.decay import DecayingRate, DecayingSum

DEMAND_MEMORY = 4.0  # seconds over which demand is seen: shorter, and each lump looks like overload
LARGEST_QUERY_HALF_LIFE = 10.0  # seconds


class Demand:
    """Demand of all priorities."""

    __slots__ = ("_largest", "_rate", "largest_query")

    def __init__(self) -> None:
        self._rate = DecayingRate(DEMAND_MEMORY)
        self._largest = DecayingSum(LARGEST_QUERY_HALF_LIFE)
        self.largest_query = 0.0  # parts, as of the last `advance`

    def advance(self, now: float) -> None:
        """Let the largest query be forgotten slowly."""
        self.largest_query = max(self._largest.value_at(now), 1.0)

    def record(self, now: float, parts: int) -> None:
        """A query of so many parts has arrived."""
        self._rate.add(now, parts)
        if parts > self.largest_query:
            self._largest = DecayingSum(LARGEST_QUERY_HALF_LIFE, parts, now)
            self.largest_query = parts

    def rate_at(self, now: float) -> float:
        """Parts a second."""
        return self._rate.rate_at(now)
