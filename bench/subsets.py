"""Bounded subsets at the full size, against other ways: `python bench/subsets.py [--cells N] [--quick] [--json FILE]`.

The shipped code chooses for each broker and cell (stepknot/simulation/subset_model.py). Of the fleet's 580 cells as
many
are played as --cells says, evenly spread; 580 cells take 3 minutes on 8 free cores. Tables are Markdown.
"""

from __future__ import annotations

import json
import os
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import Any

import click
import numpy as np

from stepknot.simulation.subset_baselines import NUMBERED, WAYS, Way, assigned, bounded_loads
from stepknot.simulation.subset_model import OF_ONE_CELL, Fleet, Held, Troubles, measure, troubles

Table = list[dict[str, Any]]
FULL = Fleet()


def held(fleet: Fleet, cell: int) -> Held:
    return measure(fleet.entries(cell), fleet.subsets(cell))


def sampled(fleet: Fleet, cells: int) -> list[int]:
    return sorted({int(number * fleet.cells / cells) for number in range(min(cells, fleet.cells))})


def against(values: Iterable[float], shares: Iterable[float]) -> list[float]:
    """Each against its part of the sum."""
    found, parts = np.fromiter(values, float), np.fromiter(shares, float)
    return list(found / (parts * found.sum() / parts.sum()))


def groups(found: list[Held], of: Callable[[Any], str]) -> Iterator[list[float]]:
    kinds: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for each in found:
        for entry in each.entries:
            kinds[of(entry)].append((each.counts[entry.server], entry.size))
    for pairs in kinds.values():
        yield against(*zip(*pairs, strict=True))


def zone_means(found: list[Held]) -> list[float]:
    """Brokers a node's size, by zone, against that of all."""
    counts: Counter[str] = Counter()
    sizes: Counter[str] = Counter()
    for each in found:
        for entry in each.entries:
            counts[entry.zone] += each.counts[entry.server]
            sizes[entry.zone] += entry.size
    mean = sum(counts.values()) / sum(sizes.values())
    return [counts[zone] / sizes[zone] / mean for zone in counts]


def by_zone_size(found: list[Held]) -> list[float]:
    """Brokers a node against the mean, where its zone has so many of the cell's nodes."""
    kinds: dict[int, list[float]] = defaultdict(list)
    for each in found:
        of_zone = Counter(entry.zone for entry in each.entries)
        for entry in each.entries:
            kinds[of_zone[entry.zone]].append(
                each.counts[entry.server] * len(each.entries) / each.total
            )
    return [float(np.mean(kinds[size])) for size in sorted(kinds)]


def balance(pool: Executor, name: str, fleet: Fleet, cells: int) -> dict[str, Any]:
    found = list(pool.map(partial(held, fleet), sampled(fleet, cells), chunksize=1))
    all_ = next(groups(found, lambda entry: ""))
    shard = [value for group in groups(found, lambda entry: str(entry.cell)) for value in group]
    zone = [value for group in groups(found, lambda entry: entry.zone) for value in group]
    loads = against(
        [each.loads[entry.server] for each in found for entry in each.entries],
        [entry.size for each in found for entry in each.entries],
    )
    total = sum(each.total for each in found)
    spread = zone_means(found)
    return {
        "fleet": name,
        "nodes": len(all_),
        "brokers a node": total / len(all_),
        "least": min(all_),
        "greatest": max(all_),
        "in a shard": max(shard),
        "in a zone": max(zone),
        "zones of 4, of 5": " ".join(f"{each:.3f}" for each in by_zone_size(found)),
        "zones' means": f"{min(spread):.2f} to {max(spread):.2f}",
        "load": max(loads),
        "own zone": sum(each.near[0] for each in found) / total,
        "own region": sum(each.near[0] + each.near[1] for each in found) / total,
    }


def fleets(quick: bool) -> dict[str, Fleet]:
    made = {f"{brokers:,} brokers": replace(FULL, brokers=brokers) for brokers in (30, 200, 2000)}
    made |= {f"near {near:g}": replace(FULL, near=near) for near in (1.0, 2.0, 4.0)}
    made |= {f"size {size}": replace(FULL, size=size) for size in (2, 3, 6, 8)}
    made |= {
        f"holders {holders:g}, 2,000 brokers": replace(FULL, holders=holders, brokers=2000)
        for holders in (64.0, 128.0, 512.0)
    }
    made |= {
        "nodes of 1 and 4, near 2": replace(FULL, sizes=(1.0, 4.0), near=2.0),
        "nodes of 1 and 2": replace(FULL, sizes=(1.0, 2.0)),
        "nodes of 1 and 4": replace(FULL, sizes=(1.0, 4.0)),
        "twice the brokers in a region's zones": replace(FULL, crowd=2),
        "twice, near 2": replace(FULL, crowd=2, near=2.0),
        "four times": replace(FULL, crowd=4),
        "four times, near 2": replace(FULL, crowd=4, near=2.0),
    }
    return {"6,600 brokers": FULL} | ({} if quick else made)


