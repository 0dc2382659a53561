"""Reading behind a request in progress (invariant 7 of `stepknot.net.connection`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepknot.net.gate import READ_BYTES
from stepknot.net.tasks import NEXT_TURN

if TYPE_CHECKING:
    from stepknot.net.connection import Connection

READ_AHEAD_BYTES = 16 * 1024  # behind a request in progress; more: see `Server.one_at_a_time`


def read_ahead(connection: Connection) -> None:
    """Read once what comes behind a request in progress, up to a bound, and go on in the next turn.

    Beyond the bound the rest stays with the kernel, or, where clients send one request at a time, is
    dropped: the client's end may follow it.
    """
    link = connection.link
    is_full = len(connection.unparsed) >= READ_AHEAD_BYTES
    if (
        not connection.is_busy
        or connection.is_read_ahead_scheduled
        or link.peer_closed
        or (is_full and not connection.server.one_at_a_time)
    ):
        return
    try:
        data = link.recv_now(READ_BYTES)
    except OSError:
        data = b""
    if data is None:
        return
    if not data:
        link.peer_closed = True
        connection.on_peer_closed()
    elif is_full:
        connection.has_overrun = True
    else:
        connection.unparsed += data
    if link.can_read and not link.peer_closed:
        connection.is_read_ahead_scheduled = True
        connection.server.loop.call_later(NEXT_TURN, lambda: _read_next(connection))


def _read_next(connection: Connection) -> None:
    connection.is_read_ahead_scheduled = False
    read_ahead(connection)
