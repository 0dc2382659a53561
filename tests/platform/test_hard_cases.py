"""What seldom happens and must not hurt: slow readers, no descriptors, a stall, a node that vanishes and returns."""

from __future__ import annotations

import resource
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from stepknot.interface import Action, Event, Outcome, QueryArrived
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import OutgoingAttempt
from stepknot.platform.frames import CallPart
from stepknot.platform.node_connection import NodeConnection
from tests.broker.scripted import WAIT, until, wait_for
from tests.platform.test_nodes import connections, hold, move, outcomes
from tests.platform.test_service import started
from tests.platform.world import Call, World, answer, world


def test_slow_reader_delays_only_its_own_answers() -> None:
    """It asks for far more than sockets hold and reads nothing: others are served, and its connection ends."""
    with world() as found:
        found.nodes[0].script = lambda call: call.answer("x" * 60_000)
        slow = found.client()
        slow.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        answered = found.service.core.counts
        for number in range(400):  # 24 MB of answers; one by one, as clients send them
            slow.sock.sendall(found.request(x_remaining="2000m"))
            if not wait_for(lambda number=number: answered["answered"] > number, 0.5):
                break  # no more of its answers fit anywhere
        assert 20 < answered["answered"] < 400
        assert [found.ask("list", (1,)).status for _ in range(5)] == [200] * 5
        until(
            lambda: not found.service.server.connections
        )  # it, too, after three seconds without a step


def test_exhausted_descriptors_end_neither_accepting_nor_open_connections(
    tmp_path: Path,
) -> None:
    """The platform gives fewer than it told."""
    with started(tmp_path) as found:
        known = found.client()
        assert found.ask(known).status == 200
        resource.prlimit(found.process.pid, resource.RLIMIT_NOFILE, (24, 24))
        crowd = [socket.create_connection(found.listen, timeout=WAIT) for _ in range(60)]
        for number in range(5):
            assert found.ask(known, x_txn=f"known{number}").status == 200
        for sock in crowd:
            sock.close()
        assert found.ask(x_txn="after").status == 200
        assert found.process.poll() is None


@contextmanager
def stalled(found: World, seconds: float) -> Iterator[None]:
    """The broker stands still from here on, for so long."""
    begun = threading.Event()

    def stall() -> None:
        begun.set()
        time.sleep(seconds)

    thread = threading.Thread(target=lambda: found.call(stall))
    thread.start()
    assert begun.wait(WAIT)
    yield
    thread.join(WAIT)


def test_after_a_stall_answers_in_the_sockets_are_handled_before_timeouts() -> None:
    """The broker stands still past the end of all waits; meanwhile one node answered and the other one's connection
    ended. Neither was silent.
    """
    with world() as found:
        for node in found.nodes:
            node.script = hold
        served, lost = found.client(), found.client()
        served.sock.sendall(found.request("list", (0,), x_remaining="500m"))
        lost.sock.sendall(found.request("move", (1,), x_remaining="500m"))
        until(lambda: all(node.calls for node in found.nodes))
        with stalled(found, 0.7):
            found.nodes[0].calls[0].answer()
            found.nodes[1].calls[0].close()
        assert served.read().status == 200 and lost.read().status == 500
        assert outcomes(found) == {Outcome.SERVED: 1, Outcome.RESET: 1}


def test_node_that_fails_and_returns_serves_again_and_no_state_is_left() -> None:
    """Its connections stay open and quiet; once it is back they end."""
    with world() as found:
        node = found.nodes[0]
        assert found.ask().status == 200
        node.script = hold
        assert [found.ask(x_remaining="300m").status for _ in range(4)] == [
            503
        ] * 4  # none beyond its time
        assert outcomes(found)[Outcome.TIMED_OUT] >= 1
        assert (
            len(connections(found)) <= 2
            and not found.service.core.attempts
            and not found.service.core.queries
        )
        node.script = Call.answer
        for sock in {call.sock for call in node.calls if call.sock.fileno() >= 0}:
            sock.shutdown(socket.SHUT_RDWR)
        until(lambda: found.ask().status == 200)
        module = found.service.core.aggregator
        until(lambda: not module.attempts and not found.service.core.attempts)
        assert not any(conn.in_flight for conn in connections(found))


