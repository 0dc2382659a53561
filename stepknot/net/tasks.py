"""Tasks of the loop: coroutines that are generators, timers, and futures.

A coroutine yields a `Park`: a function that is called with the coroutine's `Task` and arranges for
`Task.resume`. Nested coroutines are called by `yield from`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

Park = Callable[["Task"], None]
Coroutine = Generator[Park, Any, Any]
NEXT_TURN = 1e-6  # seconds: a timer that is due now would fire in the same turn


class Timer:
    """A call that the loop makes at its time, unless it is cancelled before."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Do not call; a timer that fired already is not affected."""
        self.callback = None


class Task:
    """One running coroutine.

    Attributes:
        done: whether it ended; `result` and `error` are set then.
        ticket: changes with each park, so that a late resume is ignored.
        is_urgent: whether it goes before all other work, see invariant 10 of `stepknot.net.loop`.
        patient: whether it waits for new work, see invariant 4 of `stepknot.net.loop`.
        is_bulk: whether its new work is so much that it goes behind other tasks' new work.
    """

    __slots__ = (
        "__weakref__",
        "done",
        "error",
        "is_bulk",
        "is_urgent",
        "loop",
        "name",
        "patient",
        "result",
        "steps",
        "ticket",
        "waiters",
    )

    def __init__(self, loop: Loop, steps: Coroutine, name: str) -> None:
        self.loop = loop
        self.steps = steps
        self.name = name
        self.done = False
        self.ticket = 0
        self.is_urgent = False
        self.patient = False
        self.is_bulk = False
        self.result: Any = None
        self.error: BaseException | None = None
        self.waiters: list[Callable[[], None]] = []

    def resume(self, ticket: int, value: Any = None, error: BaseException | None = None) -> None:
        """Go on in the loop's next step, if the task is still parked with this ticket."""
        if not self.done and ticket == self.ticket:
            self.ticket += 1
            self.queue().append((self, self.ticket, value, error))

    def queue(self) -> deque[tuple[Task, int, Any, BaseException | None]]:
        """Where the loop has the task when it is due."""
        if self.is_urgent:
            return self.loop.urgent
        if not self.patient:
            return self.loop.due
        return self.loop.bulk if self.is_bulk else self.loop.new

    def step(self, value: Any, error: BaseException | None) -> None:
        """Run until the coroutine parks or ends; called by the loop."""
        try:
            park = self.steps.throw(error) if error else self.steps.send(value)
        except StopIteration as stop:
            self._finish(stop.value, None)
        except Exception as failure:  # noqa: BLE001 - one task's end must not be the loop's
            self._finish(None, failure)
        else:
            self.ticket += 1
            park(self)

    def _finish(self, result: Any, error: BaseException | None) -> None:
        self.done = True
        self.result = result
        self.error = error
        self.loop.tasks.discard(self)
        if error is not None and not self.waiters:
            self.loop.on_error(self.name, error)
        for waiter in self.waiters:
            waiter()
        self.waiters = []

    def wait(self) -> Generator[Park, Any, Any]:
        """Park another task until this one is done; returns its result, or raises its error."""

        def park(own: Task) -> None:
            ticket = own.ticket
            self.waiters.append(lambda: own.resume(ticket))

        if not self.done:
            yield park
        if self.error is not None:
            raise self.error
        return self.result

    def kill(self) -> None:
        """End the task where it is parked; its `finally` clauses run."""
        if not self.done:
            self.ticket += 1
            self.steps.close()
            self._finish(None, None)


class Future:
    """A value that is set once, and that one task waits for."""

    __slots__ = ("is_set", "task", "ticket", "value")

    def __init__(self) -> None:
        self.is_set = False
        self.value: Any = None
        self.task: Task | None = None  # that waits, with its ticket
        self.ticket = 0

    def set(self, value: Any = None) -> None:
        """Set the value and resume the task that waits; later calls have no effect."""
        if not self.is_set:
            self.is_set = True
            self.value = value
            if self.task is not None:
                self.task.resume(self.ticket, value)

    def wait(self) -> Generator[Park, Any, Any]:
        """Park until the value is set; returns it."""
        if not self.is_set:
            yield self.park
        return self.value

    def park(self, task: Task) -> None:
        """Resume the task when the value is set; a `Park`."""
        self.task = task
        self.ticket = task.ticket
