"""Valid and malformed requests at the sockets, and clients that are slow, idle or disconnected."""

from __future__ import annotations

import gzip
import socket
from pathlib import Path

import orjson
import pytest

from tests.broker.scripted import (
    SEARCH,
    Call,
    Client,
    Running,
    broker,
    bulk_answer,
    document_names,
    raw,
    shard_answer,
    unresponsive,
    wait_any,
    wait_for,
    warm_up,
)


def test_a_disconnected_clients_parts_are_cancelled(run: Running) -> None:
    for node in run.nodes:
        node.script = unresponsive
    client = Client(run.connect())
    client.ask("POST", SEARCH)
    for pair in (run.nodes[:2], run.nodes[2:]):
        assert wait_any(pair, lambda node: len(node.work()) > 0)
    client.sock.close()
    for pair in (run.nodes[:2], run.nodes[2:]):
        assert wait_any(pair, lambda node: node.closed_count > 0)
    assert run.call(lambda: (len(run.service.core.queries), len(run.service.core.attempts))) == (
        0,
        0,
    )
    assert run.service.core.counts["gone"] == 1


def test_pipelined_queries_of_which_one_fails_are_answered_in_order(
    run: Running, client: Client
) -> None:
    invalid = {"query": {"nonsense": {}}}
    for path, body in (
        (SEARCH, None),
        (SEARCH, invalid),
        (SEARCH, None),
        ("/nowhere/_count", None),
    ):
        client.ask("POST", path, body)
    answers = [client.read() for _ in range(4)]
    assert [each.status for each in answers] == [200, 400, 200, 404]
    assert document_names(answers[2].body) == {"s0", "s1"}


def test_no_answer_follows_one_that_closes_the_connection(run: Running, client: Client) -> None:
    client.sock.sendall(
        b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n\0\0nonsense\r\n\r\n"
    )
    assert client.rest().count(b"HTTP/1.1 ") == 1


def test_a_slow_reader_of_a_large_answer_delays_no_other_client(tmp_path: Path) -> None:
    with broker(tmp_path, [0], shards=1) as run:

        def large(call: Call) -> None:
            if call.probe:
                call.serve()
                return
            answers = [shard_answer(*pair) for pair in call.parts]
            for answer, (_, body) in zip(answers, call.parts, strict=True):
                if "big" in str(body["_source"]):
                    answer["hits"]["hits"][0]["_source"]["pad"] = "x" * (16 << 20)
            call.reply({"responses": answers})

        run.nodes[0].script = large
        warm_up(run)
        slow = Client(run.connect())
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        slow.ask("POST", SEARCH, {"_source": {"includes": ["big", "pad", "name"]}})
        other = Client(run.connect())
        for _ in range(5):
            assert other("POST", SEARCH).status == 200
        answer = slow.read()
        assert len(answer.body["hits"]["hits"][0]["_source"]["pad"]) == 16 << 20


def test_a_query_is_served_beside_two_thousand_idle_clients(run: Running, client: Client) -> None:
    idle = [run.connect() for _ in range(2000)]
    assert wait_for(lambda: len(run.service.server.connections) >= 2001)
    assert client("POST", SEARCH).status == 200
    for sock in idle:
        sock.close()
    assert wait_for(lambda: len(run.service.server.connections) == 1)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET / HTTP/9.9\r\n\r\n", b"400"),
        (b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\nhost: x\r\n\r\n", b"414"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nx: " + b"y" * 20_000 + b"\r\n\r\n", b"431"),
        (b"POST /_bulk HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"400",
        ),
        (
            b"POST /_search HTTP/1.1\r\nhost: x\r\ncontent-encoding: br\r\ncontent-length: 1\r\n\r\nx",
            b"415",
        ),
        (
            b"POST /_search HTTP/1.1\r\nhost: x\r\ncontent-encoding: gzip\r\ncontent-length: 1\r\n\r\nx",
            b"400",
        ),
    ],
)
def test_malformed_http_is_answered_with_its_error_and_closed(
    run: Running, data: bytes, status: bytes
) -> None:
    answer = raw(run, data)
    assert answer.startswith(b"HTTP/1.1 " + status) and b"connection: close" in answer
    assert orjson.loads(answer.partition(b"\r\n\r\n")[2])["status"] == int(status)


def test_gzip_bombs_and_deep_json_are_rejected(run: Running, client: Client) -> None:
    bomb = gzip.compress(b"x" * (64 << 20))
    assert client("POST", SEARCH, bomb, "content-encoding: gzip\r\n").status == 413
    client = Client(run.connect())
    deep = b'{"query":' * 40 + b"1" + b"}" * 40
    answer = client("POST", SEARCH, deep)
    assert answer.status == 400 and "nested over" in answer.body["error"]["reason"]
    assert (
        client("POST", SEARCH, b'{"query": {"match_all": {}}').body["error"]["type"]
        == "json_parse_exception"
    )
    assert (
        client("POST", SEARCH, gzip.compress(b'{"size": 1}'), "content-encoding: gzip\r\n").status
        == 200
    )


def test_chunked_bodies_and_head_requests_are_served_on_one_connection(
    run: Running, client: Client
) -> None:
    client.sock.sendall(
        b"POST /reports/_search HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
        b'5\r\n{"siz\r\n6\r\ne": 1}\r\n0\r\n\r\n'
    )
    assert len(client.read().body["hits"]["hits"]) == 1
    client.ask("HEAD", "/")
    while b"\r\n\r\n" not in client.data:
        client.more()
    head, _, rest = client.data.partition(b"\r\n\r\n")
    assert b"content-length" in head and rest == b""
    client.data = b""
    zipped = client("POST", SEARCH, {"aggs": {}}, "accept-encoding: gzip\r\n")
    assert zipped.status == 200


def test_a_request_that_expects_100_continue_gets_it(run: Running, client: Client) -> None:
    client.sock.sendall(
        b"POST /reports/_search HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
        b"content-length: 11\r\n\r\n"
    )
    assert client.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.sock.sendall(b'{"size": 1}')
    assert client.read().status == 200


def test_a_timeout_of_zero_is_rejected(run: Running, client: Client) -> None:
    assert client("POST", SEARCH + "?timeout=0ms").status == 400


def test_slow_senders_get_a_timeout_error_and_are_closed(tmp_path: Path) -> None:
    with broker(tmp_path, [0], shards=1) as run:
        object.__setattr__(run.service.server.limits, "first_byte", 0.2)
        object.__setattr__(run.service.server.limits, "body_time", 0.2)
        idle_client = Client(run.connect())
        warm_up(run)
        slow = Client(run.connect())
        slow.sock.sendall(b"POST /_search HTTP/1.1\r\nhost: x\r\ncontent-le")
        assert slow.rest().startswith(b"HTTP/1.1 408")
        assert idle_client.rest() == b""


def test_bulk_answers_keep_their_order_over_shards(run: Running, client: Client) -> None:
    for node in run.nodes:
        node.script = lambda call: (
            call.reply(
                {
                    "items": [
                        {"index": {"_id": orjson.loads(line)["index"]["_id"], "status": 201}}
                        for line in call.body.split(b"\n")[:-1:2]
                    ],
                    "errors": False,
                }
            )
            if call.write
            else call.serve()
        )
    lines = b"".join(orjson.dumps({"index": {"_id": f"d{each}"}}) + b"\n{}\n" for each in range(30))
    answer = client("POST", "/reports/_bulk", lines)
    assert [item["index"]["_id"] for item in answer.body["items"]] == [
        f"d{each}" for each in range(30)
    ]
    assert bulk_answer(b'{"index":{"_id":"x"}}\n')["items"]
