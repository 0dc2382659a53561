"""Batches of keys as one search, and its answer taken apart again by key.

Hundreds of keys become one query over the shards: documents by the values of their fields in one page, counts and
metrics as one aggregation with a filter for each key. Nothing here is asked once a key.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from stepknot.search.merge import Merged

Key = tuple[Any, ...]
Body = dict[str, Any]
BATCH = "keys"  # the name of a batch's aggregation


@dataclass(frozen=True, slots=True)
class Bound:
    """Narrows the documents of a key: the field stands in this relation ("eq", "gte", "lte") to the value."""

    field: str
    relation: str
    value: Any


@dataclass(frozen=True, slots=True)
class Group:
    """The documents that one answer is about: their key's values, and what narrows them."""

    key: Key
    bounds: tuple[Bound, ...] = ()


@dataclass(frozen=True, slots=True)
class Measured:
    """A count of a group's documents, or a metric of a field over them."""

    name: str
    kind: str  # count, min, max, avg, sum
    field: str = ""


def term(field: str, value: Any) -> Body:
    return {"term": {field: value}}


def all_of(fields: Sequence[str], key: Key) -> Body:
    clauses = [term(field, value) for field, value in zip(fields, key, strict=True)]
    return clauses[0] if len(clauses) == 1 else {"bool": {"filter": clauses}}


def any_of(fields: Sequence[str], keys: Sequence[Key]) -> Body:
    """Documents of any of these keys."""
    if len(fields) == 1:
        return {"terms": {fields[0]: [key[0] for key in keys]}}
    return {"bool": {"should": [all_of(fields, key) for key in keys], "minimum_should_match": 1}}


def documents_search(
    fields: Sequence[str], keys: Sequence[Key], source: list[str], window: int
) -> Body:
    """Documents by their values. Twice as many as keys are asked for, so that a key that several documents share is
    seen; the order makes the page the same whichever copies answer."""
    return {
        "query": any_of(fields, keys),
        "size": min(2 * len(keys), window),
        "sort": [{"_id": "asc"}],
        "_source": sorted({*source, *fields}),
        "track_total_hits": True,
    }


@dataclass(frozen=True, slots=True)
class Found:
    """What came of a batch of keys: a document each, and the keys that several share or that cannot be told."""

    rows: dict[Key, Any]
    shared: frozenset[Key]
    cut: bool  # there were more documents than the page holds: a key without one may have one


def by_key(fields: Sequence[str], rows: Sequence[tuple[Any, Body]], total: int) -> Found:
    """`rows`: what a document is known by, beside its source."""
    found: dict[Key, Any] = {}
    shared: set[Key] = set()
    for owner, source in rows:
        key = tuple(source.get(field) for field in fields)
        if key in found:
            shared.add(key)
        found[key] = owner
    return Found(found, frozenset(shared), total > len(rows))


def group_filter(fields: Sequence[str], group: Group) -> Body:
    clauses = [term(field, value) for field, value in zip(fields, group.key, strict=True)]
    for bound in group.bounds:
        clauses.append(
            term(bound.field, bound.value)
            if bound.relation == "eq"
            else {"range": {bound.field: {bound.relation: bound.value}}}
        )
    return clauses[0] if len(clauses) == 1 else {"bool": {"filter": clauses}}


def groups_search(
    fields: Sequence[str], groups: Sequence[Group], measured: Sequence[Measured]
) -> Body:
    """Counts and metrics of all groups in one aggregation: a filter each, the metrics below."""
    keys = list(dict.fromkeys(group.key for group in groups))
    filters = {str(place): group_filter(fields, group) for place, group in enumerate(groups)}
    subs = {
        each.name: {each.kind: {"field": each.field}} for each in measured if each.kind != "count"
    }
    batch: Body = {"filters": {"filters": filters}}
    return {
        "query": {"bool": {"filter": [any_of(fields, keys)]}},
        "size": 0,
        "track_total_hits": False,
        "aggs": {BATCH: batch | ({"aggs": subs} if subs else {})},
    }


def by_group(
    groups: Sequence[Group], measured: Sequence[Measured], merged: Merged
) -> dict[Group, Body]:
    """Each group's values by the names asked for; a metric over no documents is None."""
    buckets = merged.aggregations[BATCH]["buckets"]
    return {
        group: {
            each.name: buckets[str(place)]["doc_count"]
            if each.kind == "count"
            else metric(each.kind, buckets[str(place)])
            if buckets[str(place)]["doc_count"] == 0
            else buckets[str(place)][each.name]["value"]
            for each in measured
        }
        for place, group in enumerate(groups)
    }


def metric(kind: str, bucket: Body) -> Any:
    """Of no documents: their sum is 0, the rest is not there."""
    return 0.0 if kind == "sum" else None
