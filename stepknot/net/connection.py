"""One client's connection of an HTTP/1.1 server: reads ahead within bounds, answers in order.

Invariants, numbered on from those of `stepknot.net.loop`:

5. A connection ends in one of two ways. `Connection.half_close` lets what was written arrive; what is
   received after it is read and dropped for a while, since closing a socket with unread bytes would
   reset the connection and lose the last answer. `Link.close` is for peers that disconnected, and where
   the descriptor is needed now.
6. What is received after a half-close makes no request.
7. Before a request begins and while it is in progress, bytes behind it are read too, within a bound: the
   client's end may follow them. Where clients send one request at a time, a request with more bytes behind
   it than the bound is rejected before it begins.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.gate import (
    CAPACITY_INTERVAL,
    READ_BYTES,
    read_proxy_header,
    schedule_progress_check,
)
from stepknot.net.http import Request, Response, ServerParser, encode_response
from stepknot.net.link import Link
from stepknot.net.read_ahead import read_ahead, read_to_end
from stepknot.net.rejections import make_rejection, reject_slow_request
from stepknot.net.request_reader import read_request
from stepknot.net.step_bound import StepBound
from stepknot.net.tasks import Coroutine, Park, Timer

if TYPE_CHECKING:
    from stepknot.net.server import Server

LINGER_TIMEOUT = 2.0  # seconds for the peer to read the last answer and to end its side
Handler = Callable[[Request, "Connection"], Generator[Park, Any, Response | None]]


class Connection:
    """One client.

    A single lazy timer watches for time-outs: most waits need none of their own.

    Attributes:
        number: by which the gate knows the connection.
        unparsed: bytes that were read and not parsed.
        admitted: how many of them the gate has reserved capacity for.
        step: bounds what is done in a row.
        request_memory: bytes that the request in progress holds, as an estimate.
        is_over_limit: there is no capacity for it: its first request is rejected.
        is_busy: a request is in progress.
        is_half_closed: nothing that is received counts any more.
        has_overrun: more than is read ahead came behind a request; the connection ends after it.
        disconnect_callback: called once when the client disconnects during a request.
        deadline: when the client must have sent what it is expected to send, by the loop's clock.
        is_timer_set: whether the timer for the deadline is scheduled.
        deadline_timer, linger_timer: cancelled when the connection ends.
        is_read_ahead_scheduled: whether what comes behind a request is read on in the next turn.
        is_progress_scheduled: whether a check of how fast the request arrives is scheduled.
        request_started: when the request that is arriving began, or the connection was accepted.
        request_bytes: received of that request.
        last_answered: when the last answer was made, 0 where there was none.
    """

    __slots__ = (
        "admitted",
        "deadline",
        "deadline_timer",
        "disconnect_callback",
        "has_overrun",
        "is_busy",
        "is_half_closed",
        "is_over_limit",
        "is_progress_scheduled",
        "is_read_ahead_scheduled",
        "is_timer_set",
        "last_answered",
        "linger_timer",
        "link",
        "number",
        "parser",
        "peer",
        "request_bytes",
        "request_memory",
        "request_started",
        "server",
        "step",
        "task",
        "unparsed",
    )

    def __init__(
        self,
        server: Server,
        link: Link,
        peer: tuple[Any, ...],
        number: int = 0,
        unparsed: bytes = b"",
        is_over_limit: bool = False,
    ) -> None:
        self.server = server
        self.link = link
        self.peer = peer
        self.number = number
        self.unparsed = unparsed
        self.admitted = 0
        self.step = StepBound(server.loop)
        self.is_over_limit = is_over_limit
        self.is_busy = False
        self.is_half_closed = False
        self.has_overrun = False
        self.request_started = server.loop.now
        self.request_bytes = 0
        self.request_memory = 0
        self.last_answered = 0.0
        self.parser = ServerParser(server.limits)
        self.disconnect_callback: Callable[[], None] | None = None
        self.is_timer_set = False
        self.deadline_timer: Timer | None = None
        self.linger_timer: Timer | None = None
        self.is_progress_scheduled = False
        self.is_read_ahead_scheduled = False
        link.on_peer_closed = self.on_peer_closed
        link.on_readable = lambda: read_ahead(self)
        self.deadline = 0.0
        self.set_deadline(server.limits.first_byte)
        self.task = server.loop.spawn(self._serve(), "connection", patient=True)

    @property
    def in_progress(self) -> bool:
        """Whether a request is, waits for its turn, or its answer is being written.

        Only its peer may end the connection then.
        """
        return self.is_busy or self.link.unsent > 0 or bool(self.parser.requests)

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Call back when the client disconnects during this request, at once where it already has."""
        self.disconnect_callback = callback
        if self.link.peer_closed:
            self.on_peer_closed()

    # --- time-outs

    def set_deadline(self, seconds: float) -> None:
        """Expect the next step of the client within this time."""
        self.deadline = self.server.loop.now + seconds
        if not self.is_timer_set:
            self._check_deadline_at(self.deadline)

    def _check_deadline_at(self, at: float) -> None:
        self.is_timer_set = True
        self.deadline_timer = self.server.loop.call_at(at, self.check_deadline)

    def check_deadline(self) -> None:
        """End the connection where its deadline passed; called by its timer."""
        self.is_timer_set = False
        if self.link.closed or self.is_half_closed:
            return
        left = self.deadline - self.server.loop.now
        if self.in_progress:  # bounded by the query's own time
            left = max(left, self.server.limits.idle)
        elif self.parser.started and self._has_unread_bytes():
            left = max(left, CAPACITY_INTERVAL)
        if left > 0:
            self._check_deadline_at(self.server.loop.now + left)
        elif self.parser.started:
            reject_slow_request(self)
        elif self.link.peek():  # received just now, and not read yet
            self.set_deadline(LINGER_TIMEOUT)
        else:
            self.server.timed_out_count += 1
            self.server.end_counts["idle"] += 1
            self.half_close()

    def _has_unread_bytes(self) -> bool:
        """Whether bytes that may have been received before the deadline wait to be read, as after a stall.

        A client that never stops sending has no such bytes once it was read from after its deadline.
        """
        return self.link.reader is None and self.link.last_received < self.deadline

    # --- the end

    def half_close(self) -> None:
        """End a connection without a request in progress; what was written still arrives (invariant 5)."""
        if self.is_half_closed or self.link.closed:
            return
        self.is_half_closed = True
        self._drop_request()
        self.server.idle.pop(self, None)
        try:
            self.link.sock.shutdown(socket.SHUT_WR)
        except OSError:  # the peer disconnected
            self.link.close()
            return
        self.linger_timer = self.server.loop.call_later(LINGER_TIMEOUT, self.link.close)

    def _drop_request(self) -> None:
        """Free what was received: it makes no request any more."""
        self.parser.clear()
        self.unparsed, self.admitted, self.request_memory = b"", 0, 0
        self.fits_memory()

    def fits_memory(self) -> bool:
        """Count what the connection holds; returns whether it may hold that."""
        held = self.request_memory + len(self.unparsed) + self.parser.memory
        return self.server.memory_budget.resize(self, held)

    def half_close_if_idle(self) -> None:
        """End the connection unless a request is in progress, is arriving or waits unread."""
        if (
            not self.in_progress
            and not self.parser.started
            and not self.unparsed
            and self.link.peek() is None
        ):
            self.half_close()

    def _drop_received(self) -> Coroutine:
        """Read and drop until the peer ends its side, or the time after the half-close is over."""
        while not self.link.closed and (yield from self.link.recv(READ_BYTES)):
            pass

    def on_peer_closed(self) -> None:
        """The client disconnected: end the request in progress."""
        if self.is_busy and self.disconnect_callback is not None:
            callback, self.disconnect_callback = self.disconnect_callback, None
            callback()

    # --- reading

    def _serve(self) -> Coroutine:
        try:
            yield from self._serve_requests()
            if self.is_half_closed:
                yield from self._drop_received()
        except (OSError, WaitTimeoutError):
            pass  # the peer disconnected, or is too slow
        finally:
            self._on_end()

    def _on_end(self) -> None:
        self.on_peer_closed()
        self.link.close()
        self._drop_request()
        for timer in (self.deadline_timer, self.linger_timer):
            if timer is not None:
                timer.cancel()
        # These are reference cycles, with the link.
        self.link.on_peer_closed = None
        self.link.on_readable = None
        self.server.connections.discard(self)
        self.server.idle.pop(self, None)
        if self.server.gate is not None:
            self.server.gate.on_close(self.number)

    def _serve_requests(self) -> Coroutine:
        """Read and answer until the connection ends."""
        parser, gate = self.parser, self.server.gate
        if (
            gate is not None
            and gate.expects_proxy(self)
            and not (yield from read_proxy_header(self))
        ):
            return
        while True:
            while not parser.requests:
                if not (yield from read_request(self)):
                    return
            if not (yield from self._answer_requests()):
                return
            if parser.started:
                self._start_request()
            elif self.unparsed:
                self.set_deadline(self.server.limits.body_time)
            else:
                self._become_idle()
                continue
            if gate is not None:
                gate.release_bytes(self, self.admitted + (parser.size if parser.started else 0))

    def _start_request(self) -> None:
        """A request began to arrive behind one that was answered."""
        self.request_started = self.server.loop.now
        self.request_bytes = 0
        self.set_deadline(self.server.limits.body_time)
        schedule_progress_check(self)

    def _become_idle(self) -> None:
        gate, idle_timeout = self.server.gate, self.server.limits.idle
        self.task.is_bulk = False
        if gate is not None:
            gate.on_idle(self)
            idle_timeout = gate.idle_timeout(idle_timeout)
        self.set_deadline(idle_timeout)
        self.server.note_idle(self)

    def wait_for_turn(self) -> Coroutine:
        """Wait for the next turn, behind small requests of others, where the step was long enough."""
        self.task.is_bulk |= self.step.is_reached()
        yield from self.step.wait()

    # --- answering

    def _answer_requests(self) -> Generator[Park, Any, bool]:
        """Answer all parsed requests in order; returns whether the connection goes on."""
        # The time of a pipelined request begins once the one before it is answered, also where its bytes
        # were received long before and are read only now.
        requests, arrived = self.parser.requests, max(self.link.last_readable, self.last_answered)
        while requests:
            if self.step.request_count:  # one at least is answered in a step
                yield from self.wait_for_turn()
            self.step.request_count += 1
            if not (yield from read_to_end(self)):  # most of a backlog after a stall
                self.server.abandoned_count += len(requests)
                self.server.end_counts["disconnected"] += 1
                return False
            if self.is_half_closed:  # while it waited
                return False
            request = requests.pop(0)
            request.arrived = arrived
            self._begin_progress(request)
            rejection = make_rejection(self, arrived)
            response = rejection or (yield from self.server.handler(request, self))
            self._end_progress()
            arrived = self.last_answered = self.server.loop.now
            if response is None or self.link.closed:
                return False
            is_last = rejection is not None or not request.keep_alive or self.server.is_ending
            data = encode_response(response, request, is_last)
            gate = self.server.gate
            min_rate = (gate.settings.progress, gate.settings.grace) if gate is not None else ()
            yield from self.link.send(data, self.server.limits.write, *min_rate)
            if is_last:
                self.half_close()
                return False
        return True

    def _begin_progress(self, request: Request) -> None:
        self.is_busy = True
        self.request_memory = request.memory
        self.task.patient = False
        if self.link.can_read:
            read_ahead(self)

    def _end_progress(self) -> None:
        self.is_busy = False
        self.task.patient = True
        self.disconnect_callback = None
        self.request_memory = 0
        self.fits_memory()

    def reject_malformed(self, error: HttpError) -> Coroutine:
        """Answer the requests before the malformed one, then reject it."""
        if self.server.gate is not None:
            self.server.gate.on_protocol_error(self)
        if (yield from self._answer_requests()):
            yield from self.reject(error)

    def reject(self, error: HttpError) -> Coroutine:
        """Answer with an error, and end the connection."""
        if not self.link.closed:
            yield from self.send_last(encode_response(self.server.on_error(error), None, True))

    def send_last(self, data: bytes) -> Coroutine:
        """Send the last answer, and end the connection."""
        yield from self.link.send(data, self.server.limits.write)
        self.half_close()
