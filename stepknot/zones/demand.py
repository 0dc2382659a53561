"""The demand on this broker: parts requested per second, and the size of the largest recent query."""

from __future__ import annotations

from stepknot.zones.decay import DecayingRate, DecayingSum

DEMAND_TIME_CONSTANT = 4.0  # seconds; with a shorter one, each short burst looks like overload
LARGEST_QUERY_HALF_LIFE = 10.0  # seconds


class Demand:
    """Tracks the demand of all priorities together."""

    __slots__ = ("_largest", "_rate", "largest_query")

    def __init__(self) -> None:
        self._rate = DecayingRate(DEMAND_TIME_CONSTANT)
        self._largest = DecayingSum(LARGEST_QUERY_HALF_LIFE)
        self.largest_query = 0.0  # parts, as of the last `advance` or `record`

    def advance(self, now: float) -> None:
        """Decay the size of the largest query to `now`."""
        self.largest_query = max(self._largest.value_at(now), 1.0)

    def record(self, now: float, parts: int) -> None:
        """Record the arrival of a query with this number of parts."""
        self._rate.add(now, parts)
        if parts > self.largest_query:
            self._largest = DecayingSum(LARGEST_QUERY_HALF_LIFE, parts, now)
            self.largest_query = parts

    def rate_at(self, now: float) -> float:
        """Return the parts requested per second."""
        return self._rate.rate_at(now)
