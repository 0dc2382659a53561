"""All decisions of stepknot. Settings, events and actions: `stepknot/interface.py`.

After "Dependency Capsules": a capsule per server holds what this aggregator has out there (n) and a recent
mean response time. A part goes to the replica with the fewest out. A query that needs all its parts is
refused before any send if a chosen server is at its bound; other parts wait less the more is out, and are
bypassed when that wait is under the server's mean. At the wait's end the query is answered from what came.
"""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from stepknot.interface import (
    Action, Answer, AttemptEnded, Cancel, Effect, Event, Fail, ListKind, ListReceived, Outcome,
    PartArrived, QueryArrived, QueryClass, QueryGone, Refuse, Send, ServerEntry, ServerState,
    SetTimer, Settings, TimerDue, Watch,
)

# The watermark beta is what a server is seen to finish within this share of the shortest base wait of all
# classes: a queue that the most hurried class can bear. A fixed count is far off on most fleets (40 was never
# reached here while everything timed out). The rest is for the spread of work and for the other brokers.
BETA_SHARE = 0.7
LEAST_BETA = 2.0  # however slow a server was seen to be: with nothing out nothing would be learnt
ALPHA_SHARE = 0.5  # of beta: from here on the wait shrinks; all-parts queries are refused from beta on
COPY_SHARE = 0.25  # of beta: a copy goes only to a replica under it, so that copies never feed a jam
# Where servers near beta, work goes where it earns most: a query's beta grows with its worth for each part
# against the recent mean, by the root, and within these bounds, so that no class or tenant starves.
LEAST_FAVOUR, MOST_FAVOUR = 0.6, 1.5
WORTH_WEIGHT = 0.02  # of a query in that mean
RATE_SPAN = 5.0  # seconds over which a tenant's rate is counted
MARGIN = 0.05  # share of the aim kept back for the way to the client: the base wait is the rest
SECOND_STEP = 1 / 3  # share of the base wait kept back for a second step, which has fewer and lighter parts
UNHEARD = 0.1  # mean response time, in aims, before any server was heard
MEAN_WEIGHT = 0.2  # of a new sample: about the last ten responses count
# A failure counts as out, in the choice alone, for so many shortest waits. Else a server that fails quickly
# or forgets its work looks idle.
FAILURE_HOLD, MOST_HELD = 4.0, 3  # so many errors at most: errors that all servers share must not unbalance
OVERDUE = 4.0  # means after which a part is copied elsewhere, if its server went silent or lost it
GUARD_TICKS = 4  # a final answer is given this many ticks before the client's time is up
WATCH_RETRY = 0.25  # share of the ask-within rule after which a broken subscription is asked for again
EPSILON = 1e-6  # weights add up to 1 but for rounding


