"""The broker as a process: settings to loop, core, boxes' side and front; orderly end."""

from __future__ import annotations

import os
import random
import resource
import time
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
import orjson
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import DescriptorBudget, allocate_descriptors
from stepknot.admission.errors import SnapshotDamagedError
from stepknot.admission.model import TrustLevel
from stepknot.broker.admission_gate import AdmissionGate
from stepknot.broker.core import Core
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.broker.process import Life
from stepknot.broker.queries import Queries
from stepknot.config.settings import Config
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.discovery.endpoint_file import EndpointFileWatcher
from stepknot.net.http import HttpLimits, Request, Response
from stepknot.net.loop import LAG_BUCKETS, Loop
from stepknot.net.server import Connection, Handler, Server
from stepknot.net.tasks import Coroutine
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.rest_codec import RestCodec
from stepknot.nodes.rest_transport import RestTransport
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.model import ZoneState, ZoneView

MOST_DESCRIPTORS = 200_000  # beyond this a limit says nothing about what a broker can serve
CHANGES = {
    "/admission/ban": (AccessList.BANNED, True),
    "/admission/unban": (AccessList.BANNED, False),
    "/admission/allow": (AccessList.ALLOWED, True),
    "/admission/disallow": (AccessList.ALLOWED, False),
}
GRACE = 10.0  # seconds for which held queries may end by themselves once the broker is told to stop
LAST_WORD = 2.0  # seconds for final answers to leave after that

STATES = (ZoneState.HEALTHY, ZoneState.RECOVERING, ZoneState.UNAVAILABLE)
ZONE_GAUGES: tuple[tuple[str, str, Callable[[ZoneView], float]], ...] = (
    ("state", "0 sound, 1 returning, 2 dark", lambda view: STATES.index(view.state)),
    ("tier", "Preference, 0 is best", lambda view: view.tier),
    ("boxes", "Live boxes by the list", lambda view: view.servers),
    ("rate", "Parts a second sent there", lambda view: view.rate),
    ("had", "Parts a second it had", lambda view: view.baseline_rate),
    ("allowed", "Parts a second it may get", lambda view: view.allowed_rate),
    ("ramp", "Share of what it had that it may get back", lambda view: view.recovery_fraction),
    ("failing", "Share of parts that failed", lambda view: view.failing_fraction),
)
Log = Callable[..., None]
if TYPE_CHECKING:
    from stepknot.broker.subset_driver import SubsetDriver


