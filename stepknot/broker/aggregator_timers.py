"""The decision module's timers, kept in a heap for which the loop has one timer."""

from __future__ import annotations

import heapq
import math

from stepknot import interface as api
from stepknot.net.loop import Loop


class AggregatorTimers:
    """The decision module's timers. However many there are, they need only one timer of the loop at a time."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.heap: list[tuple[float, int]] = []  # due time by the loop's clock, and token
        self.armed_for = math.inf  # due time of the loop's timer, inf if it is not set

    def add(self, action: api.SetTimer) -> None:
        """Add a timer. `arm` must be called before the loop waits again."""
        heapq.heappush(self.heap, (action.at, action.token))

    def is_due(self) -> bool:
        """Whether a timer is due now."""
        return bool(self.heap) and self.heap[0][0] <= self.loop.now

    def take_due(self) -> list[api.Event]:
        """Remove the timers that are due; returns their events in the order of their due times."""
        heap, now = self.heap, self.loop.now
        events: list[api.Event] = []
        while heap and heap[0][0] <= now:
            events.append(api.TimerDue(heapq.heappop(heap)[1]))
        return events

    def arm(self) -> None:
        """Set the loop's timer for the next timer that is due."""
        if self.heap and self.heap[0][0] < self.armed_for:
            self.armed_for = self.heap[0][0]
            self.loop.call_at(self.armed_for, self._on_loop_timer)

    def _on_loop_timer(self) -> None:
        """Wake the loop up; the core's hook at the end of this iteration takes the timers that are due."""
        self.armed_for = math.inf
        if not self.is_due():  # an earlier iteration has already taken them
            self.arm()
