"""Connections to nodes, as the sockets show them."""

from __future__ import annotations

import socket

import pytest

from stepknot.interface import Outcome
from stepknot.nodes.transport import OutgoingAttempt
from stepknot.platform.endpoint_list import NodeAddress
from stepknot.platform.frames import CallPart
from stepknot.platform.node_connection import NodeConnection
from stepknot.platform.nodes import Nodes
from tests.broker.scripted import WAIT, until
from tests.platform.test_frames import MALFORMED
from tests.platform.world import Call, World, answer, frame, pause, world


def hold(call: Call) -> None:
    """Answers nothing."""


def outcomes(found: World) -> dict[Outcome, int]:
    counts = found.service.core.counts
    return {
        each: counts[f"ended_{each.name.lower()}"]
        for each in Outcome
        if counts[f"ended_{each.name.lower()}"]
    }


def move(found: World, listener: socket.socket) -> None:
    """From now on s-0 is there."""
    until(lambda: found.service.discovery.version == 10)
    found.call(
        lambda: found.service.nodes.update_addresses(
            [NodeAddress("s-0", *listener.getsockname())], False
        )
    )


def connections(found: World, server: str = "s-0") -> list[NodeConnection]:
    return found.service.nodes.pool.nodes[server].connections


def test_calls_on_one_connection_are_answered_in_any_order() -> None:
    with world() as found:
        found.nodes[0].script = hold
        clients = found.waiting(4)
        assert len(found.nodes[0].socks) == 1
        for number, call in enumerate(reversed(found.nodes[0].calls)):
            call.answer(f"v{number}")
        assert sorted(client.read().body["matches"][0]["payload"] for client in clients) == [
            "v0",
            "v1",
            "v2",
            "v3",
        ]


def test_parts_of_one_call_are_sent_in_one_frame_and_answered_one_by_one() -> None:
    with world(nodes=1, family={"span": 2, "parts-a-call": 4}) as found:
        found.nodes[0].script = hold
        client = found.client()
        client.sock.sendall(found.request("list", (0, 1)))
        until(lambda: found.nodes[0].calls)
        (call,) = found.nodes[0].calls
        for part, shard, _, _ in reversed(call.parts):
            call.send(answer(part, f"v{shard}"))
        assert client.read().body["matches"] == [
            {"segment": 0, "payload": "v0"},
            {"segment": 1, "payload": "v1"},
        ]
        assert found.service.core.counts["calls"] == 1 and outcomes(found) == {Outcome.SERVED: 2}


def test_burst_opens_no_more_connections_than_its_calls_need() -> None:
    with world(streams_per_conn=3) as found:
        found.nodes[0].script = hold
        clients = found.waiting(7)
        assert len(found.nodes[0].socks) == 3
        for call in list(found.nodes[0].calls):
            call.answer()
        assert [client.read().status for client in clients] == [200] * 7


def test_cancelled_part_leaves_its_connection_open() -> None:
    with world() as found:
        found.nodes[0].script = hold
        leaver, stayer = found.client(), found.client()
        leaver.sock.sendall(found.request(x_txn="a"))
        stayer.sock.sendall(found.request(x_txn="b"))
        until(lambda: len(found.nodes[0].calls) == 2)
        leaver.sock.close()
        until(lambda: found.nodes[0].cancelled == ["a.0"])
        call = found.nodes[0].calls[0]
        call.send(answer("a.0", "late"))  # crossed with its being given up
        call.send(answer("b.0", "v0"))
        assert stayer.read().status == 200 and found.nodes[0].ended == 0


def test_late_answer_is_not_taken_for_a_later_attempt() -> None:
    """The same part again at the only holder goes on another connection, while the first may still bring its answer."""
    with world() as found:
        service, part = found.service, "a.0"
        service.request_ids.retention = 0.0  # the same part's id is accepted again
        found.nodes[0].script = hold
        first = found.client()
        first.sock.sendall(found.request(x_txn="a"))
        until(lambda: len(found.nodes[0].calls) == 1)
        first.sock.close()
        until(lambda: part in found.nodes[0].cancelled and not service.request_ids.open)
        again = found.client()
        again.sock.sendall(found.request(x_txn="a"))
        until(lambda: len(found.nodes[0].calls) == 2)
        late, now = found.nodes[0].calls
        assert late.sock is not now.sock
        late.send(answer(part, "old"))
        pause(0.05)
        now.send(answer(part, "new"))
        assert again.read().body["matches"] == [{"segment": 0, "payload": "new"}]


