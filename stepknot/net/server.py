"""An HTTP/1.1 server on the loop: its listener, its connections and the bounds on them."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

from stepknot.decisions.memory_budget import MemoryBudget
from stepknot.net.connection import Connection, Handler
from stepknot.net.errors import HttpError
from stepknot.net.eviction import EvictionQueue
from stepknot.net.gate import Gate
from stepknot.net.http import HttpLimits, Response
from stepknot.net.link import Link
from stepknot.net.listener import Listener
from stepknot.net.loop import Loop
from stepknot.net.rejections import LATE_REQUEST_GRACE

REJECTED_FRACTION = 1 / 16  # of the bound on connections: so many beyond it get a rejection


class Server:
    """Listens and keeps its connections.

    Attributes:
        handler: gets each request and its connection and returns a coroutine that ends in the
            response, or in None where nothing may be sent any more: the connection is closed then.
        on_error: makes the response to an error, in the front's own form.
        is_closed: the listener is closed; connections end once no request is in progress.
        closed_at: when that was; requests `LATE_REQUEST_GRACE` later are rejected.
        is_draining: each answer ends its connection; new connections are still accepted.
        one_at_a_time: clients do not pipeline, so that much behind a request is not a request.
        gate: admits clients, where they are not simply accepted.
        memory_budget: for what connections hold of requests, without a bound where a gate counts it.
        max_connections: bound where there is no gate.
        max_idle: bound on connections between two requests.
        idle: those connections, the one longest so first.
        rejected_count: connections that were ended or not accepted to stay below the bounds.
        timed_out_count: connections that ended by a time-out.
        abandoned_count: requests whose client disconnected before their turn came.
        end_counts: connections that were ended here, by reason.
    """

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        handler: Handler,
        limits: HttpLimits,
        on_error: Callable[[HttpError], Response],
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.on_error = on_error
        self.connections: set[Connection] = set()
        self.is_closed = False
        self.closed_at = math.inf
        self.is_draining = False
        self.one_at_a_time = False
        self.gate: Gate | None = None
        self.memory_budget = MemoryBudget(math.inf)
        self.max_connections = math.inf
        self.max_idle = math.inf
        self.idle: dict[Connection, None] = {}
        self._eviction_queue = EvictionQueue(loop)
        self.rejected_count = 0
        self.timed_out_count = 0
        self.abandoned_count = 0
        self.end_counts: Counter[str] = Counter()
        self.listener: Listener = loop.listen(host, port, self._on_accept)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.listener.address[1])

    @property
    def is_ending(self) -> bool:
        """Whether each answer ends its connection."""
        return self.is_closed or self.is_draining

    def may_accept_requests(self) -> bool:
        """Whether a request may still begin, see `stepknot.net.rejections`; what was received may not be read yet."""
        if not self.is_closed:
            return True
        is_in_grace = self.loop.now <= self.closed_at + LATE_REQUEST_GRACE
        is_unread = bool(self.loop.new or self.loop.bulk)
        has_clients = any(not each.is_half_closed for each in self.connections)
        return has_clients and (is_in_grace or is_unread)

    def _on_accept(self, link: Link, peer: tuple[Any, ...]) -> None:
        if self.gate is not None:
            self.gate.on_accept(self, link, peer)
            return
        is_full = len(self.connections) >= self.max_connections and not self.evict()
        self.rejected_count += is_full
        max_rejected = self.max_connections * (1 + REJECTED_FRACTION)
        if is_full and len(self.connections) >= max_rejected:
            self.end_counts["over_limit"] += 1
            link.close()
        else:
            self.connections.add(Connection(self, link, peer, is_over_limit=is_full))

    def note_idle(self, connection: Connection) -> None:
        """The connection is between two requests; beyond the bound the one longest so is ended."""
        self.idle[connection] = None
        while len(self.idle) > self.max_idle:
            longest = next(iter(self.idle))
            del self.idle[longest]
            self.end_counts["too_many_idle"] += 1
            longest.half_close_if_idle()

    def evict(self) -> bool:
        """Close one connection for its descriptor; returns whether there was one."""
        connection = self._eviction_queue.take(self.connections)
        if connection is None:
            return False
        self.rejected_count += 1
        self.end_counts["evicted"] += 1
        connection.link.close()
        self.connections.discard(connection)
        return True

    def close(self) -> None:
        """Stop accepting; connections end as soon as no request of theirs is in progress.

        What the kernel accepted is accepted here first: it would be reset without an answer.
        """
        self.listener.accept_rest()
        self.listener.close()
        self.is_closed = True
        self.closed_at = self.loop.now
        for connection in list(self.connections):
            if connection.last_answered:
                connection.half_close_if_idle()
            else:
                self.loop.call_later(LATE_REQUEST_GRACE, connection.half_close_if_idle)
