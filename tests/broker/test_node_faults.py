"""Faults of nodes at the sockets, and what clients then get."""

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
    client("POST", SEARCH)  # something is heard of all
    run.boxes[0].script = unresponsive
    answers = [client("POST", SEARCH) for _ in range(6)]
    assert [each.status for each in answers] == [200] * 6
    assert all(
        document_names(each.body) == {"s0", "s1"} and each.body["_shards"]["failed"] == 0
        for each in answers
    )


def test_a_lookup_with_unresponsive_nodes_is_rejected_in_time(run: Running, client: Client) -> None:
    for box in run.boxes[:2] + run.boxes[2:]:
        box.script = unresponsive
    begun = time.monotonic()
    answer = client("GET", "/reports/_doc/x?timeout=600ms")
    assert answer.status == 429 and time.monotonic() - begun < 0.6
    assert "harmless" in answer.body["error"]["reason"]
    assert client.silent_for(0.7)  # nothing after the final answer


def test_a_search_with_an_unresponsive_shard_is_answered_as_partial(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 1, 2, 3], shards=4) as run:
        client = Client(run.connect())
        run.boxes[3].script = unresponsive
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
        run.boxes[2].script = run.boxes[3].script = unresponsive
        answer = client("POST", SEARCH + "?timeout=500ms")
        assert answer.status == 429 and int(answer.headers["retry-after"]) >= 1


def test_a_late_reply_is_not_forwarded(run: Running, client: Client) -> None:
    gate = threading.Event()

    def late(call: Call) -> None:
        if call.probe:
            call.serve()
            return
        gate.wait(5)
        with contextlib.suppress(OSError):
            call.serve()

    for box in run.boxes:
        box.script = late
    assert client("POST", SEARCH + "?timeout=300ms").status == 429
    gate.set()
    assert client.silent_for(0.3)
    for box in run.boxes:
        box.script = Call.serve
    assert document_names(client("POST", SEARCH).body) == {"s0", "s1"}


