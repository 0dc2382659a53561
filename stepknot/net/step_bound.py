"""A bound on what one connection does in a row (invariant 9 of `stepknot.net.loop`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepknot.net.tasks import Coroutine

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

ANSWER_BATCH = 16  # requests
STEP_SLICE = 0.0005  # seconds: several times what a usual request takes


class StepBound:
    """Counts the requests that a connection answers in a turn of the loop, and the time that it takes.

    Attributes:
        request_count: answered in this turn.
    """

    __slots__ = ("_end", "_loop", "_turn", "request_count")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._turn = -1  # no turn of the loop has this number
        self.request_count = 0
        self._end = 0.0

    def begin(self) -> None:
        """Count from here on, unless something was counted in this turn."""
        if self._turn != self._loop.turns:
            self._turn, self.request_count = self._loop.turns, 0
            self._end = self._loop.clock() + STEP_SLICE

    def is_reached(self) -> bool:
        """Whether the connection has had its share of this turn."""
        is_counted = self._turn == self._loop.turns
        is_full = self.request_count >= ANSWER_BATCH
        return is_counted and (is_full or self._loop.clock() >= self._end)

    def wait(self) -> Coroutine:
        """Wait for the next turn where the connection has had its share of this one."""
        if self.is_reached():
            yield from self._loop.wait_for_next_turn()
        self.begin()
