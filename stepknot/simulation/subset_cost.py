"""What a bounded subset costs in decisions: many brokers' modules over shared nodes, on a clock of their own.

Each broker is the shipped `Aggregator`, with the whole list or with what the shipped `Subset` uses of it. A node does
parts in their order on its cores; a part's work is drawn once, so every variant of one seed has the same queries at the
same times with the same work. A cold node works slower and falls for good once it got more than `Rules.fall_multiple`
times what it can do, in work drawn, within `Rules.fall_time`. Messages take a delay by pair of zones. Times in seconds.

All chance is by seed. Events stand in one heap, by time and then by when they were scheduled: a seed gives one run.
"""

from __future__ import annotations

import heapq
import random
import statistics
import time
from array import array
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from stepknot.decisions import Aggregator
from stepknot.interface import (
    Action,
    Answer,
    AttemptEnded,
    Cancel,
    Event,
    Fail,
    Limits,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    Probe,
    ProbeEnded,
    QueryArrived,
    QueryClass,
    Refuse,
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

BEGAN = 1000.0  # the clock's first moment
WARM_UP = 1.5  # before anything is counted: a process sends cold nodes nothing in its first second
AIM, DEADLINE = 0.13, 0.4
WORK = 0.010  # mean, of a core; exponential
SAME_ZONE, OTHER_ZONE = 0.0002, 0.0008  # delay of a message, one way
LIST_SPREAD = 0.1  # the last broker hears of a change so much later than the first
PROBE_PATIENCE = 0.05  # of who asks
CLASSES = {
    "all": QueryClass("all", AIM, DEADLINE, worth=1.0, late_value=0.3),
    "some": QueryClass("some", AIM, DEADLINE, worth=1.0, floor=0.5, partial_value=0.9),
}
RULES = Rules(
    drain_grace=0.5,
    cold_share=0.2,
    cold_time=3.0,
    fall_multiple=3.0,
    fall_time=1.0,
    extra_window=1.0,
    extra_floor=2.0,
    extra_share=0.1,
)
LIMITS = Limits(
    max_attempts=3,
    cancelling=True,
    probing=True,
    second_copies=True,
    retry_after=True,
    max_retry_after=1.0,
)


@dataclass(frozen=True, slots=True)
class Fleet:
    brokers: int = 24
    shards: int = 4
    replicas: int = 20
    zones: int = 4
    cores: int = 1
    parts: int = 3  # of a query, each of another shard
    load: float = 0.62  # of all cores
    seconds: float = 6.5  # counted from the end of the warm-up

    @property
    def rate(self) -> float:
        """Queries a second of all brokers."""
        return self.load * self.shards * self.replicas * self.cores / WORK / self.parts


@dataclass(frozen=True, slots=True)
class Variant:
    """`size` replicas a shard, 0: the whole list. `near` as in `SubsetSettings`."""

    size: int
    near: float = 1.0

    @property
    def name(self) -> str:
        return f"{self.size} near {self.near:g}" if self.size else "whole"


@dataclass(frozen=True, slots=True)
class Scenario:
    """Times count from the end of the warm-up. Zones are told by number, and the first broker is in the first zone."""

    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)  # from, to, times the rate
    heavy_every: int = (
        0  # one broker in so many, at least one, gets HEAVY times the mean; of several zones
    )
    heavy_zone: float = 1.0  # brokers of the first zone get so many times the mean
    slow_every: int = 0  # one node in so many is SLOW times slower
    lost: tuple[float, float] | None = None  # the second zone's nodes go, and are back cold
    drains: float | None = None  # one node in DRAIN_EVERY begins to drain


HEAVY, SLOW, DRAIN_EVERY, DRAIN_TIME = 5.0, 4.0, 10, 1.5
DETECTION = 0.5  # until the list tells of a lost node
LISTED = 0.2  # until it tells of one that is back
SCENARIOS = {
    "calm": Scenario(),
    "burst": Scenario(burst=(2.0, 5.0, 1.5)),
    "slow nodes": Scenario(slow_every=8),
    "zone lost": Scenario(lost=(1.0, 3.0)),
    "uneven brokers": Scenario(heavy_every=12),
    "uneven zones": Scenario(heavy_zone=2.0),
    "drains": Scenario(drains=2.0),
}


class ModelError(Exception):
    """An answer that its parts don't bear out."""


@dataclass(slots=True, eq=False)
class Query:
    kind: QueryClass
    arrived: float
    counted: bool
    parts: int
    served: int = 0
    finals: int = 0


@dataclass(slots=True, eq=False)
class Part:
    query: Query
    work: float
    served: bool = False


