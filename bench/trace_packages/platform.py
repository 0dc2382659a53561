"""The platform's protocol: frames, requests, answers, discovery's watch and connections to nodes."""

from __future__ import annotations

import random
from typing import Any

import orjson

from bench.scripted_network import Peer, ScriptedNetwork, ScriptedSocket
from bench.trace_packages.trace import Trace
from stepknot.broker.query import Query, QueryResult, QueryStatus
from stepknot.interface import Effect, ListKind, Outcome, QueryClass
from stepknot.net.http import Request, encode_response
from stepknot.net.loop import Loop
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, OutgoingAttempt
from stepknot.platform import frames, requests
from stepknot.platform.config import Address
from stepknot.platform.connection_pool import ConnectionPool
from stepknot.platform.discovery import DiscoveryClient
from stepknot.platform.endpoint_list import (
    NodeAddress,
    WatchEvent,
    parse_watch_event,
    to_list_event,
)
from stepknot.platform.errors import BadRequestError, MalformedInputError
from stepknot.platform.nodes import Nodes
from stepknot.platform.watch_parser import WatchParser

EXPECTED = "f53e1c5ece7c22a1b01bdeced801e780259977524e990ec0df28aa897e9e0a58"


def record(trace: Trace) -> None:
    """Play all seeded runs."""
    record_frames(trace, random.Random(1))
    record_requests(trace, random.Random(2))
    record_lists(trace, random.Random(3))
    for seed in range(6):
        record_watches(trace, seed)
    for seed in range(12):
        NodesRun(trace, seed).play()
    record_cancellations(trace)


# --- frames


def record_frames(trace: Trace, chance: random.Random) -> None:
    """All that is written, and what is read from streams that are sound, malformed and cut anywhere."""
    for number in range(150):
        parts = [some_part(chance, number, place) for place in range(chance.randrange(1, 4))]
        trace.add(frames.encode_call([(part, chance.uniform(-0.1, 2.0)) for part in parts]))
        trace.add(
            frames.encode_cancel(parts[0].part_id),
            frames.encode_probe(b"T"),
            frames.encode_frame(b"G"),
        )
    for _ in range(400):
        data = b"".join(some_frame(chance) for _ in range(chance.randrange(1, 6)))
        reader = frames.FrameReader()
        while data:
            cut = chance.choice((1, 3, 20, 300, 70_000))
            for message in reader.feed(data[:cut]):
                add_message(trace, message)
            data = data[cut:]
        trace.add(bool(reader.error), reader.buffer)
    for _ in range(200):
        load = frames.parse_load_report(some_report(chance))
        trace.add(*(value for pair in load.items() for value in pair))


def add_message(trace: Trace, message: frames.Message) -> None:
    """One message's values."""
    match message:
        case frames.PartAnswered():
            trace.add(message.part_id, message.outcome, message.value)
            trace.add(*(value for pair in message.load.items() for value in pair))
        case frames.ProbeAnswered():
            trace.add(message.probe_type, message.is_healthy)
            trace.add(*(value for pair in message.load.items() for value in pair))
        case frames.FrameRejected():
            trace.add(message.reason)


def some_part(chance: random.Random, number: int, place: int) -> frames.CallPart:
    """A part of a call, with or without a key."""
    text = chance.randbytes(chance.choice((0, 8, 200, 9000)))
    key = f"{chance.getrandbits(64):x}" if chance.random() < 0.4 else ""
    return frames.CallPart(f"q{number}.{place}".encode(), place, text, key)


def some_report(chance: random.Random) -> bytes:
    """A load report: sound, absent or malformed."""
    return chance.choice(
        (
            b"-",
            b"inflight=%d,util=0.5" % chance.randrange(50),
            b"util=%.6f" % chance.random(),
            b"inflight",
            b"a=1,a=2",
            b"a=nan",
            b"a=-1",
            b"\xff=1",
            b",".join(b"a%d=1" % place for place in range(20)),
            b"",
        )
    )


