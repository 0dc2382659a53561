"""The platform's broker: the loop, core and module of every broker, with the platform's protocol before and behind.

Life: the list as last had serves until discovery speaks; `/healthz` says 200 from the first turn on, or, where lists
are pushed, once discovery spoke. SIGHUP reads the configuration again and follows discovery's new address. SIGTERM:
new connections are taken and served for `STAY` seconds, since the front still sends them, each answer ending its
connection; then what is in work is finished, at the latest when the last client's time is up, and what is written gets
`LAST_WORD` to arrive: no client holds the end up.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

from stepknot.broker.core import Core
from stepknot.broker.process import Life
from stepknot.interface import ListKind, ListReceived, ServerState
from stepknot.net.http import HttpError, HttpLimits, Request, Response
from stepknot.net.loop import SLICE, Coroutine, Loop
from stepknot.net.server import Connection, Server
from stepknot.platform import requests
from stepknot.platform.config import Config, Unreadable
from stepknot.platform.discovery import Discovery, NodeList, as_event, read_list
from stepknot.platform.nodes import Nodes

# Bounds of the protocol's own, the same at every deployment. A connection without a request may be ended after two
# seconds. It is ended soon after: clients hold so many connections and no more, and some ask once and keep theirs.
REST = 2.05
LIMITS = HttpLimits(
    header=8 * 1024, url=1024, body=64 * 1024, first_byte=REST, body_time=REST, idle=REST, write=3.0
)
CLIENTS_SHARE = 0.6  # of the descriptors; a third is what clients hold for requests
IDLE_CLIENTS_SHARE = (
    0.2  # between two requests: who asks anew must find that third not used up by those that stay
)
OWN = 16  # descriptors for the loop, the listener, discovery and the logs
STAY = 0.5  # seconds for which new connections still come after SIGTERM
READY_WITHIN = 2.0  # seconds after which the list as last had must do, also where lists are pushed
LAST_WORD, FAREWELL = (
    1.0,
    0.2,
)  # seconds at the end for what is being written, and for those that were parted with
READ_AGAIN = (
    0.1,
    0.2,
    0.4,
    0.8,
)  # seconds after which a file that SIGHUP found half written is looked at again

Log = Callable[..., None]


class Service(Life):
    def __init__(
        self,
        config: Config,
        log: Log,
        load_again: Callable[[], Config],
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.config, self.log, self.load_again = config, log, load_again
        chance = random.Random(config.seed)
        self.loop = loop = Loop(clock, chance, on_error=self.on_task_error)
        loop.on_slow_turn = self.on_slow_turn
        settings = config.settings
        self.clock_offset, self.begun = clock() - wall(), loop.now
        self.nodes = Nodes(
            loop,
            config.streams,
            settings.parts_per_call,
            config.connect_timeout,
            settings.limits.idle_connection,
            config.sockets - OWN - self.most_clients(),
            log,
        )
        self.core = Core(
            loop,
            settings,
            chance.getrandbits(62),
            self.nodes,
            log,
            config.most_open,
            config.name,
            most_open=config.most_open,
            watch=lambda: self.discovery.ask(),
        )
        known = self.read_known()
        self.discovery = Discovery(
            loop,
            config.discovery,
            config.name,
            known,
            self.clock_offset,
            self.take_list,
            self.list_failed,
        )
        if known is not None:
            self.nodes.take_addresses(known.addresses, True)
            self.core.take_list(as_event(known, ListKind.CACHED))
        self.core.post(
            ListReceived(ListKind.CHANGES)
        )  # the first turn: the module asks for the list
        self.offer = requests.Offer(settings.classes, config.shards)
        self.open: set[str] = set()  # ids of clients' requests in work
        self.server = Server(loop, *config.listen, self.handle, LIMITS, self.http_error)
        self.server.most, self.server.one_at_a_time = self.most_clients(), True
        self.server.most_idle = config.sockets * IDLE_CLIENTS_SHARE

    def ready(self) -> bool:
        """Where lists are pushed, a new process is held to what discovery has before it heard of it."""
        told = (
            not self.config.pushed
            or self.discovery.heard
            or self.loop.now >= self.begun + READY_WITHIN
        )
        return told and not self.stopping

    def most_clients(self) -> int:
        return int(self.config.sockets * CLIENTS_SHARE)

    # --- the list

    def read_known(self) -> NodeList | None:
        try:
            return read_list(self.config.known, self.clock_offset) if self.config.known else None
        except Unreadable as error:
            self.log("known_list_not_taken", why=str(error))
            return None

    def take_list(self, news: NodeList) -> None:
        self.nodes.take_addresses(news.addresses, news.full)
        self.core.take_list(as_event(news))
        for entry in news.entries:
            if entry.state is ServerState.GONE:
                self.nodes.forget(entry.server)

    def list_failed(self, why: str) -> None:
        self.log("discovery_failed", why=why)
        self.core.post(ListReceived(ListKind.FAILED))

    # --- clients

    def handle(self, request: Request, connection: Connection) -> Coroutine:
        if request.path == "/healthz" and request.method != "POST":  # a class may be called so
            return Response(200 if self.ready() else 503, b"{}")
        # It may have stood in the kernel's queue for a turn, and its answer may have to wait for one. After a stall it
        # may have stood there all the time: answered by its time from here on it would be too late by so much.
        arrived = request.arrived - max(min(self.loop.lag_lately, SLICE), self.loop.behind)
        try:
            ask = requests.read_ask(request, self.offer, arrived)
        except requests.BadRequest as error:
            self.core.counts["bad_requests"] += 1
            self.log("bad_request", status=error.status, why=error.reason, path=request.path[:80])
            return requests.error_answer(error.status, error.reason)
        if ask.name in self.open:
            return requests.error_answer(409, "a request of this id is in work")
        self.open.add(ask.name)
        try:
            self.core.ask(ask)
            connection.on_disconnect(lambda: self.core.gone(ask))
            result = yield from ask.done.wait()
        finally:
            self.open.discard(ask.name)
        return requests.make_answer(ask, result) if result is not None else None

    def http_error(self, error: HttpError) -> Response:
        limits = self.config.settings.limits
        if error.status == 503 and limits.retry_after:  # a sound request that finds no room
            return requests.error_answer(503, error.reason, requests.advice(limits.max_retry_after))
        self.core.counts["bad_requests"] += 1
        self.log("bad_request", status=error.status, why=error.reason)
        return requests.error_answer(error.status, error.reason)

    # --- life

    def run(self) -> int:
        self.log(
            "serving",
            address=f"{self.config.listen[0]}:{self.server.port}",
            broker=self.config.name,
        )
        self.live(self.reload)
        self.log("stopped", **self.summary())
        return 0

    def summary(self) -> dict[str, Any]:
        return {
            **self.core.counts,
            "opened": self.nodes.opened,
            "spoilt": self.nodes.spoilt,
            "lag_most": round(self.loop.lag_most, 3),
        }

    def reload(self, again: tuple[float, ...] = READ_AGAIN) -> None:
        try:
            config = self.load_again()
        except Unreadable as error:
            self.log("reload_refused", why=str(error))
            if again:
                self.loop.call_later(again[0], lambda: self.reload(again[1:]))
            return
        self.log("reloaded", discovery=f"{config.discovery[0]}:{config.discovery[1]}")
        self.discovery.move(config.discovery)

    def ending(self) -> Coroutine:
        self.log("stopping", held=len(self.core.held))
        self.server.leaving = True
        yield from self.loop.sleep(STAY)
        self.server.close()
        longest = max(
            (kind.deadline for kind in self.config.settings.classes.values()), default=0.0
        )
        yield from self.wait_while(longest, lambda: bool(self.core.held))
        self.core.give_up_all()
        yield from self.wait_while(
            LAST_WORD, lambda: any(not each.leaving for each in self.server.connections)
        )
        yield from self.wait_while(FAREWELL, lambda: bool(self.server.connections))
        self.nodes.close()
        self.loop.stop()

    def wait_while(self, most: float, holds: Callable[[], bool]) -> Coroutine:
        until = self.loop.now + most
        while holds() and self.loop.now < until:
            yield from self.loop.sleep(0.01)