@dataclass(slots=True, eq=False)
class Job:
    """An attempt, at the broker and at the node."""

    broker: Broker
    node: Node
    part_id: int
    attempt: int
    work: float
    sent: float
    over: bool = False  # the broker has its end
    began: float | None = None  # the node works on it


@dataclass(slots=True)
class Counts:
    queries: int = 0
    whole_in_time: int = 0
    worth: float = 0.0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    parts: int = 0
    attempts: int = 0
    probes: int = 0
    falls: int = 0
    cold_peak: float = 0.0  # the most that a cold node got, as a share of what makes it fall
    late_sends: int = 0  # to a node that was told to be draining or gone for longer than the grace


@dataclass(frozen=True, slots=True)
class Found:
    """One run. Latencies in seconds, of all answers. `cpu`: the module's seconds a part, by the wall's clock."""

    counts: Counts
    p50: float
    p99: float
    p999: float
    greatest_node: float  # utilisation of the busiest node against the mean, of those that were up all the time
    greatest_zone: float  # the same of zones
    cpu: float = field(compare=False)

    @property
    def in_time(self) -> float:
        return self.counts.whole_in_time / self.counts.queries

    @property
    def worth(self) -> float:
        return self.counts.worth / self.counts.queries

    @property
    def refused(self) -> float:
        """And failed: no answer."""
        return (self.counts.refused + self.counts.failed) / self.counts.queries


class Node:
    """One queue before some cores."""

    def __init__(self, world: World, entry: ServerEntry, slow: float, hangs: bool) -> None:
        self.world, self.entry, self.slow, self.hangs = world, entry, slow, hangs
        self.free = world.fleet.cores
        self.waiting: deque[Job] = deque()
        self.running: set[Job] = set()
        self.got: deque[tuple[float, float]] = deque()  # while cold: when, and the work
        self.up, self.steady, self.busy = True, True, 0.0

    @property
    def held(self) -> int:
        return len(self.waiting) + len(self.running)

    def able(self) -> float:
        """The share of its capacity that it has now."""
        passed = (
            (self.world.now - self.entry.up_since) / RULES.cold_time if self.entry.up_since else 1.0
        )
        return min(RULES.cold_share + (1 - RULES.cold_share) * passed, 1.0)

    def receive(self, job: Job) -> None:
        if not self.up:
            if not self.hangs:
                self.reply(job, Outcome.NOT_CONNECTED)
            return
        self.waiting.append(job)
        self.check_fall(job.work)
        self.work_on()

    def check_fall(self, work: float) -> None:
        """What was sent, not what was done: a part that is cancelled counts."""
        able, now = self.able(), self.world.now
        if able >= 1.0:
            return
        self.got.append((now, work))
        while self.got[0][0] <= now - RULES.fall_time:
            self.got.popleft()
        budget = RULES.fall_multiple * able * self.world.fleet.cores * RULES.fall_time
        used = sum(each for _, each in self.got) / budget
        self.world.counts.cold_peak = max(self.world.counts.cold_peak, used)
        if used > 1.0:
            self.world.counts.falls += 1
            self.world.lose([self])

    def work_on(self) -> None:
        while self.up and self.free and self.waiting:
            job = self.waiting.popleft()
            self.free -= 1
            job.began = self.world.now
            self.running.add(job)
            self.world.after(job.work * self.slow / self.able(), self.finish, job)

    def finish(self, job: Job) -> None:
        if job in self.running:
            self.stop(job)
            self.reply(job, Outcome.SERVED)
            self.work_on()

    def cancel(self, job: Job) -> None:
        if job in self.running:
            self.stop(job)
            self.work_on()
        elif job in self.waiting:
            self.waiting.remove(job)

    def stop(self, job: Job) -> None:
        self.running.discard(job)
        self.free += 1
        if job.began is not None:
            self.busy += self.world.counted(job.began, self.world.now)

    def crash(self) -> None:
        self.up = self.steady = False
        jobs = [*self.running, *self.waiting]
        for job in list(self.running):
            self.stop(job)
        self.waiting.clear()
        if not self.hangs:
            for job in sorted(jobs, key=lambda each: (each.part_id, each.attempt)):
                self.reply(job, Outcome.RESET)

    def reply(self, job: Job, outcome: Outcome) -> None:
        load = {"inflight": float(self.held)} if outcome is Outcome.SERVED else {}
        self.world.after(job.broker.delay(self), job.broker.ended, job, outcome, load)


