"""A zone is lost and returns: the zones' rules against others: `python bench/zone_loss.py [--seeds N]`.

It is lost by a crash that the list tells of, and returns cold; or, with `--loss hang` and the like, it stays listed
while no work comes back from it. Others: none (the module alone), and those of bench/baselines.py.

Real brokers and stand-in boxes on loopback; times of work are modelled. Numbers a second are from the sockets' records:
service (answered whole and in time of what was asked), parts at each zone, and the load on returning boxes as a share
of what would make them fall.
"""

from __future__ import annotations

import statistics
import tempfile
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import matplotlib
import orjson

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from stepknot.simulation.audit import Records, audit
from stepknot.simulation.day import run_day
from stepknot.simulation.script import Script, Step

LOSS, GONE, SECONDS, COLD = 8.0, 5.0, 30.0, 6.0
VARIANTS = ("zones", "none", "slow-start", "panic", "random")
BASELINES = Path(__file__).parent / "baselines.py"


def run(
    folder: Path, seed: int, rate: float, work_ms: float, variant: str, loss: str
) -> tuple[dict[str, Any], bool]:
    script = Script(
        SECONDS,
        rate,
        (Step(LOSS, loss, 1000, GONE, zone="b"), Step(LOSS, "impatient", 1, SECONDS - LOSS)),
    )
    program = ("-m", "stepknot") if variant in ("zones", "none") else (str(BASELINES), variant)
    for attempt in (1, 2):
        try:
            run_day(
                folder,
                script,
                3,
                8,
                3000,
                seed,
                lambda text: None,
                cold_time=COLD,
                work_ms=work_ms,
                program=program,
                zones="false" if variant == "none" else "true",
            )
            break
        except (
            RuntimeError
        ):  # a port that was free a moment ago was taken by another day: nothing has happened yet
            if attempt == 2:
                raise
    records = Records.load(folder)
    reports = audit(records)
    for report in reports:
        for breach in report.breaches:  # the day's records are not kept: what broke is told now
            click.echo(f"seed {seed} {variant}: rule {report.rule}: {breach}", err=True)
    return series(records), not any(each.broken for each in reports)


def series(records: Records) -> dict[str, Any]:
    """By second of the day: asked, good, refused, parts by zone, and the greatest load on a cold box."""
    begun = next(each["t"] for each in records.fleet if each["what"] == "begin")
    zone_of = {}
    for row in orjson.loads((records.config.list_file).read_bytes())["boxes"]:
        zone_of[row["address"]] = row["zone"]
    counts: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    asked = {each["query"]: each["t"] for each in records.client if each["what"] == "asked"}
    for event in records.client:
        second = int(asked[event["query"]] - begun)
        if event["what"] == "asked":
            counts["asked"][second] += 1
        elif event["what"] == "hung_up":
            counts["asked"][second] -= 1
        elif (
            event["what"] == "answered"
            and event["status"] in (200, 201)
            and not event.get("failed_shards")
        ):
            counts["good"][second] += 1
        elif event["what"] == "answered" and event["status"] == 429:
            counts["refused"][second] += 1
    rules, ups = records.config.settings.rules, {}
    recent: dict[str, list[float]] = defaultdict(list)
    for event in records.boxes:
        if event["what"] == "up" and event["cold"]:
            ups[event["who"]] = event
        if event["what"] == "fell":
            counts["fell"][int(event["t"] - begun)] += 1
        if event["what"] not in ("call", "write"):
            continue
        parts, who = len(event.get("parts", [1])), event["who"]
        counts[f"parts_{zone_of.get(who, '?')}"][int(event["t"] - begun)] += parts
        up = ups.get(who)
        if up is not None and event["t"] < up["t"] + rules.cold_time:
            age = event["t"] - up["t"]
            recent[who] = [at for at in recent[who] if at > event["t"] - rules.fall_time] + [
                event["t"]
            ] * parts
            able = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
            load = len(recent[who]) * up["work"] / (able * up["cores"] * rules.fall_time)
            second = int(event["t"] - begun)
            counts["cold_load"][second] = max(counts["cold_load"][second], load)
    seconds = range(int(SECONDS))
    return {name: [values[each] for each in seconds] for name, values in counts.items()}


