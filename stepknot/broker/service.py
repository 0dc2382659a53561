"""Composes a broker from its settings: loop, core, nodes, frontends, admission, membership, leases and metrics."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import DescriptorBudget
from stepknot.broker.admin.admission_commands import AdmissionCommands
from stepknot.broker.admin.routes import AdminRoutes
from stepknot.broker.admission_gate import AdmissionGate
from stepknot.broker.admission_list_file import AdmissionListFile
from stepknot.broker.core import Core, CoreOptions
from stepknot.broker.descriptor_budgets import find_budgets
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.broker.metrics.admission import AdmissionMetrics
from stepknot.broker.metrics.graphql import GraphqlMetrics
from stepknot.broker.metrics.in_flight import InFlightMetrics
from stepknot.broker.metrics.loop import LoopMetrics
from stepknot.broker.metrics.queries import QueryMetrics
from stepknot.broker.metrics.registry import BrokerMetrics, Collector
from stepknot.broker.metrics.zones import ZoneMetrics
from stepknot.broker.own_addresses import own_addresses
from stepknot.broker.process import STOP_POLL_INTERVAL, BrokerProcess
from stepknot.broker.query_runner import QueryRunner
from stepknot.broker.reload import reload_settings
from stepknot.config.settings import Config
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.discovery.endpoint_file import EndpointFileWatcher
from stepknot.net.http import HttpLimits
from stepknot.net.loop import Loop
from stepknot.net.server import Server
from stepknot.net.tasks import Coroutine
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.rest_codec import RestCodec
from stepknot.nodes.rest_transport import RestTransport
from stepknot.zones.failover import ZoneFailover

if TYPE_CHECKING:  # the drivers are loaded at run time only if their blocks are configured
    from stepknot.broker.lease_driver import LeaseDriver
    from stepknot.broker.subset_driver import SubsetDriver

UNLIMITED_CONNECTIONS = 1_000_000  # connections to nodes if admission is not configured
MAX_ADMIN_BODY_BYTES = 65536
IN_FLIGHT_GRACE = 10.0  # seconds that queries in flight get to end by themselves at shutdown
FINAL_ANSWER_GRACE = 2.0  # seconds after that for the last answers to be sent
Log = Callable[..., None]


class Service(BrokerProcess):
    """One broker with its own loop.

    Args:
        config: The settings.
        log: Writes a log event, given its name and fields.
        make_search: Makes the search frontend. Its type belongs to a higher layer, which this module must not import.
        make_graphql: Makes the GraphQL frontend; called only if the settings have a `graphql` block.
        clock: A monotonic clock, in seconds.
        load_again: Reads the settings again on SIGHUP; None to ignore SIGHUP.

    Raises:
        OSError: An address cannot be listened on.
        VoterStateMismatchError: The voter's state on disk cannot be used.
    """

    def __init__(
        self,
        config: Config,
        log: Log,
        make_search: Callable[[Service], Any],
        clock: Callable[[], float] = time.monotonic,
        make_graphql: Callable[[Service], Any] | None = None,
        load_again: Callable[[], Config] | None = None,
    ) -> None:
        # The order of these steps must not change, as several of them draw from the seeded random generator.
        self.config, self.log, self.load_again = config, log, load_again
        rng = random.Random(config.seed) if config.seed else random.Random()
        self.loop = Loop(clock, rng, on_error=self.on_task_error)
        self.loop.on_slow_turn = self.on_slow_turn
        self.name = f"{config.name}@{config.listen[0]}:{config.listen[1]}"
        budgets = find_budgets(config.admission, log)
        self.pool = self._make_pool(budgets)
        self.zones = self._make_zones(rng)
        self.core = self._make_core(rng)
        self.queries = QueryRunner(config, self.core, self.pool)
        self.search = make_search(self)
        self.server = Server(
            self.loop, *config.listen, self.search.handle, config.http, self.search.http_error
        )
        self.graphql: Any = None
        self.graphql_server: Server | None = None
        if make_graphql is not None and config.graphql is not None:
            self.graphql = make_graphql(self)
            self.graphql_server = self._make_graphql_server()
        self.admin_routes = AdminRoutes(self.name)
        self.gate = self._make_gate(budgets) if budgets is not None else None
        self.admin = self._make_admin_server()
        self.endpoints = DrainedEndpoints(self.core.update_endpoints)
        self.subsets = self._make_subsets()
        self.endpoint_source = EndpointFileWatcher(
            self.loop,
            config.list_file,
            config.list_every,
            self.endpoints.receive_list,
            lambda reason: log("endpoint_list_rejected", reason=reason),
        )
        self.membership = self._make_membership(rng)
        self.leases = self._make_leases(rng)
        self._add_admin_paths()
        self.broker_metrics = BrokerMetrics(self._collectors())

    # --- composition

    def _make_pool(self, budgets: DescriptorBudget | None) -> ConnectionPool:
        config = self.config
        return ConnectionPool(
            self.loop,
            config.connections,
            config.connect_timeout,
            config.settings.limits.idle_connection,
            config.reply,
            budgets.servers if budgets is not None else UNLIMITED_CONNECTIONS,
        )

    def _make_zones(self, rng: random.Random) -> ZoneFailover | None:
        config = self.config
        if config.zones is None:
            return None
        rules, classes = config.settings.rules, config.settings.classes.values()
        shortest_objective = min((each.aim for each in classes), default=1.0)
        return ZoneFailover(
            config.zones,
            rules.cold_share,
            rules.cold_time,
            shortest_objective,
            rng.getrandbits(62),
        )

    def _make_core(self, rng: random.Random) -> Core:
        config = self.config
        seed = rng.getrandbits(62)
        codec = RestCodec(f"stepknot/{config.listen[1]}")
        transport = RestTransport(
            self.loop, self.pool, codec, config.settings.parts_per_call, self.log
        )
        options = CoreOptions(
            max_queries=config.held, name=self.name, zones=self.zones, tenant_shares=config.tenants
        )
        return Core(self.loop, config.settings, seed, transport, self.log, options)

    def _make_graphql_server(self) -> Server:
        config = self.config
        assert config.graphql is not None
        limits = replace(config.http, body=min(config.http.body, config.graphql.limits.body))
        return Server(
            self.loop,
            *config.graphql.listen,
            self.graphql.handle,
            limits,
            self.graphql.http_error,
        )

    def _make_gate(self, budgets: DescriptorBudget) -> AdmissionGate:
        settings = self.config.admission
        assert settings is not None
        file = AdmissionListFile(settings.state, self.log)
        admission = AdmissionController(settings, budgets.clients, file.load())
        gate = AdmissionGate(
            self.loop, admission, budgets, self.log, self.config.tenants, time.time
        )
        gate.attach(self.server, self.search.refuse, self.search.level)
        if self.graphql_server is not None:
            gate.attach(self.graphql_server, self.graphql.refuse, self.graphql.level)
        self.admin_routes.admission = AdmissionCommands(admission.lists, file, self.log)
        return gate

    def _make_admin_server(self) -> Server | None:
        if self.config.admin is None:
            return None
        return Server(
            self.loop,
            *self.config.admin,
            self.admin_routes.handle,
            HttpLimits(body=MAX_ADMIN_BODY_BYTES),
            self.search.http_error,
        )

    def _make_subsets(self) -> SubsetDriver | None:
        config = self.config
        if config.subset is None:
            return None
        from stepknot.broker.subset_driver import SubsetDriver  # loaded only if configured

        subsets = SubsetDriver(
            self.loop,
            replace(config.subset, own=self._own_addresses()),
            config.settings,
            self.endpoints,
            self.core.update_endpoints,
            self.log,
        )
        self.endpoints.on_list = subsets.on_watch_event
        self.core.must_decisions_wait = subsets.must_decisions_wait
        return subsets

    def _own_addresses(self) -> frozenset[str]:
        config = self.config
        listeners = [(config.listen[0], self.server.port)]
        if config.admin is not None and self.admin is not None:
            listeners.append((config.admin[0], self.admin.port))
        if config.graphql is not None and self.graphql_server is not None:
            listeners.append((config.graphql.listen[0], self.graphql_server.port))
        return own_addresses(
            listeners, config.peers.advertise if config.peers is not None else None
        )

    def _make_membership(self, rng: random.Random) -> MembershipDriver | None:
        if self.config.peers is None:
            return None
        seed = rng.getrandbits(62)
        return MembershipDriver(
            self.loop, self.config.peers, seed, self.set_instance_count, self.log
        )

    def _make_leases(self, rng: random.Random) -> LeaseDriver | None:
        if self.config.owners is None or self.membership is None:
            return None
        # Imported here, so that `lease_driver` and its own imports are loaded only if leases are configured.
        from stepknot.broker.lease_driver import BrokerParts, LeaseDriver

        parts = BrokerParts(self.loop, self.membership, self.core, self.endpoints, self.log)
        return LeaseDriver(self.config.owners, parts, rng.getrandbits(62))

    def _add_admin_paths(self) -> None:
        routes = self.admin_routes
        if self.zones is not None:
            routes.add_zones(self.zones, self.core)
        if self.gate is not None:
            routes.add_view("/admission", self.gate)
        if self.membership is not None:
            routes.add_view("/peers", self.membership)
        if self.leases is not None:
            routes.add_view("/owner", self.leases)
            self._add_lease_commands(self.leases)
        if self.subsets is not None:
            routes.add_subsets(self.subsets)

    def _add_lease_commands(self, leases: LeaseDriver) -> None:
        # Imported here, so that `lease_commands` is loaded only if leases are configured.
        from stepknot.broker.admin.lease_commands import LeaseCommands

        commands = LeaseCommands(self.loop, leases)
        self.admin_routes.add_command("/owner/order", commands.handle)
        self.admin_routes.add_command("/owner/yield", commands.handle)

    def _collectors(self) -> list[Collector]:
        """All collectors, in the order of their metrics in `/metrics`."""
        collectors: list[Collector] = [QueryMetrics(self.core, self.pool, self.loop)]
        if self.zones is not None:
            collectors.append(ZoneMetrics(self.zones, self.loop))
        collectors.append(InFlightMetrics(self.core, self.server, self.loop))
        if self.graphql_server is not None:
            collectors.append(GraphqlMetrics(self.graphql, self.graphql_server))
        collectors += [
            each for each in (self.membership, self.leases, self.subsets) if each is not None
        ]
        if self.gate is not None:
            collectors.append(AdmissionMetrics(self.gate))
        collectors.append(LoopMetrics(self.loop))
        return collectors

    # --- communication between subsystems

    def set_instance_count(self, count: int) -> None:
        """Set the upper bound of the number of brokers, as found by membership."""
        self.core.set_instance_count(count)
        if self.subsets is not None:
            self.subsets.set_instances(count)

    def metrics(self) -> bytes:
        """The exposition text of `/metrics`."""
        return self.broker_metrics.text()

    # --- life cycle

    def run(self) -> int:
        """Serve until the broker is stopped; returns the exit code."""
        self.log("broker_started", address=f"{self.config.listen[0]}:{self.server.port}")
        self.run_loop(self.reload if self.load_again is not None else None)
        self.log("broker_stopped")
        return 0

    def reload(self) -> None:
        """Reload the settings. Settings with an error change nothing."""
        assert self.load_again is not None
        reload_settings(self.load_again, self.config, self.graphql, self.log)

    def shut_down(self) -> Coroutine:
        """Stop accepting requests, wait for the queries in flight and their answers, and stop the loop.

        Queries that are still in flight after `IN_FLIGHT_GRACE` are ended. The last answers then get
        `FINAL_ANSWER_GRACE` to be sent.
        """
        self.log("shutdown_started", queries=len(self.core.queries))
        if self.leases is not None:
            self.leases.leave()
        if self.membership is not None:
            self.membership.leave()
        for server in (self.server, self.graphql_server, self.admin):
            if server is not None:
                server.close()
        fronts = [each for each in (self.server, self.graphql_server) if each is not None]
        yield from self.finish_queries(fronts, IN_FLIGHT_GRACE)
        yield from self.wait_while(self._has_clients, FINAL_ANSWER_GRACE, STOP_POLL_INTERVAL)
        self.pool.close()
        if self.leases is not None:
            self.leases.close()
        if self.membership is not None:
            yield from self.membership.end()
        self.loop.stop()

    def _has_clients(self) -> bool:
        graphql = self.graphql_server
        return bool(self.server.connections or (graphql is not None and graphql.connections))