class Broker:
    """One module, what it is told and what it does."""

    def __init__(self, world: World, number: int, rate: float) -> None:
        fleet, seed = world.fleet, world.seed
        self.world, self.number, self.rate = world, number, rate
        self.zone = number % fleet.zones
        self.chance = random.Random(f"{seed} queries of {number}")
        self.module = Aggregator(
            world.settings, random.Random(f"{seed} module of {number}").getrandbits(60)
        )
        self.subset = self.make_subset(f"b{number}")
        self.jobs: dict[tuple[int, int], Job] = {}
        self.barred: dict[
            str, float
        ] = {}  # nodes that were told to be draining or gone, since when
        self.wake = 0.0
        self.carriers: dict[type, Callable[[Any], None]] = {
            Send: self.send,
            Cancel: self.cancel,
            Probe: self.probe,
            SetTimer: self.set_timer,
            Answer: self.answer,
            Refuse: self.refuse,
            Fail: self.fail,
        }

    def make_subset(self, identity: str) -> Subset | None:
        fleet, variant = self.world.fleet, self.world.variant
        if not variant.size:
            return None
        # A mean of one broker a node asks for less than `size` of any shard: exactly `size` holds.
        settings = SubsetSettings(
            identity, variant.size, holders=1.0, near=variant.near, zone=f"z{self.zone}"
        )
        return Subset(settings, CellLayout(fleet.shards, 1, RULES.cold_time), fleet.brokers)

    def delay(self, node: Node) -> float:
        return SAME_ZONE if node.entry.zone == f"z{self.zone}" else OTHER_ZONE

    # --- what it is told

    def feed(self, *events: Event) -> None:
        world = self.world
        begun = time.perf_counter()
        actions = self.module.handle(world.now, list(events))
        world.cpu += time.perf_counter() - begun
        for action in actions:
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        carrier = self.carriers.get(type(action))
        if (
            carrier is not None
        ):  # Close and Watch: there are no connections, and all changes are told
            carrier(action)

    def take_list(self, event: ListReceived) -> None:
        for entry in event.entries:
            if entry.state is ServerState.LIVE:
                self.barred.pop(entry.server, None)
            else:
                self.barred.setdefault(entry.server, self.world.now)
        if self.subset is None:
            self.feed(event)
        else:
            self.subset.on_watch_event(event)
            self.choose()

    def choose(self) -> None:
        """All that the subset has to do, now and when a cold node is warm."""
        assert self.subset is not None
        for event in self.subset.run_to_end(self.world.now):
            self.feed(event)
        warm_at = self.subset.next_warm_up()
        if warm_at is not None and warm_at != self.wake:
            self.wake = warm_at
            self.world.at(warm_at, self.choose)

    def arrive(self) -> None:
        """A query, unless the scenario's rate is under its greatest and chance leaves this one out."""
        world, chance = self.world, self.chance
        shards = chance.sample(range(world.fleet.shards), world.fleet.parts)
        work = [chance.expovariate(1 / WORK) for _ in shards]
        kind = CLASSES["all" if chance.random() < 0.6 else "some"]
        wanted = chance.random() * world.peak < world.factor()
        world.at(world.now + chance.expovariate(self.rate * world.peak), self.arrive)
        if wanted and world.now < world.end:
            self.ask(kind, shards, work)

    def ask(self, kind: QueryClass, shards: list[int], work: list[float]) -> None:
        world = self.world
        query = Query(kind, world.now, world.now >= world.begin, len(shards))
        query_id = world.add_query(query)
        events: list[Event] = [
            QueryArrived(query_id, query_id, kind.name, world.now + kind.deadline)
        ]
        for shard, each in zip(shards, work, strict=True):
            part_id = world.add_part(Part(query, each))
            events.append(PartArrived(part_id, query_id, shard, 1 / len(shards)))
        self.feed(*events)

    def ended(self, job: Job, outcome: Outcome, load: dict[str, float]) -> None:
        if job.over:
            return
        job.over = True
        del self.jobs[job.part_id, job.attempt]
        part = self.world.parts[job.part_id]
        if outcome is Outcome.SERVED and not part.served:
            part.served = True
            part.query.served += 1
        elapsed = self.world.now - job.sent
        self.feed(
            AttemptEnded(
                job.part_id, job.attempt, job.node.entry.server, outcome, elapsed, load=load
            )
        )

    def time_out(self, job: Job) -> None:
        if not job.over:
            self.world.after(self.delay(job.node), job.node.cancel, job)
            self.ended(job, Outcome.TIMED_OUT, {})

    def probed(self, node: Node, asked: float, outcome: Outcome, load: dict[str, float]) -> None:
        self.feed(ProbeEnded(node.entry.server, outcome, self.world.now - asked, load))

    def timer(self, token: int) -> None:
        self.feed(TimerDue(token))

    # --- what it does

    def send(self, action: Send) -> None:
        world, node = self.world, self.world.nodes[action.server]
        part = world.parts[action.part_id]
        since = self.barred.get(action.server)
        world.counts.late_sends += since is not None and world.now > since + RULES.drain_grace
        world.counts.attempts += part.query.counted
        job = Job(self, node, action.part_id, action.attempt, part.work, world.now)
        self.jobs[job.part_id, job.attempt] = job
        world.after(self.delay(node), node.receive, job)
        world.after(action.timeout, self.time_out, job)

    def cancel(self, action: Cancel) -> None:
        job = self.jobs.get((action.part_id, action.attempt))
        if job is not None:
            self.world.after(self.delay(job.node), job.node.cancel, job)
            self.world.after(0.0, self.ended, job, Outcome.CANCELLED, {})

    def probe(self, action: Probe) -> None:
        world, node = self.world, self.world.nodes[action.server]
        world.counts.probes += world.begin <= world.now < world.end
        world.after(self.delay(node), self.probe_arrives, node, world.now)

    def probe_arrives(self, node: Node, asked: float) -> None:
        if node.up:
            load = {"inflight": float(node.held)}
            self.world.after(self.delay(node), self.probed, node, asked, Outcome.SERVED, load)
        elif node.hangs:
            self.world.at(asked + PROBE_PATIENCE, self.probed, node, asked, Outcome.TIMED_OUT, {})
        else:
            self.world.after(self.delay(node), self.probed, node, asked, Outcome.NOT_CONNECTED, {})

    def set_timer(self, action: SetTimer) -> None:
        self.world.at(max(action.at, self.world.now), self.timer, action.token)

    def answer(self, action: Answer) -> None:
        world, query = self.world, self.world.queries[action.query_id]
        if action.whole and query.served < query.parts:
            raise ModelError(
                f"query {action.query_id}: answered as whole with {query.served} of {query.parts} parts"
            )
        if self.final(query):
            took = world.now - query.arrived
            world.counts.answered += 1
            world.latencies.append(took)
            in_time = took <= query.kind.aim
            world.counts.whole_in_time += in_time and action.whole
            share = 1.0 if action.whole else query.kind.partial_value * query.served / query.parts
            world.counts.worth += (
                query.kind.worth * share * (1.0 if in_time else query.kind.late_value)
            )

    def refuse(self, action: Refuse) -> None:
        self.world.counts.refused += self.final(self.world.queries[action.query_id])

    def fail(self, action: Fail) -> None:
        self.world.counts.failed += self.final(self.world.queries[action.query_id])

    def final(self, query: Query) -> bool:
        """Whether it counts."""
        query.finals += 1
        return query.counted