def summary(found: dict[str, Any]) -> dict[str, float]:
    def service(low: float, high: float) -> float:
        asked = sum(found["asked"][int(low) : int(high)])
        return sum(found["good"][int(low) : int(high)]) / max(asked, 1)

    before = service(2, LOSS)
    back = next(
        (
            second
            for second in range(int(LOSS + GONE), int(SECONDS) - 2)
            if all(
                found["good"][each] >= 0.95 * before * found["asked"][each]
                for each in range(second, second + 3)
            )
        ),
        int(SECONDS),
    )
    spill = max(found["parts_a"][int(LOSS) : int(LOSS + GONE)]) / max(
        sum(found["parts_a"][2 : int(LOSS)]) / (LOSS - 2), 1e-9
    )
    return {
        "before": before,
        "lost": service(LOSS, LOSS + GONE),
        "return": service(LOSS + GONE, LOSS + GONE + COLD),
        "after": service(LOSS + GONE + COLD, SECONDS - 1),
        "back_after_s": back - LOSS - GONE,
        "most_spill": spill,
        "cold_load": max(found.get("cold_load", [0.0])),
        "fell": sum(found.get("fell", [0])),
    }


@click.command()
@click.option("--seeds", default=3, show_default=True)
@click.option("--rate", default=18.0, show_default=True, help="Queries a second.")
@click.option("--work-ms", default=25.0, show_default=True, help="Modelled work of a part.")
@click.option(
    "--loss",
    default="crash",
    show_default=True,
    help="How it is lost: crash, hang, deaf, refuse, slow ...",
)
@click.option(
    "--variant",
    "variants",
    multiple=True,
    type=click.Choice(VARIANTS),
    help="Which; all, if none is named.",
)
@click.option("--jobs", default=1, show_default=True, help="Days at once: each needs about a core.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("zone-loss"),
    show_default=True,
    help="Files OUT.json and OUT.png.",
)
def main(
    seeds: int,
    rate: float,
    work_ms: float,
    loss: str,
    variants: tuple[str, ...],
    jobs: int,
    out: Path,
) -> None:
    results: dict[str, list[dict[str, Any]]] = defaultdict(list)

    def one(job: tuple[int, str]) -> tuple[int, str, dict[str, Any], dict[str, Any]]:
        seed, name = job
        with tempfile.TemporaryDirectory() as folder:
            found, clean = run(Path(folder), seed, rate, work_ms, name, loss)
        return seed, name, found, summary(found) | {"rules_kept": clean}

    days = [(seed, name) for seed in range(1, seeds + 1) for name in variants or VARIANTS]
    with ThreadPoolExecutor(jobs) as pool:
        for seed, name, found, row in pool.map(one, days):
            results[name].append({"series": found, "summary": row})
            click.echo(
                f"seed {seed} {name:<10} "
                + ", ".join(
                    f"{key} {value:.2f}" if isinstance(value, float) else f"{key} {value}"
                    for key, value in row.items()
                )
            )
    for name, found in results.items():
        rows = [each["summary"] for each in found]
        click.echo(
            f"{name:<10} of {len(rows)} days: "
            + ", ".join(
                f"{key} {statistics.median(each[key] for each in rows):.2f} "
                f"({min(each[key] for each in rows):.2f} to {max(each[key] for each in rows):.2f})"
                for key in rows[0]
            )
        )
    out.with_suffix(".json").write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2))
    plot(results, out.with_suffix(".png"))


def plot(results: dict[str, list[dict[str, Any]]], path: Path) -> None:
    figure, axes = plt.subplots(4, 1, figsize=(8, 10), sharex=True)
    rows = (
        ("service", "answered whole, share"),
        ("parts_a", "parts a second, zone a"),
        ("parts_b", "parts a second, zone b"),
        ("cold_load", "load on a cold box (falls at 4)"),
    )
    for number, (name, runs) in enumerate(results.items()):
        for axis, (key, label) in zip(axes, rows, strict=True):
            for place, each in enumerate(runs):
                found = each["series"]
                values = found.get(key) or [
                    good / max(asked, 1)
                    for good, asked in zip(found["good"], found["asked"], strict=True)
                ]
                axis.plot(
                    values,
                    color=f"C{number}",
                    alpha=0.7 if len(runs) < 4 else 0.25,
                    linewidth=1,
                    label=name if not place else None,
                )
            axis.set_ylabel(label)
            axis.axvspan(LOSS, LOSS + GONE, alpha=0.08, color="black")
    axes[0].legend()
    axes[-1].set_xlabel("seconds; zone b is gone in the grey span")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


if __name__ == "__main__":
    main()
