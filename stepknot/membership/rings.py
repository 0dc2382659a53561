"""Who watches whom: rings of all members in orders that differ, each member watched by its neighbours in every ring.

Such a graph is an expander with high probability (Rapid, Suresh et al. 2018): however a part of the fleet is cut off,
many edges cross the cut. All members derive the same graph from the same view, and no message is needed for it.
A suspect is passed by: whoever is behind it gets a further watcher, so that a fleet that loses most of itself at once
still watches all that are left.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from hashlib import blake2b

FARTHEST = 32  # members passed by in one direction at the most


def place(name: str, ring: int) -> tuple[bytes, str]:
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest(), name


class Rings:
    """Invariant: each ring holds the same names, in its own order."""

    def __init__(self, count: int) -> None:
        self.rings: list[list[tuple[bytes, str]]] = [[] for _ in range(count)]
        self.places: dict[str, list[tuple[bytes, str]]] = {}

    def add(self, name: str) -> None:
        if name not in self.places:
            self.places[name] = [place(name, ring) for ring in range(len(self.rings))]
            for ring, own in zip(self.rings, self.places[name], strict=True):
                insort(ring, own)

    def drop(self, name: str) -> None:
        for ring, own in zip(self.rings, self.places.pop(name, ()), strict=False):
            del ring[bisect_left(ring, own)]

    def around(
        self, name: str, passed: Callable[[str], bool]
    ) -> tuple[dict[str, None], dict[str, None]]:
        """The nearest that are not `passed` in all directions, and those passed on the way."""
        nearest: dict[str, None] = {}
        between: dict[str, None] = {}
        if len(self.places) <= 2 * len(self.rings) + 1:  # few: everybody watches everybody
            for other in self.places:
                if other != name:
                    (between if passed(other) else nearest)[other] = None
            return nearest, between
        for ring, own in zip(self.rings, self.places[name], strict=True):
            at = bisect_left(ring, own)
            for direction in (1, -1):
                for step in range(1, min(FARTHEST, len(ring) - 1) + 1):
                    other = ring[(at + direction * step) % len(ring)][1]
                    if not passed(other):
                        nearest[other] = None
                        break
                    between[other] = None
        return nearest, between
