"""Seeded runs of the broker's core with scripted nodes on a virtual clock, and of clients' queries on the core.

The trace has everything that the core passes to the transport, in order and with its time, the result of each query,
the values of the log events, and the counters at the end.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import orjson

from bench.trace_packages.trace import Trace
from bench.trace_packages.zones import recorded_reason
from stepknot import interface as api
from stepknot.broker.client_query import ClientInfo
from stepknot.broker.core import Core, CoreOptions
from stepknot.broker.query import Query, QueryPart, QueryResult
from stepknot.broker.query_group import QueryGroup
from stepknot.broker.query_runner import QueryRunner
from stepknot.config.settings import load
from stepknot.net.loop import Loop
from stepknot.nodes.codec import PartReply, SearchPart, WritePart
from stepknot.search.errors import RequestError
from stepknot.search.request import parse_search
from stepknot.search.writes import Write
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.settings import ZoneSettings

EXPECTED = "ed4ea1e1c8ea9f130caadc1d9683e17d954f5d686a75be509f1e8763c2ee21ca"

START = 1000.0
RULES = api.Rules(0.5, 0.2, 5.0, 3.0, 1.0, 5.0, 4.0, 10.0, 0.3)
LIMITS = api.Limits(3, True, True, True, True, 1.0, 5.0)
CLASSES = {
    "all": api.QueryClass("all", 0.3, 1.0, 1.0),
    "some": api.QueryClass("some", 0.3, 1.0, 2.0, 0.2, floor=0.5, partial_value=0.9),
    "keyed": api.QueryClass("keyed", 0.3, 1.0, 2.0, effect=api.Effect.KEYED, repeat_window=0.5),
    "unsafe": api.QueryClass("unsafe", 0.3, 1.0, 2.0, effect=api.Effect.UNSAFE),
    "steps": api.QueryClass(
        "steps", 0.3, 1.0, 3.0, floor=0.5, partial_value=0.8, second_step_parts=2
    ),
}
CELLS, COPIES = 4, 3
WEIGHTS = (0.8, 0.05, 0.04, 0.03, 0.03, 0.05)
OUTCOMES = (
    api.Outcome.SERVED,
    api.Outcome.ERROR,
    api.Outcome.REJECTED,
    api.Outcome.NOT_CONNECTED,
    api.Outcome.RESET,
    None,  # no reply
)


class VirtualNetwork:
    """A network without sockets. Waiting takes no real time, but advances the virtual clock."""

    def __init__(self) -> None:
        self.now = START

    def clock(self) -> float:
        """The virtual time in seconds."""
        return self.now

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Advance the clock by the timeout; no socket is ever ready."""
        self.now += timeout
        return []

    def wake(self) -> None:
        """Do nothing, as `poll` never blocks."""


