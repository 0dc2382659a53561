"""Who does most of something, in fixed memory: space-saving counters whose counts fade.

Of K counters over a faded total N, every key with a true count over N / K is among them, a count is too high by its
`error` at the most, and `sure` (count less error) is never too high: whoever is judged by it is not judged by what
others did. Keys are bytes, whose hashes CPython keys by a secret of the process: collisions cannot be planted.
(Metwally, Agrawal, El Abbadi: Efficient computation of frequent and top-k elements in data streams, 2005.)
"""

from __future__ import annotations

import heapq
import math

LARGEST = 1e12  # weights grow instead of counts fading: beyond this all are scaled down again


class Heavy:
    """Counts fade by a factor e in `memory` seconds. Times may stand still; a step back adds at the latest weight."""

    def __init__(self, size: int, memory: float) -> None:
        self.size, self.memory = size, memory
        self.counts: dict[
            bytes, list[float]
        ] = {}  # key: count, error; in units of the weight at `since`
        self.heap: list[
            tuple[float, bytes]
        ] = []  # counts at some time: entries out of date are passed over
        self.since, self.latest = 0.0, 0.0
        self.begun = False

    def weight(self, now: float) -> float:
        if not self.begun:
            self.since = self.latest = now
            self.begun = True
        self.latest = max(self.latest, now)
        weight = math.exp(min((self.latest - self.since) / self.memory, 700.0))
        if weight > LARGEST:
            for entry in self.counts.values():
                entry[0] /= weight
                entry[1] /= weight
            self.since, weight = self.latest, 1.0
            self.order()
        return weight

    def order(self) -> None:
        self.heap = [(entry[0], key) for key, entry in self.counts.items()]
        heapq.heapify(self.heap)

    def add(self, now: float, key: bytes, amount: float = 1.0) -> None:
        weight = self.weight(now) * amount
        entry = self.counts.get(key)
        if entry is not None:
            entry[0] += weight
            return
        error = 0.0
        if len(self.counts) >= self.size:
            error = self.drop_least()
        self.counts[key] = [error + weight, error]
        heapq.heappush(self.heap, (error + weight, key))

    def drop_least(self) -> float:
        """Forget the least key; its count. The heap holds each key once, at its count then: counts only grow."""
        while True:
            count, key = self.heap[0]
            entry = self.counts.get(key)
            if entry is None:
                heapq.heappop(self.heap)
            elif entry[0] > count:
                heapq.heapreplace(self.heap, (entry[0], key))
            else:
                heapq.heappop(self.heap)
                del self.counts[key]
                return count

    def sure(self, now: float, key: bytes) -> float:
        """At the least so much, faded to now."""
        entry = self.counts.get(key)
        return (entry[0] - entry[1]) / self.weight(now) if entry is not None else 0.0

    def rate(self, now: float, key: bytes) -> float:
        """At the least so many a second of late: what came steadily at r shows as r, a burst of n as n / memory."""
        return self.sure(now, key) / self.memory

    def top(self, now: float, most: int) -> list[tuple[bytes, float, float]]:
        """The heaviest: key, count and error, faded to now."""
        weight = self.weight(now)
        found = heapq.nlargest(most, self.counts.items(), key=lambda item: item[1][0])
        return [(key, entry[0] / weight, entry[1] / weight) for key, entry in found]
