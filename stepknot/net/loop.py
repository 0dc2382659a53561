"""One loop over `select.epoll`; coroutines are generators.

A coroutine yields a `Park`: a function that is handed the coroutine's `Task` and arranges for `Task.resume`.
Nested coroutines are called by `yield from`. The clock, the source of chance and the network come from
outside (`Loop(clock, rng, network)`), so the same code runs on a virtual clock with virtual sockets.

Invariants:
- Descriptors are registered once, edge-triggered, for both directions. Whoever reads or writes goes on until
  the kernel says that it would block, and parks only then: no edge is lost.
- A task is resumed at most once a park; a resume that comes late is dropped by its ticket.
- Work of a turn ends with the turn hooks: what was heard in a turn is decided on once.
- What was begun goes before what is new: a task that waits for new work (`Task.patient`) gets its turn after all
  others, and a bounded one. After a stall, answers are not kept waiting by a backlog of requests.
"""

from __future__ import annotations

import errno
import heapq
import os
import random
import select
import signal
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any

Park = Callable[["Task"], None]
Coroutine = Generator[Park, Any, Any]

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
GONE = select.EPOLLHUP | select.EPOLLERR
BOTH = READ | WRITE | select.EPOLLRDHUP | select.EPOLLET
MOST_EVENTS = 1024  # taken from one poll: the rest stays for the next turn
ACCEPT_PAUSE = 0.05  # seconds for which a listener rests when descriptors or buffers run out
SPARE_BATCH = 16  # connections told in a row, by the spare descriptor, that there is no room
DATAGRAM_BATCH = 64  # datagrams read in a row before others have their turn
MOST_DATAGRAM = 2048  # bytes read of one: what is longer is cut, and too long for any protocol here
NEXT_TURN = 1e-6  # seconds: a timer that is due now would be fired in the same turn
ACCEPT_BATCH = 64  # connections accepted in a row before others have their turn
OUT_OF = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
SLICE = 0.025  # seconds of a turn after which tasks that are due wait for the next one
NEW_SLICE = 0.005  # seconds of a turn for new work: what it makes to be decided on comes on top
SLOW_TURN = 0.1  # seconds: such a turn is told, with the processor time that it had
LAG_MEMORY = 5.0  # seconds in which half of the longest turn lately is forgotten
LAG_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)


class Expired(Exception):
    """A wait that took longer than it was given."""


