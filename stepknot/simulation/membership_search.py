"""Random days for membership, each drawn from its seed, with what must hold after every step.

Swarm style: each seed draws its size, which kinds of trouble it has, and when. A gentle seed has only what is to be
borne without any death of the living: loss, late and copied datagrams, pauses up to the bound, a quarter of the members
crashing. A rough one has anything. Invariants:

1. A gentle day holds nobody dead that ran all the time and stood still for no longer than the bound.
2. `at_most` is never under the processes that run; `at_least` never over those that ran lately.
3. What a member sent never passes its rate and two bursts.
4. The table's counts, records and bound fit each other.
5. Once all troubles are over, all views are one, and right, within `CONVERGED` seconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial

from stepknot.membership.model import MembershipSettings, State
from stepknot.membership.protocol import MembershipProtocol
from stepknot.simulation.membership_model import Model

TROUBLED, CONVERGED = 90.0, 60.0
STEP = 0.5
GENTLE = ("loss", "late", "copies", "pause", "crash")
ROUGH = (*GENTLE, "long pause", "cut", "deaf", "mute", "split", "massacre", "clock back")


@dataclass(frozen=True, slots=True)
class Found:
    seed: int
    size: int
    kinds: tuple[str, ...]
    wrong: str  # none: all held
    trace: str
    seconds: float = 0.0  # until all views were one


class Day:
    def __init__(self, seed: int, most: int = 24) -> None:
        chance = self.chance = random.Random(seed)
        self.seed, self.size = seed, chance.randint(3, most)
        self.gentle = chance.random() < 0.5
        kinds = GENTLE if self.gentle else ROUGH
        self.kinds = tuple(kind for kind in kinds if chance.random() < 0.5) or kinds[:1]
        self.model = Model(self.size, seed, MembershipSettings(tombstone=3000.0))
        self.cuts: set[tuple[str, str]] = set()
        self.model.network.cut = lambda source, target: (source, target) in self.cuts
        self.lately: list[tuple[float, int]] = []  # how many ran, over the last seconds
        self.crashed: set[str] = set()
        self.starts_over = 0.0

    def name(self) -> str:
        return f"b{self.chance.randrange(self.size)}"

    def plan(self) -> None:
        """What happens when, drawn ahead."""
        chance, network = self.chance, self.model.network
        for kind in self.kinds:
            for _ in range(chance.randint(1, 4)):
                self.model.at(20.0 + chance.uniform(0, TROUBLED - 20.0), partial(self.happen, kind))
        if "late" in self.kinds:
            network.late = 0.1
        if "copies" in self.kinds:
            network.copies = 0.3

    def happen(self, kind: str) -> None:
        chance, model = self.chance, self.model
        names = [each.name for each in model.up()]
        name = chance.choice(names) if names else "b0"
        if kind == "loss":
            model.network.loss = chance.uniform(0.0, 0.3)
        elif kind == "pause" and names:
            for each in chance.sample(names, max(1, len(names) // 5)):
                if model.now >= model.processes[each].paused_until + 1.0:
                    model.pause(each, chance.uniform(0.1, self.model.settings.pause - 0.5))
        elif kind == "long pause" and names:
            model.pause(name, chance.uniform(5.0, 15.0))
        elif kind == "crash" and len(self.crashed) < self.size // 4 and names:
            self.crash(name, chance.uniform(0.5, 12.0))
        elif kind == "massacre":
            for each in chance.sample(names, len(names) * 7 // 10):
                self.crash(each, chance.uniform(5.0, 8.0))
        elif kind == "clock back" and names:
            model.kill(name)
            model.start(name, epoch=0)
        elif kind in ("cut", "deaf", "mute", "split"):
            self.cut(kind, name)

    def crash(self, name: str, back: float) -> None:
        self.crashed.add(name)
        self.model.kill(name)
        self.model.at(self.model.now + back, lambda: self.start(name))

    def start(self, name: str) -> None:
        if not self.model.processes[name].running:
            self.model.start(name)

    def cut(self, kind: str, name: str) -> None:
        names = list(self.model.processes)
        if kind == "cut":
            cuts = {(name, self.chance.choice(names))}
        elif kind == "split":
            part = set(self.chance.sample(names, self.chance.randint(1, len(names) // 2)))
            cuts = {
                (one, other) for one in names for other in names if (one in part) != (other in part)
            }
        else:
            cuts = {(name, other) if kind == "mute" else (other, name) for other in names}
        self.cuts |= cuts
        self.model.at(
            self.model.now + self.chance.uniform(1.0, 25.0),
            lambda: self.cuts.difference_update(cuts),
        )

    def play(self) -> Found:
        model = self.model
        self.plan()
        wrong = ""
        for _ in model.steps(TROUBLED, STEP):
            wrong = wrong or self.look()
        model.run(model.now + 40.0)  # the last pause, cut and return
        self.cuts.clear()
        model.network.loss = model.network.late = model.network.copies = 0.0
        for name in list(model.processes):
            self.start(name)
        over = model.now
        for _ in model.steps(over + CONVERGED, STEP):
            wrong = wrong or self.look()
            if model.settled() and len({each.table.digest for each in self.members()}) == 1:
                break
        else:
            wrong = wrong or f"views still differ after {CONVERGED:g} s"
        return Found(self.seed, self.size, self.kinds, wrong, model.trace, model.now - over)

    def members(self) -> list[MembershipProtocol]:
        return [
            each.member for each in self.model.up() if isinstance(each.member, MembershipProtocol)
        ]

    def look(self) -> str:
        """What does not hold now, in one sentence; empty: all does."""
        model, now, settings = self.model, self.model.now, self.model.settings
        running = len(model.up())
        self.lately = [each for each in self.lately if each[0] > now - 3 * settings.dead_after] + [
            (now, running)
        ]
        most_lately = max(count for _, count in self.lately)
        if self.gentle:
            for when, at, change in model.false_deaths():
                if change not in self.crashed:
                    return f"{when:.2f} s: {at} holds {change} dead, which runs"
        for process in model.up():
            member, table = process.member, process.member.table  # type: ignore[attr-defined]
            count = member.count(now)
            if now >= process.paused_until and now > 3.0 and count.upper_bound < running:
                return (
                    f"{now:.2f} s: at most {count.upper_bound} by {process.name}, and {running} run"
                )
            if now > 3.0 and count.lower_bound > most_lately:
                return f"{now:.2f} s: at least {count.lower_bound} by {process.name}, and {most_lately} ran lately"
            if process.sent > settings.rate * (now - process.started) + 2 * settings.burst:
                return f"{now:.2f} s: {process.name} sent {process.sent} bytes"
            if sum(table.counts) != len(table.records) or any(
                table.records[name].state in (State.DEAD, State.LEFT) for name in table.present
            ):
                return f"{now:.2f} s: the table of {process.name} does not fit itself"
        return ""


def play(seed: int, most: int = 24) -> Found:
    return Day(seed, most).play()
