"""The decision module alone against the list's size, replicas, parts of a query and instances, by plans of the list.

A plan says which entries of the whole list a broker takes (`PLANS`). Only the time within `handle` counts: the query's
own call, one call for each answer, and the timers that are due with them. Answers are fed back served.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable, Iterator, Sequence

from scale_report import (
    AIM,
    BROKERS,
    NANOSECONDS,
    NODES,
    QUERIES,
    REPLICAS,
    SHARDS,
    Cases,
    Effort,
    Finding,
    Gathered,
    Note,
    bytes_of,
    percentile,
    seconds_of,
)

from stepknot.decisions import Aggregator
from stepknot.interface import (
    Action,
    AttemptEnded,
    Event,
    Limits,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    Probe,
    ProbeEnded,
    QueryArrived,
    QueryClass,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
)
from stepknot.subsets.model import CellLayout, SubsetSettings
from stepknot.subsets.subset import Subset

Plan = Callable[[Sequence[ServerEntry], str], list[ServerEntry]]
BEGAN = 1000.0  # of the virtual clock
RANDOM_REPLICAS = 4  # a shard, in the random plan: two zones with two each
GAP = BROKERS / QUERIES  # seconds between two queries of one broker
RESPONSE = 0.020  # seconds, in the mean: well within the aim, so that no query is refused
PROBED_RESPONSE = 0.005  # the next query comes while most reports are fresh
BUSY = 8.0  # parts of others at each server: enough to be asked about
COLD_SINCE = 5.0  # seconds
RULES = Rules(drain_grace=0.5, cold_share=0.2, cold_time=10.0, fall_multiple=3.0, fall_time=1.0)


def whole(entries: Sequence[ServerEntry], identity: str) -> list[ServerEntry]:
    """All nodes."""
    return list(entries)


def random_few(entries: Sequence[ServerEntry], identity: str) -> list[ServerEntry]:
    """Some nodes of each cell, by the broker's name."""
    chance, cells = random.Random(identity), dict[int, list[ServerEntry]]()
    for entry in entries:
        cells.setdefault(entry.cell, []).append(entry)
    return [
        each
        for cell in cells.values()
        for each in chance.sample(cell, min(RANDOM_REPLICAS, len(cell)))
    ]


def make_subset(cells: int, identity: str) -> Subset:
    return Subset(
        SubsetSettings(identity, zone="z0"), CellLayout(cells, 1, RULES.cold_time), BROKERS
    )


def subset(entries: Sequence[ServerEntry], identity: str) -> list[ServerEntry]:
    """What `stepknot.subsets` chooses for the broker."""
    chooser = make_subset(1 + max(entry.cell for entry in entries), identity)
    chooser.take(ListReceived(ListKind.FULL, tuple(entries)))
    return [entry for event in chooser.finish(BEGAN) for entry in event.entries]


PLANS: dict[str, Plan] = {
    "whole": whole,
    "random": random_few,
    "subset": subset,
}


def make_entries(shards: int, replicas: int, cold: int = 0) -> list[ServerEntry]:
    """`cold`: so many replicas of each shard started a while ago."""
    return [
        ServerEntry(
            f"s{shard:03}-{replica:02}",
            f"z{replica % 13}",
            shard,
            ServerState.LIVE,
            up_since=BEGAN - COLD_SINCE if replica < cold else 0.0,
        )
        for replica in range(replicas)
        for shard in range(shards)
    ]


def make_settings(shards: int, instances: int = BROKERS, probing: bool = False) -> Settings:
    search = QueryClass(
        "search", aim=AIM, deadline=4 * AIM, worth=1.0, floor=0.5, partial_value=0.9
    )
    return Settings(
        instances,
        cells=shards,
        reach=1,
        parts_per_call=1,
        classes={"search": search},
        rules=RULES,
        limits=Limits(max_attempts=3, cancelling=True, probing=probing),
    )


