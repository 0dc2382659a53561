"""Delays new attempts while changes of the endpoint list are received that are not applied yet.

The caller of the interface (`stepknot/interface.py`) asks before it passes on its events. An attempt that is
decided on before the changes may go to a server that drains or left. The delay is bounded: a registry that
sends without end must not stop the instance.
"""

from __future__ import annotations

import math

# Seconds. The platform extends each of its time limits by 0.05 s: an answer that a hold delays is in time,
# also where a turn of the loop comes on top.
MAX_DECISION_HOLD = 0.025
# Seconds. Queued calls delay no answer that is known, so that they wait longer. What is written after such a
# hold is within the shortest drain grace, 0.25 s.
MAX_WRITE_HOLD = 0.15


class SendHold:
    """Decides in each turn whether new attempts wait, for so many seconds at most."""

    __slots__ = ("_began_at", "_last_turn", "_max_seconds")

    def __init__(self, max_seconds: float) -> None:
        self._max_seconds = max_seconds
        self._began_at = math.inf  # of the hold in force
        self._last_turn = -1  # the last one in which it was asked

    def should_wait(self, turn: int, now: float, has_unread_changes: bool) -> bool:
        """Whether attempts wait in this turn; called once in a turn, where there is something to send.

        A hold ends when all changes are applied, after a turn without a call, or after `max_seconds` for one
        turn at least.

        Args:
            turn: its number.
            now: seconds, the same clock in each call.
            has_unread_changes: whether changes are received that are not applied.
        """
        was_asked = turn == self._last_turn + 1
        self._last_turn = turn
        if not was_asked:
            self._began_at = math.inf
        if not has_unread_changes:
            self._began_at = math.inf
            return False
        self._began_at = min(self._began_at, now)
        if now - self._began_at >= self._max_seconds:
            self._began_at = math.inf
            return False
        return True
