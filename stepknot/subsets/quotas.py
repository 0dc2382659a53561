"""Computes how many nodes of a cell a broker uses, with pure functions of counts."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

# With 1, the selected nodes of all cells of a shard could be in the nearest zone.
MIN_CELL_QUOTA = 2


def cells_of_shard(shard: int, cells: int, reach: int) -> list[int]:
    """Return the cells that hold a shard."""
    return [(shard + step) % cells for step in range(min(reach, cells))]


def quota_for_shard(live_counts: Sequence[int], size: int) -> int:
    """Return the lowest quota per cell that gives a shard `size` nodes, or all of its nodes if there are fewer.

    Args:
        live_counts: The number of live nodes of each cell that holds the shard.
        size: The number of replicas of the shard to use.
    """
    wanted = min(size, sum(live_counts))
    quota = 0
    while sum(min(quota, count) for count in live_counts) < wanted:
        quota += 1
    return quota


def quota_for_size(
    cell: int, live_count: Callable[[int], int], cells: int, reach: int, size: int
) -> int:
    """Return the lowest quota of a cell with which each of its shards has `size` replicas in use.

    Args:
        cell: Number of the cell.
        live_count: Returns the number of nodes of a cell that are counted, given the cell's number.
        cells: Number of cells.
        reach: Replication span.
        size: Number of replicas of each shard to use.
    """
    shards = [(cell - step) % cells for step in range(min(reach, cells))]
    quotas = [
        quota_for_shard([live_count(each) for each in cells_of_shard(shard, cells, reach)], size)
        for shard in shards
    ]
    return max(MIN_CELL_QUOTA, *quotas)


def quota_for_holders(live_count: int, holders: float, instances: int, dither: float) -> int:
    """Return the quota with which each node is used by `holders` brokers on average.

    `dither` is uniform in (0, 1] and specific to this broker. It rounds the exact quota up or down such that the mean
    over all brokers stays exact.
    """
    exact = min(holders * live_count / instances, float(live_count))
    return min(live_count, math.floor(exact + dither))
