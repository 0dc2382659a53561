"""Ranks the nodes of a cell for one broker and chooses among them: pure functions.

Weighted rendezvous hashing (Thaler and Ravishankar 1998; weights by Schindelhauer and Schomaker 2005): a node's score
is an exponential variate of its weight's rate, from a hash of both names, and the least scores are taken. A node that
comes or goes moves only those that hold it; another broker matters to nobody.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

import mmh3

from stepknot.interface import ServerEntry

TWO_TO_64 = 2.0**64
LEAST_QUOTA = 2  # of a cell: with one, the nearest would be in one zone for all cells of a shard


def draw(identity: str, name: str) -> float:
    """Uniform in (0, 1], of both names together and of nothing else."""
    found: int = mmh3.hash64(f"{identity}\0{name}", signed=False)[0]
    return (found + 1) / TWO_TO_64


def score(drawn: float, weight: float) -> float:
    """The least of scores is chosen with a probability in proportion to its weight."""
    return -math.log(drawn) / weight


def tier_of(zone: str, own: str, tiers: Sequence[Sequence[str]]) -> int:
    """0 for the broker's own zone, then the named tiers, then what is not named."""
    if zone == own:
        return 0
    for place, tier in enumerate(tiers):
        if zone in tier:
            return place + 1
    return len(tiers) + 1


def cells_of(shard: int, cells: int, reach: int) -> list[int]:
    return [(shard + step) % cells for step in range(min(reach, cells))]


def shard_quota(live: Sequence[int], size: int) -> int:
    """The least quota with which cells of so many live nodes have `size` of them together, or all there are."""
    wanted = min(size, sum(live))
    quota = 0
    while sum(min(quota, count) for count in live) < wanted:
        quota += 1
    return quota


def cell_quota(cell: int, live: Callable[[int], int], cells: int, reach: int, size: int) -> int:
    """What the neediest of the shards that the cell holds asks of it."""
    shards = [(cell - step) % cells for step in range(min(reach, cells))]
    found = [
        shard_quota([live(each) for each in cells_of(shard, cells, reach)], size)
        for shard in shards
    ]
    return max(LEAST_QUOTA, *found)


def holders_quota(live: int, holders: float, instances: int, dither: float) -> int:
    """So many of a cell's nodes that each has `holders` brokers in the mean; rounded by a draw of this broker's."""
    return min(live, math.floor(min(holders * live / instances, float(live)) + dither))


def choose_warm(
    ranked: Sequence[ServerEntry], quota: int, tier: Callable[[str], int]
) -> list[ServerEntry]:
    """The first `quota` by rank, one of them of the nearest tier, and of two zones (S2, S3)."""
    chosen = list(ranked[:quota])
    rest = ranked[quota:]
    if not chosen or not rest:
        return chosen
    nearest = min(tier(entry.zone) for entry in ranked)
    if all(tier(entry.zone) > nearest for entry in chosen):
        chosen[-1] = next(entry for entry in rest if tier(entry.zone) == nearest)
    zones = {entry.zone for entry in chosen}
    other = next((entry for entry in rest if entry.zone not in zones), None)
    if len(zones) == 1 and len(chosen) > 1 and other is not None:
        chosen[-1] = other
    return chosen
