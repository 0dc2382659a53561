"""One broker's subset: what is used of the list, and what changed.

The caller hands over lists as they come (`take`), asks for units of work that each take a fraction of a millisecond
(`advance`) until there is none, and passes on what `out` holds. A list of any length is so taken in without keeping
the loop; a held node that drains or is gone comes before all other work.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.choice import cell_quota, choose_warm, draw, holders_quota
from stepknot.subsets.cold import cold_share
from stepknot.subsets.index import Index
from stepknot.subsets.model import MAX_COUNT, Cause, Changed, Shape, SubsetSettings

# Bounds of a unit of work, each with its time at 36,000 nodes in cells of 62.
READ_AT_ONCE = 1024  # entries of a list that are read: 0.3 ms
SEARCHED_AT_ONCE = 64  # cells whose held nodes are compared with a whole list: 0.2 ms
TAKEN_AT_ONCE = 32  # entries that are taken into the index: 0.1 ms
TOLD_AT_ONCE = (
    128  # entries in an event for the module, and those of one cell: 3 ms of it at 2,300 nodes
)
STALE_TIMES = 4  # for each cell, kept in the heap of those when a node is warm


@dataclass(slots=True)
class Unread:
    """A list of which the first `read` entries are in `words`."""

    whole: bool
    entries: tuple[ServerEntry, ...]
    words: dict[str, ServerEntry]
    read: int = 0


@dataclass(slots=True)
class Pending:
    """What is read and not wholly taken in: the last word of each node, of as many lists as came. A whole list stands
    for all before it; changes are put into it, so that no older word is left that could follow a newer one."""

    whole: bool
    words: dict[str, ServerEntry]
    names: deque[str]  # not taken in yet
    sweep: deque[int] | None = (
        None  # cells still to be searched for what a whole list does not name
    )

    def word(self, entry: ServerEntry) -> ServerEntry | None:
        """What is said of a node; None: nothing."""
        found = self.words.get(entry.server)
        return replace(entry, state=ServerState.GONE) if found is None and self.whole else found


class Subset:
    """The decisions of one broker. `out` and `changes` are emptied by the caller."""

    def __init__(self, settings: SubsetSettings, shape: Shape, instances: int) -> None:
        self.settings, self.shape = settings, shape
        self.instances = min(max(instances, 1), MAX_COUNT)
        self.index = Index(settings)
        self.unread: deque[Unread] = deque()
        self.pending: Pending | None = None
        self.search: deque[int] = (
            deque()
        )  # cells whose held nodes are still to be compared with a whole list
        self.urgent: dict[
            int, Cause
        ] = {}  # cells to be chosen anew, and why: at once, or once lists are taken in
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
        """Queue a list; a whole one replaces those before it."""
        if event.kind is ListKind.FAILED:
            self.out.append(event)
            return
        whole = event.kind is not ListKind.CHANGES
        if not self.heard:
            self.heard, self.first = True, event.kind
        if whole:
            self.unread.clear()
        at_once = len(event.entries) if whole else READ_AT_ONCE
        for place in range(0, max(len(event.entries), 1), max(at_once, 1)):
            self.unread.append(Unread(whole, event.entries[place : place + at_once], {}))

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
        return bool(
            self.unread
            or self.search
            or self.pending
            or self.urgent
            or self.dirty
            or self.told
            or self.first
        )

    def next_warm(self) -> float | None:
        """When a cold node becomes warm next: `advance` is wanted then."""
        return self.warming[0][0] if self.warming else None

    def advance(self, now: float) -> bool:
        """One unit of work; whether there is more. Lists are read first: only then is known what is urgent."""
        while self.warming and self.warming[0][0] <= now:
            self.mark(heapq.heappop(self.warming)[1], Cause.WARM, self.dirty)
        urgent = bool(self.urgent)
        if self.unread:
            self.read_some(self.unread[0])
        elif self.search:
            self.search_some()
        elif self.urgent:
            self.settle_urgent(now)
        elif self.pending:
            self.take_some(self.pending)
        elif self.dirty:
            number = next(iter(self.dirty))
            self.settle(number, self.dirty.pop(number), now)
        idle = not (self.unread or self.pending or self.urgent or self.dirty)
        if (
            len(self.told) >= TOLD_AT_ONCE
            or self.told
            and urgent
            and not self.urgent
            or idle
            and (self.told or self.first)
        ):
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

    def read_some(self, unread: Unread) -> None:
        some = unread.entries[unread.read : unread.read + READ_AT_ONCE]
        unread.words.update((entry.server, entry) for entry in some)
        unread.read += READ_AT_ONCE
        if unread.read < len(unread.entries):
            return
        self.unread.popleft()
        if unread.whole or self.pending is None:
            self.pending = Pending(unread.whole, unread.words, deque(unread.words))
        else:
            self.pending.words.update(unread.words)
            self.pending.names += unread.words
        if unread.whole:
            self.search = deque(self.index.cells)
        else:
            self.find_urgent(
                entry for server in unread.words if (entry := self.index.held(server)) is not None
            )

    def search_some(self) -> None:
        for _ in range(min(SEARCHED_AT_ONCE, len(self.search))):
            self.find_urgent(self.index.cells[self.search.popleft()].held.values())

    def find_urgent(self, held: Iterable[ServerEntry]) -> None:
        """Cells with a held node that is not to be used any more, or that is another process and cold (rule 3)."""
        for entry in held:
            word = self.pending.word(entry) if self.pending is not None else None
            if word is not None and (word.state, word.up_since) != (entry.state, entry.up_since):
                self.urgent.setdefault(entry.cell, Cause.LIST)

    def take_some(self, pending: Pending) -> None:
        for _ in range(min(TAKEN_AT_ONCE, len(pending.names))):
            self.put(pending.words[pending.names.popleft()])
        if pending.names:
            return
        if pending.whole and pending.sweep is None:
            pending.sweep = deque(self.index.cells)
        if pending.sweep:
            self.take_words(self.index.cells[pending.sweep.popleft()].entries)
        if not pending.sweep:
            self.pending = None

    def take_words(self, entries: Iterable[ServerEntry]) -> None:
        """What the lists that are read say of these."""
        for entry in list(entries):
            word = self.pending.word(entry) if self.pending is not None else None
            if word is not None:
                self.put(word)

    def put(self, entry: ServerEntry) -> None:
        if entry.server in self.settings.own or not 0 <= entry.cell < self.shape.cells:
            self.left_out += 1
            entry = replace(entry, state=ServerState.GONE)
        if not (
            math.isfinite(entry.size) and math.isfinite(entry.up_since)
        ):  # as if they were not told
            entry = replace(entry, size=1.0, up_since=0.0)
        before = self.index.get(entry.server)
        if before == entry or before is None and entry.state is ServerState.GONE:
            return
        if entry.state is ServerState.GONE:
            self.index.remove(entry.server)
        else:
            self.index.put(entry)
            self.mark(entry.cell, Cause.LIST, self.dirty)
        if before is not None:
            self.mark(before.cell, Cause.LIST, self.dirty)

    def mark(self, number: int, cause: Cause, marks: dict[int, Cause]) -> None:
        """This cell, and those that hold a shard with it: their quotas follow its count of live nodes."""
        marks.setdefault(number, cause)
        for step in range(1, min(self.shape.reach, self.shape.cells)):
            for other in ((number - step) % self.shape.cells, (number + step) % self.shape.cells):
                if other in self.index.cells:
                    self.dirty.setdefault(other, Cause.QUOTA)

    # --- the choice

    def quota(self, number: int, now: float) -> int:
        """How many warm nodes of a cell are wanted: as many as if none were cold, and as the warm ones need (S1)."""
        shape, live = self.shape, self.index.live
        dither = draw(self.settings.identity, f"\0cell {number}")  # no node's name
        needed = [
            cell_quota(number, live, shape.cells, shape.reach, self.settings.size),
            holders_quota(live(number), self.settings.holders, self.instances, dither),
        ]
        if shape.reach > 1:
            needed.append(
                cell_quota(
                    number,
                    lambda each: self.warm(each, now),
                    shape.cells,
                    shape.reach,
                    self.settings.size,
                )
            )
        return max(needed)

    def warm(self, number: int, now: float) -> int:
        cell = self.index.cells.get(number)
        entries = cell.entries if cell is not None else ()
        return sum(
            entry.state is ServerState.LIVE and not self.cold(entry, now) for entry in entries
        )

    def cold(self, entry: ServerEntry, now: float) -> bool:
        return entry.up_since > 0 and now < entry.up_since + self.shape.cold_time

    def choose(self, number: int, now: float) -> list[ServerEntry]:
        """The live nodes wanted of a cell; cold ones with what their budget is divided by (S1 to S3, S8, S9)."""
        cell, quota = self.index.cells[number], self.index.cells[number].quota
        warm: list[ServerEntry] = []
        cold: list[ServerEntry] = []
        share = cold_share(quota, cell.live, self.instances)
        for entry in cell.entries:
            if entry.state is not ServerState.LIVE:
                continue
            if not self.cold(entry, now):
                warm.append(entry)
            elif (
                len(warm) < quota
                and len(cold) < quota
                and share.may_send(self.index.drawn(entry.server))
            ):
                cold.append(replace(entry, sharers=share.divisor))
        return choose_warm(warm, quota, self.index.tier) + cold

    def settle_urgent(self, now: float) -> None:
        """Choose by the newest words: a list still being taken in may say that what would enter drains too."""
        number = next(iter(self.urgent))
        cause = self.urgent.pop(number)
        cell = self.index.cells[number]
        self.take_words([*cell.entries, *cell.held.values()])
        self.dirty.pop(number, None)
        self.settle(number, cause, now)

    def settle(self, number: int, cause: Cause, now: float) -> None:
        """Choose a cell's nodes anew and tell what changed: what enters first, then what drains, then what is left."""
        cell = self.index.cells[number]
        cell.quota = self.quota(number, now)
        wanted = {entry.server: entry for entry in self.choose(number, now)}
        for entry in cell.entries:
            if entry.state is ServerState.DRAINING and entry.server in cell.held:
                wanted[entry.server] = entry
        left = [entry for server, entry in cell.held.items() if server not in wanted]
        new = [entry for server, entry in wanted.items() if cell.held.get(server) != entry]
        entered = tuple(entry.server for entry in new if entry.server not in cell.held)
        self.told += sorted(new, key=lambda entry: entry.state is ServerState.DRAINING)
        cell.held = wanted
        # One that moved may be held by its new cell by now.
        self.told += [
            replace(entry, state=ServerState.GONE)
            for entry in left
            if not self.index.held(entry.server)
        ]
        self.watch_warming(number, now)
        if entered or left:
            self.changes.append(
                Changed(number, cause, entered, tuple(entry.server for entry in left), cell.quota)
            )

    def watch_warming(self, number: int, now: float) -> None:
        """A cell is chosen anew when its next cold node is warm."""
        cell = self.index.cells[number]
        warm_at = min(
            (
                entry.up_since + self.shape.cold_time
                for entry in cell.entries
                if self.cold(entry, now)
            ),
            default=0.0,
        )
        if warm_at and warm_at != cell.warm_at:
            heapq.heappush(self.warming, (warm_at, number))
        cell.warm_at = warm_at
        if len(self.warming) > STALE_TIMES * len(self.index.cells):  # of nodes that came and went
            self.warming = [
                (each.warm_at, place) for place, each in self.index.cells.items() if each.warm_at
            ]
            heapq.heapify(self.warming)