class Network:
    """Where sockets come from: the real one. A virtual one has the same methods."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.waker = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.waker, READ)

    def wake(self) -> None:
        """End a poll now, from a signal's handler."""
        os.eventfd_write(self.waker, 1)

    def listen(self, host: str, port: int, backlog: int = 1024) -> socket.socket:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(backlog)
        return sock

    def datagrams(self, host: str, port: int) -> socket.socket:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        return sock

    def connect(self, host: str, port: int, source: str = "") -> socket.socket:
        """A socket that is connecting; it becomes writable when it is connected or has failed."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, "connect")
        return sock

    def register(self, sock: socket.socket) -> None:
        self.epoll.register(sock.fileno(), BOTH)

    def forget(self, sock: socket.socket) -> None:
        try:
            self.epoll.unregister(sock.fileno())
        except (OSError, ValueError):
            pass

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        try:
            ready = self.epoll.poll(timeout, MOST_EVENTS)
        except InterruptedError:
            return []
        if any(number == self.waker for number, _ in ready):
            os.eventfd_read(self.waker)
        return ready


class Timer:
    __slots__ = ("what",)

    def __init__(self, what: Callable[[], None]) -> None:
        self.what: Callable[[], None] | None = what

    def cancel(self) -> None:
        self.what = None


class Task:
    """One coroutine in flight. `result` and `error` are set once `done`."""

    __slots__ = (
        "loop",
        "steps",
        "name",
        "done",
        "result",
        "error",
        "ticket",
        "waiters",
        "patient",
        "__weakref__",
    )

    def __init__(self, loop: Loop, steps: Coroutine, name: str) -> None:
        self.loop, self.steps, self.name = loop, steps, name
        self.done, self.ticket, self.patient = False, 0, False
        self.result: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[], None]] = []

    def resume(self, ticket: int, value: Any = None, error: BaseException | None = None) -> None:
        """Go on at the next chance, if still parked under this ticket."""
        if not self.done and ticket == self.ticket:
            self.ticket += 1
            (self.loop.new if self.patient else self.loop.due).append(
                (self, self.ticket, value, error)
            )

    def step(self, value: Any, error: BaseException | None) -> None:
        try:
            park = self.steps.throw(error) if error else self.steps.send(value)
        except StopIteration as stop:
            self.finish(stop.value, None)
        except Exception as failure:  # noqa: BLE001 - one task's end must not be the loop's
            self.finish(None, failure)
        else:
            self.ticket += 1
            park(self)

    def finish(self, result: Any, error: BaseException | None) -> None:
        self.done, self.result, self.error = True, result, error
        self.loop.tasks.discard(self)
        if error is not None and not self.waiters:
            self.loop.on_error(self.name, error)
        for waiter in self.waiters:
            waiter()
        self.waiters = []

    def wait(self) -> Generator[Park, Any, Any]:
        """For another task: its result once it is done. Raises what it ended by."""

        def park(own: Task) -> None:
            ticket = own.ticket
            self.waiters.append(lambda: own.resume(ticket))

        if not self.done:
            yield park
        if self.error is not None:
            raise self.error
        return self.result

    def kill(self) -> None:
        """End it where it stands; its `finally` clauses run."""
        if not self.done:
            self.ticket += 1
            self.steps.close()
            self.finish(None, None)


class Signal:
    """What one task awaits and anything may set, once; a value goes with it."""

    __slots__ = ("task", "ticket", "set_", "value")

    def __init__(self) -> None:
        self.task: Task | None = None
        self.ticket, self.set_ = 0, False
        self.value: Any = None

    def set(self, value: Any = None) -> None:
        if not self.set_:
            self.set_, self.value = True, value
            if self.task is not None:
                self.task.resume(self.ticket, value)

    def park(self, task: Task) -> None:
        self.task, self.ticket = task, task.ticket

    def wait(self) -> Generator[Park, Any, Any]:
        if not self.set_:
            yield self.park
        return self.value


class Loop:
    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        network: Network | None = None,
        on_error: Callable[[str, BaseException], None] | None = None,
    ) -> None:
        self.clock = clock
        self.rng = rng or random.Random()
        self.network = network or Network()
        self.on_error = on_error or self.raise_error
        self.cpu: Callable[[], float] = time.thread_time
        self.on_slow_turn: Callable[[float, float], None] = lambda took, cpu: None
        self.now = clock()
        self.links: dict[int, Link] = {}
        self.timers: list[
            tuple[float, int, Timer]
        ] = []  # a heap; the number keeps the order of equal times
        self.timer_count = 0
        self.due: deque[tuple[Task, int, Any, BaseException | None]] = deque()
        self.new: deque[tuple[Task, int, Any, BaseException | None]] = (
            deque()
        )  # of tasks that are patient
        self.tasks: set[Task] = set()
        self.turn_hooks: list[Callable[[], None]] = []
        self.stopping = False
        self.again = False  # something was left for the next turn: it must not wait
        self.failure: BaseException | None = None
        self.lag_counts = [0] * (len(LAG_BUCKETS) + 1)
        self.lag_sum, self.lag_most, self.turns, self.busy = 0.0, 0.0, 0, 0.0
        self.lag_lately, self.lag_at = 0.0, self.now  # the longest turn, fading
        self.behind = 0.0  # for so long what is read now may have been there: a long turn, until its backlog is read

    def raise_error(self, name: str, error: BaseException) -> None:
        self.failure, self.stopping = error, True

    # --- tasks and timers

    def spawn(self, steps: Coroutine, name: str = "task", patient: bool = False) -> Task:
        task = Task(self, steps, name)
        task.patient = patient
        self.tasks.add(task)
        (self.new if patient else self.due).append((task, task.ticket, None, None))
        return task

    def call_at(self, at: float, what: Callable[[], None]) -> Timer:
        timer = Timer(what)
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, timer))
        return timer

    def call_later(self, delay: float, what: Callable[[], None]) -> Timer:
        return self.call_at(self.now + delay, what)

    def sleep(self, delay: float) -> Generator[Park, Any, None]:
        def park(task: Task) -> None:
            ticket = task.ticket
            self.call_later(delay, lambda: task.resume(ticket))

        yield park

    # --- the loop itself

    def run(self) -> None:
        """Turn until `stop`; an error of a task nobody awaits ends it loudly, unless `on_error` takes it."""
        while not self.stopping:
            self.turn()
        if self.failure is not None:
            raise self.failure

    def stop(self) -> None:
        self.stopping = True

    def on_signal(self, what: Callable[[], None], *numbers: int) -> None:
        """Call `what` in the next turn after one of these signals."""

        def handler(number: int, frame: object) -> None:
            self.call_at(0.0, what)
            self.network.wake()

        for number in numbers:
            signal.signal(number, handler)

    def turn(self) -> None:
        wait = 0.0 if self.due or self.new or self.again else self.until_next()
        self.again = False
        ready = self.network.poll(wait)
        self.now = begun = self.clock()
        cpu = self.cpu()
        for number, mask in ready:
            link = self.links.get(number)
            if link is not None:
                link.on_event(mask)
        self.run_due(self.due, begun + SLICE)
        if self.new:
            self.run_due(self.new, self.clock() + NEW_SLICE)
        self.fire()
        self.run_due(self.due, begun + SLICE)
        for hook in self.turn_hooks:
            hook()
        self.run_due(self.due, begun + SLICE)
        took = self.clock() - begun
        self.note_lag(took)
        if took >= SLOW_TURN:
            self.on_slow_turn(took, self.cpu() - cpu)

    def until_next(self) -> float:
        while self.timers and self.timers[0][2].what is None:
            heapq.heappop(self.timers)
        return min(max(self.timers[0][0] - self.clock(), 0.0), 1.0) if self.timers else 1.0

    def run_due(
        self, due: deque[tuple[Task, int, Any, BaseException | None]], until: float
    ) -> None:
        """Step tasks until none is due, or the slice is over: the rest is for the next turn.

        Guards timers and final answers against many long pieces of work that come at once, such as huge replies.
        """
        clock = self.clock
        while due:
            task, ticket, value, error = due.popleft()
            if not task.done and ticket == task.ticket:
                task.step(value, error)
                if clock() >= until:
                    return

    def fire(self) -> None:
        timers, now = self.timers, self.now
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            if timer.what is not None:
                timer.what()

    def note_lag(self, took: float) -> None:
        """How long a turn kept everything else waiting."""
        self.turns += 1
        self.busy += took
        self.lag_sum += took
        self.lag_most = max(self.lag_most, took)
        self.lag_lately = max(
            took, self.lag_lately * 0.5 ** ((self.now - self.lag_at) / LAG_MEMORY)
        )
        self.lag_at = self.now
        if took >= SLICE:
            self.behind = max(self.behind, took)
        elif not self.new:
            self.behind = 0.0
        place = 0
        while place < len(LAG_BUCKETS) and took > LAG_BUCKETS[place]:
            place += 1
        self.lag_counts[place] += 1

    # --- sockets

    def listen(
        self, host: str, port: int, on_accept: Callable[[Link, tuple[Any, ...]], None]
    ) -> Listener:
        return Listener(self, self.network.listen(host, port), on_accept)

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[tuple[Any, ...], bytes], None]
    ) -> Datagrams:
        """A UDP socket bound there. Raises OSError."""
        return Datagrams(self, self.network.datagrams(host, port), on_datagram)

    def connect(
        self, host: str, port: int, timeout: float, source: str = ""
    ) -> Generator[Park, Any, Link]:
        """A connected link. Raises OSError, or Expired after `timeout` seconds."""
        link = Link(self, self.network.connect(host, port, source))
        try:
            yield from link.wait_writable(timeout)
            code = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                raise OSError(code, "connect")
        except BaseException:
            link.close()
            raise
        return link


class Link:
    """One socket on the loop. One task may read and one may write at a time."""

    __slots__ = (
        "loop",
        "sock",
        "number",
        "reader",
        "writer",
        "can_read",
        "can_write",
        "peer_closed",
        "closed",
        "on_peer_closed",
        "unsent",
        "heard_at",
        "on_readable",
    )

    def __init__(self, loop: Loop, sock: Any) -> None:
        self.loop, self.sock, self.number = loop, sock, sock.fileno()
        self.reader: tuple[Task, int] | None = None
        self.writer: tuple[Task, int] | None = None
        self.can_read, self.can_write = True, False
        self.peer_closed = self.closed = False
        self.on_peer_closed: Callable[[], None] | None = None
        self.on_readable: Callable[[], None] | None = None  # for what reads without a task
        self.unsent = 0  # bytes of the last write that the kernel has not taken
        self.heard_at = (
            loop.now
        )  # when the loop was last told of bytes here, whoever reads them later
        loop.links[self.number] = self
        loop.network.register(sock)

    def on_event(self, mask: int) -> None:
        if mask & (READ | GONE | select.EPOLLRDHUP):
            self.can_read, self.heard_at = True, self.loop.now
            if self.reader is not None:
                (task, ticket), self.reader = self.reader, None
                task.resume(ticket)
            elif self.on_readable is not None:
                self.on_readable()
                if self.closed:
                    return
        if mask & (WRITE | GONE):
            self.can_write = True
            if self.writer is not None:
                (task, ticket), self.writer = self.writer, None
                task.resume(ticket)
        if mask & (GONE | select.EPOLLRDHUP) and not self.peer_closed:
            self.peer_closed = True
            if self.on_peer_closed is not None:
                self.on_peer_closed()

    def park_reader(self, task: Task) -> None:
        self.reader = (task, task.ticket)

    def park_writer(self, task: Task) -> None:
        self.writer = (task, task.ticket)

    def wait_writable(self, timeout: float | None = None) -> Generator[Park, Any, None]:
        while not self.can_write:
            yield from self.parked(self.park_writer, timeout)

    def parked(self, park: Park, timeout: float | None) -> Generator[Park, Any, None]:
        if timeout is None:
            yield park
            return

        timers: list[Timer] = []

        def park_until(task: Task) -> None:
            ticket = task.ticket
            timers.append(
                self.loop.call_later(timeout, lambda: task.resume(ticket, None, Expired()))
            )
            park(task)

        try:
            yield park_until
        finally:
            for timer in timers:
                timer.cancel()

    def recv_now(self, most: int) -> bytes | None:
        """Bytes at hand; b"" at the stream's end; None where it would block. Raises OSError."""
        if not self.can_read:
            return None
        try:
            data: bytes = self.sock.recv(most)
        except BlockingIOError:
            self.can_read = False
            return None
        if len(data) < most and data and not self.peer_closed:
            self.can_read = False  # the next edge says when there is more
        return data

    def disconnected(self) -> bool:
        """Whether the peer is gone for all that can be known now, also where the loop was not told yet."""
        return self.peer_closed or self.closed or self.peek() == b""

    def peek(self) -> bytes | None:
        """The next byte, left where it is; b"" at the stream's end or after a reset; None where there is none."""
        try:
            data: bytes = self.sock.recv(1, socket.MSG_PEEK)
            return data
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def recv(self, most: int, timeout: float | None = None) -> Generator[Park, Any, bytes]:
        """At least a byte, or b"" at the stream's end. Raises OSError, Expired."""
        while (data := self.recv_now(most)) is None:
            yield from self.parked(self.park_reader, timeout)
            if self.closed:
                return b""
        return data

    def send_now(self, data: bytes | memoryview) -> int:
        try:
            sent: int = self.sock.send(data)
            return sent
        except BlockingIOError:
            self.can_write = False
            return 0

    def send(
        self, data: bytes, timeout: float | None = None, least: float = 0.0, grace: float = 0.0
    ) -> Generator[Park, Any, None]:
        """All of it, as fast as the peer takes it; `timeout` is for each wait, and after `grace` seconds it must have
        taken `least` bytes a second on the whole. Raises OSError, Expired."""
        self.unsent = len(data)
        sent = self.send_now(data)
        self.unsent -= sent
        if not self.unsent:
            return
        view, begun = memoryview(data), self.loop.now
        while self.unsent:
            self.can_write = False
            waited = self.loop.now
            while not self.can_write:
                try:
                    yield from self.parked(
                        self.park_writer, min(timeout or grace, grace) if least else timeout
                    )
                except Expired:  # with a rate to be kept the waits are short, and looked at below
                    if not least or timeout is not None and self.loop.now - waited >= timeout:
                        raise
                    break
            if self.closed:
                raise ConnectionError("closed here")
            if len(data) - self.unsent < least * (self.loop.now - begun - grace):
                raise Expired
            if self.can_write:
                self.unsent -= self.send_now(view[len(data) - self.unsent :])

    def close(self, abort: bool = False) -> None:
        """Close at once; with `abort` the peer sees a reset."""
        if self.closed:
            return
        self.closed = True
        self.loop.links.pop(self.number, None)
        self.loop.network.forget(self.sock)
        if abort:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            except OSError:
                pass
        self.sock.close()
        for parked in (self.reader, self.writer):
            if parked is not None:
                parked[0].resume(parked[1])
        self.reader = self.writer = None


