"""A bound on the requests that one connection answers in a row (invariant 9 of `stepknot.net.loop`)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from stepknot.net.tasks import NEXT_TURN, Coroutine

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

ANSWER_BATCH = 16  # requests
ANSWER_SLICE = 0.002  # seconds


class AnswerBatch:
    """Counts the requests of one connection in a turn of the loop, and the time that they take."""

    __slots__ = ("_count", "_end", "_loop", "_turn")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._turn = -1  # no turn of the loop has this number
        self._count = 0
        self._end = 0.0

    def begin_request(self) -> Coroutine:
        """Wait for the next turn where this one has answered a batch, or for long enough."""
        loop = self._loop
        if self._turn == loop.turns and (self._count == ANSWER_BATCH or loop.clock() >= self._end):
            yield from loop.sleep(NEXT_TURN)
        if self._turn != loop.turns:
            self._turn, self._count = loop.turns, 0
            self._end = loop.clock() + ANSWER_SLICE
        self._count += 1