class ScriptedNodes:
    """The transport: replies follow a seeded random generator, and all calls by the core are added to the trace."""

    def __init__(self, loop: Loop, trace: Trace, seed: int, answer: Callable[[Any], Any]) -> None:
        self.loop, self.trace, self.rng, self.answer = loop, trace, random.Random(seed), answer
        self.on_reply: Callable[[Any, PartReply, dict[str, float]], None]
        self.sent_at: dict[Any, tuple[float, str]] = {}
        self.failing: set[str] = set()

    def send(self, server: str, attempts: list[Any]) -> int:
        """Schedule the reply of each attempt; returns the number of calls, of which each carries three attempts."""
        self.trace.add("send", self.loop.now, server, len(attempts))
        for attempt in attempts:
            self.trace.add(attempt.name, attempt.wait, attempt.not_after, repr(attempt.request))
            attempt.call = self
            self.sent_at[attempt] = (self.loop.now, server)
            outcome = self.rng.choices(OUTCOMES, WEIGHTS)[0]
            if server.startswith("dark") or server in self.failing:
                outcome = api.Outcome.NOT_CONNECTED
            delay = self.rng.expovariate(20.0) + 0.002
            if outcome is not None:
                self.loop.call_later(delay, partial(self.reply, attempt, outcome))
        return (len(attempts) + 2) // 3

    def reply(self, attempt: Any, outcome: api.Outcome) -> None:
        """Deliver the scheduled reply, unless the attempt was cancelled."""
        if self.sent_at.pop(attempt, None) is None:
            return
        attempt.call = None
        payload = self.answer(attempt.request) if outcome is api.Outcome.SERVED else None
        reason = "scripted" if self.rng.random() < 0.5 else ""
        load = {"inflight": float(self.rng.randrange(5)), "util": self.rng.random()}
        self.on_reply(attempt, PartReply(outcome, payload, reason), load)

    def cancel(self, attempt: Any) -> None:
        """Cancel an attempt, so that its scheduled reply is dropped."""
        found = self.sent_at.pop(attempt, None)
        self.trace.add("cancel", self.loop.now, attempt.name, found is not None)
        attempt.call = None

    def is_unsent(self, attempt: Any) -> bool:
        """Whether the attempt is less than 4 ms old, which counts as not sent yet."""
        at, _ = self.sent_at.get(attempt, (0.0, ""))
        return self.loop.now - at < 0.004

    def withdraw(self, server: str) -> None:
        """End the node's attempts that are less than 4 ms old as not connected."""
        self.trace.add("withdraw", self.loop.now, server)
        for attempt, (at, to) in list(self.sent_at.items()):
            if to == server and self.loop.now - at < 0.004:
                self.reply(attempt, api.Outcome.NOT_CONNECTED)

    def probe(self, server: str, on_end: Callable[[api.Outcome, dict[str, float]], None]) -> None:
        """Schedule the answer to a health check; for some nodes the connection fails."""
        self.trace.add("probe", self.loop.now, server)
        fails = server.startswith("dark") or server in self.failing or self.rng.random() < 0.1
        outcome = api.Outcome.NOT_CONNECTED if fails else api.Outcome.SERVED
        load = {} if fails else {"inflight": float(self.rng.randrange(5))}
        self.loop.call_later(0.002 + 0.02 * self.rng.random(), partial(on_end, outcome, load))

    def close_idle(self, server: str) -> None:
        """Add the call to the trace."""
        self.trace.add("close", self.loop.now, server)


