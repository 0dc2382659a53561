"""Determines the shards of a search."""

from __future__ import annotations

from functools import lru_cache

from stepknot.config.settings import Index
from stepknot.search.merge import Target
from stepknot.search.routing import shard_of


def target_of(index: Index, routing: str) -> Target:
    """The shard that holds documents with this routing value."""
    shard = shard_of(routing, index.shards, index.routing_shards)
    return Target(index.name, shard, index.first + shard)


def shard_targets(
    indices: list[Index], routing: str = "", only: frozenset[int] | None = None
) -> list[Target]:
    """The shards of the indices: all, only those with the given numbers, or those of the routing values.

    The returned list may be shared by callers: it must not be changed.

    Args:
        indices: The indices to search.
        routing: Routing values, separated by commas; "" for no routing.
        only: Numbers of shards within their index; None for all.
    """
    if routing:
        values = routing.split(",")
        return list(dict.fromkeys(target_of(index, each) for index in indices for each in values))
    if only is None and len(indices) == 1:
        return _all_targets(indices[0].name, indices[0].shards, indices[0].first)
    return [
        target
        for index in indices
        for target in _all_targets(index.name, index.shards, index.first)
        if only is None or target.shard in only
    ]


@lru_cache(maxsize=1000)
def _all_targets(name: str, shards: int, first: int) -> list[Target]:
    return [Target(name, shard, first + shard) for shard in range(shards)]
