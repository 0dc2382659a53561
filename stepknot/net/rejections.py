"""Requests that a connection answers without its handler: too late, too slow, or without capacity for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepknot.net.errors import HttpError
from stepknot.net.http import Response, encode_response
from stepknot.net.tasks import Coroutine

if TYPE_CHECKING:
    from stepknot.net.connection import Connection

LATE_REQUEST_GRACE = 0.2  # seconds after the listener closed in which requests are still accepted


def make_rejection(connection: Connection, arrived: float) -> Response | None:
    """The rejection of a complete request, whose retry elsewhere is harmless; None where it is accepted.

    Args:
        connection: that the request was received on.
        arrived: when, by the loop's clock.
    """
    server = connection.server
    if connection.is_over_limit:
        return server.on_error(HttpError(503, "no room for a connection"))
    if arrived > server.closed_at + LATE_REQUEST_GRACE:
        return server.on_error(HttpError(503, "shutting down"))
    if connection.has_overrun:
        return server.on_error(HttpError(429, "one request at a time on a connection"))
    return None


def reject_for_memory(connection: Connection) -> Coroutine:
    """Answer a request for which no memory is left, and end the connection."""
    connection.server.end_counts["over_memory"] += 1
    yield from connection.reject(HttpError(503, "no memory for the request"))


def reject_slow_request(connection: Connection) -> None:
    """Answer a request that does not arrive in time, and end the connection."""
    server = connection.server
    error = HttpError(408, "the request took too long to arrive")
    server.timed_out_count += 1
    server.end_counts["slow_request"] += 1
    try:
        connection.link.send_now(encode_response(server.on_error(error), None, True))
    except OSError:  # the peer disconnected, and the poll has not reported it yet
        connection.link.close()
        return
    connection.half_close()
