"""The broker's core: turns queries into the decision module's events, and carries out its actions.

The core hands all events of one loop iteration to the decision module in one call. The attempts that the module then
sends to one node travel together. Choosing nodes, waiting, retrying and rejecting are up to the module; the core only
enforces its own limits on what is in flight. It keeps the queries, their parts and the attempts in flight. A query
ends only in `Core._finish`, an attempt only in `AttemptTracker.end`.
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

if TYPE_CHECKING:  # the zones package is loaded only where zones are configured
    from stepknot.zones.failover import ZoneFailover


def _no_watch() -> None:
    """The default of `CoreOptions.watch`: does nothing, as the source of the endpoint list pushes its changes."""


@dataclass(frozen=True, slots=True)
class CoreOptions:
    """A core's optional settings and collaborators."""

    max_queries: int = 4096  # maximum number of queries in flight; further queries are refused
    max_open: float = math.inf  # maximum number of queries and parts in flight, added together
    name: str = ""  # the broker's name
    zones: ZoneFailover | None = None  # limits the traffic of whole zones
    tenant_shares: dict[str, float] = field(default_factory=dict)  # share of the traffic, by tenant
    watch: Callable[[], None] = _no_watch  # requests changes of the endpoint list


DEFAULT_OPTIONS = CoreOptions()


