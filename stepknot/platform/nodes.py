"""The nodes as the core sees them: calls, cancellations and probes, carried by pooled connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from stepknot.interface import Outcome
from stepknot.net.loop import Loop
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, OnReply, OutgoingAttempt
from stepknot.platform.connection_pool import ConnectionPool
from stepknot.platform.endpoint_list import NodeAddress
from stepknot.platform.frames import LOAD
from stepknot.platform.node_connection import Node, NodeConnection, OnProbeEnded


class Nodes:
    """Implements `stepknot.nodes.transport.NodeTransport` by the nodes' protocol.

    Attributes:
        pool: the connections.
        parts_per_call: how many parts one call carries at most.
    """

    def __init__(self, pool: ConnectionPool, parts_per_call: int) -> None:
        self.pool = pool
        self.parts_per_call = parts_per_call

    @property
    def on_reply(self) -> OnReply:
        """Called with the end of each attempt."""
        return self.pool.on_reply

    @on_reply.setter
    def on_reply(self, on_reply: OnReply) -> None:
        self.pool.on_reply = on_reply

    def send(self, server: str, attempts: list[OutgoingAttempt]) -> int:
        """Send what goes to one node in one turn; returns in how many calls."""
        calls = self._group_by_call(attempts)
        for call in calls:
            self._send_call(server, call)
        return len(calls)

    def _group_by_call(self, attempts: list[OutgoingAttempt]) -> list[list[OutgoingAttempt]]:
        """The attempts in their order, in calls of `parts_per_call` at most and of one attempt of each part.

        Two attempts of a part in one call could not be told apart in its answers.
        """
        calls: list[list[OutgoingAttempt]] = []
        part_ids: set[bytes] = set()  # in the last call
        for attempt in attempts:
            part_id = attempt.request.part_id
            if not calls or len(calls[-1]) == self.parts_per_call or part_id in part_ids:
                calls.append([])
                part_ids = set()
            calls[-1].append(attempt)
            part_ids.add(part_id)
        return calls

    def _send_call(self, server: str, attempts: list[OutgoingAttempt]) -> None:
        connection = self.pool.select(server, attempts)
        if connection is not None:
            connection.send_call(attempts)
            return
        for attempt in attempts:
            reply = PartReply(Outcome.NOT_CONNECTED, reason="no descriptor is left")
            self.pool.on_reply(attempt, reply, {})

    def cancel(self, attempt: OutgoingAttempt) -> None:
        """Nobody waits for the attempt any more."""
        call, attempt.call = attempt.call, None
        if call is not None:
            call.connection.cancel(call.frame, attempt)

    def is_unsent(self, attempt: OutgoingAttempt) -> bool:
        """Whether the kernel took no byte of the attempt's frame yet."""
        return attempt.call is None or not attempt.call.frame.sent

    def withdraw(self, server: str) -> None:
        """The node takes nothing new: what is not written yet ends as not connected."""
        for connection in self._connections_to(server):
            connection.withdraw_unwritten("its node accepts nothing new")

    def close_idle(self, server: str) -> None:
        """Close the node's connections on which nothing is in flight."""
        node = self.pool.nodes.get(server)
        if node is not None:
            node.close_idle()

    def probe(self, server: str, on_ended: OnProbeEnded) -> None:
        """Ask the node for its load; `on_ended` is called once.

        One probe is in flight on a connection at a time, as answers do not name their probe. Where all
        responsive connections have one, a new one would not be answered sooner: it only times out.
        """
        node = self.pool.nodes.get(server)
        if node is None:
            on_ended(Outcome.NOT_CONNECTED, {})
            return
        node.close_unresponsive()
        responsive = [each for each in node.connections if not each.is_unresponsive]
        free = [each for each in responsive if LOAD not in each.probes]
        connection = free[0] if free else None
        if not responsive:
            connection = self.pool.open(node)
            if connection is None:
                on_ended(Outcome.NOT_CONNECTED, {})
                return
        probe = _Probe(self.pool.loop, connection, on_ended)
        probe.start(self.pool.connect_timeout)

    def update_addresses(self, addresses: Iterable[NodeAddress], is_snapshot: bool) -> None:
        """Take the addresses of listed nodes; a snapshot has all of them."""
        self.pool.update_addresses(addresses, is_snapshot)

    def forget(self, server: str) -> None:
        """The node left the endpoint list."""
        self.pool.forget(server)

    def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    def _connections_to(self, server: str) -> list[NodeConnection]:
        node: Node | None = self.pool.nodes.get(server)
        return list(node.connections) if node is not None else []


class _Probe:
    """A probe with its time-out; it ends once."""

    def __init__(
        self, loop: Loop, connection: NodeConnection | None, on_ended: OnProbeEnded
    ) -> None:
        self._loop = loop
        self._connection = connection
        self._on_ended: OnProbeEnded | None = on_ended
        self._cancel_timer: Callable[[], None] = lambda: None

    def start(self, timeout: float) -> None:
        """Send the probe; it times out after so many seconds."""
        self._cancel_timer = self._loop.call_later(timeout, self._expire).cancel
        if self._connection is not None:
            self._connection.send_probe(LOAD, self._end)

    def _expire(self) -> None:
        if self._connection is not None:
            self._connection.abandon_probe(LOAD)
        self._end(Outcome.TIMED_OUT, {})

    def _end(self, outcome: Outcome, load: Load) -> None:
        on_ended, self._on_ended = self._on_ended, None
        if on_ended is not None:
            self._cancel_timer()
            on_ended(outcome, load)
