"""Draining nodes, stalls of the loop, shutdown, and reference cycles of queries."""

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
from stepknot.net.rejections import LATE_REQUEST_GRACE
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
    released = threading.Event()

    def delayed(call: Call) -> None:
        if not call.probe:
            released.wait(5)
        call.serve()

    run.nodes[0].script = run.nodes[1].script = delayed
    client.ask("POST", SEARCH)
    assert wait_any(run.nodes[:2], lambda node: len(node.work()) > 0)
    first = next(number for number in (0, 1) if run.nodes[number].work())
    run.write_list({first: "draining"})
    assert wait_for(
        lambda: (
            ("node_listed", run.nodes[first].address, "draining")
            in {(event, fields.get("server"), fields.get("state")) for event, fields in run.logged}
        )
    )
    before = len(run.nodes[first].work())
    run.nodes[1 - first].script = run.nodes[2].script = run.nodes[3].script = lambda call: (
        call.serve()
    )
    released.set()
    assert client.read().status == 200
    for _ in range(5):
        assert client("POST", SEARCH).status == 200
    assert len(run.nodes[first].work()) == before


def test_a_query_past_its_deadline_after_a_stall_is_closed_unanswered(run: Running) -> None:
    """A query whose deadline passes in a stall gets no answer, and its connection is closed.

    A new query is served normally.
    """
    warm_up(run)
    for node in run.nodes:
        node.script = unresponsive
    stalls = run.stall_with_the_next_query(2.0)
    client = Client(run.connect())
    client.ask("POST", SEARCH + "?timeout=500ms")
    assert client.rest() == b""
    assert stalls
    for node in run.nodes:
        node.script = Call.serve
    assert document_names(Client(run.connect())("POST", SEARCH).body) == {"s0", "s1"}
    assert run.service.loop.lag_most >= 1.9


def test_requests_of_clients_that_disconnected_during_a_stall_are_not_run(run: Running) -> None:
    warm_up(run)
    stalled, resume = threading.Event(), threading.Event()
    earlier_queries = run.call(lambda: run.service.core.counts["queries"])
    run.service.loop.call_at(0.0, lambda: (stalled.set(), resume.wait(10)))  # type: ignore[arg-type, return-value]
    run.service.loop.network.wake()
    assert stalled.wait(10)
    for _ in range(5):
        disconnected = Client(run.connect())
        disconnected.ask("POST", SEARCH)
        disconnected.sock.close()
    connected = Client(run.connect())
    connected.ask("POST", SEARCH)
    resume.set()
    assert document_names(connected.read().body) == {"s0", "s1"}
    assert run.call(
        lambda: (
            run.service.core.counts["queries"] - earlier_queries,
            run.service.server.abandoned_count,
        )
    ) == (1, 5)


def test_the_deadline_counts_from_the_requests_arrival(run: Running) -> None:
    """A request waits before it is handled: here for one second of its timeout of 1.5 seconds.

    The wait must count towards the deadline.
    """
    warm_up(run)
    for node in run.nodes:
        node.script = unresponsive
    handler = run.service.server.handler

    def handle_late(
        request: Request, connection: Connection
    ) -> Generator[Park, Any, Response | None]:
        request.arrived -= 1.0
        return handler(request, connection)

    run.service.server.handler = handle_late
    client, started = Client(run.connect()), time.monotonic()
    client.ask("POST", SEARCH + "?timeout=1500ms")
    answer = client.read()
    assert answer.status in (429, 503) and time.monotonic() - started < 1.0


def test_graceful_shutdown_answers_queries_in_flight(run: Running) -> None:
    released = threading.Event()

    def delayed(call: Call) -> None:
        if not call.probe:
            released.wait(5)
        call.serve()

    for node in run.nodes:
        node.script = delayed
    client, idle = Client(run.connect()), Client(run.connect())
    client.ask("POST", SEARCH)
    assert wait_any(run.nodes, lambda node: len(node.work()) > 0)
    run.call(run.service.stop)
    assert idle.rest() == b""
    released.set()
    answer = client.read()
    assert answer.status == 200 and answer.headers["connection"] == "close"
    run.thread.join(5)
    assert not run.thread.is_alive()


def test_request_just_after_the_listener_closed_is_waited_for(
    run: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Queries were waited for once, before it came: its connection was closed without an answer."""
    monkeypatch.setattr("stepknot.broker.service.FINAL_ANSWER_GRACE", 0.3)
    warm_up(run)
    released = threading.Event()

    def delayed(call: Call) -> None:
        released.wait(5)
        call.serve()

    for node in run.nodes:
        node.script = delayed
    client = Client(run.connect())
    run.call(run.service.stop)
    until(lambda: run.service.server.is_closed)
    client.ask("POST", SEARCH)
    assert wait_any(run.nodes, lambda node: len(node.work()) > 0)
    time.sleep(LATE_REQUEST_GRACE + 0.5)  # longer than the last answers have
    released.set()
    assert client.read().status == 200
    run.thread.join(5)
    assert not run.thread.is_alive()


def test_shutdown_rejects_queries_in_flight_after_the_grace(
    run: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("stepknot.broker.service.IN_FLIGHT_GRACE", 0.0)
    warm_up(run)
    for node in run.nodes:
        node.script = unresponsive
    client = Client(run.connect())
    client.ask("POST", SEARCH)
    # All other queries have ended, so the attempts are those of this query.
    until(lambda: run.call(lambda: len(run.service.core.attempts)))
    run.call(run.service.stop)
    assert client.read().status == 429
    run.thread.join(5)
    assert not run.thread.is_alive()
    ended = [fields for event, fields in run.logged if event == "query_ended"][-1]
    # The query's own deadline is three seconds.
    assert ended["ending"] == "refused" and ended["took"] < 0.5


def test_queries_leave_no_reference_cycles(run: Running) -> None:
    """Reference cycles would be freed only by full garbage collections, for which all queries wait."""
    warm_up(run)
    run.nodes[0].script = unresponsive  # so that the broker also cancels calls
    client = Client(run.connect())
    gc.collect()
    gc.disable()
    gc.set_debug(gc.DEBUG_SAVEALL)
    try:
        for _ in range(50):
            assert client("POST", SEARCH).status == 200
        gc.collect()
        leaked_queries = [
            each
            for each in gc.garbage
            if isinstance(each, Query) and each.name.startswith(run.service.queries.token_prefix)
        ]
    finally:
        gc.set_debug(0)
        gc.garbage.clear()
        gc.enable()
    assert not leaked_queries
