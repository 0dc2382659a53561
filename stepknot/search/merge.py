"""Merging what shards answered to one search, row by row in a stated order.

Order: the sort values (or the score, best first), then index and shard, then the shard's own order. Only the
rows of the page are kept: memory is bounded by (from + size) rows a shard, which is also what is asked for.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Any

from stepknot.search.aggs import MergeError, Merger
from stepknot.search.request import Search, SortKey


@dataclass(slots=True, unsafe_hash=True)
class Target:
    """One shard of one index."""

    index: str
    shard: int  # within the index
    place: int  # among the fleet's shards


@dataclass(slots=True)
class ShardHits:
    """A shard's answer to the first step."""

    target: Target
    hits: list[dict[str, Any]]
    total: int
    exact: bool
    aggregations: dict[str, Any]


@dataclass(slots=True)
class Merged:
    rows: list[tuple[Target, dict[str, Any]]]  # the page
    total: int
    exact: bool
    max_score: float | None
    aggregations: dict[str, Any]


class Reversed:
    """Orders the other way round."""

    __slots__ = ("value",)

    def __init__(self, value: Any) -> None:
        self.value = value

    def __lt__(self, other: Reversed) -> bool:
        return bool(other.value < self.value)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Reversed) and bool(self.value == other.value)


def sort_rank(keys: Sequence[SortKey], values: Sequence[Any]) -> tuple[Any, ...]:
    """What a hit's sort values compare by; None goes where the key says, whatever its direction."""
    rank: list[Any] = []
    for key, value in zip(keys, values, strict=True):
        if value is None:
            rank.append((0 if key.missing_first else 2,))
        elif not key.descending:
            rank.append((1, value))
        elif isinstance(value, (int, float)):
            rank.append((1, -value))
        else:
            rank.append((1, Reversed(value)))
    return tuple(rank)


def read_shard(target: Target, search: Search, response: dict[str, Any]) -> ShardHits:
    """Checks what a box sent; raises MergeError where it is not an answer to what was asked."""
    try:
        hits = response["hits"]
        rows = hits["hits"]
        total = hits.get("total") or {"value": 0, "relation": "gte"}
        if len(rows) > search.start + search.size:
            raise MergeError(
                f"{len(rows)} hits where at most {search.start + search.size} were asked for"
            )
        width, index = len(search.sort), target.index
        for row in rows:
            if row["_id"].__class__ is not str or row["_index"] != index:
                raise MergeError(f"a hit of index {row['_index']!r}")
            if len(row["sort"]) != width if width else row["_score"].__class__ not in (float, int):
                raise MergeError("a hit without its sort values or score")
        aggregations = response.get("aggregations", {})
        missing = [agg.name for agg in search.aggs if agg.name not in aggregations]
        if missing:
            raise MergeError(f"no aggregation {missing[0]!r}")
        return ShardHits(target, rows, int(total["value"]), total["relation"] == "eq", aggregations)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MergeError(f"{type(error).__name__}: {error}") from None


def ranked(
    search: Search, shard: ShardHits, order: int
) -> Iterator[tuple[Any, int, int, dict[str, Any], Target]]:
    last: Any = None
    for place, row in enumerate(shard.hits):
        rank = sort_rank(search.sort, row["sort"]) if search.sort else -row["_score"]
        if place and rank < last:
            raise MergeError(f"hits of {shard.target.index}[{shard.target.shard}] out of order")
        last = rank
        yield rank, order, place, row, shard.target


def merge(search: Search, shards: list[ShardHits], missing: bool, most_buckets: int) -> Merged:
    """`missing`: some shards did not answer, so the total is a lower bound. Raises MergeError, RequestError."""
    shards = sorted(shards, key=lambda each: (each.target.index, each.target.shard))
    runs = [ranked(search, shard, order) for order, shard in enumerate(shards)]
    try:
        page = list(islice(heapq.merge(*runs), search.start, search.start + search.size))
    except TypeError as error:
        raise MergeError(f"sort values of different types: {error}") from None
    total, exact = (
        sum(each.total for each in shards),
        all(each.exact for each in shards) and not missing,
    )
    if search.total is not True and search.total is not False and total > search.total:
        total, exact = search.total, False
    best = None
    if not search.sort:
        best = max((shard.hits[0]["_score"] for shard in shards if shard.hits), default=None)
    aggregations = Merger(most_buckets).merge(search.aggs, [each.aggregations for each in shards])
    return Merged(
        [(target, row) for _, _, _, row, target in page], total, exact, best, aggregations
    )