class Driver:
    """Feeds one instance on a virtual clock, and keeps what its calls took."""

    def __init__(self, settings: Settings, entries: Sequence[ServerEntry], seed: int) -> None:
        self.settings, self.chance, self.now = settings, random.Random(seed), BEGAN
        self.aggregator = Aggregator(settings, seed)
        self.timers: list[tuple[float, int]] = []
        self.number = 0
        self.took = 0.0  # seconds, the last call
        self.placing: list[float] = []  # seconds a query
        self.answering: list[float] = []  # seconds an answer
        self.placed = self.probes = 0
        self.handle([ListReceived(ListKind.FULL, tuple(entries))])
        self.list_took = self.took

    def handle(self, events: list[Event]) -> list[Action]:
        due: list[Event] = []
        while self.timers and self.timers[0][0] <= self.now:
            due.append(TimerDue(heapq.heappop(self.timers)[1]))
        begun = time.thread_time_ns()
        actions = self.aggregator.handle(self.now, events + due)
        self.took = (time.thread_time_ns() - begun) / NANOSECONDS
        for action in actions:
            if type(action) is SetTimer:
                heapq.heappush(self.timers, (action.at, action.token))
        return actions

    def query(
        self, parts: int, response: float = RESPONSE, load: dict[str, float] | None = None
    ) -> None:
        """One from its arrival to its last answer, and the gap after it."""
        self.now += GAP
        self.number += 1
        first = self.number * 1000
        events: list[Event] = [QueryArrived(self.number, self.number, "search", self.now + 4 * AIM)]
        events += [
            PartArrived(first + place, self.number, shard, 1 / parts)
            for place, shard in enumerate(self.chance.sample(range(self.settings.cells), parts))
        ]
        actions = self.handle(events)
        spent = self.took
        probes = [each.server for each in actions if isinstance(each, Probe)]
        if probes:
            self.now += 0.001
            actions = self.handle(
                [ProbeEnded(each, Outcome.SERVED, 0.001, {"inflight": BUSY}) for each in probes]
            )
            spent += self.took
        self.probes += len(probes)
        self.placing.append(spent)
        self.answer([each for each in actions if isinstance(each, Send)], response, load or {})

    def answer(self, sends: list[Send], response: float, load: dict[str, float]) -> None:
        self.placed += len(sends)
        sent = self.now
        times = {send.part_id: response * self.chance.uniform(0.5, 1.5) for send in sends}
        for send in sorted(sends, key=lambda each: times[each.part_id]):
            after = times[send.part_id]
            self.now = sent + after
            self.handle(
                [
                    AttemptEnded(
                        send.part_id, send.attempt, send.server, Outcome.SERVED, after, load=load
                    )
                ]
            )
            self.answering.append(self.took)

    def queries(self, count: int, parts: int) -> None:
        """The first one is not counted: it makes what later ones find."""
        self.query(parts)
        self.placing, self.answering, self.placed = [], [], 0
        for _ in range(count):
            self.query(parts)

    def change(self) -> float:
        """Seconds for one entry that changes."""
        found = next(iter(self.aggregator.capsules.values())).entry
        draining = ServerEntry(
            found.server, found.zone, found.cell, ServerState.DRAINING, found.size, found.up_since
        )
        self.now += GAP
        self.handle([ListReceived(ListKind.CHANGES, (draining,))])
        return self.took


def add_parts(gathered: Gathered, x: float, driver: Driver, parts: int, count: int) -> None:
    """Microseconds a part that was asked for, in the three ways in which they are looked at."""
    placing, answering = sum(driver.placing), sum(driver.answering)
    asked = parts * count
    gathered.add("a part, all", "us", x, (placing + answering) / asked * 1e6)
    gathered.add("a part placed", "us", x, placing / asked * 1e6)
    gathered.add("an answer", "us", x, answering / max(len(driver.answering), 1) * 1e6)