class Core:
    """Runs queries: connects frontends, the decision module and the transport to the nodes.

    Args:
        loop: The broker's loop, whose clock the core uses. The core runs as a hook at the end of each iteration.
        settings: The decision module's settings.
        seed: The seed of the decision module's random choices.
        transport: Sends attempts to the nodes.
        log: Writes a log event, given its name and fields.
        options: Limits, the broker's name, zone failover and the tenants' shares.
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
        # Whether decisions wait for the next iteration; asked once in an iteration that has some.
        self.must_decisions_wait: Callable[[], bool] = lambda: False
        zones = options.zones
        self.aggregator = Aggregator(settings, seed, zones.narrow if zones is not None else None)
        self.decide: Callable[[float, list[api.Event]], list[api.Action]] = self.aggregator.handle
        self.decide_time = 0.0  # seconds spent in the decision module
        self.pending_events: list[api.Event] = []  # events for the decision module
        self.outgoing: dict[str, list[Attempt]] = {}  # attempts started in this iteration, by node
        self.queries: dict[int, Query] = {}
        self.parts: dict[int, tuple[Query, QueryPart]] = {}
        self.servers: dict[str, api.ServerEntry] = {}
        self.last_id = 0
        self.counts: Counter[str] = Counter()
        self.class_counts: Counter[tuple[str, str]] = Counter()
        self.tenant_counts: Counter[tuple[str, str]] = Counter()  # unknown tenants count as ""
        self.tenants = TenantShares(options.tenant_shares)
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
        loop.turn_hooks.append(self._on_iteration_end)

    def post(self, event: api.Event) -> None:
        """Queue an event for the decision module, which gets it at the end of this loop iteration or the next."""
        self.pending_events.append(event)
        self.loop.again = True

    def set_instance_count(self, count: int) -> None:
        """Set the upper bound of the number of brokers that share the nodes."""
        self.post(api.InstancesCounted(count))

    # --- queries from clients

    def submit(self, query: Query) -> None:
        """Start a query; `query.done` is set to its `QueryResult` before the query's deadline."""
        self.last_id += 1
        query.query_id, query.arrived = self.last_id, self.loop.now
        if self._exceeds_limits(query):
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

    def _exceeds_limits(self, query: Query) -> bool:
        """Whether there would be too many queries or parts in flight; both limits bound the broker's memory."""
        in_flight = len(self.queries) + len(self.parts)
        return (
            len(self.queries) >= self.max_queries
            or in_flight + 1 + len(query.parts) > self.max_open
        )

    def _refusal(self, retry_after: float) -> QueryResult:
        """The result of a query that was not started; it advises when to retry if the limits allow that."""
        limits = self.settings.limits
        advice = min(retry_after, limits.max_retry_after) if limits.retry_after else 0.0
        return QueryResult(QueryStatus.REFUSED, False, advice)

    def _shed_load(self, zones: ZoneFailover, query: Query) -> float | None:
        """None if the zones have capacity for the query; otherwise the seconds after which its client may retry."""
        parts = len(query.parts)
        weight_per_part = self.settings.classes[query.class_name].worth / max(parts, 1)
        now = self.loop.now
        return zones.admit(
            now, weight_per_part, parts, self.tenants.is_over_share(now, query.tenant)
        )

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
        """End a query whose client disconnected, without a result; its attempts in flight are cancelled."""
        if self.queries.get(query.query_id) is query:
            self.post(api.QueryGone(query.query_id))
            self._finish(query, None)

    def finish_all(self) -> None:
        """End every query in flight now, as the broker shuts down."""
        for query in list(self.queries.values()):
            self.post(api.QueryGone(query.query_id))
            may_have_run = any(part.attempts for part in query.parts)
            is_safe = self.settings.classes[query.class_name].effect is api.Effect.SAFE
            status = QueryStatus.REFUSED if is_safe or not may_have_run else QueryStatus.FAILED
            self._finish(query, QueryResult(status))

    # --- the endpoint list

    def update_endpoints(self, event: api.ListReceived) -> None:
        """Apply a full endpoint list or changes to it; nodes that are not live get no new attempts from now on."""
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

    # --- one iteration of the loop

    def _on_iteration_end(self) -> None:
        """Hand this iteration's events to the decision module and carry out its actions."""
        if not self.pending_events and not self.timers.is_due():
            return
        if self.must_decisions_wait():
            self.loop.again = True
            return
        events, self.pending_events = self.pending_events, []
        events += self.timers.take_due()
        try:
            self._decide_and_carry_out(events)
        except Exception:
            # The events are lost to the decision module, which may never end the queries that they are about.
            self.finish_all()
            raise
        finally:
            self.timers.arm()

    def _decide_and_carry_out(self, events: list[api.Event]) -> None:
        """Carry out the decision module's actions; an action that fails keeps no other from being carried out."""
        begun = self.loop.clock()
        actions = self.decide(self.loop.now, events)
        self.decide_time += self.loop.clock() - begun
        if self.zones is not None:
            self.zones.end_turn()
        carry_out, run_callback = self.carry_out, self.loop.run_callback
        for action in actions:
            run_callback("action", carry_out[type(action)], action)
        self._send_outgoing()

    def _prepare_send(self, action: api.Send) -> None:
        """Start an attempt; it is sent together with this iteration's other attempts for the same node."""
        found = self.parts.get(action.part_id)
        if found is None:  # the query ended in this same iteration, as its client disconnected
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
        """Send each node its attempts, in one call or more, except attempts that already ended in this iteration."""
        outgoing, self.outgoing = self.outgoing, {}
        for server, attempts in outgoing.items():
            self.loop.run_callback("call", self._send_to, server, attempts)

    def _send_to(self, server: str, attempts: list[Attempt]) -> None:
        to_send = self.attempts.still_in_flight(attempts)
        self.counts["calls"] += self.transport.send(server, to_send)

    def _probe(self, server: str) -> None:
        """Send a health check to a node, which answers with its load report."""
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
        """Begin the query's second step if it has one, otherwise finish the query."""
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
            self.post(api.QueryGone(query.query_id))  # the second step has nothing to fetch
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
        """End a query with its result, None if its client disconnected. Every query ends here."""
        del self.queries[query.query_id]
        parts = (*query.parts, *query.second_parts)
        for part in parts:
            self.parts.pop(part.part_id, None)
        query.done.set(result)
        self.attempts.drop_unsent(parts)
        self._record_end(query, result)

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
