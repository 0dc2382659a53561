"""The event loop: one turn polls, runs tasks and timers, then the turn hooks.

The clock, the source of random numbers and the network come from outside (`Loop(clock, rng, network)`), so
the same code runs on a virtual clock with virtual sockets.

Invariants:

1. Descriptors are registered once, edge-triggered, for both directions. Whoever reads or writes goes on
   until the kernel would block, and parks only then: no edge is lost.
2. A task is resumed at most once for each park; a later resume is ignored by its ticket.
3. The work of a turn ends with the turn hooks: what was received in a turn is decided on once.
4. Work in progress goes before new work: a task that waits for new work (`Task.patient`) runs after all
   others, and for a bounded time. After a stall, answers do not wait for a backlog of requests. Much new
   work of one task (`Task.is_bulk`) has a bounded time of its own: a small request does not wait for it.
8. An error that a callback raises (a timer, a turn hook, a link's event) is reported as that of a task
   is, and keeps no other callback from its call.
9. A step of a task is bounded, whatever a peer sends: it reads once and answers a batch of requests. The
   rest waits for the next turn, so that other peers and timers have theirs.
10. A task whose input changes how all other work is decided (`Task.is_urgent`) is stepped once at the
   begin of each turn in which it is due, before any other task and whatever the others leave undone.
"""

from __future__ import annotations

import heapq
import math
import random
import signal
import socket
import time
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, NamedTuple

from stepknot.net.datagrams import Datagrams
from stepknot.net.link import Link
from stepknot.net.listener import Listener
from stepknot.net.network import Network
from stepknot.net.tasks import NEXT_TURN, Coroutine, Park, Task, Timer

SLICE = 0.025  # seconds of a turn after which tasks that are due wait for the next one
NEW_SLICE = 0.005  # seconds of a turn for new work: deciding on what it posts comes on top
BULK_SLICE = 0.005  # seconds of a turn for new work of tasks that have much of it
SLOW_TURN = 0.1  # seconds: such a turn is reported, with the processor time that it had
MAX_POLL = 1.0  # seconds
LAG_HALF_LIFE = 5.0  # seconds in which half of the longest recent turn is forgotten
LAG_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
Due = tuple[Task, int, Any, BaseException | None]  # with the ticket, a value or an error


class Step(NamedTuple):
    """One step of a task, by the task's name."""

    name: str
    seconds: float


NO_STEP = Step("", 0.0)


