"""Connections to nodes: opened as needed, kept while idle, limited in number.

An exchange has a connection to itself until its response is complete. A connection on which anything else happens
(unsolicited bytes, a malformed or overlong response, a cancelled exchange) is closed and never used again, so that no
response reaches another exchange. The outcome says whether the node may have executed the request:

- `NOT_CONNECTED`: its bytes were never all handed to the kernel, so that no node can have read a complete request;
- `RESET`: they were, and the connection ended without a complete response: it may have been executed.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from stepknot.interface import Outcome
from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.response_parser import ClientParser
from stepknot.net.tasks import Coroutine
from stepknot.nodes.exchange import Exchange

READ_SIZE = 256 * 1024  # bytes
UNLIMITED = 1_000_000  # connections
TIMER_TOLERANCE = 1e-6  # seconds by which an idle connection's timer may fire early


class IdleConnection(NamedTuple):
    """A connection without an exchange, and since when by the loop's clock."""

    link: Link
    since: float


@dataclass(slots=True, eq=False)
class NodeConnections:
    """The connections to one address.

    Attributes:
        idle: The connection that was used last is at the right end, and is used first.
        open: Number of connections that are open or being opened.
        connecting: Exchanges whose connection is being opened.
    """

    host: str
    port: int
    idle: deque[IdleConnection] = field(default_factory=deque)
    open: int = 0
    connecting: set[Exchange] = field(default_factory=set)

    @property
    def authority(self) -> str:
        """Host and port as in a request's `host` header."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


class ConnectionPool:
    """The connections to all nodes.

    Args:
        loop: Runs the exchanges.
        max_per_node: Connections to one node, at most.
        connect_timeout: Seconds.
        idle_seconds: For how long an idle connection is kept; 0: without a limit.
        max_reply: Bytes of a response, at most.
        max_total: Connections to all nodes, at most: the descriptors that this side may have.

    Attributes:
        opened: Connections that were opened so far.
        reused: Exchanges on a kept connection so far.
        rejected_at_limit: Exchanges that got no connection because of a limit so far.
        malformed_replies: Malformed or overlong responses so far.
    """

    def __init__(
        self,
        loop: Loop,
        max_per_node: int,
        connect_timeout: float,
        idle_seconds: float,
        max_reply: int,
        max_total: int = UNLIMITED,
    ) -> None:
        self.connect_timeout = connect_timeout
        self.opened = 0
        self.reused = 0
        self.rejected_at_limit = 0
        self.malformed_replies = 0
        self._loop = loop
        self._max_per_node = max_per_node
        self._idle_seconds = idle_seconds
        self._max_reply = max_reply
        self._max_total = max_total
        self._nodes: dict[str, NodeConnections] = {}
        self._open = 0  # connections that are open or being opened
        # All idle connections with their nodes, the one that was used least recently first.
        self._idle: OrderedDict[Link, NodeConnections] = OrderedDict()

    def authority(self, address: str) -> str:
        """An address as in a request's `host` header."""
        return self._node(address).authority

    def start(self, address: str, exchange: Exchange) -> None:
        """Run an exchange with a node; its `on_end` is called later."""
        self._loop.spawn(self._run(self._node(address), exchange), "call")

    def withdraw(self, address: str) -> None:
        """End exchanges unsent whose connection is not up, as the node accepts nothing new."""
        node = self._nodes.get(address)
        for exchange in list(node.connecting) if node is not None else []:
            exchange.end(None, Outcome.NOT_CONNECTED, "it takes nothing new")

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a node."""
        node = self._nodes.get(address)
        while node is not None and node.idle:
            self._close(node, self._pop_latest(node))

    def close(self) -> None:
        """Close all idle connections."""
        for address in self._nodes:
            self.close_idle(address)

    def _node(self, address: str) -> NodeConnections:
        node = self._nodes.get(address)
        if node is None:
            host, _, port = address.rpartition(":")
            node = self._nodes[address] = NodeConnections(host.strip("[]"), int(port))
        return node

    # --- exchanges

    def _run(self, node: NodeConnections, exchange: Exchange) -> Coroutine:
        """Get a connection, write the request, read the response, and keep or close the connection."""
        link = None
        parser = ClientParser(self._max_reply)
        is_sent = False
        is_reusable = False
        try:
            link = self._take_idle(node)
            if link is None:
                rejection = self._rejection(node)
                if rejection:
                    self.rejected_at_limit += 1
                    exchange.end(None, Outcome.NOT_CONNECTED, rejection)
                    return
                link = yield from self._connect(node, exchange)
            if exchange.not_after <= self._loop.clock():
                exchange.end(None, Outcome.NOT_CONNECTED, "its time is over")
            if exchange.ended:
                is_reusable = True
                return
            exchange.link = link
            data = exchange.data
            yield from link.send(data if isinstance(data, bytes) else data())
            is_sent = True
            while not parser.done:
                received = yield from link.recv(READ_SIZE)
                if not received:
                    raise ConnectionError("closed by the box")
                parser.feed(received)
            is_reusable = parser.keep_alive and not link.closed
            exchange.end(parser, Outcome.SERVED)
        except HttpError as error:
            self.malformed_replies += 1
            exchange.end(None, Outcome.ERROR, error.reason)
        except (OSError, WaitTimeoutError) as error:
            outcome = Outcome.RESET if is_sent else Outcome.NOT_CONNECTED
            exchange.end(None, outcome, _reason_of(error))
        finally:
            parser.release()
            exchange.link = None
            if link is not None:
                self._release(node, link, is_reusable)

    def _rejection(self, node: NodeConnections) -> str:
        """Why no connection may be opened; empty: one may. An idle connection to another node may be closed for it."""
        if node.open >= self._max_per_node:
            return f"{self._max_per_node} connections are in use"
        if self._open >= self._max_total and not self._evict_idle():
            return f"all {self._max_total} connections to boxes are in use"
        return ""

    def _connect(self, node: NodeConnections, exchange: Exchange) -> Coroutine:
        """Open a connection; returns its link."""
        node.open += 1
        self._open += 1
        self.opened += 1
        node.connecting.add(exchange)
        try:
            link = yield from self._loop.connect(node.host, node.port, self.connect_timeout)
        except BaseException:
            node.open -= 1
            self._open -= 1
            raise
        finally:
            node.connecting.discard(exchange)
        return link

    def _release(self, node: NodeConnections, link: Link, is_reusable: bool) -> None:
        if is_reusable:
            self._put_idle(node, link)
        else:
            self._close(node, link)

    def _close(self, node: NodeConnections, link: Link) -> None:
        link.close()
        node.open -= 1
        self._open -= 1

    # --- idle connections

    def _take_idle(self, node: NodeConnections) -> Link | None:
        """The connection that was used last; those that were closed meanwhile or have unsolicited bytes are closed."""
        while node.idle:
            link = self._pop_latest(node)
            link.on_peer_closed = None
            if not link.closed and not link.peer_closed and link.peek() is None:
                self.reused += 1
                return link
            self._close(node, link)
        return None

    def _put_idle(self, node: NodeConnections, link: Link) -> None:
        idle = IdleConnection(link, self._loop.now)

        def on_peer_closed() -> None:
            if idle in node.idle:
                node.idle.remove(idle)
                del self._idle[link]
                self._close(node, link)

        link.on_peer_closed = on_peer_closed
        if link.peer_closed:
            self._close(node, link)
            return
        node.idle.append(idle)
        self._idle[link] = node
        if self._idle_seconds:
            self._loop.call_later(self._idle_seconds, lambda: self._close_expired(node))

    def _close_expired(self, node: NodeConnections) -> None:
        """Close the connections that are idle for longer than they are kept."""
        latest = self._loop.now - self._idle_seconds + TIMER_TOLERANCE
        while node.idle and node.idle[0].since <= latest:
            self._close(node, self._pop_earliest(node))

    def _evict_idle(self) -> bool:
        """Close the least recently used idle connection; returns whether there was one."""
        if not self._idle:
            return False
        node = next(iter(self._idle.values()))
        self._close(node, self._pop_earliest(node))
        return True

    def _pop_latest(self, node: NodeConnections) -> Link:
        """Remove the node's idle connection that was used last."""
        link = node.idle.pop().link
        del self._idle[link]
        return link

    def _pop_earliest(self, node: NodeConnections) -> Link:
        """Remove the node's idle connection that was used least recently."""
        link = node.idle.popleft().link
        del self._idle[link]
        return link


def _reason_of(error: OSError | WaitTimeoutError) -> str:
    """The reason of a failed exchange, as it is in logs and answers."""
    if isinstance(error, WaitTimeoutError):
        return "Expired"
    return str(error) or type(error).__name__
