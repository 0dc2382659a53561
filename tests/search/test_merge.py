"""Merging over shards gives, row by row and group by group, what one shard with all documents gives."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.search.aggs import MergeError, Merger, parse_aggs
from stepknot.search.errors import ParsingError, RequestError
from stepknot.search.merge import Target, merge, read_shard
from stepknot.search.request import parse_search, shard_body
from stepknot.simulation.engine import Shard

pytestmark = pytest.mark.cpu_only

FIELDS = {"n": "integer", "k": "keyword", "d": "date", "t": "text"}
DOCUMENTS = st.lists(
    st.fixed_dictionaries(
        {},
        optional={
            "n": st.integers(-5, 40),
            "k": st.sampled_from("abcdefgh"),
            "d": st.integers(0, 10**11),
            "t": st.sampled_from(["red", "red blue", "blue blue green"]),
        },
    ),
    max_size=40,
)
TARGETS = [Target("i", shard, shard) for shard in range(3)]


def shards_of(documents: list[dict[str, Any]]) -> tuple[list[Shard], Shard]:
    """The documents over three shards, and all in one."""
    parts, whole = [Shard("i", FIELDS) for _ in TARGETS], Shard("i", FIELDS)
    for number, document in enumerate(documents):
        name = f"{number:03d}"
        parts[number * 7 % 3].put(name, document)
        whole.put(name, document)
    return parts, whole


def ask(shards: list[Shard], body: dict[str, Any], missing: bool = False) -> Any:
    search = parse_search(body, {}, 10_000)
    asked = shard_body(search, 1.0, fetch=True)
    del asked["stats"]
    found = [
        read_shard(target, search, shard.search(parse_search(asked, {}, 10_000), {}))
        for target, shard in zip(TARGETS, shards, strict=False)
    ]
    return merge(search, found, missing, 10_000)


@settings(max_examples=150, deadline=None)
@given(
    DOCUMENTS,
    st.sampled_from(["n", "k", "d"]),
    st.booleans(),
    st.sampled_from(["_last", "_first"]),
    st.integers(0, 12),
    st.integers(0, 12),
)
def test_sorted_pages_are_those_of_one_shard(
    documents: list[dict[str, Any]], field: str, down: bool, missing: str, start: int, size: int
) -> None:
    parts, whole = shards_of(documents)
    body = {
        "sort": [{field: {"order": "desc" if down else "asc", "missing": missing}}, {"_id": "asc"}],
        "from": start,
        "size": size,
        "query": {"match_all": {}},
    }
    merged, single = ask(parts, body), ask([whole], body)
    assert [row["_id"] for _, row in merged.rows] == [row["_id"] for _, row in single.rows]
    assert merged.total == single.total == len(documents) and merged.exact


@settings(max_examples=150, deadline=None)
@given(DOCUMENTS)
def test_aggregations_are_those_of_one_shard(documents: list[dict[str, Any]]) -> None:
    parts, whole = shards_of(documents)
    subs = {"s": {"stats": {"field": "n"}}, "c": {"cardinality": {"field": "k"}}}
    body = {
        "size": 0,
        "aggs": {
            "terms": {"terms": {"field": "k", "size": 20}, "aggs": subs},
            "keys": {"terms": {"field": "k", "size": 20, "order": {"_key": "asc"}}},
            "steps": {"histogram": {"field": "n", "interval": 10}, "aggs": subs},
            "days": {
                "date_histogram": {"field": "d", "calendar_interval": "month", "min_doc_count": 1}
            },
            "ranges": {
                "range": {"field": "n", "ranges": [{"to": 5}, {"from": 5, "to": 9}, {"from": 9}]},
                "aggs": subs,
            },
            "filters": {
                "filters": {
                    "filters": {"a": {"term": {"k": "a"}}, "low": {"range": {"n": {"lt": 3}}}}
                }
            },
            "filter": {"filter": {"match": {"t": "red"}}, "aggs": subs},
            "avg": {"avg": {"field": "n"}},
            "min": {"min": {"field": "n"}},
            "max": {"max": {"field": "n"}},
            "sum": {"sum": {"field": "n"}},
            "count": {"value_count": {"field": "n"}},
        },
    }
    merged, single = ask(parts, body).aggregations, ask([whole], body).aggregations
    assert rounded(merged) == rounded(single)
    assert merged["steps"] == single["steps"]


def rounded(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: rounded(each) for key, each in value.items()}
    if isinstance(value, list):
        return [rounded(each) for each in value]
    return round(value, 9) if isinstance(value, float) else value


def test_histogram_fills_the_steps_without_documents() -> None:
    parts, _ = shards_of([{"n": 1}, {"n": 35}])
    buckets = ask(
        parts, {"size": 0, "aggs": {"h": {"histogram": {"field": "n", "interval": 10}}}}
    ).aggregations["h"]
    assert [(each["key"], each["doc_count"]) for each in buckets["buckets"]] == [
        (0, 1),
        (10, 0),
        (20, 0),
        (30, 1),
    ]


def test_too_many_buckets_are_refused_not_built() -> None:
    aggs = parse_aggs({"h": {"histogram": {"field": "n", "interval": 0.001}}})
    shard = {"h": {"buckets": [{"key": 0.0, "doc_count": 1}, {"key": 1e9, "doc_count": 1}]}}
    with pytest.raises(RequestError, match="buckets"):
        Merger(1000).merge(aggs, [shard])


def test_a_cut_list_of_distinct_values_says_that_it_is_a_lower_bound() -> None:
    parts, _ = shards_of([{"k": name} for name in "abcdefgh" * 3])
    merged = ask(
        parts, {"size": 0, "aggs": {"c": {"cardinality": {"field": "k", "precision_threshold": 2}}}}
    )
    assert (
        merged.aggregations["c"]["lower_bound"] is True and merged.aggregations["c"]["value"] <= 8
    )


@pytest.mark.parametrize(
    "change",
    [
        lambda answer: answer["hits"]["hits"].reverse(),
        lambda answer: answer["hits"]["hits"][0].pop("sort"),
        lambda answer: answer["hits"]["hits"][0].update(_index="other"),
        lambda answer: answer.pop("hits"),
        lambda answer: answer["hits"].update(
            hits=[row for row in answer["hits"]["hits"] for _ in range(30)]
        ),
        lambda answer: answer["hits"]["total"].update(value="many"),
    ],
)
def test_a_shard_that_sends_something_else_is_not_merged(change: Any) -> None:
    _, whole = shards_of([{"n": each} for each in range(5)])
    search = parse_search({"sort": [{"n": "asc"}]}, {}, 100)
    answer = whole.search(search, {})
    change(answer)
    with pytest.raises(MergeError):
        merge(search, [read_shard(TARGETS[0], search, answer)], False, 100)


def test_a_missing_shard_makes_the_total_a_lower_bound() -> None:
    parts, _ = shards_of([{"n": 1}] * 6)
    assert ask(parts[:2], {}, missing=True).exact is False


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 99) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "query",
                    "bool",
                    "must",
                    "term",
                    "match",
                    "range",
                    "sort",
                    "size",
                    "aggs",
                    "terms",
                    "field",
                    "from",
                    "a",
                    "filters",
                    "_source",
                    "should",
                    "ids",
                ]
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=12,
)


@settings(max_examples=400, deadline=None)
@given(JSON)
def test_any_body_is_understood_or_turned_down_in_words(body: Any) -> None:
    try:
        search = parse_search(body, {}, 100)
    except RequestError as error:
        assert error.reason and 400 <= error.status < 500
    else:
        shard_body(search, 1.0, False)


def test_what_is_unknown_is_named() -> None:
    for body, word in (
        ({"query": {"a": 1, "b": 2}}, "exactly one"),
        ({"knn": {}}, "knn"),
        ({"query": {"bool": {"must": [{"nested": {}}]}}}, "nested"),
    ):
        with pytest.raises(ParsingError, match=word):
            parse_search(body, {}, 100)