def some_answer(chance: random.Random, part: bytes) -> bytes:
    """An answer's frame for a part, most of them sound."""
    ending = chance.choice((b"OK", b"OK", b"OK", b"OK", b"ERROR", b"REJECTED"))
    value = b"v%d" % chance.randrange(1000) * chance.choice((0, 1, 10, 3000))
    return frames.encode_frame(b"Y", b"%s %s 7 %s\n%s" % (part, ending, some_report(chance), value))


def malformed(chance: random.Random) -> bytes:
    """Bytes that no node may send."""
    return chance.choice(
        (
            b"\0\0\0\0",
            b"\xff\xff\xff\xffY",
            frames.encode_frame(b"Q", b"x"),
            frames.encode_frame(b"Y", b"a FINE 1 -\nx"),
            frames.encode_frame(b"Y", b"a OK -\nx"),
            frames.encode_frame(b"Y", b"a OK one -\nx"),
            frames.encode_frame(b"Y", b"a OK 1 -"),
            frames.encode_frame(b"Y", b"a OK 1 -\n\xff\xfe"),
            frames.encode_frame(b"G", b"PERHAPS"),
            (60_000).to_bytes(4, "little") + b"Y" + b"x" * 2000,
            chance.randbytes(30),
        )
    )


def some_frame(chance: random.Random) -> bytes:
    """A frame of a node, now and then a malformed one."""
    kind = chance.random()
    if kind < 0.7:
        return some_answer(chance, b"p%d" % chance.randrange(9))
    if kind < 0.8:
        return frames.encode_frame(b"T", some_report(chance))
    if kind < 0.87:
        return frames.encode_frame(b"G", chance.choice((b"OK", b"ERROR")))
    if kind < 0.9:
        return frames.encode_frame(b"N", b"cannot use this \xff")
    return malformed(chance)


# --- requests and answers


def record_requests(trace: Trace, chance: random.Random) -> None:
    """Seeded requests to queries or their errors, and each possible end to its bytes."""
    classes = {
        name: QueryClass(name, 0.5, deadline, 1.0, effect=effect)
        for name, effect, deadline in (
            ("list", Effect.SAFE, 2.0),
            ("move", Effect.KEYED, 1.0),
            ("a/b c", Effect.UNSAFE, 0.5),
        )
    }
    catalog = requests.Catalog(classes, 4)
    for _ in range(1500):
        request = some_request(chance)
        try:
            ask = requests.parse_query(request, catalog, chance.uniform(0.0, 100.0))
        except BadRequestError as error:
            answer = requests.build_error_response(error.status, error.reason)
            trace.add(error.status, encode_response(answer, request, False))
            continue
        add_ask(trace, ask)
        for part in ask.parts:
            part.served = chance.random() < 0.7
            part.answer = part.read_answer("v" * chance.randrange(9))
        status = chance.choice(list(QueryStatus))
        advised = chance.choice((0.0, chance.random()))
        response = requests.build_response(ask, QueryResult(status, chance.random() < 0.5, advised))
        trace.add(encode_response(response, request, chance.random() < 0.2))


def add_ask(trace: Trace, ask: Query) -> None:
    """A query's values."""
    trace.add(ask.class_name, ask.deadline, ask.name, ask.effort, ask.retry)
    for part in ask.parts:
        trace.add(part.shard, part.weight, part.effort, frames.encode_call([(part.request, 0.1)]))


