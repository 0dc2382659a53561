"""All decisions of stepknot. Settings, events and actions: `stepknot/interface.py`.

After "Dependency Capsules": a capsule per server counts what is out there (n) and keeps a recent mean
response time. A part goes to the replica with the fewest out. Where all parts are needed, a query is refused
before any send if a chosen server is at its bound; else parts wait less the more is out, and are bypassed
when that is under the server's mean. At the wait's end the query is answered from what came.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

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
    ListKind,
    ListReceived,
    Narrow,
    Outcome,
    PartArrived,
    Probe,
    ProbeEnded,
    QueryArrived,
    QueryGone,
    Refuse,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
    Watch,
)
from stepknot.records import Attempt, Call, Capsule, Part, Query, Share

# The watermark beta is what a server is seen to finish within this share of the shortest base wait of all
# classes: a queue that the most hurried class can bear; the rest is for the spread of work.
BETA_SHARE = 0.65
LEAST_BETA = 2.0  # however slow a server was seen to be: with nothing out nothing would be learnt
ALPHA_SHARE = (
    0.8  # of beta: from here on the wait shrinks; all-parts queries are refused from beta on
)
COPY_SHARE = (
    0.25  # of beta: a copy goes only to a replica under it, so that copies never feed a jam
)
# Where servers near beta, work goes where it earns most: a query's beta grows with its worth for each part
# against the recent mean, by the root, and within these bounds, so that no class starves.
LEAST_FAVOUR, MOST_FAVOUR = 0.6, 1.5
WORTH_WEIGHT = 0.02  # of a query in that mean
LEAST_TIME = (
    1.5  # means of time left, or a part is bypassed: clients that give up early waste the work
)
MARGIN = 0.05  # share of the aim kept back for the way to the client: the base wait is the rest
SECOND_STEP = (
    0.4  # share of the base wait kept back for a second step, which has fewer and lighter parts
)
UNHEARD = 0.1  # mean response time, in shortest aims, before any server was heard
MEAN_WEIGHT, FLEET_WEIGHT = (
    0.2,
    0.05,
)  # of a new sample in a server's mean, and in that of all servers
MEMORY = 5.0  # seconds in which half of a mean is forgotten
# Where many aggregators share the servers, own parts say little of a load: the replicas are asked before a
# send. A question may take so much of the aim, and a report counts for so much of the shortest base wait.
ASK_SHARE, FRESH_SHARE = 0.03, 0.5
IDLE = 2.0  # parts of others at a server, in the mean, under which nothing need be asked
UNANSWERED = (
    4  # what a question without an answer counts as out: who answers is better, even with a queue
)
REPORT_TRUST = 0.5  # of what a report says, as it may be late, noisy, frozen or a lie
# A failure counts as out, in the choice alone, for so many shortest waits: who fails fast looks idle.
FAILURE_HOLD, MOST_HELD = (
    4.0,
    3,
)  # so many errors at most: errors that all servers share must not unbalance
HOLD_GAPS = (
    2.0  # or for so many times as long as nothing was sent there: who sends rarely must learn too
)
SPARE = 0.5  # of the attempt budget, kept for parts without which their query is lost
OVERDUE = 4.0  # means after which a part is copied elsewhere
# A server stands still once nothing came back for so many times what lies between two answers of any server.
SILENCE = 8.0
STILL_SHARE = (
    0.4  # of beta: what is out there is copied to a replica under it; the first try hardly ran
)
# Connections idle for over a shortest wait are closed where parts on them fail in more than this share and
IDLE_LOSS = 0.15  # twice as often as others: they may have been dropped unseen
# A server is deaf to a class of which it loses so much more than twice the share of another class.
DEAF_SHARE, CLASS_WEIGHT = 0.3, 0.1
GUARD_TICKS = 4  # a final answer is given this many ticks before the client's time is up
# A broken subscription is asked for again after this share of the ask-within rule, or after so many seconds:
# with what the caller takes to see that it is broken and to open another, a change is told in time.
WATCH_RETRY, RETRY_MOST = 0.25, 0.5
QUICK = 0.25  # share of responses that are quicker than what is taken for work
COLD_USE = (
    0.8  # of what a cold server can bear: the rest is for chance, and for work not like the mean
)
OUTAGE = (
    1  # lost parts for each server, with none served anywhere, that are taken for an outage of all
)
EPSILON = 1e-6  # weights add up to 1 but for rounding


def weigh(query: Query, hoped: bool = False) -> float:
    """The weight that came; hoped: with what may still come."""
    return sum(part.weight for part in query.step if part.served or hoped and part.out)


class Aggregator:
    """One instance. It shares nothing and knows no time but that of the calls of `handle`."""

    def __init__(self, settings: Settings, seed: int, narrow: Narrow | None = None) -> None:
        self.settings, self.narrow = settings, narrow
        self.instances = settings.instances  # that may be there: all share what a cold server bears
        self.random = random.Random(seed)
        self.capsules: dict[str, Capsule] = {}  # of the servers listed, in the list's order
        self.shares: dict[str, Share] = {}
        self.work: dict[
            str, tuple[int, float]
        ] = {}  # by class, and of all: responses heard, a part's work
        self.cells: dict[
            int, list[Capsule]
        ] = {}  # the live ones by the cell of the shards they hold
        self.by_shard: dict[
            int, list[Capsule]
        ] = {}  # made from that as asked for, not to be changed
        self.fleet = Capsule(ServerEntry("", "", 0, ServerState.LIVE))  # the means over all servers
        self.queries: dict[int, Query] = {}  # by number
        self.fresh: dict[int, Query] = {}  # queries with parts not placed yet
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, by part and number
        self.timers: dict[int, tuple[float, Callable[[], None] | None]] = {}
        self.taken: deque[float] = deque()  # times of queries and parts, and of further attempts
        self.extras: deque[float] = deque()
        self.actions: list[Action] = []
        self.lost: dict[
            tuple[str, object], tuple[float, float]
        ] = {}  # share of parts that failed, when
        self.least: dict[str, float] = {}  # by trait: of these shares now
        self.worth = 0.0  # recent mean worth for a part
        self.unserved = 0  # parts lost, anywhere, since one was served
        self.now, self.began = 0.0, math.inf
        self.turn = self.token = 0
        self.shortest_wait = min((kind.aim for kind in settings.classes.values()), default=1.0) * (
            1 - MARGIN
        )
        self.handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: self.on_attempt_ended,
            ProbeEnded: self.on_probe_ended,
            QueryArrived: self.on_query,
            PartArrived: self.on_part,
            QueryGone: self.on_gone,
            ListReceived: self.on_list,
            TimerDue: self.on_timer,
            InstancesCounted: self.on_counted,
        }

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.now, self.actions, self.least = now, [], {}
        self.began = min(self.began, now)
        self.turn += 1
        if self.turn == 1 and self.settings.must_ask:
            self.watch()
        # Timers come last: after a stall, answers that came meanwhile are not taken for silence.
        handlers, timers = self.handlers, []
        for event in events:
            if type(event) is TimerDue:
                timers.append(event)
            else:
                handlers[type(event)](event)
        for timer in timers:
            self.on_timer(timer)
        for query in list(self.fresh.values()):
            if self.ready(query):
                del self.fresh[query.number]
                self.place(query)
        return self.actions

    def set_timer(self, at: float, what: Callable[[], None] | None = None) -> None:
        """What to do then; nothing where `handle` need only look at the fresh queries."""
        self.token += 1
        self.timers[self.token] = (at, what)
        self.actions.append(SetTimer(at, self.token))

    def on_timer(self, event: TimerDue) -> None:
        at, what = self.timers.get(event.token, (math.inf, None))
        if at <= self.now + EPSILON:
            del self.timers[event.token]
            if what:
                what()

    def on_counted(self, event: InstancesCounted) -> None:
        self.instances = max(event.instances, 1)

    # --- servers

    def on_list(self, event: ListReceived) -> None:
        if event.kind is ListKind.FAILED:
            # Discovery is in trouble: ask again soon, well within the rule, and not all instances at once.
            pause = min((self.settings.rules.ask_within or math.inf) * WATCH_RETRY, RETRY_MOST)
            self.set_timer(self.now + pause * self.random.uniform(0.5, 1.0), self.watch)
            return
        if event.kind is not ListKind.CHANGES:
            named = {entry.server for entry in event.entries}
            self.capsules = {
                server: each for server, each in self.capsules.items() if server in named
            }
        for entry in event.entries:
            old = self.capsules.get(entry.server)
            if entry.state is ServerState.GONE:
                self.capsules.pop(entry.server, None)
            elif old is None or old.entry.up_since != entry.up_since:
                # What was heard of an earlier process says nothing of this one; what is out stays counted.
                share = self.shares.setdefault(entry.server, Share())
                self.capsules[entry.server] = Capsule(
                    entry, old.calls if old else set(), share=share
                )
            else:
                old.entry = entry
        since = self.now - self.settings.rules.fall_time
        self.shares = {
            server: share
            for server, share in self.shares.items()
            if server in self.capsules or share.spent and share.spent[-1][0] > since
        }
        self.cells, self.by_shard = {}, {}
        for capsule in self.capsules.values():
            if capsule.entry.state is ServerState.LIVE:
                self.cells.setdefault(capsule.entry.cell, []).append(capsule)

    def watch(self) -> None:
        self.actions.append(Watch())

    def holders(self, shard: int) -> list[Capsule]:
        found = self.by_shard.get(shard)
        if found is None:
            size = self.settings.cells
            found = self.by_shard[shard] = [
                each
                for step in range(self.settings.reach)
                for each in self.cells.get((shard + step) % size, ())
            ]
        return found

    def trust(self, capsule: Capsule) -> float:
        """How much is left of what was heard."""
        return math.exp2((capsule.heard_at - self.now) / MEMORY) if capsule.heard else 0.0

    def measure(self, capsule: Capsule | None = None) -> tuple[float, float]:
        """A server's recent mean and pace, the mean for each part then out; of one unheard, the fleet's.

        Less is left of a mean the longer nothing was heard: a bypassed server must come back into use.
        """
        mean, out = self.shortest_wait * UNHEARD, 1.0
        for each in [self.fleet, capsule] if capsule else [self.fleet]:
            trust = self.trust(each)
            mean, out = mean + trust * (each.mean - mean), out + trust * (each.out - out)
        return max(mean, EPSILON), max(mean, EPSILON) / out

    def hear(self, capsule: Capsule, elapsed: float, out: float, weight: float) -> None:
        """Take a response time into the means, with this weight or as one of the few heard."""
        capsule.heard, capsule.heard_at = capsule.heard + 1, self.now
        weight = max(weight, 1 / capsule.heard)
        capsule.mean += weight * (elapsed - capsule.mean)
        capsule.out += weight * (out - capsule.out)

    def joins(self, capsule: Capsule) -> bool:
        """Whether a further part joins a call formed in this turn."""
        call = capsule.call
        return call.turn == self.turn and call.out > 0 and call.sent < self.settings.parts_per_call

    def load(self, capsule: Capsule) -> int:
        """n: the calls out, less one formed in this turn that a further part joins."""
        return len(capsule.calls) - self.joins(capsule)

    def take(self, capsule: Capsule, name: str) -> Call:
        """Count one more part of this class out; the call in which it travels."""
        if not self.joins(capsule):
            gap = self.now - capsule.used
            capsule.call, capsule.gap = Call(self.turn, gap > self.shortest_wait), max(gap, 0.0)
            capsule.calls.add(capsule.call)
        call = capsule.call
        call.sent, call.out = call.sent + 1, call.out + 1
        if self.cold(capsule):
            capsule.share.spent.append((self.now, self.work_of(name)))
        return call

    def release(self, capsule: Capsule, call: Call) -> None:
        call.out -= 1
        if not call.out:
            capsule.calls.discard(call)

    def lost_share(self, trait: str, value: object) -> float:
        share, at = self.lost.get((trait, value), (0.0, 0.0))
        memory = (
            self.settings.limits.idle_connection if trait == "idle" else 0.0
        )  # none lasts longer
        return share * math.exp2((at - self.now) / (memory or MEMORY))

    def pooled(self, capsule: Capsule) -> int:
        """Excess failures of its kind and zone, as far as nothing was heard of itself; not what all lose."""
        count = 0
        for trait, value in (("kind", capsule.entry.kind), ("zone", capsule.entry.zone)):
            if trait not in self.least:
                shares = (self.lost_share(*key) for key in self.lost if key[0] == trait)
                self.least[trait] = min(shares, default=0.0)
            excess = self.lost_share(trait, value) - self.least[trait]
            if excess:
                count += int(UNANSWERED * (1 - self.trust(capsule)) * excess)
        return count

    def note(self, attempt: Attempt, failed: bool) -> None:
        """Whether a part came back, for what its server shares with others: few samples say little of one.

        Covers paths that are bad from here to one kind or zone, and whatever is lost after a pause.
        """
        if attempt.noted:
            return
        entry, call, attempt.noted, self.least = attempt.capsule.entry, attempt.call, True, {}
        keys: list[tuple[str, object]] = [("kind", entry.kind), ("zone", entry.zone)]
        if not call.noted:  # the parts of a call share its connection's fate: it is one sample
            keys.append(("idle", call.idle))
        call.noted = True
        for key in keys:
            share = self.lost_share(*key)
            self.lost[key] = share + MEAN_WEIGHT * (failed - share), self.now

    def unheeded(self, capsule: Capsule, name: str) -> float:
        """The share of this class's parts that the server lost while it answered what was sent later."""
        share, at = capsule.unheeded.get(name, (0.0, 0.0))
        return share * math.exp2((at - self.now) / MEMORY)

    def note_class(self, attempt: Attempt, lost: bool) -> None:
        capsule, name = attempt.capsule, attempt.query.kind.name
        if not lost or capsule.answered_sent > attempt.sent:
            share = self.unheeded(capsule, name)
            capsule.unheeded[name] = share + CLASS_WEIGHT * (lost - share), self.now

    def deaf(self, capsule: Capsule, name: str) -> bool:
        """Whether it loses this class while it answers another."""
        mine = self.unheeded(capsule, name)
        return mine > DEAF_SHARE and mine > DEAF_SHARE + 2 * min(
            self.unheeded(capsule, each) for each in self.settings.classes
        )

    def idle_lost(self) -> bool:
        """Whether idle ones are closed before a send; new ones that cannot be had speak against it."""
        return self.lost_share("idle", True) > 2 * self.lost_share("idle", False) + IDLE_LOSS

    def failed(self, capsule: Capsule) -> int:
        """The failures that still count."""
        if capsule.failures:
            capsule.failures = [until for until in capsule.failures if until > self.now]
        return len(capsule.failures)

    def others_at(self, capsule: Capsule) -> float:
        """What other aggregators have out there: by its report while that is fresh, else as at others."""
        if self.now - capsule.told < FRESH_SHARE * self.shortest_wait:
            return REPORT_TRUST * capsule.others
        return REPORT_TRUST * self.trust(self.fleet) * self.fleet.others

    def cold(self, capsule: Capsule) -> bool:
        up_since = capsule.entry.up_since
        return up_since > 0 and self.now - up_since < self.settings.rules.cold_time

    def work_of(self, name: str) -> float:
        """What a part of this class costs a server: of the class, else of all."""
        return (self.work.get(name) or self.work.get("") or (0, self.shortest_wait * UNHEARD))[1]

    def learn_work(self, name: str, took: float) -> None:
        """From responses that waited for little: a quarter of them are quicker. A mean would take a jam for
        work, and new servers would be sent least where they are needed most."""
        for key in (name, ""):
            count, work = self.work.get(key) or (0, self.shortest_wait * UNHEARD)
            step = max(MEAN_WEIGHT / 4, 1 / (count + 1))
            self.work[key] = (
                count + 1,
                work * math.exp(step * QUICK if took > work else step * (QUICK - 1)),
            )

    def has_room(self, capsule: Capsule, name: str) -> bool:
        """Whether a cold server may get one more part: this instance's fair part of what makes it fall over,
        in any window of that time. Nothing is saved up: what idle instances saved, all would send at once.
        Of a part under one, so many instances have one: drawn once, or to wait would be to draw again.
        """
        rules, spent = self.settings.rules, capsule.share.spent
        if not self.cold(capsule):
            return True
        if capsule.share.luck is None:
            capsule.share.luck = self.random.random()
        age = max(self.now - capsule.entry.up_since, 0.0)
        able = rules.cold_share + (1 - rules.cold_share) * age / rules.cold_time
        cost, room = self.work_of(name), rules.fall_multiple * able * rules.fall_time
        fair = COLD_USE * room / (capsule.entry.sharers or self.instances)
        while spent and spent[0][0] <= self.now - rules.fall_time:
            spent.popleft()
        left = fair - sum(work for _, work in spent)
        # Who just started may have sent its part already, in the process before.
        return self.now >= self.began + rules.fall_time and left + cost * capsule.share.luck >= cost

    def choose(
        self, query: Query, shard: int, tried: list[str], share: float, trial: bool
    ) -> Capsule | None:
        """The replica with the fewest calls out; one formed in this turn takes a further part for nothing.

        One at its bound or to be bypassed comes after others: a slow server has few out, it would be chosen
        again and again, and each all-parts query be refused for it until its mean is forgotten. So does one
        that stands still. Last comes one deaf to this class: a query sent there is lost, with all its parts.
        """

        def rank(capsule: Capsule) -> tuple[bool, bool, bool, float, bool, float]:
            count = self.load(capsule) + self.failed(capsule) + UNANSWERED * capsule.asked
            # Reports count by powers of two: all aggregators see the same one, and must not all follow it.
            count += int(math.log2(1 + self.others_at(capsule)))
            deaf, bound = (
                self.deaf(capsule, query.kind.name),
                self.wait_at(query, capsule, share, trial) <= 0,
            )
            return (
                deaf,
                bound,
                self.silent(capsule),
                count + self.pooled(capsule),
                not self.joins(capsule),
                self.random.random(),
            )

        holders = [
            each
            for each in self.holders(shard)
            if each.entry.server not in tried and self.has_room(each, query.kind.name)
        ]
        if self.narrow:
            entries, safe = [each.entry for each in holders], query.kind.effect is Effect.SAFE
            holders = [
                holders[place] for place in self.narrow(self.now, entries, safe, bool(query.first))
            ]
        return min(holders, key=rank, default=None)

    def ready(self, query: Query) -> bool:
        """Ask a query's replicas for their load, unless all is known to be idle, and wait a little.

        Guards against blind choices where own counts are alike, and against servers that are down, cut off or
        stand still: who does not answer in time has a question out, and that counts.
        """
        fresh_for = FRESH_SHARE * self.shortest_wait
        if query.ask_end is None:
            idle = self.fleet.others < IDLE and self.now - self.fleet.told < MEMORY
            if idle or not self.settings.limits.probing:
                return True
            query.ask_end = min(self.now + ASK_SHARE * query.kind.aim, query.wait_end)
            self.set_timer(query.ask_end)
            for capsule in [each for part in query.step for each in self.holders(part.shard)]:
                if not capsule.asked and self.now - capsule.told > fresh_for / 2:
                    capsule.asked = True
                    self.actions.append(Probe(capsule.entry.server))
        return self.now >= query.ask_end - EPSILON or not any(
            each.asked for part in query.step for each in self.holders(part.shard)
        )

    def patience(self) -> float:
        return SILENCE * self.measure()[1]

    def silent(self, capsule: Capsule) -> bool:
        """Whether it stands still. With nothing out, a while after the last send one more is a trial."""
        tried = bool(capsule.calls) or self.now - capsule.used < self.shortest_wait
        return tried and self.now - capsule.silent_since > self.patience()

    def on_silence(self, capsule: Capsule) -> None:
        """Guards against servers that stand still for a moment: what is out there cannot be in time."""
        capsule.watched = False
        if not capsule.calls:
            return
        if self.now - capsule.silent_since < self.patience() - EPSILON:
            self.watch_silence(capsule, capsule.silent_since)
            return
        for attempt in [each for each in self.attempts.values() if each.capsule is capsule]:
            query, part = attempt.query, attempt.part
            alone = part in query.step and not part.served and part.out == 1
            if alone and self.settings.limits.second_copies:
                self.send_again(query, part, STILL_SHARE)
        self.watch_silence(capsule, self.now)

    def watch_silence(self, capsule: Capsule, since: float) -> None:
        if not capsule.watched:
            capsule.watched = True
            self.set_timer(since + self.patience(), partial(self.on_silence, capsule))

    def on_probe_ended(self, event: ProbeEnded) -> None:
        capsule = self.capsules.get(event.server)
        if capsule is not None:
            capsule.asked = False
            self.note_report(capsule, event.load)
            if event.outcome not in (
                Outcome.SERVED,
                Outcome.REJECTED,
                Outcome.CANCELLED,
                Outcome.NOT_SENT,
            ):
                self.note_failure(capsule, math.inf)

    def note_report(self, capsule: Capsule, load: dict[str, float]) -> None:
        """What a server reports to hold, or what waits and how busy it is; absurd reports are not heard."""
        held = load.get("inflight", load.get("queue", math.nan) + load.get("util", 0.0))
        if 0 <= held < math.inf:
            capsule.others, capsule.told = max(0.0, held - len(capsule.calls)), self.now
            self.fleet.others += FLEET_WEIGHT * (capsule.others - self.fleet.others)
            self.fleet.told = self.now

    def note_failure(self, capsule: Capsule, most: float) -> None:
        if self.failed(capsule) < most:
            hold = max(FAILURE_HOLD * self.shortest_wait, HOLD_GAPS * capsule.gap)
            capsule.failures.append(self.now + hold)
            self.fleet.told = -math.inf  # not all is well: ask

    def wait_at(
        self, query: Query, capsule: Capsule, share: float = 1.0, trial: bool = False
    ) -> float:
        """How long a part may wait for this server: 0 for one at its bound and for a part to be bypassed."""
        if query.first:  # a second step is never shed: the first one's work would be for nothing
            return query.wait_end - self.now
        mean, pace = self.measure(capsule)
        beta = max(LEAST_BETA, BETA_SHARE * self.shortest_wait / pace * query.favour) * share
        alpha, left = ALPHA_SHARE * beta, query.wait_end - self.now
        out = self.load(capsule) + self.others_at(capsule)
        wait = left if out < beta else 0.0
        if out > alpha and not query.kind.all_parts:
            wait = max(0.0, left * (beta - out) / (beta - alpha))
        # Its mean, or less with less out than when that was heard: what had to queue is no slow server.
        expected = min(mean, pace * (out + 1))
        if wait >= expected and left >= LEAST_TIME * expected:
            return wait
        # A server with nothing out for a shortest wait has worked off what made it slow.
        return left if trial and out < 1 and self.now - capsule.used >= self.shortest_wait else 0.0

    # --- queries

    def on_query(self, event: QueryArrived) -> None:
        self.taken.append(self.now)
        kind = self.settings.classes.get(event.class_name)
        if kind is None:  # nothing is known of what it may do or bear
            self.actions.append(Refuse(event.query_id))
            return
        last = event.deadline - GUARD_TICKS * self.settings.tick
        query = Query(event.query_id, event.number, kind, self.now, last)
        self.queries[event.number] = self.fresh[event.number] = query
        self.set_wait(query, 1 - SECOND_STEP if kind.second_step_parts else 1.0)

    def set_wait(self, query: Query, share: float) -> None:
        query.wait_end = min(query.arrived + query.kind.aim * (1 - MARGIN) * share, query.last)
        if (
            query.wait_end <= self.now and query.kind.late_value
        ):  # the second step after a late first one
            query.wait_end = query.last
        self.set_timer(query.wait_end, partial(self.on_wait_end, query))

    def on_wait_end(self, query: Query) -> None:
        held = query.number in self.queries and query.number not in self.fresh
        if not held or self.now < query.wait_end - EPSILON:
            return
        short = weigh(query) < query.kind.floor - EPSILON <= weigh(query, True)
        if short and query.kind.late_value and self.now < query.last - EPSILON:
            # What is out may still make a late answer; a client that asks again would get no better one.
            query.wait_end, query.late = query.last, True
            self.set_timer(query.last, partial(self.on_wait_end, query))
        else:
            self.conclude(query)

    def on_gone(self, event: QueryGone) -> None:
        for query in [each for each in self.queries.values() if each.query_id == event.query_id]:
            self.end(query)

    def on_part(self, event: PartArrived) -> None:
        self.taken.append(self.now)
        query = self.queries.get(event.number)
        if query is not None:
            query.step.append(Part(event.part_id, event.shard, event.weight))
            self.fresh[event.number], query.ask_end = query, None

    def place(self, query: Query) -> None:
        """Choose a server and a wait for each part, or refuse the query before any send."""
        if not query.first:
            worth = query.kind.worth / (
                1 if self.settings.worth_by_work else max(len(query.step), 1)
            )
            self.worth += (WORTH_WEIGHT if self.worth else 1.0) * (worth - self.worth)
            favour = math.sqrt(worth / max(self.worth, EPSILON))
            query.favour = min(MOST_FAVOUR, max(LEAST_FAVOUR, favour))
        # After an outage of all, every query would be refused until the means are forgotten, and nothing be
        # heard meanwhile: one that would be refused is a trial of servers that have been idle.
        for trial in (False, True) if self.outage() else (False,):
            plan = [
                attempt for part in query.step if (attempt := self.plan(query, part, 1.0, trial))
            ]
            if sum(attempt.part.weight for attempt in plan) >= max(
                query.kind.floor - EPSILON, EPSILON
            ):
                for attempt in plan:
                    self.send(attempt)
                return
            for attempt in plan:
                self.release(attempt.capsule, attempt.call)
                if self.cold(attempt.capsule):
                    attempt.capsule.share.spent.pop()
        self.conclude(query)

    def plan(
        self, query: Query, part: Part, share: float = 1.0, trial: bool = False
    ) -> Attempt | None:
        """An attempt at a replica not tried yet, if there is one, unless it is at its bound or bypassed."""
        capsule = self.choose(query, part.shard, part.tried, share, trial) or self.choose(
            query, part.shard, [], share, trial
        )
        wait = self.wait_at(query, capsule, share, trial) if capsule else 0.0
        if capsule is None or wait <= 0:
            return None
        call = self.take(capsule, query.kind.name)
        out = len(capsule.calls) + self.others_at(capsule)
        if query.kind.late_value and wait >= query.wait_end - self.now - EPSILON:
            wait = (
                query.last - self.now
            )  # not shortened: it may still be of use after the wait's end
        return Attempt(capsule, call, part, query, out, self.now, wait)

    def send(self, attempt: Attempt) -> None:
        part, capsule, kind = attempt.part, attempt.capsule, attempt.query.kind
        key = (part.part_id, len(part.tried))
        self.attempts[key] = attempt
        # A connection may come up late, or take nothing: the window may close before the part is on the wire.
        began, not_after = part.may_run_since, math.inf
        if kind.effect is Effect.KEYED and began is not None:
            not_after = began + kind.repeat_window
        part.tried.append(capsule.entry.server)
        part.out += 1
        if part.may_run_since is None:
            part.may_run_since = self.now
        if attempt.call.idle and self.idle_lost():
            attempt.call.idle = False
            self.actions.append(Close(capsule.entry.server))
        capsule.used, capsule.silent_since = self.now, min(capsule.silent_since, self.now)
        self.watch_silence(capsule, self.now)
        self.actions.append(
            Send(part.part_id, capsule.entry.server, attempt.wait, key[1], not_after)
        )
        overdue = OVERDUE * self.measure(capsule)[0]
        if overdue < attempt.wait:
            self.set_timer(self.now + overdue, partial(self.on_overdue, key))

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        attempt = self.attempts.pop((event.part_id, event.attempt), None)
        if attempt is None:
            return
        part, query, capsule = attempt.part, attempt.query, attempt.capsule
        part.out -= 1
        self.release(capsule, attempt.call)
        spoke = event.outcome in (Outcome.SERVED, Outcome.ERROR, Outcome.REJECTED)
        if spoke or not capsule.calls and not self.silent(capsule):
            capsule.silent_since = self.now if capsule.calls else math.inf
        censored = event.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED)
        for each, weight in ((capsule, MEAN_WEIGHT), (self.fleet, FLEET_WEIGHT)):
            # One timed out or called off tells only that it would have taken longer: the aim at most.
            elapsed = min(event.elapsed, query.kind.aim) if censored else event.elapsed
            if event.outcome is Outcome.SERVED or censored and elapsed > each.mean:
                self.hear(each, elapsed, attempt.out, weight)
        busy = (
            event.outcome is Outcome.TIMED_OUT and capsule.answered >= attempt.sent
        )  # it answers others
        if event.outcome is Outcome.SERVED:
            if self.outage():  # what was heard in it says nothing of any server
                for each in (*self.capsules.values(), self.fleet):
                    each.heard, each.heard_at = 0, -math.inf
            self.unserved = 0
            capsule.answered = capsule.used = self.now
            capsule.answered_sent = max(capsule.answered_sent, attempt.sent)
            self.learn_work(query.kind.name, event.elapsed / max(attempt.out, 1.0))
            self.note_class(attempt, False)
            self.note(attempt, False)
        elif event.outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT) and not busy:
            self.note_failure(capsule, math.inf if censored else MOST_HELD)
            self.note(attempt, True)
            self.unserved += 1
        if event.outcome is Outcome.TIMED_OUT and not attempt.overdue:
            self.note_class(attempt, True)
        self.note_report(capsule, event.load)
        part.served |= event.outcome is Outcome.SERVED
        part.may_have_run |= not event.outcome.never_ran
        if not part.out and not part.may_have_run:
            part.may_run_since = None
        if part not in query.step or query.number in self.fresh:
            return
        if (
            not part.served
            and not part.out
            and event.outcome not in (Outcome.NOT_SENT, Outcome.TIMED_OUT)
        ):
            self.send_again(query, part, 1.0)
        hopeless = weigh(query, True) < query.kind.floor - EPSILON  # nothing more is spent on it
        enough = query.late and weigh(query) >= query.kind.floor - EPSILON
        if hopeless or enough or all(each.served or not each.out for each in query.step):
            self.conclude(query)

    def on_overdue(self, key: tuple[int, int]) -> None:
        """Guards against silent servers, cut links and lost answers: a copy to a replica with little out.

        Only a server that answered nothing since is held to be silent; another may queue, or lost this one.
        """
        attempt = self.attempts.get(key)
        if attempt is None:
            return
        query, part = attempt.query, attempt.part
        attempt.overdue = True
        self.note(attempt, True)
        self.note_class(attempt, True)
        if attempt.capsule.answered < attempt.sent:
            self.note_failure(attempt.capsule, math.inf)
        if part not in query.step or part.served:
            return
        if self.settings.limits.second_copies:
            self.send_again(query, part, COPY_SHARE)

    def send_again(self, query: Query, part: Part, share: float) -> None:
        """To another replica, if class, repeat window, attempt budget and time allow, and there is room."""
        rules, kind = self.settings.rules, query.kind
        for times in (self.taken, self.extras):
            while times and times[0] <= self.now - rules.extra_window:
                times.popleft()
        allowed = rules.extra_floor + rules.extra_share * len(self.taken)
        if weigh(query, hoped=True) >= kind.floor - EPSILON:
            allowed *= 1 - SPARE
        spent = rules.extra_window > 0 and len(self.extras) + 1 > allowed
        harmless = (
            kind.effect is Effect.SAFE
            or part.may_run_since is None
            or (
                kind.effect is Effect.KEYED
                and self.now < part.may_run_since + kind.repeat_window - EPSILON
            )
        )
        if spent or not harmless or len(part.tried) >= self.settings.limits.max_attempts:
            return
        attempt = self.plan(query, part, share)
        if attempt:
            self.extras.append(self.now)
            self.send(attempt)

    def outage(self) -> bool:
        """Whether all servers seem lost: so many parts were, for each of them, and none was served since."""
        return self.unserved >= OUTAGE * max(len(self.capsules), 1)

    def conclude(self, query: Query) -> None:
        """Answer from what came; else the final answer at once, a refusal only where that is harmless."""
        kind, second, limits = query.kind, bool(query.first), self.settings.limits
        if query.step and weigh(query) >= kind.floor - EPSILON:
            whole = query.first_whole and weigh(query) >= (1.0 if second else kind.need) - EPSILON
            self.actions.append(Answer(query.query_id, whole))
            if kind.second_step_parts and not second:
                self.cancel(query)
                query.first, query.step, query.first_whole = query.step, [], whole
                self.set_wait(query, 1.0)
                return
        elif kind.effect is Effect.SAFE or all(
            p.may_run_since is None for p in query.step + query.first
        ):
            # By then a server at beta has come down to alpha; sooner, the client would only be refused again.
            # With the aim over, who comes back only adds to the load: the longest advice that is followed.
            over = self.now >= query.arrived + kind.aim * (1 - MARGIN) - EPSILON
            later = math.inf if over else BETA_SHARE * (1 - ALPHA_SHARE) * self.shortest_wait
            later = min(later, limits.max_retry_after) if limits.retry_after else 0.0
            self.actions.append(Refuse(query.query_id, later))
        else:
            self.actions.append(Fail(query.query_id))
        self.end(query)

    def end(self, query: Query) -> None:
        self.cancel(query)
        query.step = []
        self.queries.pop(query.number, None)
        self.fresh.pop(query.number, None)

    def cancel(self, query: Query) -> None:
        """Call off what is still out: its answer would serve nothing."""
        keys = [(part.part_id, number) for part in query.step for number in range(len(part.tried))]
        if self.settings.limits.cancelling:
            self.actions += [Cancel(*key) for key in keys if key in self.attempts]