def host_port(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def shortest_aim(config: Config) -> float:
    return min((kind.aim for kind in config.settings.classes.values()), default=1.0)


class Service(Life):
    """One broker on a loop of its own. `make_front` gives the handler and the error body of its front, `make_graph`
    those of the second one, where the settings have it."""

    def __init__(
        self,
        config: Config,
        log: Log,
        make_front: Callable[[Service], Any],
        clock: Callable[[], float] = time.monotonic,
        seed: int | None = None,
        make_graph: Callable[[Service], Any] | None = None,
        load_again: Callable[[], Config] | None = None,
    ) -> None:
        self.config, self.log = config, log
        chance = (
            random.Random(config.seed if seed is None else seed)
            if config.seed or seed
            else random.Random()
        )
        self.loop = Loop(clock, chance, on_error=self.on_task_error)
        self.loop.on_slow_turn = self.on_slow_turn
        limits = config.settings.limits
        self.name = f"{config.name}@{config.listen[0]}:{config.listen[1]}"
        budgets = self.share_descriptors(config)
        self.pool = ConnectionPool(
            self.loop,
            config.connections,
            config.connect_timeout,
            limits.idle_connection,
            config.reply,
            budgets.servers if budgets is not None else 1_000_000,
        )
        rules = config.settings.rules
        self.zones = (
            ZoneFailover(
                config.zones,
                rules.cold_share,
                rules.cold_time,
                shortest_aim(config),
                chance.getrandbits(62),
            )
            if config.zones is not None
            else None
        )
        boxes = RestTransport(
            self.loop,
            self.pool,
            RestCodec(f"stepknot/{config.listen[1]}"),
            config.settings.parts_per_call,
            log,
        )
        self.core = Core(
            self.loop,
            config.settings,
            chance.getrandbits(62),
            boxes,
            log,
            config.held,
            self.name,
            self.zones,
            config.tenants,
        )
        self.queries = Queries(config, self.core, self.pool)
        self.front = make_front(self)
        handler: Handler = self.front.handle
        self.server = Server(self.loop, *config.listen, handler, config.http, self.front.http_error)
        self.graph = (
            make_graph(self) if make_graph is not None and config.graphql is not None else None
        )
        self.graph_server = (
            Server(
                self.loop,
                *config.graphql.listen,
                self.graph.handle,
                replace(config.http, body=min(config.http.body, config.graphql.limits.body)),
                self.graph.http_error,
            )
            if self.graph is not None and config.graphql is not None
            else None
        )
        self.load_again = load_again
        self.gate = None
        if budgets is not None and config.admission is not None:
            lists = self.read_lists(config.admission.state)
            admission = AdmissionController(config.admission, budgets.clients, lists)
            self.gate = AdmissionGate(self.loop, admission, budgets, log, config.tenants, time.time)
            self.gate.attach(self.server, self.front.refuse, self.front.level)
            if self.graph_server is not None and self.graph is not None:
                self.gate.attach(self.graph_server, self.graph.refuse, self.graph.level)
        self.admin = (
            Server(
                self.loop,
                *config.admin,
                self.administer,
                HttpLimits(body=65536),
                self.front.http_error,
            )
            if config.admin is not None
            else None
        )
        self.listed = DrainedEndpoints(self.core.take_list)
        self.subsetting = None
        if config.subset is not None:
            # Not needed, and not loaded, without the block.
            from stepknot.broker.subset_driver import SubsetDriver

            self.subsetting = SubsetDriver(
                self.loop,
                replace(config.subset, own=self.own_addresses()),
                config.settings,
                self.listed,
                self.core.take_list,
                log,
            )
            self.listed.on_list = self.subsetting.on_watch_event
        self.source = EndpointFileWatcher(
            self.loop,
            config.list_file,
            config.list_every,
            self.listed.receive_list,
            lambda reason: log("endpoint_list_rejected", reason=reason),
        )
        self.peering: MembershipDriver | None = None
        if config.peers is not None:
            seed = chance.getrandbits(62)
            self.peering = MembershipDriver(self.loop, config.peers, seed, self.note_instances, log)
        self.leases = None
        if config.owners is not None and self.peering is not None:
            # Not needed, and not loaded, without the block.
            from stepknot.broker.lease_driver import BrokerParts, LeaseDriver

            self.leases = LeaseDriver(
                config.owners,
                BrokerParts(self.loop, self.peering, self.core, self.listed, log),
                chance.getrandbits(62),
            )
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def own_addresses(self) -> frozenset[str]:
        """Where this broker listens, as a list would name it: on all addresses of the machine, where others send it
        their datagrams, if that is told."""
        config = self.config
        servers = (
            (config.listen, self.server),
            (config.admin, self.admin),
            (config.graphql.listen if config.graphql is not None else None, self.graph_server),
        )
        advertised = config.peers.advertise if config.peers is not None else None
        anywhere = ("127.0.0.1", "::1", *([advertised[0]] if advertised is not None else []))
        return frozenset(
            host_port(host, server.port)
            for listen, server in servers
            if listen is not None and server is not None
            for host in (anywhere if listen[0] in ("0.0.0.0", "::") else (listen[0],))
        )

    def note_instances(self, count: int) -> None:
        """No more brokers than this may be there, by membership."""
        self.core.note_instances(count)
        if self.subsetting is not None:
            self.subsetting.set_instances(count)

    def share_descriptors(self, config: Config) -> DescriptorBudget | None:
        """The limit as it is at the start. A limit that is too low for budgets is told, and there are none then."""
        if config.admission is None:
            return None
        limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        try:
            found = allocate_descriptors(
                min(limit, MOST_DESCRIPTORS),
                limit,
                config.admission.lane,
                config.admission.connections,
            )
        except ValueError as error:
            self.log("admission_disabled", reason=str(error))
            return None
        self.log("descriptors_allocated", **asdict(found))
        return found

    def read_lists(self, file: str) -> AccessLists:
        """Bans and allowances from before. A damaged snapshot is told, and kept aside for whoever wants to look."""
        if not file:
            return AccessLists()
        try:
            return AccessLists.load(Path(file).read_bytes())
        except FileNotFoundError:
            return AccessLists()
        except (OSError, SnapshotDamagedError) as error:
            self.log("access_lists_load_failed", file=file, error=str(error))
            try:
                os.replace(file, f"{file}.damaged")
            except OSError:
                pass
            return AccessLists()

    def keep_lists(self) -> None:
        """Written beside and renamed over, with a checksum: a broker that dies meanwhile leaves the one before."""
        assert self.gate is not None and self.config.admission is not None
        file = self.config.admission.state
        if file:
            with open(f"{file}.new", "wb") as new:
                new.write(self.gate.admission.lists.dump())
                new.flush()
                os.fsync(new.fileno())
            os.replace(f"{file}.new", file)

    # --- life

    def run(self) -> int:
        self.log("serving", address=f"{self.config.listen[0]}:{self.server.port}")
        self.live(self.reload if self.load_again is not None else None)
        self.log("stopped")
        return 0

    def reload(self) -> None:
        """Read the settings again. The graph's schema and limits change for operations that begin from now on; all
        else needs a restart, and settings that are wrong change nothing."""
        assert self.load_again is not None
        try:
            config = self.load_again()
            if self.graph is None or config.graphql is None:
                raise ValueError(
                    "only the graphql block is read again, and it is not there before and after"
                )
            if config.indices != self.config.indices:
                raise ValueError("the indices differ: that needs a restart")
            self.graph.reload(config)
        except Exception as error:  # noqa: BLE001 - whatever is wrong with it, the old settings stay
            self.log("reload_refused", error=f"{type(error).__name__}: {error}")
        else:
            self.log(
                "reloaded", types=len(config.graphql.types), entities=len(config.graphql.entities)
            )

    def ending(self) -> Coroutine:
        self.log("stopping", held=len(self.core.held))
        if self.leases is not None:
            self.leases.leave()
        if self.peering is not None:
            self.peering.leave()
        self.server.close()
        if self.graph_server is not None:
            self.graph_server.close()
        if self.admin is not None:
            self.admin.close()
        until = self.loop.now + GRACE
        while self.core.held and self.loop.now < until:
            yield from self.loop.sleep(0.02)
        self.core.give_up_all()
        until = self.loop.now + LAST_WORD
        while (
            self.server.connections
            or self.graph_server is not None
            and self.graph_server.connections
        ) and (self.loop.now < until):
            yield from self.loop.sleep(0.02)
        self.pool.close()
        if self.leases is not None:
            self.leases.close()
        if self.peering is not None:
            yield from self.peering.end()
        self.loop.stop()

    # --- operators

    def administer(self, request: Request, connection: Connection) -> Coroutine:
        """The admin socket: what a running broker decides, as JSON."""
        yield from ()
        if request.path == "/zones" and self.zones is not None:
            rows = [msgspec.to_builtins(view) for view in self.zones.views(self.loop.now)]
            return Response(
                200,
                orjson.dumps(
                    {
                        "broker": self.name,
                        "own": self.zones.settings.own,
                        "spill": self.zones.derived.spill,
                        "disturbed": self.zones.has_unhealthy_zone(),
                        "shed": self.core.counts["shed"],
                        "zones": rows,
                    }
                ),
            )
        if request.path == "/admission" and self.gate is not None:
            return Response(
                200, orjson.dumps({"broker": self.name, **msgspec.to_builtins(self.gate.view())})
            )
        if request.path == "/peers" and self.peering is not None:
            return Response(200, orjson.dumps({"broker": self.name, **self.peering.view()}))
        if request.path == "/owner" and self.leases is not None:
            return Response(200, orjson.dumps({"broker": self.name, **self.leases.view()}))
        if request.path == "/subset" and self.subsetting is not None:
            return (yield from self.show_subset(self.subsetting, request.query))
        if request.path in ("/owner/order", "/owner/yield") and self.leases is not None:
            return (yield from self.order(request))
        if request.path.startswith("/admission/") and self.gate is not None:
            return self.change_lists(request)
        return Response(
            404,
            orjson.dumps(
                {
                    "error": f"nothing at {request.path}",
                    "known": ["/zones", "/admission", "/peers", "/owner", "/subset", *CHANGES],
                }
            ),
        )

    def show_subset(self, subsetting: SubsetDriver, query: dict[str, str]) -> Coroutine:
        """`?held=1`: with the nodes in use; `?why=NODE`: only why this one is, or is not, in use."""
        found = {"broker": self.name, **(yield from subsetting.report("held" in query))}
        if "why" in query:
            reason = subsetting.explain(query["why"])
            if reason is None and not subsetting.fault:
                return Response(
                    404, orjson.dumps({"error": f"the list has no node {query['why']}"})
                )
            found["why"] = reason
        return Response(200, orjson.dumps(found))

    def order(self, request: Request) -> Coroutine:
        """An operator's word for a job of the fleet, `?job=drains`: waits until it is in the ledger, or refused."""
        assert self.leases is not None
        node, job = self.leases.node, request.query.get("job", "")
        if request.method != "POST" or job not in node.jobs:
            return Response(
                405 if request.method != "POST" else 404,
                orjson.dumps({"error": f"POST, for one of these jobs: {', '.join(node.jobs)}"}),
            )
        if request.path == "/owner/yield":
            done: list[bool] = []
            self.leases.guarded(
                lambda now: done.append(node.hand_over(now, job, "an operator's word"))
            )
            return Response(
                200 if done == [True] else 409,
                orjson.dumps(
                    {"yielded": True}
                    if done == [True]
                    else {"error": f"{job} is not owned here", "owner": node.jobs[job].holder_name}
                ),
            )
        number = request.query.get("number") or f"{self.loop.rng.getrandbits(64):016x}"
        problem: list[str] = []

        def begin(now: float) -> None:
            try:
                node.submit_command(now, job, number[:32], request.body)
            except ValueError as error:
                problem.append(str(error))

        self.leases.guarded(begin)
        while not problem:
            answer = node.take_command_answer(number[:32])
            if answer is not None:
                problem.append(answer)
            else:
                yield from self.loop.sleep(0.02)
        return (
            Response(409, orjson.dumps({"error": problem[0], "number": number}))
            if problem[0]
            else Response(200, orjson.dumps({"taken": True, "number": number}))
        )

    def change_lists(self, request: Request) -> Response:
        """Ban, allow, or take off: `?network=10.0.0.0/8&seconds=600`."""
        assert self.gate is not None
        change = CHANGES.get(request.path)
        if change is None or request.method != "POST":
            return Response(
                405 if change else 404,
                orjson.dumps({"error": "POST to one of these", "known": [*CHANGES]}),
            )
        kind, put = change
        lists, text = self.gate.admission.lists, request.query.get("network", "")
        try:
            seconds = float(request.query.get("seconds", "inf"))
            if not seconds > 0:
                raise ValueError("seconds must be over 0")
            if put:
                lists.add(kind, text, time.time() + seconds)
            elif not lists.remove(kind, text):
                raise ValueError(f"{text} is not {kind.value}")
            self.keep_lists()
        except (ValueError, OSError) as error:
            return Response(400, orjson.dumps({"error": str(error)}))
        self.log(
            "access_list_changed",
            what=request.path.rpartition("/")[2],
            network=text,
            seconds=seconds,
        )
        return Response(200, orjson.dumps({"banned": lists.banned, "allowed": lists.allowed}))

    # --- metrics

    def metrics(self) -> bytes:
        return generate_latest(self.registry)

    def collect(self) -> list[Metric]:
        core, loop, pool = self.core, self.loop, self.pool
        found: list[Metric] = []
        queries = CounterMetricFamily(
            "stepknot_queries", "Queries by class and ending", labels=["class", "ending"]
        )
        for (name, ending), count in core.class_counts.items():
            queries.add_metric([name, ending], count)
        attempts = CounterMetricFamily(
            "stepknot_attempts", "Attempts by outcome", labels=["outcome"]
        )
        for key, count in core.counts.items():
            if key.startswith("ended_"):
                attempts.add_metric([key.removeprefix("ended_")], count)
        tenants = CounterMetricFamily(
            "stepknot_tenant_queries", "Queries by tenant and ending", labels=["tenant", "ending"]
        )
        for (name, ending), count in core.tenant_counts.items():
            tenants.add_metric([name, ending], count)
        found += [queries, attempts, tenants]
        for name, value, text in (
            ("parts", core.counts["parts"], "Parts taken"),
            ("calls", core.counts["calls"], "Calls sent to boxes"),
            ("shed", core.counts["shed"], "Queries shed for want of room in zones"),
            ("zone_changes", core.counts["zone_changes"], "Changes of a zone's state"),
            ("probes", core.counts["probes"], "Questions sent to boxes"),
            ("extra_attempts", core.counts["extra_attempts"], "Attempts beyond each part's first"),
            ("connections_opened", pool.opened, "Connections opened to boxes"),
            ("connections_reused", pool.reused, "Calls on a kept connection"),
            ("replies_spoilt", pool.malformed_replies, "Replies malformed or too long"),
            ("internal_errors", core.counts["internal_errors"], "Tasks that failed unexpectedly"),
            ("decide_seconds", core.decide_time, "Time spent in the decision module"),
            ("busy_seconds", loop.busy, "Time spent in turns of the loop"),
        ):
            found.append(CounterMetricFamily(f"stepknot_{name}", text, value))
        if self.zones is not None:
            views = self.zones.views(self.loop.now)
            for name, text, read in ZONE_GAUGES:
                gauge = GaugeMetricFamily(f"stepknot_zone_{name}", text, labels=["zone"])
                for view in views:
                    gauge.add_metric([view.zone], read(view))
                found.append(gauge)
        for name, value, text in (
            ("held_queries", len(core.held), "Queries held"),
            ("attempts_out", len(core.out), "Attempts out"),
            ("client_connections", len(self.server.connections), "Clients connected"),
            ("boxes_listed", len(core.servers), "Boxes on the list"),
            ("loop_lag_most_seconds", loop.lag_most, "The longest turn so far"),
        ):
            found.append(GaugeMetricFamily(f"stepknot_{name}", text, value))
        if self.graph is not None and self.graph_server is not None:
            graph = CounterMetricFamily(
                "stepknot_graphql_requests",
                "GraphQL requests by what became of them",
                labels=["what"],
            )
            for what, count in self.graph.counts.items():
                graph.add_metric([what], count)
            kept = self.graph.graph.documents
            found += [
                graph,
                GaugeMetricFamily(
                    "stepknot_graphql_documents", "Prepared documents kept", len(kept.kept)
                ),
                GaugeMetricFamily(
                    "stepknot_graphql_connections",
                    "Clients connected to the GraphQL front",
                    len(self.graph_server.connections),
                ),
            ]
        if self.peering is not None:
            found += self.peering.collect()
        if self.leases is not None:
            found += self.leases.collect()
        if self.subsetting is not None:
            found += self.subsetting.collect()
        if self.gate is not None:
            admission = self.gate.admission
            decided = CounterMetricFamily(
                "stepknot_admission_decisions", "What admission decided", labels=["what"]
            )
            for what, count in admission.decisions.items():
                decided.add_metric([what], count)
            silent = CounterMetricFamily(
                "stepknot_admission_silent",
                "Connections closed without an answer, and why",
                labels=["why"],
            )
            for what, count in self.gate.silent_closes().items():
                silent.add_metric([what], count)
            seats = GaugeMetricFamily(
                "stepknot_admission_seats",
                "Connections served, by how well they are known",
                labels=["rank"],
            )
            for rank in TrustLevel:
                seats.add_metric([rank.label], admission.slots.by_trust[rank])
            found += [decided, silent, seats]
            for name, value, text in (
                ("seats_most", admission.slots.capacity, "Seats for connections"),
                ("lane", len(admission.queue), "Connections that wait for their refusal"),
                ("queries", admission.queries.taken, "Queries in work"),
                ("bytes", admission.byte_budget.reserved, "Bytes of requests held"),
            ):
                found.append(GaugeMetricFamily(f"stepknot_admission_{name}", text, value))
        total, buckets = 0, []
        for bound, count in zip((*LAG_BUCKETS, "+Inf"), loop.lag_counts, strict=True):
            total += count
            buckets.append((str(bound), total))
        lag = HistogramMetricFamily(
            "stepknot_loop_turn_seconds", "How long a turn kept everything else waiting"
        )
        lag.add_metric([], buckets, loop.lag_sum)
        return [*found, lag]
