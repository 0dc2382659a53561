"""A stand-in box: a real process with real data that speaks the engines' REST protocol, and fails on command.

Modelled, and said to be: the time that work takes (so many cores, so many milliseconds a part, more while cold, less
for keys met a short while ago) and that a cold box which gets too much falls over. Real: sockets, parsing, the index,
matching, sorting, aggregations, writes, copies to the other boxes of the cell.
"""

from __future__ import annotations

import os
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from stepknot.broker.index_definitions import make_index
from stepknot.config.errors import ConfigError
from stepknot.config.settings import Config, Index
from stepknot.discovery.endpoint_file import read_endpoint_list
from stepknot.interface import Effect, Outcome, Rules
from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import HttpLimits, Request, Response
from stepknot.net.loop import Loop
from stepknot.net.response_parser import ClientParser
from stepknot.net.server import Server
from stepknot.net.tasks import Coroutine, Future, Park
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange, set_parser
from stepknot.nodes.load_report import LOAD_HEADER, NAMED_PREFIX
from stepknot.search.errors import RequestError
from stepknot.search.request import parse_search
from stepknot.search.routing import shard_of
from stepknot.simulation import corpus
from stepknot.simulation.engine import Shard
from stepknot.simulation.socket_recorder import Tap

FELL_OVER, CRASHED = 4, 9  # exit codes
MOST_TOKENS = 100_000  # of writes remembered
MOST_LOG = 200_000
COPY_TIME = 0.3  # seconds for the other boxes of the cell to take a write
CACHE_WORK, CACHE_TIME = 0.7, 5.0  # share of the work for a key met so many seconds ago at most
FAULTS = (
    "crash",
    "hang",
    "fail_fast",
    "slow",
    "pause",
    "reset",
    "cut",
    "garbage",
    "refuse",
    "lost",
    "huge",
    "deaf",
)
Steps = Generator[Park, Any, Any]


@dataclass(frozen=True, slots=True)
class BoxPlan:
    """How a stand-in is to be: `work` in seconds a part, `queue` the parts that may wait."""

    host: str
    port: int
    control: int
    cell: int
    zone: str = ""
    documents: int = 100_000
    work: float = 0.004
    cores: int = 2
    queue: int = 400
    cold: bool = False
    seed: int = 0
    tap: Path | None = None


@dataclass(slots=True)
class Fault:
    kind: str
    until: float
    share: float = 1.0
    factor: float = 1.0
    agent: str = ""  # only towards this broker

    def hits(self, agent: str, rng: random.Random) -> bool:
        return (not self.agent or self.agent in agent) and rng.random() < self.share


@dataclass(slots=True)
class Job:
    cost: float
    run: Callable[[], None]
    wanted: Callable[[], bool]


@dataclass(slots=True)
class Cores:
    """So many cores that take jobs in turn. Time stands still for them while `paused_until` lies ahead."""

    loop: Loop
    count: int
    most: int
    able: Callable[[], float]  # share of its full speed
    busy: int = 0
    waiting: deque[Job] = field(default_factory=deque)
    paused_until: float = 0.0
    latency: float = 0.0
    done: int = 0

    def submit(self, job: Job) -> bool:
        if len(self.waiting) >= self.most:
            return False
        self.waiting.append(job)
        self.next()
        return True

    def next(self) -> None:
        while self.busy < self.count and self.waiting:
            job = self.waiting.popleft()
            if not job.wanted():
                continue
            self.busy += 1
            took = job.cost / self.able()
            self.latency += 0.1 * (took - self.latency)
            self.loop.call_later(took, partial(self.finish, job))

    def finish(self, job: Job) -> None:
        if self.loop.now < self.paused_until:
            self.loop.call_at(self.paused_until, partial(self.finish, job))
            return
        self.busy -= 1
        self.done += 1
        if job.wanted():
            job.run()
        self.next()


