"""GraphQL over HTTP: the points of its audit, each by what the specification asks; docs/graphql.md lists them."""

from __future__ import annotations

import hashlib
import socket
from typing import Any

import orjson
import pytest

from stepknot.simulation.fleet import Fleet
from tests.broker.scripted import WAIT, Answer, Client
from tests.graphql.asking import JSON, Graph, codes, get_body

NEW = "application/graphql-response+json"
TYPENAME = "{__typename}"


@pytest.fixture
def client(fleet: Fleet) -> Client:
    return Client(socket.create_connection(("127.0.0.1", fleet.brokers[1].graph), timeout=WAIT))


def post(client: Client, body: Any, headers: str = JSON, accept: str = NEW) -> Answer:
    return client("POST", "/graphql", body, f"{headers}accept: {accept}\r\n")


@pytest.mark.parametrize(
    "accept,media",
    [
        (NEW, NEW),
        ("application/json", "application/json"),
        ("*/*", NEW),
        ("application/*", NEW),
        (f"{NEW}, application/json;q=0.9", NEW),
        (f"{NEW};q=0.1, application/json", "application/json"),
    ],
)
def test_answers_in_the_media_type_that_is_accepted(
    client: Client, accept: str, media: str
) -> None:
    answer = post(client, {"query": TYPENAME}, accept=accept)
    assert answer.status == 200 and answer.headers["content-type"] == f"{media}; charset=utf-8"
    assert answer.body == {"data": {"__typename": "Query"}}


def test_without_accept_it_is_the_newer_media_type(client: Client) -> None:
    assert (
        client("POST", "/graphql", {"query": TYPENAME}, JSON)
        .headers["content-type"]
        .startswith(NEW)
    )


def test_nothing_acceptable_is_a_406(client: Client) -> None:
    assert post(client, {"query": TYPENAME}, accept="text/html").status == 406


@pytest.mark.parametrize(
    "headers",
    [
        "",
        "content-type: text/plain\r\n",
        "content-type: application/graphql\r\n",
        "content-type: application/json; charset=latin1\r\n",
    ],
)
def test_a_body_of_another_media_type_is_a_415(client: Client, headers: str) -> None:
    assert post(client, {"query": TYPENAME}, headers).status == 415


@pytest.mark.parametrize(
    "headers",
    [
        "content-type: application/json; charset=utf-8\r\n",
        "content-type: application/json;charset=UTF-8\r\n",
    ],
)
def test_utf8_may_be_said(client: Client, headers: str) -> None:
    assert post(client, {"query": TYPENAME}, headers).status == 200


BAD_BODIES: list[Any] = [
    b"",
    b"{",
    b"nonsense",
    b"1",
    b'"{__typename}"',
    b"null",
    b'{"query": "\xff\xfe"}',
    {"query": {"a": 1}},
    {"query": 1},
    {"query": [TYPENAME]},
    {"query": True},
    {"qeury": TYPENAME},
    {},
    [{"query": TYPENAME}],
    {"query": TYPENAME, "variables": [1]},
    {"query": TYPENAME, "variables": "x"},
    {"query": TYPENAME, "variables": 1},
    {"query": TYPENAME, "operationName": {"a": 1}},
    {"query": TYPENAME, "operationName": 1},
    {"query": TYPENAME, "extensions": [1]},
    {"query": TYPENAME, "extensions": "x"},
    {"query": TYPENAME, "extensions": {"persistedQuery": 1}},
    {"query": TYPENAME, "extensions": {"persistedQuery": {"version": 2, "sha256Hash": "0" * 64}}},
]


@pytest.mark.parametrize("body", BAD_BODIES, ids=[str(each)[:50] for each in BAD_BODIES])
def test_a_malformed_request_is_a_400_that_says_why(client: Client, body: Any) -> None:
    for accept in (NEW, "application/json"):
        answer = post(client, body, accept=accept)
        if body == {} or body == {"qeury": TYPENAME}:
            assert answer.status == (400 if accept == NEW else 200)
        else:
            assert answer.status == 400
        assert "data" not in answer.body and answer.body["errors"][0]["message"]
    assert post(client, {"query": TYPENAME}).status == 200  # the connection goes on


@pytest.mark.parametrize(
    "body",
    [
        {"query": TYPENAME, "variables": None},
        {"query": TYPENAME, "operationName": None},
        {"query": TYPENAME, "extensions": None},
        {"query": TYPENAME, "variables": {}},
        {"query": "query A" + TYPENAME, "operationName": "A"},
        {"query": TYPENAME, "operationName": ""},
    ],
)
def test_what_may_be_null_or_empty(client: Client, body: Any) -> None:
    assert post(client, body).status == 200


