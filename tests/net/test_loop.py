"""The loop, with a clock and a network of the test's own; listeners that run out of descriptors."""

from __future__ import annotations

import errno
import random
import socket
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from stepknot.net.datagrams import DATAGRAM_BATCH
from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.http import HttpLimits, ServerParser
from stepknot.net.link import Link
from stepknot.net.loop import SLICE, Loop
from stepknot.net.network import READ, Network
from stepknot.net.tasks import Coroutine, Future


class Clock:
    """Stands still but for what the loop waits."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Waiting(Network):
    """A network on which nothing happens: each poll lets the time pass."""

    def __init__(self, clock: Clock) -> None:
        super().__init__()
        self.clock = clock

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        self.clock.now += timeout
        return []


def virtual() -> Loop:
    clock = Clock()
    return Loop(clock, random.Random(1), Waiting(clock))


def test_sleeps_end_in_the_order_of_their_times_on_a_virtual_clock() -> None:
    loop, seen = virtual(), []

    def sleeper(name: str, seconds: float) -> Coroutine:
        yield from loop.sleep(seconds)
        seen.append((name, round(loop.now - 100, 6)))
        if len(seen) == 3:
            loop.stop()

    for name, seconds in (("c", 3600.0), ("a", 1.5), ("b", 90.0)):
        loop.spawn(sleeper(name, seconds))
    loop.run()
    assert seen == [("a", 1.5), ("b", 90.0), ("c", 3600.0)]


def test_urgent_task_goes_first_in_each_turn_whatever_others_leave_undone() -> None:
    """The watch of the endpoint list waited behind replies: what it had received was read turns later."""
    loop, seen = virtual(), []

    def work() -> Coroutine:
        seen.append("work")
        loop.clock.now += SLICE  # type: ignore[attr-defined]
        yield from loop.sleep(0.0)

    def follow() -> Coroutine:
        while True:
            seen.append("urgent")
            yield from loop.wait_for_next_turn()

    for _ in range(3):
        loop.spawn(work())
    loop.spawn(follow(), is_urgent=True)
    for _ in range(2):
        seen.append("turn")
        loop.turn()
    assert [each for each in seen if each != "work"] == ["turn", "urgent"] * 2
    assert seen[:3] == ["turn", "urgent", "work"] and seen[seen.index("turn", 1) + 1] == "urgent"


def test_future_set_before_or_after_the_wait_resumes_its_task_once() -> None:
    loop, got = virtual(), []
    early, late = Future(), Future()
    early.set(1)

    def waiter() -> Coroutine:
        got.append((yield from early.wait()))
        got.append((yield from late.wait()))
        loop.stop()

    loop.spawn(waiter())
    loop.call_later(5.0, lambda: late.set(2))
    loop.call_later(6.0, lambda: late.set(3))
    loop.run()
    assert got == [1, 2]


def test_many_due_tasks_do_not_delay_a_timer() -> None:
    loop = Loop(rng=random.Random(1))
    lateness, done = [], []

    def work() -> Coroutine:
        until = time.thread_time() + 0.005
        while time.thread_time() < until:
            pass
        done.append(1)
        yield from ()

    for _ in range(60):  # 0.3 s of it
        loop.spawn(work())
    due = loop.clock() + 0.03
    loop.call_at(due, lambda: lateness.append(len(done)))
    loop.call_at(due + 0.001, lambda: loop.call_later(1.0, loop.stop) and None)
    loop.run()
    assert lateness[0] < 30 and len(done) == 60


def test_work_in_progress_runs_before_new_work_which_is_bounded_in_a_turn() -> None:
    loop = virtual()
    clock = loop.clock
    assert isinstance(clock, Clock)
    order: list[str] = []

    def work(name: str) -> Coroutine:
        order.append(name)
        clock.now += 0.004
        yield from ()

    for number in range(4):
        loop.spawn(work(f"new {number}"), patient=True)
    loop.spawn(work("old"))
    loop.turn()
    assert order == ["old", "new 0", "new 1"]  # two of 4 ms are over the slice of 5
    loop.turn()
    assert order[3:] == ["new 2", "new 3"]


def test_error_of_a_task_ends_the_loop() -> None:
    loop = virtual()

    def failing() -> Coroutine:
        yield from loop.sleep(1.0)
        raise RuntimeError("broken")

    loop.spawn(failing())
    with pytest.raises(RuntimeError, match="broken"):
        loop.run()


def raise_defect(*_: object) -> None:
    raise RuntimeError("broken")


def add_failing_timer(loop: Loop) -> None:
    loop.call_later(1.0, raise_defect)


def add_failing_turn_hook(loop: Loop) -> None:
    loop.turn_hooks.append(raise_defect)


def add_failing_link_event(loop: Loop) -> None:
    one, two = socket.socketpair()
    link = Link(loop, two)
    link.on_readable = raise_defect
    one.close()
    loop.network.poll = lambda timeout: [(link.number, READ)]  # type: ignore[method-assign]


def add_failing_slow_turn_report(loop: Loop) -> None:
    loop.on_slow_turn = raise_defect
    clock = loop.clock
    assert isinstance(clock, Clock)
    loop.turn_hooks.append(lambda: setattr(clock, "now", clock.now + 1.0))


FAILING_CALLBACKS = {
    "timer": add_failing_timer,
    "turn_hook": add_failing_turn_hook,
    "link": add_failing_link_event,
    "slow_turn": add_failing_slow_turn_report,
}


@pytest.mark.parametrize("name", FAILING_CALLBACKS)
def test_error_of_a_callback_is_reported_and_prevents_no_other_callback(name: str) -> None:
    """Such an error left `Loop.run`, and with it the process ended."""
    reported: list[tuple[str, str]] = []
    called: list[str] = []
    clock = Clock()
    loop = Loop(
        clock,
        random.Random(1),
        Waiting(clock),
        on_error=lambda kind, error: reported.append((kind, str(error))),
    )
    FAILING_CALLBACKS[name](loop)
    loop.call_later(1.0, lambda: called.append("timer"))
    loop.turn_hooks.append(lambda: called.append("hook"))
    for _ in range(3):
        clock.now += 1.0
        loop.turn()
    assert (name, "broken") in reported
    assert called.count("timer") == 1 and called.count("hook") == 3


def test_periodic_callback_is_called_again_after_an_error() -> None:
    """A callback that set its next timer at its end was never called again."""
    clock = Clock()
    reported: list[str] = []
    loop = Loop(
        clock,
        random.Random(1),
        Waiting(clock),
        on_error=lambda kind, error: reported.append(str(error)),
    )
    loop.call_every(1.0, raise_defect)
    for _ in range(3):
        loop.turn()
    assert clock.now == 103.0 and reported == ["broken"] * 3


@pytest.mark.parametrize("name", FAILING_CALLBACKS)
def test_error_of_a_callback_ends_a_loop_that_has_no_error_handler(name: str) -> None:
    loop = virtual()
    FAILING_CALLBACKS[name](loop)
    with pytest.raises(RuntimeError, match="broken"):
        loop.run()


def test_written_data_arrives_completely_at_a_slow_reader() -> None:
    loop = Loop(rng=random.Random(1))
    one, two = socket.socketpair()
    for sock in (one, two):
        sock.setblocking(False)
    data = random.Random(2).randbytes(3_000_000)
    got = bytearray()

    def write(link: Link) -> Coroutine:
        yield from link.send(data)
        link.close()

    def read(link: Link) -> Coroutine:
        while chunk := (yield from link.recv(10_000)):
            got.extend(chunk)
        loop.stop()

    loop.spawn(write(Link(loop, one)))
    loop.spawn(read(Link(loop, two)))
    loop.run()
    assert bytes(got) == data


def test_read_that_takes_too_long_times_out() -> None:
    loop = Loop(rng=random.Random(1))
    one, two = socket.socketpair()
    two.setblocking(False)
    seen = []

    def read() -> Coroutine:
        try:
            yield from Link(loop, two).recv(10, 0.02)
        except WaitTimeoutError:
            seen.append("expired")
        loop.stop()

    loop.spawn(read())
    loop.run()
    one.close()
    assert seen == ["expired"]


MAX_READS_IN_A_TURN = 100  # beyond it, a test fails instead of reading for ever


class EndlessSocket:
    """A socket whose peer has always sent more: the head once, and then the unit again and again."""

    def __init__(self, loop: Loop, sock: socket.socket, head: bytes, unit: bytes) -> None:
        self.loop = loop
        self.sock = sock
        self.unit = unit
        self.pending = bytearray(head)
        self.read_counts: Counter[int] = Counter()  # by turn
        self.on_read: Callable[[], object] = lambda: None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def recv(self, size: int, flags: int = 0) -> bytes:
        while len(self.pending) < size:
            self.pending += self.unit
        data = bytes(self.pending[:size])
        if not flags:
            self.on_read()
            self.read_counts[self.loop.turns] += 1
            assert self.read_counts[self.loop.turns] < MAX_READS_IN_A_TURN, "read on in one turn"
            del self.pending[:size]
        return data


def test_peer_that_never_stops_sending_is_read_once_a_turn() -> None:
    """A task read on while there were bytes: other connections and all timers waited for as long as a peer sent."""
    loop = virtual()
    one, two = socket.socketpair()
    endless = EndlessSocket(loop, two, b"", bytes(1024))
    link = Link(loop, endless)
    fired: list[float] = []

    def read() -> Coroutine:
        while (yield from link.recv(1024)):
            pass

    loop.spawn(read())
    loop.call_later(0.0, lambda: fired.append(loop.now))
    for _ in range(20):
        loop.turn()
    assert fired and max(endless.read_counts.values()) == 1
    assert endless.read_counts.total() >= 9
    link.close()
    one.close()


class Exhausted:
    """A listening socket whose accept fails a few times for want of descriptors."""

    def __init__(self, sock: socket.socket, code: int, times: int) -> None:
        self.sock, self.code, self.left = sock, code, times
        self.tries = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)

    def accept(self) -> Any:
        self.tries += 1
        if self.left:
            self.left -= 1
            raise OSError(self.code, "no more")
        return self.sock.accept()


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ECONNABORTED])
def test_listener_without_descriptors_pauses_and_goes_on(code: int) -> None:
    loop, accepted = Loop(rng=random.Random(1)), []
    real = loop.network.listen("127.0.0.1", 0)
    hurt = Exhausted(real, code, 3)
    loop.network.listen = lambda host, port, backlog=0: hurt  # type: ignore[assignment,method-assign,misc,return-value]
    listener = loop.listen(
        "127.0.0.1", 0, lambda link, peer: (accepted.append(peer), loop.stop()) and None
    )
    client = socket.create_connection(listener.address)
    loop.run()
    assert len(accepted) == 1 and hurt.tries <= 6
    assert listener.pause_count == (0 if code == errno.ECONNABORTED else 3)
    client.close()


def test_failed_connection_does_not_end_accepting() -> None:
    """Whatever goes wrong with one: a peer that is gone already, or a mistake of our own, which is told."""
    told: list[str] = []
    accepted: list[object] = []
    failed: list[int] = []
    loop = Loop(rng=random.Random(1), on_error=lambda name, error: told.append(f"{name}: {error}"))
    listener = loop.listen(
        "127.0.0.1", 0, lambda link, peer: (accepted.append(peer), loop.stop()) and None
    )
    troubles: list[Exception] = [OSError(errno.EINVAL, "gone"), ValueError("a mistake")]

    def screen(sock: socket.socket, peer: object) -> bool:
        if troubles:
            raise troubles.pop(0)
        return False

    listener.screen = screen
    listener.on_failed = lambda: failed.append(1)
    clients = [socket.create_connection(listener.address) for _ in range(3)]
    loop.call_later(10.0, loop.stop)  # only where it fails
    loop.run()
    assert len(accepted) == 1 and len(failed) == 2 and told == ["accept: a mistake"]
    for each in clients:
        each.close()


def test_requests_cut_at_any_byte_are_parsed_the_same() -> None:
    data = (
        b"POST /a?x=1 HTTP/1.1\r\nhost: h\r\ncontent-length: 5\r\n\r\nhello"
        b"GET /b HTTP/1.1\r\nhost: h\r\n\r\n"
    )
    for cut in range(len(data)):
        parser = ServerParser(HttpLimits())
        for piece in (data[:cut], data[cut:]):
            if piece:
                parser.feed(piece)
        assert [(each.method, each.path, each.body) for each in parser.requests] == [
            ("POST", "/a", b"hello"),
            ("GET", "/b", b""),
        ]


def test_random_bytes_are_an_http_error_or_incomplete() -> None:
    rng = random.Random(3)
    for _ in range(2000):
        parser = ServerParser(HttpLimits(header=200, url=50, body=100))
        data = rng.choice(
            [b"GET / HTTP/1.1\r\n", b"POST /x HTTP/1.1\r\ncontent-length: 3\r\n", b""]
        ) + bytes(rng.choice(b"\r\n: abcGET/1.\x00\xff") for _ in range(rng.randrange(80)))
        try:
            parser.feed(data)
        except HttpError as error:
            assert 400 <= error.status < 500


def test_burst_of_datagrams_is_read_in_batches() -> None:
    """Edges come once: what is left unread after a batch must not wait for the next datagram."""
    loop = Loop()
    got: list[bytes] = []
    came: list[int] = []
    inbox = loop.datagrams("127.0.0.1", 0, lambda source, data: got.append(data))
    outbox = loop.datagrams("127.0.0.1", 0, lambda source, data: None)
    count = 3 * DATAGRAM_BATCH + 5
    for number in range(count):
        outbox.send(inbox.address, number.to_bytes(2, "big"))
    loop.turn_hooks.append(lambda: came.append(len(got)))
    loop.call_later(5.0, loop.stop)
    loop.turn_hooks.append(lambda: loop.stop() if len(got) == count else None)
    loop.run()
    assert got == [number.to_bytes(2, "big") for number in range(count)] and not outbox.lost
    assert (
        max(after - before for before, after in zip([0, *came], came, strict=False))
        <= 2 * DATAGRAM_BATCH
    )
    inbox.close()
    outbox.close()


def test_address_in_use_raises_and_leaves_no_descriptor() -> None:
    loop = Loop()
    inbox = loop.datagrams("127.0.0.1", 0, lambda source, data: None)
    with pytest.raises(OSError):
        loop.datagrams("127.0.0.1", inbox.address[1], lambda source, data: None)
    inbox.send(("127.0.0.1", 1), bytes(70_000))  # too long for any datagram: lost, and counted
    assert inbox.lost == 1 and list(loop.links) == [inbox.link.number]
    inbox.close()
    assert not loop.links
