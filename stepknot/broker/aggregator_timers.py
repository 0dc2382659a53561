"""Timers that the decision module asks for: a heap that the loop looks at when the next one is due."""

from __future__ import annotations

import heapq
import math

from stepknot import interface as api
from stepknot.net.loop import Loop


class AggregatorTimers:
    """The decision module's timers. They cost one loop timer at a time, however many there are."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.heap: list[tuple[float, int]] = []  # time by the loop's clock, token
        self.armed_for = math.inf  # when the loop wakes up for them next

    def add(self, action: api.SetTimer) -> None:
        """Set one. `arm` must follow before the loop waits again."""
        heapq.heappush(self.heap, (action.at, action.token))

    def is_due(self) -> bool:
        """Whether one is due by now."""
        return bool(self.heap) and self.heap[0][0] <= self.loop.now

    def take_due(self) -> list[api.Event]:
        """Events of those that are due, in the order of their times."""
        heap, now = self.heap, self.loop.now
        events: list[api.Event] = []
        while heap and heap[0][0] <= now:
            events.append(api.TimerDue(heapq.heappop(heap)[1]))
        return events

    def arm(self) -> None:
        """Have the loop wake up for the next one."""
        if self.heap and self.heap[0][0] < self.armed_for:
            self.armed_for = self.heap[0][0]
            self.loop.call_at(self.armed_for, self._on_loop_timer)

    def _on_loop_timer(self) -> None:
        """The hook at the end of this loop turn takes what is due."""
        self.armed_for = math.inf
        if not self.is_due():  # another turn took it already
            self.arm()