def test_deadline_leaves_time_for_one_turn_of_the_loop() -> None:
    """On sockets a turn took 3 to 10 ms, and a final answer 4 ms before the client's time was up came too late."""
    with world() as found:
        found.nodes[0].script = hold
        found.call(lambda: setattr(found.service.loop, "lag_lately", 0.02))
        client = found.client()
        client.sock.sendall(found.request(x_remaining="400m"))
        until(lambda: found.nodes[0].calls)
        (ask,) = found.call(lambda: list(found.service.core.queries.values()))
        assert ask.deadline - ask.arrived <= 0.39 + 1e-9  # two clock readings, rounded
        assert client.read().status == 503


def test_retry_decided_in_the_turn_of_the_disconnect_leaves_nothing_in_flight() -> None:
    """The module heard of the failure before it heard of the leave: its second attempt was ended under the first's
    number, and counted out at its server for good.
    """
    with world(nodes=4) as found:
        core, module = found.service.core, found.service.core.aggregator
        for node in found.nodes:
            node.script = hold
        client = found.client()
        client.sock.sendall(found.request())
        until(lambda: core.attempts)

        def fail_and_leave() -> None:
            (attempt,), (ask,) = list(core.attempts.in_flight.values()), list(core.queries.values())
            core.attempts.on_reply(attempt, PartReply(Outcome.ERROR), {})
            core.on_client_disconnected(ask)

        found.call(fail_and_leave)
        until(lambda: not core.pending_events and not module.queries)
        assert found.call(
            lambda: [
                len(module.attempts),
                sum(len(each.calls) for each in module.capsules.values()),
                len(core.attempts),
            ]
        ) == [0, 0, 0]
        assert sum(len(node.calls) for node in found.nodes) == 1  # nothing began after it had left


def full(found: World) -> tuple[socket.socket, socket.socket]:
    """s-0 is where the queue is full, from now on: a connection comes up there once the kernel tries again after there
    is room. The listener, and who fills its queue.
    """
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    listener.settimeout(WAIT)
    filler = socket.create_connection(listener.getsockname())
    move(found, listener)
    return listener, filler


def test_unwritten_call_is_removed_with_its_client_where_cancelling_is_not_allowed() -> None:
    with world(cancelling=False, streams_per_conn=1) as found:
        listener, filler = full(found)
        client = found.client()
        client.sock.sendall(found.request())
        until(lambda: found.service.core.attempts)
        client.sock.close()
        until(lambda: not found.service.core.queries)
        conns = found.call(
            lambda: [(len(conn.queue.frames), len(conn.in_flight)) for conn in connections(found)]
        )
        assert conns in ([], [(0, 0)])
        for each in (filler, listener):
            each.close()


def test_request_in_the_kernels_queue_during_a_stall_is_not_answered_past_its_deadline() -> None:
    """Its time ran from when it was read: it was answered a stall's length too late."""
    with world() as found:
        with stalled(found, 0.8):
            over, left = found.client(), found.client()  # accepted by the kernel alone
            over.sock.sendall(found.request("list", (0,), x_remaining="500m"))
            left.sock.sendall(found.request("list", (1,), x_remaining="1900m"))
        assert over.read().status == 503 and left.read().status == 200
        assert not found.nodes[0].calls
        assert found.ask(x_remaining="500m").status == 200  # the backlog is read


def test_short_deadline_suffices_where_nothing_is_slow() -> None:
    with world() as found:
        assert [found.ask(x_remaining="300m").status for _ in range(20)].count(200) >= 19


