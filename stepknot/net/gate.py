"""What a connection does where a gate admits clients: PROXY header, capacity for bytes, minimum rate."""

from __future__ import annotations

from collections.abc import Generator
from typing import TYPE_CHECKING, Any, Protocol

from stepknot.admission.errors import ProxyHeaderError
from stepknot.admission.proxy_protocol import parse_proxy_header
from stepknot.net.errors import HttpError
from stepknot.net.http import Response, encode_response
from stepknot.net.rejections import reject_slow_request
from stepknot.net.tasks import Park

if TYPE_CHECKING:
    from stepknot.net.connection import Connection
    from stepknot.net.link import Link
    from stepknot.net.server import Server

READ_BYTES = 16 * 1024
PROGRESS_INTERVAL = 1.0  # seconds between checks of how fast a request arrives
CAPACITY_INTERVAL = 0.02  # seconds between checks whether there is capacity for bytes


class GateSettings(Protocol):
    """How slowly a client may send and read."""

    @property
    def grace(self) -> float:
        """Seconds before the rate is checked."""

    @property
    def progress(self) -> float:
        """Bytes a second, at least."""


class Gate(Protocol):
    """Admits clients; `stepknot.broker.admission_gate` has one."""

    @property
    def settings(self) -> GateSettings:
        """Bounds on slow clients."""

    def on_accept(self, server: Server, link: Link, peer: tuple[Any, ...]) -> None:
        """A client connected: admit it, let it wait or reject it."""

    def expects_proxy(self, connection: Connection) -> bool:
        """Whether the peer begins with a PROXY header."""

    def on_proxy_header(self, connection: Connection, address: Any) -> Response | None:
        """The PROXY header names the client; returns a rejection where it is not admitted."""

    def on_request_bytes(self, connection: Connection) -> None:
        """A request begins to arrive."""

    def reserve_bytes(self, connection: Connection, size: int) -> bool:
        """Reserve capacity for received bytes; returns whether there is any."""

    def release_bytes(self, connection: Connection, left: int) -> None:
        """Release capacity but for this many bytes."""

    def on_idle(self, connection: Connection) -> None:
        """The connection is between two requests."""

    def idle_timeout(self, base: float) -> float:
        """For how many seconds a connection may be idle."""

    def on_protocol_error(self, connection: Connection) -> None:
        """The client sent something malformed, or too slowly."""

    def on_close(self, number: int) -> None:
        """The connection ended."""


def read_proxy_header(connection: Connection) -> Generator[Park, Any, bool]:
    """Read the PROXY header that a trusted peer begins with; returns whether the connection goes on."""
    gate, data = connection.server.gate, b""
    assert gate is not None
    found = None
    while found is None:
        chunk = yield from connection.link.recv(READ_BYTES)
        data += chunk
        try:
            found = parse_proxy_header(data)
        except ProxyHeaderError as error:
            gate.on_protocol_error(connection)
            yield from connection.reject(HttpError(400, str(error)))
            return False
        if not chunk:
            return False
    address, length = found
    connection.unparsed = data[length:]
    rejection = gate.on_proxy_header(connection, address)
    if rejection is None:
        return True
    yield from connection.send_last(encode_response(rejection, None, True))
    return False


def admit_bytes(connection: Connection, size: int) -> Generator[Park, Any, bool]:
    """Reserve capacity for bytes that were received; returns whether the connection goes on."""
    gate = connection.server.gate
    assert gate is not None
    if not connection.parser.started:
        gate.on_request_bytes(connection)
        connection.request_started = connection.server.loop.now
        connection.request_bytes = 0
    connection.request_bytes += size
    if gate.reserve_bytes(connection, size) or (
        yield from _wait_for_capacity(connection, gate, size)
    ):
        return True
    error = HttpError(429, "too many bytes are held; return in a moment")
    yield from connection.reject(error)
    return False


def _wait_for_capacity(connection: Connection, gate: Gate, size: int) -> Generator[Park, Any, bool]:
    """Read nothing more until there is capacity for what was received; returns whether there is."""
    loop = connection.server.loop
    until = loop.now + gate.settings.grace
    while loop.now < until and not connection.link.closed:
        yield from loop.sleep(CAPACITY_INTERVAL)
        if gate.reserve_bytes(connection, size):
            return True
    return False


def schedule_progress_check(connection: Connection) -> None:
    """Check how fast the request arrives, once its grace is over."""
    gate = connection.server.gate
    if gate is not None and not connection.is_progress_scheduled:
        connection.is_progress_scheduled = True
        first_check = connection.request_started + gate.settings.grace + PROGRESS_INTERVAL / 10
        connection.server.loop.call_at(first_check, lambda: _check_progress(connection, gate))


def _check_progress(connection: Connection, gate: Gate) -> None:
    connection.is_progress_scheduled = False
    if connection.link.closed or not connection.parser.started or connection.is_busy:
        return
    if _arrives_too_slowly(connection, gate):
        reject_slow_request(connection)
    else:
        connection.is_progress_scheduled = True
        connection.server.loop.call_later(
            PROGRESS_INTERVAL, lambda: _check_progress(connection, gate)
        )


def _arrives_too_slowly(connection: Connection, gate: Gate) -> bool:
    """Whether the request's bytes come more slowly than the gate allows."""
    passed = connection.server.loop.now - connection.request_started - gate.settings.grace
    if connection.request_bytes >= gate.settings.progress * passed:
        return False
    gate.on_protocol_error(connection)
    return True
