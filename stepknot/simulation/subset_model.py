"""Bounded subsets at the full size, by the shipped code: who holds what in one cell, and what troubles change of it.

Cells are independent of each other where a shard has one cell (reach 1), so each is played alone, with all brokers.
No clock and no chance but the hashes of names.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.model import (
    DEFAULT_HOLDERS,
    DEFAULT_NEAR,
    DEFAULT_SIZE,
    CellLayout,
    SubsetSettings,
)
from stepknot.subsets.slow_start import slow_start_share
from stepknot.subsets.subset import Subset

NOW = 1000.0
REGIONS = ((0, 1, 2), (3, 4, 5), (6, 7, 8), (9, 10), (11, 12))  # 13 zones


@dataclass(frozen=True, slots=True)
class Fleet:
    """`sizes`: of nodes, in turn. `crowd`: so many times as many brokers stand in each zone of the first region."""

    brokers: int = 6600
    cells: int = 580
    replicas: int = 62
    size: int = DEFAULT_SIZE
    holders: float = DEFAULT_HOLDERS
    near: float = DEFAULT_NEAR
    sizes: tuple[float, ...] = (1.0,)
    crowd: int = 1
    regions: tuple[tuple[int, ...], ...] = REGIONS

    def broker_zones(self) -> list[int]:
        turn = [zone for region in self.regions for zone in region]
        turn = [zone for zone in turn for _ in range(self.crowd if zone in self.regions[0] else 1)]
        return [turn[number % len(turn)] for number in range(self.brokers)]

    def entries(self, cell: int) -> list[ServerEntry]:
        """Zones go round over all nodes: each has as many of them, and four or five of a cell's 62."""
        zones = sum(map(len, self.regions))
        found = []
        for place in range(self.replicas):
            number = cell * self.replicas + place
            found.append(
                ServerEntry(
                    f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9300",
                    f"zone-{number % zones}",
                    cell,
                    ServerState.LIVE,
                    self.sizes[number // zones % len(self.sizes)],
                )
            )
        return found

    def settings(self, broker: int, zone: int) -> SubsetSettings:
        region = next(each for each in self.regions if zone in each)
        tiers = (tuple(f"zone-{each}" for each in region if each != zone),)
        return SubsetSettings(
            f"broker-{broker}", self.size, self.holders, self.near, f"zone-{zone}", tiers
        )

    def subsets(self, cell: int, entries: Iterable[ServerEntry] | None = None) -> list[Subset]:
        """Each broker's, with this cell's nodes alone on its list."""
        event = ListReceived(
            ListKind.FULL, tuple(self.entries(cell) if entries is None else entries)
        )
        found = []
        for broker, zone in enumerate(self.broker_zones()):
            subset = Subset(
                self.settings(broker, zone), CellLayout(self.cells, 1, 10.0), self.brokers
            )
            subset.on_watch_event(event)
            subset.run_to_end(NOW)
            found.append(subset)
        return found


Views = list[frozenset[str]]


def views(subsets: Iterable[Subset]) -> Views:
    return [
        frozenset(
            server
            for cell in subset.index.cells.values()
            for server, entry in cell.selected.items()
            if entry.state is ServerState.LIVE
        )
        for subset in subsets
    ]


def changed(before: Views, after: Views) -> int:
    """Entries that left or entered, of all brokers."""
    return sum(len(one ^ other) for one, other in zip(before, after, strict=True))


@dataclass(slots=True)
class Held:
    """Who holds one cell's nodes. `loads`: each broker's share of one, spread evenly over those it holds."""

    entries: list[ServerEntry]
    counts: Counter[str]
    loads: dict[str, float]
    near: list[int]  # entries by tier
    total: int

    def share(self, entry: ServerEntry) -> float:
        """Of its capacity in the cell."""
        return entry.size / sum(each.size for each in self.entries)


def measure(entries: list[ServerEntry], subsets: list[Subset]) -> Held:
    zone = {entry.server: entry.zone for entry in entries}
    found = Held(entries, Counter(), dict.fromkeys(zone, 0.0), [0, 0, 0], 0)
    for subset, view in zip(subsets, views(subsets), strict=True):
        found.counts.update(view)
        found.total += len(view)
        for server in view:
            found.loads[server] += 1 / len(view)
            found.near[subset.index.tier(zone[server])] += 1
    return found


@dataclass(slots=True)
class Troubles:
    """Entries changed over all brokers, by trouble, and the load of a lost zone's survivors."""

    total: int
    changes: dict[str, int] = field(default_factory=dict)
    survivors: list[float] = field(default_factory=list)  # of brokers that live on too


def tell(
    subsets: Iterable[Subset], entries: Iterable[ServerEntry], kind: ListKind = ListKind.CHANGES
) -> None:
    event = ListReceived(kind, tuple(entries))
    for subset in subsets:
        subset.on_watch_event(event)
        subset.run_to_end(NOW)


def count(subsets: Iterable[Subset], brokers: int) -> None:
    for subset in subsets:
        subset.set_instances(brokers)
        subset.run_to_end(NOW)


ONE_GOES, ONE_BACK, ONE_REPLACED = (
    "a node goes",
    "it comes back",
    "a node is replaced by one of another name",
)
ZONE_GOES, ZONE_BACK, TWO_UNKNOWN = (
    "a zone's nodes go",
    "they come back",
    "two nodes of each 62 are not on a list",
)
OF_ONE_CELL = {ONE_GOES, ONE_BACK, ONE_REPLACED}


def steps(fleet: Fleet, entries: list[ServerEntry], subsets: list[Subset]) -> Iterator[str]:
    """Each trouble's name, once it has been done; at last all is as it was."""
    one, other = entries[0], replace(entries[0], server=f"{entries[0].server}0")
    tell(subsets, [replace(one, state=ServerState.GONE)])
    yield ONE_GOES
    tell(subsets, [one])
    yield ONE_BACK
    tell(subsets, [replace(one, state=ServerState.GONE), other])
    yield ONE_REPLACED
    tell(subsets, [replace(other, state=ServerState.GONE), one])
    yield ""
    for brokers in (
        fleet.brokers - 1,
        fleet.brokers + 1,
        fleet.brokers // 2,
        fleet.brokers // 2 - 1,
        fleet.brokers,
    ):
        count(subsets, brokers)
        yield f"the count of brokers becomes {brokers:,}"
    lost = [entry for entry in entries if entry.zone == "zone-0"]
    tell(subsets, [replace(entry, state=ServerState.GONE) for entry in lost])
    yield ZONE_GOES
    tell(subsets, lost)
    yield ZONE_BACK


def troubles(fleet: Fleet, cell: int) -> Troubles:
    entries, subsets = fleet.entries(cell), fleet.subsets(cell)
    before = first = views(subsets)
    found = Troubles(sum(map(len, before)))
    for name in steps(fleet, entries, subsets):
        after = views(subsets)
        if name:
            found.changes[name] = changed(before, after)
        if name == ZONE_GOES:
            left = [subset for subset in subsets if subset.settings.zone != "zone-0"]
            loads = measure(entries, left).loads
            found.survivors = [loads[entry.server] for entry in entries if entry.zone != "zone-0"]
        before = after
    assert before == first  # S4
    known = [entry for number, entry in enumerate(entries) if number % 31 != cell % 31]
    found.changes[TWO_UNKNOWN] = changed(first, views(fleet.subsets(cell, known)))
    return found


@dataclass(slots=True)
class Cold:
    """Sums of shares of a cold node's budget, one for each node: over the brokers that use it, over all that may, and
    over those that use it if each took 1 / count as without subsets' division."""

    used: list[float] = field(default_factory=list)
    may: list[float] = field(default_factory=list)
    by_all: list[float] = field(default_factory=list)


def cold_sums(subsets: list[Subset], servers: Iterable[str]) -> Cold:
    found = Cold()
    cells = [
        (subset, cell, slow_start_share(cell.quota, cell.live, subset.instances))
        for subset in subsets
        for cell in subset.index.cells.values()
    ]
    for server in servers:
        used = [cell.selected[server] for _, cell, _ in cells if server in cell.selected]
        found.used.append(sum(1 / entry.sharers for entry in used))
        found.by_all.append(len(used) / len(subsets))
        found.may.append(
            sum(
                1 / share.divisor
                for subset, _, share in cells
                if subset.index.get(server) is not None
                and share.is_eligible(subset.index.uniform_hash(server))
            )
        )
    return found


def cold_cell(fleet: Fleet, cell: int, all_: bool, mixed: bool) -> Cold:
    """One node that has just started, or all of the cell. `mixed`: every second broker does not know every second
    node, every third counts twice as many brokers."""
    entries, subsets = fleet.entries(cell), fleet.subsets(cell)
    begun = [replace(entry, up_since=NOW - 1.0) for entry in (entries if all_ else entries[:1])]
    if mixed:
        tell(subsets[1::2], [replace(entry, state=ServerState.GONE) for entry in entries[1::2]])
        count(subsets[::3], 2 * fleet.brokers)
        begun = begun[::2]
    tell(subsets, begun)
    return cold_sums(subsets, [entry.server for entry in begun])
