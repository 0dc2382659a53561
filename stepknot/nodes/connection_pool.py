"""Connections to boxes: opened as needed, kept, capped, closed when idle.

One call has a connection to itself until its reply is whole; a connection on which anything else happens
(bytes unasked for, a malformed or overlong reply, a call given up) is closed and never used again, so no reply
reaches another call. How a call ended says what is known of the box having seen it:

- `NOT_CONNECTED`: its bytes were never all handed over, so that no box can have read a whole request;
- `RESET`: they were, and the connection ended without a whole reply: it may have run.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from stepknot.interface import Outcome
from stepknot.net.errors import HttpError, WaitTimeoutError
from stepknot.net.http import ClientParser
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

CHUNK = 256 * 1024


def nobody(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:
    """Waits no more."""


@dataclass(slots=True, eq=False)
class Exchange:
    """One call on its way. `on_end` is called once: with a reply's parser, or None and how it ended."""

    data: (
        bytes | Callable[[], bytes]
    )  # made, where it is, once the connection is up: as late as can be
    on_end: Callable[[ClientParser | None, Outcome, str], None]
    link: Link | None = None
    ended: bool = False
    not_after: float = math.inf  # by the loop's clock: not begun by then, it is not sent

    def end(self, parser: ClientParser | None, outcome: Outcome, reason: str = "") -> None:
        if not self.ended:
            self.ended = True
            on_end, self.on_end = self.on_end, nobody  # no ring is left for the collector to find
            on_end(parser, outcome, reason)

    def cancel(self) -> None:
        """Nobody waits any more: the box sees the connection go."""
        self.ended, self.on_end = True, nobody
        if self.link is not None:
            self.link.close(abort=True)


@dataclass(slots=True, eq=False)
class Box:
    """The connections to one address."""

    host: str
    port: int
    idle: deque[tuple[Link, float]] = field(
        default_factory=deque
    )  # and since when; the freshest is used first
    open: int = 0
    coming: set[Exchange] = field(default_factory=set)  # those whose connection is not up yet

    @property
    def name(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


class ConnectionPool:
    """All boxes' connections: `most` for each box at the most, kept idle for `idle` seconds."""

    def __init__(
        self,
        loop: Loop,
        most: int,
        connect_timeout: float,
        idle: float,
        reply: int,
        in_all: int = 1_000_000,
    ) -> None:
        self.loop, self.most, self.connect_timeout = loop, most, connect_timeout
        self.idle, self.reply = idle, reply
        self.boxes: dict[str, Box] = {}
        self.in_all, self.open = in_all, 0  # descriptors that the boxes' side may have, and has
        self.opened = self.reused = self.capped = self.malformed_replies = 0

    def box(self, address: str) -> Box:
        box = self.boxes.get(address)
        if box is None:
            host, _, port = address.rpartition(":")
            box = self.boxes[address] = Box(host.strip("[]"), int(port))
        return box

    def start(self, address: str, exchange: Exchange) -> None:
        self.loop.spawn(self.run(self.box(address), exchange), "call")

    def run(self, box: Box, exchange: Exchange) -> Coroutine:
        link, parser = None, ClientParser(self.reply)
        handed_over = keep = False
        try:
            link = self.take_idle(box)
            if link is None:
                if box.open >= self.most:
                    self.capped += 1
                    exchange.end(None, Outcome.NOT_CONNECTED, f"{self.most} connections are in use")
                    return
                if self.open >= self.in_all and not self.evict_idle():
                    self.capped += 1
                    exchange.end(
                        None,
                        Outcome.NOT_CONNECTED,
                        f"all {self.in_all} connections to boxes are in use",
                    )
                    return
                box.open += 1
                self.open += 1
                self.opened += 1
                box.coming.add(exchange)
                try:
                    link = yield from self.loop.connect(box.host, box.port, self.connect_timeout)
                except BaseException:
                    box.open -= 1
                    self.open -= 1
                    raise
                finally:
                    box.coming.discard(exchange)
            if exchange.not_after <= self.loop.clock():
                exchange.end(None, Outcome.NOT_CONNECTED, "its time is over")
            if exchange.ended:
                keep = True
                return
            exchange.link = link
            yield from link.send(
                exchange.data if isinstance(exchange.data, bytes) else exchange.data()
            )
            handed_over = True
            while not parser.done:
                data = yield from link.recv(CHUNK)
                if not data:
                    raise ConnectionError("closed by the box")
                parser.feed(data)
            keep = parser.keep_alive and not link.closed
            exchange.end(parser, Outcome.SERVED)
        except HttpError as error:
            self.malformed_replies += 1
            exchange.end(None, Outcome.ERROR, error.reason)
        except (OSError, WaitTimeoutError) as error:
            outcome = Outcome.RESET if handed_over else Outcome.NOT_CONNECTED
            exchange.end(None, outcome, str(error) or type(error).__name__)
        finally:
            parser.release()
            exchange.link = None
            if link is not None:
                if keep:
                    self.put_idle(box, link)
                else:
                    self.drop(box, link)

    # --- idle connections

    def take_idle(self, box: Box) -> Link | None:
        """The freshest that is still sound: it may have ended meanwhile, or hold bytes that nobody asked for."""
        while box.idle:
            link, _ = box.idle.pop()
            link.on_peer_closed = None
            if not link.closed and not link.peer_closed and link.peek() is None:
                self.reused += 1
                return link
            self.drop(box, link)
        return None

    def put_idle(self, box: Box, link: Link) -> None:
        entry = (link, self.loop.now)

        def peer_closed() -> None:
            if entry in box.idle:
                box.idle.remove(entry)
                self.drop(box, link)

        link.on_peer_closed = peer_closed
        if link.peer_closed:
            self.drop(box, link)
            return
        box.idle.append(entry)
        if self.idle:
            self.loop.call_later(self.idle, lambda: self.expire(box))

    def expire(self, box: Box) -> None:
        while box.idle and box.idle[0][1] <= self.loop.now - self.idle + 1e-6:
            self.drop(box, box.idle.popleft()[0])

    def drop(self, box: Box, link: Link) -> None:
        link.close()
        box.open -= 1
        self.open -= 1

    def evict_idle(self) -> bool:
        """Close the idle connection that was used least lately; whether there was one."""
        idle = [box for box in self.boxes.values() if box.idle]
        if not idle:
            return False
        box = min(idle, key=lambda each: each.idle[0][1])
        self.drop(box, box.idle.popleft()[0])
        return True

    def withdraw(self, address: str) -> None:
        """Nothing new may go there: calls whose connection is not up end unsent."""
        box = self.boxes.get(address)
        for exchange in list(box.coming) if box is not None else []:
            exchange.end(None, Outcome.NOT_CONNECTED, "it takes nothing new")

    def close_idle(self, address: str) -> None:
        box = self.boxes.get(address)
        while box is not None and box.idle:
            self.drop(box, box.idle.pop()[0])

    def close(self) -> None:
        for address in self.boxes:
            self.close_idle(address)
