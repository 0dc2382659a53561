"""Timers of an aggregator: `SetTimer` actions and `TimerDue` events of `stepknot/interface.py`."""

from __future__ import annotations

import math
from collections.abc import Callable

from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import SetTimer, TimerDue

Callback = Callable[[], None]


class Timers:
    """Sets timers and runs their callbacks when they are due."""

    __slots__ = ("_last_token", "_turn", "pending")

    def __init__(self, turn: Turn) -> None:
        self._turn = turn
        self._last_token = 0
        self.pending: dict[int, tuple[float, Callback | None]] = {}  # by token

    def set(self, at: float, callback: Callback | None = None) -> None:
        """Set a timer. Without a callback it only causes a turn, which checks the unplaced queries."""
        self._last_token += 1
        self.pending[self._last_token] = (at, callback)
        self._turn.actions.append(SetTimer(at, self._last_token))

    def on_due(self, event: TimerDue) -> None:
        """Run the timer's callback. Unknown tokens and early timers are ignored."""
        at, callback = self.pending.get(event.token, (math.inf, None))
        if at <= self._turn.now + EPSILON:
            del self.pending[event.token]
            if callback:
                callback()
