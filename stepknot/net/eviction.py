"""Which connection is closed where its descriptor is needed for a new one."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from stepknot.net.connection import Connection
    from stepknot.net.loop import Loop


class EvictionQueue:
    """Candidates for eviction, sorted at most once in a turn of the loop: connections may come by hundreds."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._turn = -1  # no turn of the loop has this number
        self._queue: deque[Connection] = deque()

    def take(self, connections: Iterable[Connection]) -> Connection | None:
        """The connection to close, None where there is none.

        First come those that are half-closed, then those longest without a complete request, be they
        between two requests, without any or in the middle of one. A new one is about to send a
        request, and comes last. One with unread bytes is not evicted.
        """
        if self._turn != self._loop.turns:
            self._turn = self._loop.turns
            candidates = [each for each in connections if _is_candidate(each)]
            self._queue = deque(sorted(candidates, key=_eviction_order))
        while self._queue:
            connection = self._queue.popleft()
            if _is_candidate(connection) and (connection.is_half_closed or _is_waiting(connection)):
                return connection
        return None


def _is_candidate(connection: Connection) -> bool:
    return not connection.link.closed and (connection.is_half_closed or not connection.in_progress)


def _is_waiting(connection: Connection) -> bool:
    """Whether the client has sent nothing that was not handled yet."""
    return not connection.unparsed and connection.link.peek() is None


def _eviction_order(connection: Connection) -> tuple[bool, float]:
    """Sorts half-closed connections first, then by the time without a complete request."""
    since = max(connection.request_started, connection.last_answered)
    return (not connection.is_half_closed, since)