@dataclass(slots=True)
class Capsule:
    """What this aggregator knows of one server."""

    entry: ServerEntry
    calls: dict[tuple[int, int], int] = field(default_factory=dict)  # (turn, call of that turn) -> parts out
    sends: list[float] = field(default_factory=list)  # times of sends of late
    heard: bool = False
    mean: float = 0.0  # recent response time
    pace: float = 0.0  # the same divided by the number out when it was sent
    answered: float = 0.0  # when the last answer came
    newest: float = 0.0  # when the latest-sent part that was answered was sent
    failures: list[float] = field(default_factory=list)  # until when each counts as out
    turn: int = -1  # the turn of the last send, and how many parts were sent in it
    turn_parts: int = 0

    def load(self, turn: int, size: int) -> tuple[int, bool]:
        """The calls out, less one formed in this turn that a further part joins, and whether it does not."""
        joins = self.turn == turn and self.turn_parts % size > 0
        return len(self.calls) - joins, not joins

    def take(self, now: float, turn: int, size: int) -> tuple[int, int]:
        """Count one more part out; the call in which it travels."""
        if self.turn != turn:
            self.turn, self.turn_parts = turn, 0
        call = (turn, self.turn_parts // size)
        self.turn_parts += 1
        self.calls[call] = self.calls.get(call, 0) + 1
        self.sends.append(now)
        return call

    def release(self, call: tuple[int, int]) -> None:
        self.calls[call] -= 1
        if not self.calls[call]:
            del self.calls[call]

    def untake(self, call: tuple[int, int]) -> None:
        """Take back the last `take` of this turn: nothing was sent."""
        self.release(call)
        self.turn_parts -= 1
        self.sends.pop()

    def failed(self, now: float) -> int:
        self.failures = [until for until in self.failures if until > now]
        return len(self.failures)

    def hear(self, elapsed: float, out: int, censored: bool) -> None:
        """A response time; a censored one (timed out, cancelled) tells only that it would be longer."""
        weight = MEAN_WEIGHT if self.heard else 1.0
        if not censored or elapsed > self.mean:
            self.mean += weight * (elapsed - self.mean)
        if not censored or elapsed / out > self.pace:
            self.pace += weight * (elapsed / out - self.pace)
        self.heard = True


@dataclass(slots=True)
class Part:
    part_id: int
    shard: int
    weight: float
    tried: list[str] = field(default_factory=list)  # the server of each attempt
    out: int = 0
    served: bool = False
    may_have_run: bool = False
    may_run_since: float | None = None  # the first send that is not known to have never run


@dataclass(slots=True)
class Query:
    query_id: int
    number: int
    kind: QueryClass
    arrived: float
    deadline: float
    tenant: str
    wait_end: float = 0.0
    step: list[Part] = field(default_factory=list)  # the present step's parts
    first: list[Part] = field(default_factory=list)  # the first step's, once it is answered
    first_whole: bool = True
    favour: float = 1.0

    def weight(self, hoped: bool = False) -> float:
        """The weight that came; hoped: with what may still come."""
        return sum(part.weight for part in self.step if part.served or hoped and part.out)


@dataclass(slots=True)
class Attempt:
    capsule: Capsule
    call: tuple[int, int]
    part: Part
    query: Query
    out: int  # what was out there with it
    sent: float


class Aggregator:
    """One instance. It shares nothing and knows no time but that of the calls of `handle`."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.capsules: dict[str, Capsule] = {}  # of the servers listed, in the list's order
        self.queries: dict[int, Query] = {}  # by number
        self.fresh: dict[int, Query] = {}  # queries with parts not placed yet
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, by part and number
        self.timers: dict[int, tuple[float, Query | tuple[int, int] | None]] = {}
        self.taken: deque[float] = deque()  # times of queries and parts, and of further attempts
        self.extras: deque[float] = deque()
        self.actions: list[Action] = []
        self.rates: dict[str, tuple[float, float]] = {}  # tenant -> decaying count of queries, and its time
        self.worth = 0.0  # recent mean worth for a part
        self.now = 0.0
        self.turn = self.token = 0
        self.watching = False
        self.shortest_wait = min((kind.aim * (1 - MARGIN) for kind in settings.classes.values()), default=1.0)
        self.hold = FAILURE_HOLD * self.shortest_wait

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
                case ListReceived():
                    self.on_list(event)
                case QueryGone():
                    for query in [each for each in self.queries.values() if each.query_id == event.query_id]:
                        self.end(query)
        for query in list(self.fresh.values()):
            self.place(query)
        self.fresh.clear()
        return self.actions

    def set_timer(self, at: float, what: Query | tuple[int, int] | None) -> None:
        """For a query's wait's end, for an attempt to be overdue, or (None) to watch the list again."""
        self.token += 1
        self.timers[self.token] = (at, what)
        self.actions.append(SetTimer(at, self.token))

    def on_timer(self, token: int) -> None:
        at, what = self.timers.get(token, (self.now + 1, None))
        if at > self.now + EPSILON:
            return
        del self.timers[token]
        if what is None:
            if not self.watching:
                self.actions.append(Watch())
        elif isinstance(what, Query):
            if self.queries.get(what.number) is what and self.now >= what.wait_end - EPSILON:
                self.conclude(what)
        elif what in self.attempts:
            self.on_overdue(self.attempts[what])

    # --- servers

    def on_list(self, event: ListReceived) -> None:
        if event.kind is ListKind.FAILED:
            # Discovery is in trouble: ask again soon, well within the rule, and not all instances at once.
            self.watching = False
            delay = self.settings.rules.ask_within * WATCH_RETRY * self.random.uniform(0.5, 1.0)
            self.set_timer(self.now + delay, None)
            return
        self.watching |= event.kind is not ListKind.CACHED
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            self.capsules = {server: each for server, each in self.capsules.items() if server in named}
        for entry in event.entries:
            old = self.capsules.get(entry.server)
            if entry.state is ServerState.GONE:
                self.capsules.pop(entry.server, None)
            elif old is None or old.entry.up_since != entry.up_since:
                # What was heard of an earlier process says nothing of this one; what is out stays counted.
                self.capsules[entry.server] = Capsule(entry, old.calls, old.sends) if old else Capsule(entry)
            else:
                old.entry = entry

    def measure(self, capsule: Capsule, kind: QueryClass) -> tuple[float, float]:
        """A server's mean and pace; of an unheard one, those of the servers heard."""
        heard = [capsule] if capsule.heard else [other for other in self.capsules.values() if other.heard]
        if not heard:
            return kind.aim * UNHEARD, kind.aim * UNHEARD
        return sum(each.mean for each in heard) / len(heard), sum(each.pace for each in heard) / len(heard)

    def has_room(self, capsule: Capsule, kind: QueryClass) -> bool:
        """Whether a cold server may get one more part: this instance's fair part of what makes it fall over.

        Capacity is not told: a server is taken to do one part of mean response time at a time (most do more).
        """
        rules = self.settings.rules
        capsule.sends = [sent for sent in capsule.sends if sent > self.now - rules.fall_time]
        age = max(self.now - capsule.entry.up_since, 0.0)
        if capsule.entry.up_since <= 0 or age >= rules.cold_time:
            return True
        able = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
        work = min((each.mean for each in self.capsules.values() if each.heard), default=kind.aim * UNHEARD)
        budget = rules.fall_multiple * able * rules.fall_time / max(work, EPSILON) / self.settings.instances
        return len(capsule.sends) + 1 <= max(1.0, budget)

    def choose(self, shard: int, kind: QueryClass, tried: list[str]) -> Capsule | None:
        """The replica with the fewest calls out; one formed in this turn takes a further part for nothing."""
        def rank(capsule: Capsule) -> tuple[int, bool, float]:
            out, opens = capsule.load(self.turn, self.settings.parts_per_call)
            return out + capsule.failed(self.now), opens, self.random.random()

        holders = [each for each in self.capsules.values() if each.entry.state is ServerState.LIVE
                   and (each.entry.cell - shard) % self.settings.cells < self.settings.reach
                   and each.entry.server not in tried and self.has_room(each, kind)]
        return min(holders, key=rank, default=None)

    def wait_at(self, query: Query, capsule: Capsule, share: float = 1.0) -> float:
        """How long a part may wait for this server: 0 for one at its bound and for a part to be bypassed."""
        mean, pace = self.measure(capsule, query.kind)
        beta = BETA_SHARE * self.shortest_wait / max(pace, EPSILON) * query.favour
        beta = max(LEAST_BETA, beta) * share
        alpha, left = ALPHA_SHARE * beta, query.wait_end - self.now
        out, _ = capsule.load(self.turn, self.settings.parts_per_call)
        wait = left if out < beta else 0.0
        if out > alpha and not query.kind.all_parts:
            wait = max(0.0, left * (beta - out) / (beta - alpha))
        return wait if wait >= mean else 0.0

    # --- queries

    def on_query(self, event: QueryArrived) -> None:
        self.taken.append(self.now)
        kind = self.settings.classes.get(event.class_name)
        if kind is None:  # nothing is known of what it may do or bear
            self.actions.append(Refuse(event.query_id))
            return
        query = Query(event.query_id, event.number, kind, self.now, event.deadline, event.tenant)
        self.queries[event.number] = self.fresh[event.number] = query
        self.set_wait(query, 1 - SECOND_STEP if kind.second_step_parts else 1.0)

    def set_wait(self, query: Query, share: float) -> None:
        last = query.deadline - GUARD_TICKS * self.settings.tick
        query.wait_end = min(query.arrived + query.kind.aim * (1 - MARGIN) * share, last)
        self.set_timer(query.wait_end, query)

    def on_part(self, event: PartArrived) -> None:
        self.taken.append(self.now)
        query = self.queries.get(event.number)
        if query is not None:
            query.step.append(Part(event.part_id, event.shard, event.weight))
            self.fresh[event.number] = query

    def place(self, query: Query) -> None:
        """Choose a server and a wait for each part, or refuse the query before any send."""
        if not query.first:
            self.weigh(query)
        plan: list[tuple[Part, Capsule, tuple[int, int], float]] = []
        for part in query.step:
            capsule = self.choose(part.shard, query.kind, [])
            wait = self.wait_at(query, capsule) if capsule else 0.0
            if capsule and wait > 0:
                call = capsule.take(self.now, self.turn, self.settings.parts_per_call)
                plan.append((part, capsule, call, wait))
        if not plan or sum(part.weight for part, *_ in plan) < query.kind.floor - EPSILON:
            for _, capsule, call, _ in reversed(plan):
                capsule.untake(call)
            self.give_up(query)
            return
        for part, capsule, call, wait in plan:
            self.send(query, part, capsule, call, wait)

    def weigh(self, query: Query) -> None:
        """A query's favour, by its worth for a part; a tenant's traffic beyond its share is worth less."""
        worth = query.kind.worth / (1 if self.settings.worth_by_work else max(len(query.step), 1))
        count, since = self.rates.get(query.tenant, (0.0, self.now))
        count = 1.0 + count * math.exp((since - self.now) / RATE_SPAN)
        self.rates[query.tenant] = (count, self.now)
        tenant = self.settings.tenants.get(query.tenant)
        if tenant is not None and count > 0:
            within = min(1.0, tenant.quota_per_s / self.settings.instances * RATE_SPAN / count)
            worth *= within + (1.0 - within) * self.settings.over_share_worth
        self.worth += (WORTH_WEIGHT if self.worth else 1.0) * (worth - self.worth)
        query.favour = min(MOST_FAVOUR, max(LEAST_FAVOUR, math.sqrt(worth / max(self.worth, EPSILON))))

    def send(self, query: Query, part: Part, capsule: Capsule, call: tuple[int, int], wait: float) -> None:
        key = (part.part_id, len(part.tried))
        self.attempts[key] = Attempt(capsule, call, part, query, len(capsule.calls), self.now)
        part.tried.append(capsule.entry.server)
        part.out += 1
        if part.may_run_since is None:
            part.may_run_since = self.now
        self.actions.append(Send(part.part_id, capsule.entry.server, wait))
        overdue = OVERDUE * self.measure(capsule, query.kind)[0]
        if overdue < wait:
            self.set_timer(self.now + overdue, key)

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.part_id, event.attempt), None)
        if attempt is None:
            return
        part, query, capsule = attempt.part, attempt.query, attempt.capsule
        part.out -= 1
        capsule.release(attempt.call)
        censored = event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED)
        if event.outcome is Outcome.SERVED or censored and capsule.newest <= attempt.sent:  # else it was lost
            capsule.hear(event.elapsed, attempt.out, censored)
        busy = event.outcome is Outcome.TIMED_OUT and capsule.answered >= attempt.sent  # it answers others
        if event.outcome is Outcome.SERVED:
            capsule.answered, capsule.newest = self.now, max(capsule.newest, attempt.sent)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not busy and (
                censored or capsule.failed(self.now) < MOST_HELD):
            capsule.failures.append(self.now + self.hold)
        part.served |= event.outcome is Outcome.SERVED
        part.may_have_run |= not event.outcome.never_ran
        if not part.out and not part.may_have_run:
            part.may_run_since = None
        if not self.held(query, part):
            return
        if not part.served and not part.out and event.outcome is not Outcome.NOT_SENT:
            self.send_again(query, part, 1.0)
        if query.weight(hoped=True) < query.kind.floor - EPSILON:
            self.give_up(query)  # hopeless: nothing more is spent on it
        elif all(each.served or not each.out for each in query.step):
            self.conclude(query)

    def held(self, query: Query, part: Part) -> bool:
        return self.queries.get(query.number) is query and part in query.step

    def on_overdue(self, attempt: Attempt) -> None:
        """Guards against silent servers, cut links and lost answers: a copy, unless the part just queues.

        A server that answered nothing since is silent; one that answered what was sent later lost the part.
        """
        query, part, capsule = attempt.query, attempt.part, attempt.capsule
        if capsule.answered < attempt.sent:
            capsule.failures.append(self.now + self.hold)
        elif capsule.newest <= attempt.sent:
            return
        if self.settings.limits.second_copies and not part.served and self.held(query, part):
            self.send_again(query, part, COPY_SHARE)

    def send_again(self, query: Query, part: Part, share: float) -> None:
        """To another replica, if the part may be repeated and there is time, budget and room for it."""
        if len(part.tried) >= self.settings.limits.max_attempts or not self.may_repeat(query.kind, part):
            return
        capsule = self.choose(part.shard, query.kind, part.tried) or self.choose(part.shard, query.kind, [])
        wait = self.wait_at(query, capsule, share) if capsule else 0.0
        if capsule and wait > 0:
            self.extras.append(self.now)
            call = capsule.take(self.now, self.turn, self.settings.parts_per_call)
            self.send(query, part, capsule, call, wait)

    def may_repeat(self, kind: QueryClass, part: Part) -> bool:
        """Whether class, repeat window and attempt budget allow one more attempt."""
        rules = self.settings.rules
        for times in (self.taken, self.extras):
            while times and times[0] <= self.now - rules.extra_window:
                times.popleft()
        allowed = rules.extra_floor + rules.extra_share * len(self.taken)
        if rules.extra_window and len(self.extras) + 1 > allowed:
            return False
        if kind.effect is Effect.SAFE or part.may_run_since is None:
            return True
        return kind.effect is Effect.KEYED and self.now < part.may_run_since + kind.repeat_window - EPSILON

    def conclude(self, query: Query) -> None:
        """The wait is over, or nothing is out any more: answer from what came, or give the query up."""
        if query.number in self.fresh:
            return
        kind, second = query.kind, bool(query.first)
        if not query.step or query.weight() < kind.floor - EPSILON:
            self.give_up(query)
            return
        whole = query.first_whole and query.weight() >= (1.0 if second else kind.need) - EPSILON
        self.actions.append(Answer(query.query_id, whole))
        if kind.second_step_parts and not second:
            self.cancel(query)
            query.first, query.step, query.first_whole = query.step, [], whole
            self.set_wait(query, 1.0)
        else:
            self.end(query)

    def give_up(self, query: Query) -> None:
        """The final answer at once; a refusal only where nothing that must not be repeated may have run."""
        ran = any(part.may_run_since is not None for part in query.step + query.first)
        harmless = query.kind.effect is Effect.SAFE or not ran
        # By then a server at beta has come down to alpha; sooner, the client would only be refused again.
        later = BETA_SHARE * (1 - ALPHA_SHARE) * self.shortest_wait
        later = min(later, self.settings.limits.max_retry_after) if self.settings.limits.retry_after else 0.0
        self.actions.append(Refuse(query.query_id, later) if harmless else Fail(query.query_id))
        self.end(query)

    def end(self, query: Query) -> None:
        self.cancel(query)
        self.queries.pop(query.number, None)
        self.fresh.pop(query.number, None)

    def cancel(self, query: Query) -> None:
        """Call off what is still out: its answer would serve nothing."""
        keys = [(part.part_id, number) for part in query.step for number in range(len(part.tried))]
        if self.settings.limits.cancelling:
            self.actions += [Cancel(*key) for key in keys if key in self.attempts]
