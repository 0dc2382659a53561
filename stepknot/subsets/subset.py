"""The subset of one broker: receives watch events of the complete endpoint list and emits watch events of the subset.

Sliced work
===========
A list may have 100,000 entries, and the broker's loop must not be blocked for longer than a few milliseconds.
`on_watch_event` and `set_instances` therefore only queue. The work is done by `advance`, which does one unit and
returns whether there is more. Each unit is bounded, whatever the length of the list. Units are done in this order:

1. *Read* entries of the first unread event into the pending entries (`list_intake`).
2. *Compare* the selected nodes with a snapshot that was read. A cell becomes urgent if one of its selected nodes is no
   longer live or has been replaced by another process. For changes this is done at once, as part of reading them.
3. *Select an urgent cell* again, after the pending entries of all its nodes are indexed.
4. *Index* pending entries, then sweep the cells for nodes that a snapshot does not name.
5. *Select* a cell again if its entries, its quota, the count of brokers or the slow start of a node changed.

Reading comes first because it shows which cells are urgent (S7). Draining nodes and their replacements are thus emitted
long before the rest of a long list is indexed. An event is emitted when it has enough entries, when the last urgent
cell has been selected, and at the end of the work. The caller takes the events from `events` in their order. The driver
(over iterations of the loop) and its admin answers use the same scheme.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.cell_selector import CellSelector
from stepknot.subsets.endpoint_index import EndpointIndex
from stepknot.subsets.list_intake import ListIntake, PendingEntries
from stepknot.subsets.model import (
    MAX_BROKERS,
    CellLayout,
    ChangeCause,
    SubsetChange,
    SubsetSettings,
)
from stepknot.subsets.warm_up_schedule import WarmUpSchedule

# Bounds of a unit of work; the times are for 36,000 nodes in cells of 62.
COMPARED_CELLS = 64  # cells whose selected nodes are compared with a snapshot in one unit: 0.2 ms
INDEXED_ENTRIES = 32  # entries that are indexed in one unit: 0.1 ms
# Number of entries at which an event is emitted; the entries of one cell may exceed it. The decision library takes 3 ms
# for such an event at 2,300 nodes.
MAX_EVENT_ENTRIES = 128


class Subset:
    """Computes the subset of one broker in bounded units of work.

    Attributes:
        events: Watch events of the subset; the caller takes and removes them.
        changes: Changes of the subset by cell; the caller takes and removes them.
        left_out: Number of ignored entries, which name this broker or a cell that does not exist.
        uncompared_cells: Cells whose selected nodes are still to be compared with a snapshot that was read.
        urgent_cells: Cells to be selected before pending entries are indexed, with the cause.
        unemitted: Entries for the next event.
    """

    def __init__(self, settings: SubsetSettings, layout: CellLayout, instances: int) -> None:
        self.settings = settings
        self.layout = layout
        self.instances = _clamp_instances(instances)
        self.index = EndpointIndex(settings)
        self.selector = CellSelector(settings, layout, self.index)
        self.warm_ups = WarmUpSchedule(self.index)
        self.intake = ListIntake()
        self.events: list[ListReceived] = []
        self.changes: list[SubsetChange] = []
        self.left_out = 0
        self.uncompared_cells: deque[int] = deque()
        self.urgent_cells: dict[int, ChangeCause] = {}
        # Cells to be selected after pending entries are indexed, with the cause.
        self._stale_cells: dict[int, ChangeCause] = {}
        self.unemitted: list[ServerEntry] = []
        # Kind of the first event, until that event is emitted.
        self._first_kind: ListKind | None = None
        self._has_list = False

    def on_watch_event(self, event: ListReceived) -> None:
        """Queue a watch event of the endpoint list. An event of kind `FAILED` is emitted at once."""
        if event.kind is ListKind.FAILED:
            self.events.append(event)
            return
        if not self._has_list:
            self._has_list = True
            self._first_kind = event.kind
        self.intake.enqueue(event)

    def set_instances(self, instances: int) -> None:
        """Set the upper bound of the number of brokers, from which quotas and slow start divisors are derived."""
        instances = _clamp_instances(instances)
        if instances == self.instances:
            return
        self.instances = instances
        for number in self.index.cells:
            self._stale_cells.setdefault(number, ChangeCause.COUNT)

    @property
    def has_work(self) -> bool:
        """Whether there is work for `advance`."""
        return bool(
            self._is_changing or self.uncompared_cells or self.unemitted or self._first_kind
        )

    @property
    def has_urgent_work(self) -> bool:
        """Whether a list may say that a selected node is draining or gone, and no event says so yet."""
        return bool(self.intake.has_unread or self.uncompared_cells or self.urgent_cells)

    def next_warm_up(self) -> float | None:
        """Return when the next node ends its slow start, or None; the caller runs `advance` at that time."""
        return self.warm_ups.next_time()

    def advance(self, now: float) -> bool:
        """Do one unit of work; return whether there is more."""
        for number in self.warm_ups.pop_due(now):
            self._mark_changed(number, ChangeCause.WARM)
        had_urgent_cells = bool(self.urgent_cells)
        self._do_unit(now)
        if self._is_event_due(had_urgent_cells):
            self._emit_event()
        return self.has_work

    def run_to_end(self, now: float) -> list[ListReceived]:
        """Do all work; return the events."""
        while self.advance(now):
            pass
        events, self.events = self.events, []
        return events

    # --- units of work

    @property
    def _is_changing(self) -> bool:
        """Whether further work may still change the selected nodes."""
        return bool(
            self.intake.has_unread or self.intake.pending or self.urgent_cells or self._stale_cells
        )

    def _do_unit(self, now: float) -> None:
        if self.intake.has_unread:
            self._read_entries()
        elif self.uncompared_cells:
            self._compare_cells()
        elif self.urgent_cells:
            self._select_urgent_cell(now)
        elif self.intake.pending:
            self._index_entries(self.intake.pending)
        elif self._stale_cells:
            number = next(iter(self._stale_cells))
            self._select_cell(number, self._stale_cells.pop(number), now)

    def _read_entries(self) -> None:
        read = self.intake.read_slice()
        if read is None:
            return
        if read.is_snapshot:
            self.uncompared_cells = deque(self.index.cells)
            return
        selected = (self.index.selected(server) for server in read.newest)
        self._mark_urgent(entry for entry in selected if entry is not None)

    def _compare_cells(self) -> None:
        for _ in range(min(COMPARED_CELLS, len(self.uncompared_cells))):
            cell = self.index.cells[self.uncompared_cells.popleft()]
            self._mark_urgent(cell.selected.values())

    def _select_urgent_cell(self, now: float) -> None:
        """Select an urgent cell after indexing its newest entries.

        With the entries in the index, a node that is draining in a newer list could enter the subset (S7).
        """
        number = next(iter(self.urgent_cells))
        cause = self.urgent_cells.pop(number)
        cell = self.index.cells[number]
        self._put_newest([*cell.ranked, *cell.selected.values()])
        self._stale_cells.pop(number, None)
        self._select_cell(number, cause, now)

    def _index_entries(self, pending: PendingEntries) -> None:
        for _ in range(min(INDEXED_ENTRIES, len(pending.unindexed))):
            self._put(pending.newest[pending.unindexed.popleft()])
        if pending.unindexed:
            return
        if pending.is_snapshot and pending.unswept_cells is None:
            pending.unswept_cells = deque(self.index.cells)
        if pending.unswept_cells:
            self._put_newest(self.index.cells[pending.unswept_cells.popleft()].ranked)
        if not pending.unswept_cells:
            self.intake.pending = None

    def _select_cell(self, number: int, cause: ChangeCause, now: float) -> None:
        """Select a cell's nodes again; emit live nodes that entered or changed, then draining ones, then gone ones."""
        cell = self.index.cells[number]
        cell.quota = self.selector.quota(number, now, self.instances)
        wanted = {
            entry.server: entry for entry in self.selector.select(number, now, self.instances)
        }
        for entry in cell.ranked:
            if entry.state is ServerState.DRAINING and entry.server in cell.selected:
                wanted[entry.server] = entry
        before, cell.selected = cell.selected, wanted
        left = [entry for server, entry in before.items() if server not in wanted]
        changed = [entry for server, entry in wanted.items() if before.get(server) != entry]
        entered = tuple(entry.server for entry in changed if entry.server not in before)
        self.unemitted += sorted(changed, key=lambda entry: entry.state is ServerState.DRAINING)
        # A node that moved to another cell may already be selected there.
        self.unemitted += [
            replace(entry, state=ServerState.GONE)
            for entry in left
            if not self.index.selected(entry.server)
        ]
        self.warm_ups.set_time(number, self.selector.next_warm_up(number, now))
        if entered or left:
            left_servers = tuple(entry.server for entry in left)
            self.changes.append(SubsetChange(number, cause, entered, left_servers, cell.quota))

    # --- the index

    def _put_newest(self, entries: Iterable[ServerEntry]) -> None:
        """Index the pending entries of these entries' servers."""
        for entry in self.intake.newest_of(entries):
            self._put(entry)

    def _put(self, entry: ServerEntry) -> None:
        """Index an entry; an entry of this broker or of a cell that does not exist is treated as gone."""
        if entry.server in self.settings.own or not 0 <= entry.cell < self.layout.cells:
            self.left_out += 1
            entry = replace(entry, state=ServerState.GONE)
        if not (math.isfinite(entry.size) and math.isfinite(entry.up_since)):
            entry = replace(entry, size=1.0, up_since=0.0)
        before = self.index.get(entry.server)
        is_gone = entry.state is ServerState.GONE
        if before == entry or (before is None and is_gone):
            return
        if is_gone:
            self.index.remove(entry.server)
        else:
            self.index.put(entry)
            self._mark_changed(entry.cell, ChangeCause.LIST)
        if before is not None:
            self._mark_changed(before.cell, ChangeCause.LIST)

    # --- cells to be selected again

    def _mark_urgent(self, selected: Iterable[ServerEntry]) -> None:
        """Mark cells as urgent that have a selected node whose state or start time has changed (S7)."""
        pending = self.intake.pending
        if pending is None:
            return
        for entry in selected:
            newest = pending.entry_of(entry)
            if newest is None:
                continue
            if (newest.state, newest.up_since) != (entry.state, entry.up_since):
                self.urgent_cells.setdefault(entry.cell, ChangeCause.LIST)

    def _mark_changed(self, number: int, cause: ChangeCause) -> None:
        """Mark a cell as changed, and also the cells that share a shard with it: their quotas depend on its nodes."""
        self._stale_cells.setdefault(number, cause)
        for step in range(1, min(self.layout.reach, self.layout.cells)):
            for other in (number - step, number + step):
                other %= self.layout.cells
                if other in self.index.cells:
                    self._stale_cells.setdefault(other, ChangeCause.QUOTA)

    # --- events

    def _is_event_due(self, had_urgent_cells: bool) -> bool:
        if len(self.unemitted) >= MAX_EVENT_ENTRIES:
            return True
        if self.unemitted and had_urgent_cells and not self.urgent_cells:
            return True
        return not self._is_changing and bool(self.unemitted or self._first_kind)

    def _emit_event(self) -> None:
        kind = self._first_kind or ListKind.CHANGES
        self._first_kind = None
        self.events.append(ListReceived(kind, tuple(self.unemitted)))
        self.unemitted = []


def _clamp_instances(instances: int) -> int:
    return min(max(instances, 1), MAX_BROKERS)
