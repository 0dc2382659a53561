"""How connections end: what crosses an end is forced, the loop is turned by hand."""

from __future__ import annotations

import contextlib
import random
import socket
import struct
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from types import FrameType

import pytest

from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import HttpLimits, Request, Response
from stepknot.net.loop import Loop
from stepknot.net.read_ahead import READ_AHEAD_BYTES
from stepknot.net.rejections import LATE_REQUEST_GRACE
from stepknot.net.server import Server
from stepknot.net.step_bound import ANSWER_BATCH
from stepknot.net.tasks import Coroutine, Future
from tests.net.test_loop import EndlessSocket

WAIT = 10.0
ASK = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 2\r\n\r\nhi"


class Front:
    """A server whose handler answers once it is told to, and says who disconnected."""

    def __init__(self) -> None:
        self.loop = Loop(rng=random.Random(1))
        limits = HttpLimits(body=64 * 1024, first_byte=0.6, body_time=0.6, idle=30.0, write=5.0)
        self.server = Server(self.loop, "127.0.0.1", 0, self.handle, limits, self.error)
        self.taken: list[Request] = []
        self.gone = 0
        self.hold: Future | None = None
        self.body = b"answer"

    def handle(self, request: Request, connection: Connection) -> Coroutine:
        self.taken.append(request)
        hold = self.hold
        if hold is not None:
            connection.on_disconnect(lambda: (self.disconnected(), hold.set(False)) and None)
            if (yield from hold.wait()) is False:
                return None
        return Response(200, self.body)

    def disconnected(self) -> None:
        self.gone += 1

    def error(self, error: HttpError) -> Response:
        return Response(error.status, error.reason.encode())

    def until(self, fits: Callable[[], object]) -> None:
        end = time.monotonic() + WAIT
        while not fits():
            assert time.monotonic() < end, "it did not happen in time"
            self.loop.call_later(0.005, lambda: None)
            self.loop.turn()

    def client(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.server.port), timeout=WAIT)
        sock.sendall(data)
        return sock

    def answer_to(self, sock: socket.socket) -> bytes:
        """All that comes until the orderly end; a reset raises."""
        sock.setblocking(False)
        found = bytearray()

        def ended() -> bool:
            try:
                data = sock.recv(1 << 16)
            except BlockingIOError:
                return False
            found.extend(data)
            return not data

        self.until(ended)
        return bytes(found)


@pytest.fixture
def front() -> Iterator[Front]:
    found = Front()
    yield found
    for each in list(found.server.connections):
        each.link.close()
    found.server.listener.close()
    found.loop.turn()


def test_last_answer_arrives_though_bytes_are_unread_behind_its_request(front: Front) -> None:
    """A close over unread bytes resets the connection and takes along what the system still held back."""
    front.hold, front.body = Future(), b"x" * 3_000_000  # more than the sockets hold
    sock = front.client(ASK.replace(b"host", b"connection: close\r\nhost"))
    front.until(lambda: front.taken)
    sock.sendall(ASK * 5000)  # far beyond what is read ahead
    front.hold.set(True)
    front.until(lambda: not any(each.is_busy for each in front.server.connections))
    got = front.answer_to(sock)
    assert got.count(b"HTTP/1.1") == 1 and got.endswith(b"x" * 1000) and len(got) > 3_000_000
    assert len(front.taken) == 1  # what was read after the end is no request
    sock.close()


def test_request_that_crosses_the_half_close_is_not_accepted(front: Front) -> None:
    sock = front.client(ASK)
    front.until(lambda: front.taken and not any(each.is_busy for each in front.server.connections))
    (connection,) = front.server.connections
    connection.half_close()
    sock.sendall(ASK)  # before it can see the end
    assert front.answer_to(sock).count(b"HTTP/1.1") == 1 and len(front.taken) == 1
    sock.close()
    front.until(lambda: not front.server.connections)