class Loop:
    """Runs tasks and timers, and tells links what the network polled.

    Attributes:
        clock: monotonic seconds.
        now: the clock at the begin of this turn.
        rng: the source of random numbers for all that runs on the loop.
        again: something was left for the next turn, whose poll must not wait.
        turn_hooks: called at the end of each turn.
        on_slow_turn: called with the seconds that a slow turn took and its processor time.
        lag_counts: turns by `LAG_BUCKETS`, and those longer than the last bucket.
        lag_sum: seconds of all turns; `lag_most` is the longest one.
        longest_step: of a task in this turn.
        lag_lately: the longest recent turn in seconds, halved every `LAG_HALF_LIFE`.
        behind: for how many seconds what is read now may have been there: a long turn, until the
            backlog of new work after it is read.
    """

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
        self.on_error = on_error or self._stop_with_error
        self.cpu: Callable[[], float] = time.thread_time
        self.on_slow_turn: Callable[[float, float], None] = _ignore_slow_turn
        self.now = clock()
        self.links: dict[int, Link] = {}
        # A heap; the number keeps the order of equal times.
        self.timers: list[tuple[float, int, Timer]] = []
        self.timer_count = 0
        self.urgent: deque[Due] = deque()  # of urgent tasks
        self.due: deque[Due] = deque()
        self.new: deque[Due] = deque()  # of patient tasks
        self.bulk: deque[Due] = deque()  # of those with much work
        self.tasks: set[Task] = set()
        self.turn_hooks: list[Callable[[], None]] = []
        self.stopping = False
        self.again = False
        self.failure: BaseException | None = None
        self.lag_counts = [0] * (len(LAG_BUCKETS) + 1)
        self.lag_sum = 0.0
        self.lag_most = 0.0
        self.turns = 0
        self.busy = 0.0  # seconds in turns
        self.longest_step = NO_STEP
        self.lag_lately = 0.0
        self.lag_at = self.now  # when `lag_lately` was computed
        self.behind = 0.0

    def _stop_with_error(self, name: str, error: BaseException) -> None:
        del name
        self.failure = error
        self.stopping = True

    # --- tasks and timers

    def spawn(
        self,
        steps: Coroutine,
        name: str = "task",
        patient: bool = False,
        is_urgent: bool = False,
    ) -> Task:
        """Run a coroutine as a task, from the next step on."""
        task = Task(self, steps, name)
        task.patient = patient
        task.is_urgent = is_urgent
        self.tasks.add(task)
        task.queue().append((task, task.ticket, None, None))
        return task

    def call_at(self, at: float, callback: Callable[[], None]) -> Timer:
        """Call it in the first turn that begins at this time or later, by the loop's clock."""
        timer = Timer(callback)
        self.timer_count += 1
        heapq.heappush(self.timers, (at, self.timer_count, timer))
        return timer

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call it this many seconds after the begin of this turn."""
        return self.call_at(self.now + delay, callback)

    def call_every(self, interval: float, callback: Callable[[], None]) -> None:
        """Call it each time after so many seconds, also where a call raises."""

        def call() -> None:
            self.call_later(interval, call)
            callback()

        self.call_later(interval, call)

    def sleep(self, delay: float) -> Generator[Park, Any, None]:
        """Park the task for this many seconds."""

        def park(task: Task) -> None:
            ticket = task.ticket
            self.call_later(delay, lambda: task.resume(ticket))

        yield park

    def wait_for_next_turn(self) -> Generator[Park, Any, None]:
        """Park the task until the next turn; an urgent one is then first, another one with the timers."""

        def park(task: Task) -> None:
            ticket = task.ticket
            if task.is_urgent:
                task.resume(ticket)
            else:
                self.call_later(NEXT_TURN, lambda: task.resume(ticket))

        yield park

    # --- the loop itself

    def run(self) -> None:
        """Turn until `stop`; raises what `turn` raises."""
        while not self.stopping:
            self.turn()

    def stop(self) -> None:
        """End `run` after this turn."""
        self.stopping = True

    def on_signal(self, callback: Callable[[], None], *numbers: int) -> None:
        """Call it in the next turn after one of these signals."""

        def handler(*_: object) -> None:
            self.call_at(0.0, callback)
            self.network.wake()

        for number in numbers:
            signal.signal(number, handler)

    def turn(self) -> None:
        """Poll, then run what is due: urgent tasks, other tasks, new work, timers, turn hooks.

        Raises the error of a callback, or of a task that no other waits for, unless `on_error` takes it.
        """
        is_due = self.urgent or self.due or self.new or self.bulk or self.again
        wait = 0.0 if is_due else self._until_next_timer()
        self.again = False
        ready = self.network.poll(wait)
        self.now = begun = self.clock()
        self.longest_step = NO_STEP
        cpu = self.cpu()
        for number, mask in ready:
            link = self.links.get(number)
            if link is not None:
                self.run_callback("link", link.on_event, mask)
        urgent, self.urgent = self.urgent, deque()
        self.run_due(urgent, math.inf)
        self.run_due(self.due, begun + SLICE)
        if self.new:
            self.run_due(self.new, self.clock() + NEW_SLICE)
        if self.bulk:
            self.run_due(self.bulk, self.clock() + BULK_SLICE)
        self._fire_timers()
        self.run_due(self.due, begun + SLICE)
        for hook in self.turn_hooks:
            self.run_callback("turn_hook", hook)
        self.run_due(self.due, begun + SLICE)
        took = self.clock() - begun
        self._record_lag(took)
        if took >= SLOW_TURN:
            self.run_callback("slow_turn", self.on_slow_turn, took, self.cpu() - cpu)
        if self.failure is not None:
            raise self.failure

    def run_callback(self, name: str, callback: Callable[..., object], *args: object) -> None:
        """Call it now, and report an error that it raises under this name (invariant 8)."""
        try:
            callback(*args)
        except Exception as error:  # noqa: BLE001 - one callback's error must not be the loop's
            self.on_error(name, error)

    def run_due(self, due: deque[Due], until: float) -> None:
        """Step tasks until none is due, or the time is over: the rest is for the next turn.

        So timers and final answers do not wait for many long steps that are due at once, such as
        the parsing of large replies.
        """
        if not due:
            return
        clock = self.clock
        begun = clock()
        while due:
            task, ticket, value, error = due.popleft()
            if not task.done and ticket == task.ticket:
                task.step(value, error)
                ended = clock()
                if ended - begun > self.longest_step.seconds:
                    self.longest_step = Step(task.name, ended - begun)
                if ended >= until:
                    return
                begun = ended

    def _until_next_timer(self) -> float:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return MAX_POLL
        return min(max(self.timers[0][0] - self.clock(), 0.0), MAX_POLL)

    def _fire_timers(self) -> None:
        timers, now = self.timers, self.now
        while timers and timers[0][0] <= now:
            timer = heapq.heappop(timers)[2]
            if timer.callback is not None:
                self.run_callback("timer", timer.callback)

    def _record_lag(self, took: float) -> None:
        """Record for how long a turn made everything else wait."""
        self.turns += 1
        self.busy += took
        self.lag_sum += took
        self.lag_most = max(self.lag_most, took)
        self.lag_lately = max(
            took, self.lag_lately * 0.5 ** ((self.now - self.lag_at) / LAG_HALF_LIFE)
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
        """A TCP listener there; `on_accept` gets each link with its peer's address. Raises OSError."""
        return Listener(self, self.network.listen(host, port), on_accept)

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[tuple[Any, ...], bytes], None]
    ) -> Datagrams:
        """A UDP socket there; `on_datagram` gets each sender's address and data. Raises OSError."""
        return Datagrams(self, self.network.datagrams(host, port), on_datagram)

    def connect(
        self, host: str, port: int, timeout: float, source: str = ""
    ) -> Generator[Park, Any, Link]:
        """A connected link.

        Raises:
            OSError: connecting failed.
            WaitTimeoutError: it took more than `timeout` seconds.
        """
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


def _ignore_slow_turn(took: float, cpu: float) -> None:
    """The default: slow turns are not reported."""
    del took, cpu
