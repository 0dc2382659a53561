"""A seeded run of the decision library under several settings and faults; all actions are digested with their values.

Each scenario runs one aggregator against simulated servers that queue, pause, fail, lose a class of query, start cold,
drain and disappear. Times are on a virtual clock, and all randomness comes from a seed.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
import random
from dataclasses import dataclass, field, replace

from bench.trace_packages.trace import Trace
from stepknot import Aggregator
from stepknot.interface import (
    Action,
    Answer,
    AttemptEnded,
    Cancel,
    Close,
    Effect,
    Event,
    Fail,
    InstancesCounted,
    Limits,
    ListKind,
    ListReceived,
    Narrow,
    Outcome,
    PartArrived,
    Probe,
    ProbeEnded,
    QueryArrived,
    QueryClass,
    QueryGone,
    Refuse,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
    Watch,
)

EXPECTED = "1bc8e54d88ce0b09350c0640bf15f9c624fcd1d4a4109d5f6a82a7b3d12b3eac"

START = 500.0  # start of the virtual clock, in seconds
STRAY_SHARE = 0.02  # share of queries that are preceded by events with unknown ids
BATCH_WINDOW = 0.002  # seconds; events within this time are passed to the aggregator together
ACTIONS = (Send, Cancel, Answer, Refuse, Fail, SetTimer, Probe, Close, Watch)

CLASSES = {
    "all": QueryClass("all", aim=0.4, deadline=1.2, worth=1.0),
    "some": QueryClass("some", aim=0.4, deadline=1.2, worth=2.0, floor=0.5, partial_value=0.9),
    "need": QueryClass("need", 0.6, 1.5, 3.0, floor=0.4, need=0.7, partial_value=0.8),
    "keyed": QueryClass("keyed", 0.4, 1.2, 4.0, effect=Effect.KEYED, repeat_window=0.15),
    "unsafe": QueryClass("unsafe", 0.4, 1.2, 2.0, effect=Effect.UNSAFE),
    "steps": QueryClass("steps", 0.5, 1.5, 3.0, floor=0.5, partial_value=0.8, second_step_parts=2),
    "late": QueryClass("late", 0.3, 1.5, 3.0, late_value=0.3, floor=0.6, second_step_parts=1),
    "dear": QueryClass("dear", 0.4, 1.2, 40.0),
}
RULES = Rules(
    drain_grace=0.5,
    cold_share=0.2,
    cold_time=5.0,
    fall_multiple=3.0,
    fall_time=1.0,
    ask_within=4.0,
)
LIMITS = Limits(
    max_attempts=3, cancelling=True, second_copies=True, retry_after=True, max_retry_after=1.0
)
BASE = Settings(
    instances=3,
    cells=4,
    reach=1,
    parts_per_call=1,
    classes=CLASSES,
    rules=RULES,
    limits=LIMITS,
    tick=0.005,
)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault from `begin` to `end`, in seconds after the start, at servers whose name contains `where`."""

    what: str
    begin: float
    end: float
    where: str = ""
    probability: float = 1.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One setting with its load and its faults. The name is part of the digest."""

    name: str
    settings: Settings
    faults: tuple[Fault, ...] = ()
    rate: float = 60.0  # queries per second
    seconds: float = 6.0
    replicas: int = 3
    work: float = 0.02  # mean seconds of server time per part
    reports: float = 0.0  # share of answers with a load report
    others: float = 0.0  # mean number of other aggregators' parts at a server
    narrow: Narrow | None = None
    churn: float = 0.0  # changes of the list per second
    cold: bool = False  # whether some servers start cold
    stall: float = 0.0  # seconds without a turn in each second
    pause: float = 0.0  # seconds without queries in each three seconds
    gone: float = 0.01  # share of queries whose client disconnects


@dataclass(order=True, slots=True)
class Due:
    """A scheduled event or step of the simulation."""

    at: float
    serial: int
    what: str = field(compare=False)
    event: Event | None = field(default=None, compare=False)


class World:
    """One aggregator, its servers and its clients."""

    def __init__(self, scenario: Scenario, seed: int, trace: Trace) -> None:
        self.scenario, self.trace = scenario, trace
        self.rng = random.Random(seed)
        self.aggregator = Aggregator(scenario.settings, seed, scenario.narrow)
        self.now, self.serial, self.last_id = START, 0, 0
        self.heap: list[Due] = []
        self.free_at: dict[str, float] = {}  # by server: when its queue will be empty
        self.in_flight: dict[
            tuple[int, int], tuple[str, float]
        ] = {}  # by attempt: server, send time
        self.class_of: dict[int, str] = {}  # by part
        self.open: dict[
            int, tuple[int, str, bool]
        ] = {}  # by query: number, class, whether its first step is answered
        cells = scenario.settings.cells
        self.entries = {
            f"s{cell}{letter}": ServerEntry(
                f"s{cell}{letter}",
                "east" if letter in "ac" else "west",
                cell,
                ServerState.LIVE,
                kind="old" if letter in "ab" else "new",
            )
            for cell in range(cells)
            for letter in "abcdefgh"[: scenario.replicas]
        }

    # --- the clock

    def schedule(self, after: float, what: str, event: Event | None = None) -> None:
        self.serial += 1
        heapq.heappush(self.heap, Due(self.now + after, self.serial, what, event))

    def play(self) -> None:
        scenario = self.scenario
        if scenario.cold:
            self.start_some_cold()
        self.handle([ListReceived(ListKind.CACHED, tuple(self.entries.values()))])
        self.schedule(0.0, "query")
        if scenario.churn:
            self.schedule(0.3, "churn")
        end = START + scenario.seconds
        while self.heap and self.heap[0].at <= end:
            self.now = max(self.heap[0].at, self.now)
            if scenario.stall and self.now % 1.0 < scenario.stall:
                self.now += scenario.stall
            events: list[Event] = []
            while self.heap and self.heap[0].at <= self.now + BATCH_WINDOW:
                due = heapq.heappop(self.heap)
                if due.event is not None:
                    events += self.arrive(due.event)
                elif due.what == "query":
                    events += self.ask()
                else:
                    events += self.change_list()
            self.now += BATCH_WINDOW
            if events:
                self.handle(events)

    def handle(self, events: list[Event]) -> None:
        actions = self.aggregator.handle(self.now, events)
        self.trace.add(self.now, len(actions))
        for action in actions:
            self.trace.add(ACTIONS.index(type(action)))
            self.trace.add(*(getattr(action, each.name) for each in dataclasses.fields(action)))
            self.carry_out(action)

    def arrive(self, event: Event) -> list[Event]:
        """The event to pass on, if any: an attempt ends only once, and its elapsed time is known only now."""
        if not isinstance(event, AttemptEnded):
            return [event]
        found = self.in_flight.pop((event.part_id, event.attempt), None)
        if found is None:
            return []
        return [replace(event, elapsed=self.now - found[1])]

    # --- clients

    def new_id(self) -> int:
        self.last_id += 1
        return self.last_id

    def ask(self) -> list[Event]:
        scenario, rng = self.scenario, self.rng
        gap = rng.expovariate(scenario.rate)
        if scenario.pause and (self.now - START) % 3.0 > 3.0 - scenario.pause:
            gap += scenario.pause
        self.schedule(gap, "query")
        name = rng.choice(
            [*scenario.settings.classes, "unknown" if rng.random() < 0.05 else "some"]
        )
        kind = scenario.settings.classes.get(name, CLASSES["some"])
        query, number = self.new_id(), self.new_id() + 10**6
        remaining = kind.deadline if rng.random() < 0.9 else rng.uniform(0.0, 0.3)
        if rng.random() < scenario.gone:
            self.schedule(rng.uniform(0.0, 0.3), "event", QueryGone(query))
        events: list[Event] = self.stray_events()
        events.append(QueryArrived(query, number, name, self.now + remaining))
        self.open[query] = (number, name, False)
        return events + self.parts(number, name, rng.choice([0, 1, 1, 2, 2, 3, 4]))

    def stray_events(self) -> list[Event]:
        """Events with ids that the aggregator does not know."""
        if self.rng.random() >= STRAY_SHARE:
            return []
        unknown = 10**9
        return [
            AttemptEnded(unknown, 0, "s0a", Outcome.SERVED, 0.1),
            ProbeEnded("unknown", Outcome.SERVED, 0.1, {"inflight": 3.0}),
            QueryGone(unknown),
            PartArrived(unknown, unknown, 0, 1.0),
            TimerDue(unknown),
        ]

    def parts(self, number: int, name: str, count: int) -> list[Event]:
        rng, events = self.rng, list[Event]()
        for _ in range(count):
            part = self.new_id()
            self.class_of[part] = name
            shard = rng.randrange(self.scenario.settings.cells)
            events.append(PartArrived(part, number, shard, 1 / count))
        return events

    # --- servers

    def has_fault(self, what: str, server: str) -> bool:
        passed = self.now - START
        return any(
            each.what == what
            and each.begin <= passed < each.end
            and each.where in server
            and self.rng.random() < each.probability
            for each in self.scenario.faults
        )

    def report(self, server: str) -> dict[str, float]:
        if self.rng.random() >= self.scenario.reports:
            return {}
        held = self.rng.expovariate(1.0) * self.scenario.others
        held += max(self.free_at.get(server, 0.0) - self.now, 0.0) / self.scenario.work
        return self.rng.choice(
            [
                {"inflight": held},
                {"inflight": float(int(held))},
                {"queue": float(int(held)), "util": 0.5, "qps": 3.0},
                {"queue": held} if self.rng.random() < 0.8 else {"inflight": math.nan},
                {"qps": 3.0} if self.rng.random() < 0.5 else {"inflight": -1.0},
            ]
        )

    def carry_out(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.schedule(max(action.at - self.now, 0.0), "event", TimerDue(action.token))
            if self.rng.random() < 0.02:  # a caller may fire a timer early, or twice
                self.schedule(max(action.at - self.now, 0.0) / 2, "event", TimerDue(action.token))
        elif isinstance(action, Send):
            self.send(action)
        elif isinstance(action, Cancel):
            found = self.in_flight.get((action.part_id, action.attempt))
            if found is not None:  # otherwise its end was an event of the same turn
                part, attempt = action.part_id, action.attempt
                self.end_after(0.001, part, attempt, found[0], Outcome.CANCELLED)
        elif isinstance(action, Probe):
            self.probe(action.server)
        elif isinstance(action, Answer):
            self.answer(action.query_id)
        elif isinstance(action, Refuse | Fail):
            self.open.pop(action.query_id, None)
        elif isinstance(action, Watch):
            failed = self.has_fault("list", "list")
            event = (
                ListReceived(ListKind.FAILED)
                if failed
                else ListReceived(ListKind.FULL, tuple(self.entries.values()))
            )
            self.schedule(0.05, "event", event)

    def answer(self, query: int) -> None:
        number, name, second = self.open[query]
        kind = self.scenario.settings.classes[name]
        if kind.second_step_parts and not second:
            self.open[query] = (number, name, True)
            for event in self.parts(number, name, kind.second_step_parts):
                self.schedule(0.0, "event", event)
        else:
            del self.open[query]

    def end_after(
        self, after: float, part: int, attempt: int, server: str, outcome: Outcome
    ) -> None:
        served = outcome is Outcome.SERVED
        load = self.report(server) if served or outcome is Outcome.REJECTED else {}
        ended = AttemptEnded(part, attempt, server, outcome, 0.0, served, load)
        self.schedule(after, "event", ended)

    def send(self, action: Send) -> None:
        part, attempt, server = action.part_id, action.attempt, action.server
        self.in_flight[part, attempt] = (server, self.now)
        name = self.class_of[part]
        wait, rng = action.timeout, self.rng
        gone = server not in self.entries
        for what, outcome, after in (
            ("error", Outcome.ERROR, 0.004),
            ("reject", Outcome.REJECTED, 0.003),
            ("reset", Outcome.RESET, 0.01),
            ("refused", Outcome.NOT_CONNECTED, 0.002),
            ("not sent", Outcome.NOT_SENT, 0.001),
        ):
            if self.has_fault(what, server) or (gone and what == "refused"):
                self.end_after(min(after, wait), part, attempt, server, outcome)
                return
        if self.has_fault("unresponsive", server) or (
            name in ("keyed", "all") and self.has_fault("class_loss", server)
        ):
            self.end_after(wait, part, attempt, server, Outcome.TIMED_OUT)
            return
        work = rng.expovariate(1 / self.scenario.work)
        work *= 6.0 if self.has_fault("slow", server) else 1.0
        begin = max(self.free_at.get(server, 0.0), self.now)
        if self.has_fault("paused", server):
            begin = max(begin, self.now + 0.35)
        self.free_at[server] = begin + work
        took = begin + work - self.now + 0.001
        outcome = Outcome.SERVED if took <= wait else Outcome.TIMED_OUT
        self.end_after(min(took, wait), part, attempt, server, outcome)

    def probe(self, server: str) -> None:
        if server not in self.entries or self.has_fault("refused", server):
            ended = ProbeEnded(server, Outcome.NOT_CONNECTED, 0.002)
        elif self.has_fault("unresponsive", server) or self.has_fault("paused", server):
            self.schedule(0.2, "event", ProbeEnded(server, Outcome.TIMED_OUT, 0.2))
            return
        else:
            outcome = self.rng.choice([Outcome.SERVED] * 8 + [Outcome.REJECTED, Outcome.ERROR])
            ended = ProbeEnded(server, outcome, 0.002, self.report(server))
        self.schedule(self.rng.uniform(0.001, 0.02), "event", ended)

    # --- the endpoint list

    def start_some_cold(self) -> None:
        for server, entry in list(self.entries.items()):
            if server[-1] in "bd":
                sharers = 5.0 if server[-1] == "d" else 0.0
                self.entries[server] = replace(entry, up_since=self.now - 0.5, sharers=sharers)

    def change_list(self) -> list[Event]:
        """One change, as an update, a full list or a failure."""
        rng = self.rng
        self.schedule(rng.expovariate(self.scenario.churn), "churn")
        server = rng.choice(sorted(self.entries))
        entry = self.entries[server]
        change = rng.choice(["drain", "gone", "back", "cold", "size", "full", "failed", "counted"])
        if change == "full":
            remaining = [each for each in self.entries.values() if rng.random() < 0.95]
            return [ListReceived(ListKind.FULL, tuple(remaining))]
        if change == "failed":
            return [ListReceived(ListKind.FAILED)]
        if change == "counted":
            return [InstancesCounted(rng.choice([0, 1, 4, 40]))]
        changed = {
            "drain": replace(entry, state=ServerState.DRAINING),
            "gone": replace(entry, state=ServerState.GONE),
            "back": replace(entry, state=ServerState.LIVE),
            "cold": replace(entry, state=ServerState.LIVE, up_since=self.now),
            "size": replace(entry, size=entry.size + 1.0, sharers=2.0),
        }[change]
        self.entries[server] = changed
        return [ListReceived(ListKind.CHANGES, (changed,))]


def narrow_by_zone(
    now: float, entries: list[ServerEntry], is_safe: bool, is_second_step: bool
) -> list[int]:
    """A rule that restricts safe parts to one zone, which alternates every second."""
    if is_second_step or not is_safe:
        return list(range(len(entries)))
    zone = "east" if int(now) % 2 else "west"
    return [place for place, entry in enumerate(entries) if entry.zone == zone]


def limits(**changes: object) -> Limits:
    """The base limits with some values changed."""
    return replace(LIMITS, **changes)  # type: ignore[arg-type]


MIXED = (
    Fault("error", 0.8, 1.6, "s0a"),
    Fault("reset", 1.5, 2.5, "a", 0.4),
    Fault("unresponsive", 2.0, 3.0, "s1"),
    Fault("paused", 3.0, 3.4, "s2b"),
    Fault("slow", 3.2, 4.2, "s3"),
    Fault("reject", 4.0, 4.6, "b", 0.5),
    Fault("refused", 4.4, 5.0, "c", 0.5),
    Fault("not sent", 5.0, 5.4, "", 0.1),
    Fault("paused", 5.2, 5.6, "a"),
)
SCENARIOS = (
    Scenario("calm", BASE, (), rate=30.0, seconds=3.0),
    Scenario("mixed", BASE, MIXED),
    Scenario(
        "ring, probes, shared calls, budget",
        replace(
            BASE,
            cells=3,
            reach=2,
            parts_per_call=4,
            rules=replace(RULES, extra_window=2.0, extra_floor=3.0, extra_share=0.1),
            limits=limits(probing=True, idle_connection=2.0),
        ),
        MIXED,
        replicas=2,
        reports=0.7,
        others=4.0,
    ),
    Scenario(
        "probes of an idle fleet",
        replace(BASE, limits=limits(probing=True)),
        (Fault("unresponsive", 1.5, 2.2, "s0"),),
        rate=25.0,
        seconds=4.0,
        reports=1.0,
        others=0.2,
    ),
    Scenario(
        "asked list, no copies, no cancels",
        replace(
            BASE,
            must_ask=True,
            worth_by_work=True,
            limits=limits(
                cancelling=False, second_copies=False, retry_after=False, idle_connection=3.0
            ),
        ),
        (*MIXED, Fault("list", 0.0, 3.0, "", 0.7)),
        seconds=5.0,
        churn=2.0,
    ),
    Scenario(
        "cold servers, few instances",
        BASE,
        MIXED,
        seconds=7.0,
        rate=80.0,
        churn=3.0,
        cold=True,
        replicas=4,
    ),
    Scenario(
        "cold servers, many instances",
        replace(BASE, instances=60, parts_per_call=2),
        (Fault("error", 1.0, 4.0, "a", 0.5),),
        rate=80.0,
        seconds=5.0,
        churn=1.0,
        cold=True,
    ),
    Scenario("narrowed", BASE, MIXED, narrow=narrow_by_zone, seconds=5.0, replicas=4),
    Scenario(
        "overload",
        replace(BASE, cells=2, limits=limits(max_attempts=2)),
        (Fault("slow", 2.0, 3.0, "a"),),
        rate=160.0,
        seconds=4.0,
        work=0.03,
        reports=0.5,
        others=3.0,
    ),
    Scenario(
        "outage of all",
        replace(BASE, cells=2),
        (Fault("unresponsive", 1.0, 3.0),),
        rate=60.0,
        seconds=6.0,
    ),
    Scenario(
        "slow outage of all",
        replace(BASE, cells=2, classes={name: CLASSES[name] for name in ("all", "keyed")}),
        (Fault("unresponsive", 1.0, 3.5), Fault("refused", 4.0, 4.6)),
        rate=40.0,
        seconds=6.0,
        work=0.05,
    ),
    Scenario(
        "classes lost at some servers", BASE, (Fault("class_loss", 0.5, 5.0, "a", 0.8),), rate=70.0
    ),
    Scenario(
        "one class lost at most servers",
        replace(BASE, cells=2, classes={name: CLASSES[name] for name in ("all", "some")}),
        (Fault("class_loss", 0.5, 3.0, "a"), Fault("class_loss", 1.0, 2.5, "b", 0.9)),
        rate=60.0,
        replicas=2,
        seconds=4.0,
        work=0.005,
    ),
    Scenario("no classes", replace(BASE, classes={}), seconds=0.3),
    Scenario(
        "stalls",
        replace(BASE, limits=limits(probing=True)),
        MIXED,
        rate=80.0,
        stall=0.08,
        reports=0.3,
        others=3.0,
        seconds=5.0,
    ),
    Scenario(
        "idle connections dropped",
        replace(BASE, cells=2, limits=limits(idle_connection=30.0, second_copies=False)),
        tuple(Fault("unresponsive", 3.0 * turn, 3.0 * turn + 0.45) for turn in range(1, 8)),
        rate=12.0,
        seconds=18.0,
        replicas=2,
        pause=2.0,
        gone=0.0,
    ),
)


def record(trace: Trace) -> None:
    """Run each scenario with its own seed."""
    for seed, scenario in enumerate(SCENARIOS):
        trace.add(scenario.name)
        World(scenario, seed + 1, trace).play()
