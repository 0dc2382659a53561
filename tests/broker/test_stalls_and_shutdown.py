"""Draining nodes, stalls of the loop, shutdown, and what queries leave behind."""

from __future__ import annotations

import gc
import threading
import time
from collections.abc import Generator
from typing import Any

import pytest

from stepknot.broker.query import Query
from stepknot.net.connection import Connection
from stepknot.net.http import Request, Response
from stepknot.net.tasks import Park
from tests.broker.scripted import (
    SEARCH,
    Call,
    Client,
    Running,
    document_names,
    unresponsive,
    until,
    wait_any,
    wait_for,
    warm_up,
)


def test_a_draining_node_with_a_query_in_flight_gets_no_new_parts(
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
            ("node_listed", run.boxes[first].address, "draining")
            in {(event, fields.get("server"), fields.get("state")) for event, fields in run.logged}
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


def test_a_query_past_its_deadline_after_a_stall_is_closed_unanswered(run: Running) -> None:
    """What was held past its client's time is closed without a word; a new query is served at once."""
    warm_up(run)
    for box in run.boxes:
        box.script = unresponsive
    stalls = run.stall_with_the_next_query(2.0)
    client = Client(run.connect())
    client.ask("POST", SEARCH + "?timeout=500ms")
    assert client.rest() == b""
    assert stalls
    for box in run.boxes:
        box.script = Call.serve
    assert document_names(Client(run.connect())("POST", SEARCH).body) == {"s0", "s1"}
    assert run.service.loop.lag_most >= 1.9


def test_requests_of_clients_that_disconnected_during_a_stall_are_not_run(run: Running) -> None:
    warm_up(run)
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
    assert document_names(stayer.read().body) == {"s0", "s1"}
    assert run.call(
        lambda: (run.service.core.counts["queries"] - taken, run.service.server.abandoned_count)
    ) == (1, 5)


def test_the_deadline_counts_from_the_requests_arrival(run: Running) -> None:
    """Not from when its turn came: here it waited for a second of its one and a half."""
    warm_up(run)
    for box in run.boxes:
        box.script = unresponsive
    handler = run.service.server.handler

    def late(request: Request, connection: Connection) -> Generator[Park, Any, Response | None]:
        request.arrived -= 1.0
        return handler(request, connection)

    run.service.server.handler = late
    client, begun = Client(run.connect()), time.monotonic()
    client.ask("POST", SEARCH + "?timeout=1500ms")
    answer = client.read()
    assert answer.status in (429, 503) and time.monotonic() - begun < 1.0


def test_graceful_shutdown_answers_queries_in_flight(run: Running) -> None:
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


def test_shutdown_rejects_queries_in_flight_after_the_grace(
    run: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("stepknot.broker.service.IN_FLIGHT_GRACE", 0.0)
    warm_up(run)
    for box in run.boxes:
        box.script = unresponsive
    client = Client(run.connect())
    client.ask("POST", SEARCH)
    until(
        lambda: run.call(lambda: len(run.service.core.attempts))
    )  # of this query: all others have ended
    run.call(run.service.stop)
    assert client.read().status == 429
    run.thread.join(5)
    assert not run.thread.is_alive()
    ended = [fields for event, fields in run.logged if event == "query_ended"][-1]
    assert ended["ending"] == "refused" and ended["took"] < 0.5  # its own time is three seconds


def test_queries_leave_no_reference_cycles(run: Running) -> None:
    """Rings of objects would be found only by passes over all that is held, and all queries wait for those."""
    warm_up(run)
    run.boxes[0].script = unresponsive  # calls given up are ended another way
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
            if isinstance(each, Query) and each.name.startswith(run.service.queries.token_prefix)
        ]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not left
