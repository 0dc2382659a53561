"""What discovery has told a broker counts before anything new is sent to a node, however busy the broker is."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import orjson
import pytest

from stepknot.decisions.send_hold import MAX_WRITE_HOLD
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.network import READ
from stepknot.platform.discovery import READ_BYTES
from stepknot.platform.watch_backlog import WatchBacklog
from tests.broker.scripted import WAIT, until
from tests.platform.test_watch_parser import chunk
from tests.platform.world import Call, World, pause, world

QUERIES = 6
FILLERS = 2 * READ_BYTES // 100  # rows before the one that counts, more than two reads of them


@contextmanager
def busy(found: World) -> Iterator[None]:
    """The loop is in one long turn meanwhile."""
    entered, released = threading.Event(), threading.Event()

    def stall() -> None:
        entered.set()
        released.wait(WAIT)

    found.service.loop.call_at(0.0, stall)
    found.service.loop.network.wake()
    assert entered.wait(WAIT)
    yield
    released.set()


def encode(form: str, version: int, rows: list[dict[str, Any]]) -> bytes:
    """The rows as a watch has them: a line each, all in one line, or lines in small chunks."""
    batches = [rows] if form == "one line" else [[each] for each in rows]
    messages = [
        orjson.dumps({"version": version + number, "full": False, "servers": batch}) + b"\n"
        for number, batch in enumerate(batches, 1)
    ]
    if form != "small chunks":
        return b"".join(chunk(each) for each in messages)
    stream = b"".join(messages)
    return b"".join(chunk(stream[place : place + 64]) for place in range(0, len(stream), 64))


def hold(call: Call) -> None:
    """Answer later."""
    del call


@pytest.mark.parametrize("form", ["a line each", "one line", "small chunks"])
def test_last_row_of_a_long_list_counts_before_queries_that_came_with_it(form: str) -> None:
    """A read of the watch was followed by decisions: queries went to nodes that the next read drained."""
    with world(nodes=4) as found:
        until(lambda: found.service.discovery.version == 10)
        fillers = [found.row(1, id=f"s-filler-{number}", cell=1) for number in range(FILLERS)]
        stream = encode(form, 10, [*fillers, found.row(0, "leaving")])
        clients = [found.client() for _ in range(QUERIES)]
        with busy(found):
            for client in clients:
                client.sock.sendall(found.request("list", (0,)))
            found.discovery.watches[-1].sendall(stream)
        assert [client.read().status for client in clients] == [200] * QUERIES
        assert not found.nodes[0].calls and len(found.nodes[2].calls) == QUERIES


def test_change_counts_before_retries_of_the_same_turn() -> None:
    """Events were decided on in the order of their arrival: a retry went to a node that the next event drained."""
    with world(nodes=6, **{"max-attempts": 4}) as found:
        until(lambda: found.service.discovery.version == 10)
        for node in found.nodes:
            node.script = hold
        clients = found.waiting(QUERIES)
        rejecting, draining, staying = (found.nodes[place] for place in (0, 2, 4))
        held = len(draining.calls)
        staying.script = Call.answer
        assert rejecting.calls
        with busy(found):
            for call in list(rejecting.calls):
                call.answer(end="REJECTED")
            found.discovery.change(found.row(2, "leaving"))
        until(lambda: len(staying.calls) > QUERIES - len(rejecting.calls) - held)
        for node in (draining, staying):
            for call in list(node.calls):
                call.answer()
        assert [client.read().status for client in clients] == [200] * QUERIES
        assert len(draining.calls) == held


def test_call_whose_connection_comes_up_is_not_written_before_what_the_watch_received() -> None:
    """A queued call was written as soon as its connection was up, before its node's drain was read."""
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        pool = found.service.nodes.pool
        must_writes_wait = pool.must_writes_wait
        pool.must_writes_wait = lambda: True
        client = found.client()
        client.sock.sendall(found.request("list", (0,)))
        until(lambda: any(each.link for each in pool.connections()))
        pause(0.1)
        assert not found.nodes[0].calls
        pool.must_writes_wait = must_writes_wait
        assert client.read().status == 200


def test_earlier_hold_does_not_shorten_a_later_one() -> None:
    """A hold whose end nothing asked about went on: the next one was over at once, and calls were written."""
    loop = Loop()
    broker_side, discovery_side = socket.socketpair()
    broker_side.setblocking(False)
    link = Link(loop, broker_side)
    backlog = WatchBacklog(loop)
    backlog.add(link)
    waits = []
    for _ in range(2):
        discovery_side.sendall(b"x")
        link.on_event(READ)
        loop.turns += 2  # nothing was to be sent in the turn between
        loop.now += 2 * MAX_WRITE_HOLD
        waits.append(backlog.must_writes_wait())
        assert link.recv_now(READ_BYTES) == b"x"
    assert waits == [True, True]
    link.close()
    discovery_side.close()


def test_changes_without_end_do_not_stop_queries() -> None:
    """Sending waits for a bounded time: discovery must not be able to hold up all answers."""
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        watch, is_over = found.discovery.watches[-1], threading.Event()
        line = orjson.dumps({"version": 11, "full": False, "servers": [found.row(1)]}) + b"\n"

        def send_changes() -> None:
            while not is_over.is_set():
                watch.sendall(chunk(line) * 1000)

        sender = threading.Thread(target=send_changes, daemon=True)
        sender.start()
        until(lambda: found.service.discovery.version == 11)
        try:
            assert [found.ask().status for _ in range(5)] == [200] * 5
        finally:
            is_over.set()
            sender.join(WAIT)
