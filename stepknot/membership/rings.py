"""The graph of observers: several rings of all members in different orders, whose neighbours observe each other.

Such a graph is an expander with high probability (Rapid, Suresh et al. 2018): whichever part of the fleet is cut off,
many edges cross the cut. All members derive the same graph from the same view, without exchanging messages. Suspects
are skipped, so the next member in the ring is observed as well. A fleet that loses most of its members at once
therefore still observes all members that remain.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from hashlib import blake2b
from typing import NamedTuple

MAX_STEPS = 32  # members examined in one direction of a ring
RingPosition = tuple[bytes, str]


class Neighbours(NamedTuple):
    """The neighbours of a member in all rings; the dicts are ordered sets of names."""

    nearest: dict[str, None]  # the first member in each direction that is not skipped
    skipped: dict[str, None]  # the skipped members between the member and those


class ObserverRings:
    """Holds the rings. Invariant: all rings contain the same names, each in its own order."""

    def __init__(self, count: int) -> None:
        self.rings: list[list[RingPosition]] = [[] for _ in range(count)]
        self.positions: dict[str, list[RingPosition]] = {}

    def add(self, name: str) -> None:
        """Add a member to all rings, if it is not in them."""
        if name not in self.positions:
            self.positions[name] = [ring_position(name, ring) for ring in range(len(self.rings))]
            for ring, own in zip(self.rings, self.positions[name], strict=True):
                insort(ring, own)

    def remove(self, name: str) -> None:
        """Remove a member from all rings."""
        for ring, own in zip(self.rings, self.positions.pop(name, ()), strict=False):
            del ring[bisect_left(ring, own)]

    def neighbours_of(self, name: str, is_skipped: Callable[[str], bool]) -> Neighbours:
        """The nearest members that are not skipped in both directions of each ring, with the skipped ones between."""
        if len(self.positions) <= 2 * len(self.rings) + 1:
            return self._all_others(name, is_skipped)
        nearest: dict[str, None] = {}
        between: dict[str, None] = {}
        for ring, own in zip(self.rings, self.positions[name], strict=True):
            at = bisect_left(ring, own)
            for direction in (1, -1):
                for step in range(1, min(MAX_STEPS, len(ring) - 1) + 1):
                    other = ring[(at + direction * step) % len(ring)][1]
                    if not is_skipped(other):
                        nearest[other] = None
                        break
                    between[other] = None
        return Neighbours(nearest, between)

    def _all_others(self, name: str, is_skipped: Callable[[str], bool]) -> Neighbours:
        """The neighbours in a small fleet, where all members observe each other."""
        nearest: dict[str, None] = {}
        skipped: dict[str, None] = {}
        for other in self.positions:
            if other != name:
                (skipped if is_skipped(other) else nearest)[other] = None
        return Neighbours(nearest, skipped)


def ring_position(name: str, ring: int) -> RingPosition:
    """The sort key of a member in one ring."""
    return blake2b(name.encode(), digest_size=8, salt=bytes([ring])).digest(), name
