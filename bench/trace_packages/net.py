"""The loop and the HTTP server: tasks, timers, and each call on a client's socket with its time."""

from __future__ import annotations

import errno
import random
from collections import deque
from collections.abc import Iterator

from bench.scripted_network import Peer, ScriptedListener, ScriptedNetwork, ScriptedSocket
from bench.trace_packages.trace import Trace
from stepknot.net.connection import Connection
from stepknot.net.errors import HttpError
from stepknot.net.http import (
    HttpLimits,
    Request,
    Response,
    ServerParser,
    encode_response,
    gzipped,
    retry_headers,
)
from stepknot.net.loop import Loop
from stepknot.net.response_parser import ClientParser
from stepknot.net.server import Server
from stepknot.net.tasks import Coroutine, Future

EXPECTED = "ed1399e6df03f9becae10a98d388f797cbb71c62284331fc99b7646e6ed1d4bb"
LIMITS = HttpLimits(
    header=500, url=100, body=3000, first_byte=1.0, body_time=1.5, idle=2.0, write=0.8
)


def record(trace: Trace) -> None:
    """Play all seeded runs."""
    record_parsers(trace, random.Random(1))
    for seed in range(4):
        record_tasks(trace, seed)
    for seed in range(16):
        ServerRun(trace, seed).play()


# --- parsers


def some_request(chance: random.Random) -> bytes:
    """A request on the wire, now and then a malformed or long one."""
    kind = chance.random()
    body = chance.randbytes(chance.choice((0, 10, 900, 2900)))
    headers = [f"host: x\r\nx-number: {chance.randrange(1000)}\r\n"]
    if chance.random() < 0.2:
        body, headers = gzipped(body), [*headers, "content-encoding: gzip\r\n"]
    if chance.random() < 0.2:
        headers.append("accept-encoding: gzip\r\n")
    if chance.random() < 0.1:
        headers.append("connection: close\r\n")
    if chance.random() < 0.1:
        headers.append("expect: 100-continue\r\n")
    if kind < 0.03:
        headers.append(f"x-long: {'x' * 600}\r\n")
    elif kind < 0.05:
        headers.append("content-encoding: odd\r\n")
    elif kind < 0.07:
        return chance.choice((b"\x16\x03\x01\x02", b"GET /" + b"x" * 200, b"nonsense\r\n\r\n"))
    elif kind < 0.08:
        body, headers = b"xyz", [*headers, "content-encoding: gzip\r\n"]
    elif kind < 0.09:
        headers.append("content-length: 9000\r\n")
    elif kind < 0.11:
        headers.append("upgrade: h2c\r\nconnection: upgrade\r\n")
    version = "1.0" if chance.random() < 0.1 else "1.1"
    method = chance.choice(("POST", "POST", "GET", "HEAD"))
    head = f"{method} /p/a%20b?x={chance.randrange(9)} HTTP/{version}\r\n{''.join(headers)}"
    if chance.random() < 0.2:
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return head.encode() + b"transfer-encoding: chunked\r\n\r\n" + chunk + b"0\r\n\r\n"
    return head.encode() + b"content-length: %d\r\n\r\n%s" % (len(body), body)


def add_request(trace: Trace, request: Request) -> None:
    """A request's values."""
    trace.add(request.method, request.path, request.body, request.keep_alive, request.http10)
    trace.add(*request.parts())
    for name, value in (*request.query.items(), *request.headers.items()):
        trace.add(name, value)