class Listener:
    """Accepts until closed. When descriptors or buffers run out it rests a little: it neither spins nor dies."""

    def __init__(
        self, loop: Loop, sock: Any, on_accept: Callable[[Link, tuple[Any, ...]], None]
    ) -> None:
        self.loop, self.link, self.on_accept = loop, Link(loop, sock), on_accept
        self.address: tuple[Any, ...] = sock.getsockname()
        self.rests = 0
        self.screen: Callable[[Any, tuple[Any, ...]], bool] | None = (
            None  # whether that was all for this connection
        )
        self.on_failed: Callable[[], None] = lambda: None  # what was accepted last came to nothing
        self.on_exhausted: Callable[[Any, tuple[Any, ...]], None] | None = None
        self.spare: int | None = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self.task = loop.spawn(self.accepting(), "accept")

    def accepting(self) -> Coroutine:
        link = self.link
        taken = 0
        while not link.closed:
            try:
                sock, peer = link.sock.accept()
            except BlockingIOError:
                taken = 0
                yield link.park_reader
                continue
            except OSError as error:
                if link.closed:
                    return
                if error.errno in OUT_OF:
                    self.rests += 1
                    self.use_spare()
                    yield from self.loop.sleep(ACCEPT_PAUSE)
                continue  # else the peer was gone before it was accepted
            taken += 1
            if taken % ACCEPT_BATCH == 0:
                yield from self.loop.sleep(0.0)
            self.try_take(sock, peer)

    def accept_rest(self) -> None:
        """Take over all that the kernel has accepted: closing resets what it still holds."""
        while not self.link.closed:
            try:
                sock, peer = self.link.sock.accept()
            except OSError as error:
                if error.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                return  # none is left, or there is no descriptor for it
            self.try_take(sock, peer)

    def try_take(self, sock: Any, peer: tuple[Any, ...]) -> None:
        try:
            self.take(sock, peer)
        except Exception as error:  # noqa: BLE001 - one connection's trouble must not end accepting
            sock.close()
            self.on_failed()
            if not isinstance(error, OSError):  # else the peer was gone before it was anything
                self.loop.on_error("accept", error)

    def take(self, sock: Any, peer: tuple[Any, ...]) -> None:
        if self.screen is not None and self.screen(sock, peer):
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.on_accept(Link(self.loop, sock), peer)

    def use_spare(self) -> None:
        """Give the spare descriptor up for some that wait, one after the other: each is told that there is no room."""
        if self.on_exhausted is None or self.spare is None:
            return
        os.close(self.spare)
        self.spare = None
        try:
            for _ in range(SPARE_BATCH):
                sock, peer = self.link.sock.accept()
                try:
                    sock.setblocking(False)
                    self.on_exhausted(sock, peer)
                finally:
                    sock.close()
        except OSError:
            pass  # nobody waits any more, or somebody else took the descriptor
        try:
            self.spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self.loop.call_later(ACCEPT_PAUSE, self.spare_again)

    def spare_again(self) -> None:
        if self.spare is None and not self.link.closed:
            try:
                self.spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
            except OSError:
                self.loop.call_later(ACCEPT_PAUSE, self.spare_again)

    def close(self) -> None:
        self.link.close()
        if self.spare is not None:
            os.close(self.spare)
            self.spare = None


class Datagrams:
    """A UDP socket. Nothing waits for it: what the kernel does not take now is lost, as datagrams may be anyway."""

    def __init__(
        self, loop: Loop, sock: Any, on_datagram: Callable[[tuple[Any, ...], bytes], None]
    ) -> None:
        self.loop, self.on_datagram = loop, on_datagram
        self.address: tuple[Any, ...] = sock.getsockname()
        self.lost = 0  # not taken by the kernel
        self.link = Link(loop, sock)
        self.link.on_readable = self.read

    def read(self) -> None:
        """All that is there, in batches: the next edge comes only once the socket was empty."""
        for _ in range(DATAGRAM_BATCH):
            if self.link.closed:
                return
            try:
                data, source = self.link.sock.recvfrom(MOST_DATAGRAM)
            except BlockingIOError:
                return
            except (
                OSError
            ):  # an earlier one could not be delivered: the network's word on that is not needed
                continue
            self.on_datagram(source, data)
        self.loop.call_later(NEXT_TURN, self.read)

    def send(self, address: tuple[str, int], data: bytes) -> None:
        try:
            self.link.sock.sendto(data, address)
        except OSError:
            self.lost += 1

    def close(self) -> None:
        self.link.close()