def some_request(chance: random.Random) -> Request:
    """A request: most are sound but for one thing."""
    count = chance.randrange(1, 5)
    rows: list[Any] = [
        {"segment": shard, "boost": round(1 / count, 6), "work": chance.choice((0, 9000, 12.5))}
        for shard in range(count)
    ]
    body: Any = {"segments": rows, "text": chance.choice(("c4", "søk", "x" * 40_000, 5, "", "t"))}
    headers = {"x-txn": f"t{chance.getrandbits(32):x}", "x-remaining": "1500m"}
    if chance.random() < 0.6:
        headers["idempotency-key"] = f"{chance.getrandbits(64):x}"
    path = chance.choice(("/list", "/move", "/move", "/a%2Fb%20c", "/a/b c/1", "/none", "/%ff"))
    method = "POST"
    fault = chance.randrange(24)
    if fault == 0:
        headers["x-txn"] = chance.choice(("", "a b", "x" * 65))
    elif fault == 1:
        headers["x-remaining"] = chance.choice(("", "4s", "nanm", "9" * 20 + "m", "12.5u", "0m"))
    elif fault == 2:
        rows[0]["boost"] = chance.choice((0, 2, -1, "1", None, True))
    elif fault == 3:
        rows[0]["segment"] = chance.choice((4, -1, True, 0.5, None, 1))
    elif fault == 4:
        rows[0]["work"] = chance.choice((-1, "x", None))
    elif fault == 5:
        rows[0]["affinity"] = chance.choice(("0123456789abcdef", "x", 5, None))
    elif fault == 6:
        body = chance.choice(([1], {"text": "t"}, {"segments": [7], "text": "t"}, 5))
    elif fault == 7:
        method = "GET"
    elif fault == 8:
        headers["idempotency-key"] = "a,d=1"
    elif fault == 11:
        rows[0]["boost"] = 0.77
    elif fault == 9:
        headers["x-resent"] = "1"
    data = b"{" if fault == 10 else orjson.dumps(body)
    return Request(method, path, {}, headers, data)


# --- discovery


def some_row(chance: random.Random) -> dict[str, Any]:
    """A node's row, now and then malformed."""
    number = chance.randrange(40)
    row: dict[str, Any] = {
        "id": f"s-{number}",
        "addr": f"10.0.0.{number}:9000",
        "zone": "ab"[number % 2],
        "kind": "m",
        "cell": number % 3,
        "state": chance.choice(("active", "active", "leaving", "left")),
        "weight": chance.choice((1, 2.0)),
        "started_ms": chance.choice((0, 5000, 1_700_000_000_123)),
    }
    if chance.random() < 0.02:
        name = chance.choice(list(row))
        row[name] = chance.choice((None, "odd", -1, "x:0", 7))
    if chance.random() < 0.1:
        del row[chance.choice(("addr", "zone", "weight", "started_ms", "kind"))]
    return row


def some_list(chance: random.Random, version: int) -> dict[str, Any]:
    """A message of discovery."""
    full = chance.random() < 0.3
    rows = [some_row(chance) for _ in range(chance.randrange(8))]
    if full and chance.random() < 0.8:
        rows = list({row.get("id"): row for row in rows}.values())
    return {"version": version, "full": full, "servers": rows}


def add_list(trace: Trace, found: WatchEvent) -> None:
    """A list's values."""
    trace.add(found.version, found.is_snapshot)
    for entry in found.entries:
        trace.add(entry.server, entry.zone, entry.cell, entry.state, entry.size)
        trace.add(entry.up_since, entry.kind)
    for row in found.addresses:
        trace.add(*row)


def record_lists(trace: Trace, chance: random.Random) -> None:
    """Messages to lists or errors, and bodies to messages however they are cut."""
    for number in range(500):
        given = some_list(chance, chance.choice((number, number, number, -1)))
        if chance.random() < 0.05:
            given[chance.choice(list(given))] = chance.choice((None, "x", 7))
        if chance.random() < 0.05:
            del given[chance.choice(list(given))]
        try:
            found = parse_watch_event(given, -3.5)
        except MalformedInputError:
            trace.add("unreadable")
            continue
        add_list(trace, found)
        trace.add(to_list_event(found).kind, to_list_event(found, ListKind.CACHED).kind)
    for rows, length in (([{}] * 10_001, 10), ([], 2_200_000)):
        try:
            parse_watch_event({"version": 1, "full": False, "servers": rows}, 0.0)
            reader = WatchParser()
            reader.feed(b"HTTP/1.1 200 OK\r\n\r\n")
            reader.feed(b"x" * length)
        except MalformedInputError:
            trace.add("unreadable")
    for _ in range(100):
        data = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        data += b"".join(some_chunk(chance, number) for number in range(6))
        reader = WatchParser()
        try:
            while data:
                cut = chance.choice((1, 5, 40, 500))
                for message in reader.feed(data[:cut]):
                    trace.add(message)
                data = data[cut:]
        except MalformedInputError:
            trace.add("unreadable")
        trace.add(reader.status, reader.is_complete)


