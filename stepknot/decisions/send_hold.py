"""Delays new attempts while changes of the endpoint list are received that are not applied yet.

The caller of the interface (`stepknot/interface.py`) asks before it passes on its events. An attempt that is
decided on before the changes may go to a server that drains or left. The delay is bounded: a registry that
sends without end must not stop the instance.
"""

from __future__ import annotations

import math

# Seconds. The platform extends each of its time limits by as much: an answer that a hold delays is in time.
MAX_HOLD = 0.05


class SendHold:
    """Decides in each turn whether new attempts wait."""

    __slots__ = ("_began_at",)

    def __init__(self) -> None:
        self._began_at = math.inf  # of the hold in force

    def should_wait(self, now: float, has_unread_changes: bool) -> bool:
        """Whether attempts wait in this turn; called once a turn.

        A hold ends when all changes are applied, or after `MAX_HOLD` for one turn at least.

        Args:
            now: seconds, the same clock in each call.
            has_unread_changes: whether changes are received that are not applied.
        """
        if not has_unread_changes:
            self._began_at = math.inf
            return False
        self._began_at = min(self._began_at, now)
        if now - self._began_at >= MAX_HOLD:
            self._began_at = math.inf
            return False
        return True
