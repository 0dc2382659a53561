"""Log events for changes of the subset. A few changes are logged one by one, many changes in one event."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from stepknot.subsets.model import ChangeCause, SubsetChange

Log = Callable[..., None]

# Up to this many changes get an event each. More changes get one event with their number and the first cells.
MAX_LOGGED_CELLS = 8
MAX_LOGGED_NODES = 16  # addresses per event of nodes that entered, and of nodes that left
FLUSH_INTERVAL = 1.0  # seconds after which collected changes are logged even if there is more work


class SubsetChangeLog:
    """Collects changes until they are logged as `subset_changed`.

    Attributes:
        total: Number of changes since the start of the process, by cause.
    """

    def __init__(self, clock: Callable[[], float], log: Log) -> None:
        self.total: Counter[ChangeCause] = Counter()
        self._clock = clock
        self._log = log
        self._first_changes: list[SubsetChange] = []  # the first MAX_LOGGED_CELLS collected changes
        self._collected: Counter[ChangeCause] = Counter()
        self._entered = 0  # number of nodes in the collected changes
        self._left = 0
        self._collected_since = 0.0

    def record(self, changes: Iterable[SubsetChange]) -> None:
        """Count changes and collect them for the log."""
        for change in changes:
            if not self._collected:
                self._collected_since = self._clock()
            self.total[change.cause] += 1
            self._collected[change.cause] += 1
            self._entered += len(change.entered)
            self._left += len(change.left)
            if len(self._first_changes) < MAX_LOGGED_CELLS:
                self._first_changes.append(change)

    def is_due(self) -> bool:
        """Whether changes have been collected for FLUSH_INTERVAL seconds."""
        return self._clock() >= self._collected_since + FLUSH_INTERVAL

    def flush(self) -> None:
        """Log the collected changes."""
        cells = self._collected.total()
        if cells <= MAX_LOGGED_CELLS:
            for change in self._first_changes:
                self._log_cell(change)
        else:
            self._log(
                "subset_changed",
                cells=cells,
                causes={cause.value: count for cause, count in self._collected.items()},
                first_cells=[change.cell for change in self._first_changes],
                entered_count=self._entered,
                left_count=self._left,
            )
        self._first_changes.clear()
        self._collected.clear()
        self._entered = 0
        self._left = 0

    def _log_cell(self, change: SubsetChange) -> None:
        self._log(
            "subset_changed",
            cell=change.cell,
            cause=change.cause.value,
            quota=change.quota,
            entered=list(change.entered[:MAX_LOGGED_NODES]),
            left=list(change.left[:MAX_LOGGED_NODES]),
            entered_count=len(change.entered),
            left_count=len(change.left),
        )
