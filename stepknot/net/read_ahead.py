"""Reading behind a request that is in progress or about to begin (invariant 7 of `stepknot.net.connection`)."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from stepknot.net.gate import READ_BYTES
from stepknot.net.tasks import NEXT_TURN, Park

if TYPE_CHECKING:
    from stepknot.net.connection import Connection

READ_AHEAD_BYTES = 16 * 1024  # behind a request; more: see `Server.one_at_a_time`


def read_to_end(connection: Connection) -> Generator[Park, Any, bool]:
    """Read what was received behind a request that is about to begin, up to the bound.

    The client may have disconnected behind these bytes, even while its own system still holds some of them:
    its end is not reported before all of them are read. Returns whether the client is still connected, as
    far as can be known.
    """
    link = connection.link
    while link.can_read and not link.disconnected() and _may_read(connection):
        _read_once(connection)
        if link.can_read and _may_read(connection):
            yield from connection.server.loop.wait_for_next_turn()
    return not link.disconnected()


def read_ahead(connection: Connection) -> None:
    """Read once what comes behind a request in progress, up to the bound, and go on in the next turn.

    Beyond the bound the rest stays with the kernel, or, where clients send one request at a time, is
    dropped: the client's end may follow it.
    """
    link = connection.link
    if (
        not connection.is_busy
        or connection.is_read_ahead_scheduled
        or link.peer_closed
        or (_is_full(connection) and not connection.server.one_at_a_time)
    ):
        return
    if not _read_once(connection):
        return
    if link.can_read and not link.peer_closed:
        connection.is_read_ahead_scheduled = True
        connection.server.loop.call_later(NEXT_TURN, lambda: _read_next(connection))


def _read_next(connection: Connection) -> None:
    connection.is_read_ahead_scheduled = False
    read_ahead(connection)


def _is_full(connection: Connection) -> bool:
    return len(connection.unparsed) >= READ_AHEAD_BYTES


def _may_read(connection: Connection) -> bool:
    """Whether bytes before the begin of a request are kept; an overrun rejects it, so that no more are needed."""
    return not connection.has_overrun and (
        not _is_full(connection) or connection.server.one_at_a_time
    )


def _read_once(connection: Connection) -> bool:
    """Read and keep, or drop beyond the bound; returns whether there was anything."""
    link = connection.link
    is_full = _is_full(connection)
    try:
        data = link.recv_now(READ_BYTES)
    except OSError:
        data = b""
    if data is None:
        return False
    if not data:
        link.peer_closed = True
        connection.on_peer_closed()
    elif is_full:
        connection.has_overrun = True
    else:
        _keep(connection, data)
    return True


def _keep(connection: Connection, data: bytes) -> None:
    before = connection.unparsed
    connection.unparsed = before + data
    if not connection.fits_memory():
        connection.unparsed = before
        connection.has_overrun = True