@pytest.mark.parametrize("outcome", ["REJECTED", "ERROR"])
def test_second_copy_of_an_answer_is_not_taken_for_the_next_attempts_answer(outcome: str) -> None:
    """A copy of REJECTED ended the next attempt as never run while it ran, so that an unsafe part ran twice."""
    with world() as found:
        calls = found.nodes[0].calls

        def script(call: Call) -> None:
            if call is calls[0]:
                call.answer(end=outcome)
            else:
                calls[0].answer(
                    end=outcome
                )  # once more, just before the second attempt's own answer
                call.answer()

        found.nodes[0].script = script
        assert found.ask("list").status == 200
        first, second = calls
        assert first.sock is not second.sock
        assert outcomes(found) == {Outcome[outcome]: 1, Outcome.SERVED: 1}
        until(lambda: len(connections(found)) == 1)  # what carried the copy has ended


def test_two_attempts_of_a_part_in_one_turn_travel_on_connections_of_their_own() -> None:
    """One call carried both: one was forgotten, and its time-out raised a ValueError that ended the process."""
    with world(family={"parts-a-call": 16}) as found:
        nodes: Nodes = found.service.nodes
        ended: list[tuple[str, Outcome]] = []
        part = CallPart(b"x.0", 0, b"t")
        attempts = [OutgoingAttempt(part, "first", 1.0), OutgoingAttempt(part, "hedge", 1.0)]
        attempts.append(OutgoingAttempt(CallPart(b"y.0", 0, b"t"), "other", 1.0))
        found.nodes[0].script = hold

        def send() -> int:
            nodes.on_reply = lambda attempt, reply, load: ended.append(
                (attempt.name, reply.outcome)
            )
            return nodes.send("s-0", attempts)

        assert found.call(send) == 2
        until(lambda: len(found.nodes[0].calls) == 2)
        assert len(found.nodes[0].socks) == 2
        for connection in list(connections(found)):
            found.call(lambda each=connection: each.end("the test ends it"))
        assert sorted(ended) == [
            ("first", Outcome.RESET),
            ("hedge", Outcome.RESET),
            ("other", Outcome.RESET),
        ]


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_bytes_end_their_connection_and_no_other(name: str) -> None:
    with world() as found:
        found.nodes[0].script = lambda call: call.send(MALFORMED[name])
        found.nodes[1].script = hold
        waiting = found.client()
        waiting.sock.sendall(found.request("list", (1,)))
        until(lambda: found.nodes[1].calls)
        reply = found.ask("move", (0,), x_remaining="700m")
        assert reply.status == 500  # it may have run
        assert outcomes(found)[Outcome.RESET] >= 1
        until(lambda: found.nodes[0].ended >= 1)  # the stand-in's thread reads the end by itself
        found.nodes[1].calls[0].answer()
        assert waiting.read().status == 200


EXTRA = {
    "a second copy": b"copy",
    "noise": b"\xff" * 40,
    "an answer to nobody": answer("nobody.0", "x"),
    "a probe's answer unasked for": frame("T", b"util=0.5"),
}


@pytest.mark.parametrize("name", EXTRA)
def test_unexpected_message_after_an_answer_ends_the_connection_and_the_answer_counts(
    name: str,
) -> None:
    with world() as found:

        def script(call: Call) -> None:
            good = answer(call.parts[0][0], "v0")
            call.send(good + (good if name == "a second copy" else EXTRA[name]))

        found.nodes[0].script = script
        assert [found.ask().status for _ in range(3)] == [200] * 3
        until(lambda: found.nodes[0].ended >= 2)
        assert outcomes(found) == {Outcome.SERVED: 3}


def test_answer_with_a_malformed_load_report_counts() -> None:
    with world() as found:
        found.nodes[0].script = lambda call: call.answer(report="inflight=\x01,util=very")
        assert found.ask().status == 200
        found.nodes[0].script = lambda call: call.answer(report="inflight=5,util=0.1")
        assert found.ask().status == 200
        assert (
            found.call(lambda: found.service.core.aggregator.capsules["s-0"].reported_others) == 5.0
        )


def test_connection_that_ends_after_the_call_was_sent_resets_its_parts() -> None:
    with world() as found:
        found.nodes[0].script = lambda call: call.close(reset=True)
        assert found.ask("move").status == 500
        assert set(outcomes(found)) == {Outcome.RESET}


def test_refused_connection_ends_its_parts_as_not_connected() -> None:
    with world() as found:
        found.nodes[0].close()
        assert found.ask("move").status == 503  # trying again is harmless
        assert set(outcomes(found)) == {Outcome.NOT_CONNECTED}


