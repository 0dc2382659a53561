"""An HTTP/1.1 server's connections on the loop: reads ahead within bounds, answers in order.

`Handler` gets a `Request` and returns a coroutine that ends in a `Response`, or None where nothing may be
sent any more: the connection is closed then. While it runs, `Connection.gone` may be called: the client hung up.

Invariants:
- A connection ends in one of two ways. `leave` half-closes: what was written arrives, and what crosses it is read off
  into nothing for a while, since a close over unread bytes would reset the connection and take the last answer along.
  `link.close` is for peers that are gone, and where the descriptor is needed now.
- What is read after `leave` makes no request.
- While a request is in work, bytes behind it are read too, within a bound: the client's end may stand behind them.
"""

from __future__ import annotations

import math
import socket
from collections.abc import Callable, Generator
from typing import Any

from stepknot.admission.errors import ProxyHeaderError
from stepknot.admission.proxy_protocol import parse_proxy_header
from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.http import HttpLimits, Request, Response, ServerParser, encode_response
from stepknot.net.link import Link
from stepknot.net.listener import Listener
from stepknot.net.loop import Loop
from stepknot.net.tasks import NEXT_TURN, Coroutine, Park

CHUNK = 64 * 1024
PROGRESS_LOOK = 1.0  # seconds between looks at how fast a request arrives
ROOM_LOOK = 0.02  # seconds between looks whether there is room for bytes
LINGER = 2.0  # seconds for the peer to read the last answer before the connection goes
READ_AHEAD = (
    16 * 1024
)  # bytes behind a request in work that are kept; what is then done with more: `one_at_a_time`
DRAIN_BATCH = 16  # chunks read off in a row before others have their turn
FRESH = (
    0.2  # seconds within which a connection that was let in just before the end should have asked
)
TURNED_SHARE = (
    1 / 16
)  # of the bound on connections, beyond it: so many are told that there is no room
Handler = Callable[[Request, "Connection"], Generator[Park, Any, Response | None]]


