"""The broker's core: turns queries into the decision module's events, and carries out its actions.

All events of one loop turn go to the module in one call. What it sends to one node in that turn travels as one
call. Nothing here chooses a node, waits, retries or rejects: the module does. What the core keeps are the
queries in flight, their parts and the attempts in flight. Each ends in exactly one place
(`Core._finish`, `AttemptTracker.end`).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from stepknot import interface as api
from stepknot.broker.aggregator_timers import AggregatorTimers
from stepknot.broker.attempt_tracker import AttemptTracker
from stepknot.broker.query import Attempt, Query, QueryPart, QueryResult, QueryStatus
from stepknot.broker.tenant_shares import TenantShares
from stepknot.broker.zone_change_log import ZoneChangeLog
from stepknot.decisions import Aggregator
from stepknot.net.loop import Loop
from stepknot.nodes.transport import Load, NodeTransport

if TYPE_CHECKING:  # its package is loaded only where zones are configured
    from stepknot.zones.failover import ZoneFailover


def _no_watch() -> None:
    """The source of the endpoint list pushes changes by itself."""


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """What a core may have beyond its collaborators."""

    max_queries: int = 4096  # in flight; a query beyond it is refused
    max_open: float = math.inf  # queries and parts in flight together
    name: str = ""  # the broker's
    zones: ZoneFailover | None = None  # bounds for whole zones
    promised: dict[str, float] = field(default_factory=dict)  # each tenant's share of the traffic
    watch: Callable[[], None] = _no_watch  # asks for changes of the endpoint list


DEFAULT_OPTIONS = CoreOptions()


class Core:
    """Queries in flight between a frontend, the decision module and the transport to the nodes.

    Args:
        loop: Gives the time; the core's turn is a hook at the end of each of the loop's.
        settings: The decision module's settings.
        seed: Of the decision module's random choices.
        transport: Carries attempts to the nodes.
        log: Takes an event's name and its fields.
        options: Bounds, the broker's name, zones, tenants' shares.
    """

    def __init__(
        self,
        loop: Loop,
        settings: api.Settings,
        seed: int,
        transport: NodeTransport,
        log: Callable[..., None],
        options: CoreOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.loop, self.settings, self.transport, self.log = loop, settings, transport, log
        self.max_queries, self.max_open = options.max_queries, options.max_open
        self.name, self.zones = options.name, options.zones
        zones = options.zones
        self.aggregator = Aggregator(settings, seed, zones.narrow if zones is not None else None)
        self.decide: Callable[[float, list[api.Event]], list[api.Action]] = self.aggregator.handle
        self.decide_time = 0.0  # seconds
        self.inbox: list[api.Event] = []  # for the decision module, at the end of this turn
        self.outgoing: dict[str, list[Attempt]] = {}  # this turn's attempts by node
        self.queries: dict[int, Query] = {}
        self.parts: dict[int, tuple[Query, QueryPart]] = {}
        self.servers: dict[str, api.ServerEntry] = {}
        self.last_id = 0
        self.counts: Counter[str] = Counter()
        self.class_counts: Counter[tuple[str, str]] = Counter()
        self.tenant_counts: Counter[tuple[str, str]] = Counter()  # unknown tenants together
        self.tenants = TenantShares(options.promised)
        self.zone_log = ZoneChangeLog(zones, self.counts, log) if zones is not None else None
        self.attempts = AttemptTracker(
            loop, transport, zones, self.zone_log, self.counts, self.post
        )
        self.timers = AggregatorTimers(loop)
        self.carry_out: dict[type, Callable[[Any], None]] = {
            api.Send: self._prepare_send,
            api.SetTimer: self.timers.add,
            api.Answer: self._on_answer,
            api.Cancel: lambda action: self.attempts.cancel(action.part_id, action.attempt),
            api.Refuse: self._on_refuse,
            api.Fail: self._on_fail,
            api.Probe: lambda action: self._probe(action.server),
            api.Close: lambda action: transport.close_idle(action.server),
            api.Watch: lambda _action: options.watch(),
        }
        loop.turn_hooks.append(self.on_turn_end)

    def post(self, event: api.Event) -> None:
        """Hand an event to the decision module at the end of this turn, or of the next one."""
        self.inbox.append(event)
        self.loop.again = True

    def set_instance_count(self, count: int) -> None:
        """No more brokers than this share the nodes now."""
        self.post(api.InstancesCounted(count))

    # --- queries from clients

    def submit(self, query: Query) -> None:
        """Take a query; `query.done` is set to its `QueryResult` before the client's time is up."""
        self.last_id += 1
        query.query_id, query.arrived = self.last_id, self.loop.now
        if self._is_over_bound(query):
            self.counts["over_bound"] += 1
            query.done.set(self._refusal(self.settings.limits.max_retry_after))
            return
        if self.zones is not None:
            retry_after = self._shed_load(self.zones, query)
            if retry_after is not None:
                self.counts["shed"] += 1
                self.class_counts[query.class_name, "shed"] += 1
                query.done.set(self._refusal(retry_after))
                return
        self.queries[query.query_id] = query
        self.counts["queries"] += 1
        self.class_counts[query.class_name, "taken"] += 1
        self.post(
            api.QueryArrived(
                query.query_id,
                query.query_id,
                query.class_name,
                query.deadline,
                query.tenant,
                query.key,
                query.effort,
                query.retry,
            )
        )
        self._add_parts(query, query.parts)

    def _is_over_bound(self, query: Query) -> bool:
        """Whether memory has no capacity for this query."""
        in_flight = len(self.queries) + len(self.parts)
        return (
            len(self.queries) >= self.max_queries
            or in_flight + 1 + len(query.parts) > self.max_open
        )

    def _refusal(self, retry_after: float) -> QueryResult:
        """The result of a query that was not taken, with advice in seconds where the limits allow it."""
        limits = self.settings.limits
        advice = min(retry_after, limits.max_retry_after) if limits.retry_after else 0.0
        return QueryResult(QueryStatus.REFUSED, False, advice)

    def _shed_load(self, zones: ZoneFailover, query: Query) -> float | None:
        """None where the zones have capacity for the query; else the seconds after which to retry."""
        parts = len(query.parts)
        worth = self.settings.classes[query.class_name].worth / max(parts, 1)
        now = self.loop.now
        return zones.admit(now, worth, parts, self.tenants.is_over_share(now, query.tenant))

    def _add_parts(self, query: Query, parts: list[QueryPart]) -> None:
        for part in parts:
            self.last_id += 1
            part.part_id = self.last_id
            self.parts[part.part_id] = (query, part)
            self.post(
                api.PartArrived(part.part_id, query.query_id, part.shard, part.weight, part.effort)
            )
        self.counts["parts"] += len(parts)

    def on_client_disconnected(self, query: Query) -> None:
        """Nothing is answered any more, and the attempts in flight are cancelled."""
        if self.queries.get(query.query_id) is query:
            self.post(api.QueryGone(query.query_id))
            self._finish(query, None)

    def finish_all(self) -> None:
        """Shutting down: every query in flight gets its final answer now."""
        for query in list(self.queries.values()):
            self.post(api.QueryGone(query.query_id))
            ran = any(part.attempts for part in query.parts)
            safe = self.settings.classes[query.class_name].effect is api.Effect.SAFE
            status = QueryStatus.REFUSED if safe or not ran else QueryStatus.FAILED
            self._finish(query, QueryResult(status))

    # --- the endpoint list

    def update_endpoints(self, event: api.ListReceived) -> None:
        """Take a full endpoint list or changes to it; nodes that are not live get nothing new at once."""
        if event.kind is api.ListKind.FULL:
            for server in self.servers.keys() - {entry.server for entry in event.entries}:
                self.transport.withdraw(server)
            self.servers = {}
        for entry in event.entries:
            self._update_endpoint(entry)
        if self.zones is not None and self.zone_log is not None:
            self.zones.update_endpoints(self.loop.now, self.servers.values())
            self.zone_log.report()
        self.post(event)

    def _update_endpoint(self, entry: api.ServerEntry) -> None:
        if entry.state is api.ServerState.GONE:
            self.servers.pop(entry.server, None)
            self.transport.close_idle(entry.server)
        else:
            self.servers[entry.server] = entry
        if entry.state is not api.ServerState.LIVE:
            self.transport.withdraw(entry.server)
        self.log(
            "node_listed",
            server=entry.server,
            state=entry.state.value,
            zone=entry.zone,
            cell=entry.cell,
        )

    # --- one turn

    def on_turn_end(self) -> None:
        """Hand this turn's events to the decision module and carry out what it decides."""
        if not self.inbox and not self.timers.is_due():
            return
        events, self.inbox = self.inbox, []
        events += self.timers.take_due()
        begun = self.loop.clock()
        actions = self.decide(self.loop.now, events)
        self.decide_time += self.loop.clock() - begun
        if self.zones is not None:
            self.zones.end_turn()
        carry_out = self.carry_out
        for action in actions:
            carry_out[type(action)](action)
        self._send_outgoing()
        self.timers.arm()

    def _prepare_send(self, action: api.Send) -> None:
        """Start the attempt; it leaves together with the turn's others for the same node."""
        found = self.parts.get(action.part_id)
        if found is None:  # its client disconnected in this very turn
            self.post(
                api.AttemptEnded(
                    action.part_id, action.attempt, action.server, api.Outcome.NOT_SENT, 0.0
                )
            )
            return
        query, part = found
        attempt = self.attempts.start(query, part, action)
        self.outgoing.setdefault(action.server, []).append(attempt)

    def _send_outgoing(self) -> None:
        """One call or more to each node; attempts that this same turn cancelled stay here."""
        outgoing, self.outgoing = self.outgoing, {}
        for server, attempts in outgoing.items():
            to_send = self.attempts.still_in_flight(attempts)
            self.counts["calls"] += self.transport.send(server, to_send)

    def _probe(self, server: str) -> None:
        """Ask a node for its load report."""
        begun = self.loop.now
        self.counts["probes"] += 1

        def on_end(outcome: api.Outcome, load: Load) -> None:
            now = self.loop.now
            if self.zones is not None:
                self.zones.on_health_check(now, server, now - begun, outcome is api.Outcome.SERVED)
            self.post(api.ProbeEnded(server, outcome, now - begun, load))

        self.transport.probe(server, on_end)

    # --- ends of queries

    def _on_answer(self, action: api.Answer) -> None:
        """Begin the second step where there is one, or finish the query."""
        query = self.queries.get(action.query_id)
        if query is None:
            return
        has_two_steps = self.settings.classes[query.class_name].second_step_parts > 0
        if query.step == 1 and has_two_steps:
            query.step, query.first_step_complete = 2, action.whole
            if query.make_second_step is not None:
                query.second_parts = query.make_second_step(query.parts)
            if query.second_parts:
                self._add_parts(query, query.second_parts)
                return
            self.post(api.QueryGone(query.query_id))  # nothing is to be fetched
        self._finish(query, QueryResult(QueryStatus.ANSWERED, action.whole))

    def _on_refuse(self, action: api.Refuse) -> None:
        query = self.queries.get(action.query_id)
        if query is not None:
            self._finish(query, QueryResult(QueryStatus.REFUSED, False, action.retry_after))

    def _on_fail(self, action: api.Fail) -> None:
        query = self.queries.get(action.query_id)
        if query is not None:
            self._finish(query, QueryResult(QueryStatus.FAILED))

    def _finish(self, query: Query, result: QueryResult | None) -> None:
        """The one end of a query; None where its client disconnected."""
        del self.queries[query.query_id]
        parts = (*query.parts, *query.second_parts)
        for part in parts:
            self.parts.pop(part.part_id, None)
        self.attempts.drop_unsent(parts)
        self._record_end(query, result)
        query.done.set(result)

    def _record_end(self, query: Query, result: QueryResult | None) -> None:
        ending = result.status.value if result is not None else "gone"
        complete = result is not None and result.complete
        self.counts[ending] += 1
        self.class_counts[query.class_name, ending] += 1
        self.tenant_counts[query.tenant, ending] += 1
        if ending == QueryStatus.ANSWERED.value and not complete:
            self.counts["partial"] += 1
        self.log(
            "query_ended",
            query=query.name,
            query_class=query.class_name,
            ending=ending,
            took=round(self.loop.now - query.arrived, 6),
            parts=len(query.parts),
            served=sum(part.served for part in query.parts),
            complete=complete,
        )
