"""Finds the keys with the highest counts in fixed memory: space-saving counters that decay.

Of K counters over a decayed total N, every key with a true count over N / K is tracked. A count is too high by its
`error` at most, so the lower bound (count less error) never exceeds the true count: a key that is judged by it is not
judged by what others did. Keys are bytes, whose hashes CPython keys by a secret of the process: collisions cannot be
planted.

Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams", 2005.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

MAX_WEIGHT = 1e12  # weights grow instead of counts decaying: beyond this all are scaled down
MAX_EXPONENT = 700.0  # of the weight, within the range of a float


@dataclass(frozen=True, slots=True)
class HeavyHitter:
    """A tracked key, decayed to the time of the question."""

    key: bytes
    count: float  # upper bound of the true count
    error: float  # the count is too high by this at most


class HeavyHitters:
    """Counts that decay by a factor e in `memory` seconds.

    Time may stand still; after a step back events count at the last weight.
    """

    def __init__(self, size: int, memory: float) -> None:
        self.size = size
        self.memory = memory
        # Of each key: count and error, in units of the weight at `_scaled_at`.
        self._counts: dict[bytes, list[float]] = {}
        # Counts as of some time, each key once; outdated entries are corrected when they reach the top.
        self._heap: list[tuple[float, bytes]] = []
        self._scaled_at = 0.0
        self._latest = 0.0
        self._started = False

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: bytes) -> bool:
        return key in self._counts

    def add(self, now: float, key: bytes, amount: float = 1.0) -> None:
        """Count a key; where the table is full, it replaces the key with the lowest count."""
        weight = self._weight(now) * amount
        entry = self._counts.get(key)
        if entry is not None:
            entry[0] += weight
            return
        error = 0.0
        if len(self._counts) >= self.size:
            error = self._remove_lowest()
        self._counts[key] = [error + weight, error]
        heapq.heappush(self._heap, (error + weight, key))

    def lower_bound(self, now: float, key: bytes) -> float:
        """A lower bound of the key's count, decayed to now."""
        entry = self._counts.get(key)
        return (entry[0] - entry[1]) / self._weight(now) if entry is not None else 0.0

    def rate(self, now: float, key: bytes) -> float:
        """A lower bound of the key's events a second: a steady r shows as r, a burst of n as n / memory."""
        return self.lower_bound(now, key) / self.memory

    def top(self, now: float, limit: int) -> list[HeavyHitter]:
        """The keys with the highest counts, the highest first."""
        weight = self._weight(now)
        highest = heapq.nlargest(limit, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, count / weight, error / weight) for key, (count, error) in highest]

    def _weight(self, now: float) -> float:
        """The weight of an event now."""
        if not self._started:
            self._scaled_at = self._latest = now
            self._started = True
        self._latest = max(self._latest, now)
        exponent = (self._latest - self._scaled_at) / self.memory
        weight = math.exp(min(exponent, MAX_EXPONENT))
        if weight > MAX_WEIGHT:
            self._scale_down(weight)
            return 1.0
        return weight

    def _scale_down(self, weight: float) -> None:
        """Express all counts in units of the weight now."""
        for entry in self._counts.values():
            entry[0] /= weight
            entry[1] /= weight
        self._scaled_at = self._latest
        self._heap = [(entry[0], key) for key, entry in self._counts.items()]
        heapq.heapify(self._heap)

    def _remove_lowest(self) -> float:
        """Remove the key with the lowest count and return the count.

        Counts only grow, so the heap's are lower bounds.
        """
        while True:
            count, key = self._heap[0]
            entry = self._counts.get(key)
            if entry is None:
                heapq.heappop(self._heap)
            elif entry[0] > count:
                heapq.heapreplace(self._heap, (entry[0], key))
            else:
                heapq.heappop(self._heap)
                del self._counts[key]
                return count