def test_connection_that_does_not_come_up_ends_at_the_connect_timeout() -> None:
    with world(nodes=4) as found:
        full = socket.socket()  # its queue is full: whoever connects hears nothing
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        move(found, full)
        assert {found.ask().status for _ in range(6)} == {200}  # the other holder answers
        assert outcomes(found)[Outcome.NOT_CONNECTED] >= 1
        until(lambda: not connections(found))
        for each in (full, *fillers):
            each.close()


def test_part_at_an_unresponsive_node_is_cancelled_when_its_wait_ends() -> None:
    with world() as found:
        found.nodes[0].script = hold
        assert found.ask(x_remaining="600m").status == 503
        until(lambda: not found.service.core.attempts)
        (conn,) = connections(found)
        assert not conn.in_flight
        # The cancel is written in the turn after the answer, and the node's thread reads it later.
        until(lambda: found.nodes[0].cancelled)
        assert found.nodes[0].cancelled == [f"t{found.asked:06d}.0"]


def test_unresponsive_connection_is_replaced_while_its_node_serves() -> None:
    with world() as found:
        node = found.nodes[0]
        assert found.ask().status == 200
        silent = node.calls[0].sock
        node.script = lambda call: None if call.sock is silent else call.answer()
        assert found.ask(x_remaining="600m").status == 503  # nothing can be known yet
        assert [found.ask(x_remaining="600m").status for _ in range(4)] == [200] * 4
        assert len(node.socks) == 2
        until(lambda: node.ended == 1)  # nobody waits there: it is closed


def test_cancelled_part_does_not_make_its_connection_unresponsive() -> None:
    with world() as found:
        node = found.nodes[0]
        node.script = hold
        client = found.client()
        client.sock.sendall(found.request(x_txn="a"))
        until(lambda: node.calls)
        client.sock.close()
        until(lambda: node.cancelled)
        pause(0.4)
        node.script = Call.answer
        assert found.ask().status == 200 and len(node.socks) == 1


def test_idle_connection_is_closed_before_the_node_would() -> None:
    with world(conn_idle_ns=0.5e9) as found:
        assert found.ask().status == 200
        until(lambda: found.nodes[0].ended == 1)
        assert found.ask().status == 200
        assert outcomes(found) == {Outcome.SERVED: 2}


def test_node_that_left_the_list_is_forgotten_with_its_connections() -> None:
    with world(nodes=4) as found:
        until(lambda: found.discovery.watches)
        for _ in range(8):
            assert found.ask("list", (0, 1)).status == 200
        found.discovery.change(found.row(2, "left"))
        until(lambda: "s-2" not in found.service.nodes.pool.nodes)


def test_full_list_removes_the_nodes_that_it_does_not_name() -> None:
    with world(nodes=4) as found:
        until(lambda: found.service.discovery.version == 10)
        found.discovery.version += 1
        found.discovery.say(found.discovery.watches[-1], [found.row(0), found.row(1)], True)
        until(lambda: set(found.service.nodes.pool.nodes) == {"s-0", "s-1"})
        assert found.ask("list", (0, 1)).status == 200


def test_connection_that_ends_with_a_full_socket_resets_only_sent_calls() -> None:
    """The node reads nothing: its window fills, and the connection breaks with frames unwritten."""
    with world(streams_per_conn=400) as found:
        nodes = found.service.nodes
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(WAIT)
        move(found, listener)
        ended: list[Outcome] = []
        attempts = [
            OutgoingAttempt(CallPart(b"a%d.0" % number, 0, b"x" * 30_000), "a", 5.0)
            for number in range(300)
        ]

        def send() -> None:
            nodes.on_reply = lambda attempt, reply, load: ended.append(reply.outcome)
            nodes.send("s-0", attempts)

        found.call(send)
        sock, _ = listener.accept()
        until(lambda: connections(found)[0].is_flushing)
        found.call(lambda: nodes.cancel(attempts[-1]))  # unwritten: nothing is said of it
        assert len(connections(found)[0].cancelled) == 0
        sock.close()
        until(lambda: len(ended) == 299)
        assert {Outcome.RESET, Outcome.NOT_CONNECTED} == set(ended)
        listener.close()