def chunk(data: bytes) -> bytes:
    """One chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def some_chunk(chance: random.Random, version: int) -> bytes:
    """What a watch says in one step."""
    kind = chance.random()
    if kind < 0.3:
        return chunk(b"\n")
    option = orjson.OPT_INDENT_2 if kind < 0.5 else None
    data = orjson.dumps(some_list(chance, version), option=option) + b"\n"
    if kind > 0.97:
        return chance.choice((b"0\r\n\r\n", chunk(b"nonsense\n"), b"zz\r\n", chunk(b'{"a": [\n')))
    return chunk(data)


class WatchPeer(Peer):
    """Discovery: answers a watch, falls silent, fails or ends as the seed has it."""

    def __init__(self, chance: random.Random) -> None:
        self.chance, self.begun, self.version = chance, False, 0
        self.mood = chance.choice(("serve", "serve", "serve", "serve", "silent", "empty", "refuse"))

    def on_bytes(self, sock: ScriptedSocket, data: bytes) -> None:
        """A request: the answer begins."""
        self.begun = True
        self.version = int(data.split(b"since=")[1].split(b" ")[0])
        if self.mood == "refuse":
            sock.deliver(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        elif self.mood != "silent":
            sock.deliver(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")

    def on_turn(self, sock: ScriptedSocket) -> None:
        """Say something now and then."""
        kind = self.chance.random()
        if not self.begun or self.mood in ("silent", "refuse"):
            return
        if self.mood == "empty":
            if kind < 0.1:
                sock.deliver(chunk(b"\n"))
        elif kind < 0.1:
            step = self.chance.choice((0, 1, 1, 1, 1, 2, 5, -3))
            self.version = max(self.version + step, 0)
            sock.deliver(some_chunk(self.chance, self.version))
        elif kind < 0.104:
            self.mood = "silent"
        elif kind < 0.107:
            sock.end()
        elif kind < 0.11:
            sock.abort()


class Listener:
    """Records what the client of discovery reports, and opens the next watch after a failure."""

    def __init__(self, trace: Trace, loop: Loop, chance: random.Random) -> None:
        self.trace, self.loop, self.chance = trace, loop, chance
        self.discovery: DiscoveryClient | None = None

    def on_watch_event(self, event: WatchEvent) -> None:
        """Record the event's values and its time."""
        self.trace.add(self.loop.now)
        add_list(self.trace, event)

    def on_watch_failure(self, reason: str) -> None:
        """Record the time."""
        del reason
        assert self.discovery is not None
        self.trace.add("failed", self.loop.now)
        self.loop.call_later(self.chance.uniform(0.05, 0.5), self.discovery.open_watch)


def record_watches(trace: Trace, seed: int) -> None:
    """Half a minute or more of one follower: each call on its sockets and each notice, with their times."""
    chance = random.Random(seed)
    network = ScriptedNetwork(trace, seed, lambda host, port: WatchPeer(chance))
    loop = network.loop()

    known = (
        parse_watch_event({"version": 3, "full": True, "servers": []}, 0.0) if seed % 2 else None
    )
    listener = Listener(trace, loop, chance)
    discovery = DiscoveryClient(loop, Address("10.0.0.1", 80), "n0", known, -3.5, listener)
    listener.discovery = discovery
    discovery.open_watch()
    moves = 0
    while network.time < 160.0:
        if chance.random() < 0.002:
            moves += 1
            discovery.change_address(Address(f"10.0.0.{moves % 3}", 80))
        loop.turn()
        trace.add(discovery.has_received, discovery.version)
    network.mute()


# --- connections to nodes


