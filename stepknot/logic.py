"""All decisions of stepknot. Settings, events and actions: `stepknot/interface.py`.

After "Dependency Capsules": a capsule per server holds what this aggregator has out there (n) and a recent
mean response time. A part goes to the replica with the fewest out. A query that needs all its parts is
refused before any send if a chosen server is at its bound; other parts wait less the more is out, and are
bypassed when that wait is under the server's mean. At the wait's end the query is answered from what came.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from stepknot.interface import (
    Action, Answer, AttemptEnded, Cancel, Effect, Event, Fail, ListKind, ListReceived, Outcome,
    PartArrived, ProbeEnded, QueryArrived, QueryClass, QueryGone, Refuse, Send, ServerEntry, ServerState,
    SetTimer, Settings, TimerDue, Watch,
)

# The watermark beta is what a server is seen to finish within this share of the shortest base wait of all
# classes: a queue that the most hurried class can bear. A fixed count is far off on most fleets (40 was never
# reached here while everything timed out). The rest is for the spread of work and for the other brokers.
BETA_SHARE = 0.6
LEAST_BETA = 2.0  # however slow a server was seen to be: with nothing out nothing would be learnt
ALPHA_SHARE = 0.25  # of beta: from here on the wait shrinks; all-parts queries are refused from beta on
MARGIN = 0.05  # share of the aim kept back for the way to the client: the base wait is the rest
SECOND_STEP = 1 / 3  # share of the base wait kept back for a second step, which has fewer and lighter parts
UNHEARD = 0.1  # mean response time, in aims, before any server was heard
MEAN_WEIGHT = 0.2  # of a new sample: about the last ten responses count
# A failure counts as out, in the choice alone, for this many shortest waits, and twice as long for each further
# one with no answer between. Else a server that fails quickly or forgets its work looks idle.
FAILURE_HOLD = 4.0
HOLD_DOUBLINGS = 2
GUARD_TICKS = 4  # a final answer is given this many ticks before the client's time is up
WATCH_RETRY = 0.25  # share of the ask-within rule after which a broken subscription is asked for again
WATCH_TOKEN = 0  # timers carry a query's number plus one, or this
EPSILON = 1e-6  # weights add up to 1 but for rounding


@dataclass(slots=True)
class Capsule:
    """What this aggregator knows of one server."""

    entry: ServerEntry
    calls: dict[tuple[int, int], int] = field(default_factory=dict)  # (turn, call of that turn) -> parts out
    mean: float | None = None
    pace: float | None = None  # recent response time divided by the number out when it was sent
    failures: list[float] = field(default_factory=list)  # until when each counts as out
    streak: int = 0  # failures since the last answer
    turn: int = -1  # the turn of the last send, and how many parts were sent in it
    turn_parts: int = 0
    sends: list[float] = field(default_factory=list)  # times of sends while cold

    @property
    def out(self) -> int:
        return len(self.calls)

    def fail(self, now: float, hold: float) -> None:
        self.failures.append(now + hold * 2 ** min(self.streak, HOLD_DOUBLINGS))
        self.streak += 1

    def failed(self, now: float) -> int:
        self.failures = [until for until in self.failures if until > now]
        return len(self.failures)

    def hear(self, elapsed: float, out: int, censored: bool) -> None:
        """A response time; a censored one (timed out, cancelled) tells only that it would be longer."""
        self.mean = blend(self.mean, elapsed, censored)
        self.pace = blend(self.pace, elapsed / max(out, 1), censored)


def blend(old: float | None, sample: float, censored: bool) -> float:
    if old is None:
        return sample
    return old if censored and sample <= old else old + MEAN_WEIGHT * (sample - old)


@dataclass(slots=True)
class Part:
    part_id: int
    shard: int
    weight: float
    attempts: int = 0
    out: int = 0
    served: bool = False
    may_have_run: bool = False
    may_run_since: float | None = None  # the first send that is not known to have never run
    tried: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Query:
    query_id: int
    number: int
    kind: QueryClass
    arrived: float
    deadline: float
    step: list[Part] = field(default_factory=list)  # the present step's parts
    first: list[Part] = field(default_factory=list)  # the first step's, once it is answered
    first_whole: bool = True
    wait_end: float = 0.0

    @property
    def served(self) -> float:
        return sum(part.weight for part in self.step if part.served)

    @property
    def in_work(self) -> float:
        """The weight that may still come."""
        return sum(part.weight for part in self.step if part.out and not part.served)


@dataclass(slots=True)
class Attempt:
    server: str
    call: tuple[int, int]
    part: Part
    query: Query
    out: int  # what was out there with it


class Aggregator:
    """One instance. It shares nothing and knows no time but that of the calls of `handle`."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.capsules: dict[str, Capsule] = {}
        self.queries: dict[int, Query] = {}  # by number
        self.numbers: dict[int, int] = {}  # query id -> number
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.cells: dict[int, list[Capsule]] = {}
        self.actions: list[Action] = []
        self.fresh: dict[int, Query] = {}  # queries with parts not placed yet
        self.now = 0.0
        self.turn = 0
        self.taken: deque[float] = deque()  # times of queries and parts, and of further attempts
        self.extras: deque[float] = deque()
        self.watching = False
        self.shortest_wait = min((kind.aim * (1 - MARGIN) for kind in settings.classes.values()), default=1.0)

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.now, self.actions = now, []
        self.turn += 1
        if self.turn == 1 and self.settings.must_ask:
            self.actions.append(Watch())
        for event in events:
            match event:
                case AttemptEnded():
                    self.on_attempt_ended(event)
                case QueryArrived():
                    self.on_query(event)
                case PartArrived():
                    self.on_part(event)
                case TimerDue():
                    self.on_timer(event.token)
                case QueryGone():
                    self.end(self.queries.get(self.numbers.get(event.query_id, -1)))
                case ListReceived():
                    self.on_list(event)
                case ProbeEnded():
                    pass
        for query in list(self.fresh.values()):
            self.place(query)
        self.fresh.clear()
        return self.actions

    # --- the list of servers

    def on_list(self, event: ListReceived) -> None:
        if event.kind is ListKind.FAILED:
            # Discovery is in trouble: ask again soon, well within the rule, and not all instances at once.
            delay = self.settings.rules.ask_within * WATCH_RETRY * self.random.uniform(0.5, 1.0)
            self.watching = False
            self.actions.append(SetTimer(self.now + delay, WATCH_TOKEN))
            return
        if event.kind is not ListKind.CACHED:
            self.watching = True
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            for server in [server for server in self.capsules if server not in named]:
                del self.capsules[server]
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self.capsules.pop(entry.server, None)
            elif entry.server in self.capsules:
                self.capsules[entry.server].entry = entry
            else:
                self.capsules[entry.server] = Capsule(entry)
        self.cells = {}
        for server in sorted(self.capsules):
            capsule = self.capsules[server]
            if capsule.entry.state is ServerState.LIVE:
                self.cells.setdefault(capsule.entry.cell, []).append(capsule)

    def mean(self, capsule: Capsule, kind: QueryClass) -> float:
        if capsule.mean is not None:
            return capsule.mean
        heard = [other.mean for other in self.capsules.values() if other.mean is not None]
        return sum(heard) / len(heard) if heard else kind.aim * UNHEARD

    def beta(self, capsule: Capsule, kind: QueryClass) -> float:
        pace = capsule.pace
        if pace is None:
            heard = [other.pace for other in self.capsules.values() if other.pace is not None]
            pace = sum(heard) / len(heard) if heard else kind.aim * UNHEARD
        return max(LEAST_BETA, BETA_SHARE * self.shortest_wait / max(pace, EPSILON))

    def has_room(self, capsule: Capsule, kind: QueryClass, planned: dict[str, int]) -> bool:
        """Whether a cold server may get one more part: this instance's fair part of what makes it fall over.

        Capacity is not told: a server is taken to do one part of mean response time at a time (most do more).
        """
        rules = self.settings.rules
        age = self.now - capsule.entry.up_since
        if capsule.entry.up_since <= 0 or age >= rules.cold_time:
            return True
        able = rules.cold_share + (1 - rules.cold_share) * max(age, 0.0) / rules.cold_time
        heard = [other.mean for other in self.capsules.values() if other.mean is not None]
        work = min(heard, default=kind.aim * UNHEARD)
        budget = rules.fall_multiple * able * rules.fall_time / work / self.settings.instances
        capsule.sends = [sent for sent in capsule.sends if sent > self.now - rules.fall_time]
        sends = len(capsule.sends) + planned.get(capsule.entry.server, 0)
        return sends + 1 <= max(1.0, budget)

    # --- queries

    def on_query(self, event: QueryArrived) -> None:
        self.taken.append(self.now)
        kind = self.settings.classes.get(event.class_name)
        if kind is None:
            self.actions.append(Refuse(event.query_id))
            return
        query = Query(event.query_id, event.number, kind, self.now, event.deadline)
        self.queries[event.number] = self.fresh[event.number] = query
        self.numbers[event.query_id] = event.number
        guard = GUARD_TICKS * self.settings.tick
        wait = kind.aim * (1 - MARGIN) * (1 - SECOND_STEP if kind.second_step_parts else 1)
        query.wait_end = self.now + min(wait, event.deadline - guard - self.now)

    def on_part(self, event: PartArrived) -> None:
        self.taken.append(self.now)
        query = self.queries.get(event.number)
        if query is not None:
            query.step.append(Part(event.part_id, event.shard, event.weight))
            self.fresh[event.number] = query

    def place(self, query: Query) -> None:
        """Choose a server and a wait for each part, or refuse the query before any send."""
        kind, left = query.kind, query.wait_end - self.now
        plan: list[tuple[Part, Capsule, float]] = []
        planned: dict[str, int] = {}  # parts of this query by server
        for part in query.step:
            capsule = self.choose(part.shard, kind, planned)
            if capsule is None:
                continue
            out, _ = self.load(capsule, planned)
            wait, beta = left, self.beta(capsule, kind)
            alpha = ALPHA_SHARE * beta
            if kind.all_parts:
                if out >= beta:
                    continue
            elif out > alpha:
                wait = max(0.0, left * (beta - out) / (beta - alpha))
            if wait >= self.mean(capsule, kind):
                plan.append((part, capsule, wait))
                planned[capsule.entry.server] = planned.get(capsule.entry.server, 0) + 1
        if sum(part.weight for part, _, _ in plan) < kind.floor - EPSILON:
            self.give_up(query)
            return
        for part, capsule, wait in plan:
            self.send(query, part, capsule, wait)
        self.actions.append(SetTimer(query.wait_end, query.number + 1))

    def load(self, capsule: Capsule, planned: dict[str, int]) -> tuple[int, bool]:
        """The calls out, without one formed in this turn that a further part joins, and whether it does."""
        size, more = self.settings.parts_per_call, planned.get(capsule.entry.server, 0)
        sent = capsule.turn_parts if capsule.turn == self.turn else 0
        joins = (sent + more) % size > 0
        return capsule.out - (-(sent + more) // size) + (-sent // size) - joins, joins

    def choose(self, shard: int, kind: QueryClass, planned: dict[str, int],
               tried: Sequence[str] = ()) -> Capsule | None:
        """The replica with the fewest calls out; one formed in this turn takes a further part for nothing."""
        best: list[Capsule] = []
        least = (0, False)
        for step in range(self.settings.reach):
            for capsule in self.cells.get((shard + step) % self.settings.cells, []):
                if capsule.entry.server in tried or not self.has_room(capsule, kind, planned):
                    continue
                out, joins = self.load(capsule, planned)
                rank = (out + capsule.failed(self.now), not joins)
                if not best or rank < least:
                    best, least = [capsule], rank
                elif rank == least:
                    best.append(capsule)
        return self.random.choice(best) if best else None

    def send(self, query: Query, part: Part, capsule: Capsule, wait: float) -> None:
        if capsule.turn != self.turn:
            capsule.turn, capsule.turn_parts = self.turn, 0
        call = (self.turn, capsule.turn_parts // self.settings.parts_per_call)
        capsule.turn_parts += 1
        capsule.calls[call] = capsule.calls.get(call, 0) + 1
        capsule.sends.append(self.now)
        server = capsule.entry.server
        self.attempts[part.part_id, part.attempts] = Attempt(server, call, part, query, capsule.out)
        part.attempts += 1
        part.out += 1
        part.tried.append(server)
        if part.may_run_since is None:
            part.may_run_since = self.now
        self.actions.append(Send(part.part_id, server, wait))

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.part_id, event.attempt), None)
        if attempt is None:
            return
        part, query = attempt.part, attempt.query
        part.out -= 1
        capsule = self.capsules.get(attempt.server)
        if capsule is not None and attempt.call in capsule.calls:
            capsule.calls[attempt.call] -= 1
            if not capsule.calls[attempt.call]:
                del capsule.calls[attempt.call]
            if event.outcome in (Outcome.SERVED, Outcome.TIMED_OUT, Outcome.CANCELLED):
                capsule.hear(event.elapsed, attempt.out, event.outcome is not Outcome.SERVED)
            if event.outcome is Outcome.SERVED:
                capsule.streak = 0
            elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
                capsule.fail(self.now, FAILURE_HOLD * self.shortest_wait)
        part.served |= event.outcome is Outcome.SERVED
        part.may_have_run |= not event.outcome.never_ran
        if not part.out and not part.may_have_run:
            part.may_run_since = None
        if self.queries.get(query.number) is not query or part not in query.step:
            return
        if not part.served and not part.out and event.outcome is not Outcome.NOT_SENT:
            self.send_again(query, part)
        if query.served + query.in_work < query.kind.floor - EPSILON:
            self.give_up(query)
        elif not query.in_work:
            self.conclude(query)

    def send_again(self, query: Query, part: Part) -> None:
        """A failed part goes to another replica if it may be repeated and there is time and room."""
        kind, limits = query.kind, self.settings.limits
        if part.attempts >= limits.max_attempts or not self.may_repeat(kind, part) or not self.in_budget():
            return
        capsule = self.choose(part.shard, kind, {}, part.tried) or self.choose(part.shard, kind, {})
        wait = query.wait_end - self.now
        if capsule and capsule.out < self.beta(capsule, kind) and wait >= self.mean(capsule, kind):
            self.extras.append(self.now)
            self.send(query, part, capsule, wait)

    def may_repeat(self, kind: QueryClass, part: Part) -> bool:
        if kind.effect is Effect.SAFE or part.may_run_since is None:
            return True
        return kind.effect is Effect.KEYED and self.now < part.may_run_since + kind.repeat_window - EPSILON

    def in_budget(self) -> bool:
        rules = self.settings.rules
        for times in (self.taken, self.extras):
            while times and times[0] <= self.now - rules.extra_window:
                times.popleft()
        allowed = rules.extra_floor + rules.extra_share * len(self.taken)
        return not rules.extra_window or len(self.extras) + 1 <= allowed

    def on_timer(self, token: int) -> None:
        if token == WATCH_TOKEN:
            if not self.watching:
                self.actions.append(Watch())
            return
        query = self.queries.get(token - 1)
        if query is not None and self.now >= query.wait_end - EPSILON:
            self.conclude(query)

    def conclude(self, query: Query) -> None:
        """The wait is over, or nothing is out any more: answer from what came, or give the query up."""
        if query.number in self.fresh:
            return
        kind = query.kind
        if not query.step or query.served < kind.floor - EPSILON:
            self.give_up(query)
            return
        second = bool(query.first)
        need = 1.0 if second else kind.need
        whole = query.first_whole and query.served >= need - EPSILON
        self.actions.append(Answer(query.query_id, whole))
        if kind.second_step_parts and not second:
            self.cancel(query)
            query.first, query.step, query.first_whole = query.step, [], whole
            guard = GUARD_TICKS * self.settings.tick
            query.wait_end = min(query.arrived + kind.aim * (1 - MARGIN), query.deadline - guard)
            self.actions.append(SetTimer(query.wait_end, query.number + 1))
        else:
            self.end(query)

    def give_up(self, query: Query) -> None:
        """The final answer at once; a refusal only where nothing that must not be repeated may have run."""
        parts = query.step + query.first
        if query.kind.effect is Effect.SAFE or not any(part.may_have_run or part.out for part in parts):
            self.actions.append(Refuse(query.query_id))
        else:
            self.actions.append(Fail(query.query_id))
        self.end(query)

    def end(self, query: Query | None) -> None:
        if query is None:
            return
        self.cancel(query)
        self.queries.pop(query.number, None)
        self.numbers.pop(query.query_id, None)
        self.fresh.pop(query.number, None)

    def cancel(self, query: Query) -> None:
        """Call off what is still out: its answer would serve nothing."""
        if not self.settings.limits.cancelling:
            return
        for part in query.step:
            for number in range(part.attempts):
                if (part.part_id, number) in self.attempts:
                    self.actions.append(Cancel(part.part_id, number))
