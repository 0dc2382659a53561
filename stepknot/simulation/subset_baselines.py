"""Other ways to bound what a broker uses, in their simplest published form: one shard, brokers numbered from 0.

A way maps (broker, brokers, nodes, size) to the nodes that it uses. `names` are stable; ways that go by numbers take a
name's place in the list, as their papers do. None knows zones.

Rounds: "Site Reliability Engineering" (2016), chapter 20. Aperture: deterministic aperture of Finagle (2017 to 2019),
whole nodes instead of parts of them at its ends. Bounded loads: Mirrokni, Thorup and Zadimoghaddam (2016). Rendezvous:
Thaler and Ravishankar (1998). Low discrepancy: the ring of "Reinventing Backend Subsetting at Google" (Ward, Wankadia
and Guliani 2022), by van der Corput's sequence.
"""

from __future__ import annotations

import math
import random
from bisect import bisect_left
from collections.abc import Callable, Sequence
from functools import lru_cache

from stepknot.subsets.rendezvous import uniform_hash

Way = Callable[[int, int, Sequence[str], int], frozenset[str]]
BOUND = 1.25  # of the mean: capacity of a node under bounded loads


def whole(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    return frozenset(names)


def by_chance(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    return frozenset(random.Random(broker).sample(list(names), min(size, len(names))))


def rounds(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    """Each round of brokers shares out one shuffle of the list; what does not fill a subset is not used in it."""
    subsets = max(len(names) // size, 1)
    shuffled = list(names)
    random.Random(broker // subsets).shuffle(shuffled)
    start = broker % subsets * size
    return frozenset(shuffled[start : start + size])


def aperture(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    """Brokers and nodes divide one ring evenly; a broker takes nodes from its place on, so many brokers' widths long
    that they hold `size` nodes or more."""
    width = math.ceil(min(size, len(names)) / len(names) * brokers) / brokers
    begin, end = broker / brokers * len(names), (broker / brokers + width) * len(names)
    return frozenset(
        names[place % len(names)] for place in range(math.floor(begin), math.ceil(end - 1e-9))
    )


@lru_cache(maxsize=4)
def assigned(brokers: tuple[int, ...], names: tuple[str, ...], size: int) -> list[frozenset[str]]:
    """All brokers in turn: each takes the next nodes on the ring, from a place of its own for each, that have room."""
    ring = sorted(
        (uniform_hash("ring", f"{name} {copy}"), name) for name in names for copy in range(8)
    )
    points = [point for point, _ in ring]
    room = dict.fromkeys(names, math.ceil(BOUND * len(brokers) * size / len(names)))
    found = []
    for broker in brokers:
        mine: set[str] = set()
        for pick in range(min(size, len(names))):
            place = bisect_left(points, uniform_hash(f"broker-{broker}", f"pick {pick}"))
            while (name := ring[place % len(ring)][1]) in mine or not room[name]:
                place += 1
            mine.add(name)
            room[name] -= 1
        found.append(frozenset(mine))
    return found


def bounded_loads(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    return assigned(tuple(range(brokers)), tuple(names), size)[broker]


def rendezvous(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    return frozenset(sorted(names, key=lambda name: uniform_hash(f"broker-{broker}", name))[-size:])


def corput(number: int) -> float:
    """The number's bits mirrored at the point."""
    return int(f"{number:032b}"[::-1], 2) / 2**32


@lru_cache(maxsize=4)
def circle(names: tuple[str, ...]) -> list[tuple[float, str]]:
    return sorted((corput(place), name) for place, name in enumerate(names))


def low_discrepancy(broker: int, brokers: int, names: Sequence[str], size: int) -> frozenset[str]:
    ring = circle(tuple(names))
    start = bisect_left(ring, (corput(broker), ""))
    return frozenset(ring[(start + step) % len(ring)][1] for step in range(min(size, len(ring))))


WAYS: dict[str, Way] = {
    "whole list": whole,
    "random, by a seed": by_chance,
    "rounds": rounds,
    "aperture": aperture,
    "bounded loads": bounded_loads,
    "low discrepancy": low_discrepancy,
    "rendezvous": rendezvous,
}
NUMBERED = {"rounds", "aperture", "low discrepancy"}  # brokers without a gap between their numbers