class NodePeer(Peer):
    """A node: answers parts in any order, late, never, twice or malformed as the seed has it."""

    def __init__(self, chance: random.Random) -> None:
        self.chance, self.data = chance, b""
        self.parts: list[bytes] = []
        self.cancelled: list[bytes] = []
        self.probes = 0
        self.silent = chance.random() < 0.1
        self.reads = chance.random() < 0.9

    def on_bytes(self, sock: ScriptedSocket, data: bytes) -> None:
        """Frames of the broker, whole ones are taken."""
        self.data += data
        while len(self.data) >= 4:
            size = int.from_bytes(self.data[:4], "little")
            if len(self.data) < 4 + size:
                if self.data[4:5] == b"R" and b" " in self.data and self.chance.random() < 0.1:
                    sock.deliver(some_answer(self.chance, self.data[5:].split(b" ")[0]))
                return
            letter, rest = self.data[4:5], self.data[5 : 4 + size]
            self.data = self.data[4 + size :]
            if letter == b"T":
                self.probes += 1
            elif letter == b"A":
                self.cancelled.append(rest)
                if rest in self.parts and self.chance.random() < 0.7:
                    self.parts.remove(rest)
            while letter == b"R" and rest:
                line, _, rest = rest.partition(b"\n")
                part, _, _, length = line.split(b" ")
                self.parts.append(part)
                rest = rest[int(length) :]

    def on_turn(self, sock: ScriptedSocket) -> None:
        """Answer some, or fail."""
        kind = self.chance.random()
        if not self.reads:
            sock.room = min(sock.room, 5000)
        if self.silent:
            return
        if self.probes and kind < 0.5:
            self.probes -= 1
            sock.deliver(frames.encode_frame(b"T", some_report(self.chance)))
        for _ in range(3):
            if self.parts and self.chance.random() < 0.3:
                part = self.parts.pop(self.chance.randrange(len(self.parts)))
                sock.deliver(some_answer(self.chance, part))
        if kind > 0.998:
            self.silent = True
        elif kind > 0.995:
            sock.end()
        elif kind > 0.992:
            sock.abort(self.chance.random() < 0.5)
        elif kind > 0.985:
            odd = (
                malformed(self.chance),
                frames.encode_frame(b"N", b"odd"),
                frames.encode_frame(b"T", b"-"),
            )
            sock.deliver(self.chance.choice(odd))


