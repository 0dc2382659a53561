"""What a bounded subset costs in decisions: `python bench/subset_cost.py [--seeds N] [--only SCENARIO]`.

Simulated (`stepknot/simulation/subset_cost.py`), paired by seed: every variant gets the same queries at the same times
with the same work. Rows are means over seeds; differences are a variant less the whole list, with Student's t-interval
of
95% over seeds, each of its own: of many intervals one in twenty is wrong. Shares and worth in percent, latencies in ms
of all answers; `node` and `zone`: utilisation of the busiest against the mean; `cold`: the most that a cold node got
within the fall time, as a share of what makes it fall; `us`: the module's time a part, by the wall's clock.
"""

from __future__ import annotations

import dataclasses
import json
import math
import os
import statistics
from collections.abc import Callable
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

import click

from stepknot.simulation.subset_cost import SCENARIOS, Fleet, Found, Variant, play
from stepknot.subsets.model import DEFAULT_NEAR

# Student's t, two-sided 95%, by degrees of freedom from 1.
T95 = (
    12.706,
    4.303,
    3.182,
    2.776,
    2.571,
    2.447,
    2.365,
    2.306,
    2.262,
    2.228,
    2.201,
    2.179,
    2.160,
    2.145,
    2.131,
    2.120,
    2.110,
    2.101,
    2.093,
    2.086,
    2.080,
    2.074,
    2.069,
    2.064,
    2.060,
    2.056,
    2.052,
    2.048,
    2.045,
    2.042,
)
MOST_SEEDS = len(T95) + 1
QUICK_SECONDS = 3.0
FLEET = Fleet()
Figure = Callable[[Found], float]
FIGURES: dict[str, tuple[str, Figure]] = {  # by heading: how it is written, and what it is
    "in time %": ("{:.2f}", lambda found: 100 * found.in_time),
    "worth %": ("{:.2f}", lambda found: 100 * found.worth),
    "none %": ("{:.2f}", lambda found: 100 * found.refused),
    "p50": ("{:.1f}", lambda found: 1000 * found.p50),
    "p99": ("{:.1f}", lambda found: 1000 * found.p99),
    "p99.9": ("{:.1f}", lambda found: 1000 * found.p999),
    "attempts a part": ("{:.3f}", lambda found: found.counts.attempts / found.counts.parts),
    "probes a query": ("{:.2f}", lambda found: found.counts.probes / found.counts.queries),
    "a part": ("{:.2f}", lambda found: found.counts.probes / found.counts.parts),
    "node": ("{:.2f}", lambda found: found.greatest_node),
    "zone": ("{:.2f}", lambda found: found.greatest_zone),
    "falls": ("{:.1f}", lambda found: float(found.counts.falls)),
    "cold": ("{:.2f}", lambda found: found.counts.cold_peak),
    "us": ("{:.0f}", lambda found: 1e6 * found.cpu),
}
COMPARED = (
    "in time %",
    "worth %",
    "none %",
    "p50",
    "p99",
    "p99.9",
    "attempts a part",
    "probes a query",
    "node",
)


def interval(values: list[float]) -> tuple[float, float]:
    """The mean and half the width of its interval."""
    if len(values) < 2:
        return values[0], math.inf
    return statistics.mean(values), T95[len(values) - 2] * statistics.stdev(values) / math.sqrt(
        len(values)
    )


def difference(figure: Figure, found: list[Found], whole: list[Found]) -> tuple[float, float]:
    return interval([figure(one) - figure(other) for one, other in zip(found, whole, strict=True)])


def line(cells: list[str]) -> str:
    return f"| {' | '.join(cells)} |"


