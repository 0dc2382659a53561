"""Operations against real brokers and boxes; answers are held against the corpus itself."""

from __future__ import annotations

import datetime
from collections import Counter
from typing import Any

import pytest
from graphql import get_introspection_query

from stepknot.simulation import corpus
from stepknot.simulation.fleet import Fleet
from tests.broker.scripted import Client
from tests.conftest import DOCUMENTS
from tests.graphql.asking import Graph, codes, coverage

DOCS = {corpus.name_of(number): corpus.document(number) for number in range(DOCUMENTS)}
CORPUS = "club: {exists: true}"  # other tests write documents without a club to the same index


@pytest.fixture(scope="module")
def graph(fleet: Fleet) -> Graph:
    return Graph.of(fleet.brokers[0])


def moment(milliseconds: int) -> str:
    at = datetime.datetime.fromtimestamp(milliseconds // 1000, datetime.UTC)
    return f"{at:%Y-%m-%dT%H:%M:%S}.{milliseconds % 1000:03d}Z"


def test_a_page_in_its_order_with_what_was_asked_for(graph: Graph) -> None:
    page = graph.data(f"""{{ reports(first: 5, where: {{game: {{eq: "go"}}, {CORPUS}}},
        sort: [{{by: rating, order: DESC}}]) {{ totalCount totalIsExact pageInfo {{ hasNextPage hasPreviousPage }}
        edges {{ score node {{ id title rating played ranked }} }} }} }}""")["reports"]
    wanted = sorted((-doc["rating"], name) for name, doc in DOCS.items() if doc["game"] == "go")
    assert page["totalCount"] == len(wanted) and page["totalIsExact"]
    assert page["pageInfo"] == {"hasNextPage": True, "hasPreviousPage": False}
    assert [each["node"]["id"] for each in page["edges"]] == [name for _, name in wanted[:5]]
    for each in page["edges"]:
        node, doc = each["node"], DOCS[each["node"]["id"]]
        assert node == {
            "id": node["id"],
            "title": doc["title"],
            "rating": doc["rating"],
            "played": moment(doc["played"]),
            "ranked": doc.get("ranked"),
        }


def test_cursors_lead_through_all_rows_once(graph: Graph) -> None:
    query = """query($after: String) { reports(first: 7, after: $after, where: {game: {eq: "hex"}},
        sort: [{by: club}]) { nodes { id } pageInfo { hasNextPage endCursor } } }"""
    seen: list[str] = []
    after = None
    for _ in range(100):
        page = graph.data(query, {"after": after})["reports"]
        seen += [each["id"] for each in page["nodes"]]
        after = page["pageInfo"]["endCursor"]
        if not page["pageInfo"]["hasNextPage"]:
            break
    wanted = sorted((doc["club"], name) for name, doc in DOCS.items() if doc["game"] == "hex")
    assert seen == [name for _, name in wanted] and len(seen) > 120
    assert (
        len({club for club, _ in wanted}) < len(seen) * 2 / 3
    )  # pages end among rows that the sort holds equal


def test_a_cursor_of_another_sort_is_turned_down(graph: Graph) -> None:
    page = graph.data("{reports(first: 1, sort: [{by: moves}]){pageInfo{endCursor}}}")["reports"]
    after = page["pageInfo"]["endCursor"]
    for text in (after, "nonsense", ""):
        answer = graph(
            "query($a: String){reports(after: $a, sort: [{by: rating}]){nodes{id}}}", {"a": text}
        )
        assert answer.status == 400 and codes(answer) == [((), "BAD_USER_INPUT")]


FILTERS: list[tuple[str, Any]] = [
    ('game: {in: ["go", "mill"]}', lambda doc: doc["game"] in ("go", "mill")),
    ("game: {in: []}", lambda doc: False),
    ('club: {prefix: "club-01"}', lambda doc: doc["club"].startswith("club-01")),
    ("rating: {gte: 1500, lt: 1600}", lambda doc: 1500 <= doc["rating"] < 1600),
    ("ranked: {exists: false}", lambda doc: "ranked" not in doc),
    ("ranked: {eq: true}", lambda doc: doc.get("ranked") is True),
    (
        'title: {matchAll: "quiet chess"}',
        lambda doc: {"quiet", "chess"} <= set(doc["title"].split()),
    ),
    (
        'title: {match: "quiet chess"}',
        lambda doc: bool({"quiet", "chess"} & set(doc["title"].split())),
    ),
    (
        'or: [{game: {eq: "go"}}, {rating: {gt: 2000}}]',
        lambda doc: doc["game"] == "go" or doc["rating"] > 2000,
    ),
    ("or: []", lambda doc: False),
    ('not: {game: {eq: "go"}}', lambda doc: doc["game"] != "go"),
    (
        'and: [{game: {eq: "go"}}, {not: {rating: {lt: 1500}}}]',
        lambda doc: doc["game"] == "go" and doc["rating"] >= 1500,
    ),
    (
        'played: {gte: "2024-01-01", lt: "2024-02-01T00:00:00Z"}',
        lambda doc: moment(doc["played"])[:7] == "2024-01",
    ),
    ('id: {in: ["r0000003", "nope"]}', lambda doc: doc is DOCS["r0000003"]),
]


@pytest.mark.parametrize("where,fits", FILTERS, ids=[each for each, _ in FILTERS])
def test_filters(graph: Graph, where: str, fits: Any) -> None:
    page = graph.data(f"{{reports(where: {{and: [{{{where}}}, {{{CORPUS}}}]}}){{totalCount}}}}")[
        "reports"
    ]
    assert page["totalCount"] == sum(fits(doc) for doc in DOCS.values())


def test_search_by_relevance_carries_scores(graph: Graph) -> None:
    edges = graph.data('{reports(search: "gambit mancala", first: 20){edges{score node{title}}}}')[
        "reports"
    ]["edges"]
    scores = [each["score"] for each in edges]
    assert len(scores) == 20 and scores == sorted(scores, reverse=True) and scores[0] > scores[-1]
    assert {"gambit", "mancala"} <= set(edges[0]["node"]["title"].split())


def test_aggregations_under_several_names(graph: Graph) -> None:
    page = graph.data(f"""{{ reports(where: {{{CORPUS}}}) {{ all: aggregate {{ count
        games: terms(field: game, first: 3) {{ buckets {{ key count aggregate {{
            best: stats(field: rating) {{ max }} worst: stats(field: rating) {{ min }} }} }} otherCount }}
        clubs: distinct(field: club) {{ value lowerBound }}
        years: dateHistogram(field: played, calendar: YEAR) {{ key count }}
        moves: histogram(field: moves, interval: 50) {{ key count }} }}
        second: aggregate {{ games: terms(field: club, first: 1) {{ buckets {{ key }} }} }} }} }}""")[
        "reports"
    ]
    found, games = page["all"], Counter(doc["game"] for doc in DOCS.values())
    assert found["count"] == DOCUMENTS
    top = sorted(games, key=lambda name: (-games[name], name))[:3]
    assert [(each["key"], each["count"]) for each in found["games"]["buckets"]] == [
        (name, games[name]) for name in top
    ]
    for each in found["games"]["buckets"]:
        ratings = [doc["rating"] for doc in DOCS.values() if doc["game"] == each["key"]]
        assert each["aggregate"] == {"best": {"max": max(ratings)}, "worst": {"min": min(ratings)}}
    assert found["games"]["otherCount"] == DOCUMENTS - sum(games[name] for name in top)
    assert (
        found["clubs"]["value"] == len({doc["club"] for doc in DOCS.values()})
        and not found["clubs"]["lowerBound"]
    )
    assert {each["key"][:4]: each["count"] for each in found["years"]} == Counter(
        moment(doc["played"])[:4] for doc in DOCS.values()
    )
    assert sum(each["count"] for each in found["moves"]) == DOCUMENTS
    clubs = Counter(doc["club"] for doc in DOCS.values())
    assert page["second"]["games"]["buckets"] == [{"key": max(clubs, key=lambda name: clubs[name])}]


def test_a_page_that_wants_no_documents_is_whole_and_costs_one_step(graph: Graph) -> None:
    answer = graph("{ reports(first: 4) { nodes { id } } }")
    assert (
        len(answer.body["data"]["reports"]["nodes"]) == 4
        and answer.body["extensions"]["cost"] == 12
    )
    assert coverage(answer) == {("reports",): (12, 12, True)}


def test_both_fronts_count_the_same(graph: Graph, fleet: Fleet) -> None:
    import socket

    client = Client(socket.create_connection(("127.0.0.1", fleet.brokers[0].port), timeout=10))
    other = client("POST", "/reports/_count", {"query": {"term": {"game": "shogi"}}}).body["count"]
    assert (
        graph.data('{reports(where: {game: {eq: "shogi"}}){totalCount}}')["reports"]["totalCount"]
        == other
        > 0
    )


ENTITIES = """query($keys: [_Any!]!) { _entities(representations: $keys) { __typename
    ... on Report { id title } ... on Club { name reportCount reportsSinceFounded bestRating } } }"""


def test_500_keys_of_which_30_are_unknown_and_some_come_twice(graph: Graph) -> None:
    names = [corpus.name_of(number) for number in range(470)] + [
        f"unknown-{each}" for each in range(20)
    ]
    names += names[:10]  # 500, with ten again
    answer = graph(ENTITIES, {"keys": [{"__typename": "Report", "id": name} for name in names]})
    assert "errors" not in answer.body
    assert answer.body["data"]["_entities"] == [
        {"__typename": "Report", "id": name, "title": DOCS[name]["title"]} if name in DOCS else None
        for name in names
    ]
    assert answer.body["extensions"]["cost"] == 12  # a part for each shard, not one for each key
    assert coverage(answer) == {("_entities", "Report"): (12, 12, True)}


def test_several_key_sets_types_and_mistakes_in_one_batch(graph: Graph) -> None:
    some = DOCS["r0000007"]
    twice = Counter((doc["player"], doc["played"]) for doc in DOCS.values())
    assert twice[some["player"], some["played"]] == 1
    keys = [
        {"__typename": "Report", "player": some["player"], "played": moment(some["played"])},
        {"__typename": "Report", "player": some["player"], "played": some["played"] + 1},
        {"__typename": "Report", "id": 7},
        {"__typename": "Report", "id": {"a": 1}},
        {"__typename": "Report", "player": "alone"},
        {"__typename": "Report", "player": some["player"], "played": "yesterday"},
        {"__typename": "Stranger", "id": "1"},
        {"id": "r0000001"},
        "r0000001",
        {"__typename": "Club", "name": "club-003"},
        {"__typename": "Club", "name": "nobody"},
        {"__typename": "Club", "name": "club-003", "founded": "2024-06-01"},
        {"__typename": "Club", "name": 3},
    ]
    answer = graph(ENTITIES, {"keys": keys})
    found = answer.body["data"]["_entities"]
    assert found[0] == {"__typename": "Report", "id": "r0000007", "title": some["title"]}
    assert found[1:9] == [None] * 8 and found[12] is None
    mistakes = [(("_entities", place), "BAD_USER_INPUT") for place in (3, 4, 5, 6, 7, 8, 12)]
    assert sorted(each for each in codes(answer) if len(each[0]) == 2) == sorted(mistakes)
    members = [doc for doc in DOCS.values() if doc["club"] == "club-003"]
    since = sum(moment(doc["played"]) >= "2024-06-01" for doc in members)
    best = max(doc["rating"] for doc in members)
    assert found[9] == {
        "__typename": "Club",
        "name": "club-003",
        "reportCount": len(members),
        "reportsSinceFounded": None,
        "bestRating": best,
    }
    assert found[10] == {
        "__typename": "Club",
        "name": "nobody",
        "reportCount": 0,
        "reportsSinceFounded": None,
        "bestRating": None,
    }
    assert found[11] == found[9] | {"reportsSinceFounded": since} and 0 < since < len(members)
    assert {each for each in codes(answer) if len(each[0]) == 3} == {
        (("_entities", place, "reportsSinceFounded"), "BAD_USER_INPUT") for place in (9, 10)
    }


def test_a_reference_leads_to_counts_of_all_rows_in_one_search(graph: Graph) -> None:
    answer = graph("""{ reports(first: 40, where: {game: {eq: "tafl"}}) {
        nodes { home { name reportCount bestRating reportsSinceFounded } again: home { reportCount } } } }""")
    nodes = answer.body["data"]["reports"]["nodes"]
    assert len(nodes) == 40
    for each in nodes:
        members = [doc for doc in DOCS.values() if doc["club"] == each["home"]["name"]]
        assert each["home"]["reportCount"] == each["again"]["reportCount"] == len(members)
        assert each["home"]["bestRating"] == max(doc["rating"] for doc in members)
    assert {code for _, code in codes(answer)} == {
        "VALUE_NOT_GIVEN"
    }  # founded is not known here, and that is said
    assert coverage(answer) == {("reports",): (12, 12, True), ("reports", "home"): (12, 12, True)}


def test_writes_run_in_their_order_and_say_what_became_of_each(graph: Graph) -> None:
    answer = graph("""mutation { a: createReport(id: "gql-1", document: {title: "one", rating: 7, played: "2025-01-01"})
        { id result version } b: createReport(id: "gql-1", document: {title: "two"}) { id }
        c: updateReport(id: "gql-1", document: {rating: 8}) { version } d: deleteReport(id: "gql-none") { id }
        e: indexReport(id: "gql-2", document: {title: "three"}) { result }
        f: createReport(document: {title: "x"}) { id } }""")
    data = answer.body["data"]
    assert data["a"] == {"id": "gql-1", "result": "created", "version": 1} and data["c"] == {
        "version": 2
    }
    assert data["b"] is None and data["d"] is None and data["e"] == {"result": "created"}
    assert codes(answer) == [(("b",), "CONFLICT"), (("d",), "NOT_FOUND")]
    rows = graph.data('{a: report(id: "gql-1"){title rating played} c: report(id: "gql-none"){id}}')
    assert rows == {
        "a": {"title": "one", "rating": 8, "played": "2025-01-01T00:00:00.000Z"},
        "c": None,
    }
    made = data["f"]["id"]
    gone = graph.data(
        "mutation { "
        + " ".join(
            f'{place}: deleteReport(id: "{name}") {{ result }}'
            for place, name in (("a", "gql-1"), ("b", "gql-2"), ("c", made))
        )
        + " }"
    )
    assert {each["result"] for each in gone.values()} == {"deleted"}


def test_fragments_variables_skip_and_include(graph: Graph) -> None:
    data = graph.data(
        """query Q($with: Boolean!, $n: Int = 1) { reports(first: $n) { ...Page @skip(if: false) }
        report(id: "r0000001") @include(if: $with) { id } }
        fragment Page on ReportConnection { nodes { ...Row title @include(if: $with) } }
        fragment Row on Report { __typename id ... on Report { game } }""",
        {"with": False},
    )
    assert list(data) == ["reports"]
    assert [set(each) for each in data["reports"]["nodes"]] == [{"__typename", "id", "game"}]


def test_selections_that_hang_on_variables_are_not_kept(graph: Graph) -> None:
    """One document, kept, run with other variables: what is asked for follows them."""
    query = """query($t: Boolean!) { reports(first: 1) { nodes { id title @include(if: $t)
        home @ skip(if: $t) { reportCount } } } }"""
    for _ in range(2):
        (node,) = graph.data(query, {"t": True})["reports"]["nodes"]
        assert node == {"id": node["id"], "title": DOCS[node["id"]]["title"]}
        (node,) = graph.data(query, {"t": False})["reports"]["nodes"]
        assert set(node) == {"id", "home"} and node["home"]["reportCount"] > 0


def test_introspection_by_the_standard_query(graph: Graph) -> None:
    types = {each["name"] for each in graph.data(get_introspection_query())["__schema"]["types"]}
    assert {"Report", "ReportConnection", "Club", "_Entity", "_Service", "_Any"} <= types