class NodesRun:
    """Some seconds of calls, cancellations, probes, changes of the list and faults of connections."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace, self.chance = trace, random.Random(seed)
        self.network = ScriptedNetwork(trace, seed, lambda host, port: NodePeer(self.chance))
        self.loop = self.network.loop()
        self.events = self.last = 0
        self.out: dict[int, OutgoingAttempt] = {}
        pool = ConnectionPool(
            self.loop,
            (3, 8, 20)[seed % 3],
            0.25,
            (0.0, 2.0, 1.0)[seed % 3],
            (400, 5, 8)[seed % 3],
            self.on_event,
        )
        self.nodes = Nodes(pool, 1 + seed % 3)
        self.nodes.on_reply = self.on_reply
        self.nodes.update_addresses(self.rows(), True)

    def play(self) -> None:
        """Play the run."""
        while self.network.time < 112.0:
            self.step(self.chance.random(), f"s-{self.chance.randrange(5)}")
            self.loop.turn()
            self.trace.add(self.nodes.pool.count_open(), len(self.out))
        while self.network.time < 115.0:
            self.loop.turn()
        self.send(1)
        self.nodes.probe("s-1", self.on_probe)
        self.loop.run_due(self.loop.due, self.network.time)
        self.nodes.close()
        while self.network.time < 116.0:
            self.loop.turn()
        pool = self.nodes.pool
        self.trace.add(self.events, pool.opened_count, pool.rejected_count, pool.malformed_count)
        self.trace.add(len(self.out))
        self.mute()

    def mute(self) -> None:
        """The run is over."""
        self.network.mute()
        self.trace = self.network.trace

    def step(self, kind: float, server: str) -> None:
        """One thing that the broker does between two turns."""
        if kind < 0.35:
            self.send(self.chance.choice((1, 1, 2, 5)))
        elif kind < 0.5 and self.out:
            self.cancel(self.chance.choice(list(self.out)))
        elif kind < 0.53:
            self.nodes.probe(server, self.on_probe)
        elif kind < 0.54:
            self.nodes.withdraw(server)
        elif kind < 0.545:
            self.nodes.close_idle(server)
        elif kind < 0.55:
            self.nodes.forget(server)
        elif kind < 0.56:
            self.nodes.update_addresses(self.rows(), self.chance.random() < 0.3)
        elif kind < 0.59:
            half = [each for each, attempt in self.out.items() if is_half_written(attempt)]
            for key in half:
                self.cancel(key)
        elif kind < 0.62:
            for attempt in self.out.values():
                if is_half_written(attempt):
                    attempt.not_after = 0.0

    def send(self, count: int) -> None:
        """Hand over so many attempts for one node."""
        chance, attempts = self.chance, []
        for _ in range(count):
            self.last += 1
            number = chance.choice((self.last, self.last, self.last // 2))
            part = some_part(chance, number, chance.randrange(3))
            late = self.loop.now + chance.uniform(-0.01, 0.3) if chance.random() < 0.2 else 1e9
            attempts.append(OutgoingAttempt(part, "q", chance.uniform(0.0, 2.0), not_after=late))
            self.out[id(attempts[-1])] = attempts[-1]
        self.trace.add(self.nodes.send(f"s-{chance.randrange(5)}", attempts))

    def cancel(self, key: int) -> None:
        """Nobody waits for this attempt any more."""
        attempt = self.out.pop(key)
        self.trace.add(self.nodes.is_unsent(attempt))
        self.nodes.cancel(attempt)

    def rows(self) -> list[NodeAddress]:
        """Addresses, one node perhaps missing or elsewhere. Not two: their order is of a set."""
        chance = self.chance
        missing, moved = chance.randrange(15), chance.randrange(15)
        return [
            NodeAddress(f"s-{place}", "10.0.0.1", 9000 + place + 10 * (place == moved))
            for place in range(5)
            if place != missing
        ]

    def on_event(self, name: str, **fields: object) -> None:
        """A log line: only counted, names and texts may change."""
        del name, fields
        self.events += 1

    def on_reply(self, attempt: OutgoingAttempt, reply: PartReply, load: Load) -> None:
        """An attempt's end; now and then the next one begins there and then."""
        del self.out[id(attempt)]
        self.trace.add(self.loop.now, attempt.request.part_id, reply.outcome, reply.payload)
        self.trace.add(*(value for pair in load.items() for value in pair))
        retried = reply.outcome is Outcome.RESET and self.chance.random() < 0.3
        if retried and len(self.out) < 300:
            self.send(1)

    def on_probe(self, outcome: Outcome, load: Load) -> None:
        """A probe's end."""
        self.trace.add(self.loop.now, outcome)
        self.trace.add(*(value for pair in load.items() for value in pair))


def is_half_written(attempt: OutgoingAttempt) -> bool:
    """Whether the kernel took a part of the attempt's frame."""
    return attempt.call is not None and 0 < attempt.call.frame.sent < len(attempt.call.frame.data)


def record_cancellations(trace: Trace) -> None:
    """More parts cancelled on one connection than it remembers, one of them answered all the same."""
    run = NodesRun(trace, 0)
    network, chance = run.network, random.Random(5)
    network.come_up, network.fail = 1.0, 0.0
    node = Silent(chance)
    network.make_peer = lambda host, port: node
    sock = None
    for number in range(1100):
        part = frames.CallPart(b"c%d.0" % number, 0, b"x")
        attempt = OutgoingAttempt(part, "q", 1.0)
        run.out[id(attempt)] = attempt
        run.nodes.send("s-1", [attempt])
        run.loop.turn()
        sock = sock or next((each for each in network.socks.values()), None)
        run.cancel(id(attempt))
    for each in list(network.socks.values()):
        each.comes_up = True
        each.deliver(some_answer(chance, b"c1050.0") + some_answer(chance, b"c3.0"))
    while network.time < 150.0:
        run.loop.turn()
    trace.add(run.events, run.nodes.pool.malformed_count, run.nodes.pool.count_open())
    run.mute()


class Silent(Peer):
    """Takes all and says nothing."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance

    def on_turn(self, sock: ScriptedSocket) -> None:
        """Make room."""
        sock.room = 1_000_000
