"""One broker's subset: what is used of the list, and what changed.

The caller hands over lists as they come (`take`), asks for units of work that each take a fraction of a millisecond
(`advance`) until there is none, and passes on what `out` holds. A list of any length is so taken in without keeping
the loop; a held node that drains or is gone comes before all other work.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.choice import cell_quota, choose_warm, draw, holders_quota
from stepknot.subsets.cold import cold_share
from stepknot.subsets.index import Index
from stepknot.subsets.model import MAX_COUNT, Cause, Changed, Shape, SubsetSettings

TAKEN_AT_ONCE = 32  # entries of a list in a unit of work: some 0.1 ms
TOLD_AT_ONCE = 128  # entries in an event for the module: 3 ms of it at 2,300 nodes


@dataclass(slots=True)
class Pending:
    """A list that is not wholly taken in. `live`: whether each node that it names is so; `later` are nodes of which a
    later list's word was taken already."""

    whole: bool
    entries: deque[ServerEntry]
    live: dict[str, bool]
    named: set[str] = field(default_factory=set)
    later: set[str] = field(default_factory=set)
    sweep: deque[int] | None = None  # cells still to be searched for what a whole list does not name


class Subset:
    """The decisions of one broker. `out` and `changes` are emptied by the caller."""

    def __init__(self, settings: SubsetSettings, shape: Shape, instances: int) -> None:
        self.settings, self.shape = settings, shape
        self.instances = min(max(instances, 1), MAX_COUNT)
        self.index = Index(settings)
        self.pending: deque[Pending] = deque()
        self.urgent: dict[int, Cause] = {}  # cells to be chosen anew, and why: at once, or once lists are taken in
        self.dirty: dict[int, Cause] = {}
        self.warming: list[tuple[float, int]] = []  # when a cold node is warm, and its cell: a heap
        self.told: list[ServerEntry] = []  # not yet in an event
        self.first: ListKind | None = None  # kind of the first event, until it is told
        self.heard = False
        self.out: list[ListReceived] = []
        self.changes: list[Changed] = []
        self.left_out = 0  # entries that name this broker, or a cell that no shard has

    # --- what is told

    def take(self, event: ListReceived) -> None:
        """Queue a list. A held node that drains or is gone by it is taken in now, before the rest (rule 3)."""
        if event.kind is ListKind.FAILED:
            self.out.append(event)
            return
        whole = event.kind is not ListKind.CHANGES
        if not self.heard:
            self.heard, self.first = True, event.kind
        ended = self.ended(event.entries, whole)
        for entry in ended:
            for each in self.pending:
                each.later.add(entry.server)
            self.put(entry, Cause.LIST, self.urgent)
        live = {entry.server: entry.state is ServerState.LIVE for entry in event.entries}
        self.pending.append(Pending(whole, deque(event.entries), live))

    def ended(self, entries: Iterable[ServerEntry], whole: bool) -> list[ServerEntry]:
        """The held nodes that are not live any more by this list."""
        if not whole:
            return [entry for entry in entries
                    if entry.state is not ServerState.LIVE and self.index.held(entry.server)]
        held = {server: entry for cell in self.index.cells.values() for server, entry in cell.held.items()}
        named = {entry.server: entry for entry in entries if entry.server in held}
        found = [named.get(server) or replace(entry, state=ServerState.GONE) for server, entry in held.items()]
        return [entry for entry in found if entry.state is not ServerState.LIVE]

    def count(self, instances: int) -> None:
        """No more brokers than this may be there: quotas and the division of cold budgets follow."""
        instances = min(max(instances, 1), MAX_COUNT)
        if instances != self.instances:
            self.instances = instances
            for number in self.index.cells:
                self.dirty.setdefault(number, Cause.COUNT)

    # --- work

    @property
    def busy(self) -> bool:
        return bool(self.pending or self.urgent or self.dirty or self.told)

    def next_warm(self) -> float | None:
        """When a cold node becomes warm next: `advance` is wanted then."""
        return self.warming[0][0] if self.warming else None

    def advance(self, now: float) -> bool:
        """One unit of work; whether there is more."""
        while self.warming and self.warming[0][0] <= now:
            self.dirty.setdefault(heapq.heappop(self.warming)[1], Cause.WARM)
        hurried = bool(self.urgent)
        if self.urgent:
            self.settle_first(self.urgent, now)
        elif self.pending:
            self.take_some(self.pending[0])
        elif self.dirty:
            self.settle_first(self.dirty, now)
        done = not self.urgent and (hurried or not (self.pending or self.dirty))  # a drain waits for nothing else
        if self.told and (done or len(self.told) >= TOLD_AT_ONCE):
            self.tell()
        return self.busy

    def finish(self, now: float) -> list[ListReceived]:
        """All there is to do, in one go."""
        while self.advance(now):
            pass
        found, self.out = self.out, []
        return found

    def tell(self) -> None:
        kind, self.first = self.first or ListKind.CHANGES, None
        self.out.append(ListReceived(kind, tuple(self.told)))
        self.told = []

    # --- the list

    def take_some(self, pending: Pending) -> None:
        for _ in range(min(TAKEN_AT_ONCE, len(pending.entries))):
            entry = pending.entries.popleft()
            pending.named.add(entry.server)
            if entry.server not in pending.later:
                self.put(entry, Cause.LIST, self.dirty)
        if pending.entries:
            return
        if pending.whole and pending.sweep is None:
            pending.sweep = deque(self.index.cells)
        if pending.sweep:
            self.drop_unnamed(pending, pending.sweep.popleft())
        if not pending.sweep:
            self.pending.popleft()

    def drop_unnamed(self, pending: Pending, number: int) -> None:
        for entry in [each for each in self.index.cells[number].entries
                      if each.server not in pending.named and each.server not in pending.later]:
            self.put(replace(entry, state=ServerState.GONE), Cause.LIST, self.dirty)

    def put(self, entry: ServerEntry, cause: Cause, marks: dict[int, Cause]) -> None:
        if entry.server in self.settings.own or not 0 <= entry.cell < self.shape.cells:
            self.left_out += 1
            entry = replace(entry, state=ServerState.GONE)
        if self.index.get(entry.server) == entry:
            return
        before = self.index.where.get(entry.server)
        if entry.state is ServerState.GONE:
            self.index.remove(entry.server)
        else:
            self.index.put(entry)
        for number in {before, self.index.where.get(entry.server)}:
            if number is not None:
                self.mark(number, cause, marks)

    def mark(self, number: int, cause: Cause, marks: dict[int, Cause]) -> None:
        """This cell, and those that hold a shard with it: their quotas follow its count of live nodes."""
        marks.setdefault(number, cause)
        for step in range(1, min(self.shape.reach, self.shape.cells)):
            for other in ((number - step) % self.shape.cells, (number + step) % self.shape.cells):
                if other in self.index.cells:
                    self.dirty.setdefault(other, Cause.QUOTA)

    # --- the choice

    def quota(self, number: int) -> int:
        """How many warm nodes of a cell are wanted."""
        shape, live = self.shape, self.index.live
        dither = draw(self.settings.identity, f"cell {number}")
        return max(cell_quota(number, live, shape.cells, shape.reach, self.settings.size),
                   holders_quota(live(number), self.settings.holders, self.instances, dither))

    def cold(self, entry: ServerEntry, now: float) -> bool:
        return entry.up_since > 0 and now < entry.up_since + self.shape.cold_time

    def ends(self, server: str) -> bool:
        """Whether a list that is not wholly taken in says that the node is not live any more: the last word counts."""
        for each in reversed(self.pending):
            live = each.live.get(server)
            if live is not None:
                return not live
            if each.whole:
                return True
        return False

    def choose(self, number: int, now: float) -> list[ServerEntry]:
        """The live nodes wanted of a cell; cold ones with what their budget is divided by (S1 to S3, S8, S9)."""
        cell, quota = self.index.cells[number], self.index.cells[number].quota
        warm: list[ServerEntry] = []
        cold: list[ServerEntry] = []
        share = cold_share(quota, cell.live, self.instances)
        for entry in cell.entries:
            if entry.state is not ServerState.LIVE or self.ends(entry.server):
                continue
            if not self.cold(entry, now):
                warm.append(entry)
            elif len(warm) < quota and len(cold) < quota and share.may_send(self.index.drawn(entry.server)):
                cold.append(replace(entry, sharers=share.divisor))
        return choose_warm(warm, quota, self.index.tier) + cold

    def settle_first(self, marks: dict[int, Cause], now: float) -> None:
        number = next(iter(marks))
        cause = marks.pop(number)
        if marks is self.urgent:
            self.dirty.pop(number, None)
        self.settle(number, cause, now)

    def settle(self, number: int, cause: Cause, now: float) -> None:
        """Choose a cell's nodes anew and tell what changed: what enters first, then what drains, then what is left."""
        cell = self.index.cells[number]
        cell.quota = self.quota(number)
        wanted = {entry.server: entry for entry in self.choose(number, now)}
        for entry in cell.entries:
            if entry.state is ServerState.DRAINING and entry.server in cell.held:
                wanted[entry.server] = entry
        left = [entry for server, entry in cell.held.items() if server not in wanted]
        new = [entry for server, entry in wanted.items() if cell.held.get(server) != entry]
        entered = tuple(entry.server for entry in new if entry.server not in cell.held)
        self.told += sorted(new, key=lambda entry: entry.state is ServerState.DRAINING)
        self.told += [replace(entry, state=ServerState.GONE) for entry in left]
        cell.held = wanted
        self.watch_warming(number, now)
        if entered or left:
            self.changes.append(Changed(number, cause, entered, tuple(entry.server for entry in left), cell.quota))

    def watch_warming(self, number: int, now: float) -> None:
        """A cell is chosen anew when its next cold node is warm."""
        cell = self.index.cells[number]
        warm_at = min((entry.up_since + self.shape.cold_time for entry in cell.entries if self.cold(entry, now)),
                      default=0.0)
        if warm_at and warm_at != cell.warm_at:
            heapq.heappush(self.warming, (warm_at, number))
        cell.warm_at = warm_at