def test_part_cancelled_before_its_call_is_written_is_not_sent_with_the_others() -> None:
    with world(streams_per_conn=400) as found:
        nodes = found.service.nodes
        listener = socket.create_server(("127.0.0.1", 0))
        listener.settimeout(WAIT)
        move(found, listener)
        attempts = [
            OutgoingAttempt(CallPart(b"a%d.0" % number, 0, b"x" * 30_000), "a", 5.0)
            for number in range(300)
        ]

        def send() -> None:
            nodes.on_reply, nodes.parts_per_call = (lambda attempt, reply, load: None), 2
            nodes.send("s-0", attempts)

        found.call(send)
        sock, _ = listener.accept()
        sock.settimeout(WAIT)
        until(lambda: connections(found)[0].is_flushing)
        queue = connections(found)[0].queue

        def cancel() -> tuple[bytes, bytes]:
            encoded = [frame for frame in queue.frames if frame.data and not frame.sent]
            first, second = encoded[-1].attempts  # in bytes already
            nodes.cancel(second)
            nodes.cancel(attempts[-1])
            return first.request.part_id, second.request.part_id

        sent_id, cancelled_id = found.call(cancel)
        data = b""
        while b"a298.0 " not in data[-40_000:]:
            data += sock.recv(1 << 20)
        sock.settimeout(0.2)
        with pytest.raises(TimeoutError):
            while True:
                data += sock.recv(1 << 20)
        assert b"a297.0 " in data and b"a299.0" not in data
        assert sent_id in data and cancelled_id not in data
        sock.close()
        listener.close()


def test_node_that_left_the_list_is_forgotten_once_it_answered_what_is_in_flight() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        found.nodes[0].script = hold
        (client,) = found.waiting(1)
        found.discovery.change(found.row(0, "left"))
        until(lambda: "s-0" not in found.service.core.servers)
        found.nodes[0].calls[0].answer()
        assert client.read().status == 200  # what it was sent before counts
        until(lambda: "s-0" not in found.service.nodes.pool.nodes)


def test_late_answer_to_a_probe_is_not_taken_for_a_new_probe() -> None:
    with world() as found:
        nodes: Nodes = found.service.nodes
        ended: list[tuple[Outcome, dict[str, float]]] = []
        held: list[socket.socket] = []
        found.nodes[0].on_probe = held.append

        def ask() -> None:
            nodes.probe("s-0", lambda outcome, load: ended.append((outcome, load)))

        found.call(ask)
        until(lambda: ended == [(Outcome.TIMED_OUT, {})])
        found.nodes[0].on_probe = lambda sock: sock.sendall(frame("T", b"inflight=1"))
        # The connection counts as unresponsive once its time-out has passed since the probe was written, which is just
        # after the probe was started. A probe that is sent before that waits for the same answer and times out.
        (first_connection,) = nodes.pool.nodes["s-0"].connections
        until(lambda: found.call(lambda: first_connection.is_unresponsive))
        found.call(ask)  # on another connection
        until(lambda: len(ended) == 2)
        assert ended == [(Outcome.TIMED_OUT, {}), (Outcome.SERVED, {"inflight": 1.0})]
        assert len(found.nodes[0].socks) == 2


def test_module_counts_in_flight_what_connections_have_in_flight() -> None:
    with world(nodes=4) as found:
        service = found.service
        wrong: list[tuple[int, int]] = []

        def check() -> None:
            module = sum(
                len(capsule.calls) for capsule in service.core.aggregator.capsules.values()
            )
            sockets = sum(len(conn.in_flight) for conn in service.nodes.pool.connections())
            if not module == sockets == len(service.core.attempts):
                if (
                    not service.core.pending_events
                ):  # else the module hears of it in this very turn's successor
                    wrong.append((module, sockets))

        found.call(lambda: service.loop.turn_hooks.append(check))
        for node in found.nodes:
            node.script = hold
        clients = found.waiting(6, (0, 1))
        for node in found.nodes:
            for call in list(node.calls):
                call.answer()
        assert [client.read().status for client in clients] == [200] * 6
        assert not wrong


def test_thousands_of_queries_through_changing_nodes_leave_no_state() -> None:
    with world(nodes=4) as found:
        until(lambda: found.discovery.watches)
        service, client = found.service, found.client()
        for number in range(1500):
            if number % 50 == 25:
                place = 2 + number // 50 % 2
                found.discovery.change(found.row(place, "left", id=f"s-{place}.{number - 100}"))
                found.discovery.change(found.row(place, id=f"s-{place}.{number}"))
            client.sock.sendall(found.request("list", (number % 2,)))
            assert client.read().status == 200
        until(lambda: not service.core.pending_events and not service.core.attempts.expiries)
        core, module = service.core, service.core.aggregator
        tables = found.call(
            lambda: [
                len(each)
                for each in (
                    core.queries,
                    core.parts,
                    core.attempts,
                    core.attempts.expiries,
                    module.queries,
                    module.answers.unplaced,
                    module.attempts,
                    service.request_ids.open,
                )
            ]
        )
        assert tables == [0] * len(tables)
        assert (
            found.call(
                lambda: sum(len(conn.cancelled) for conn in service.nodes.pool.connections())
            )
            <= 10
        )
        assert (
            len(service.nodes.pool.nodes) <= 8
            and len(core.servers) <= 8
            and len(module.capsules) <= 8
        )


