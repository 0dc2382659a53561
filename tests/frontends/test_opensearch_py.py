"""The official client, unmodified, against real brokers and boxes; answers are checked against the corpus."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from opensearchpy import ConflictError, NotFoundError, OpenSearch, RequestError, helpers

from stepknot.simulation import corpus
from stepknot.simulation.engine import tokens
from stepknot.simulation.fleet import Fleet
from tests.conftest import DOCUMENTS

NAMES = {corpus.name_of(number): corpus.document(number) for number in range(DOCUMENTS)}


@pytest.fixture(scope="module")
def clients(fleet: Fleet) -> Iterator[list[OpenSearch]]:
    made = [
        OpenSearch(broker.url, http_compress=broker.number == 1, max_retries=0)
        for broker in fleet.brokers
    ]
    yield made
    for each in made:
        each.close()


@pytest.fixture
def client(clients: list[OpenSearch]) -> OpenSearch:
    return clients[0]


def ids(answer: dict[str, Any]) -> list[str]:
    return [hit["_id"] for hit in answer["hits"]["hits"]]


def reports(query: dict[str, Any] | None = None, **body: Any) -> dict[str, Any]:
    """A body over the corpus alone: other tests write to the same index."""
    known = {"exists": {"field": "club"}}
    clauses = [known] + ([query] if query else [])
    return {"query": {"bool": {"filter": clauses}}, **body}


def test_info_and_ping(client: OpenSearch) -> None:
    assert client.ping()
    assert client.info()["version"]["distribution"] == "opensearch"


def test_cluster_and_cat_calls(client: OpenSearch, fleet: Fleet) -> None:
    health = client.cluster.health()
    assert health["status"] == "green" and health["number_of_data_nodes"] == 6
    assert client.cat.nodes(params={"format": "json"})[1]["state"] == "live"
    shards = client.cat.shards(index="reports", params={"format": "json"})
    assert len(shards) == 24 and {row["state"] for row in shards} == {"STARTED"}
    assert "reports" in client.cat.indices(params={"v": "true"})
    (node,) = client.nodes.stats()["nodes"].values()
    assert set(node["stepknot"]["boxes"]) == {box.address for box in fleet.boxes}


def test_a_page_in_two_steps_carries_the_documents(client: OpenSearch) -> None:
    answer = client.search(
        index="reports",
        body=reports({"term": {"game": "hex"}}, size=7, sort=[{"rating": "desc"}, {"_id": "asc"}]),
    )
    expected = sorted((-doc["rating"], name) for name, doc in NAMES.items() if doc["game"] == "hex")
    assert ids(answer) == [name for _, name in expected[:7]]
    assert answer["hits"]["hits"][0]["_source"] == NAMES[expected[0][1]]
    assert answer["hits"]["total"] == {"value": len(expected), "relation": "eq"}
    assert answer["_shards"] == {"total": 12, "successful": 12, "skipped": 0, "failed": 0}
    assert answer["timed_out"] is False


def test_pages_by_from_and_by_search_after_are_the_same_rows(client: OpenSearch) -> None:
    sort = [{"moves": "asc"}, {"_id": "asc"}]
    by_from = [
        name
        for start in range(0, 200, 40)
        for name in ids(
            client.search(index="reports", body=reports(size=40, sort=sort, **{"from": start}))
        )
    ]
    by_after: list[str] = []
    after = None
    while len(by_after) < 200:
        body = reports(
            size=40, sort=sort, _source=False, **({"search_after": after} if after else {})
        )
        page = client.search(index="reports", body=body)["hits"]["hits"]
        by_after += [hit["_id"] for hit in page]
        after = page[-1]["sort"]
    expected = [name for _, name in sorted((doc["moves"], name) for name, doc in NAMES.items())][
        :200
    ]
    assert by_from == by_after == expected


@pytest.mark.parametrize(
    ("query", "fits"),
    [
        (
            {"match": {"body": "ladder bridge"}},
            lambda doc: {"ladder", "bridge"} & set(tokens(doc["body"])),
        ),
        (
            {"match": {"body": {"query": "ladder bridge", "operator": "and"}}},
            lambda doc: {"ladder", "bridge"} <= set(tokens(doc["body"])),
        ),
        ({"terms": {"game": ["go", "mill"]}}, lambda doc: doc["game"] in ("go", "mill")),
        (
            {"range": {"rating": {"gte": 1500, "lt": 1600}}},
            lambda doc: 1500 <= doc["rating"] < 1600,
        ),
        (
            {"range": {"played": {"gte": "2024-01-01"}}},
            lambda doc: doc["played"] >= 1_704_067_200_000,
        ),
        ({"prefix": {"player": "player-00"}}, lambda doc: doc["player"].startswith("player-00")),
        ({"exists": {"field": "ranked"}}, lambda doc: "ranked" in doc),
        ({"term": {"ranked": True}}, lambda doc: doc.get("ranked") is True),
        (
            {"multi_match": {"query": "gambit", "fields": ["title^2", "body"]}},
            lambda doc: "gambit" in tokens(doc["title"] + " " + doc["body"]),
        ),
        (
            {
                "bool": {
                    "must": [{"term": {"game": "go"}}],
                    "must_not": [{"range": {"moves": {"gt": 50}}}],
                    "should": [{"term": {"ranked": True}}],
                }
            },
            lambda doc: doc["game"] == "go" and doc["moves"] <= 50,
        ),
        (
            {
                "bool": {
                    "should": [
                        {"term": {"game": "go"}},
                        {"term": {"ranked": True}},
                        {"range": {"moves": {"lt": 30}}},
                    ],
                    "minimum_should_match": 2,
                }
            },
            lambda doc: (
                (doc["game"] == "go") + (doc.get("ranked") is True) + (doc["moves"] < 30) >= 2
            ),
        ),
        ({"match_all": {}}, lambda doc: True),
    ],
)
def test_queries_find_what_the_corpus_holds(
    client: OpenSearch, query: dict[str, Any], fits: Any
) -> None:
    expected = {name for name, doc in NAMES.items() if fits(doc)}
    assert client.count(index="reports", body=reports(query))["count"] == len(expected)
    answer = client.search(
        index="reports", body=reports(query, size=2000, _source=False, track_total_hits=True)
    )
    assert set(ids(answer)) == expected and expected


def test_scores_fall_and_ties_are_broken_the_same_way_each_time(clients: list[OpenSearch]) -> None:
    body = {"query": {"match": {"body": "sacrifice tempo"}}, "size": 50}
    pages = [each.search(index="reports", body=body) for each in clients for _ in range(3)]
    scores = [hit["_score"] for hit in pages[0]["hits"]["hits"]]
    assert scores == sorted(scores, reverse=True) and pages[0]["hits"]["max_score"] == scores[0]
    assert all(ids(page) == ids(pages[0]) for page in pages)


def test_aggregations_match_the_corpus(client: OpenSearch) -> None:
    answer = client.search(
        index="reports",
        body=reports(
            size=0,
            aggs={
                "games": {
                    "terms": {"field": "game", "size": 20},
                    "aggs": {
                        "mean": {"avg": {"field": "rating"}},
                        "clubs": {"cardinality": {"field": "club"}},
                    },
                },
                "stats": {"stats": {"field": "moves"}},
                "most": {"max": {"field": "rating"}},
                "steps": {"histogram": {"field": "rating", "interval": 200}},
                "years": {"date_histogram": {"field": "played", "calendar_interval": "year"}},
                "weeks": {"date_histogram": {"field": "played", "fixed_interval": "7d"}},
                "bands": {
                    "range": {"field": "moves", "ranges": [{"to": 50}, {"from": 50, "key": "long"}]}
                },
                "kinds": {
                    "filters": {
                        "filters": {
                            "go": {"term": {"game": "go"}},
                            "ranked": {"term": {"ranked": True}},
                        }
                    }
                },
                "some": {
                    "filter": {"term": {"game": "tafl"}},
                    "aggs": {"n": {"value_count": {"field": "rating"}}},
                },
            },
        ),
    )["aggregations"]
    docs = list(NAMES.values())
    games = Counter(doc["game"] for doc in docs)
    assert {each["key"]: each["doc_count"] for each in answer["games"]["buckets"]} == games
    assert (
        answer["games"]["doc_count_error_upper_bound"]
        == answer["games"]["sum_other_doc_count"]
        == 0
    )
    for bucket in answer["games"]["buckets"]:
        own = [doc for doc in docs if doc["game"] == bucket["key"]]
        assert bucket["mean"]["value"] == pytest.approx(
            sum(doc["rating"] for doc in own) / len(own)
        )
        assert bucket["clubs"]["value"] == len({doc["club"] for doc in own})
    moves = [doc["moves"] for doc in docs]
    assert answer["stats"] == {
        "count": len(moves),
        "min": min(moves),
        "max": max(moves),
        "sum": sum(moves),
        "avg": pytest.approx(sum(moves) / len(moves)),
    }
    assert answer["most"]["value"] == max(doc["rating"] for doc in docs)
    assert {each["key"]: each["doc_count"] for each in answer["steps"]["buckets"]} == Counter(
        doc["rating"] // 200 * 200.0 for doc in docs
    )
    assert [each["key_as_string"][:4] for each in answer["years"]["buckets"]] == [
        "2022",
        "2023",
        "2024",
        "2025",
    ]
    assert sum(each["doc_count"] for each in answer["weeks"]["buckets"]) == len(docs)
    assert [(each["key"], each["doc_count"]) for each in answer["bands"]["buckets"]] == [
        ("*-50.0", sum(each < 50 for each in moves)),
        ("long", sum(each >= 50 for each in moves)),
    ]
    assert answer["kinds"]["buckets"]["go"]["doc_count"] == games["go"]
    assert answer["some"] == {"doc_count": games["tafl"], "n": {"value": games["tafl"]}}


def test_terms_state_how_far_they_may_be_off(client: OpenSearch) -> None:
    answer = client.search(
        index="reports",
        body=reports(
            size=0, aggs={"players": {"terms": {"field": "player", "size": 5, "shard_size": 5}}}
        ),
    )["aggregations"]["players"]
    true = Counter(doc["player"] for doc in NAMES.values())
    assert answer["doc_count_error_upper_bound"] > 0
    for bucket in answer["buckets"]:
        assert (
            bucket["doc_count"]
            <= true[bucket["key"]]
            <= bucket["doc_count"] + answer["doc_count_error_upper_bound"]
        )
    assert (
        sum(each["doc_count"] for each in answer["buckets"]) + answer["sum_other_doc_count"]
        == DOCUMENTS
    )


def test_document_life(clients: list[OpenSearch]) -> None:
    one, two = clients
    assert one.index(index="reports", id="life-1", body={"title": "first"})["result"] == "created"
    assert two.get(index="reports", id="life-1")["_source"] == {"title": "first"}
    with pytest.raises(ConflictError):
        two.create(index="reports", id="life-1", body={"title": "again"})
    assert (
        one.update(index="reports", id="life-1", body={"doc": {"moves": 3}})["result"] == "updated"
    )
    assert two.get(index="reports", id="life-1")["_source"] == {"title": "first", "moves": 3}
    assert one.exists(index="reports", id="life-1")
    assert two.delete(index="reports", id="life-1")["result"] == "deleted"
    with pytest.raises(NotFoundError):
        one.get(index="reports", id="life-1")
    made = one.index(index="reports", body={"title": "without an id"})
    assert two.get_source(index="reports", id=made["_id"]) == {"title": "without an id"}
    two.delete(index="reports", id=made["_id"])


def test_mget_and_msearch_keep_their_order_and_their_errors_apart(client: OpenSearch) -> None:
    wanted = [corpus.name_of(7), "no-such", corpus.name_of(3), corpus.name_of(7)]
    docs = client.mget(index="reports", body={"ids": wanted})["docs"]
    assert [doc["_id"] for doc in docs] == wanted and [doc["found"] for doc in docs] == [
        True,
        False,
        True,
        True,
    ]
    answers = client.msearch(
        index="reports",
        body=[
            {},
            reports({"term": {"game": "go"}}, size=1),
            {},
            {"query": {"fuzzy": {"x": 1}}},
            {"index": "nowhere"},
            {"query": {"match_all": {}}},
            {},
            reports(size=0),
        ],
    )["responses"]
    assert [each["status"] for each in answers] == [200, 400, 404, 200]
    assert answers[3]["hits"]["total"]["value"] == DOCUMENTS


def test_bulk_by_the_clients_own_helper(client: OpenSearch) -> None:
    actions = [
        {"_index": "reports", "_id": f"bulk-{each}", "title": f"bulk {each}"} for each in range(100)
    ]
    done, errors = helpers.bulk(client, actions, refresh=True)
    assert (done, errors) == (100, [])
    query = {"query": {"term": {"title": "bulk"}}}
    assert client.count(index="reports", body=query)["count"] == 100
    gone = [
        {"_op_type": "delete", "_index": "reports", "_id": f"bulk-{each}"} for each in range(100)
    ]
    assert helpers.bulk(client, gone)[0] == 100
    assert client.count(index="reports", body=query)["count"] == 0


def test_routing_narrows_the_parts(client: OpenSearch) -> None:
    client.index(index="reports", id="routed", routing="team-9", body={"title": "routedword"})
    answer = client.search(
        index="reports",
        body={"query": {"match": {"title": "routedword"}}},
        params={"routing": "team-9"},
    )
    assert ids(answer) == ["routed"] and answer["_shards"]["total"] == 1
    assert client.get(index="reports", id="routed", routing="team-9")["found"]
    client.delete(index="reports", id="routed", routing="team-9")


def test_an_index_made_at_one_broker_is_known_to_the_other(clients: list[OpenSearch]) -> None:
    one, two = clients
    made = one.indices.create(
        index="games-2026",
        body={
            "settings": {"index": {"number_of_shards": 5}},
            "mappings": {"properties": {"name": {"type": "keyword"}, "at": {"type": "date"}}},
        },
    )
    assert made["acknowledged"]
    assert two.indices.exists(index="games-2026")
    with pytest.raises(RequestError):
        two.indices.create(index="games-2026")
    assert two.indices.put_mapping(
        index="games-2026", body={"properties": {"n": {"type": "long"}}}
    )["acknowledged"]
    for number in range(20):
        two.index(index="games-2026", id=str(number), body={"name": f"n{number % 3}", "n": number})
    one.indices.refresh(index="games-2026")
    answer = one.search(
        index="games-2026", body={"query": {"term": {"name": "n1"}}, "sort": [{"n": "desc"}]}
    )
    assert (
        ids(answer) == ["19", "16", "13", "10", "7", "4", "1"] and answer["_shards"]["total"] == 5
    )
    both = one.search(index="games-2026,reports", body={"size": 0, "track_total_hits": True})
    assert both["_shards"]["total"] == 17
    assert one.indices.get_mapping(index="games-2026")["games-2026"]["mappings"]["properties"][
        "name"
    ] == {"type": "keyword"}
    assert one.indices.delete(index="games-2026")["acknowledged"]
    assert not one.indices.exists(index="games-2026")


@pytest.mark.parametrize(
    ("body", "words"),
    [
        ({"query": {"fuzzy": {"a": "b"}}}, "unknown query [fuzzy]"),
        (
            {"query": {"match": {"a": {"query": "b", "fuzziness": 2}}}},
            "[fuzziness] is not supported",
        ),
        ({"highlight": {}}, "[highlight] is not supported"),
        (
            {"aggs": {"a": {"percentiles": {"field": "x"}}}},
            "unknown aggregation type [percentiles]",
        ),
        (
            {"aggs": {"a": {"terms": {"field": "x", "order": {"_count": "asc"}}}}},
            "is not supported",
        ),
        ({"size": 10_001}, "Result window is too large"),
        ({"sort": [{"a": {"order": "asc", "mode": "avg"}}]}, "[mode] is not supported"),
        ({"search_after": [1]}, "search_after"),
        ({"timeout": "5 parsecs"}, "failed to parse"),
    ],
)
def test_what_is_not_supported_is_named(
    client: OpenSearch, body: dict[str, Any], words: str
) -> None:
    with pytest.raises(RequestError) as caught:
        client.search(index="reports", body=body)
    assert words in caught.value.info["error"]["reason"]


def test_unknown_parameters_and_indices_are_named(client: OpenSearch) -> None:
    with pytest.raises(RequestError, match="unrecognized parameter: \\[q\\]"):
        client.search(index="reports", params={"q": "title:go"})
    with pytest.raises(NotFoundError):
        client.search(index="nowhere")
