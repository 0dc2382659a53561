"""Faults of nodes at their sockets, and the answers that clients get."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
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
    shard_answer,
    unresponsive,
    wait_for,
)


def test_an_unresponsive_node_causes_a_hedge_to_another(run: Running, client: Client) -> None:
    client("POST", SEARCH)  # after this the broker has a response time of every shard
    run.nodes[0].script = unresponsive
    answers = [client("POST", SEARCH) for _ in range(6)]
    assert [each.status for each in answers] == [200] * 6
    assert all(
        document_names(each.body) == {"s0", "s1"} and each.body["_shards"]["failed"] == 0
        for each in answers
    )


def test_a_lookup_with_unresponsive_nodes_is_rejected_in_time(run: Running, client: Client) -> None:
    for node in run.nodes[:2] + run.nodes[2:]:
        node.script = unresponsive
    begun = time.monotonic()
    answer = client("GET", "/reports/_doc/x?timeout=600ms")
    assert answer.status == 429 and time.monotonic() - begun < 0.6
    assert "harmless" in answer.body["error"]["reason"]
    assert client.receives_nothing_for(0.7)  # no bytes follow the final answer


def test_a_search_with_an_unresponsive_shard_is_answered_as_partial(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 1, 2, 3], shards=4) as run:
        client = Client(run.connect())
        run.nodes[3].script = unresponsive
        answer = client("POST", SEARCH + "?timeout=700ms")
        assert answer.status == 200
        assert answer.body["_shards"] | {"failures": 0} == {
            "total": 4,
            "successful": 3,
            "skipped": 0,
            "failed": 1,
            "failures": 0,
        }
        assert answer.body["_shards"]["failures"][0]["shard"] == 3
        assert (
            answer.body["hits"]["total"]["relation"] == "gte" and answer.body["timed_out"] is True
        )
        strict = client("POST", SEARCH + "?timeout=700ms&allow_partial_search_results=false")
        assert (
            strict.status == 503
            and strict.body["error"]["type"] == "search_phase_execution_exception"
        )


def test_a_search_below_its_floor_is_rejected(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 1, 2, 3], shards=4) as run:
        client = Client(run.connect())
        run.nodes[2].script = run.nodes[3].script = unresponsive
        answer = client("POST", SEARCH + "?timeout=500ms")
        assert answer.status == 429 and int(answer.headers["retry-after"]) >= 1


def test_a_late_reply_is_not_forwarded(run: Running, client: Client) -> None:
    released = threading.Event()

    def late(call: Call) -> None:
        if call.probe:
            call.serve()
            return
        released.wait(5)
        with contextlib.suppress(OSError):
            call.serve()

    for node in run.nodes:
        node.script = late
    assert client("POST", SEARCH + "?timeout=300ms").status == 429
    released.set()
    assert client.receives_nothing_for(0.3)
    for node in run.nodes:
        node.script = Call.serve
    assert document_names(client("POST", SEARCH).body) == {"s0", "s1"}


def test_a_reset_within_a_reply_of_sixteen_parts_is_retried(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 0], shards=16, extra_floor=100) as run:
        client = Client(run.connect())
        reset_parts: list[int] = []  # number of parts of the call that is reset

        def reset_half_way(call: Call) -> None:
            if call.probe or reset_parts or len(call.parts) < 16:
                call.serve()
                return
            reset_parts.append(len(call.parts))
            data = orjson.dumps({"responses": [shard_answer(*pair) for pair in call.parts]})
            call.send(
                f"HTTP/1.1 200 OK\r\ncontent-length: {len(data)}\r\n\r\n".encode()
                + data[: len(data) // 2]
            )
            call.reset()

        run.nodes[0].script = run.nodes[1].script = reset_half_way
        answer = client("POST", SEARCH + "?size=16")
        assert reset_parts == [16]
        assert answer.status == 200 and answer.body["_shards"]["failed"] == 0
        assert (
            len(document_names(answer.body)) == 16 and answer.body["hits"]["total"]["value"] == 16
        )


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x01garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n{{{{{",
        b'HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n{"responses":[]}',
        b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\ncontent-encoding: gzip\r\ncontent-length: 4\r\n\r\nabcd",
    ],
)
def test_a_malformed_reply_fails_its_own_part_only(
    run: Running, client: Client, data: bytes
) -> None:
    def malformed(call: Call) -> None:
        if call.probe:
            call.serve()
        else:
            call.send(data)

    run.nodes[0].script = malformed
    for _ in range(4):
        answer = client("POST", SEARCH)
        assert answer.status == 200 and document_names(answer.body) == {"s0", "s1"}


def test_a_reply_with_more_hits_than_requested_is_an_error(run: Running, client: Client) -> None:
    def extra_hits(call: Call) -> None:
        if call.probe:
            call.serve()
            return
        answer = shard_answer(*call.parts[0])
        answer["hits"]["hits"] *= 50  # more hits than requested, all of the same document
        call.reply({"responses": [answer] * len(call.parts)})

    run.nodes[0].script = run.nodes[1].script = extra_hits
    answer = client("POST", SEARCH + "?timeout=600ms")
    assert answer.status == 429


@pytest.mark.parametrize("count", [0, 2])
def test_more_or_fewer_replies_than_parts_are_an_error_of_that_call(
    run: Running, client: Client, count: int
) -> None:
    def wrong_count(call: Call) -> None:
        if call.probe:
            call.serve()
        else:
            call.reply({"responses": [shard_answer(*call.parts[0])] * count})

    run.nodes[0].script = run.nodes[1].script = wrong_count
    assert client("POST", SEARCH + "?timeout=600ms").status == 429
    run.nodes[0].script = run.nodes[1].script = Call.serve
    assert wait_for(lambda: client("POST", SEARCH).status == 200)


def test_a_thirty_megabyte_reply_is_read_and_one_above_the_bound_is_not(tmp_path: Path) -> None:
    with broker(tmp_path, [0], shards=1) as run:
        client = Client(run.connect())

        def padded(call: Call) -> None:
            if call.probe:
                call.serve()
                return
            answer = shard_answer(*call.parts[0])
            if "_source" in answer["hits"]["hits"][0]:
                answer["hits"]["hits"][0]["_source"]["pad"] = "x" * size
            call.reply({"responses": [answer]})

        run.nodes[0].script = padded
        size = 30 * 1024 * 1024
        answer = client("POST", SEARCH + "?timeout=3s")
        assert (
            answer.status == 200 and len(answer.body["hits"]["hits"][0]["_source"]["pad"]) == size
        )
        size = 70 * 1024 * 1024
        answer = client("POST", SEARCH + "?timeout=3s")
        assert answer.status in (429, 503) or answer.body["_shards"]["failed"] == 1


def test_an_unsafe_write_that_may_have_run_is_not_retried(run: Running, client: Client) -> None:
    """The node gets the complete write but sends no answer, so the write may have run.

    It must not be sent again, and the client's error must say that the outcome is unknown.
    """
    assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for node in run.nodes:
        node.script = lambda call: call.reset() if call.write else call.serve()
    before = sum(len(node.work()) for node in run.nodes)
    answer = client("PUT", "/reports/_create/a", {"n": 1})
    assert answer.status == 503 and "may or may not" in answer.body["error"]["reason"]
    assert sum(len(node.work()) for node in run.nodes) == before + 1


def test_an_idle_connection_closed_by_the_node_is_not_reused_for_a_write(
    run: Running, client: Client
) -> None:
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for node in run.nodes:
        for sock in node.socks:
            sock.shutdown(socket.SHUT_RDWR)
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201


def test_an_idle_connection_with_stray_bytes_is_not_reused(run: Running, client: Client) -> None:
    """The stray bytes would be treated as the answer to the next call."""
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    capsules = run.service.core.aggregator.capsules.values()
    # No health check is in flight.
    assert wait_for(lambda: not run.call(lambda: any(each.is_probe_pending for each in capsules)))
    stray = b"HTTP/1.1 500 Late\r\ncontent-length: 2\r\n\r\n{}"
    idle = [sock for node in run.nodes for sock in node.socks]
    for sock in idle:
        sock.sendall(stray)
    before = [len(node.calls) for node in run.nodes]
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    after = [
        call for node, count in zip(run.nodes, before, strict=True) for call in node.calls[count:]
    ]
    assert after and not any(call.sock in idle for call in after)


@pytest.mark.parametrize("call_rejected", [True, False])
def test_an_unsafe_part_that_was_rejected_is_retried_elsewhere(
    run: Running, client: Client, call_rejected: bool
) -> None:
    """The node rejects either the complete call or only the write within it."""
    tokens: list[str] = []

    def rejects_once(call: Call) -> None:
        if call.write:
            tokens.append(call.token)
            if len(tokens) == 1:
                answer = bulk_answer(call.body)
                next(iter(answer["items"][0].values()))["status"] = 429
                call.reply(answer, 429 if call_rejected else 200)
                return
        call.serve()

    for node in run.nodes:
        node.script = rejects_once
    assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    assert len(tokens) == 2 and tokens[0] == tokens[1]


def test_a_keyed_part_is_retried_with_its_token(run: Running, client: Client) -> None:
    tokens: list[str] = []

    def resets_once(call: Call) -> None:
        if call.write:
            tokens.append(call.token)
            if len(tokens) == 1:
                call.reset()
                return
        call.serve()

    for node in run.nodes:
        node.script = resets_once
    assert client("PUT", "/reports/_doc/a", {"n": 1}).status == 201
    assert len(tokens) == 2 and tokens[0] == tokens[1]


def test_a_node_that_restarts_on_its_address_is_used_again(run: Running, client: Client) -> None:
    for number in (0, 1):
        run.nodes[number].listener.shutdown(socket.SHUT_RDWR)
        for sock in run.nodes[number].socks:
            sock.close()
    # No node of shard 0 is running.
    assert client("POST", SEARCH + "?timeout=500ms").status == 429
    restarted = run.nodes[1]
    new_listener = socket.socket()
    new_listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    restarted.listener.close()
    new_listener.bind(("127.0.0.1", restarted.port))
    new_listener.listen()
    restarted.listener = new_listener
    threading.Thread(target=restarted.accept, daemon=True).start()
    answers = [client("POST", SEARCH) for _ in range(3)]
    assert answers[-1].status == 200 and document_names(answers[-1].body) == {"s0", "s1"}
