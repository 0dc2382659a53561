"""Finds the keys with the highest counts in fixed memory, with the Space-Saving algorithm and decaying counts.

With K counters and a decayed total of N, every key with a true count above N / K is tracked. A count exceeds the true
count by at most its `error`, so the lower bound (count minus error) never exceeds the true count. A decision by the
lower bound therefore never depends on the events of other keys. Keys are bytes: CPython hashes them with a secret of
the process, so clients cannot cause collisions on purpose.

Source: Metwally, Agrawal, El Abbadi, "Efficient computation of frequent and top-k elements in data streams", 2005.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass

# Instead of decaying all counts, the weight of new events grows. Above this weight all counts are scaled down.
MAX_WEIGHT = 1e12
MAX_EXPONENT = 700.0  # maximum exponent of the weight that is within the range of a float


@dataclass(frozen=True, slots=True)
class HeavyHitter:
    """A tracked key with its count, decayed to the time of the call that returned it."""

    key: bytes
    count: float  # upper bound of the true count
    error: float  # maximum amount by which the count exceeds the true count


class HeavyHitters:
    """Counts that decay by a factor of e every `memory` seconds.

    Calls may pass the same time repeatedly. After a backward clock step, events count with the latest weight.
    """

    def __init__(self, size: int, memory: float) -> None:
        self.size = size
        self.memory = memory
        # Count and error by key, in units of the weight at `_scaled_at`.
        self._counts: dict[bytes, list[float]] = {}
        # Each key once, with a count that may be outdated; an outdated count is corrected when it reaches the top.
        self._heap: list[tuple[float, bytes]] = []
        self._scaled_at = 0.0
        self._latest = 0.0
        self._started = False

    def __len__(self) -> int:
        return len(self._counts)

    def __contains__(self, key: bytes) -> bool:
        return key in self._counts

    def add(self, now: float, key: bytes, amount: float = 1.0) -> None:
        """Count a key; if the table is full, a new key replaces the key with the lowest count."""
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
        """Return a lower bound of the key's count, decayed to `now`."""
        entry = self._counts.get(key)
        return (entry[0] - entry[1]) / self._weight(now) if entry is not None else 0.0

    def rate(self, now: float, key: bytes) -> float:
        """Return a lower bound of the key's events per second: r for a steady rate r, n / memory for a burst of n."""
        return self.lower_bound(now, key) / self.memory

    def top(self, now: float, limit: int) -> list[HeavyHitter]:
        """Return the keys with the highest counts in descending order."""
        weight = self._weight(now)
        highest = heapq.nlargest(limit, self._counts.items(), key=lambda item: item[1][0])
        return [HeavyHitter(key, count / weight, error / weight) for key, (count, error) in highest]

    def _weight(self, now: float) -> float:
        """Return the weight of an event at time `now`."""
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
        """Convert all counts to units of the current weight."""
        for entry in self._counts.values():
            entry[0] /= weight
            entry[1] /= weight
        self._scaled_at = self._latest
        self._heap = [(entry[0], key) for key, entry in self._counts.items()]
        heapq.heapify(self._heap)

    def _remove_lowest(self) -> float:
        """Remove the key with the lowest count and return that count.

        Counts only grow, so the counts in the heap are lower bounds.
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
