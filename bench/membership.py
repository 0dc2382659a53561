"""Membership against baselines in the same model, paired by seed: `python bench/membership.py --seeds 4`.

Simulated: members on a virtual clock, links of 0.2 to 2 ms. Prints a table, and draws it with --plot FILE. False deaths
are first-hand or heard of, of processes that ran all the time, counted once for each time that anybody at all held one
dead; a member that most cannot reach is not among them.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import click
from hdrh.histogram import HdrHistogram

from stepknot.membership.model import MembershipSettings, State
from stepknot.simulation.membership_baselines import BASELINES
from stepknot.simulation.membership_model import Make, Model, Shipped

MAKERS: dict[str, Make] = {"stepknot": Shipped, **BASELINES}
CALM = 15.0  # seconds for views to settle before a trouble


@dataclass
class Result:
    maker: str
    trouble: str
    size: int
    seed: int
    seconds: float = 0.0
    false: int = 0
    detections: list[float] = field(default_factory=list)  # of a crash, at each member
    missed: int = 0  # members that did not hear of it in time
    healed: float | None = None  # seconds until all views were right after a split
    rate: float = 0.0  # bytes a second sent by the member that sent most
    cpu: float = 0.0  # seconds of CPU of a member for half a second of its time


def sound_deaths(model: Model, since: float, sound: Callable[[str], bool]) -> int:
    """Episodes: one for each process and ten seconds, however many members believe it."""
    return len(
        {
            (change.name, int(when / 10))
            for when, _, change in model.log
            if change.new_state is State.DEAD and when >= since and sound(change.name)
        }
    )


def loss(model: Model, seconds: float) -> None:
    model.network.loss = 0.3
    model.run(model.now + seconds)


def pauses(model: Model, seconds: float) -> None:
    """A fifth of the members, each standing still for up to 5 s once in ten."""
    names, begun = list(model.processes)[::5], model.now
    for begin in range(0, int(seconds) - 10, 10):
        for name in names:
            model.at(
                begun + begin + model.random.uniform(0, 5),
                lambda name=name: model.pause(name, model.random.uniform(0, 5)),
            )
    model.run(begun + seconds)


def one_sided(model: Model, seconds: float) -> None:
    """Five members that fewer than half of the others do not hear."""
    names = list(model.processes)
    victims = names[:5]
    cuts = {
        (victim, other)
        for victim in victims
        for other in model.random.sample(
            [each for each in names if each != victim], (len(names) - 1) * 45 // 100
        )
    }
    model.network.cut = lambda source, target: (source, target) in cuts
    model.run(model.now + seconds)


OTHERS = (
    "crash",
    "split",
    "start",
    "restart",
)  # all views right: after a split of a minute, all started, 70% died
TROUBLES = {"loss 30%": loss, "pauses to 5 s": pauses, "one-sided": one_sided}


def healing(model: Model) -> float | None:
    """Seconds until all views are right."""
    since = model.now
    for _ in model.steps(since + 60.0):
        if model.settled():
            return model.now - since
    return None


def play(maker: str, trouble: str, size: int, seed: int, seconds: float) -> Result:
    result = Result(maker, trouble, size, seed, seconds)
    model = Model(size, seed, MembershipSettings(), MAKERS[maker])
    model.run(1.0)
    started = healing(model)
    if trouble == "start":
        result.healed, result.rate = started, max(each.sent for each in model.up()) / model.now
        return result
    model.run(model.now + CALM)
    sent, begun, cpu = {each.name: each.sent for each in model.up()}, model.now, time.process_time()
    if trouble in TROUBLES:
        TROUBLES[trouble](model, seconds)
        result.false = sound_deaths(model, begun, lambda name: True)
    elif trouble == "crash":
        model.run(begun + 5.0)
        at = model.now
        model.kill("b1")
        model.run(at + seconds)
        first: dict[str, float] = {}
        for when, by, change in model.log:
            if change.name == "b1" and change.new_state is State.DEAD and when >= at:
                first.setdefault(by, when - at)
        result.detections = list(first.values())
        result.missed = size - 1 - len(first)
        result.false = sound_deaths(model, at, lambda name: name != "b1")
    elif trouble == "restart":
        names = list(model.processes)[: size * 7 // 10]
        for name in names:
            model.kill(name)
        for name in names:
            model.at(begun + model.random.uniform(1.0, 2.0), lambda name=name: model.start(name))
        model.run(begun + 2.0)
        result.healed = healing(model)
    else:  # split
        half = {f"b{number}" for number in range(size // 2)}
        model.network.cut = lambda source, target: (source in half) != (target in half)
        model.run(begun + 60.0)
        model.network.cut = lambda source, target: False
        result.healed = healing(model)
    span = model.now - begun
    result.rate = max((each.sent - sent[each.name]) / span for each in model.up())
    result.cpu = (time.process_time() - cpu) / size / span * 0.5
    return result


def percentile(values: Sequence[float], share: float) -> float:
    histogram = HdrHistogram(1, 3_600_000, 3)
    for value in values:
        histogram.record_value(max(int(value * 1000), 1))
    return float(histogram.get_value_at_percentile(share)) / 1000


def row(results: list[Result]) -> str:
    first = results[0]
    hours = sum(each.seconds * each.size for each in results) / 3600
    text = f"{first.maker:<11} {first.trouble:<14} {first.size:>5} {len(results):>5}  "
    if first.trouble in TROUBLES:
        text += f"{sum(each.false for each in results) / hours:>10.3f} false deaths a member-hour"
    elif first.trouble == "crash":
        found = [each for one in results for each in one.detections]
        text += (
            f"p50 {percentile(found, 50):.2f} s  p99 {percentile(found, 99):.2f} s  not told "
            f"{sum(each.missed for each in results)}  false {sum(each.false for each in results)}"
            if found
            else "not found"
        )
    else:
        healed = [each.healed for each in results if each.healed is not None]
        text += f"right {len(healed)} of {len(results)}, longest {max(healed, default=float('nan')):.2f} s"
    return (
        f"{text}; {max(each.rate for each in results):.0f} B/s; "
        f"{1e6 * sum(each.cpu for each in results) / len(results):.0f} us a period"
    )


def draw(groups: list[list[Result]], file: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(12, 4.5))
    for name in MAKERS:
        rows = [each for each in groups if each[0].maker == name]
        troubles = [each for each in rows if each[0].trouble in TROUBLES]
        left.plot(
            [f"{each[0].trouble}\n{each[0].size}" for each in troubles],
            [
                sum(one.false for one in each)
                / (sum(one.seconds * one.size for one in each) / 3600)
                for each in troubles
            ],
            "o-",
            label=name,
        )
        crashes = [each for each in rows if each[0].trouble == "crash"]
        right.plot(
            [each[0].size for each in crashes],
            [
                percentile([one for each in group for one in each.detections] or [60.0], 99)
                for group in crashes
            ],
            "o-",
            label=name,
        )
    left.set_yscale("symlog", linthresh=0.01)
    left.set_ylabel("false deaths a member-hour")
    right.set_xscale("log")
    right.set_xlabel("members")
    right.set_ylabel("s until a crash is known, p99")
    left.legend()
    figure.suptitle("Membership, simulated, paired by seed")
    figure.tight_layout()
    figure.savefig(file, dpi=100)


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, default=(10, 50), show_default=True)
@click.option("--seeds", default=4, show_default=True, help="Runs of each kind.")
@click.option("--seconds", default=60.0, show_default=True, help="Simulated, under a trouble.")
@click.option(
    "--only", "makers", multiple=True, type=click.Choice(list(MAKERS)), default=tuple(MAKERS)
)
@click.option(
    "--trouble",
    "troubles",
    multiple=True,
    type=click.Choice([*TROUBLES, *OTHERS]),
    default=(*TROUBLES, *OTHERS),
)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
@click.option(
    "--plot", type=click.Path(dir_okay=False, path_type=Path), help="Draw it into this PNG file."
)
def main(
    sizes: tuple[int, ...],
    seeds: int,
    seconds: float,
    makers: tuple[str, ...],
    troubles: tuple[str, ...],
    jobs: int,
    plot: Path | None,
) -> None:
    """Measure membership and its baselines in the same model."""
    kinds = [(maker, trouble, size) for size in sizes for trouble in troubles for maker in makers]
    groups: list[list[Result]] = []
    with ProcessPoolExecutor(jobs) as pool:
        out = [
            [
                pool.submit(play, *kind, seed, 30.0 if kind[1] == "crash" else seconds)
                for seed in range(1, seeds + 1)
            ]
            for kind in kinds
        ]
        click.echo(f"{'':<11} {'trouble':<14} {'size':>5} {'runs':>5}")
        for futures in out:
            groups.append([each.result() for each in futures])
            click.echo(row(groups[-1]))
    if plot is not None:
        draw(groups, plot)


if __name__ == "__main__":
    main()
