"""What many instances together send to a cold server: `python bench/cold.py [--seeds N]`.

With --subsets: brokers that each use some nodes and share a cold one's budget (stepknot/subsets/slow_start.py). Exact
probabilities that their shares are more than the budget, the module's own sends, and what is used in a whole fleet.
"""

from __future__ import annotations

import os
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from functools import partial

import click

from stepknot.decisions.slow_start import COLD_UTILIZATION
from stepknot.simulation.cold import DEMANDS, Found, play
from stepknot.simulation.cold_tails import View, mean_and_deviation, over
from stepknot.simulation.subset_model import Cold, Fleet, cold_cell
from stepknot.subsets.model import DEFAULT_HOLDERS, DEFAULT_SIZE
from stepknot.subsets.slow_start import SlowStartShare, slow_start_share

AGES = (0.0, 2.0, 5.0)
LIVE = 62
BROKERS = 6600


def quota(brokers: int) -> int:
    return min(LIVE, max(DEFAULT_SIZE, int(DEFAULT_HOLDERS * LIVE / brokers)))


def line(instances: int, name: str, found: list[Found]) -> None:
    click.echo(
        f"{instances:>9}  {name:<32} {max(each.worst for each in found):>18.2f}"
        f"{sum(each.used for each in found) / len(found):>20.2f}"
        f"{sum(each.admitted for each in found) / len(found):>10.2f}"
    )


def mixes() -> Iterator[tuple[str, list[View]]]:
    for brokers in (1, 30, 200, 600, 2000, BROKERS):
        yield f"{brokers:,} brokers", [View(brokers, quota(brokers), LIVE, brokers)]
    half = View(BROKERS // 2, DEFAULT_SIZE, LIVE, BROKERS)
    yield "half lack a zone of 5", [half, View(BROKERS // 2, DEFAULT_SIZE, LIVE - 5, BROKERS)]
    yield (
        "half lack half of the nodes",
        [half, View(BROKERS // 2, DEFAULT_SIZE, LIVE // 2, BROKERS)],
    )
    yield (
        "half count twice as many brokers",
        [half, View(BROKERS // 2, DEFAULT_SIZE, LIVE, 2 * BROKERS)],
    )
    yield (
        "a quarter use every node",
        [
            View(BROKERS // 4, LIVE, LIVE, BROKERS),
            View(BROKERS * 3 // 4, DEFAULT_SIZE, LIVE, BROKERS),
        ],
    )


def exact() -> None:
    click.echo(
        "| views | q | D | mean of the sum | + 4 deviations | P(over the budget) | P(over 1.25 of it) |"
    )
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for name, views in mixes():
        mean, deviation = mean_and_deviation(views)
        shares = [view.share for view in views]
        click.echo(
            f"| {name} | {', '.join(f'{each.fraction:.3f}' for each in shares)} | "
            f"{', '.join(f'{each.divisor:.0f}' for each in shares)} | {mean:.3f} | {mean + 4 * deviation:.3f} | "
            f"{over(views, 1.0):.1e} | {over(views, 1 / COLD_UTILIZATION):.1e} |"
        )


def sends(pool: Executor, seeds: int) -> None:
    click.echo(
        "\ninstances  demand                           worst, in chances  used of the budget  admitted"
    )
    for instances in (600, 2000, BROKERS):
        share = slow_start_share(quota(instances), LIVE, instances)
        for demand in DEMANDS:
            shares = [share]
            each = partial(played, instances, demand, shares)
            line(
                instances,
                demand,
                list(pool.map(each, [(age, seed) for age in AGES for seed in range(seeds)])),
            )


def played(
    instances: int, demand: str, shares: list[SlowStartShare], when: tuple[float, int]
) -> Found:
    return play(instances, demand, *when, seconds=4.0, shares=shares)


def used(pool: Executor, cells: int) -> None:
    click.echo(
        "\n| 6,600 brokers | used, mean (least, greatest) | used, by 1 / count | may send, mean (greatest) |"
    )
    click.echo("| --- | --- | --- | --- |")
    for name, all_, mixed in (
        ("one node of a cell is cold", False, False),
        ("all are", True, False),
        ("all are, mixed views", True, True),
    ):
        found = Cold()
        for each in pool.map(
            partial(cold_cell, Fleet(), all_=all_, mixed=mixed), range(0, 580, 580 // cells)
        ):
            found.used += each.used
            found.may += each.may
            found.by_all += each.by_all
        mean = [sum(each) / len(each) for each in (found.used, found.by_all, found.may)]
        click.echo(
            f"| {name}, {len(found.used)} nodes | {mean[0]:.3f} ({min(found.used):.3f}, {max(found.used):.3f}) "
            f"| {mean[1]:.3f} | {mean[2]:.3f} ({max(found.may):.3f}) |"
        )


@click.command()
@click.option("--seeds", default=3, help="Plays of each kind and age.")
@click.option("--only", default=0, help="This number of instances alone.")
@click.option("--subsets", is_flag=True, help="Brokers that each use some nodes.")
@click.option(
    "--cells",
    default=16,
    show_default=True,
    help="With --subsets: cells of the fleet that are played.",
)
@click.option(
    "--jobs", default=os.cpu_count() or 1, show_default=True, help="With --subsets: processes."
)
def main(seeds: int, only: int, subsets: bool, cells: int, jobs: int) -> None:
    if subsets:
        exact()
        with ProcessPoolExecutor(jobs) as pool:
            used(pool, cells)
            sends(pool, seeds)
        return
    click.echo(
        "instances  demand                           worst, in chances  used of the budget  admitted"
    )
    for instances in [only] if only else [1, 3, 20, 30, 200]:
        for demand in DEMANDS:
            line(
                instances,
                demand,
                [play(instances, demand, age, seed) for age in AGES for seed in range(seeds)],
            )


if __name__ == "__main__":
    main()
