"""What many instances together send to a cold server: the module alone, on a clock of its own, all chance by seed.

One server is cold and the only holder of shard 0; it has one core, which does parts in their order and slower while
cold. Each instance heard a warm server before. `worst` is the most that any sliding window got beyond the budget N, in
units of what chance may add, 2 x root of N + 2; `used` the mean share of N; `admitted` the share of what was asked for.

With `shares` only instances are played that may send to it (stepknot/subsets/slow_start.py), each by its own view:
the first, the second, and so on in turn.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from stepknot.decisions import Aggregator
from stepknot.interface import (
    AttemptEnded,
    Event,
    Limits,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    QueryArrived,
    QueryClass,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    Settings,
)
from stepknot.subsets.rendezvous import uniform_hash
from stepknot.subsets.slow_start import SlowStartShare

STEP = 0.05  # seconds of the clock
BEGAN = 1000.0
RULES = Rules(drain_grace=0.5, cold_share=0.2, cold_time=10.0, fall_multiple=3.0, fall_time=1.0)
WORK = {"light": 0.05, "heavy": 0.15}  # seconds of a core for a part of the class
MEAN = sum(WORK.values()) / len(WORK)
HEARD = 30  # responses of each class from the warm server
Rate = Callable[
    [int, float], float
]  # queries a second of an instance, at a time since the beginning
DEMANDS: dict[str, Rate] = {
    "steady": lambda instance, passed: 2.0,
    "idle, then a burst": lambda instance, passed: 40.0 if passed >= 2.0 else 0.0,
    "uneven": lambda instance, passed: 20.0 if instance % 10 == 0 else 0.5,
    "restarted": lambda instance, passed: 10.0,
    "trickle": lambda instance, passed: 0.1,
}
RESTART_EVERY = 2.0  # seconds, in the mean, for each instance of "restarted"


@dataclass(frozen=True, slots=True)
class Found:
    worst: float
    used: float
    admitted: float


def settings(instances: int) -> Settings:
    classes = {name: QueryClass(name, aim=1.0, deadline=3.0, worth=1.0) for name in WORK}
    return Settings(
        instances,
        cells=2,
        reach=1,
        parts_per_call=1,
        classes=classes,
        rules=RULES,
        limits=Limits(max_attempts=1, cancelling=True),
    )


class World:
    def __init__(
        self, instances: int, age: float, seed: int, shares: Sequence[SlowStartShare] = ()
    ) -> None:
        self.chance, self.settings = random.Random(seed), settings(instances)
        self.up, self.begin = BEGAN, BEGAN + age
        self.last_id, self.free, self.asked = 0, 0.0, 0
        self.sent: list[tuple[float, float]] = []  # when, and the work
        self.due: list[
            tuple[float, int, int, float]
        ] = []  # parts out: until when, of whom, which, since when
        views = [shares[number % len(shares)] if shares else None for number in range(instances)]
        self.members = [
            (number, view.divisor if view else 0.0)
            for number, view in enumerate(views)
            if view is None or view.is_eligible(uniform_hash(f"broker-{number} of {seed}", "cold"))
        ]
        self.instances = [self.start(self.begin - 20.0, sharers) for _, sharers in self.members]

    def start(self, now: float, sharers: float) -> Aggregator:
        """An instance that knows the warm server's work, and the cold one."""
        found = Aggregator(self.settings, self.chance.getrandbits(60))
        warm = ServerEntry("warm", "a", 1, ServerState.LIVE)
        found.handle(now, [ListReceived(ListKind.CACHED, (warm,))])
        for _ in range(HEARD):
            for name, work in WORK.items():
                part = self.ask(found, now, name, 1)
                found.handle(now, [AttemptEnded(part, 0, "warm", Outcome.SERVED, work)])
        cold = ServerEntry("cold", "a", 0, ServerState.LIVE, up_since=self.up, sharers=sharers)
        found.handle(now, [ListReceived(ListKind.FULL, (warm, cold))])
        return found

    def ask(self, instance: Aggregator, now: float, name: str, shard: int) -> int:
        """The part that was sent, 0 where the query was refused."""
        self.last_id += 2
        events: list[Event] = [
            QueryArrived(self.last_id, self.last_id, name, now + 3.0),
            PartArrived(self.last_id + 1, self.last_id, shard, 1.0),
        ]
        sends = [each for each in instance.handle(now, events) if isinstance(each, Send)]
        return sends[0].part_id if sends else 0

    def able(self, now: float) -> float:
        return min(
            RULES.cold_share + (1 - RULES.cold_share) * max(now - self.up, 0.0) / RULES.cold_time,
            1.0,
        )

    def turn(self, now: float, rate: Rate, restarts: bool) -> None:
        for _, place, part, since in [each for each in self.due if each[0] <= now]:
            self.instances[place].handle(
                now, [AttemptEnded(part, 0, "cold", Outcome.SERVED, now - since)]
            )
        self.due = [each for each in self.due if each[0] > now]
        for place, (number, sharers) in enumerate(self.members):
            if restarts and self.chance.random() < STEP / RESTART_EVERY:
                self.instances[place] = self.start(now, sharers)
            if self.chance.random() < rate(number, now - self.begin) * STEP:
                self.asked += 1
                name = self.chance.choice(list(WORK))
                part = self.ask(self.instances[place], now, name, 0)
                if part:
                    self.sent.append((now, WORK[name]))
                    self.free = max(self.free, now) + WORK[name] / self.able(now)
                    self.due.append((self.free, place, part, now))

    def judge(self, seconds: float) -> Found:
        worst, used = -math.inf, []
        for step in range(int((seconds - RULES.fall_time) / STEP)):
            low = self.begin + step * STEP
            high = low + RULES.fall_time
            if high > self.up + RULES.cold_time:
                break  # it is warm
            got = (
                sum(work for at, work in self.sent if low - STEP / 2 <= at < high - STEP / 2) / MEAN
            )
            budget = RULES.fall_multiple * self.able(high) * RULES.fall_time / MEAN
            worst = max(worst, (got - budget) / (2 * math.sqrt(budget) + 2))
            used.append(got / budget)
        return Found(worst, sum(used) / len(used), len(self.sent) / max(self.asked, 1))


def play(
    instances: int,
    demand: str,
    age: float,
    seed: int,
    seconds: float = 6.0,
    shares: Sequence[SlowStartShare] = (),
) -> Found:
    """`age`: the cold server's, when the play begins."""
    world = World(instances, age, seed, shares)
    for step in range(int(seconds / STEP)):
        world.turn(world.begin + step * STEP, DEMANDS[demand], demand == "restarted")
    return world.judge(seconds)
