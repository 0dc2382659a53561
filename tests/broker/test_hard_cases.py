"""Troubles at the sockets: what boxes do wrong, what clients do wrong, and what both sides then see."""

from __future__ import annotations

import contextlib
import gc
import gzip
import socket
import threading
import time
from collections.abc import Generator, Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from stepknot.broker.core import Ask
from stepknot.net.http import Request, Response
from stepknot.net.server import Connection
from stepknot.net.tasks import Park
from tests.broker.scripted import Call, Client, Running, broker, bulk_answer, shard_answer, until

SEARCH = "/reports/_search"


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Running]:
    """One broker; shards 0 and 1, each held by two boxes (0 and 1; 2 and 3)."""
    with broker(tmp_path, [0, 0, 1, 1]) as running:
        yield running


@pytest.fixture
def client(run: Running) -> Client:
    return Client(run.connect())


def silent(call: Call) -> None:
    """Takes work and never answers; questions are answered."""
    if call.probe:
        call.serve()


def warm(run: Running) -> None:
    """Something good is heard of all boxes: one slow answer is not all that is known."""
    client = Client(run.connect())
    for _ in range(20):
        assert client("POST", SEARCH).status == 200


def names(answer: object) -> set[str]:
    return {hit["_source"]["name"] for hit in answer["hits"]["hits"]}  # type: ignore[index]


def test_a_box_that_never_answers_costs_a_copy_elsewhere(run: Running, client: Client) -> None:
    client("POST", SEARCH)  # something is heard of all
    run.boxes[0].script = silent
    answers = [client("POST", SEARCH) for _ in range(6)]
    assert [each.status for each in answers] == [200] * 6
    assert all(
        names(each.body) == {"s0", "s1"} and each.body["_shards"]["failed"] == 0 for each in answers
    )


def test_one_section_never_answers_a_lookup(run: Running, client: Client) -> None:
    for box in run.boxes[:2] + run.boxes[2:]:
        box.script = silent
    begun = time.monotonic()
    answer = client("GET", "/reports/_doc/x?timeout=600ms")
    assert answer.status == 429 and time.monotonic() - begun < 0.6
    assert "harmless" in answer.body["error"]["reason"]
    assert client.silent_for(0.7)  # nothing after the final answer


def test_a_search_is_partial_and_says_so_when_a_section_is_silent(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 1, 2, 3], shards=4) as run:
        client = Client(run.connect())
        run.boxes[3].script = silent
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


def test_under_its_least_share_there_is_no_answer(tmp_path: Path) -> None:
    with broker(tmp_path, [0, 1, 2, 3], shards=4) as run:
        client = Client(run.connect())
        run.boxes[2].script = run.boxes[3].script = silent
        answer = client("POST", SEARCH + "?timeout=500ms")
        assert answer.status == 429 and int(answer.headers["retry-after"]) >= 1


def test_a_late_reply_reaches_no_one(run: Running, client: Client) -> None:
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
    assert names(client("POST", SEARCH).body) == {"s0", "s1"}