class Connection:
    """One client. A single lazy timer watches for silence: most waits need none of their own."""

    __slots__ = (
        "server",
        "link",
        "peer",
        "parser",
        "deadline",
        "timer_set",
        "busy",
        "gone",
        "task",
        "number",
        "first",
        "begun",
        "received",
        "watched",
        "free_at",
        "leaving",
        "overrun",
        "unwelcome",
    )

    def __init__(
        self,
        server: Server,
        link: Link,
        peer: tuple[Any, ...],
        number: int = 0,
        first: bytes = b"",
        unwelcome: bool = False,
    ) -> None:
        """`number`: by which the gate knows it; `first`: what was read before it was let in; `unwelcome`: there is no
        room, and it is told so."""
        self.server, self.link, self.peer = server, link, peer
        self.number, self.first, self.unwelcome = number, first, unwelcome
        self.leaving = False  # half-closed: nothing is heeded any more
        self.overrun = (
            False  # more came behind a request than is kept: this connection ends after it
        )
        self.begun, self.received = server.loop.now, 0  # of the request that is arriving
        self.free_at = 0.0  # when the last answer was made
        self.parser = ServerParser(server.limits)
        self.busy = self.timer_set = self.watched = False
        self.gone: Callable[[], None] | None = (
            None  # called when the client hangs up during a request
        )
        link.on_peer_closed, link.on_readable = self.on_peer_closed, self.read_ahead
        self.deadline = 0.0
        self.set_deadline(server.limits.first_byte)
        self.task = server.loop.spawn(self.serve(), "connection", patient=True)

    def set_deadline(self, seconds: float) -> None:
        self.deadline = self.server.loop.now + seconds
        if not self.timer_set:
            self.timer_set = True
            self.server.loop.call_at(self.deadline, self.check_silence)

    def check_silence(self) -> None:
        self.timer_set = False
        if self.link.closed or self.leaving:
            return
        left = self.deadline - self.server.loop.now
        if self.in_work:  # its own time bounds it
            left = max(left, self.server.limits.idle)
        if left > 0:
            self.timer_set = True
            self.server.loop.call_later(left, self.check_silence)
        elif self.parser.started:
            if self.link.reader is None:  # after a stall: what came waits for its turn to be read
                self.set_deadline(ROOM_LOOK)
            else:
                self.end_slow()
        elif self.link.peek():  # just come, and not read yet
            self.set_deadline(LINGER)
        else:
            self.server.silent += 1
            self.leave()

    def watch(self) -> None:
        """Look at how fast a request arrives, once its grace is over."""
        gate = self.server.gate
        if gate is not None and not self.watched:
            self.watched = True
            self.server.loop.call_at(
                self.begun + gate.settings.grace + PROGRESS_LOOK / 10, self.look
            )

    def look(self) -> None:
        self.watched = False
        if self.link.closed or not self.parser.started or self.busy:
            return
        if self.too_slow():
            self.end_slow()
        else:
            self.watched = True
            self.server.loop.call_later(PROGRESS_LOOK, self.look)

    def end_slow(self) -> None:
        self.link.send_now(
            encode_response(
                self.server.error(HttpError(408, "the request took too long to arrive")), None, True
            )
        )
        self.server.silent += 1
        self.leave()

    def leave(self) -> None:
        """The orderly end of a connection with nothing in work."""
        if self.leaving or self.link.closed:
            return
        self.leaving = True
        self.server.idle.pop(self, None)
        try:
            self.link.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer is gone
            self.link.close()
            return
        self.server.loop.call_later(LINGER, self.link.close)

    @property
    def in_work(self) -> bool:
        """A request is, or its answer is still being written: nothing may end the connection but its peer."""
        return self.busy or self.link.unsent > 0

    def leave_unless_asked(self) -> None:
        if (
            not self.in_work
            and not self.parser.started
            and not self.first
            and self.link.peek() is None
        ):
            self.leave()

    def drain(self) -> Coroutine:
        """Until the peer ends, too, or `leave`'s time is over."""
        count = 0
        while not self.link.closed and (yield from self.link.recv(CHUNK)):
            count += 1
            if count % DRAIN_BATCH == 0:
                yield from self.server.loop.sleep(0.0)

    def read_ahead(self) -> None:
        """What comes behind a request in work is kept, within a bound. Beyond it the rest stays with the kernel, or,
        where clients ask one at a time, is read into nothing: an end may stand behind it."""
        count = 0
        while (
            self.busy
            and not self.link.peer_closed
            and (len(self.first) < READ_AHEAD or self.server.one_at_a_time)
        ):
            count += 1
            if count > DRAIN_BATCH:
                self.server.loop.call_later(NEXT_TURN, self.read_ahead)
                return
            try:
                data = self.link.recv_now(CHUNK)
            except OSError:
                data = b""
            if data is None:
                return
            if not data:
                self.link.peer_closed = True
                self.on_peer_closed()
            elif len(self.first) >= READ_AHEAD:
                self.overrun = True
            else:
                self.first += data

    def too_slow(self) -> bool:
        """Whether a request's bytes come slower than the gate has patience for."""
        gate = self.server.gate
        if gate is None:
            return False
        passed = self.server.loop.now - self.begun - gate.settings.grace
        if self.received >= gate.settings.progress * passed:
            return False
        gate.on_protocol_error(self)
        return True

    def on_peer_closed(self) -> None:
        if self.busy and self.gone is not None:
            gone, self.gone = self.gone, None
            gone()

    def on_disconnect(self, gone: Callable[[], None]) -> None:
        """Whom to call when the client hangs up during this request: at once where it has already."""
        self.gone = gone
        if self.link.peer_closed:
            self.on_peer_closed()

    def serve(self) -> Coroutine:
        try:
            yield from self.serve_all()
            if self.leaving:
                yield from self.drain()
        except (OSError, WaitTimeoutError):
            pass
        finally:
            self.on_peer_closed()
            self.link.close()
            self.link.on_peer_closed = self.link.on_readable = self.parser.parser = (
                None  # rings: with link and parser
            )
            self.server.connections.discard(self)
            self.server.idle.pop(self, None)
            if self.server.gate is not None:
                self.server.gate.on_close(self.number)

    def serve_all(self) -> Coroutine:
        server, parser, link, gate = self.server, self.parser, self.link, self.server.gate
        if gate is not None and gate.expects_proxy(self) and not (yield from self.read_proxy()):
            return
        while True:
            while not parser.requests:
                if server.closing and self.free_at:
                    self.leave_unless_asked()
                if self.overrun:
                    self.leave()
                if self.leaving:
                    return
                data, self.first = self.first or (yield from link.recv(CHUNK)), b""
                server.idle.pop(self, None)
                if not data or self.leaving:
                    return
                begun = parser.started
                if gate is not None:
                    if not begun:
                        gate.on_request_bytes(self)
                        self.begun, self.received = server.loop.now, 0
                    self.received += len(data)
                    if not gate.reserve_bytes(self, len(data)) and not (
                        yield from self.wait_for_room(len(data))
                    ):
                        yield from self.refuse(
                            HttpError(429, "too many bytes are held; return in a moment")
                        )
                        return
                try:
                    parser.feed(data)
                except HttpError as error:
                    if gate is not None:
                        gate.on_protocol_error(self)
                    if (yield from self.serve_ready()):
                        yield from self.refuse(error)
                    return
                if parser.expects and parser.started:
                    parser.expects = False
                    yield from link.send(b"HTTP/1.1 100 Continue\r\n\r\n", server.limits.write)
                if parser.started and not begun:
                    self.set_deadline(server.limits.body_time)
                    self.watch()
            if not (yield from self.serve_ready()):
                return
            if parser.started:
                self.begun, self.received = server.loop.now, 0
                self.set_deadline(server.limits.body_time)
                self.watch()
                if gate is not None:
                    gate.release_bytes(self, parser.size)
            else:
                if gate is not None:
                    gate.on_idle(self)
                idle = server.limits.idle
                self.set_deadline(gate.idle_timeout(idle) if gate is not None else idle)
                server.note_idle(self)

    def wait_for_room(self, size: int) -> Generator[Park, Any, bool]:
        """Nothing more is read from this sender until there is room for what it sent; not for ever."""
        gate = self.server.gate
        assert gate is not None
        until = self.server.loop.now + gate.settings.grace
        while self.server.loop.now < until and not self.link.closed:
            yield from self.server.loop.sleep(ROOM_LOOK)
            if gate.reserve_bytes(self, size):
                return True
        return False

    def read_proxy(self) -> Generator[Park, Any, bool]:
        """The PROXY header that a trusted peer begins with; whether the connection goes on."""
        gate, data = self.server.gate, b""
        assert gate is not None
        found = None
        while found is None:
            chunk = yield from self.link.recv(CHUNK)
            data += chunk
            try:
                found = parse_proxy_header(data)
            except ProxyHeaderError as error:
                gate.on_protocol_error(self)
                yield from self.refuse(HttpError(400, str(error)))
                return False
            if not chunk:
                return False
        address, length = found
        self.first = data[length:]
        refusal = gate.on_proxy_header(self, address)
        if refusal is None:
            return True
        yield from self.send_last(encode_response(refusal, None, True))
        return False

    def serve_ready(self) -> Generator[Park, Any, bool]:
        """Answer all requests at hand, in order; whether the connection goes on."""
        # Who pipelines knows that each waits its turn: its time begins once the one before it is answered, also where
        # the bytes were there long before and are read only now.
        requests, arrived = self.parser.requests, max(self.link.last_readable, self.free_at)
        while requests:
            if self.link.disconnected():  # most of a backlog after a stall: nobody waits for it
                self.server.deserted += len(requests)
                return False
            request = requests.popleft()
            request.arrived = arrived
            self.busy, self.task.patient = True, False
            if self.link.can_read:
                self.read_ahead()
            no_room = self.no_room(arrived)
            response = no_room or (yield from self.server.handler(request, self))
            self.busy, self.task.patient, self.gone = False, True, None
            arrived = self.free_at = self.server.loop.now
            if response is None or self.link.closed:
                return False
            close = (
                not request.keep_alive
                or self.server.closing
                or self.server.leaving
                or no_room is not None
            )
            gate = self.server.gate
            yield from self.link.send(
                encode_response(response, request, close),
                self.server.limits.write,
                *((gate.settings.progress, gate.settings.grace) if gate is not None else ()),
            )
            if close:
                self.leave()
                return False
        return True

    def no_room(self, arrived: float) -> Response | None:
        """The refusal of what is not to be taken up any more: trying again, elsewhere, is harmless."""
        if self.unwelcome:
            return self.server.error(HttpError(503, "no room for a connection"))
        if arrived > self.server.closed_at + FRESH:
            return self.server.error(HttpError(503, "shutting down"))
        return None

    def refuse(self, error: HttpError) -> Coroutine:
        if self.link.closed:
            return
        yield from self.send_last(encode_response(self.server.error(error), None, True))

    def send_last(self, response: bytes) -> Coroutine:
        yield from self.link.send(response, self.server.limits.write)
        self.leave()