def record_parsers(trace: Trace, chance: random.Random) -> None:
    """Requests and responses however they are cut."""
    for number in range(300):
        parser = ServerParser(LIMITS)
        data = b"".join(some_request(chance) for _ in range(1 + number % 3))
        try:
            while data:
                cut = chance.choice((1, 9, 80, 5000))
                parser.feed(data[:cut])
                data = data[cut:]
                trace.add(parser.started, parser.expects, len(parser.requests))
        except HttpError as error:
            trace.add(error.status, error.reason)
        for request in parser.requests:
            add_request(trace, request)
    for number in range(200):
        request = Request(
            "GET", "/", {}, {"accept-encoding": chance.choice(("gzip", "", "gzip;q=0"))}, b""
        )
        status = chance.choice((200, 404, 503, 299))
        body = b"v" * chance.choice((0, 10, 2000))
        response = Response(status, body, retry_headers(chance.choice((0.0, chance.random()))))
        data = encode_response(response, request, chance.random() < 0.5)
        trace.add(data)
        if chance.random() < 0.1:
            data = chance.choice(
                (data[:20] + b"\0" + data[20:], data + data, data[: len(data) // 2])
            )
        parser_of_client = ClientParser(1000 + number)
        try:
            while data:
                cut = chance.choice((1, 50, 5000))
                parser_of_client.feed(data[:cut])
                data = data[cut:]
            trace.add(parser_of_client.done, parser_of_client.status, parser_of_client.keep_alive)
            trace.add(parser_of_client.body() if parser_of_client.done else None)
        except HttpError as error:
            trace.add(error.status, error.reason)


# --- tasks and timers


def record_tasks(trace: Trace, seed: int) -> None:
    """Tasks that sleep, wait for each other, are killed and fail, in the order in which they go on."""
    chance = random.Random(seed)
    network = ScriptedNetwork(trace, seed, lambda host, port: Peer())
    loop = Loop(
        network.clock,
        random.Random(1),
        network,
        lambda name, error: trace.add("failed", name, str(error)),
    )
    signals = [Future() for _ in range(20)]

    def work(number: int) -> Coroutine:
        for _ in range(chance.randrange(1, 6)):
            trace.add(number, loop.now)
            network.time += chance.choice((0.0, 0.0, 0.002, 0.03))
            kind = chance.random()
            if kind < 0.5:
                yield from loop.sleep(chance.choice((0.0, 0.01, chance.random())))
            elif kind < 0.7:
                trace.add((yield from chance.choice(signals).wait()))
            elif kind < 0.9:
                chance.choice(signals).set(number)
            elif kind < 0.95:
                raise RuntimeError(f"task {number}")
            else:
                trace.add((yield from loop.spawn(inner(number)).wait()))
        return number

    def inner(number: int) -> Coroutine:
        yield from loop.sleep(0.01)
        return number * 2

    tasks = []
    for number in range(60):
        tasks.append(loop.spawn(work(number), f"w{number}", patient=chance.random() < 0.4))
        timer = loop.call_later(chance.random(), lambda number=number: trace.add("timer", number))
        if chance.random() < 0.2:
            timer.cancel()
        if chance.random() < 0.1:
            chance.choice(tasks).kill()
        loop.turn()
        trace.add(len(loop.due), len(loop.new), len(loop.tasks), loop.lag_lately, loop.behind)
    while network.time < 105.0:
        loop.turn()
    trace.add(*loop.lag_counts, loop.lag_sum, loop.lag_most, loop.turns, len(loop.tasks))
    network.mute()


# --- the server


class ClientPeer(Peer):
    """A client: sends requests whole, cut, pipelined or never, ends, resets, or reads slowly."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.plan: deque[bytes] = deque()
        for _ in range(chance.choice((0, 1, 1, 2, 5, 30))):
            data = some_request(chance)
            cut = chance.randrange(len(data)) if chance.random() < 0.3 else 0
            self.plan.extend(each for each in (data[:cut], data[cut:]) if each)
        if chance.random() < 0.2:
            self.plan = deque([b"".join(self.plan)]) if self.plan else self.plan
        self.reads = chance.random() < 0.85
        self.haste = chance.choice((0.02, 0.2, 0.9))

    def on_turn(self, sock: ScriptedSocket) -> None:
        """Send the next piece, end or reset."""
        kind = self.chance.random()
        if not self.reads:
            sock.room = min(sock.room, 300)
        if self.plan and self.chance.random() < self.haste:
            sock.deliver(self.plan.popleft())
        elif kind > 0.985:
            sock.end()
        elif kind > 0.975:
            sock.abort()

    def on_shutdown(self, sock: ScriptedSocket) -> None:
        """Most end when they see the end."""
        if self.chance.random() < 0.7:
            sock.end()


class OrderedSet(set[Connection]):
    """A set that is iterated over in the order of insertion, whatever the addresses of its members."""

    def __init__(self) -> None:
        super().__init__()
        self.order: dict[Connection, None] = {}

    def add(self, member: Connection) -> None:
        """Add at the end."""
        super().add(member)
        self.order[member] = None

    def discard(self, member: Connection) -> None:
        """Remove where it is there."""
        super().discard(member)
        self.order.pop(member, None)

    def __iter__(self) -> Iterator[Connection]:
        return iter(list(self.order))


class ServerRun:
    """Some seconds of a server among clients, with limits on connections, an end and failing accepts."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace, self.chance = trace, random.Random(seed)
        self.network = ScriptedNetwork(trace, seed, lambda host, port: Peer())
        self.loop = Loop(self.network.clock, random.Random(1), self.network, self.on_failure)
        self.server = Server(self.loop, "127.0.0.1", 1, self.handle, LIMITS, self.on_error)
        self.listener: ScriptedListener = self.server.listener.link.sock
        self.server.connections = OrderedSet()
        if seed % 2:
            self.server.max_connections, self.server.max_idle = 12, 4
        self.server.one_at_a_time = seed % 4 < 2

    def on_failure(self, name: str, error: BaseException) -> None:
        """A task failed."""
        self.trace.add("failed", name, str(error))

    def on_error(self, error: HttpError) -> Response:
        """The front's body for an error."""
        return Response(error.status, error.reason.encode())

    def handle(self, request: Request, connection: Connection) -> Coroutine:
        """Answer after a while, or not at all where the client disconnects."""
        add_request(self.trace, request)
        self.trace.add(request.arrived)
        done = Future()
        connection.on_disconnect(lambda: done.set(False))
        if self.chance.random() < 0.7:
            self.loop.call_later(self.chance.expovariate(1 / 0.1), lambda: done.set(True))
            if not (yield from done.wait()):
                self.trace.add("disconnected", self.loop.now)
                return None
        size = self.chance.choice((0, 50, 2000, 20_000, 60_000))
        return Response(200, b"r" * size)

    def play(self) -> None:
        """Play the run: four seconds of clients, then the shutdown."""
        while self.network.time < 104.0:
            self.step()
        self.server.is_draining = True
        while self.network.time < 104.5:
            self.step()
        self.server.close()
        while self.network.time < 109.0:
            self.turn()
        server = self.server
        self.trace.add(
            server.timed_out_count,
            server.rejected_count,
            server.abandoned_count,
            self.server.listener.pause_count,
        )
        self.network.mute()
        self.trace = self.network.trace

    def step(self) -> None:
        """Some clients arrive, then a turn, now and then a long one."""
        if self.chance.random() < 0.25:
            for _ in range(self.chance.choice((1, 1, 3))):
                self.network.arrive(self.listener, ClientPeer(self.chance))
        if self.chance.random() < 0.01:
            self.listener.errors.append(self.chance.choice((errno.EMFILE, errno.ECONNABORTED)))
        if self.chance.random() < 0.01:
            self.network.time += self.chance.random()
        self.turn()

    def turn(self) -> None:
        """One turn of the loop."""
        self.loop.turn()
        connections = self.server.connections
        leaving = sum(each.is_half_closed for each in connections)
        self.trace.add(len(connections), leaving, len(self.server.idle), self.loop.behind)