@pytest.mark.parametrize(
    "query,code",
    [
        ("{", "GRAPHQL_PARSE_FAILED"),
        ("", "GRAPHQL_PARSE_FAILED"),
        ("{ nope }", "GRAPHQL_VALIDATION_FAILED"),
        ("query A {__typename} query B {__typename}", "OPERATION_RESOLUTION_FAILURE"),
        ("subscription { a }", "GRAPHQL_VALIDATION_FAILED"),
        ("fragment F on Query {__typename}", "GRAPHQL_VALIDATION_FAILED"),
        ("query($n: Int!) {reports(first: $n) {totalCount}}", "BAD_USER_INPUT"),
    ],
)
def test_a_request_error_is_400_in_the_newer_media_type_and_200_in_the_older(
    client: Client, query: str, code: str
) -> None:
    answer = post(client, {"query": query})
    assert (
        answer.status == 400
        and {each for _, each in codes(answer)} == {code}
        and "data" not in answer.body
    )
    answer = post(client, {"query": query}, accept="application/json")
    assert answer.status == 200 and "data" not in answer.body


def test_get_runs_queries(client: Client) -> None:
    answer = client(
        "GET",
        get_body(
            query="query A($n: Int){reports(first: $n){nodes{id}}} query B{__typename}",
            operationName="A",
            variables={"n": 2},
        ),
    )
    assert answer.status == 200 and len(answer.body["data"]["reports"]["nodes"]) == 2
    assert client("GET", "/graphql").status == 400
    assert client("GET", get_body(query=TYPENAME, variables="{")).status == 400
    assert client("GET", get_body(query=TYPENAME, variables="[1]")).status == 400


def test_get_runs_no_mutations(client: Client) -> None:
    answer = client("GET", get_body(query='mutation{deleteReport(id: "r0000001"){id}}'))
    assert answer.status == 405 and answer.headers["allow"] == "POST"
    assert client("GET", get_body(query='{report(id: "r0000001"){id}}')).body["data"]["report"] == {
        "id": "r0000001"
    }


@pytest.mark.parametrize("method", ["PUT", "DELETE", "PATCH"])
def test_other_methods_are_a_405(client: Client, method: str) -> None:
    answer = client(method, "/graphql", {"query": TYPENAME}, JSON)
    assert answer.status == 405 and answer.headers["allow"] == "GET, POST"


def test_another_path_is_a_404(client: Client) -> None:
    assert client("POST", "/reports/_search", {"query": TYPENAME}, JSON).status == 404


# --- persisted queries


def hashed(text: str) -> dict[str, Any]:
    return {
        "persistedQuery": {"version": 1, "sha256Hash": hashlib.sha256(text.encode()).hexdigest()}
    }


def test_a_persisted_query_is_sent_along_once(client: Client) -> None:
    text = "query Persisted { reports(first: 1) { nodes { id } } }"
    answer = post(client, {"extensions": hashed(text)})
    assert answer.status == 200 and codes(answer) == [((), "PERSISTED_QUERY_NOT_FOUND")]
    assert answer.body["errors"][0]["message"] == "PersistedQueryNotFound"
    assert post(client, {"query": text, "extensions": hashed(text)}).status == 200
    assert "reports" in post(client, {"extensions": hashed(text)}).body["data"]
    assert "reports" in client("GET", get_body(extensions=hashed(text))).body["data"]


def test_a_hash_that_does_not_fit_or_a_text_that_is_not_valid_is_not_kept(client: Client) -> None:
    wrong = "{ __typename a: __typename }"
    answer = post(client, {"query": TYPENAME, "extensions": hashed(wrong)})
    assert answer.status == 400 and "sha" in answer.body["errors"][0]["message"]
    assert codes(post(client, {"extensions": hashed(wrong)})) == [((), "PERSISTED_QUERY_NOT_FOUND")]
    invalid = "{ nothing }"
    assert post(client, {"query": invalid, "extensions": hashed(invalid)}).status == 400
    assert codes(post(client, {"extensions": hashed(invalid)})) == [
        ((), "PERSISTED_QUERY_NOT_FOUND")
    ]


def test_compressed_and_pipelined_requests(fleet: Fleet) -> None:
    import gzip

    sock = socket.create_connection(("127.0.0.1", fleet.brokers[1].graph), timeout=WAIT)
    client = Client(sock)
    data = gzip.compress(orjson.dumps({"query": TYPENAME}))
    for _ in range(3):
        client.ask("POST", "/graphql", data, JSON + "content-encoding: gzip\r\n")
    assert [client.read().status for _ in range(3)] == [200] * 3


def test_names_of_requests_come_back(fleet: Fleet) -> None:
    graph = Graph.of(fleet.brokers[0])
    assert graph(TYPENAME, headers="x-opaque-id: mine\r\n").headers["x-opaque-id"] == "mine"
