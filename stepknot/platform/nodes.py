"""Connections to nodes: each carries many calls at once, answered part by part in any order.

Invariants:
- A part's id is the same in each attempt. A connection that may still bring the answer of an earlier attempt carries
  no later one: no late answer passes for another attempt's.
- A call's frame is written when the connection is up and the kernel takes it. Parts whose frame was not taken to its
  last byte never ran; after that, a connection that ends may have left any of its parts to run.
- After bytes that no node would say, a connection is closed: what is out on it may have run.
- Nothing begins that may not begin any more: a part given up, one past its `not_after`, or one whose node drains is
  taken off its frame while none of that was written; where some was, the connection ends before the last byte is.
- A connection that is idle is closed before the node would close it.
- A connection is doubted once something was asked on it and nothing at all came back for as long as a new one may take
  to come up: a connection can fall silent while its node serves on others. Nothing new goes there until it speaks, and
  once nobody waits there any more it is closed.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from stepknot.interface import Outcome
from stepknot.net.loop import Coroutine, Expired, Link, Loop
from stepknot.nodes.codec import PartReply
from stepknot.nodes.transport import Load, OnReply, OutgoingAttempt, ignore_reply
from stepknot.platform import frames

CHUNK = 64 * 1024
IDLE_SHARE = 0.8  # of the idle time after which nodes close: ours comes first
MOST_CANCELLED = 1024  # ids a connection remembers as given up; an answer to an older one spoils it
OnProbe = Callable[[Outcome, Load], None]


@dataclass(slots=True, eq=False)
class Frame:
    """What waits to be written on a connection. A call is put into bytes as late as can be."""

    attempts: list[OutgoingAttempt]
    at: float  # when it was handed over here
    data: bytes = b""
    sent: int = 0

    @property
    def taken(self) -> bool:
        """Whether the kernel took it to its last byte."""
        return 0 < len(self.data) == self.sent


@dataclass(slots=True, eq=False)
class Call:
    """What an attempt travels in: the frame, and the connection that carries it and its answer."""

    conn: Connection
    frame: Frame


@dataclass(slots=True, eq=False)
class Connection:
    node: Node
    since: float  # when it was last in use
    link: Link | None = None  # none while it is not up
    waiting: dict[bytes, OutgoingAttempt] = field(default_factory=dict)  # by part id
    cancelled: dict[bytes, None] = field(default_factory=dict)  # ids that may still be answered
    queue: deque[Frame] = field(default_factory=deque)
    probes: dict[bytes, OnProbe | None] = field(
        default_factory=dict
    )  # by letter; None: nobody waits any more
    silent_since: float = (
        math.inf
    )  # the first moment at which something was asked that nothing came after
    flushing: bool = False
    ended: bool = False

    @property
    def idle(self) -> bool:
        return (
            self.link is not None
            and not self.waiting
            and not self.queue
            and not any(self.probes.values())
        )

    def may_bring(self, part: bytes) -> bool:
        return part in self.waiting or part in self.cancelled


@dataclass(slots=True, eq=False)
class Node:
    server: str
    host: str
    port: int
    connections: list[Connection] = field(default_factory=list)
    listed: bool = True


class Nodes:
    """All nodes' connections. `streams`: parts that one carries at once; `most`: descriptors they may have in all."""

    def __init__(
        self,
        loop: Loop,
        streams: int,
        parts_per_call: int,
        connect_timeout: float,
        idle: float,
        most: int,
        on_event: Callable[..., None],
    ) -> None:
        self.loop, self.streams, self.parts_per_call = loop, streams, parts_per_call
        self.connect_timeout, self.idle, self.most, self.on_event = (
            connect_timeout,
            idle,
            most,
            on_event,
        )
        self.on_reply: OnReply = ignore_reply
        self.nodes: dict[str, Node] = {}
        self.dirty: dict[Connection, None] = {}  # with something to write at the turn's end
        self.opened = self.capped = self.spoilt = 0
        loop.turn_hooks.append(self.flush_all)
        if idle:
            loop.call_later(idle * (1 - IDLE_SHARE) / 2, self.sweep)

    # --- who is there

    def take_addresses(self, addresses: Iterable[tuple[str, str, int]], whole: bool) -> None:
        named = set()
        for server, host, port in addresses:
            named.add(server)
            node = self.nodes.get(server)
            if node is None:
                node = self.nodes[server] = Node(server, host, port)
            node.listed = True
            if (node.host, node.port) != (host, port):  # what is out ends where it was sent
                node.host, node.port = host, port
                self.close_idle(server)
        if whole:
            for server in self.nodes.keys() - named:
                self.forget(server)

    def forget(self, server: str) -> None:
        """It is listed no more: it goes with its connections, each once nothing is out there."""
        node = self.nodes.get(server)
        if node is not None:
            node.listed = False
            self.close_idle(server)
            self.drop_unlisted(node)

    def drop_unlisted(self, node: Node) -> None:
        if not node.listed and not node.connections:
            self.nodes.pop(node.server, None)

    def open(self) -> int:
        return sum(len(node.connections) for node in self.nodes.values())

    def all(self) -> Iterator[Connection]:
        for node in list(self.nodes.values()):
            yield from list(node.connections)

    # --- calls

    def send(self, server: str, attempts: list[OutgoingAttempt]) -> int:
        size, calls = self.parts_per_call, 0
        for place in range(0, len(attempts), size):
            self.start(server, attempts[place : place + size])
            calls += 1
        return calls

    def start(self, server: str, attempts: list[OutgoingAttempt]) -> None:
        conn = self.find(server, attempts)
        if conn is None:
            for attempt in attempts:
                self.on_reply(
                    attempt, PartReply(Outcome.NOT_CONNECTED, reason="no room for a connection"), {}
                )
            return
        frame = Frame(attempts, self.loop.now)
        for attempt in attempts:
            attempt.call = Call(conn, frame)
            conn.waiting[attempt.request.part] = attempt
        self.put(conn, frame)

    def find(self, server: str, attempts: list[OutgoingAttempt]) -> Connection | None:
        """The connection with the most on it that has room, or a new one."""
        node = self.nodes.get(server)
        if node is None:
            return None
        found = None
        self.close_doubted(node)
        for conn in node.connections:
            if (
                len(conn.waiting) + len(attempts) <= self.streams
                and not self.doubted(conn)
                and not any(conn.may_bring(each.request.part) for each in attempts)
            ):
                if found is None or len(conn.waiting) > len(found.waiting):
                    found = conn
        return found or self.connect(node)

    def doubted(self, conn: Connection) -> bool:
        return self.loop.now - conn.silent_since > self.connect_timeout

    def close_doubted(self, node: Node) -> None:
        for conn in list(node.connections):
            if self.doubted(conn) and not conn.waiting and not any(conn.probes.values()):
                self.end(conn, "silent")

    def put(self, conn: Connection, frame: Frame) -> None:
        conn.queue.append(frame)
        self.dirty[conn] = None
        self.loop.again = True

    def cancel(self, attempt: OutgoingAttempt) -> None:
        call, attempt.call = attempt.call, None
        if call is None:
            return
        conn, frame, part = call.conn, call.frame, attempt.request.part
        self.expect_no_more(conn, part)
        if not frame.sent:
            self.take_off(conn, frame, attempt)
            return
        if not frame.taken and not any(each.call for each in frame.attempts):
            self.end(conn, "half a call that nobody waits for")  # its last byte would begin it
            return
        conn.cancelled[part] = None
        if len(conn.cancelled) > MOST_CANCELLED:
            del conn.cancelled[next(iter(conn.cancelled))]
        self.put(conn, Frame([], self.loop.now, frames.cancel(part)))

    def expect_no_more(self, conn: Connection, part: bytes) -> None:
        conn.waiting.pop(part, None)
        if not conn.waiting and not conn.probes and not self.doubted(conn):
            conn.silent_since = math.inf  # called off before its silence told anything

    def take_off(self, conn: Connection, frame: Frame, attempt: OutgoingAttempt) -> None:
        """The frame is written without this part, or not at all; the kernel took none of it yet."""
        frame.data = b""  # where it was in bytes already
        frame.attempts.remove(attempt)
        if not frame.attempts:
            conn.queue.remove(frame)

    def unsent(self, attempt: OutgoingAttempt) -> bool:
        return attempt.call is None or not attempt.call.frame.sent

    def withdraw(self, server: str) -> None:
        node = self.nodes.get(server)
        for conn in list(node.connections) if node is not None else []:
            for frame in list(conn.queue):
                for attempt in list(frame.attempts):
                    self.call_back(conn, frame, attempt, "its node takes nothing new")

    def call_back(self, conn: Connection, frame: Frame, attempt: OutgoingAttempt, why: str) -> None:
        """It is not written any more, where none of its frame was."""
        if attempt.call is not None and not frame.sent:
            self.take_off(conn, frame, attempt)
            self.expect_no_more(conn, attempt.request.part)
            attempt.call = None
            self.on_reply(attempt, PartReply(Outcome.NOT_CONNECTED, reason=why), {})

    def call_back_late(self, conn: Connection) -> None:
        """Before anything is written: what may not be any more."""
        now = self.loop.clock()
        for frame in list(conn.queue):
            for attempt in [each for each in frame.attempts if each.not_after <= now]:
                if frame.sent:
                    self.end(conn, "half a call whose time is over")
                    return
                self.call_back(conn, frame, attempt, "its time is over")

    # --- probes

    def probe(self, server: str, on_end: OnProbe) -> None:
        """A question for the load. One is out on a connection at a time, as answers name no question: where an earlier
        one was never answered, a new one would not be sooner."""
        node, letter = self.nodes.get(server), b"T"
        if node is None:
            on_end(Outcome.NOT_CONNECTED, {})
            return
        self.close_doubted(node)
        free = [
            each
            for each in node.connections
            if letter not in each.probes and not self.doubted(each)
        ]
        sound = any(not self.doubted(each) for each in node.connections)
        conn = free[0] if free else None if sound else self.connect(node)
        if conn is None and not sound:
            on_end(Outcome.NOT_CONNECTED, {})
            return
        ended = False

        def end(outcome: Outcome, load: Load) -> None:
            nonlocal ended
            if not ended:
                ended = True
                timer.cancel()
                on_end(outcome, load)

        def expire() -> None:
            if conn is not None and letter in conn.probes:
                conn.probes[letter] = None
            end(Outcome.TIMED_OUT, {})

        timer = self.loop.call_later(self.connect_timeout, expire)
        if conn is not None:
            conn.probes[letter] = end
            self.put(conn, Frame([], self.loop.now, frames.probe(letter)))

    # --- one connection

    def connect(self, node: Node) -> Connection | None:
        if self.open() >= self.most and not self.evict_idle():
            self.capped += 1
            return None
        conn = Connection(node, self.loop.now)
        node.connections.append(conn)
        self.opened += 1
        self.loop.spawn(self.run(conn), "node")
        return conn

    def run(self, conn: Connection) -> Coroutine:
        node, reader, why = conn.node, frames.Reader(), "closed by the node"
        try:
            conn.link = yield from self.loop.connect(node.host, node.port, self.connect_timeout)
            if conn.ended:
                return
            self.flush(conn)
            while not conn.ended:
                data = yield from conn.link.recv(CHUNK)
                if not data:
                    return
                conn.since = self.loop.now
                conn.silent_since = math.inf
                for message in reader.feed(data):
                    if not self.take(conn, message):
                        reader.spoilt = reader.spoilt or f"unasked for: {message}"[:200]
                        break
                if conn.waiting or conn.probes:
                    conn.silent_since = self.loop.now
                if reader.spoilt:
                    self.spoilt += 1
                    why = reader.spoilt
                    self.on_event("node_spoilt", box=node.server, why=why, out=len(conn.waiting))
                    return
                if not node.listed and conn.idle:
                    why = "its node is listed no more"
                    return
        except Expired:
            why = "the connection did not come up in time"
        except OSError as error:
            why = str(error)
        finally:
            self.end(conn, why)

    def take(self, conn: Connection, message: frames.Message) -> bool:
        """Whether it was to be expected on this connection."""
        match message:
            case frames.PartEnded():
                attempt = conn.waiting.get(message.part)
                if attempt is None:
                    return conn.cancelled.pop(message.part, self) is None
                if not attempt.call.frame.taken:
                    return False
                del conn.waiting[message.part]
                attempt.call = None
                payload = message.value if message.outcome is Outcome.SERVED else None
                self.on_reply(
                    attempt,
                    PartReply(message.outcome, payload, "the node's own word"),
                    message.load,
                )
                return True
            case frames.ProbeAnswered():
                if message.letter not in conn.probes:
                    return False
                on_end = conn.probes.pop(message.letter)
                if on_end is not None:
                    on_end(Outcome.SERVED if message.sound else Outcome.ERROR, message.load)
                return True
            case frames.NotUsable():
                self.on_event("node_refused_frame", box=conn.node.server, words=message.words)
                return False

    def end(self, conn: Connection, why: str) -> None:
        """The one end of a connection: of what it carried, and of its descriptor."""
        if conn.ended:
            return
        conn.ended = True
        conn.node.connections.remove(conn)
        self.drop_unlisted(conn.node)
        self.dirty.pop(conn, None)
        if conn.link is not None:
            conn.link.close()
        waiting, conn.waiting = list(conn.waiting.values()), {}
        probes, conn.probes = list(conn.probes.values()), {}
        conn.queue.clear()
        for attempt in waiting:
            taken, attempt.call = attempt.call.frame.taken, None
            outcome = Outcome.RESET if taken else Outcome.NOT_CONNECTED
            self.on_reply(attempt, PartReply(outcome, reason=why), {})
        for on_end in probes:
            if on_end is not None:
                on_end(Outcome.RESET if conn.link is not None else Outcome.NOT_CONNECTED, {})

    # --- writing

    def flush_all(self) -> None:
        dirty, self.dirty = self.dirty, {}
        for conn in dirty:
            if not conn.ended and not conn.flushing:
                self.flush(conn)

    def flush(self, conn: Connection) -> None:
        """Write what waits, as far as the kernel takes it; the rest when it takes more."""
        link, now = conn.link, self.loop.now
        if link is None or link.closed:
            return
        self.call_back_late(conn)
        if conn.ended or not conn.queue:
            return
        conn.since = now
        if conn.waiting or conn.probes:
            conn.silent_since = min(conn.silent_since, now)
        while conn.queue:
            for frame in conn.queue:
                if not frame.data:
                    frame.data = frames.call(
                        [(each.request, each.wait - (now - frame.at)) for each in frame.attempts]
                    )
            data = b"".join(frame.data[frame.sent :] for frame in conn.queue)
            try:
                count = link.send_now(data)
            except OSError as error:
                self.end(conn, str(error))
                return
            if not count:
                conn.flushing = True
                self.loop.spawn(self.flush_later(conn, link), "flush")
                return
            while count:
                frame = conn.queue[0]
                step = min(count, len(frame.data) - frame.sent)
                frame.sent, count = frame.sent + step, count - step
                if frame.taken:
                    conn.queue.popleft()

    def flush_later(self, conn: Connection, link: Link) -> Coroutine:
        yield from link.wait_writable()
        conn.flushing = False
        if not conn.ended:
            self.flush(conn)

    # --- idle ones

    def sweep(self) -> None:
        before = self.loop.now - self.idle * IDLE_SHARE
        for conn in self.all():
            if conn.idle and conn.since <= before:
                self.end(conn, "idle")
        self.loop.call_later(self.idle * (1 - IDLE_SHARE) / 2, self.sweep)

    def close_idle(self, server: str) -> None:
        node = self.nodes.get(server)
        for conn in list(node.connections) if node is not None else []:
            if conn.idle:
                self.end(conn, "closed here")

    def evict_idle(self) -> bool:
        """Close the idle connection that was used least lately; whether there was one."""
        idle = [conn for conn in self.all() if conn.idle]
        if idle:
            self.end(min(idle, key=lambda each: each.since), "its descriptor is needed")
        return bool(idle)

    def close(self) -> None:
        for conn in self.all():
            self.end(conn, "the broker stops")