def test_half_a_reply_then_reset_on_a_call_of_sixteen_parts(tmp_path: Path) -> None:
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
        assert len(names(answer.body)) == 16 and answer.body["hits"]["total"]["value"] == 16


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
def test_a_malformed_reply_is_an_error_of_its_own_part_only(
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
        assert answer.status == 200 and names(answer.body) == {"s0", "s1"}


def test_a_reply_that_lies_about_its_shape_is_an_error(run: Running, client: Client) -> None:
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


def test_a_thirty_megabyte_reply_is_read_and_a_longer_one_is_not(tmp_path: Path) -> None:
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


def test_a_kept_connection_closed_as_an_unsafe_part_is_written(
    run: Running, client: Client
) -> None:
    """Whole to the box, then no answer: it may have run, so it is not sent again, and nothing is promised."""
    assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for box in run.boxes:
        box.script = lambda call: call.reset() if call.write else call.serve()
    before = sum(len(box.work()) for box in run.boxes)
    answer = client("PUT", "/reports/_create/a", {"n": 1})
    assert answer.status == 503 and "may or may not" in answer.body["error"]["reason"]
    assert sum(len(box.work()) for box in run.boxes) == before + 1


def test_a_kept_connection_that_the_box_had_closed_is_not_used_for_a_write(
    run: Running, client: Client
) -> None:
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    for box in run.boxes:
        for sock in box.socks:
            sock.shutdown(socket.SHUT_RDWR)
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201


def test_a_kept_connection_with_bytes_nobody_asked_for_is_not_used(
    run: Running, client: Client
) -> None:
    """They would be taken for the answer to the next call."""
    for _ in range(8):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201
    capsules = run.service.core.module.capsules.values()
    assert wait_for(
        lambda: not run.call(lambda: any(each.probe_out for each in capsules))
    )  # no question is out
    stray = b"HTTP/1.1 500 Late\r\ncontent-length: 2\r\n\r\n{}"
    for box in run.boxes:
        for sock in box.socks:
            sock.sendall(stray)
    for _ in range(4):
        assert client("PUT", "/reports/_create/a", {"n": 1}).status == 201


@pytest.mark.parametrize("whole", [True, False])
def test_an_unsafe_part_that_was_turned_away_goes_elsewhere(
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


def test_a_keyed_part_is_repeated_with_its_token(run: Running, client: Client) -> None:
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


def test_a_box_that_restarts_on_its_address_is_used_again(run: Running, client: Client) -> None:
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
    assert answers[-1].status == 200 and names(answers[-1].body) == {"s0", "s1"}


def test_a_client_that_hangs_up_has_its_parts_called_off(run: Running) -> None:
    for box in run.boxes:
        box.script = silent
    client = Client(run.connect())
    client.ask("POST", SEARCH)
    for pair in (run.boxes[:2], run.boxes[2:]):
        assert wait_any(pair, lambda box: len(box.work()) > 0)
    client.sock.close()
    for pair in (run.boxes[:2], run.boxes[2:]):
        assert wait_any(pair, lambda box: box.closed_seen > 0)
    assert run.call(lambda: (len(run.service.core.held), len(run.service.core.out))) == (0, 0)
    assert run.service.core.counts["gone"] == 1


def wait_any(boxes: object, fits: object) -> bool:
    until = time.monotonic() + 5
    while time.monotonic() < until:
        for box in boxes:  # type: ignore[attr-defined]
            if fits(box):  # type: ignore[operator]
                return True
            with box.changed:
                box.changed.wait(0.02)
    return False


def test_pipelined_queries_of_which_one_fails_are_answered_in_order(
    run: Running, client: Client
) -> None:
    bad = {"query": {"nonsense": {}}}
    for path, body in ((SEARCH, None), (SEARCH, bad), (SEARCH, None), ("/nowhere/_count", None)):
        client.ask("POST", path, body)
    answers = [client.read() for _ in range(4)]
    assert [each.status for each in answers] == [200, 400, 200, 404]
    assert names(answers[2].body) == {"s0", "s1"}


def test_a_drained_box_gets_nothing_new_though_a_query_is_held_there(
    run: Running, client: Client
) -> None:
    gate = threading.Event()

    def held(call: Call) -> None:
        if not call.probe:
            gate.wait(5)
        call.serve()

    run.boxes[0].script = run.boxes[1].script = held
    client.ask("POST", SEARCH)
    assert wait_any(run.boxes[:2], lambda box: len(box.work()) > 0)
    first = next(number for number in (0, 1) if run.boxes[number].work())
    run.write_list({first: "draining"})
    assert wait_for(
        lambda: (
            ("box_listed", run.boxes[first].address, "draining")
            in {(event, fields.get("box"), fields.get("state")) for event, fields in run.logged}
        )
    )
    before = len(run.boxes[first].work())
    run.boxes[1 - first].script = run.boxes[2].script = run.boxes[3].script = lambda call: (
        call.serve()
    )
    gate.set()
    assert client.read().status == 200
    for _ in range(5):
        assert client("POST", SEARCH).status == 200
    assert len(run.boxes[first].work()) == before


def wait_for(fits: object) -> bool:
    until = time.monotonic() + 5
    while time.monotonic() < until:
        if fits():  # type: ignore[operator]
            return True
        threading.Event().wait(0.01)
    return False


def test_the_loop_stalls_two_seconds_and_no_late_answer_is_sent(run: Running) -> None:
    """What was held past its client's time is closed without a word; a new query is served at once."""
    warm(run)
    for box in run.boxes:
        box.script = silent
    stalls = run.stall_with_the_next_query(2.0)
    client = Client(run.connect())
    client.ask("POST", SEARCH + "?timeout=500ms")
    assert client.rest() == b""
    assert stalls
    for box in run.boxes:
        box.script = Call.serve
    assert names(Client(run.connect())("POST", SEARCH).body) == {"s0", "s1"}
    assert run.service.loop.lag_most >= 1.9


def test_after_a_stall_nothing_is_done_for_clients_that_went_meanwhile(run: Running) -> None:
    warm(run)
    begun, go = threading.Event(), threading.Event()
    taken = run.call(lambda: run.service.core.counts["queries"])
    run.service.loop.call_at(0.0, lambda: (begun.set(), go.wait(10)))  # type: ignore[arg-type, return-value]
    run.service.loop.network.wake()
    assert begun.wait(10)
    for _ in range(5):
        leaver = Client(run.connect())
        leaver.ask("POST", SEARCH)
        leaver.sock.close()
    stayer = Client(run.connect())
    stayer.ask("POST", SEARCH)
    go.set()
    assert names(stayer.read().body) == {"s0", "s1"}
    assert run.call(
        lambda: (run.service.core.counts["queries"] - taken, run.service.server.deserted)
    ) == (1, 5)


def test_the_clients_time_counts_from_when_its_request_was_there(run: Running) -> None:
    """Not from when its turn came: here it waited for a second of its one and a half."""
    warm(run)
    for box in run.boxes:
        box.script = silent
    handler = run.service.server.handler

    def late(request: Request, connection: Connection) -> Generator[Park, Any, Response | None]:
        request.arrived -= 1.0
        return handler(request, connection)

    run.service.server.handler = late
    client, begun = Client(run.connect()), time.monotonic()
    client.ask("POST", SEARCH + "?timeout=1500ms")
    answer = client.read()
    assert answer.status in (429, 503) and time.monotonic() - begun < 1.0


def test_no_second_answer_follows_one_that_closes(run: Running, client: Client) -> None:
    client.sock.sendall(
        b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n\0\0nonsense\r\n\r\n"
    )
    assert client.rest().count(b"HTTP/1.1 ") == 1


def test_a_slow_reader_of_a_large_answer_holds_up_nobody(tmp_path: Path) -> None:
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

        run.boxes[0].script = large
        warm(run)
        slow = Client(run.connect())
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        slow.ask("POST", SEARCH, {"_source": {"includes": ["big", "pad", "name"]}})
        other = Client(run.connect())
        for _ in range(5):
            assert other("POST", SEARCH).status == 200
        answer = slow.read()
        assert len(answer.body["hits"]["hits"][0]["_source"]["pad"]) == 16 << 20


def test_two_thousand_idle_clients_leave_room_for_a_query(run: Running, client: Client) -> None:
    idle = [run.connect() for _ in range(2000)]
    assert wait_for(lambda: len(run.service.server.connections) >= 2001)
    assert client("POST", SEARCH).status == 200
    for sock in idle:
        sock.close()
    assert wait_for(lambda: len(run.service.server.connections) == 1)


def test_orderly_shutdown_gives_what_is_held_its_final_answer(run: Running) -> None:
    gate = threading.Event()

    def held(call: Call) -> None:
        if not call.probe:
            gate.wait(5)
        call.serve()

    for box in run.boxes:
        box.script = held
    client, idle = Client(run.connect()), Client(run.connect())
    client.ask("POST", SEARCH)
    assert wait_any(run.boxes, lambda box: len(box.work()) > 0)
    run.call(run.service.stop)
    assert idle.rest() == b""
    gate.set()
    answer = client.read()
    assert answer.status == 200 and answer.headers["connection"] == "close"
    run.thread.join(5)
    assert not run.thread.is_alive()


def test_shutdown_gives_a_query_that_no_box_answers_its_final_answer(
    run: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("stepknot.broker.service.GRACE", 0.0)
    warm(run)
    for box in run.boxes:
        box.script = silent
    client = Client(run.connect())
    client.ask("POST", SEARCH)
    until(
        lambda: run.call(lambda: len(run.service.core.out))
    )  # of this query: all others have ended
    run.call(run.service.stop)
    assert client.read().status == 429
    run.thread.join(5)
    assert not run.thread.is_alive()
    ended = [fields for event, fields in run.logged if event == "query_ended"][-1]
    assert ended["ending"] == "refused" and ended["took"] < 0.5  # its own time is three seconds


# --- what clients send


def raw(run: Running, data: bytes) -> bytes:
    sock = run.connect()
    sock.sendall(data)
    return Client(sock).rest()


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
def test_bad_http_gets_its_error_and_an_orderly_close(
    run: Running, data: bytes, status: bytes
) -> None:
    answer = raw(run, data)
    assert answer.startswith(b"HTTP/1.1 " + status) and b"connection: close" in answer
    assert orjson.loads(answer.partition(b"\r\n\r\n")[2])["status"] == int(status)


def test_gzip_bombs_and_deep_json_are_refused(run: Running, client: Client) -> None:
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


def test_chunked_bodies_head_and_keep_alive(run: Running, client: Client) -> None:
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


def test_a_sender_that_waits_for_a_word_gets_it(run: Running, client: Client) -> None:
    client.sock.sendall(
        b"POST /reports/_search HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n"
        b"content-length: 11\r\n\r\n"
    )
    assert client.sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
    client.sock.sendall(b'{"size": 1}')
    assert client.read().status == 200


def test_no_time_at_all_is_told(run: Running, client: Client) -> None:
    assert client("POST", SEARCH + "?timeout=0ms").status == 400


def test_queries_leave_nothing_for_the_collector(run: Running) -> None:
    """Rings of objects would be found only by passes over all that is held, and all queries wait for those."""
    warm(run)
    run.boxes[0].script = silent  # calls given up are ended another way
    client = Client(run.connect())
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        for _ in range(50):
            assert client("POST", SEARCH).status == 200
        gc.collect()
        left = [
            each
            for each in gc.garbage
            if isinstance(each, Ask) and each.name.startswith(run.service.queries.boot)
        ]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not left


def test_slow_senders_are_told_and_closed(tmp_path: Path) -> None:
    with broker(tmp_path, [0], shards=1) as run:
        object.__setattr__(run.service.server.limits, "first_byte", 0.2)
        object.__setattr__(run.service.server.limits, "body_time", 0.2)
        silent_one = Client(run.connect())
        warm(run)
        slow = Client(run.connect())
        slow.sock.sendall(b"POST /_search HTTP/1.1\r\nhost: x\r\ncontent-le")
        assert slow.rest().startswith(b"HTTP/1.1 408")
        assert silent_one.rest() == b""


def test_bulk_answers_keep_their_order_over_shards(run: Running, client: Client) -> None:
    for box in run.boxes:
        box.script = lambda call: (
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
