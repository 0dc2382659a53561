"""One broker's subset against the list's length: taking the whole list in, one change, memory, and the longest slice.

The plan `subset` of `scale_decide.PLANS` says what the module costs behind it; the two together are here.
"""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator, Sequence
from dataclasses import replace

from scale_decide import BEGAN, Driver, make_entries, make_settings, make_subset
from scale_report import (
    NANOSECONDS,
    NODES,
    REPLICAS,
    SHARDS,
    Cases,
    Effort,
    Finding,
    Gathered,
    bytes_of,
    percentile,
    seconds_of,
)

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.subset import Subset


def taken(entries: Sequence[ServerEntry], shards: int, identity: str) -> Subset:
    subset = make_subset(shards, identity)
    subset.on_watch_event(ListReceived(ListKind.FULL, tuple(entries)))
    subset.run_to_end(BEGAN)
    return subset


def units_of(subset: Subset, event: ListReceived) -> list[float]:
    """Seconds of processor time of each unit of work that a list takes, its arrival first."""
    gc.collect()
    took = [seconds_of(lambda: subset.on_watch_event(event))]
    while subset.has_work:
        begun = time.process_time_ns()
        subset.advance(BEGAN)
        took.append((time.process_time_ns() - begun) / NANOSECONDS)
    return took


def against_length(effort: Effort) -> Iterator[Finding]:
    """Lists of `REPLICAS` a shard, and of more and more shards."""
    gathered = Gathered("nodes", NODES)
    for shards in effort.sizes(10, 58, 174, SHARDS):
        entries = make_entries(shards, REPLICAS)
        for seed in effort.seeds:
            one_length(gathered, entries, shards, f"broker-{seed}")
    yield from gathered.series("subset")


def one_length(gathered: Gathered, entries: list[ServerEntry], shards: int, identity: str) -> None:
    nodes = len(entries)
    whole = ListReceived(ListKind.FULL, tuple(entries))
    units = units_of(make_subset(shards, identity), whole)
    gathered.add("whole list, all units", "ms", nodes, sum(units) * 1e3)
    gathered.add("whole list, longest unit", "ms", nodes, max(units) * 1e3)
    size, subset = bytes_of(lambda: taken(entries, shards, identity))
    gathered.add("memory beside the list", "bytes", nodes, size)
    gathered.add("the same whole list again", "ms", nodes, sum(units_of(subset, whole)) * 1e3)
    held = next(iter(subset.index.cells[0].selected.values()))
    drained = ListReceived(ListKind.CHANGES, (replace(held, state=ServerState.DRAINING),))
    gathered.add("one held node drains", "us", nodes, sum(units_of(subset, drained)) * 1e6)
    other = next(
        entry for entry in entries if entry.cell == 1 and not subset.index.selected(entry.server)
    )
    gone = ListReceived(ListKind.CHANGES, (replace(other, state=ServerState.GONE),))
    gathered.add("one other node goes", "us", nodes, sum(units_of(subset, gone)) * 1e6)


def together(effort: Effort) -> Iterator[Finding]:
    """Module and subset at the size that is asked about, or a tenth of it."""
    cases, shards = Cases(), 58 if effort.quick else SHARDS
    case, entries = f"subset and module, {shards}x{REPLICAS}", make_entries(shards, REPLICAS)
    for seed in effort.seeds:

        def both(seed: int = seed) -> tuple[Subset, Driver]:
            subset = taken(entries, shards, f"broker-{seed}")
            held = list(subset.index.selected_entries())
            return subset, Driver(make_settings(shards), held, seed)

        size, _ = bytes_of(both)
        cases.add(case, "memory beside the list", "MB", size / 1e6)
        units = units_of(
            make_subset(shards, f"broker-{seed}"), ListReceived(ListKind.FULL, tuple(entries))
        )
        for share in (50, 99, 100):
            cases.add(case, f"a unit of work, p{share}", "us", percentile(units, share))
    yield from cases.figures()


def measure(effort: Effort) -> Iterator[Finding]:
    yield from against_length(effort)
    yield from together(effort)