class Queued:
    """A connection of s-0 that takes what the kernel's buffers hold and no more: what comes after waits unwritten."""

    def __init__(self, found: World, calls: int = 300) -> None:
        self.found, self.nodes = found, found.service.nodes
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(WAIT)
        move(found, self.listener)
        self.ended: list[tuple[bytes, Outcome]] = []
        self.attempts = [
            OutgoingAttempt(CallPart(b"a%d.0" % number, 0, b"x" * 30_000), "a", 5.0)
            for number in range(calls)
        ]
        found.call(self.send)
        self.sock, _ = self.listener.accept()
        self.sock.settimeout(WAIT)
        until(lambda: self.conn.is_flushing)

    def send(self) -> None:
        self.nodes.on_reply = lambda attempt, reply, load: self.ended.append(
            (attempt.request.part_id, reply.outcome)
        )
        self.nodes.send("s-0", self.attempts)

    @property
    def conn(self) -> NodeConnection:
        return connections(self.found)[0]

    def half_written(self) -> OutgoingAttempt:
        return self.conn.queue.frames[0].attempts[0]

    def read_all(self) -> bytes:
        """All that still comes until nothing waits here and the kernel holds nothing, or until the end."""
        data = b""
        until(
            lambda: (
                not self.nodes.pool.nodes["s-0"].connections
                or not self.conn.is_flushing
                or self.take()
            )
        )
        self.sock.settimeout(0.2)
        try:
            while chunk := self.sock.recv(1 << 20):
                data += chunk
        except TimeoutError:
            pass
        return self.taken + data

    taken = b""

    def conn_gone(self) -> bool:
        return not connections(self.found)

    def take(self) -> bool:
        self.taken += self.sock.recv(1 << 20)
        return False

    def close(self) -> None:
        self.sock.close()
        self.listener.close()


def test_unwritten_calls_to_a_draining_node_are_withdrawn() -> None:
    """A full socket or a connection that comes up late held calls back beyond the grace of the drain."""
    with world(streams_per_conn=400) as found:
        queued = Queued(found)
        begun = len(queued.attempts) - sum(not frame.sent for frame in queued.conn.queue.frames)
        found.discovery.change(
            found.row(0, "leaving", addr=f"127.0.0.1:{queued.listener.getsockname()[1]}")
        )
        until(lambda: len(queued.ended) == len(queued.attempts) - begun)
        assert {outcome for _, outcome in queued.ended} == {Outcome.NOT_CONNECTED}
        data = queued.read_all()
        assert data.count(b" d=") == begun  # what had begun is finished, and nothing after it
        queued.close()


def test_overdue_call_is_not_written_and_a_half_written_one_ends_its_connection() -> None:
    """A keyed part was sent again after its window: it was chosen within it and waited for its connection."""
    with world(streams_per_conn=400) as found:
        queued = Queued(found)
        late = queued.attempts[-1]
        found.call(lambda: setattr(late, "not_after", 0.0))
        data = queued.read_all()
        assert (
            late.request.part_id,
            Outcome.NOT_CONNECTED,
        ) in queued.ended and late.request.part_id not in data
        assert queued.attempts[-2].request.part_id in data
        queued.close()
    with world(streams_per_conn=400) as found:
        queued = Queued(found)
        late = queued.half_written()
        found.call(lambda: setattr(late, "not_after", 0.0))
        queued.read_all()
        assert (
            late.request.part_id,
            Outcome.NOT_CONNECTED,
        ) in queued.ended  # its last byte was never handed over
        assert queued.nodes.pool.opened_count >= 1 and queued.conn_gone()
        queued.close()


def test_half_written_call_that_is_cancelled_ends_its_connection() -> None:
    """Its client left: the last byte would begin the attempt."""
    with world(streams_per_conn=400) as found:
        queued = Queued(found)
        half = queued.half_written()
        found.call(lambda: queued.nodes.cancel(half))
        until(queued.conn_gone)
        data = queued.read_all()
        assert (
            len(queued.ended) == len(queued.attempts) - 1
        )  # the others ended as the connection did
        assert len(data) - data.rindex(half.request.part_id) < 30_000
        queued.close()
