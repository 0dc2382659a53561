"""Reading and parsing of requests on a connection, within the bounds on its memory and on one step."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from stepknot.net.errors import HttpError
from stepknot.net.gate import READ_BYTES, admit_bytes, schedule_progress_check
from stepknot.net.rejections import reject_for_memory
from stepknot.net.tasks import Park

if TYPE_CHECKING:
    from stepknot.net.connection import Connection

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def read_request(connection: Connection) -> Generator[Park, Any, bool]:
    """Read and parse once; returns whether the connection goes on."""
    if _has_ended(connection):
        return False
    if connection.unparsed:
        yield from connection.wait_for_turn()
    data = connection.unparsed or (yield from connection.link.recv(READ_BYTES))
    connection.step.begin()
    new_count = len(data) - connection.admitted
    connection.unparsed, connection.admitted = b"", 0
    connection.server.idle.pop(connection, None)
    if not data or connection.is_half_closed:
        return False
    is_gated = connection.server.gate is not None and new_count > 0
    if is_gated and not (yield from admit_bytes(connection, new_count)):
        return False
    return (yield from _take(connection, data))


def _has_ended(connection: Connection) -> bool:
    """Whether nothing more is read; a connection that is not to go on is half-closed here."""
    if connection.server.is_closed and connection.last_answered:
        connection.half_close_if_idle()
    if connection.has_overrun and not connection.is_half_closed:
        connection.server.end_counts["overrun"] += 1
        connection.half_close()
    return connection.is_half_closed


def _take(connection: Connection, data: bytes) -> Generator[Park, Any, bool]:
    """Parse what was received; returns whether the connection goes on."""
    server, parser = connection.server, connection.parser
    had_started = parser.started
    try:
        connection.unparsed = _parse(connection, data)
    except HttpError as error:
        yield from connection.reject_malformed(error)
        return False
    connection.admitted = len(connection.unparsed)
    if not connection.fits_memory():
        yield from reject_for_memory(connection)
        return False
    if parser.expects and parser.started:
        parser.expects = False
        yield from connection.link.send(CONTINUE, server.limits.write)
    if parser.started and not had_started:
        connection.set_deadline(server.limits.body_time)
        schedule_progress_check(connection)
    return True


def _parse(connection: Connection, data: bytes) -> bytes:
    """Parse until a request is complete or the step is long enough; returns the bytes that are left."""
    place = 0
    while place < len(data) and not connection.parser.requests:
        place = connection.parser.feed_piece(data, place)
        if connection.step.is_reached():
            break
    return data[place:]
