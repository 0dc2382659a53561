"""The platform's discovery: the list of nodes, and a watch on its changes.

When to ask is the module's decision: `ask` begins a watch, and one that fails or ends is told as a failed list. The
list is what was last heard until something else is.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
import orjson

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.net.loop import Coroutine, Expired, Link, Loop, Task
from stepknot.platform.config import Unreadable, address

CHUNK = 64 * 1024
MOST_LINE = 1024 * 1024  # bytes of one list
MOST_NODES = 10_000
BEAT = 2.0  # seconds after which an empty line comes where nothing changes
SILENCE = 1.5 * BEAT  # a watch that says nothing for so long is broken
STATES = {"active": ServerState.LIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


@dataclass(frozen=True, slots=True)
class NodeList:
    """One message of discovery."""

    version: int
    full: bool
    entries: tuple[ServerEntry, ...]
    addresses: tuple[tuple[str, str, int], ...]  # by node: host, port


def read_list(given: Any, clock_offset: float) -> NodeList:
    """`clock_offset`: the loop's clock less the wall's, one for the process's life. Raises Unreadable."""
    try:
        version, rows = given["version"], given["servers"]
        if type(version) is not int or not isinstance(rows, list) or len(rows) > MOST_NODES:
            raise Unreadable("a list without its version or servers")
        entries = tuple(read_entry(row, clock_offset) for row in rows)
        addresses = tuple((row["id"], *address(row["addr"], row["id"])) for row in rows if row.get("addr"))
        return NodeList(version, bool(given.get("full", False)), entries, addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unreadable(f"a list that cannot be read: {type(error).__name__}: {error}") from None


def read_entry(row: Any, clock_offset: float) -> ServerEntry:
    server, cell, state, started = row["id"], row.get("cell", 0), STATES.get(row["state"]), row.get("started_ms", 0)
    size = row.get("weight", 1.0)
    if not isinstance(server, str) or not server or type(cell) is not int or cell < 0 or state is None:
        raise Unreadable(f"a node that cannot be read: {server!r}")
    if type(started) not in (int, float) or not math.isfinite(started) or type(size) not in (int, float):
        raise Unreadable(f"node {server}: started_ms and weight are numbers")
    return ServerEntry(server, str(row.get("zone", "")), cell, state, float(size),
                       started / 1000 + clock_offset if started > 0 else 0.0, str(row.get("kind", "")))


class WatchReader:
    """An HTTP response that stays open: fed bytes, it returns the lines that are whole."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.kept = b""
        self.lines: list[bytes] = []
        self.status, self.over = 0, False

    def feed(self, data: bytes) -> list[bytes]:
        try:
            self.parser.feed_data(data)
        except Exception as error:  # noqa: BLE001 - whatever was sent, it is no watch
            raise Unreadable(f"not a watch: {error}") from None
        lines, self.lines = self.lines, []
        return lines

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        *lines, self.kept = (self.kept + body).split(b"\n")
        if len(self.kept) > MOST_LINE:
            raise ValueError("a line without an end")
        self.lines += lines

    def on_message_complete(self) -> None:
        self.over = True


class Discovery:
    """Follows the list. `on_list` hears of each message, `on_failed` of a watch that failed or ended, and why."""

    def __init__(self, loop: Loop, where: tuple[str, int], name: str, known: NodeList | None, clock_offset: float,
                 timeout: float, on_list: Callable[[NodeList], None], on_failed: Callable[[str], None]) -> None:
        self.loop, self.where, self.name, self.clock_offset, self.timeout = loop, where, name, clock_offset, timeout
        self.on_list, self.on_failed = on_list, on_failed
        self.version = known.version if known is not None else 0
        self.newest: Task | None = None  # the watch that counts
        self.older: list[Task] = []  # one from before a change of address goes on until its successor speaks

    def ask(self) -> None:
        """Begin a watch on changes since the version that is known."""
        self.older = [each for each in (*self.older, self.newest) if each is not None and not each.done]
        self.newest = self.loop.spawn(self.follow(), "discovery")

    def move(self, where: tuple[str, int]) -> None:
        """Discovery is found elsewhere from now on."""
        if where != self.where:
            self.where = where
            self.ask()

    def follow(self) -> Coroutine:
        task, why, link = self.newest, "it ended", None
        try:
            link = yield from self.loop.connect(*self.where, self.timeout)
            yield from self.read(link, task)
        except Expired:
            why = "silent"
        except (OSError, Unreadable) as error:
            why = str(error)
        finally:
            if link is not None:
                link.close()
        if task is self.newest:
            self.newest = None
            self.on_failed(why)

    def read(self, link: Link, task: Task | None) -> Coroutine:
        host = f"{self.where[0]}:{self.where[1]}"
        yield from link.send(f"GET /v1/servers?follow=1&since={self.version} HTTP/1.1\r\nhost: {host}\r\n"
                             f"user-agent: stepknot/{self.name}\r\n\r\n".encode())
        reader = WatchReader()
        while not reader.over:
            data = yield from link.recv(CHUNK, SILENCE)
            if not data:
                return
            lines = reader.feed(data)
            if reader.status and reader.status != 200:
                raise Unreadable(f"status {reader.status}")
            for line in lines:
                if task is self.newest:
                    self.end_older()
                if line.strip():
                    self.take(line)

    def end_older(self) -> None:
        for task in self.older:
            task.kill()
        self.older = []

    def take(self, line: bytes) -> None:
        try:
            given = orjson.loads(line)
        except ValueError as error:
            raise Unreadable(f"a line that is not JSON: {error}") from None
        news = read_list(given, self.clock_offset)
        if not news.full and news.version < self.version:
            was, self.version = self.version, 0  # the next watch begins with the whole list
            raise Unreadable(f"version {news.version} after {was}")
        self.version = news.version
        self.on_list(news)


def as_event(news: NodeList, kind: ListKind | None = None) -> ListReceived:
    return ListReceived(kind or (ListKind.FULL if news.full else ListKind.CHANGES), news.entries)
