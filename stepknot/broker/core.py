"""Turns queries into the decision module's events, and carries out its actions.

All events of one loop turn go to the module in one call; what it sends to one box in that turn travels as one
call. Nothing here chooses a box, waits, repeats or refuses: the module does. What is kept: the queries held, their
parts and the attempts out; each ends in exactly one place (`finish`, `end_attempt`).
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from enum import Enum
from functools import partial
from typing import Any

from stepknot import interface as api
from stepknot.decisions import Aggregator
from stepknot.net.loop import Loop
from stepknot.net.tasks import Future
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, NodeTransport, OutgoingAttempt
from stepknot.zones.decay import DecayingRate
from stepknot.zones.failover import ZoneFailover

# What a part's payload is read by; raises ValueError where it is not an answer.
Accept = Callable[[Any], Any]


TENANT_MEMORY, TENANT_ROOM = (
    5.0,
    1.1,
)  # seconds over which a tenant's traffic is seen; over its share by a tenth


ENDED = {outcome: f"ended_{outcome.name.lower()}" for outcome in api.Outcome}


class Status(Enum):
    ANSWERED = "answered"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # it may have run: no promise


@dataclass(slots=True, eq=False)
class QueryPart:
    """A part of a query: what it asks, how its answer is read, and what became of it."""

    shard: int  # among the fleet's
    weight: float
    request: Any  # in the terms of the boxes' side
    accept: Accept
    effort: float = 0.0  # seconds of work it is thought to be, 0: not told
    part_id: int = 0
    answer: Any = None
    served: bool = False
    server: str = ""
    attempts: int = 0
    reason: str = "not asked"


@dataclass(slots=True, eq=False)
class Ask:
    """A query handed to the core. `second` makes the second step's parts from the first one's."""

    class_name: str
    deadline: float  # by the loop's clock
    first: list[QueryPart]
    second: Callable[[list[QueryPart]], list[QueryPart]] | None = None
    tenant: str = ""
    key: str = ""
    name: str = ""  # in logs and at boxes
    effort: float = 0.0
    retry: bool = False  # its client says that it asks again
    query_id: int = 0
    step: int = 1
    fetch: list[QueryPart] = field(default_factory=list)
    first_whole: bool = False
    arrived: float = 0.0
    done: Future = field(default_factory=Future)


@dataclass(frozen=True, slots=True)
class Result:
    status: Status
    whole: bool = False
    retry_after: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt(OutgoingAttempt):
    part: QueryPart = field(kw_only=True)
    ask: Ask = field(kw_only=True)
    number: int = field(kw_only=True)
    server: str = field(kw_only=True)
    sent: float = field(kw_only=True)


class Core:
    def __init__(
        self,
        loop: Loop,
        settings: api.Settings,
        seed: int,
        boxes: NodeTransport,
        on_event: Callable[..., None],
        most_held: int = 4096,
        name: str = "",
        zones: ZoneFailover | None = None,
        promised: dict[str, float] | None = None,
        most_open: float = math.inf,
        watch: Callable[[], None] = lambda: None,
    ) -> None:
        """`most_held` bounds queries, `most_open` queries and parts together. `watch` asks for the list's changes; a
        source that tells them of itself needs none."""
        self.loop, self.settings, self.boxes, self.watch = loop, settings, boxes, watch
        boxes.on_reply = self.take_reply
        self.on_event, self.most_held, self.most_open, self.name = (
            on_event,
            most_held,
            most_open,
            name,
        )
        self.zones, self.promised = zones, promised or {}
        self.module = Aggregator(settings, seed, zones.narrow if zones is not None else None)
        self.decide: Callable[[float, list[api.Event]], list[api.Action]] = self.module.handle
        self.inbox: list[api.Event] = []
        self.held: dict[int, Ask] = {}
        self.parts: dict[int, tuple[Ask, QueryPart]] = {}
        self.out: dict[tuple[int, int], Attempt] = {}
        self.servers: dict[str, api.ServerEntry] = {}
        self.last_id = 0
        self.alarms: list[tuple[float, int]] = []  # the module's timers, a heap
        self.alarm_at = math.inf  # when the loop looks at them next
        self.expiries: dict[float, list[Attempt]] = {}  # by the moment when their waits end
        self.counts: Counter[str] = Counter()
        self.class_counts: Counter[tuple[str, str]] = Counter()
        self.tenant_counts: Counter[tuple[str, str]] = (
            Counter()
        )  # of those in the settings, the rest together
        self.tenant_rates: dict[str, DecayingRate] = {}
        self.decide_time = 0.0
        loop.turn_hooks.append(self.turn)

    def post(self, event: api.Event) -> None:
        self.inbox.append(event)
        self.loop.again = True

    def note_instances(self, count: int) -> None:
        """No more brokers than this share the boxes now."""
        self.post(api.InstancesCounted(count))

    # --- queries in

    def ask(self, ask: Ask) -> None:
        """Take a query; `ask.done` is set with its `Result` at the latest when the client's time is nearly up."""
        self.last_id += 1
        ask.query_id, ask.arrived = self.last_id, self.loop.now
        still = len(self.held) + len(self.parts) + 1 + len(ask.first)
        if (
            len(self.held) >= self.most_held or still > self.most_open
        ):  # memory comes before all else
            self.counts["over_bound"] += 1
            limits = self.settings.limits
            ask.done.set(
                Result(
                    Status.REFUSED,
                    retry_after=limits.max_retry_after if limits.retry_after else 0.0,
                )
            )
            return
        if self.zones is not None:
            worth = self.settings.classes[ask.class_name].worth / max(len(ask.first), 1)
            advice = self.zones.admit(
                self.loop.now, worth, len(ask.first), self.over_share(ask.tenant)
            )
            if advice is not None:
                self.counts["shed"] += 1
                self.class_counts[ask.class_name, "shed"] += 1
                limits = self.settings.limits
                ask.done.set(
                    Result(
                        Status.REFUSED,
                        False,
                        min(advice, limits.max_retry_after) if limits.retry_after else 0.0,
                    )
                )
                return
        self.held[ask.query_id] = ask
        self.counts["queries"] += 1
        self.class_counts[ask.class_name, "taken"] += 1
        self.post(
            api.QueryArrived(
                ask.query_id,
                ask.query_id,
                ask.class_name,
                ask.deadline,
                ask.tenant,
                ask.key,
                ask.effort,
                ask.retry,
            )
        )
        self.add_parts(ask, ask.first)

    def over_share(self, tenant: str) -> bool:
        """Whether the tenant asks for more of the traffic than it was promised."""
        share = self.promised.get(tenant)
        if share is None:
            return False
        now = self.loop.now
        for name in self.promised:
            self.tenant_rates.setdefault(name, DecayingRate(TENANT_MEMORY))
        self.tenant_rates[tenant].add(now, 1.0)
        total = sum(rate.rate_at(now) for rate in self.tenant_rates.values())
        return self.tenant_rates[tenant].rate_at(now) > share * total * TENANT_ROOM

    def add_parts(self, ask: Ask, parts: list[QueryPart]) -> None:
        for part in parts:
            self.last_id += 1
            part.part_id = self.last_id
            self.parts[part.part_id] = (ask, part)
            self.post(
                api.PartArrived(part.part_id, ask.query_id, part.shard, part.weight, part.effort)
            )
        self.counts["parts"] += len(parts)

    def gone(self, ask: Ask) -> None:
        """The client hung up: nothing is answered, what is out is called off."""
        if self.held.get(ask.query_id) is ask:
            self.post(api.QueryGone(ask.query_id))
            self.finish(ask, None)

    def take_list(self, event: api.ListReceived) -> None:
        if event.kind is api.ListKind.FULL:
            for server in self.servers.keys() - {entry.server for entry in event.entries}:
                self.boxes.withdraw(server)
            self.servers = {}
        for entry in event.entries:
            if entry.state is api.ServerState.GONE:
                self.servers.pop(entry.server, None)
                self.boxes.close_idle(entry.server)
            else:
                self.servers[entry.server] = entry
            if entry.state is not api.ServerState.LIVE:
                self.boxes.withdraw(entry.server)
            self.on_event(
                "box_listed",
                box=entry.server,
                state=entry.state.value,
                zone=entry.zone,
                cell=entry.cell,
            )
        if self.zones is not None:
            self.zones.update_endpoints(self.loop.now, self.servers.values())
            self.tell_changes()
        self.post(event)

    def give_up_all(self) -> None:
        """Shutting down: every query held gets its final answer now."""
        for ask in list(self.held.values()):
            self.post(api.QueryGone(ask.query_id))
            ran = any(part.attempts for part in ask.first)
            safe = self.settings.classes[ask.class_name].effect is api.Effect.SAFE
            self.finish(ask, Result(Status.REFUSED if safe or not ran else Status.FAILED))

    # --- one turn

    def turn(self) -> None:
        if not self.inbox and (not self.alarms or self.alarms[0][0] > self.loop.now):
            return
        events, self.inbox = self.inbox, []
        while self.alarms and self.alarms[0][0] <= self.loop.now:
            events.append(api.TimerDue(heapq.heappop(self.alarms)[1]))
        begun = self.loop.clock()
        actions = self.decide(self.loop.now, events)
        self.decide_time += self.loop.clock() - begun
        if self.zones is not None:
            self.zones.end_turn()
        sends: dict[str, list[Attempt]] = {}
        for action in actions:
            match action:
                case api.Send():
                    self.prepare(action, sends)
                case api.SetTimer():
                    heapq.heappush(self.alarms, (action.at, action.token))
                case api.Answer():
                    self.answer(action)
                case api.Cancel():
                    attempt = self.out.get((action.part_id, action.attempt))
                    if attempt is not None:
                        self.end_attempt(attempt, api.Outcome.CANCELLED, {})
                case api.Refuse():
                    self.close_query(
                        action.query_id, Result(Status.REFUSED, False, action.retry_after)
                    )
                case api.Fail():
                    self.close_query(action.query_id, Result(Status.FAILED))
                case api.Probe():
                    self.probe(action.server)
                case api.Close():
                    self.boxes.close_idle(action.server)
                case api.Watch():
                    self.watch()
        for server, attempts in sends.items():
            attempts = [
                each for each in attempts if self.out.get((each.part.part_id, each.number)) is each
            ]
            self.counts["calls"] += self.boxes.send(server, attempts)
        self.rearm()

    def on_alarm(self) -> None:
        """A timer of the module is due: this turn's end hands it over."""
        self.alarm_at = math.inf
        if not self.alarms or self.alarms[0][0] > self.loop.now:  # another turn took it already
            self.rearm()

    def rearm(self) -> None:
        if self.alarms and self.alarms[0][0] < self.alarm_at:
            self.alarm_at = self.alarms[0][0]
            self.loop.call_at(self.alarm_at, self.on_alarm)

    def expire(self, attempts: list[Attempt], at: float) -> None:
        """Those of one turn whose wait ends at one time: they share a timer."""
        self.expiries.pop(at, None)
        for attempt in attempts:
            self.end_attempt(attempt, api.Outcome.TIMED_OUT, {})

    def prepare(self, action: api.Send, sends: dict[str, list[Attempt]]) -> None:
        if action.part_id not in self.parts:  # its client went in this very turn
            self.post(
                api.AttemptEnded(
                    action.part_id, action.attempt, action.server, api.Outcome.NOT_SENT, 0.0
                )
            )
            return
        ask, part = self.parts[action.part_id]
        attempt = Attempt(
            part.request,
            ask.name,
            action.timeout,
            not_after=action.not_after,
            part=part,
            ask=ask,
            number=action.attempt,
            server=action.server,
            sent=self.loop.now,
        )
        part.attempts += 1
        part.reason = "no answer in time"
        self.counts["attempts"] += 1
        if self.zones is not None:
            self.zones.on_attempt_sent(self.loop.now, action.server)
        if attempt.number:
            self.counts["extra_attempts"] += 1
        self.out[part.part_id, attempt.number] = attempt
        if action.timeout < math.inf:
            at = self.loop.now + action.timeout
            sharing = self.expiries.get(at)
            if sharing is None:
                sharing = self.expiries[at] = []
                self.loop.call_at(at, partial(self.expire, sharing, at))
            sharing.append(attempt)
        sends.setdefault(action.server, []).append(attempt)

    def take_reply(self, attempt: Attempt, reply: PartReply, load: Load) -> None:
        part, outcome = attempt.part, reply.outcome
        if outcome is api.Outcome.SERVED and not part.served:
            try:
                part.answer = part.accept(reply.payload)
                part.served, part.server, part.reason = True, attempt.server, ""
            except ValueError as error:
                outcome, part.reason = api.Outcome.ERROR, f"malformed reply: {error}"
        elif outcome is not api.Outcome.SERVED:
            part.reason = reply.reason or outcome.value
        self.end_attempt(attempt, outcome, load)

    def end_attempt(self, attempt: Attempt, outcome: api.Outcome, load: Load) -> None:
        part = attempt.part
        if self.out.pop((part.part_id, attempt.number), None) is None:
            return
        self.counts[ENDED[outcome]] += 1
        now = self.loop.now
        if self.zones is not None:
            self.zones.on_attempt_ended(now, attempt.server, outcome, now - attempt.sent)
            if self.zones.changes:
                self.tell_changes()
        if attempt.call is not None:
            self.boxes.cancel(attempt)
        self.post(
            api.AttemptEnded(
                part.part_id,
                attempt.number,
                attempt.server,
                outcome,
                now - attempt.sent,
                False,
                load,
            )
        )

    def tell_changes(self) -> None:
        """A structured event for each zone that changed its state, with the evidence."""
        if self.zones is not None and self.zones.changes:
            for change in self.zones.take_changes():
                self.counts["zone_changes"] += 1
                self.on_event(
                    "zone_state_changed",
                    zone=change.zone,
                    old=change.old.value,
                    new=change.new.value,
                    reason=change.reason,
                    **asdict(change.evidence),
                )

    def probe(self, server: str) -> None:
        begun = self.loop.now
        self.counts["probes"] += 1

        def end(outcome: api.Outcome, load: Load) -> None:
            if self.zones is not None:
                self.zones.on_health_check(
                    self.loop.now, server, self.loop.now - begun, outcome is api.Outcome.SERVED
                )
            self.post(api.ProbeEnded(server, outcome, self.loop.now - begun, load))

        self.boxes.probe(server, end)

    # --- answers

    def answer(self, action: api.Answer) -> None:
        ask = self.held.get(action.query_id)
        if ask is None:
            return
        two = self.settings.classes[ask.class_name].second_step_parts > 0
        if ask.step == 1 and two:
            ask.step, ask.first_whole = 2, action.whole
            ask.fetch = ask.second(ask.first) if ask.second else []
            if ask.fetch:
                self.add_parts(ask, ask.fetch)
                return
            self.post(
                api.QueryGone(ask.query_id)
            )  # nothing is to be fetched: the answer is complete
        self.finish(ask, Result(Status.ANSWERED, action.whole))

    def close_query(self, query_id: int, result: Result) -> None:
        ask = self.held.get(query_id)
        if ask is not None:
            self.finish(ask, result)

    def finish(self, ask: Ask, result: Result | None) -> None:
        """The one end of a query; None where the client is gone."""
        del self.held[ask.query_id]
        for part in (*ask.first, *ask.fetch):
            self.parts.pop(part.part_id, None)
            # Where it is over nothing begins any more, also what waits for a connection and what may not be cancelled.
            for number in range(part.attempts):
                attempt = self.out.get((part.part_id, number))
                if attempt is not None and self.boxes.is_unsent(attempt):
                    self.end_attempt(attempt, api.Outcome.NOT_SENT, {})
        ending = result.status.value if result is not None else "gone"
        self.counts[ending] += 1
        self.class_counts[ask.class_name, ending] += 1
        self.tenant_counts[ask.tenant, ending] += 1
        if result is not None and result.status is Status.ANSWERED and not result.whole:
            self.counts["partial"] += 1
        took = self.loop.now - ask.arrived
        served = sum(part.served for part in ask.first)
        self.on_event(
            "query_ended",
            query=ask.name,
            query_class=ask.class_name,
            ending=ending,
            took=round(took, 6),
            parts=len(ask.first),
            served=served,
            whole=bool(result and result.whole),
        )
        ask.done.set(result)