def entry(
    number: int, state: api.ServerState = api.ServerState.LIVE, up_since: float = 0.0
) -> api.ServerEntry:
    """The endpoint list's entry of a node, whose cell and zone follow from its number."""
    zone = "abc"[number // CELLS]
    return api.ServerEntry(f"n{number}{zone}", zone, number % CELLS, state, 1.0, up_since)


def log_to(trace: Trace) -> Callable[..., None]:
    """A log function that adds the values of events' fields to the trace, without the names.

    Reasons of zones' changes are added with the texts that the recorded digest contains.
    """

    def log(event: str, **fields: Any) -> None:
        if event == "zone_state_changed":
            fields["reason"] = recorded_reason(fields["reason"])
        trace.add(*(value for value in fields.values() if not isinstance(value, BaseException)))

    return log


def accept(payload: Any) -> Any:
    """Decode a payload; some payloads count as malformed."""
    if payload % 17 == 0:
        raise ValueError(f"{payload} is no answer")
    return payload


class CoreRun:
    """Seeded queries on one core, with clients that disconnect and an endpoint list that changes."""

    def __init__(self, trace: Trace, seed: int, zoned: bool, **bounds: Any) -> None:
        self.trace, self.rng = trace, random.Random(seed)
        self.network = VirtualNetwork()
        self.loop = Loop(self.network.clock, random.Random(seed + 1), self.network)  # type: ignore[arg-type]
        self.nodes = ScriptedNodes(
            self.loop, trace, seed + 2, lambda request: self.rng.randrange(1000)
        )
        settings = api.Settings(
            2, CELLS, 1, 3, CLASSES, RULES, LIMITS, must_ask=not zoned, tick=0.005
        )
        zones = ZoneFailover(ZoneSettings("a"), 0.2, 5.0, 0.3, seed) if zoned else None
        self.core = Core(
            self.loop,
            settings,
            seed + 3,
            self.nodes,
            log_to(trace),
            CoreOptions(
                zones=zones,
                tenant_shares={"gold": 0.2, "iron": 0.3} if zoned else {},
                watch=lambda: trace.add("watch", self.loop.now),
                name="traced",
                **bounds,
            ),
        )
        entries = tuple(entry(number) for number in range(CELLS * COPIES))
        self.core.update_endpoints(api.ListReceived(api.ListKind.CACHED, entries))
        self.query_count = 0

    def run(self, seconds: float, rate: float) -> None:
        """Start queries until the end, when all queries in flight are ended."""
        end = START + seconds
        self.loop.call_at(START, partial(self.arrive, rate, end))
        for number in range(1, 6):
            self.loop.call_at(START + seconds * number / 6, partial(self.change, number))
        self.loop.call_at(end, self.core.finish_all)
        self.loop.call_at(end + 1.0, self.loop.stop)
        self.loop.run()
        core = self.core
        for counts in (core.counts, core.class_counts, core.tenant_counts):
            for key, count in sorted(counts.items()):
                self.trace.add(repr(key), count)
        self.trace.add(
            len(core.queries), len(core.parts), len(core.attempts), len(core.attempts.expiries)
        )

    def arrive(self, rate: float, end: float) -> None:
        """Start one or more queries in the same iteration of the loop, and schedule the next ones."""
        for _ in range(self.rng.choice((1, 1, 1, 2, 5))):
            self.start_query()
        if self.loop.now < end:
            self.loop.call_later(self.rng.expovariate(rate), partial(self.arrive, rate, end))

    def start_query(self) -> None:
        """Start one query of a random class; some clients disconnect while their query runs."""
        rng = self.rng
        self.query_count += 1
        name = rng.choice(list(CLASSES))
        shards = rng.sample(range(8), rng.randrange(1, 5))
        query = Query(
            name,
            self.loop.now + rng.choice((0.05, 0.3, 1.0)),
            [self.part(shard, 1 / len(shards)) for shard in shards],
            self.second_step if name == "steps" else None,
            rng.choice(("", "gold", "iron")),
            f"k{self.query_count}",
            f"q{self.query_count}",
            rng.choice((0.0, 0.01)),
            rng.random() < 0.1,
        )
        self.loop.spawn(self.wait_for(query), "client")
        self.core.submit(query)
        if rng.random() < 0.1:
            self.loop.call_later(
                rng.expovariate(10.0), partial(self.core.on_client_disconnected, query)
            )

    def part(self, shard: int, weight: float) -> QueryPart:
        """A part whose request is a random number."""
        return QueryPart(shard, weight, self.rng.randrange(10**6), accept, 0.005)

    def second_step(self, parts: list[QueryPart]) -> list[QueryPart]:
        """A second step with one part for each served part; sometimes without any part."""
        served = [each for each in parts if each.served]
        if self.rng.random() < 0.2:
            return []
        return [self.part(each.shard, 1 / len(served)) for each in served]

    def wait_for(self, query: Query) -> Any:
        """Wait for the query's end and add it to the trace."""
        result: QueryResult | None = yield from query.done.wait()
        self.trace.add("end", self.loop.now, query.name, query.step, query.first_step_complete)
        if result is not None:
            self.trace.add(result.status, result.complete, result.retry_after)
        for part in (*query.parts, *query.second_parts):
            self.trace.add(part.shard, part.served, part.answer, part.server)
            self.trace.add(part.attempts, part.reason)

    def change(self, number: int) -> None:
        """Change the endpoint list or the nodes.

        A node drains, a node is removed, a node restarts; a zone fails and recovers.
        """
        state = api.ServerState
        if number == 1:
            rows = (entry(1, state.DRAINING), entry(6, state.GONE))
            self.core.update_endpoints(api.ListReceived(api.ListKind.CHANGES, rows))
        elif number == 2:
            self.nodes.failing = {entry(each).server for each in range(CELLS)}
            self.core.set_instance_count(1)
        elif number == 3:
            self.nodes.failing = set()
            rows = (entry(6, up_since=self.loop.now - 1.0), entry(1, state.GONE))
            self.core.update_endpoints(api.ListReceived(api.ListKind.CHANGES, rows))
        elif number == 4:
            self.core.post(api.ListReceived(api.ListKind.FAILED))
        else:
            rows = tuple(entry(each) for each in range(2, CELLS * COPIES))
            self.core.update_endpoints(api.ListReceived(api.ListKind.FULL, rows))


def answer_rest(request: Any) -> Any:
    """A node's answer to a search or a write, as decoded by the codec."""
    if isinstance(request, WritePart):
        lines = [orjson.loads(line) for line in request.lines.split(b"\n") if line]
        actions = [line for line in lines if next(iter(line)) in ("index", "delete", "create")]
        return {"items": actions}
    assert isinstance(request, SearchPart)
    body = orjson.loads(request.body)
    wanted = body["query"].get("ids", {}).get("values")
    rows = []
    for name in wanted or [f"s{request.shard}-{each}" for each in range(min(body["size"], 3))]:
        row: dict[str, Any] = {"_index": request.index, "_id": name, "_score": 1.0}
        if "sort" in body:
            row["sort"] = [request.shard for _ in body["sort"]]
        if body.get("_source") is not False:
            row["_source"] = {"title": name}
        rows.append(row)
    if wanted and request.shard % 5 == 4:
        rows = [*rows, *rows]
    return {
        "took": 0,
        "timed_out": False,
        "status": 200,
        "hits": {"total": {"value": 4, "relation": "eq"}, "max_score": 1.0, "hits": rows},
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
    }


class ClientRun:
    """Clients' searches, reads and writes, with the classes and indices of the deployed settings."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace, self.rng = trace, random.Random(seed)
        self.network = VirtualNetwork()
        self.loop = Loop(self.network.clock, random.Random(seed + 1), self.network)  # type: ignore[arg-type]
        self.nodes = ScriptedNodes(self.loop, trace, seed + 2, answer_rest)
        config = load(Path(__file__).parents[2] / "deploy/broker.hcl")
        self.core = Core(self.loop, config.settings, seed + 3, self.nodes, log_to(trace))
        self.queries = QueryRunner(config, self.core, SimpleNamespace())  # type: ignore[arg-type]
        entries = tuple(entry(number) for number in range(CELLS * COPIES))
        self.core.update_endpoints(api.ListReceived(api.ListKind.FULL, entries))

    def run(self, count: int) -> None:
        """Run `count` clients, which start one after the other."""
        for number in range(count):
            operation = (self.search, self.read, self.write, self.search_and_read)[number % 4]
            start = partial(self.loop.spawn, self.run_client(operation, number), "client")
            self.loop.call_at(START + 0.02 * number, start)
        self.loop.call_at(START + 0.02 * count + 5.0, self.loop.stop)
        self.loop.run()
        for key, total in sorted(self.core.counts.items()):
            self.trace.add(key, total)

    def run_client(self, operation: Callable[[int, Any], Any], number: int) -> Any:
        """Run a client's operation like a frontend; some clients disconnect."""

        def subscribe(on_disconnected: Callable[[], None]) -> None:
            if self.rng.random() < 0.1:
                self.loop.call_later(0.03, on_disconnected)

        yield from self.trace_errors(operation(number, subscribe))

    def trace_errors(self, steps: Any) -> Any:
        """Run these steps and add an error of theirs to the trace."""
        try:
            yield from steps
        except (RequestError, ValueError) as error:
            self.trace.add("error", str(error))

    def client(self, number: int) -> ClientInfo:
        """The client with this number, made from its headers."""
        headers = {"x-opaque-id": f"c{number}"} if number % 3 else {}
        if number % 29 == 0:
            headers["x-query-class"] = "lookup"
        if number % 37 == 0:
            headers["x-query-class"] = "missing"
        self.trace.add(repr(self.queries.priority_of("search", headers)))
        seconds = 0.2 if number % 5 == 0 else None
        return self.queries.client_info(
            headers, seconds, self.loop.now - 0.01 if number % 2 else None
        )

    def trace_outcome(self, outcome: Any) -> None:
        """Add a query's result, parts and page to the trace."""
        if outcome.result is None:
            self.trace.add("gone")
            return
        self.trace.add(outcome.result.status, outcome.result.complete, outcome.result.retry_after)
        found = outcome.coverage()
        self.trace.add(found.requested, found.answered, found.complete, len(found.missing))
        self.trace.add(outcome.took, outcome.in_time, outcome.answered, outcome.lost)
        for part, target in zip(outcome.parts, outcome.targets, strict=True):
            self.trace.add(target.index, target.shard, part.served, part.reason, part.attempts)
        if outcome.merged is not None:
            self.trace.add(repr([(target.shard, row) for target, row in outcome.merged.rows]))
        for (target, name), row in (outcome.documents or {}).items():
            self.trace.add(target.shard, name, repr(row))

    def search(self, number: int, subscribe: Any) -> Any:
        """Search all shards, by score or sorted; sometimes with routing or without documents."""
        body: dict[str, Any] = {"query": {"match": {"title": "x"}}, "size": number % 7}
        if number % 3 == 0:
            body["sort"] = [{"year": "asc"}]
        if number % 11 == 0:
            body["_source"] = False
        search = parse_search(body, {}, 1000)
        indices = self.queries.indices.select("reports" if number % 2 else "*")
        targets = self.queries.targets(
            indices,
            f"r{number},s" if number % 8 == 0 else "",
            frozenset({0, 1, 2}) if number % 12 == 4 else None,
        )
        operation = "count" if number % 16 == 0 else "search"
        self.trace_outcome(
            (
                yield from self.queries.search(
                    search, targets, operation, self.client(number), f"k{number % 4}", subscribe
                )
            )
        )

    def read(self, number: int, subscribe: Any) -> Any:
        """Read documents by id."""
        index = self.queries.indices.get("reports")
        names = [f"d{number + each}" for each in range(1 + number % 6)]
        wanted = [(self.queries.shard(index, name), name) for name in names]
        source = number % 2 == 0
        self.trace_outcome(
            (
                yield from self.queries.documents(
                    wanted, source, "mget", self.client(number), subscribe
                )
            )
        )

    def write(self, number: int, subscribe: Any) -> Any:
        """Write some documents in bulk."""
        index = self.queries.indices.get("reports")
        writes = [
            Write("index", self.queries.shard(index, name), name, "", {"title": name})
            for name in (
                f"w{number + each}-{self.queries.new_id()}" for each in range(1 + number % 5)
            )
        ]
        outcome, places = yield from self.queries.write(
            writes, "bulk", self.client(number), number % 3 == 0, subscribe
        )
        self.trace_outcome(outcome)
        self.trace.add(repr([(target.shard, place) for target, place in places]))

    def search_and_read(self, number: int, subscribe: Any) -> Any:
        """Run a search and a read of one client concurrently."""
        group = QueryGroup(self.loop, subscribe)
        group.start(self.trace_errors(self.search(number, group.subscribe)))
        group.start(self.trace_errors(self.read(number + 1, group.subscribe)))
        yield from group.wait()


def record(trace: Trace) -> None:
    """Three runs of the core, the last of which reaches its limits, and a run of clients' queries."""
    CoreRun(trace, 11, zoned=True).run(10.0, 40.0)
    CoreRun(trace, 23, zoned=False).run(6.0, 40.0)
    CoreRun(trace, 37, zoned=False, max_queries=6, max_open=25).run(4.0, 60.0)
    ClientRun(trace, 51).run(400)
