"""Idle connections to nodes in the order in which they became idle."""

from __future__ import annotations

from collections import OrderedDict

from stepknot.platform.node_connection import NodeConnection


class IdleConnections:
    """Finds the connection that has been idle the longest without a pass over all connections.

    A connection is added each time that it becomes idle. One that is in use again stays until it is found:
    each addition pays for one removal.
    """

    __slots__ = ("_connections",)

    def __init__(self) -> None:
        self._connections: OrderedDict[NodeConnection, None] = OrderedDict()

    def __contains__(self, connection: NodeConnection) -> bool:
        return connection in self._connections

    def add(self, connection: NodeConnection) -> None:
        """The connection is idle since now."""
        self._connections[connection] = None
        self._connections.move_to_end(connection)

    def discard(self, connection: NodeConnection) -> None:
        """The connection ended."""
        self._connections.pop(connection, None)

    def pop_longest(self) -> NodeConnection | None:
        """Remove and return the connection that has been idle the longest, if any is idle."""
        while self._connections:
            connection, _ = self._connections.popitem(last=False)
            if connection.is_idle:
                return connection
        return None
