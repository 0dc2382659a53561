"""The subset on the broker's loop: lists come in here before the core sees them, and only what is used goes on.

Invariants:
1. Until the loop's first turn a list is taken in at one go. From then on a turn does work for `SLICE` at the most, or
   hands one event of `MAX_HANDED` entries to the core, whose share of the turn grows with them.
2. What the subset says is handed on in its order: what replaces a node goes before the node.
3. A defect of the subset's own costs no query: the core gets the whole list, at once and from then on, and it is told.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import asdict
from typing import Any

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.discovery.drained_endpoints import Drained
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState, Settings
from stepknot.net.loop import NEXT_TURN, Coroutine, Loop, Timer
from stepknot.subsets.explanation import explain
from stepknot.subsets.model import CellLayout, ChangeCause, SubsetChange, SubsetSettings
from stepknot.subsets.subset import Subset

SLICE = 0.002  # seconds of a turn: with the unit of work that ends it, well under the 5 ms for which queries may wait
# Entries in an event for the core. It logs each (some 30 us) and goes through all nodes in use once an event.
MAX_HANDED = 32
MAX_TOLD = 8  # cells with an event of their own: of more that change in one go, one event says how many and why
MAX_NAMED = 16  # nodes named in an event, of each kind; the numbers are told in full
TELL_WITHIN = 1.0  # seconds after which changes are told though the work goes on
COLUMNS = (
    "listed",
    "live",
    "warm",
    "cold",
    "draining",
)  # of a zone's nodes: on the list, and in use
Log = Callable[..., None]


class SubsetDriver:
    """Stands between `Drained` and the core: `take` is where the list comes in, `on_list` where the subset goes."""

    def __init__(
        self,
        loop: Loop,
        settings: SubsetSettings,
        fleet: Settings,
        listed: Drained,
        on_list: Callable[[ListReceived], None],
        log: Log,
    ) -> None:
        self.loop, self.listed, self.on_list, self.log = loop, listed, on_list, log
        self.settings = settings
        self.subset = Subset(
            settings, CellLayout(fleet.cells, fleet.reach, fleet.rules.cold_time), fleet.instances
        )
        self.off = ""  # why the whole list is used
        self.ready: deque[ListReceived] = (
            deque()
        )  # for the core, one a turn; of MAX_HANDED entries at the most
        self.untold: deque[SubsetChange] = deque(maxlen=MAX_TOLD)  # the first of those in `tally`
        self.tally: Counter[ChangeCause] = Counter()
        self.tally_nodes: Counter[str] = Counter()
        self.tally_since = 0.0
        self.changed: Counter[ChangeCause] = Counter()
        self.longest_slice = 0.0
        self.own_named = False
        self.turn: Timer | None = None  # the next slice
        self.warm: Timer | None = None  # when a cold node is warm

    # --- what comes in

    def take(self, event: ListReceived) -> None:
        if self.off or event.kind is ListKind.FAILED:
            self.on_list(self.whole(event.kind, event.entries))
            return
        begun = self.loop.clock()
        self.guarded(lambda: self.subset.on_watch_event(event))
        self.note_own()
        self.begin(begun)

    def count(self, instances: int) -> None:
        """No more brokers than this may be there."""
        if not self.off:
            self.guarded(lambda: self.subset.set_instances(instances))
            self.begin()

    def note_own(self) -> None:
        """A list that names this broker as a node is told once: what is sent there would come back here."""
        found = sorted(self.settings.own & self.listed.entries.keys())
        if found and not self.own_named:
            self.own_named = True
            self.log("list_names_this_broker", addresses=found)

    # --- work

    def begin(self, begun: float | None = None) -> None:
        """`begun`: since when this turn is held up already."""
        if self.off or self.turn is not None:
            return
        if self.loop.turns > 0:
            self.slice(begun)
            return
        self.guarded(self.decide_all)
        while self.ready:
            self.on_list(self.ready.popleft())

    def decide_all(self) -> None:
        """Nothing is served yet: all of it, as one event."""
        found = self.subset.run_to_end(self.loop.clock())
        if found:
            entries = tuple(entry for event in found for entry in event.entries)
            self.ready.append(ListReceived(found[0].kind, entries))
        self.note_changes()
        self.tell_changes()
        self.watch_warming()

    def slice(self, begun: float | None = None) -> None:
        """A turn's share of the work, and the next turn's if there is more."""
        self.turn = None
        begun = self.loop.clock() if begun is None else begun
        if self.ready:
            self.on_list(self.ready.popleft())
        else:
            self.guarded(lambda: self.work(begun + SLICE))
        self.longest_slice = max(self.longest_slice, self.loop.clock() - begun)
        if not self.off and (self.ready or self.subset.has_work):
            self.turn = self.loop.call_later(NEXT_TURN, self.slice)

    def work(self, until: float) -> None:
        subset, clock = self.subset, self.loop.clock
        more = True
        while more and clock() < until:
            more = subset.advance(clock())
            if subset.events:
                break  # handed over before more is decided
        for event in subset.events:
            self.ready += parts(event)
        subset.events = []
        self.note_changes()
        if not more or clock() >= self.tally_since + TELL_WITHIN:
            self.tell_changes()
        if not more:
            self.watch_warming()

    def watch_warming(self) -> None:
        if self.warm is not None:
            self.warm.cancel()
        at = self.subset.next_warm_up()
        self.warm = self.loop.call_at(at, self.begin) if at is not None else None

    # --- a defect of its own

    def guarded(self, what: Callable[[], None]) -> None:
        try:
            what()
        except Exception as error:  # noqa: BLE001 - whatever it is, queries go on with all nodes
            self.fall_back(error)

    def fall_back(self, error: Exception) -> None:
        """The whole list from now on. It holds what the core had of it, and what the core has is so replaced."""
        self.off = f"{type(error).__name__}: {error}"
        for timer in (self.turn, self.warm):
            if timer is not None:
                timer.cancel()
        self.turn = self.warm = None
        self.loop.on_error("subset", error)
        self.log("subset_off", reason=self.off, nodes=len(self.listed.entries))
        self.on_list(self.whole(ListKind.FULL, map(self.listed.seen, self.listed.entries.values())))

    def whole(self, kind: ListKind, entries: Iterable[ServerEntry]) -> ListReceived:
        """As without a subset: no source of a list tells `sharers`, a cold node's budget is all brokers'. Only this
        broker itself is still left out."""
        return ListReceived(
            kind, tuple(entry for entry in entries if entry.server not in self.settings.own)
        )

    # --- what is told

    def note_changes(self) -> None:
        changes, self.subset.changes = self.subset.changes, []
        if changes and not self.tally:
            self.tally_since = self.loop.clock()
        for change in changes:
            self.changed[change.cause] += 1
            self.tally[change.cause] += 1
            self.tally_nodes["entered"] += len(change.entered)
            self.tally_nodes["left"] += len(change.left)
            if len(self.untold) < MAX_TOLD:
                self.untold.append(change)

    def tell_changes(self) -> None:
        """MAX_TOLD events at the most; of more changes one, with their number by cause and the first cells."""
        cells = self.tally.total()
        if cells <= MAX_TOLD:
            for each in self.untold:
                self.log(
                    "subset_changed",
                    cell=each.cell,
                    cause=each.cause.value,
                    quota=each.quota,
                    entered=list(each.entered[:MAX_NAMED]),
                    left=list(each.left[:MAX_NAMED]),
                    entered_count=len(each.entered),
                    left_count=len(each.left),
                )
        else:
            self.log(
                "subset_changed",
                cells=cells,
                causes={cause.value: count for cause, count in self.tally.items()},
                first_cells=[each.cell for each in self.untold],
                entered_count=self.tally_nodes["entered"],
                left_count=self.tally_nodes["left"],
            )
        self.untold.clear()
        self.tally.clear()
        self.tally_nodes.clear()

    # --- operators

    def state(self, entry: ServerEntry, now: float) -> str:
        if entry.state is ServerState.DRAINING:
            return "draining"
        return "cold" if self.subset.selector.is_warming_up(entry, now) else "warm"

    def quotas(self) -> list[int]:
        return [cell.quota for cell in self.subset.index.cells.values() if cell.ranked]

    def survey(self, with_held: bool) -> Coroutine:
        """All there is to know of the subset from here, by zone. A large list is gone through in slices."""
        subset, now = self.subset, self.loop.clock()
        rows: dict[str, Counter[str]] = {}
        held: list[dict[str, Any]] = []
        until = now + SLICE
        if self.off:
            return {
                "identity": self.settings.identity,
                "off": self.off,
                "nodes": len(self.listed.entries),
            }
        for cell in list(subset.index.cells.values()):
            for entry in cell.ranked:
                row = rows.setdefault(entry.zone, Counter())
                row["listed"] += 1
                row["live"] += entry.state is ServerState.LIVE
            for entry in cell.selected.values():
                rows.setdefault(entry.zone, Counter())[self.state(entry, now)] += 1
                if with_held:
                    held.append(
                        {
                            "server": entry.server,
                            "zone": entry.zone,
                            "cell": entry.cell,
                            "state": self.state(entry, now),
                            "sharers": round(entry.sharers, 3),
                        }
                    )
            if self.loop.clock() >= until:
                yield from self.loop.sleep(NEXT_TURN)
                until = self.loop.clock() + SLICE
        return self.view(rows) | ({"held": held} if with_held else {})

    def view(self, rows: dict[str, Counter[str]]) -> dict[str, Any]:
        subset, tier, quotas = self.subset, self.subset.index.tier, self.quotas()
        settings = self.settings
        return {
            "identity": settings.identity,
            "zone": settings.zone,
            "size": settings.size,
            "holders": settings.holders,
            "near": settings.near,
            "instances": subset.instances,
            "off": "",
            "busy": subset.has_work,
            "cells": len(quotas),
            "quota_least": min(quotas, default=0),
            "quota_greatest": max(quotas, default=0),
            "left_out": subset.left_out,
            "longest_slice": round(self.longest_slice, 6),
            "changes": {cause.value: self.changed[cause] for cause in ChangeCause},
            "zones": [
                {"zone": zone, "tier": tier(zone), **{key: rows[zone][key] for key in COLUMNS}}
                for zone in sorted(rows, key=lambda each: (tier(each), each))
            ],
        }

    def why(self, server: str) -> dict[str, Any] | None:
        """None where the list does not name it, or there is no subset any more."""
        if self.off:
            return None
        found = explain(self.subset, server, self.loop.clock())
        return asdict(found) if found is not None else None

    def collect(self) -> list[Metric]:
        off = GaugeMetricFamily(
            "stepknot_subset_off", "Whether the whole list is used for a defect", bool(self.off)
        )
        return [off] if self.off else [off, *self.measures()]

    def measures(self) -> list[Metric]:
        subset, now, quotas = self.subset, self.loop.clock(), self.quotas()
        states = Counter(self.state(entry, now) for entry in subset.index.selected_entries())
        held = GaugeMetricFamily("stepknot_subset_held", "Nodes in use, by state", labels=["state"])
        for state in ("warm", "cold", "draining"):
            held.add_metric([state], states[state])
        changes = CounterMetricFamily(
            "stepknot_subset_changes", "Cells that changed, by cause", labels=["cause"]
        )
        for cause in ChangeCause:
            changes.add_metric([cause.name.lower()], self.changed[cause])
        return [
            held,
            changes,
            CounterMetricFamily(
                "stepknot_subset_left_out",
                "Entries that name this broker or a cell that no shard has",
                subset.left_out,
            ),
            *(
                GaugeMetricFamily(f"stepknot_subset_{name}", text, value)
                for name, value, text in (
                    ("listed", len(subset.index.entries), "Nodes on the list"),
                    (
                        "live",
                        sum(cell.live for cell in subset.index.cells.values()),
                        "Live nodes on the list",
                    ),
                    ("cells", len(quotas), "Cells with nodes"),
                    (
                        "quota_least",
                        min(quotas, default=0),
                        "Warm nodes wanted of a cell, the least",
                    ),
                    (
                        "quota_greatest",
                        max(quotas, default=0),
                        "Warm nodes wanted of a cell, the greatest",
                    ),
                    (
                        "longest_slice_seconds",
                        self.longest_slice,
                        "The longest that a turn was held up so far",
                    ),
                )
            ),
        ]


def parts(event: ListReceived) -> list[ListReceived]:
    """The same, in pieces of `MAX_HANDED`; those after the first are changes to it."""
    first, *rest = [
        event.entries[at : at + MAX_HANDED] for at in range(0, len(event.entries), MAX_HANDED)
    ] or [()]
    return [
        ListReceived(event.kind, first),
        *(ListReceived(ListKind.CHANGES, each) for each in rest),
    ]