def against_nodes(effort: Effort) -> Iterator[Finding]:
    """Two replicas a shard, six parts: what is left is the list's length."""
    gathered = Gathered("nodes", NODES)
    for nodes in effort.sizes(12, 200, 2000, 10_000, NODES):
        entries, settings = make_entries(nodes // 2, 2), make_settings(nodes // 2)
        for seed in effort.seeds:
            driver = Driver(settings, entries, seed)
            driver.queries(20, 6)
            add_parts(gathered, nodes, driver, 6, 20)
            gathered.add("whole list", "ms", nodes, driver.list_took * 1e3)
            gathered.add("one change", "ms", nodes, driver.change() * 1e3)
        for seed in effort.seeds:
            size, _ = bytes_of(
                lambda nodes=nodes, settings=settings, seed=seed: (  # type: ignore[misc]
                    Driver(settings, make_entries(nodes // 2, 2), seed)
                )
            )
            gathered.add("memory with the entries", "bytes", nodes, size)
    yield from gathered.series("decide, 2 replicas, 6 parts")


def against_replicas(effort: Effort) -> Iterator[Finding]:
    gathered = Gathered("replicas a shard", REPLICAS)
    for replicas in effort.sizes(2, 4, 10, 31, REPLICAS):
        entries, settings = make_entries(58, replicas), make_settings(58)
        for seed in effort.seeds:
            driver = Driver(settings, entries, seed)
            driver.queries(20, 6)
            add_parts(gathered, replicas, driver, 6, 20)
    yield from gathered.series("decide, 58 shards, 6 parts")


def against_parts(effort: Effort) -> Iterator[Finding]:
    gathered = Gathered("parts a query", SHARDS)
    entries, settings = make_entries(SHARDS, RANDOM_REPLICAS), make_settings(SHARDS)
    for parts in (6, 58, 290, SHARDS):
        count = max(2, 580 // parts // (4 if effort.quick else 1))
        for seed in effort.seeds:
            driver = Driver(settings, entries, seed)
            driver.queries(count, parts)
            add_parts(gathered, parts, driver, parts, count)
    yield from gathered.series(f"decide, 580 shards x {RANDOM_REPLICAS}")


def against_instances(effort: Effort) -> Iterator[Finding]:
    """One cold replica of four in each shard: instances share what it bears."""
    cases = Cases()
    entries = make_entries(58, 4, cold=1)
    cold = {entry.server for entry in entries if entry.up_since}
    for instances in (1, 200, BROKERS):
        for seed in effort.seeds:
            driver = Driver(make_settings(58, instances), entries, seed)
            driver.now += RULES.fall_time  # after that a new instance may use cold servers
            driver.queries(20, 58)
            case = f"decide, {instances} instances, one cold replica of 4"
            cases.add(
                case,
                "a part, all",
                "us",
                (sum(driver.placing) + sum(driver.answering)) / 20 / 58 * 1e6,
            )
            used = sum(len(driver.aggregator.capsules[each].quota.spent) for each in cold)
            cases.add(case, "parts at cold servers within a second", "parts", used)
    yield from cases.figures()


def against_probes(effort: Effort) -> Iterator[Finding]:
    """Servers that hold work of others, so that they are asked; queries follow each other at a broker's rate."""
    gathered = Gathered("holders of a query's parts", NODES)
    for parts, replicas in (
        (6, 10),
        (58, 10),
        (58, REPLICAS),
        *([] if effort.quick else [(SHARDS, REPLICAS)]),
    ):
        shards = max(parts, 58)
        entries, settings = make_entries(shards, replicas), make_settings(shards, probing=True)
        for seed in effort.seeds:
            driver = Driver(settings, entries, seed)
            driver.query(parts, PROBED_RESPONSE, {"inflight": BUSY})
            gathered.add("probes of the first query", "probes", parts * replicas, driver.probes)
            gathered.add(
                "first query placed, probes and all",
                "ms",
                parts * replicas,
                driver.placing[0] * 1e3,
            )
            first = driver.probes
            for _ in range(4):
                driver.query(parts, PROBED_RESPONSE, {"inflight": BUSY})
            gathered.add(
                "probes of a later query", "probes", parts * replicas, (driver.probes - first) / 4
            )
    yield from gathered.series("decide, probing")


def by_plan(effort: Effort) -> Iterator[Finding]:
    """All parts of a query to all shards, by what the plan keeps."""
    cases = Cases()
    shapes = ((58, 10), (58, REPLICAS), (SHARDS, REPLICAS))
    for shards, replicas in shapes[:2] if effort.quick else shapes:
        entries, settings = make_entries(shards, replicas), make_settings(shards)
        for name, plan in PLANS.items():
            for seed in effort.seeds:
                plan_case(cases, f"plan {name}, {shards}x{replicas}", settings, entries, plan, seed)
    yield from cases.figures()


def plan_case(
    cases: Cases, case: str, settings: Settings, entries: list[ServerEntry], plan: Plan, seed: int
) -> None:
    shards, count, identity = settings.cells, 2, f"broker-{seed}"
    kept = plan(entries, identity)
    cases.add(case, "nodes kept", "nodes", len(kept))
    cases.add(case, "plan made", "ms", seconds_of(lambda: plan(entries, identity)) * 1e3)
    driver = Driver(settings, kept, seed)
    driver.queries(count, shards)
    cases.add(case, "whole list", "ms", driver.list_took * 1e3)
    cases.add(case, "one change", "ms", driver.change() * 1e3)
    cases.add(case, "a part placed", "us", sum(driver.placing) / count / shards * 1e6)
    cases.add(case, "an answer, mean", "us", sum(driver.answering) / len(driver.answering) * 1e6)
    for share in (50, 99):
        cases.add(case, f"an answer, p{share}", "us", percentile(driver.answering, share))
    cases.add(
        case, "a query, all", "ms", (sum(driver.placing) + sum(driver.answering)) / count * 1e3
    )
    cases.add(case, "parts placed of those asked", "share", driver.placed / count / shards)
    size, _ = bytes_of(lambda: Driver(settings, kept, seed))
    cases.add(case, "memory beside the list", "MB", size / 1e6)
    probing = Driver(make_settings(shards, probing=True), kept, seed)
    probing.query(shards, PROBED_RESPONSE, {"inflight": BUSY})
    cases.add(case, "probes of the first query", "probes", probing.probes)


def measure(effort: Effort) -> Iterator[Finding]:
    yield Note(
        f"decide: time within Aggregator.handle alone; a query's answers come one a call, {RESPONSE * 1e3:.0f} "
        f"ms after their sends in the mean, none lost; aim {AIM * 1e3:.0f} ms, floor 0.5"
    )
    for part in (
        against_nodes,
        against_replicas,
        against_parts,
        against_instances,
        against_probes,
        by_plan,
    ):
        yield from part(effort)