class StandIn:
    def __init__(self, loop: Loop, config: Config, plan: BoxPlan) -> None:
        self.loop, self.config, self.plan = loop, config, plan
        self.rules: Rules = config.settings.rules
        self.rng = loop.rng
        self.address = f"{plan.host}:{plan.port}"
        self.tap = Tap(plan.tap, self.address)
        self.started = loop.clock()
        self.cores = Cores(loop, plan.cores, plan.queue, self.able)
        self.faults: dict[str, Fault] = {}
        self.caches: OrderedDict[str, float] = OrderedDict()
        # Work that came, in seconds at full speed, for falling over.
        self.recent: deque[tuple[float, float]] = deque()
        self.tokens: OrderedDict[str, tuple[float, list[Any]]] = OrderedDict()
        windows = [
            kind.repeat_window
            for kind in config.settings.classes.values()
            if kind.effect is Effect.KEYED
        ]
        self.window = max(windows, default=0.0)
        self.stamps: dict[tuple[str, int, str], int] = {}
        self.log: deque[dict[str, Any]] = deque(maxlen=MOST_LOG)
        self.pool = ConnectionPool(loop, 8, 0.5, 10.0, 256 * 1024**2)
        self.indices = dict(config.indices)
        self.shards = self.build()
        limits = HttpLimits(idle=600.0, first_byte=600.0, body=256 * 1024**2)
        self.limits = limits
        self.server: Server | None = None
        self.control = Server(
            loop, plan.host, plan.control, self.on_control, limits, self.http_error
        )

    def build(self) -> dict[tuple[str, int], Shard]:
        shards = {
            key: shard
            for index in self.config.indices.values()
            for key, shard in self.empty(index).items()
        }
        reports = self.config.indices.get(corpus.INDEX)
        if reports is not None:
            for number in range(self.plan.documents):
                name = corpus.name_of(number)
                shard = shards.get(
                    (reports.name, shard_of(name, reports.shards, reports.routing_shards))
                )
                if shard is not None:
                    shard.put(name, corpus.document(number))
        return shards

    def empty(self, index: Index) -> dict[tuple[str, int], Shard]:
        """Those of the index's shards that this box's cell holds."""
        settings = self.config.settings
        return {
            (index.name, number): Shard(index.name, index.fields)
            for number in range(index.shards)
            if self.plan.cell
            in {(index.first + number + step) % settings.cells for step in range(settings.reach)}
        }

    # --- life

    def open(self) -> None:
        """Begin to serve; a cold start counts from here."""
        self.started = self.loop.clock()
        self.listen()
        self.tap.note("up", cold=self.plan.cold, work=self.plan.work, cores=self.plan.cores)

    def listen(self) -> None:
        self.server = Server(
            self.loop, self.plan.host, self.plan.port, self.handle, self.limits, self.http_error
        )

    def able(self) -> float:
        share = 1.0
        age = self.loop.now - self.started
        if self.plan.cold and age < self.rules.cold_time:
            share = self.rules.cold_share + (1 - self.rules.cold_share) * age / self.rules.cold_time
        slow = self.fault("slow")
        return share / slow.factor if slow else share

    def weigh(self, cost: float) -> None:
        """Falls over where a cold box is sent more than a multiple of what it can do for as long as the rule says."""
        if not self.plan.cold or self.loop.now - self.started >= self.rules.cold_time:
            return
        now = self.loop.now
        self.recent.append((now, cost))
        while self.recent and self.recent[0][0] < now - self.rules.fall_time:
            self.recent.popleft()
        able = self.able() * self.plan.cores * self.rules.fall_time
        if sum(each for _, each in self.recent) > self.rules.fall_multiple * able:
            self.tap.note("fell", age=now - self.started)
            self.end(FELL_OVER)

    def end(self, code: int) -> None:
        """At once, with nothing said to anybody."""
        os._exit(code)

    def fault(self, kind: str, agent: str = "") -> Fault | None:
        fault = self.faults.get(kind)
        if fault is not None and self.loop.now >= fault.until:
            del self.faults[kind]
            return None
        if fault is not None and kind not in ("slow", "pause") and not fault.hits(agent, self.rng):
            return None
        return fault

    def load_header(self) -> tuple[str, str]:
        held = len(self.cores.waiting) + self.cores.busy
        return (
            LOAD_HEADER,
            f"TEXT cpu_utilization={self.cores.busy / self.cores.count:.2f},"
            f"{NAMED_PREFIX}queue={len(self.cores.waiting)},{NAMED_PREFIX}inflight={held},"
            f"{NAMED_PREFIX}latency_ms={self.cores.latency * 1000:.2f}",
        )

    # --- the wire

    def http_error(self, error: HttpError) -> Response:
        return self.error(error.status, error.reason)

    def error(self, status: int, reason: str) -> Response:
        return Response(
            status,
            orjson.dumps({"error": {"type": "box", "reason": reason}, "status": status}),
            [self.load_header()],
        )

    def handle(self, request: Request, connection: Connection) -> Steps:
        agent = request.headers.get("user-agent", "")
        if request.path == "/_copy":
            return self.take_copies(orjson.loads(request.body))
        if request.path == "/_log":
            return Response(200, b"\n".join(map(orjson.dumps, self.log)))
        self.note_call(request, agent)
        if self.fault("hang", agent):
            self.tap.note("hung", agent=agent)
            yield Future().park
        if self.loop.now < self.cores.paused_until:
            yield from self.loop.sleep(self.cores.paused_until - self.loop.now)
        if request.method == "HEAD" or request.path == "/":
            return Response(200, b"{}", [self.load_header()])
        if self.fault("deaf", agent):
            yield Future().park
        if request.path == "/_msearch" and request.method == "POST":
            response = yield from self.msearch(request, connection, agent)
        elif request.path == "/_bulk" and request.method == "POST":
            response = yield from self.bulk(request, connection, agent)
        else:
            return self.administer(request)
        if response is None:
            return None
        return (yield from self.spoil(response, connection, agent))

    def note_call(self, request: Request, agent: str) -> None:
        """What came, as soon as it came: before any fault or wait."""
        if self.tap.file is None or request.method != "POST":
            return
        call, lines = request.headers.get("x-opaque-id", ""), request.body.split(b"\n")
        if request.path == "/_msearch":
            pairs = [
                (orjson.loads(head), orjson.loads(body))
                for head, body in zip(lines[:-1:2], lines[1::2], strict=True)
            ]
            parts = [
                [
                    head["index"],
                    shard_number(head),
                    body.get("stats", [""])[0],
                    "fetch" if "ids" in body["query"] else "query",
                ]
                for head, body in pairs
            ]
            self.tap.note("call", call=call, agent=agent, parts=parts)
        elif request.path == "/_bulk":
            heads = [orjson.loads(line) for line in lines if line]
            actions = [
                next(iter(line)) for line in heads if len(line) == 1 and next(iter(line)) in WRITES
            ]
            self.tap.note("write", token=call, agent=agent, actions=actions)

    def spoil(self, response: Response, connection: Connection, agent: str) -> Steps:
        """The faults that strike a reply."""
        response.headers.append(self.load_header())
        if self.fault("lost", agent):
            self.tap.note("lost", agent=agent)
            yield Future().park
        if self.fault("reset", agent):
            connection.link.close(abort=True)
            return None
        if self.fault("garbage", agent):
            connection.link.send_now(b"\x00\xffnot http at all\r\n\r\n" * 20)
            return None
        if self.fault("cut", agent):
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(response.body)}\r\n\r\n".encode()
            connection.link.send_now(head + response.body[: len(response.body) // 2])
            connection.link.close(abort=True)
            return None
        huge = self.fault("huge", agent)
        if huge:
            response.body = response.body[:-1] + b"," + b" " * int(huge.factor) + b'"pad":0}'
        return response

    # --- searches

    def msearch(self, request: Request, connection: Connection, agent: str) -> Steps:
        lines = [orjson.loads(line) for line in request.body.split(b"\n") if line]
        pairs = list(zip(lines[::2], lines[1::2], strict=True))
        call = request.headers.get("x-opaque-id", "")
        if self.fault("fail_fast", agent):
            self.tap.note("replied", call=call, served=0)
            failed = {"error": {"type": "box", "reason": "failing fast"}, "status": 500}
            return Response(200, orjson.dumps({"took": 0, "responses": [failed] * len(pairs)}))
        for head, _ in pairs:
            self.weigh(self.cost(head.get("routing", ""), peek=True))
        responses: list[Any] = [None] * len(pairs)
        left, done = len(pairs), Future()

        def finish(place: int, head: dict[str, Any], body: dict[str, Any]) -> None:
            nonlocal left
            responses[place] = self.search(head, body)
            left -= 1
            if not left:
                done.set()

        for place, (head, body) in enumerate(pairs):
            job = Job(
                self.cost(head.get("routing", "")),
                partial(finish, place, head, body),
                lambda: not connection.link.peer_closed and not connection.link.closed,
            )
            if not self.cores.submit(job):
                responses[place] = {
                    "error": {"type": "rejected_execution_exception", "reason": "queue is full"},
                    "status": 429,
                }
                left -= 1
        connection.disconnect_callback = lambda: done.set(None)
        if left:
            yield from done.wait()
        if left:
            return None  # the caller has gone
        self.tap.note("replied", call=call, served=sum("hits" in each for each in responses))
        return Response(200, orjson.dumps({"took": 0, "responses": responses}))

    def cost(self, key: str, peek: bool = False) -> float:
        if not key:
            return self.plan.work
        met = self.caches.get(key, -CACHE_TIME)
        if not peek:
            self.caches[key] = self.loop.now
            self.caches.move_to_end(key)
            if len(self.caches) > 1000:
                self.caches.popitem(last=False)
        return self.plan.work * (CACHE_WORK if self.loop.now - met < CACHE_TIME else 1.0)

    def search(self, head: dict[str, Any], body: dict[str, Any]) -> dict[str, Any]:
        number = shard_number(head)
        shard = self.shards.get((head["index"], number))
        if shard is None:
            return {
                "error": {"type": "index_not_found_exception", "reason": f"no shard {number} here"},
                "status": 404,
            }
        body.pop("stats", None)
        extra: dict[str, Any] = {
            key: body.pop(key) for key in ("version", "seq_no_primary_term") if key in body
        }
        try:
            found = shard.search(parse_search(body, {}, 1_000_000), extra)
        except RequestError as error:
            return {"error": {"type": error.type, "reason": error.reason}, "status": error.status}
        return {
            "took": 0,
            "timed_out": False,
            "status": 200,
            "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
            **found,
        }

    # --- writes

    def bulk(self, request: Request, connection: Connection, agent: str) -> Steps:
        lines = [orjson.loads(line) for line in request.body.split(b"\n") if line]
        token = request.headers.get("x-opaque-id", "")
        if self.fault("fail_fast", agent):
            return self.error(503, "failing fast")
        self.weigh(self.plan.work)
        done = Future()
        # A write that was taken runs, whether its caller stays or not.
        if not self.cores.submit(Job(self.plan.work, lambda: done.set(True), lambda: True)):
            self.tap.note("rejected", token=token)
            return self.error(429, "queue is full")
        yield from done.wait()
        seen = self.tokens.get(token)
        if seen is not None and self.loop.now - seen[0] <= self.window:
            self.tap.note("repeat_dropped", token=token)
            return bulk_response(seen[1])
        items, entries = self.apply(lines)
        self.tap.note("ran", token=token)
        self.remember(token, items)
        yield from self.copy(entries, token, items)
        return bulk_response(items)

    def remember(self, token: str, items: list[Any]) -> None:
        self.tokens[token] = (self.loop.now, items)
        if len(self.tokens) > MOST_TOKENS:
            self.tokens.popitem(last=False)

    def apply(self, lines: list[Any]) -> tuple[list[Any], list[dict[str, Any]]]:
        items, entries, place = [], [], 0
        while place < len(lines):
            ((action, meta),) = lines[place].items()
            place += 1
            body = None
            if action != "delete":
                body = lines[place]
                place += 1
            item, entry = self.write(action, meta, body)
            items.append({action: item})
            if entry is not None:
                entries.append(entry)
        return items, entries

    def write(
        self, action: str, meta: dict[str, Any], body: Any
    ) -> tuple[dict[str, Any], dict[str, Any] | None]:
        index, name = self.indices[meta["_index"]], meta["_id"]
        number = shard_of(meta.get("routing") or name, index.shards, index.routing_shards)
        shard = self.shards.get((index.name, number))
        item: dict[str, Any] = {"_index": index.name, "_id": name}
        if shard is None:
            return item | {
                "status": 503,
                "error": {"type": "unavailable_shards_exception", "reason": "not here"},
            }, None
        old = shard.get(name)
        if action == "create" and old is not None:
            return item | {
                "status": 409,
                "error": {
                    "type": "version_conflict_engine_exception",
                    "reason": f"[{name}]: version conflict, document already exists",
                },
            }, None
        if action == "update":
            if old is None and "upsert" not in body and not body.get("doc_as_upsert"):
                return item | {
                    "status": 404,
                    "error": {
                        "type": "document_missing_exception",
                        "reason": f"[{name}]: document missing",
                    },
                }, None
            body = {**old, **body["doc"]} if old is not None else body.get("upsert", body["doc"])
        if action == "delete":
            gone = shard.delete(name)
            version, sequence, result = (
                *(gone or (1, shard.sequence)),
                "deleted" if gone else "not_found",
            )
        else:
            version, sequence = shard.put(name, body)
            result = "updated" if old is not None else "created"
        stamp = time.time_ns()
        self.stamps[index.name, number, name] = stamp
        entry = {
            "index": index.name,
            "shard": number,
            "id": name,
            "stamp": stamp,
            "source": None if action == "delete" else body,
        }
        self.log.append(entry)
        status = {"created": 201, "not_found": 404}.get(result, 200)
        return item | {
            "_version": version,
            "result": result,
            "_seq_no": sequence,
            "_primary_term": 1,
            "_shards": {"total": 1, "successful": 1, "failed": 0},
            "status": status,
        }, entry

    def others(self) -> list[str]:
        try:
            entries = read_endpoint_list(self.config.list_file, 0.0)
        except (ConfigError, OSError):
            return []
        return [
            name
            for name, entry in entries.items()
            if name != self.address and entry.cell == self.plan.cell
        ]

    def copy(self, entries: list[dict[str, Any]], token: str, items: list[Any]) -> Steps:
        """To the other boxes of the cell; each has a short time to take it, a restarted one asks for all it lacks."""
        others = self.others()
        if not entries or not others:
            return
        left, done = len(others), Future()

        def end(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:
            nonlocal left
            left -= 1
            if not left:
                done.set()

        body = orjson.dumps({"entries": entries, "token": token, "items": items})
        for name in others:
            head = f"POST /_copy HTTP/1.1\r\nhost: {name}\r\ncontent-length: {len(body)}\r\n\r\n"
            self.pool.start(name, Exchange(head.encode() + body, end))
        self.loop.call_later(COPY_TIME, done.set)
        yield from done.wait()

    def take_copies(self, body: dict[str, Any]) -> Response:
        for entry in body["entries"]:
            self.take_entry(entry)
        if body.get("token"):
            self.remember(body["token"], body["items"])
        return Response(200, b"{}")

    def take_entry(self, entry: dict[str, Any]) -> None:
        if "index" not in entry:
            self.take_index_entry(entry)
            return
        shard = self.shards.get((entry["index"], entry["shard"]))
        key = (entry["index"], entry["shard"], entry["id"])
        if shard is None or self.stamps.get(key, 0) >= entry["stamp"]:
            return
        self.stamps[key] = entry["stamp"]
        self.log.append(entry)
        if entry["source"] is None:
            shard.delete(entry["id"])
        else:
            shard.put(entry["id"], entry["source"])

    def catch_up(self) -> Coroutine:
        """Before serving: what the others of the cell took while this one was away."""
        for name in self.others():
            done = Future()
            data = f"GET /_log HTTP/1.1\r\nhost: {name}\r\n\r\n".encode()
            self.pool.start(name, Exchange(data, partial(set_parser, done)))
            self.loop.call_later(3.0, done.set)
            parser = yield from done.wait()
            if parser is not None and parser.status == 200:
                for line in parser.body().split(b"\n"):
                    if line:
                        self.take_entry(orjson.loads(line))
        self.open()

    # --- indices

    def administer(self, request: Request) -> Response:
        """Create, show, map and delete indices."""
        name, *rest = request.parts() or [""]
        index = self.indices.get(name)
        if request.method == "PUT" and not rest:
            if index is not None:
                return self.error(400, f"index [{name}] already exists")
            self.take_entry({"created": name, "definition": orjson.loads(request.body)})
            return Response(200, b'{"acknowledged":true}')
        if index is None:
            return self.error(404, f"no such index [{name}]")
        if request.method == "GET":
            return Response(
                200,
                orjson.dumps(
                    {
                        name: {
                            "settings": {"index": {"number_of_shards": str(index.shards)}},
                            "mappings": {
                                "properties": {
                                    field: {"type": kind} for field, kind in index.fields.items()
                                }
                            },
                        }
                    }
                ),
            )
        if request.method == "PUT" and rest == ["_mapping"]:
            entry = {
                "mapped": name,
                "fields": {
                    field: each["type"]
                    for field, each in orjson.loads(request.body).get("properties", {}).items()
                },
            }
        elif request.method == "DELETE" and not rest:
            entry = {"deleted": name}
        else:
            return self.error(400, f"no handler for {request.method} {request.path}")
        self.take_entry(entry)
        return Response(200, b'{"acknowledged":true}')

    def take_index_entry(self, entry: dict[str, Any]) -> None:
        self.log.append(entry)
        if "created" in entry:
            index = make_index(entry["created"], entry["definition"], self.config.settings.cells)
            if index.name not in self.indices:
                self.indices[index.name] = index
                self.shards.update(self.empty(index))
        elif "mapped" in entry:
            self.indices[entry["mapped"]].fields.update(entry["fields"])
            for (name, _), shard in self.shards.items():
                if name == entry["mapped"]:
                    shard.fields.update(entry["fields"])
        else:
            self.indices.pop(entry["deleted"], None)
            self.shards = {
                key: shard for key, shard in self.shards.items() if key[0] != entry["deleted"]
            }

    # --- control

    def on_control(self, request: Request, connection: Connection) -> Steps:
        yield from ()
        if request.method == "GET":
            return Response(
                200,
                orjson.dumps(
                    {
                        "address": self.address,
                        "up": self.server is not None,
                        "done": self.cores.done,
                        "waiting": len(self.cores.waiting),
                        "documents": sum(map(len, self.shards.values())),
                        "able": self.able(),
                        "faults": list(self.faults),
                    }
                ),
            )
        given = orjson.loads(request.body)
        kind, seconds = given.pop("kind"), float(given.pop("seconds", 1e9))
        if kind not in (*FAULTS, "clear"):
            return self.error(400, f"unknown fault {kind!r}; known: {', '.join(FAULTS)}, clear")
        self.tap.note("fault", kind=kind, seconds=seconds)
        if kind == "crash":
            self.end(CRASHED)
        if kind == "clear":
            self.faults = {}
            self.cores.paused_until = 0.0
            return Response(200, b"{}")
        self.faults[kind] = Fault(kind, self.loop.now + seconds, **given)
        if kind == "pause":
            self.cores.paused_until = self.loop.now + seconds
        if kind == "refuse" and self.server is not None:
            self.server.close()
            for each in list(self.server.connections):
                each.link.close(abort=True)
            self.loop.call_later(seconds, self.listen)
        return Response(200, b"{}")


WRITES = ("index", "create", "update", "delete")


def shard_number(head: dict[str, Any]) -> int:
    return int(head["preference"].removeprefix("_shards:").partition("|")[0])


def bulk_response(items: list[Any]) -> Response:
    errors = any("error" in next(iter(item.values())) for item in items)
    return Response(200, orjson.dumps({"took": 0, "errors": errors, "items": items}))


def run_box(config: Config, plan: BoxPlan, ready: Callable[[StandIn], None]) -> int:
    """Serve until told to end. `ready` is called once it serves."""
    import signal

    loop = Loop(rng=random.Random(plan.seed))
    box = StandIn(loop, config, plan)

    def start() -> Coroutine:
        yield from box.catch_up()
        ready(box)

    loop.spawn(start(), "start")
    loop.on_signal(loop.stop, signal.SIGTERM, signal.SIGINT)
    loop.run()
    return 0
