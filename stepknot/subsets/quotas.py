"""How many nodes of a cell a broker uses: pure functions of counts."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

MIN_CELL_QUOTA = 2  # with one, the nearest nodes would be in one zone for all cells of a shard


def cells_of_shard(shard: int, cells: int, reach: int) -> list[int]:
    """The cells that hold a shard."""
    return [(shard + step) % cells for step in range(min(reach, cells))]


def quota_for_shard(live_counts: Sequence[int], size: int) -> int:
    """The lowest quota with which cells of so many live nodes have `size` of them together, or all that there are."""
    wanted = min(size, sum(live_counts))
    quota = 0
    while sum(min(quota, count) for count in live_counts) < wanted:
        quota += 1
    return quota


def quota_for_size(
    cell: int, live_count: Callable[[int], int], cells: int, reach: int, size: int
) -> int:
    """The highest quota that a shard of this cell needs to have `size` replicas in use.

    Args:
        cell: Number of the cell.
        live_count: The number of nodes of any cell that count.
        cells: Number of cells.
        reach: Replication span.
        size: Replicas of each shard.
    """
    shards = [(cell - step) % cells for step in range(min(reach, cells))]
    quotas = [
        quota_for_shard([live_count(each) for each in cells_of_shard(shard, cells, reach)], size)
        for shard in shards
    ]
    return max(MIN_CELL_QUOTA, *quotas)


def quota_for_holders(live_count: int, holders: float, instances: int, dither: float) -> int:
    """The quota with which each node has `holders` brokers in the mean.

    `dither`, uniform in (0, 1] and this broker's own, rounds the exact quota so that the mean over brokers is kept.
    """
    exact = min(holders * live_count / instances, float(live_count))
    return min(live_count, math.floor(exact + dither))