def test_a_reset_within_a_reply_of_sixteen_parts_is_retried(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 0], shards=16, extra_floor=100) as run:
        client = Client(run.connect())
        struck: list[int] = []

        def half(call: Call) -> None:
            if call.probe or struck or len(call.parts) < 16:
                call.serve()
                return
            struck.append(len(call.parts))
            data = orjson.dumps({"responses": [shard_answer(*pair) for pair in call.parts]})
            call.send(
                f"HTTP/1.1 200 OK\r\ncontent-length: {len(data)}\r\n\r\n".encode()
                + data[: len(data) // 2]
            )
            call.reset()

        run.boxes[0].script = run.boxes[1].script = half
        answer = client("POST", SEARCH + "?size=16")
        assert struck == [16]
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
    def bad(call: Call) -> None:
        if call.probe:
            call.serve()
        else:
            call.send(data)

    run.boxes[0].script = bad
    for _ in range(4):
        answer = client("POST", SEARCH)
        assert answer.status == 200 and document_names(answer.body) == {"s0", "s1"}


def test_a_reply_with_more_hits_than_requested_is_an_error(run: Running, client: Client) -> None:
    def lies(call: Call) -> None:
        if call.probe:
            call.serve()
            return
        answer = shard_answer(*call.parts[0])
        answer["hits"]["hits"] *= 50  # more than were asked for, and the same document again
        call.reply({"responses": [answer] * len(call.parts)})

    run.boxes[0].script = run.boxes[1].script = lies
    answer = client("POST", SEARCH + "?timeout=600ms")
    assert answer.status == 429


@pytest.mark.parametrize("count", [0, 2])
def test_more_or_fewer_replies_than_parts_are_an_error_of_that_call(
    run: Running, client: Client, count: int
) -> None:
    def miscounts(call: Call) -> None:
        if call.probe:
            call.serve()
        else:
            call.reply({"responses": [shard_answer(*call.parts[0])] * count})

    run.boxes[0].script = run.boxes[1].script = miscounts
    assert client("POST", SEARCH + "?timeout=600ms").status == 429
    run.boxes[0].script = run.boxes[1].script = Call.serve
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

        run.boxes[0].script = padded
        size = 30 * 1024 * 1024
        answer = client("POST", SEARCH + "?timeout=3s")
        assert (
            answer.status == 200 and len(answer.body["hits"]["hits"][0]["_source"]["pad"]) == size
        )
        size = 70 * 1024 * 1024
        answer = client("POST", SEARCH + "?timeout=3s")
        assert answer.status in (429, 503) or answer.body["_shards"]["failed"] == 1


def test_an_unsafe_write_that_may_have_run_is_not_retried(run: Running, client: Client) -> None:
    """Whole to the box, then no answer: it may have run, so it is not sent again, and nothing is promised."""
    assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for box in run.boxes:
        box.script = lambda call: call.reset() if call.write else call.serve()
    before = sum(len(box.work()) for box in run.boxes)
    answer = client("PUT", "/reports/_create/a", {"n": 1})
    assert answer.status == 503 and "may or may not" in answer.body["error"]["reason"]
    assert sum(len(box.work()) for box in run.boxes) == before + 1


def test_an_idle_connection_closed_by_the_node_is_not_reused_for_a_write(
    run: Running, client: Client
) -> None:
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for box in run.boxes:
        for sock in box.socks:
            sock.shutdown(socket.SHUT_RDWR)
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201


def test_an_idle_connection_with_stray_bytes_is_not_reused(run: Running, client: Client) -> None:
    """They would be taken for the answer to the next call."""
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    capsules = run.service.core.aggregator.capsules.values()
    assert wait_for(
        lambda: not run.call(lambda: any(each.is_probe_pending for each in capsules))
    )  # no question is out
    stray = b"HTTP/1.1 500 Late\r\ncontent-length: 2\r\n\r\n{}"
    idle = [sock for box in run.boxes for sock in box.socks]
    for sock in idle:
        sock.sendall(stray)
    before = [len(box.calls) for box in run.boxes]
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    after = [
        call for box, count in zip(run.boxes, before, strict=True) for call in box.calls[count:]
    ]
    assert after and not any(call.sock in idle for call in after)


@pytest.mark.parametrize("whole", [True, False])
def test_an_unsafe_part_that_was_rejected_is_retried_elsewhere(
    run: Running, client: Client, whole: bool
) -> None:
    """The whole call, or the write within it."""
    seen: list[str] = []

    def full_once(call: Call) -> None:
        if call.write:
            seen.append(call.token)
            if len(seen) == 1:
                answer = bulk_answer(call.body)
                next(iter(answer["items"][0].values()))["status"] = 429
                call.reply(answer, 429 if whole else 200)
                return
        call.serve()

    for box in run.boxes:
        box.script = full_once
    assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    assert len(seen) == 2 and seen[0] == seen[1]


def test_a_keyed_part_is_retried_with_its_token(run: Running, client: Client) -> None:
    seen: list[str] = []

    def lost_once(call: Call) -> None:
        if call.write:
            seen.append(call.token)
            if len(seen) == 1:
                call.reset()
                return
        call.serve()

    for box in run.boxes:
        box.script = lost_once
    assert client("PUT", "/reports/_doc/a", {"n": 1}).status == 201
    assert len(seen) == 2 and seen[0] == seen[1]


def test_a_node_that_restarts_on_its_address_is_used_again(run: Running, client: Client) -> None:
    for number in (0, 1):
        run.boxes[number].listener.shutdown(socket.SHUT_RDWR)
        for sock in run.boxes[number].socks:
            sock.close()
    assert client("POST", SEARCH + "?timeout=500ms").status == 429  # shard 0 has no box
    old = run.boxes[1]
    again = socket.socket()
    again.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    old.listener.close()
    again.bind(("127.0.0.1", old.port))
    again.listen()
    old.listener = again
    threading.Thread(target=old.accept, daemon=True).start()
    answers = [client("POST", SEARCH) for _ in range(3)]
    assert answers[-1].status == 200 and document_names(answers[-1].body) == {"s0", "s1"}