def changes(found: list[Troubles], fleet: Fleet) -> Table:
    """Of all entries of the fleet: a node's trouble touches one cell, the others every cell."""
    rows: Table = []
    total = sum(each.total for each in found)
    for name in found[0].changes:
        count = sum(each.changes[name] for each in found)
        of_all = 100 * count / total / (fleet.cells if name in OF_ONE_CELL else 1)
        rows.append(
            {
                "trouble": name,
                "entries changed, of 100 of all brokers": of_all,
                "in a cell, over all brokers": count / len(found),
            }
        )
    loads = [load for each in found for load in each.survivors]
    rows.append(
        {
            "trouble": "greatest load of a lost zone's survivors, against their mean",
            "": max(against(loads, [1.0] * len(loads))),
        }
    )
    return rows


def difference(before: list[frozenset[str]], after: list[frozenset[str]]) -> float:
    """Of 100 entries, how many left or entered."""
    changed = sum(len(one ^ other) for one, other in zip(before, after, strict=False))
    return 100 * changed / sum(map(len, before))


def one_less(name: str, way: Way, full: list[frozenset[str]], names: list[str]) -> float:
    """One from the middle goes; where brokers are numbered, those after it move down."""
    brokers, middle = len(full), len(full) // 2
    ids = (
        range(brokers - 1)
        if name in NUMBERED
        else [each for each in range(brokers) if each != middle]
    )
    if way is bounded_loads:
        after = assigned(tuple(ids), tuple(names), FULL.size)
    else:
        after = [way(each, brokers - 1, names, FULL.size) for each in ids]
    return difference(full[:middle] + full[middle + 1 :], after)


def weigh(name: str, way: Way, brokers: int, shards: int) -> dict[str, Any]:
    """`shards` lists of 62, each with another order of names."""
    ratios: list[float] = []
    used, less, gone, other = 0, [], [], []
    for shard in range(shards):
        names = [entry.server for entry in FULL.entries(shard)]
        full = [way(broker, brokers, names, FULL.size) for broker in range(brokers)]
        counts = Counter(server for view in full for server in view)
        ratios += [counts[each] * len(names) / sum(counts.values()) for each in names]
        used += sum(counts.values())
        less.append(one_less(name, way, full, names))
        for lists, list_ in ((gone, names[:30] + names[31:]), (other, names[7:] + names[:7])):
            lists.append(
                difference(full, [way(each, brokers, list_, FULL.size) for each in range(brokers)])
            )
    return {
        "way": name,
        "brokers a node": used / len(ratios),
        "least": min(ratios),
        "greatest": max(ratios),
        "a broker less": float(np.mean(less)),
        "a node less": float(np.mean(gone)),
        "the list in another order": float(np.mean(other)),
    }


def ways(pool: Executor, quick: bool) -> Table:
    brokers, shards = (660, 2) if quick else (FULL.brokers, 8)
    return list(pool.map(weigh, WAYS, WAYS.values(), [brokers] * len(WAYS), [shards] * len(WAYS)))


def show(title: str, rows: Table) -> None:
    click.echo(f"\n{title}\n")
    heads = list(dict.fromkeys(head for row in rows for head in row))
    click.echo("| " + " | ".join(heads) + " |\n|" + " --- |" * len(heads))
    for row in rows:
        cells = (row.get(head, "") for head in heads)
        click.echo(
            "| "
            + " | ".join(f"{each:.3f}" if isinstance(each, float) else str(each) for each in cells)
            + " |"
        )


@click.command()
@click.option("--cells", default=29, show_default=True, help="Cells played for each kind of fleet.")
@click.option(
    "--quick", is_flag=True, help="The defaults in two cells; fewer brokers for other ways."
)
@click.option("--only", default="", help="Kinds of fleet whose name has this in it; nothing else.")
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes.")
@click.option("--json", "file", type=click.Path(path_type=Path), help="Write the tables there too.")
def main(cells: int, quick: bool, only: str, jobs: int, file: Path | None) -> None:
    cells, began, found = 2 if quick else cells, time.monotonic(), {}
    with ProcessPoolExecutor(jobs) as pool:
        kinds = {name: fleet for name, fleet in fleets(quick).items() if only in name}
        found["Balance"] = [balance(pool, name, fleet, cells) for name, fleet in kinds.items()]
        show(
            "Balance: brokers a node against the mean, or against the share of capacity",
            found["Balance"],
        )
        if not only:
            played = list(pool.map(partial(troubles, FULL), sampled(FULL, 2 if quick else 8)))
            found["Changes"] = changes(played, FULL)
            show("Changes, 6,600 brokers", found["Changes"])
            found["Ways"] = ways(pool, quick)
            show("Other ways: shards of 62, no zones; entries changed, of 100", found["Ways"])
    click.echo(f"\n{time.monotonic() - began:.0f} s")
    if file is not None:
        file.write_text(json.dumps(found, indent=1))


if __name__ == "__main__":
    main()