def show(scenario: str, by_variant: dict[str, list[Found]]) -> None:
    """The means, then the differences; `*` where the interval leaves 0 out."""
    click.echo(f"\n{scenario}\n")
    click.echo(line(["list", *FIGURES]))
    click.echo(line(["---"] * (len(FIGURES) + 1)))
    for name, found in by_variant.items():
        click.echo(
            line(
                [
                    name,
                    *(
                        form.format(statistics.mean(map(figure, found)))
                        for form, figure in FIGURES.values()
                    ),
                ]
            )
        )
    whole = by_variant.get("whole")
    if whole is None:
        return
    click.echo("\n" + line([f"{scenario}, less whole", *COMPARED]))
    click.echo(line(["---"] * (len(COMPARED) + 1)))
    for name, found in by_variant.items():
        if name != "whole":
            click.echo(line([name, *(compared(heading, found, whole) for heading in COMPARED)]))


def compared(heading: str, found: list[Found], whole: list[Found]) -> str:
    form, figure = FIGURES[heading]
    mean, half = difference(figure, found, whole)
    sign = "+" if mean >= 0 else "-"
    return f"{sign}{form.format(abs(mean))} ± {form.format(half)}{'*' if abs(mean) > half else ''}"


def parse_variants(sizes: str, nears: str) -> list[Variant]:
    """The whole list first, as all else is compared with it."""
    numbers = [int(each) for each in sizes.split(",") if each != "whole"]
    found = [Variant(0)] if "whole" in sizes.split(",") else []
    return found + [Variant(size, float(near)) for near in nears.split(",") for size in numbers]


@click.command()
@click.option("--seeds", default=8, show_default=True, type=click.IntRange(1, MOST_SEEDS))
@click.option(
    "--only",
    "scenarios",
    multiple=True,
    type=click.Choice(list(SCENARIOS)),
    default=tuple(SCENARIOS),
)
@click.option(
    "--k",
    "sizes",
    default="whole,2,3,4,8,16",
    show_default=True,
    help="Replicas a shard; whole: all.",
)
@click.option(
    "--near",
    "nears",
    default=f"1,{DEFAULT_NEAR:g}",
    show_default=True,
    help="How much the own zone counts.",
)
@click.option(
    "--brokers",
    default=FLEET.brokers,
    show_default=True,
    help="With the same rate of all together.",
)
@click.option("--replicas", default=FLEET.replicas, show_default=True, help="Of each shard.")
@click.option("--quick", is_flag=True, help="Two seeds, a shorter time.")
@click.option(
    "--json", "file", type=click.Path(dir_okay=False, path_type=Path), help="Each run's figures."
)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes.")
def main(
    seeds: int,
    scenarios: tuple[str, ...],
    sizes: str,
    nears: str,
    brokers: int,
    replicas: int,
    quick: bool,
    file: Path | None,
    jobs: int,
) -> None:
    """Play each scenario with the whole list and with subsets of it."""
    fleet = dataclasses.replace(FLEET, brokers=brokers, replicas=replicas)
    if quick:
        seeds, fleet = 2, dataclasses.replace(fleet, seconds=QUICK_SECONDS)
    variants, rows = parse_variants(sizes, nears), []
    with ProcessPoolExecutor(jobs) as pool:
        futures: dict[tuple[str, str], list[Future[Found]]] = {
            (scenario, variant.name): [
                pool.submit(play, scenario, variant, seed, fleet) for seed in range(1, seeds + 1)
            ]
            for scenario in scenarios
            for variant in variants
        }
        for scenario in scenarios:
            found = {
                each.name: [one.result() for one in futures[scenario, each.name]]
                for each in variants
            }
            show(scenario, found)
            rows += [
                {"scenario": scenario, "list": name, "seed": seed, **dataclasses.asdict(one)}
                for name, runs in found.items()
                for seed, one in enumerate(runs, 1)
            ]
            if (
                file is not None
            ):  # after each scenario: a run that is ended early leaves what it has
                file.write_text(
                    json.dumps({"fleet": dataclasses.asdict(fleet), "runs": rows}, indent=1)
                )


if __name__ == "__main__":
    main()