def test_client_that_stays_after_the_half_close_is_closed_after_the_linger_timeout(
    front: Front,
) -> None:
    sock = front.client(ASK)
    front.until(lambda: front.taken and not any(each.is_busy for each in front.server.connections))
    begun = time.monotonic()
    next(iter(front.server.connections)).half_close()
    front.until(lambda: not front.server.connections)
    assert 1.5 < time.monotonic() - begun < 4.0
    sock.close()


def test_incomplete_request_gets_408_though_its_client_goes_on_sending(front: Front) -> None:
    sock = front.client(b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 60000\r\n\r\nhi")
    front.until(lambda: any(each.is_half_closed for each in front.server.connections))
    sock.sendall(b"x" * 10_000)
    assert b" 408 " in front.answer_to(sock) and not front.taken
    sock.close()


def test_client_that_resets_between_the_poll_and_its_timeout_does_not_end_the_server(
    front: Front,
) -> None:
    """The write of the 408 raised out of a timer, which ended the process with all requests in flight."""
    sock = front.client(ASK[:20])
    front.until(lambda: any(each.parser.started for each in front.server.connections))
    (connection,) = front.server.connections
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    poll = front.loop.network.poll

    def poll_then_reset(timeout: float) -> list[tuple[int, int]]:
        ready = poll(timeout)
        if front.loop.clock() >= connection.deadline:  # its timer fires in this turn
            sock.close()
        return ready

    front.loop.network.poll = poll_then_reset  # type: ignore[method-assign]
    front.until(lambda: connection.link.closed)
    assert front.server.timed_out_count == 1
    front.loop.network.poll = poll  # type: ignore[method-assign]
    later = front.client(ASK.replace(b"host", b"connection: close\r\nhost"))
    assert b" 200 " in front.answer_to(later)
    later.close()


def test_received_bytes_that_wait_to_be_read_do_not_time_out(front: Front) -> None:
    """After a stall, time-outs of requests fired before bytes that were there already had been read."""
    sock = front.client(ASK[:20])
    front.until(lambda: any(each.parser.started for each in front.server.connections))
    (connection,) = front.server.connections
    sock.sendall(ASK[20:])
    time.sleep(0.7)  # the loop stands still past the request's time
    ready = front.loop.network.poll(0.0)
    for number, mask in ready:
        front.loop.links[number].on_event(mask)  # the task is due, and has not had its turn
    front.loop.now = front.loop.clock()
    connection.is_timer_set = False
    connection.check_deadline()
    front.until(lambda: front.taken)
    assert not connection.is_half_closed
    sock.close()


def test_request_of_a_client_that_never_stops_sending_gets_408_in_time(front: Front) -> None:
    """Its time-out waited for unread bytes, and there were always some."""
    sock = front.client(b"POST /x HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n")
    front.until(lambda: any(each.parser.started for each in front.server.connections))
    (connection,) = front.server.connections
    chunk = b"1;" + b"e" * 15_000 + b"\r\nx\r\n"  # a body of one byte for each 15 KB
    connection.link.sock = EndlessSocket(front.loop, connection.link.sock, b"", chunk)
    sock.sendall(chunk)  # the poll reports that there is something
    begun = time.monotonic()
    front.until(lambda: connection.is_half_closed)
    assert front.server.timed_out_count == 1 and not front.taken
    assert time.monotonic() - begun < 2 * front.server.limits.body_time
    assert sock.recv(1024).startswith(b"HTTP/1.1 408 ")
    connection.link.close()
    sock.close()


def test_pipelined_requests_are_answered_in_batches(front: Front) -> None:
    """One step answered all that it had read, and everything else waited for it."""
    count = 10 * ANSWER_BATCH
    sock = front.client(ASK * count)
    taken = [0]

    def take_turn() -> bool:
        assert len(front.taken) - taken[0] <= ANSWER_BATCH
        taken[0] = len(front.taken)
        return taken[0] == count

    front.until(take_turn)
    sock.close()


def test_pipelined_requests_that_wait_for_their_turn_are_answered_though_the_listener_closes(
    front: Front,
) -> None:
    """Between two batches no request is in progress, and the connection must not count as idle."""
    count = 3 * ANSWER_BATCH
    sock = front.client(ASK * count)
    front.until(lambda: front.taken)
    assert len(front.taken) < count
    (connection,) = front.server.connections
    connection.half_close_if_idle()
    assert not front.server.evict() and not connection.is_half_closed
    front.until(lambda: len(front.taken) == count)
    sock.close()


def test_half_close_drops_requests_that_wait_for_their_turn(front: Front) -> None:
    """A check of how fast the next request arrives ended the connection, and its task took a request that was gone."""
    clock, begun = front.loop.clock, front.loop.clock()
    front.loop.clock = lambda: (
        begun
    )  # so that a batch is answered in a step, however slow the machine is
    sock = front.client(ASK * 3 * ANSWER_BATCH)
    front.until(lambda: front.taken)
    (connection,) = front.server.connections
    assert connection.parser.requests
    connection.half_close()
    front.loop.clock = clock
    count = len(front.taken)
    front.until(
        lambda: connection.link.reader
    )  # it reads and drops; an error of the task is raised here
    assert front.answer_to(sock).count(b"HTTP/1.1 200") == count == len(front.taken)
    sock.close()


def test_disconnect_behind_more_bytes_than_are_read_ahead_is_noticed(front: Front) -> None:
    """Its end stood behind bytes that nobody read while its request was in work."""
    front.server.one_at_a_time, front.hold = True, Future()
    sock = front.client(ASK)
    front.until(lambda: front.taken)
    sock.setblocking(False)
    left = [8_000_000]

    def send() -> bool:  # beyond all buffers, and then the end
        with contextlib.suppress(BlockingIOError):
            left[0] -= sock.send(bytes(min(left[0], 1 << 16)))
        return not left[0]

    front.until(send)
    sock.close()
    front.until(lambda: front.gone)
    assert len(front.taken) == 1
    front.until(lambda: not front.server.connections)


def test_read_ahead_is_bounded_and_served_in_order(front: Front) -> None:
    front.hold = Future()
    sock = front.client(ASK)
    front.until(lambda: front.taken)
    count = 20 * READ_AHEAD_BYTES // len(ASK)
    sock.sendall(ASK * count)
    (connection,) = front.server.connections
    front.until(lambda: len(connection.unparsed) >= READ_AHEAD_BYTES)
    assert len(connection.unparsed) <= READ_AHEAD_BYTES + (1 << 16)
    hold, front.hold = front.hold, None
    hold.set(True)
    front.until(lambda: len(front.taken) == count + 1)
    sock.close()


def test_reset_during_a_request_is_a_disconnect(front: Front) -> None:
    front.hold = Future()
    sock = front.client(ASK)
    front.until(lambda: front.taken)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    front.until(lambda: front.gone == 1)


def test_connections_that_the_kernel_accepted_before_the_close_are_answered(front: Front) -> None:
    """Closing a listener resets the connections that nobody had taken from it."""
    asked = [front.client(ASK) for _ in range(20)]
    silent = front.client()
    late = front.client()
    front.server.close()  # in this very turn: none was taken yet
    late.sendall(ASK)  # its connection was there, its request was not
    for sock in (*asked, late):
        assert b" 200 " in front.answer_to(sock)
    begun = time.monotonic()
    assert front.answer_to(silent) == b"" and time.monotonic() - begun < 10 * LATE_REQUEST_GRACE
    with pytest.raises(OSError):
        front.client()
    for sock in (*asked, silent, late):
        sock.close()


def test_request_that_is_complete_only_after_the_close_is_rejected(
    front: Front,
) -> None:
    """It was taken, and its work went on past the time at which a broker is killed."""
    sock = front.client(ASK[:-1])
    front.until(lambda: any(each.parser.started for each in front.server.connections))
    front.server.close()
    front.until(lambda: front.loop.now > front.server.closed_at + LATE_REQUEST_GRACE)
    sock.sendall(ASK[-1:])
    assert b" 503 " in front.answer_to(sock) and not front.taken
    sock.close()


def test_connection_over_the_limit_gets_503(front: Front) -> None:
    """A connection closed without an answer leaves its request in the dark."""
    front.server.max_connections, front.hold = 16, Future()
    busy = [front.client(ASK) for _ in range(16)]
    front.until(lambda: len(front.taken) == 16)
    turned = front.client(ASK)
    assert b" 503 " in front.answer_to(turned) and len(front.taken) == 16
    waiting = front.client()
    front.until(lambda: len(front.server.connections) == 17)
    beyond = front.client()
    assert front.answer_to(beyond) == b""  # one too many even to be told
    assert len(front.server.connections) <= 17 and front.server.rejected_count == 3
    front.hold.set(True)
    for sock in (*busy, turned, waiting, beyond):
        sock.close()


@pytest.mark.parametrize(
    "how", ["the listener closes", "its time is over", "its descriptor is wanted"]
)
def test_answer_being_written_is_completed_whatever_ends_meanwhile(front: Front, how: str) -> None:
    """Its request was no longer in work, so that the connection was taken for an idle one and cut off."""
    front.body = b"x" * 12_000_000  # more than the sockets hold
    sock = front.client(ASK)
    front.until(lambda: any(each.link.unsent for each in front.server.connections))
    (connection,) = front.server.connections
    if how == "the listener closes":
        front.server.close()
    elif how == "its time is over":
        connection.deadline, connection.is_timer_set = 0.0, False
        connection.check_deadline()
    else:
        assert not front.server.evict()
    assert not connection.is_half_closed and not connection.link.closed
    sock.settimeout(WAIT)
    got, done = bytearray(), len(front.body)
    sock.setblocking(False)

    def read() -> bool:
        with contextlib.suppress(BlockingIOError):
            got.extend(sock.recv(1 << 20))
        return len(got) > done

    front.until(read)
    assert got.endswith(front.body[-1000:])
    sock.close()


def test_new_connection_while_draining_is_served(front: Front) -> None:
    front.server.is_draining = True
    sock = front.client()
    front.until(
        lambda: any(each.is_half_closed or each.link.reader for each in front.server.connections)
    )
    sock.sendall(ASK)
    assert b" 200 " in front.answer_to(sock)
    sock.close()


def fill(sock: socket.socket, data: bytes) -> int:
    """Send the data again and again until no buffer takes more; returns how many bytes were sent."""
    sock.setblocking(False)
    sent = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            begin = sent % len(data)
            sent += sock.send(data[begin:] + data[:begin])
    return sent


@pytest.mark.parametrize("size", [2, 60_000])
def test_request_of_a_client_that_left_is_not_begun_though_its_end_is_behind_unread_bytes(
    front: Front, size: int
) -> None:
    """The client had closed its connection, and its requests were forwarded until the end had been read."""
    front.server.one_at_a_time = True
    sock = front.client()
    front.until(lambda: front.server.connections)
    ask = b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: %d\r\n\r\n" % size + b"x" * size
    sent = fill(sock, ask)
    assert sent > 200_000  # beyond what the kernel passes on: its end is not reported yet
    sock.close()
    front.until(lambda: not front.server.connections)
    assert not front.taken


def test_too_many_bytes_behind_a_request_reject_it_before_it_is_begun(front: Front) -> None:
    """A client that goes on writing may have left: its end would be behind all of it."""
    front.server.one_at_a_time = True
    sock = front.client()
    front.until(lambda: front.server.connections)
    fill(sock, ASK)
    reply = front.answer_to(sock)
    assert reply.count(b"HTTP/1.1") == 1 and reply.startswith(b"HTTP/1.1 429 ")
    assert not front.taken
    sock.close()


def test_requests_that_are_answered_slowly_are_bounded_in_time_in_one_step(front: Front) -> None:
    """A step was bounded by a count of requests, whatever each of them cost."""
    now = [front.loop.clock()]
    front.loop.clock = lambda: now[0]
    answer = front.handle

    def handle(request: Request, connection: Connection) -> Coroutine:
        now[0] += 0.01  # seconds of processor time
        return (yield from answer(request, connection))

    front.server.handler = handle
    sock = front.client(ASK * 12)
    counts: list[int] = []

    def take_turn() -> bool:
        counts.append(len(front.taken) - sum(counts))
        return len(front.taken) == 12

    front.until(take_turn)
    assert max(counts) == 1
    sock.close()


def test_memory_of_a_rejected_request_is_free_while_its_connection_lingers(front: Front) -> None:
    """After its 408, a connection kept what had arrived of the request until its client closed it."""
    tracemalloc.start()
    body = b"x" * 60_000
    socks = [
        front.client(b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 60001\r\n\r\n" + body)
        for _ in range(40)
    ]
    front.until(lambda: tracemalloc.get_traced_memory()[0] > 40 * len(body))
    connections = front.server.connections
    front.until(lambda: len(connections) == 40 and all(each.is_half_closed for each in connections))
    assert tracemalloc.get_traced_memory()[0] < 10 * len(body)
    tracemalloc.stop()
    for sock in socks:
        sock.close()


def test_memory_of_pipelined_requests_is_that_of_their_bytes(front: Front) -> None:
    """All requests that had been read were parsed at once: 64 KiB of small ones took over 2 MB."""
    front.hold = Future()
    sock = front.client(ASK)
    front.until(lambda: front.taken)
    (connection,) = front.server.connections
    tracemalloc.start()
    sock.sendall(b"GET /x HTTP/1.1\r\n\r\n" * 3000)
    front.until(lambda: connection.unparsed)
    hold, front.hold = front.hold, Future()
    hold.set(True)
    front.until(lambda: len(front.taken) == 2)
    assert tracemalloc.get_traced_memory()[0] < 200_000
    tracemalloc.stop()
    sock.close()


def test_accepting_over_the_limit_does_not_look_at_all_connections_each_time(front: Front) -> None:
    """A wave of connections over the bound held up the loop: each of them sorted all others."""
    front.server.max_connections = 200
    socks = [front.client() for _ in range(200)]
    front.until(lambda: len(front.server.connections) == 200)
    calls = [0]

    def count_call(frame: FrameType, event: str, argument: object) -> None:
        calls[0] += event == "call"

    more = [front.client() for _ in range(100)]
    sys.setprofile(count_call)
    front.until(lambda: front.server.rejected_count == 100)
    sys.setprofile(None)
    assert calls[0] < 100 * 100  # calls for each of the 100 connections
    for sock in socks + more:
        sock.close()


@pytest.mark.parametrize(
    "data",
    [
        ASK.replace(b"content-length: 2", b"transfer-encoding: chunked")[:-2]
        + b"1\r\nx\r\n" * 60_000,
        b"GET /x HTTP/1.1\r\n\r\n" * 3000,
    ],
    ids=["a large body in tiny chunks", "thousands of small requests"],
)
def test_small_request_does_not_wait_for_the_work_of_many_large_ones(
    front: Front, data: bytes
) -> None:
    """Each turn took one step of new work: a small request waited for a step of every other connection."""
    socks = [front.client() for _ in range(100)]
    front.until(lambda: len(front.server.connections) == 100)
    for sock in socks:
        sock.setblocking(False)
        sock.send(data)
    for _ in range(10):
        front.loop.turn()
    usual = front.client(ASK.replace(b"/x", b"/usual"))
    begun = front.loop.turns
    front.until(lambda: any(each.path == "/usual" for each in front.taken))
    assert front.loop.turns - begun < 10
    for sock in [*socks, usual]:
        sock.close()
