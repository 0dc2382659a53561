"""What grows with what: figures against size, a line through each, and how far it is from the size in two years.

    python bench/scale.py all --json docs/scale.json --plot docs/scale.png
    python bench/scale.py decide readers --repeats 5
    python bench/scale.py all --quick

The size that is asked about: 6,600 brokers, 36,000 nodes (580 shards of 62 replicas), a million queries a second. Every
figure is the median over repeats, with the least and the greatest; every line says the range it was measured in and by
what factor the size lies beyond it. Seeds are the repeat's number. Measure on a machine that does nothing else.
"""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import orjson
import scale_connections
import scale_decide
import scale_leases
import scale_loop
import scale_members
import scale_readers
import scale_subset
from scale_report import BROKERS, NODES, QUERIES, REPLICAS, SHARDS, Effort, Finding, Note, number

from stepknot.simulation.slopes import Figure, Series, Spread

GROUPS: dict[str, Callable[[Effort], Iterator[Finding]]] = {
    "decide": scale_decide.measure,
    "subset": scale_subset.measure,
    "readers": scale_readers.measure,
    "members": scale_members.measure,
    "owners": scale_leases.measure,
    "connections": scale_connections.measure,
    "loop": scale_loop.measure,
}
COLUMNS = 4  # panels in a row


def spread_text(spread: Spread) -> str:
    return (
        f"{number(spread.median)} ({number(spread.low)} .. {number(spread.high)}, {spread.repeats})"
    )


def series_text(series: Series) -> str:
    last, fit = max(series.points, key=lambda point: point.x), series.fit
    text = f"{series.name}, {series.unit}: {spread_text(last.spread)} at {number(last.x)} {series.x_name}"
    if fit is None:
        return text
    return (
        f"{text}; {number(fit.intercept)} + {number(fit.slope)} x ({number(fit.slopes.low)} .. "
        f"{number(fit.slopes.high)}), R2 {fit.r2:.3f}, off by {fit.misfit:.0%}, power "
        f"{'-' if fit.power is None else format(fit.power, '.2f')}, from {number(fit.low)} to "
        f"{number(fit.high)}; x{series.factor:.3g} to {number(series.target)}: {number(fit.at(series.target))}"
    )


def text_of(finding: Finding) -> str:
    match finding:
        case Series():
            return series_text(finding)
        case Figure():
            return f"{finding.case}: {finding.name}, {finding.unit}: {spread_text(finding.spread)}"
        case Note():
            return f"note: {finding.text}"


def series_json(series: Series) -> dict[str, Any]:
    fit = series.fit
    return {
        "name": series.name,
        "x": series.x_name,
        "unit": series.unit,
        "points": [{"x": point.x, **asdict(point.spread)} for point in series.points],
        "fit": asdict(fit) if fit is not None else None,
        "target": {
            "x": series.target,
            "factor": series.factor,
            "fitted": fit.at(series.target) if fit is not None else None,
        },
    }


def figure_json(figure: Figure) -> dict[str, Any]:
    return {"case": figure.case, "name": figure.name, "unit": figure.unit, **asdict(figure.spread)}


def report_json(
    effort: Effort, findings: list[Finding], took: dict[str, float], load: float
) -> bytes:
    """`load`: the machine's load average when the run began: about 0 where it did nothing else."""
    return (
        orjson.dumps(
            {
                "asked": {
                    "brokers": BROKERS,
                    "nodes": NODES,
                    "shards": SHARDS,
                    "replicas": REPLICAS,
                    "queries_per_second": QUERIES,
                },
                "run": {
                    "repeats": effort.repeats,
                    "quick": effort.quick,
                    "python": platform.python_version(),
                    "machine": platform.machine(),
                    "load_before": load,
                    "seconds": {name: round(each, 1) for name, each in took.items()},
                },
                "notes": [each.text for each in findings if isinstance(each, Note)],
                "series": [series_json(each) for each in findings if isinstance(each, Series)],
                "figures": [figure_json(each) for each in findings if isinstance(each, Figure)],
            },
            option=orjson.OPT_INDENT_2,
        )
        + b"\n"
    )


def draw(findings: list[Finding], file: Path) -> None:
    """A panel for each case and unit: medians with their spread, and the lines."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels: dict[tuple[str, str, str], list[Series]] = {}
    for each in findings:
        if isinstance(each, Series):
            panels.setdefault((each.name.partition(":")[0], each.unit, each.x_name), []).append(
                each
            )
    rows = max(1, -(-len(panels) // COLUMNS))
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(5 * COLUMNS, 3.4 * rows), squeeze=False)
    for axis in axes.flat[len(panels) :]:
        axis.set_visible(False)
    for axis, ((case, unit, x_name), group) in zip(axes.flat, panels.items(), strict=False):
        for series in group:
            draw_series(axis, series)
        axis.set(title=case, xlabel=x_name, ylabel=unit, xlim=(0, None), ylim=(0, None))
        axis.title.set_fontsize(9)
        axis.legend(fontsize=6)
    figure.tight_layout()
    figure.savefig(file, dpi=70)


def draw_series(axis: Any, series: Series) -> None:
    spreads, xs = [point.spread for point in series.points], [point.x for point in series.points]
    bars = [
        [each.median - each.low for each in spreads],
        [each.high - each.median for each in spreads],
    ]
    line = axis.errorbar(
        xs,
        [each.median for each in spreads],
        bars,
        fmt="o",
        markersize=3,
        capsize=2,
        label=series.name.partition(": ")[2],
    )
    fit = series.fit
    if fit is not None:
        axis.plot(
            [fit.low, fit.high],
            [fit.at(fit.low), fit.at(fit.high)],
            "--",
            linewidth=0.8,
            color=line[0].get_color(),
        )


@click.command(help=__doc__)
@click.argument("groups", nargs=-1, required=True, type=click.Choice(["all", *GROUPS]))
@click.option(
    "--repeats", default=3, show_default=True, type=click.IntRange(min=1), help="Of each figure."
)
@click.option("--quick", is_flag=True, help="Smaller sizes, within a minute.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write all of it there.",
)
@click.option(
    "--plot", type=click.Path(dir_okay=False, path_type=Path), help="Draw it into this PNG file."
)
def main(
    groups: tuple[str, ...], repeats: int, quick: bool, json_file: Path | None, plot: Path | None
) -> None:
    load = round(os.getloadavg()[0], 2)
    effort, findings, took = Effort(repeats, quick), list[Finding](), dict[str, float]()
    for name in GROUPS if "all" in groups else dict.fromkeys(groups):
        begun = time.monotonic()
        for finding in GROUPS[name](effort):
            findings.append(finding)
            click.echo(text_of(finding))
        took[name] = time.monotonic() - begun
        click.echo(f"{name}: {took[name]:.0f} s")
    if json_file is not None:
        json_file.write_bytes(report_json(effort, findings, took, load))
    if plot is not None:
        draw(findings, plot)


if __name__ == "__main__":
    main()
