"""Schedules the times at which cells must be selected again because a node ends its slow start."""

from __future__ import annotations

import heapq

from stepknot.subsets.endpoint_index import EndpointIndex

# With more times than this, mostly outdated ones of removed nodes, the heap is rebuilt.
MAX_TIMES_PER_CELL = 4


class WarmUpSchedule:
    """A heap of times and cells. The valid time of a cell is its `IndexedCell.warm_at`; others are outdated."""

    def __init__(self, index: EndpointIndex) -> None:
        self._index = index
        self._heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._heap)

    def next_time(self) -> float | None:
        """Return the time at which the next node ends its slow start, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[int]:
        """Remove the times up to `now`; return their cells in the order of the times."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            due.append(heapq.heappop(self._heap)[1])
        return due

    def set_time(self, number: int, warm_at: float) -> None:
        """Set the time at which the next node of a cell ends its slow start; 0 if none is in slow start."""
        cell = self._index.cells[number]
        if warm_at and warm_at != cell.warm_at:
            heapq.heappush(self._heap, (warm_at, number))
        cell.warm_at = warm_at
        if len(self._heap) > MAX_TIMES_PER_CELL * len(self._index.cells):
            self._rebuild()

    def _rebuild(self) -> None:
        """Rebuild the heap without outdated times."""
        cells = self._index.cells.items()
        self._heap = [(cell.warm_at, number) for number, cell in cells if cell.warm_at]
        heapq.heapify(self._heap)
