"""The platform's broker: the loop, core and decision module of every broker behind the platform's protocol.

Start: the cached endpoint list serves until discovery sends one. `/healthz` answers 200 from the first
turn of the loop, or, where lists are pushed, once discovery sent anything.

SIGHUP reads the configuration again and follows discovery's new address.

SIGTERM: new connections are accepted and served for `ACCEPT_AFTER_STOP` seconds, as the platform's
front still sends them; each answer ends its connection. Queries in flight, and those of requests that are
still accepted, are finished, at the latest shortly before the process may be killed. What is being written
has `WRITE_TIMEOUT_AT_STOP` seconds to arrive: no client delays the exit.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from stepknot.broker.core import Core, CoreOptions
from stepknot.broker.process import STOP_POLL_INTERVAL, BrokerProcess
from stepknot.broker.query import Query, QueryResult, QueryStatus
from stepknot.decisions.memory_budget import MemoryBudget, request_memory
from stepknot.decisions.request_ids import RequestIds
from stepknot.interface import Effect, ListKind, ListReceived, ServerState
from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import HttpLimits, Request, Response
from stepknot.net.loop import SLICE, Loop
from stepknot.net.server import Server
from stepknot.net.tasks import Coroutine
from stepknot.platform import requests
from stepknot.platform.client_log import REPORT_INTERVAL, ClientLog
from stepknot.platform.config import Config
from stepknot.platform.connection_pool import ConnectionPool
from stepknot.platform.discovery import DiscoveryClient
from stepknot.platform.endpoint_list import WatchEvent, parse_watch_event, to_list_event
from stepknot.platform.errors import BadRequestError, MalformedInputError
from stepknot.platform.nodes import Nodes
from stepknot.platform.process_memory import read_resident_bytes

# Bounds of the protocol, the same in every deployment. A client's connection may be ended after two
# seconds without a request. It is ended soon after: clients hold a limited number of connections, and
# some send one request and keep theirs.
CLIENT_IDLE_TIMEOUT = 2.05  # seconds
LIMITS = HttpLimits(
    header=8 * 1024,
    url=1024,
    body=64 * 1024,
    first_byte=CLIENT_IDLE_TIMEOUT,
    body_time=CLIENT_IDLE_TIMEOUT,
    idle=CLIENT_IDLE_TIMEOUT,
    write=3.0,
)
# Fractions of the descriptors. Clients hold a third of them for requests.
CLIENT_FRACTION = 0.6
IDLE_CLIENT_FRACTION = 0.2  # between two requests: new clients must find that third
RESERVED_DESCRIPTORS = 16  # for the loop, the listener, discovery and the logs
REQUEST_ID_DEADLINES = 10.0  # of the longest deadline: for so long an id is not accepted again
READINESS_TIMEOUT = 2.0  # seconds after which the cached list suffices, also where lists are pushed
ACCEPT_AFTER_STOP = 0.5  # seconds for which new connections still come after SIGTERM
WRITE_TIMEOUT_AT_STOP = 1.0  # seconds for what is being written
CLOSE_TIMEOUT_AT_STOP = 0.2  # seconds for connections that are half-closed
RELOAD_RETRY_DELAYS = (0.1, 0.2, 0.4, 0.8)  # seconds: a file may be half written at SIGHUP
# Seconds: the process may be killed this time and 0.7 s after SIGTERM, also where deadlines are longer.
MAX_COUNTED_DEADLINE = 3.0
MAX_LOGGED_TEXT = 80
OK, CONFLICT, SERVICE_UNAVAILABLE = 200, 409, 503
NO_CHANGES = ListReceived(ListKind.CHANGES)

Log = Callable[..., None]


class Service(BrokerProcess):
    """One broker on the platform.

    Attributes:
        request_ids: a second request of one that is open or may have run is answered with 409.
    """

    def __init__(
        self,
        config: Config,
        log: Log,
        load_again: Callable[[], Config],
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Listen, and decide on the cached list in the first turn.

        Args:
            config: what the platform configures.
            log: takes an event's name and fields.
            load_again: reads the configuration at SIGHUP; raises MalformedInputError.
            clock: monotonic seconds.
            wall: seconds since 1970.

        Raises:
            OSError: the address cannot be listened on.
        """
        self.config = replace(config, cached_list=None)  # its rows take megabytes in a large fleet
        self.log = log
        self.load_again = load_again
        rng = random.Random(config.seed)
        self.loop = loop = Loop(clock, rng, on_error=self.on_task_error)
        loop.on_slow_turn = self.on_slow_turn
        self.clock_offset = clock() - wall()
        self.started = loop.now
        self.nodes = self._make_nodes()
        self.core = self._make_core(rng)
        cached = self._parse_cached_list(config.cached_list)
        self.discovery = DiscoveryClient(
            loop, config.discovery_address, config.name, cached, self.clock_offset, self
        )
        self.nodes.pool.must_writes_wait = self.discovery.backlog.must_writes_wait
        self.core.must_decisions_wait = self.discovery.backlog.must_decisions_wait
        if cached is not None:
            self.nodes.update_addresses(cached.addresses, is_snapshot=True)
            self.core.update_endpoints(to_list_event(cached, ListKind.CACHED))
        self.core.post(NO_CHANGES)  # the module asks for the list in turn one
        self.catalog = requests.Catalog(config.settings.classes, config.shard_count)
        self.request_ids = RequestIds(self._request_id_retention())
        self.server = self._make_server()
        self.client_log = ClientLog(self.server, log)
        loop.call_every(REPORT_INTERVAL, self.client_log.report)

    def _make_nodes(self) -> Nodes:
        config = self.config
        max_connections = config.max_descriptors - RESERVED_DESCRIPTORS - self._max_clients()
        pool = ConnectionPool(
            self.loop,
            config.max_parts_per_connection,
            config.connect_timeout,
            config.settings.limits.idle_connection,
            max_connections,
            self.log,
        )
        return Nodes(pool, config.settings.parts_per_call)

    def _make_core(self, rng: random.Random) -> Core:
        config = self.config
        return Core(
            self.loop,
            config.settings,
            rng.getrandbits(62),
            self.nodes,
            self.log,
            CoreOptions(
                max_queries=config.max_open,
                max_open=config.max_open,
                name=config.name,
                watch=lambda: self.discovery.open_watch(),
            ),
        )

    def _make_server(self) -> Server:
        address = self.config.listen_address
        server = Server(self.loop, *address, self.handle, LIMITS, self.on_http_error)
        server.max_connections, server.one_at_a_time = self._max_clients(), True
        server.max_idle = self.config.max_descriptors * IDLE_CLIENT_FRACTION
        used = read_resident_bytes()
        server.memory_budget = MemoryBudget(request_memory(self.config.memory_bytes, used))
        return server

    def _max_clients(self) -> int:
        return int(self.config.max_descriptors * CLIENT_FRACTION)

    # --- the endpoint list

    def is_ready(self) -> bool:
        """Whether requests should be sent here.

        Where lists are pushed, a new process is expected to know what discovery has before it received
        anything, so it is not ready until then.
        """
        if self.stopping:
            return False
        is_waiting_over = self.loop.now >= self.started + READINESS_TIMEOUT
        return not self.config.is_list_pushed or self.discovery.has_received or is_waiting_over

    def _parse_cached_list(self, cached_list: Any) -> WatchEvent | None:
        if not cached_list:
            return None
        try:
            return parse_watch_event(cached_list, self.clock_offset)
        except MalformedInputError as error:
            self.log("cached_list_rejected", reason=str(error))
            return None

    def on_watch_event(self, event: WatchEvent) -> None:
        """Take a snapshot of the endpoint list or changes to it."""
        self.nodes.update_addresses(event.addresses, event.is_snapshot)
        self.core.update_endpoints(to_list_event(event))
        for entry in event.entries:
            if entry.state is ServerState.GONE and entry.server not in self.core.servers:
                self.nodes.forget(entry.server)

    def on_watch_failure(self, reason: str) -> None:
        """Let the decision module decide when to query discovery again."""
        self.log("discovery_failed", reason=reason)
        self.core.post(ListReceived(ListKind.FAILED))

    # --- clients

    def handle(self, request: Request, connection: Connection) -> Coroutine:
        """Answer one request; returns its response, or None where the client disconnected."""
        # A class of queries may have this name, so that a POST to it is a query.
        if request.path == "/healthz" and request.method != "POST":
            return Response(OK if self.is_ready() else SERVICE_UNAVAILABLE, b"{}")
        try:
            ask = requests.parse_query(request, self.catalog, self._arrival_time(request))
        except BadRequestError as error:
            self._reject_request(error.status, error.reason, request)
            return requests.build_error_response(error.status, error.reason)
        request.body = b""  # the parts have its text
        if not self.request_ids.begin(self.loop.now, ask.name):
            reason = "a request of this id is in work or may have run"
            self._reject_request(CONFLICT, reason, request)
            return requests.build_error_response(CONFLICT, reason)
        result = None
        try:
            self.core.submit(ask)
            connection.on_disconnect(lambda: self.core.on_client_disconnected(ask))
            result = yield from ask.done.wait()
        finally:
            self.request_ids.end(self.loop.now, ask.name, self._may_repeat_effect(ask, result))
        return requests.build_response(ask, result) if result is not None else None

    def _request_id_retention(self) -> float:
        """Seconds: an attempt that was given up may run as long as its client would have waited."""
        classes = self.config.settings.classes.values()
        longest = max((max(each.deadline, each.repeat_window) for each in classes), default=0.0)
        return REQUEST_ID_DEADLINES * longest

    def _may_repeat_effect(self, ask: Query, result: QueryResult | None) -> bool:
        """Whether a second request of the id could run a part again that may have run, or may yet."""
        was_sent = any(part.attempts for part in ask.parts)
        is_safe = self.config.settings.classes[ask.class_name].effect is Effect.SAFE
        is_complete = result is not None and result.status is not QueryStatus.FAILED
        return was_sent and not (is_safe and is_complete)

    def _arrival_time(self, request: Request) -> float:
        """When the request may have arrived, by the loop's clock.

        It may have been in the kernel's queue for one turn, and its answer may have to wait for
        one. After a stall it may have been there all the time: an answer in its time from here on
        would be too late by that much.
        """
        lag = max(min(self.loop.lag_lately, SLICE), self.loop.behind)
        return request.arrived - lag

    def on_http_error(self, error: HttpError) -> Response:
        """The response to what is not a request, or finds no capacity."""
        limits = self.config.settings.limits
        if error.status == SERVICE_UNAVAILABLE:
            # The request is good, there is no capacity for it.
            self.client_log.count_rejection(error.status)
            seconds = limits.max_retry_after if limits.retry_after else 0.0
            headers = requests.retry_after_headers(seconds)
            return requests.build_error_response(error.status, error.reason, headers)
        self._reject_request(error.status, error.reason)
        return requests.build_error_response(error.status, error.reason)

    def _reject_request(self, status: int, reason: str, request: Request | None = None) -> None:
        self.core.counts["bad_requests"] += 1
        self.client_log.count_rejection(status)
        name = request.headers.get(requests.IDENTIFIER_HEADER, "") if request is not None else ""
        path = request.path if request is not None else ""
        self.log(
            "request_rejected",
            status=status,
            reason=reason,
            path=path[:MAX_LOGGED_TEXT],
            query=name[:MAX_LOGGED_TEXT],
        )

    # --- the process

    def run(self) -> int:
        """Serve until SIGTERM; returns the exit code."""
        host = self.config.listen_address.host
        self.log(
            "broker_started",
            address=f"{host}:{self.server.port}",
            broker=self.config.name,
            memory_bytes=self.config.memory_bytes,
            resident_bytes=read_resident_bytes(),
            descriptors=self.config.max_descriptors,
        )
        self.run_loop(self.reload)
        self.log("broker_stopped", **self._counts())
        return 0

    def _counts(self) -> dict[str, Any]:
        pool = self.nodes.pool
        return {
            **self.core.counts,
            "opened_count": pool.opened_count,
            "malformed_count": pool.malformed_count,
            "max_turn_seconds": round(self.loop.lag_most, 3),
        }

    def reload(self, retry_delays: tuple[float, ...] = RELOAD_RETRY_DELAYS) -> None:
        """Read the configuration again and follow discovery's address.

        A file that cannot be read changes nothing; it is read again after each of the delays.
        """
        try:
            config = self.load_again()
        except MalformedInputError as error:
            self.log("reload_rejected", reason=str(error))
            if retry_delays:
                delay, *later = retry_delays
                self.loop.call_later(delay, lambda: self.reload(tuple(later)))
            return
        self.log("config_reloaded", discovery_address=str(config.discovery_address))
        self.core.post(NO_CHANGES)  # ends the backoff of earlier failures
        self.discovery.change_address(config.discovery_address)

    def shut_down(self) -> Coroutine:
        """Shut down gracefully, see the module."""
        self.log("shutdown_started", queries=len(self.core.queries))
        self.server.is_draining = True
        yield from self.loop.sleep(ACCEPT_AFTER_STOP)
        self.server.close()
        classes = self.config.settings.classes.values()
        longest = max((each.deadline for each in classes), default=0.0)
        yield from self.finish_queries([self.server], min(longest, MAX_COUNTED_DEADLINE))
        yield from self.wait_while(
            self._has_unfinished_connections, WRITE_TIMEOUT_AT_STOP, STOP_POLL_INTERVAL
        )
        yield from self.wait_while(
            lambda: bool(self.server.connections), CLOSE_TIMEOUT_AT_STOP, STOP_POLL_INTERVAL
        )
        self.nodes.close()
        self.loop.stop()

    def _has_unfinished_connections(self) -> bool:
        return any(not each.is_half_closed for each in self.server.connections)
