"""The connections to all nodes: which one a call goes on, how many there are, which ones are closed."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from stepknot.net.loop import Loop
from stepknot.nodes.transport import OnReply, OutgoingAttempt, ignore_reply
from stepknot.platform.endpoint_list import NodeAddress
from stepknot.platform.idle_connections import IdleConnections
from stepknot.platform.node_connection import Node, NodeConnection

IDLE_FRACTION = (
    0.8  # of the time after which nodes close an idle connection: the broker closes first
)


class ConnectionPool:
    """Opens connections when calls need them and closes those that are idle.

    Attributes:
        nodes: by name, those listed and those that still have connections.
        idle: the connections that are idle, and some that are in use again.
        on_reply: called with the end of each attempt.
        must_writes_wait: asked once a turn or more: whether nothing is written in this turn of the loop.
        opened_count: connections that were opened since the start.
        rejected_count: connections that were not opened, as no descriptor was left.
        malformed_count: connections that ended by bytes that the protocol does not allow.
    """

    def __init__(
        self,
        loop: Loop,
        max_parts: int,
        connect_timeout: float,
        idle_timeout: float,
        max_connections: int,
        log: Callable[..., None],
    ) -> None:
        """Open nothing yet.

        Args:
            loop: runs the connections.
            max_parts: in flight on one connection.
            connect_timeout: seconds for a connection to come up.
            idle_timeout: seconds after which nodes close an idle connection; 0 where they do not.
            max_connections: to all nodes together.
            log: takes an event's name and fields.
        """
        self.loop = loop
        self.connect_timeout = connect_timeout
        self.on_reply: OnReply = ignore_reply
        self.must_writes_wait: Callable[[], bool] = lambda: False
        self.nodes: dict[str, Node] = {}
        self.idle = IdleConnections()
        self.opened_count = 0
        self.rejected_count = 0
        self.malformed_count = 0
        self._max_parts = max_parts
        self._idle_timeout = idle_timeout
        self._max_connections = max_connections
        self._log = log
        self._connections: dict[NodeConnection, None] = {}  # in the order in which they were opened
        # Connections with something to write at the end of the turn, in order.
        self._write_scheduled: dict[NodeConnection, None] = {}
        loop.turn_hooks.append(self._flush_scheduled)
        if idle_timeout:
            interval = idle_timeout * (1 - IDLE_FRACTION) / 2
            loop.call_every(interval, self.close_idle_too_long)

    # --- nodes

    def update_addresses(self, addresses: Iterable[NodeAddress], is_snapshot: bool) -> None:
        """Take the addresses of listed nodes; a snapshot has all of them.

        Where an address changes, what is in flight ends where it was sent.
        """
        listed = set()
        for name, host, port in addresses:
            listed.add(name)
            node = self.nodes.get(name)
            if node is None:
                node = self.nodes[name] = Node(name, host, port)
            node.is_listed = True
            if (node.host, node.port) != (host, port):
                node.host, node.port = host, port
                node.close_idle()
        if is_snapshot:
            for name in self.nodes.keys() - listed:
                self.forget(name)

    def forget(self, name: str) -> None:
        """The node left the endpoint list: its connections end, each once nothing is in flight on it."""
        node = self.nodes.get(name)
        if node is not None:
            node.is_listed = False
            node.close_idle()
            self._drop_unlisted(node)

    def _drop_unlisted(self, node: Node) -> None:
        if not node.is_listed and not node.connections:
            self.nodes.pop(node.name, None)

    # --- connections

    def count_open(self) -> int:
        """Connections that are open or being opened."""
        return len(self._connections)

    def connections(self) -> Iterator[NodeConnection]:
        """All connections; they may end while they are iterated over."""
        yield from list(self._connections)

    def select(self, name: str, attempts: list[OutgoingAttempt]) -> NodeConnection | None:
        """The busiest connection to the node that has capacity for the attempts, or a new one.

        Returns None where the node is not known or no descriptor is left.
        """
        node = self.nodes.get(name)
        if node is None:
            return None
        selected = None
        node.close_unresponsive()
        for connection in node.connections:
            if selected is not None and len(connection.in_flight) <= len(selected.in_flight):
                continue
            if self._has_capacity(connection, attempts):
                selected = connection
        return selected or self.open(node)

    def _has_capacity(self, connection: NodeConnection, attempts: list[OutgoingAttempt]) -> bool:
        return (
            len(connection.in_flight) + len(attempts) <= self._max_parts
            and not connection.is_unresponsive
            and all(connection.may_carry(each.request) for each in attempts)
        )

    def open(self, node: Node) -> NodeConnection | None:
        """A new connection to the node, or None where no descriptor is left."""
        if self.count_open() >= self._max_connections and not self.evict_idle():
            self.rejected_count += 1
            return None
        self.opened_count += 1
        connection = NodeConnection(self, node, self.opened_count)
        node.connections.append(connection)
        self._connections[connection] = None
        self.loop.spawn(connection.run(), "node")
        return connection

    def evict_idle(self) -> bool:
        """Close the connection that has been idle the longest; returns whether there was one."""
        connection = self.idle.pop_longest()
        if connection is None:
            return False
        connection.end("its descriptor is needed")
        return True

    def close_idle_too_long(self) -> None:
        """Close connections that were idle for as long as nodes nearly allow."""
        before = self.loop.now - self._idle_timeout * IDLE_FRACTION
        for connection in self.connections():
            if connection.is_idle and connection.last_used <= before:
                connection.end("idle")

    def close(self) -> None:
        """Close all connections."""
        for connection in self.connections():
            connection.end("the broker stops")

    # --- called by connections

    def schedule_write(self, connection: NodeConnection) -> None:
        """Flush the connection at the end of this turn."""
        self._write_scheduled[connection] = None
        self.loop.again = True

    def on_idle(self, connection: NodeConnection) -> None:
        """The connection became idle, or was used and is idle again."""
        self.idle.add(connection)

    def remove(self, connection: NodeConnection) -> None:
        """The connection ended."""
        connection.node.connections.remove(connection)
        del self._connections[connection]
        self.idle.discard(connection)
        self._drop_unlisted(connection.node)
        self._write_scheduled.pop(connection, None)

    def on_malformed(self, connection: NodeConnection, reason: str) -> None:
        """The node sent what the protocol does not allow."""
        self.malformed_count += 1
        self._log(
            "node_protocol_violated",
            node=connection.node.name,
            reason=reason,
            in_flight=len(connection.in_flight),
        )

    def on_frame_rejected(self, connection: NodeConnection, reason: str) -> None:
        """The node could not use a frame."""
        self._log("frame_rejected", node=connection.node.name, reason=reason)

    def _flush_scheduled(self) -> None:
        if not self._write_scheduled:
            return
        if self.must_writes_wait():
            self.loop.again = True
            return
        scheduled, self._write_scheduled = self._write_scheduled, {}
        for connection in scheduled:
            if not connection.has_ended and not connection.is_flushing:
                self.loop.run_callback("flush", connection.flush)