class Server:
    """Listens and keeps its connections. `error` turns a refused message into the front's own error body."""

    def __init__(
        self,
        loop: Loop,
        host: str,
        port: int,
        handler: Handler,
        limits: HttpLimits,
        error: Callable[[HttpError], Response],
    ) -> None:
        self.loop, self.handler, self.limits, self.error = loop, handler, limits, error
        self.connections: set[Connection] = set()
        self.closing = False
        self.closed_at = math.inf  # what comes later than `FRESH` after this is not taken up
        self.leaving = False  # each answer ends its connection; new ones are taken still
        self.one_at_a_time = (
            False  # whether clients ask one thing at a time, so that much behind it is no request
        )
        self.gate: Any = None  # a broker.admission_gate.AdmissionGate, if there is one
        self.silent = 0  # connections closed for silence
        self.most = math.inf  # connections, where no gate looks after them
        self.turned_away = 0  # of them, ended or not taken to stay under it
        self.most_idle = math.inf  # of them between two requests
        self.idle: dict[Connection, None] = {}  # the longest at rest first
        self.deserted = 0  # requests whose client was gone before their turn came
        self.listener: Listener = loop.listen(host, port, self.on_accept)

    @property
    def port(self) -> int:
        return int(self.listener.address[1])

    def on_accept(self, link: Link, peer: tuple[Any, ...]) -> None:
        if self.gate is not None:
            self.gate.on_accept(self, link, peer)
        else:
            full = len(self.connections) >= self.most and not self.evict()
            self.turned_away += full
            if full and len(self.connections) >= self.most * (1 + TURNED_SHARE):
                link.close()
            else:
                self.connections.add(Connection(self, link, peer, unwelcome=full))

    def note_idle(self, connection: Connection) -> None:
        """It is between two requests from now on; beyond the bound whoever is so for longest is ended."""
        self.idle[connection] = None
        while len(self.idle) > self.most_idle:
            longest = next(iter(self.idle))
            del self.idle[longest]
            longest.leave_unless_asked()

    def evict(self) -> bool:
        """End the connection that is missed least, whether there was one: the one that has been without a whole request
        for longest, be it between two, silent or in the midst of one. One that just came is about to ask, and goes
        last; one whose next bytes wait unread is none of them. Before all come those that were parted with."""
        idle = [
            each
            for each in self.connections
            if not each.link.closed and (each.leaving or not each.in_work)
        ]
        for each in sorted(
            idle, key=lambda each: (not each.leaving, max(each.begun, each.free_at))
        ):
            if each.leaving or not each.first and each.link.peek() is None:
                self.turned_away += 1
                each.link.close()
                self.connections.discard(each)
                return True
        return False

    def close(self) -> None:
        """Stop accepting; connections go as soon as no request of theirs is in work. What the kernel has accepted is
        taken over first: it would be reset unanswered."""
        self.listener.accept_rest()
        self.listener.close()
        self.closing, self.closed_at = True, self.loop.now
        for connection in list(self.connections):
            if connection.free_at:
                connection.leave_unless_asked()
            else:
                self.loop.call_later(FRESH, connection.leave_unless_asked)
