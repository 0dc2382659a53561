"""Runs a broker's subset on its loop: takes watch events of the endpoint list and passes the subset's events on.

Invariants:
1. Before the loop's first iteration a list is processed completely. After that, one iteration either works for
   `MAX_SLICE_SECONDS` (see "Sliced work" in `stepknot/subsets/subset.py`), or passes one event to the core. Such an
   event has up to `MAX_EVENT_ENTRIES` entries, as the time that the core needs grows with their number.
2. Events of the subset are passed on in their order: a node's replacement is added before the node is removed.
3. While nodes of the subset that drain or left are not passed on, decisions wait, for a bounded time: slices must not
   let new attempts reach them (`stepknot/decisions/send_hold.py`).
4. An error in the subset's code fails no query: it is logged, and the core gets the full list from then on.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client.metrics_core import Metric

from stepknot.broker.subset_change_log import Log, SubsetChangeLog
from stepknot.broker.subset_report import (
    DisabledSubsetView,
    SubsetNodeCounts,
    SubsetReport,
    disabled_gauge,
)
from stepknot.decisions.send_hold import MAX_DECISION_HOLD, SendHold
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import ListKind, ListReceived, ServerEntry, Settings
from stepknot.net.loop import Loop
from stepknot.net.tasks import NEXT_TURN, Coroutine, Timer
from stepknot.subsets.model import CellLayout, SubsetSettings
from stepknot.subsets.subset import Subset

# A slice may exceed this by its last unit of work, and still ends well within the 5 ms for which queries may wait.
MAX_SLICE_SECONDS = 0.002
# Entries of one event for the core. The core logs each entry (about 30 us), and iterates over all nodes once per event.
MAX_EVENT_ENTRIES = 32


class SubsetDriver:
    """Takes watch events from `DrainedEndpoints` and passes the subset's events to the core by `on_list`.

    Attributes:
        fault: The error in the subset's code because of which the full list is used; empty if there was none.
        outgoing: Events for the core with up to MAX_EVENT_ENTRIES entries; each iteration passes on one of them.
        longest_slice: The longest time so far, in seconds, for which the subset occupied the loop.
        slice_timer: Starts the next slice while there is work.
        warm_up_timer: Fires when the next slow start of a node ends.
    """

    def __init__(
        self,
        loop: Loop,
        settings: SubsetSettings,
        fleet: Settings,
        listed: DrainedEndpoints,
        on_list: Callable[[ListReceived], None],
        log: Log,
    ) -> None:
        self.settings = settings
        self.listed = listed
        layout = CellLayout(fleet.cells, fleet.reach, fleet.rules.cold_time)
        self.subset = Subset(settings, layout, fleet.instances)
        self.change_log = SubsetChangeLog(loop.clock, log)
        self.fault = ""
        self.outgoing: deque[ListReceived] = deque()
        self.longest_slice = 0.0
        self.slice_timer: Timer | None = None
        self.warm_up_timer: Timer | None = None
        self._loop = loop
        self._on_list = on_list
        self._log = log
        self._report = SubsetReport(loop, self.subset, self.change_log)
        self._has_logged_own_address = False
        self._hold = SendHold(MAX_DECISION_HOLD)

    # --- input

    def on_watch_event(self, event: ListReceived) -> None:
        """Apply a watch event of the endpoint list."""
        if self.fault or event.kind is ListKind.FAILED:
            self._on_list(self._full_event(event.kind, event.entries))
            return
        began = self._loop.clock()
        self._guard(lambda: self.subset.on_watch_event(event))
        self._log_own_address()
        self._start_work(began)

    def set_instances(self, instances: int) -> None:
        """Set the upper bound of the number of brokers."""
        if self.fault:
            return
        self._guard(lambda: self.subset.set_instances(instances))
        self._start_work()

    def _log_own_address(self) -> None:
        """Log once if the list names this broker as a node: queries sent there would come back to this broker."""
        listed = sorted(self.settings.own & self.listed.entries.keys())
        if listed and not self._has_logged_own_address:
            self._has_logged_own_address = True
            self._log("own_address_listed", addresses=listed)

    # --- work

    def _start_work(self, began: float | None = None) -> None:
        """Process everything before the loop's first iteration, and one slice in later iterations.

        Args:
            began: When the subset started to work in this iteration, by the loop's clock; None for now.
        """
        if self.fault or self.slice_timer is not None:
            return
        if self._loop.turns > 0:
            self._run_slice(began)
            return
        self._guard(self._process_all)
        while self.outgoing:
            self._on_list(self.outgoing.popleft())

    def _process_all(self) -> None:
        """Do all work and combine the events into one, as no query is served yet."""
        events = self.subset.run_to_end(self._loop.clock())
        if events:
            entries = tuple(entry for event in events for entry in event.entries)
            self.outgoing.append(ListReceived(events[0].kind, entries))
        self._record_changes()
        self.change_log.flush()
        self._set_warm_up_timer()

    def _run_slice(self, began: float | None = None) -> None:
        """Do the work of one slice, and schedule the next slice if there is more work."""
        self.slice_timer = None
        began = self._loop.clock() if began is None else began
        if self.outgoing:
            self._on_list(self.outgoing.popleft())
        else:
            self._guard(lambda: self._advance_subset(began + MAX_SLICE_SECONDS))
        self.longest_slice = max(self.longest_slice, self._loop.clock() - began)
        if not self.fault and (self.outgoing or self.subset.has_work):
            self.slice_timer = self._loop.call_later(NEXT_TURN, self._run_slice)

    def _advance_subset(self, until: float) -> None:
        """Do units of work until the given time or the first event, which is passed on before more is selected."""
        subset, clock = self.subset, self._loop.clock
        has_more = True
        while has_more and clock() < until:
            has_more = subset.advance(clock())
            if subset.events:
                break
        for event in subset.events:
            self.outgoing += split_event(event)
        subset.events = []
        self._record_changes()
        if not has_more or self.change_log.is_due():
            self.change_log.flush()
        if not has_more:
            self._set_warm_up_timer()

    def must_decisions_wait(self) -> bool:
        """Whether decisions wait for what the list says of the subset's nodes; called once in an iteration."""
        is_behind = not self.fault and bool(self.outgoing or self.subset.has_urgent_work)
        return self._hold.should_wait(self._loop.turns, self._loop.now, is_behind)

    def _record_changes(self) -> None:
        changes, self.subset.changes = self.subset.changes, []
        self.change_log.record(changes)

    def _set_warm_up_timer(self) -> None:
        if self.warm_up_timer is not None:
            self.warm_up_timer.cancel()
            self.warm_up_timer = None
        at = self.subset.next_warm_up()
        if at is not None:
            self.warm_up_timer = self._loop.call_at(at, self._start_work)

    # --- errors in the subset's code

    def _guard(self, work: Callable[[], None]) -> None:
        try:
            work()
        except Exception as error:  # noqa: BLE001 - after any error, queries continue with all nodes
            self.fall_back(error)

    def fall_back(self, error: Exception) -> None:
        """Use the full list from now on. It replaces the list that the core has."""
        self.fault = f"{type(error).__name__}: {error}"
        for timer in (self.slice_timer, self.warm_up_timer):
            if timer is not None:
                timer.cancel()
        self.slice_timer = self.warm_up_timer = None
        self._loop.on_error("subset", error)
        self._log("subset_disabled", reason=self.fault, nodes=len(self.listed.entries))
        entries = map(self.listed.mark_drained, self.listed.entries.values())
        self._on_list(self._full_event(ListKind.FULL, entries))

    def _full_event(self, kind: ListKind, entries: Iterable[ServerEntry]) -> ListReceived:
        """A watch event with all entries, except those of this broker's own addresses.

        No source of a list sets `sharers`, so the capacity of a node in slow start is divided by all brokers.
        """
        own = self.settings.own
        return ListReceived(kind, tuple(entry for entry in entries if entry.server not in own))

    # --- operators

    def report(self, with_nodes: bool) -> Coroutine:
        """The answer of `/subset`, as a dict; with each node of the subset if `with_nodes` is set.

        It is a coroutine, as a large list is counted in slices.
        """
        began = self._loop.clock()
        if self.fault:
            nodes = len(self.listed.entries)
            return DisabledSubsetView(self.settings.identity, self.fault, nodes).as_answer()
        until = began + MAX_SLICE_SECONDS
        node_counts = SubsetNodeCounts(self.subset, began, with_nodes)
        for cell in list(self.subset.index.cells.values()):
            node_counts.add_cell(cell)
            if self._loop.clock() >= until:
                yield from self._loop.wait_for_next_turn()
                until = self._loop.clock() + MAX_SLICE_SECONDS
        return self._report.view(node_counts, self.longest_slice).as_answer()

    def explain(self, server: str) -> dict[str, Any] | None:
        """Why a node is, or is not, in the subset; None if the list has no such node or the subset is disabled."""
        return None if self.fault else self._report.explain(server)

    def collect(self) -> list[Metric]:
        """The metrics whose names start with `stepknot_subset`."""
        disabled = disabled_gauge(bool(self.fault))
        if self.fault:
            return [disabled]
        return [disabled, *self._report.metrics(self.longest_slice)]


def split_event(event: ListReceived) -> list[ListReceived]:
    """Split an event into events of up to MAX_EVENT_ENTRIES entries; all but the first are of kind CHANGES."""
    first, *rest = [
        event.entries[start : start + MAX_EVENT_ENTRIES]
        for start in range(0, len(event.entries), MAX_EVENT_ENTRIES)
    ] or [()]
    changes = [ListReceived(ListKind.CHANGES, entries) for entries in rest]
    return [ListReceived(event.kind, first), *changes]