def test_incomplete_answer_and_reset_is_retried_elsewhere() -> None:
    with world(nodes=4) as found:

        def half(call: Call) -> None:
            data = answer(call.parts[0][0], "v0")
            call.send(data[: len(data) // 2])
            call.close(reset=True)

        found.nodes[0].script = half
        assert {found.ask().status for _ in range(8)} == {200}
        assert outcomes(found)[Outcome.RESET] >= 1 and found.nodes[2].calls


def test_reset_after_the_answer_ends_no_attempt() -> None:
    with world() as found:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(WAIT)
        move(found, listener)
        client = found.client()
        client.sock.sendall(found.request(x_txn="a"))
        sock, _ = listener.accept()
        assert b"a.0" in sock.recv(65536)
        sock.sendall(answer("a.0", "v0"))
        assert client.read().status == 200
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.close()
        until(lambda: not connections(found))
        assert outcomes(found) == {Outcome.SERVED: 1} and not found.service.core.attempts
        listener.close()


def idle_connection_and_attempt(found: World) -> tuple[NodeConnection, OutgoingAttempt]:
    """The idle connection to s-0, and an attempt that no query waits for."""
    assert found.ask().status == 200
    (conn,) = connections(found)
    found.call(lambda: setattr(found.service.nodes, "on_reply", lambda attempt, reply, load: None))
    return conn, OutgoingAttempt(CallPart(b"x.0", 0, b"t"), "x", 1.0)


def test_call_queued_as_its_connection_becomes_idle_or_evictable_keeps_it() -> None:
    with world() as found:
        nodes = found.service.nodes
        conn, part = idle_connection_and_attempt(found)

        def cross() -> tuple[bool, bool]:
            conn.last_used = -1e9  # idle for longer than any node allows
            nodes.send("s-0", [part])
            nodes.pool.close_idle_too_long()
            return nodes.pool.evict_idle(), conn.has_ended

        assert found.call(cross) == (False, False)
        until(lambda: len(found.nodes[0].calls) == 2)


def test_connection_opened_as_its_node_leaves_the_pool_counts_to_the_limit() -> None:
    """The pool lost sight of it: it took a descriptor beyond the limit and could not be evicted."""
    with world() as found:
        pool = found.service.nodes.pool
        assert found.ask().status == 200
        (conn,) = connections(found)

        def reopen() -> tuple[bool, int]:
            conn.node.is_listed = False  # it left the list while a call was in flight
            conn.unanswered_since = -1e9  # and has not answered since
            return pool.select("s-0", []) in list(pool.connections()), pool.count_open()

        assert found.call(reopen) == (True, 1) and conn.has_ended


@pytest.mark.parametrize("how", ["cancelled", "withdrawn"])
def test_connection_whose_unwritten_call_was_removed_can_be_evicted(how: str) -> None:
    with world() as found:
        nodes = found.service.nodes
        conn, part = idle_connection_and_attempt(found)

        def remove() -> bool:
            conn.is_flushing = True  # as where the kernel takes no more
            nodes.send("s-0", [part])
            is_evicted = nodes.pool.evict_idle()
            if how == "cancelled":
                nodes.cancel(part)
            else:
                nodes.withdraw("s-0")
            return not is_evicted and nodes.pool.evict_idle()

        assert found.call(remove) and conn.has_ended


def test_connection_that_comes_up_after_its_parts_ended_is_sent_nothing() -> None:
    with world(connect_timeout_ns=5e9) as found:
        listener, filler = full(found)
        client = found.client()
        client.sock.sendall(found.request())
        until(lambda: found.service.core.attempts)
        client.sock.close()
        until(lambda: not found.service.core.queries)
        listener.accept()[0].close()  # there is room
        late, _ = listener.accept()
        until(lambda: connections(found)[0].link is not None)
        late.settimeout(0.2)
        with pytest.raises(TimeoutError):
            late.recv(1)
        for each in (late, filler, listener):
            each.close()


def test_decision_that_raises_fails_its_queries_at_once_and_the_broker_goes_on() -> None:
    """A turn hook's error ended the process; its events are lost, so no later decision would end these queries."""
    with world() as found:
        for node in found.nodes:
            node.script = hold
        (held,) = found.waiting(1)
        core = found.service.core
        decide = core.decide

        def raise_once(now: float, events: list[Event]) -> list[Action]:
            if not any(isinstance(event, QueryArrived) for event in events):
                return decide(now, events)  # a timer of the held query
            core.decide = decide
            raise RuntimeError("broken")

        found.call(lambda: setattr(core, "decide", raise_once))
        arriving = found.client()
        arriving.sock.sendall(found.request("move"))
        assert held.read().status == 503 and arriving.read().status == 503
        found.nodes[1].script = Call.answer
        assert found.ask("list", (1,)).status == 200
        (event,) = found.events("task_failed")
        assert event["error"] == "RuntimeError: broken"
        found.logged.clear()


def test_ended_attempt_and_its_text_are_dropped_at_once() -> None:
    """They were kept until the attempt would have timed out: large requests filled the memory after their answers."""
    with world() as found:
        text = "x" * 30_000
        body = {"segments": [{"segment": 0, "boost": 1.0}], "text": text}
        assert found.ask(body=body).status == 200
        assert not found.call(lambda: dict(found.service.core.attempts.expiries))
        found.nodes[0].script = lambda call: None
        client = found.client()
        client.sock.sendall(found.request(body=body))
        until(lambda: len(found.nodes[0].calls) == 2)
        frames = [
            attempt.call.frame.data
            for attempt in found.call(lambda: list(found.service.core.attempts.in_flight.values()))
        ]
        assert frames == [b""]  # the kernel has it
        client.sock.close()
        until(lambda: found.nodes[0].cancelled)
        assert not found.call(lambda: dict(found.service.core.attempts.expiries))
