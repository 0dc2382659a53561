"""One stream socket on the loop: edge-triggered reads and writes that go on until the kernel would block."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

from stepknot.net.errors import WaitTimeoutError
from stepknot.net.network import FAILED, PEER_CLOSED, READ, WRITE
from stepknot.net.tasks import Park, Task, Timer

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

RESET_ON_CLOSE = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, no time


class Link:
    """One socket on the loop. One task may read and one may write at a time.

    Attributes:
        number: its descriptor.
        reader: the task that is parked until there is something to read, with its ticket.
        writer: the one that is parked until the kernel takes more.
        can_read: whether there may be something to read.
        can_write: whether the kernel may take more.
        peer_closed: whether the peer ended its side or the connection failed.
        on_peer_closed: called once when it does.
        on_readable: called where no task reads.
        unsent: bytes of the last write that the kernel has not taken.
        last_readable: when the poll last reported something to read, by the loop's clock.
        last_received: when bytes were last read, by the loop's clock.
        last_full_turn: the turn in which a read last returned as many bytes as it may: more may wait.
    """

    __slots__ = (
        "can_read",
        "can_write",
        "closed",
        "last_full_turn",
        "last_readable",
        "last_received",
        "loop",
        "number",
        "on_peer_closed",
        "on_readable",
        "peer_closed",
        "reader",
        "sock",
        "unsent",
        "writer",
    )

    def __init__(self, loop: Loop, sock: Any) -> None:
        self.loop = loop
        self.sock = sock
        self.number: int = sock.fileno()
        self.reader: tuple[Task, int] | None = None
        self.writer: tuple[Task, int] | None = None
        self.can_read = True
        self.can_write = False
        self.peer_closed = False
        self.closed = False
        self.on_peer_closed: Callable[[], None] | None = None
        self.on_readable: Callable[[], None] | None = None
        self.unsent = 0
        self.last_readable = loop.now
        self.last_received = loop.now
        self.last_full_turn = -1
        loop.links[self.number] = self
        loop.network.register(sock)

    def on_event(self, mask: int) -> None:
        """The poll reported these events."""
        if mask & (READ | FAILED | PEER_CLOSED):
            self.can_read = True
            self.last_readable = self.loop.now
            if self.reader is not None:
                (task, ticket), self.reader = self.reader, None
                task.resume(ticket)
            elif self.on_readable is not None:
                self.on_readable()
                if self.closed:
                    return
        if mask & (WRITE | FAILED):
            self.can_write = True
            if self.writer is not None:
                (task, ticket), self.writer = self.writer, None
                task.resume(ticket)
        if mask & (FAILED | PEER_CLOSED) and not self.peer_closed:
            self.peer_closed = True
            if self.on_peer_closed is not None:
                self.on_peer_closed()

    def park_reader(self, task: Task) -> None:
        """Resume the task when there is something to read."""
        self.reader = (task, task.ticket)

    def park_writer(self, task: Task) -> None:
        """Resume the task when the kernel takes more."""
        self.writer = (task, task.ticket)

    def wait_writable(self, timeout: float | None = None) -> Generator[Park, Any, None]:
        """Park until the kernel takes more. Raises WaitTimeoutError."""
        while not self.can_write:
            yield from self._parked(self.park_writer, timeout)

    def _parked(self, park: Park, timeout: float | None) -> Generator[Park, Any, None]:
        if timeout is None:
            yield park
            return

        timers: list[Timer] = []

        def park_until(task: Task) -> None:
            ticket = task.ticket
            timers.append(
                self.loop.call_later(timeout, lambda: task.resume(ticket, None, WaitTimeoutError()))
            )
            park(task)

        try:
            yield park_until
        finally:
            for timer in timers:
                timer.cancel()

    def recv_now(self, max_bytes: int) -> bytes | None:
        """Received bytes; b"" at the stream's end; None where it would block. Raises OSError."""
        if not self.can_read:
            return None
        try:
            data: bytes = self.sock.recv(max_bytes)
        except BlockingIOError:
            self.can_read = False
            return None
        self.last_received = self.loop.now
        if len(data) == max_bytes:
            self.last_full_turn = self.loop.turns
        elif data and not self.peer_closed:
            self.can_read = False  # the next edge says when there is more
        return data

    def has_unread(self) -> bool:
        """Whether bytes or the stream's end were received that nobody read, as far as the kernel knows now."""
        return not self.closed and (self.can_read or self.peek() is not None)

    def disconnected(self) -> bool:
        """Whether the peer disconnected, also where the poll did not report it yet."""
        return self.peer_closed or self.closed or self.peek() == b""

    def peek(self) -> bytes | None:
        """The next byte without consuming it; b"" at the stream's end or after a reset; None where there is none."""
        try:
            data: bytes = self.sock.recv(1, socket.MSG_PEEK)
            return data
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def recv(self, max_bytes: int, timeout: float | None = None) -> Generator[Park, Any, bytes]:
        """At least one byte, or b"" at the stream's end. Raises OSError, WaitTimeoutError.

        What is left behind a read of `max_bytes` is read in the next turn (invariant 9 of
        `stepknot.net.loop`).
        """
        if self.last_full_turn == self.loop.turns:
            yield from self.loop.wait_for_next_turn()
            if self.closed:
                return b""
        while (data := self.recv_now(max_bytes)) is None:
            yield from self._parked(self.park_reader, timeout)
            if self.closed:
                return b""
        return data

    def send_now(self, data: bytes | memoryview) -> int:
        """Write what the kernel takes now; returns how many bytes that were. Raises OSError."""
        try:
            sent: int = self.sock.send(data)
            return sent
        except BlockingIOError:
            self.can_write = False
            return 0

    def send(
        self, data: bytes, timeout: float | None = None, min_rate: float = 0.0, grace: float = 0.0
    ) -> Generator[Park, Any, None]:
        """Write all of it, as fast as the peer takes it.

        Args:
            data: what to write.
            timeout: seconds for each wait.
            min_rate: bytes a second that the peer must take on average, once `grace` seconds passed.
            grace: see `min_rate`.

        Raises:
            OSError: the connection failed or was closed.
            WaitTimeoutError: the peer takes it too slowly.
        """
        self.unsent = len(data)
        sent = self.send_now(data)
        self.unsent -= sent
        if not self.unsent:
            return
        view, started = memoryview(data), self.loop.now
        # With a minimum rate the waits are short: the rate is checked after each.
        wait = min(timeout or grace, grace) if min_rate else timeout
        while self.unsent:
            self.can_write = False
            wait_started = self.loop.now
            while not self.can_write:
                try:
                    yield from self._parked(self.park_writer, wait)
                except WaitTimeoutError:
                    is_over = timeout is not None and self.loop.now - wait_started >= timeout
                    if not min_rate or is_over:
                        raise
                    break
            if self.closed:
                raise ConnectionError("closed here")
            if len(data) - self.unsent < min_rate * (self.loop.now - started - grace):
                raise WaitTimeoutError
            if self.can_write:
                self.unsent -= self.send_now(view[len(data) - self.unsent :])

    def close(self, abort: bool = False) -> None:
        """Close at once and resume parked tasks; with `abort` the peer sees a reset."""
        if self.closed:
            return
        self.closed = True
        self.loop.links.pop(self.number, None)
        self.loop.network.forget(self.sock)
        if abort:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.sock.close()
        for parked in (self.reader, self.writer):
            if parked is not None:
                parked[0].resume(parked[1])
        self.reader = self.writer = None