class World:
    """The clock, the nodes and the brokers of one run."""

    def __init__(
        self, scenario: str, variant: Variant, seed: int, fleet: Fleet | None = None
    ) -> None:
        self.fleet, self.variant, self.seed = fleet or Fleet(), variant, seed
        self.scenario = SCENARIOS[scenario]
        self.settings = Settings(
            self.fleet.brokers, self.fleet.shards, 1, 1, CLASSES, RULES, LIMITS
        )
        self.now, self.begin = BEGAN, BEGAN + WARM_UP
        self.end = self.begin + self.fleet.seconds
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.scheduled = 0
        self.counts, self.cpu = Counts(), 0.0
        self.latencies = array("d")  # seconds, of queries answered
        self.queries: dict[int, Query] = {}
        self.parts: dict[int, Part] = {}
        self.peak = max(self.scenario.burst[2], 1.0)
        self.nodes = self.make_nodes()
        self.brokers = [
            Broker(self, number, self.fleet.rate * share)
            for number, share in enumerate(self.shares())
        ]
        self.start()

    def make_nodes(self) -> dict[str, Node]:
        fleet, slow_every = self.fleet, self.scenario.slow_every
        found = {}
        for number in range(fleet.shards * fleet.replicas):
            shard, replica = divmod(number, fleet.replicas)
            entry = ServerEntry(
                f"n{shard}-{replica}", f"z{replica % fleet.zones}", shard, ServerState.LIVE
            )
            # Shifted from shard to shard, so that slow ones, and those that hang once lost, are in all zones.
            slow = SLOW if slow_every and (replica + shard) % slow_every == 0 else 1.0
            found[entry.server] = Node(self, entry, slow, hangs=replica // fleet.zones % 2 == 0)
        return found

    def shares(self) -> list[float]:
        """Of all queries, by broker."""
        count, scenario = self.fleet.brokers, self.scenario
        favoured, times = range(0, count, self.fleet.zones), scenario.heavy_zone
        if scenario.heavy_every:
            heavy = max(count // scenario.heavy_every, 1)
            favoured, times = range(0, count, count // heavy + 1), HEAVY
        other = (count - times * len(favoured)) / (count - len(favoured))
        if other <= 0:
            raise ValueError(
                f"{count} brokers are too few for {len(favoured)} with {times:g} times the mean"
            )
        return [(times if number in favoured else other) / count for number in range(count)]

    def start(self) -> None:
        entries = tuple(node.entry for node in self.nodes.values())
        for broker in self.brokers:
            self.at(self.now, broker.take_list, ListReceived(ListKind.FULL, entries))
            self.at(self.now + broker.chance.expovariate(broker.rate * self.peak), broker.arrive)
        if self.scenario.lost is not None:
            lost = [node for node in self.nodes.values() if node.entry.zone == "z1"]
            gone, back = self.scenario.lost
            self.at(self.begin + gone, self.lose, lost)
            self.at(self.begin + back, self.bring_back, lost)
        if self.scenario.drains is not None:
            drained = list(self.nodes.values())[::DRAIN_EVERY]
            self.at(self.begin + self.scenario.drains, self.drain, drained)

    # --- the clock

    def at(self, when: float, what: Callable[..., None], *args: Any) -> None:
        self.scheduled += 1
        heapq.heappush(self.heap, (when, self.scheduled, what, args))

    def after(self, seconds: float, what: Callable[..., None], *args: Any) -> None:
        self.at(self.now + seconds, what, *args)

    def run(self) -> Found:
        """Until every query's deadline is over."""
        until = self.end + 2 * DEADLINE
        while self.heap and self.heap[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.heap)
            what(*args)
        return self.found()

    def counted(self, begun: float, ended: float) -> float:
        """The seconds of this span that count."""
        return max(min(ended, self.end) - max(begun, self.begin), 0.0)

    def factor(self) -> float:
        begin, end, times = self.scenario.burst
        return times if begin <= self.now - self.begin < end else 1.0

    # --- queries

    def add_query(self, query: Query) -> int:
        number = len(self.queries) + 1
        self.queries[number] = query
        self.counts.queries += query.counted
        return number

    def add_part(self, part: Part) -> int:
        number = len(self.parts) + 1
        self.parts[number] = part
        self.counts.parts += part.query.counted
        return number

    # --- the list

    def tell(self, nodes: list[Node], state: ServerState) -> None:
        """Each broker hears of it a little later than the one before."""
        for node in nodes:
            node.entry = replace(node.entry, state=state)
        event = ListReceived(ListKind.CHANGES, tuple(node.entry for node in nodes))
        for broker in self.brokers:
            self.after(LIST_SPREAD * broker.number / len(self.brokers), broker.take_list, event)

    def lose(self, nodes: list[Node]) -> None:
        for node in nodes:
            node.crash()
        self.after(DETECTION, self.tell, nodes, ServerState.GONE)

    def bring_back(self, nodes: list[Node]) -> None:
        for node in nodes:
            node.up, node.entry = True, replace(node.entry, up_since=self.now)
            node.got.clear()
        self.after(LISTED, self.tell, nodes, ServerState.LIVE)

    def drain(self, nodes: list[Node]) -> None:
        for node in nodes:
            node.steady = False
        self.tell(nodes, ServerState.DRAINING)
        self.after(DRAIN_TIME, self.lose, nodes)

    # --- what came of it

    def found(self) -> Found:
        nodes = [node for node in self.nodes.values() if node.steady]
        zones: dict[str, list[float]] = {}
        for node in nodes:
            zones.setdefault(node.entry.zone, []).append(node.busy)
        mean = sum(node.busy for node in nodes) / len(nodes)
        zone = max(sum(each) / len(each) for each in zones.values())
        by_thousandth = statistics.quantiles(self.latencies, n=1000, method="inclusive")
        p50, p99, p999 = by_thousandth[499], by_thousandth[989], by_thousandth[998]
        return Found(
            self.counts,
            p50,
            p99,
            p999,
            max(node.busy for node in nodes) / mean,
            zone / mean,
            self.cpu / max(len(self.parts), 1),
        )


def play(scenario: str, variant: Variant, seed: int, fleet: Fleet | None = None) -> Found:
    return World(scenario, variant, seed, fleet).run()
