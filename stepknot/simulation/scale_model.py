"""The model's figures for a scale run: its members, settings and troubles, on a virtual clock.

In a process of its own, so that its memory is the model's: `python -m stepknot.simulation.scale_model SPEC.json`.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path

import msgspec

from stepknot.membership.model import MembershipSettings, State
from stepknot.simulation.membership_model import Model
from stepknot.simulation.scale_figures import Cost, Times
from stepknot.simulation.scale_members import resident

STEP = 0.1  # seconds between two looks at the views
# As a wall's clock, the kernel and the run give them: the same number of bytes in a datagram.
EPOCH, HOST, PORT = 1_790_000_000_000, "127.100.100.100", 40_000
FAREWELL = 1.0  # seconds from a member's leave to its next start


class ModelSpec(msgspec.Struct, frozen=True):
    """How many members, and how many of them each trouble strikes; times in seconds."""

    size: int
    seed: int
    period: float
    pause: float
    tombstone: float
    rate: int  # bytes a second
    seconds: float  # that the whole may take, on the model's clock
    brokers: int  # that are there before the others start
    alone: float
    start_within: float
    calm: float
    crashed: int
    stalled: float
    cut: int
    zone: int


class ModelFigures(msgspec.Struct, frozen=True):
    cost: Cost | None  # none: there was no quiet, as the start was not over in time
    times: Times
    deaths: int  # of members that ran all the time and were not cut off
    seconds: float  # on the model's clock


def until(model: Model, what: Callable[[], bool], end: float) -> float | None:
    """Seconds until it is so."""
    begun = model.now
    if what():
        return 0.0
    for _ in model.steps(end, STEP):
        if what():
            return model.now - begun
    return None


def outside_agree(model: Model, inside: set[str]) -> bool:
    """Whether all that are not cut off hold exactly each other alive."""
    names = {each.name for each in model.up()} - inside
    return all(
        {name for name, state in view.items() if state is State.ALIVE} == names
        and State.SUSPECT not in view.values()
        for who, view in model.views().items()
        if who not in inside
    )


def play(spec: ModelSpec) -> ModelFigures:
    empty = resident(os.getpid())
    settings = MembershipSettings(
        period=spec.period,
        pause=spec.pause,
        tombstone=spec.tombstone,
        rate=float(spec.rate),
        burst=8.0 * spec.rate,
    )
    model = Model(spec.brokers, spec.seed, settings)
    model.settings, model.epoch = replace(model.settings, configured=spec.size), EPOCH
    end, times = spec.seconds, {}
    until(model, lambda: len(model.up()) == spec.brokers and model.settled(), end)
    model.run(model.now + spec.alone)
    start(model, [f"m{number}" for number in range(spec.size - spec.brokers)], spec)
    times["start"] = until(model, model.settled, end)
    if times["start"] is None:
        return ModelFigures(None, Times(), 0, model.now)
    sent, cpu, begun = sum(each.sent for each in model.up()), time.process_time(), model.now
    model.run(begun + spec.calm)
    cost = Cost(
        (time.process_time() - cpu) / spec.calm / spec.size,
        (resident(os.getpid()) - empty) / spec.size,
        (sum(each.sent for each in model.up()) - sent) / spec.calm / spec.size,
    )
    deaths: set[str] = set()
    times |= troubles(model, spec, end, deaths)
    return ModelFigures(cost, Times(**times), len(deaths), model.now)


def start(model: Model, names: list[str], spec: ModelSpec) -> None:
    for name in names:
        address = HOST, PORT + int(name[1:])
        model.at(
            model.now + model.random.uniform(0, spec.start_within),
            partial(model.start, name, address),
        )
    model.run(model.now + spec.start_within)


def troubles(
    model: Model, spec: ModelSpec, end: float, deaths: set[str]
) -> dict[str, float | None]:
    """As the run has them. The first members stand for the real brokers; who is struck is drawn from the others."""
    times: dict[str, float | None] = {}
    others = list(model.processes)[spec.brokers :]
    picked = model.random.sample(others, spec.crashed + spec.zone)
    crashed, zone = picked[: spec.crashed], picked[spec.crashed :]
    inside: set[str] = set()

    def note(struck: set[str], since: float) -> None:
        deaths.update(
            change.name
            for when, _, change in model.log
            if when >= since
            and change.new_state is State.DEAD
            and change.name not in struck | set(crashed)
        )

    for name in crashed:
        model.kill(name)
    times["crash"] = until(model, model.settled, end)
    since = model.now
    model.pause("b0", spec.stalled)
    model.run(model.now + spec.stalled)
    times["stall"] = until(model, model.settled, end)
    note(set(), since)
    since, inside = (
        model.now,
        set(model.random.sample([each for each in others if each not in crashed], spec.cut)),
    )
    model.network.cut = lambda source, target: (source in inside) != (target in inside)
    times["cut"] = until(model, lambda: outside_agree(model, inside), end)
    model.network.cut = lambda source, target: False
    times["heal"] = until(model, model.settled, end)
    note(inside, since)
    since = model.now
    for name in zone:
        model.kill(name)
    times["zone_lost"] = until(model, model.settled, end)
    start(model, zone, spec)
    times["zone_back"] = until(model, model.settled, end)
    restarts = [restart(model, f"b{number}", end) for number in range(spec.brokers)]
    times["restart"] = (
        None
        if None in restarts
        else max([each for each in restarts if each is not None], default=None)
    )
    note(set(zone), since)
    return times


def restart(model: Model, name: str, end: float) -> float | None:
    model.leave(name)
    model.run(model.now + FAREWELL + STEP)
    model.start(name)
    return until(model, model.settled, end)


if __name__ == "__main__":
    print(
        msgspec.json.encode(
            play(msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ModelSpec))
        ).decode()
    )
