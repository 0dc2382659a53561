"""The platform's discovery: the list of nodes, and a watch on its changes.

When to ask is the module's decision: `ask` begins a watch, and one that fails or ends is told as a failed list. The
list is what was last heard until something else is.

A change counts as told `TOLD` seconds after discovery had it and could be reached, whatever call failed; so these parts
together stay below that, from whichever instant one starts:

    SILENCE (the open watch says nothing) + RETRY_MOST (the module's pause, logic.py) + OPENING (a watch that speaks)
    an OPENING that fails + RETRY_MOST + an OPENING that speaks (4 seconds after a move, as the platform has it)

What counts as speech is a whole message or an empty line between two, not bytes: half a line may come for ever.

Invariants:
- There are two watches at the most: the one that counts, and one that has not spoken yet. The first ends when the
  second speaks; one that is being opened ends where discovery is found elsewhere.
- `on_failed` is told once before each `ask`, where the one being opened failed, or the other with none being opened.
- Changes older than what is known, from a watch that another one overtook, change nothing.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import httptools
import orjson

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.net.loop import Coroutine, Expired, Link, Loop, Task
from stepknot.platform.config import Unreadable, address

CHUNK = 64 * 1024
MOST_LINE = 2 * 1024 * 1024  # bytes of one list, indented or not
MOST_NODES = 10_000
BEAT = 2.0  # seconds after which an empty line comes where nothing changes
TOLD = 6.0  # seconds
SILENCE = 1.25 * BEAT  # a watch that says nothing for so long is broken
OPENING = 1.5  # seconds from the call to its first list or changes, the connection included
STRUCTURE = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')  # strings do not go over lines
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
        if type(version) is not int or version < 0 or not isinstance(rows, list):
            raise Unreadable("a list without its version or servers")
        if len(rows) > MOST_NODES:
            raise Unreadable(f"a list of {len(rows)} nodes: {MOST_NODES} at the most")
        entries = tuple(read_entry(row, clock_offset) for row in rows)
        if given.get("full") and len({entry.server for entry in entries}) < len(entries):
            raise Unreadable("a whole list that names a node twice")
        addresses = tuple(
            (row["id"], *address(row["addr"], row["id"])) for row in rows if row.get("addr")
        )
        return NodeList(version, bool(given.get("full", False)), entries, addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise Unreadable(f"a list that cannot be read: {type(error).__name__}: {error}") from None


def read_entry(row: Any, clock_offset: float) -> ServerEntry:
    server, cell, state, started = (
        row["id"],
        row.get("cell", 0),
        STATES.get(row["state"]),
        row.get("started_ms", 0),
    )
    size = row.get("weight", 1.0)
    if (
        not isinstance(server, str)
        or not server
        or type(cell) is not int
        or cell < 0
        or state is None
    ):
        raise Unreadable(f"a node that cannot be read: {server!r}")
    if (
        type(started) not in (int, float)
        or not math.isfinite(started)
        or type(size) not in (int, float)
    ):
        raise Unreadable(f"node {server}: started_ms and weight are numbers")
    return ServerEntry(
        server,
        str(row.get("zone", "")),
        cell,
        state,
        float(size),
        started / 1000 + clock_offset if started > 0 else 0.0,
        str(row.get("kind", "")),
    )


class WatchReader:
    """An HTTP response that stays open: fed bytes, it returns the messages that are whole, each a JSON object on one
    line or, indented, on many; and an empty one for each empty line between two."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.kept = b""  # of a line that has not ended
        self.object = bytearray()  # the lines so far of an object that has not ended
        self.depth = 0  # of brackets open in it
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
        if len(self.kept) + len(self.object) > MOST_LINE:
            raise ValueError("a line without an end")
        for line in lines:
            self.take_line(line)

    def take_line(self, line: bytes) -> None:
        if not self.object and not line.strip():
            self.lines.append(b"")
            return
        for found in STRUCTURE.findall(line):
            self.depth += (found in (b"{", b"[")) - (found in (b"}", b"]"))
        self.object += line
        if self.depth <= 0:
            self.lines.append(bytes(self.object))
            self.depth = 0
            self.object.clear()
        else:
            self.object += b"\n"

    def on_message_complete(self) -> None:
        self.over = True


class Discovery:
    """Follows the list. `on_list` hears of each message, `on_failed` of a watch that failed or ended, and why."""

    def __init__(
        self,
        loop: Loop,
        where: tuple[str, int],
        name: str,
        known: NodeList | None,
        clock_offset: float,
        on_list: Callable[[NodeList], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self.loop, self.where, self.name, self.clock_offset = loop, where, name, clock_offset
        self.on_list, self.on_failed = on_list, on_failed
        self.version = known.version if known is not None else 0
        self.whole = False  # the whole list is wanted: changes since a version of another numbering tell nothing
        self.current: Task | None = None  # the watch that counts
        self.opening: Task | None = None  # one that has not spoken yet
        self.told = False  # that it failed, and nothing was asked since
        self.heard = False  # anything at all

    def ask(self) -> None:
        """Begin a watch on changes since the version that is known. The one that counts goes on until it speaks."""
        if self.opening is None:
            self.told = False
            self.opening = self.loop.spawn(self.follow(), "discovery")

    def move(self, where: tuple[str, int]) -> None:
        """Discovery is found elsewhere from now on."""
        if where != self.where:
            self.where = where
            if self.opening is not None:
                self.opening.kill()
                self.opening = None
            self.ask()

    def fail(self, why: str) -> None:
        if not self.told:
            self.told = True
            self.on_failed(why)

    def follow(self) -> Coroutine:
        task, why, link = self.opening, "it ended", None
        until = self.loop.now + OPENING
        try:
            link = yield from self.loop.connect(*self.where, OPENING)
            yield from self.read(link, task, until)
        except Expired:
            why = "silent"
        except (OSError, Unreadable) as error:
            why = str(error)
        finally:
            if link is not None:
                link.close()
        if task is self.opening:
            self.opening = None
            self.fail(why)
        elif task is self.current:
            self.current = None
            if self.opening is None:
                self.fail(why)

    def read(self, link: Link, task: Task | None, until: float) -> Coroutine:
        since, newest = 0 if self.whole else self.version, 0
        host = f"{self.where[0]}:{self.where[1]}"
        yield from link.send(
            f"GET /v1/servers?follow=1&since={since} HTTP/1.1\r\nhost: {host}\r\n"
            f"user-agent: stepknot/{self.name}\r\n\r\n".encode(),
            OPENING,
        )
        reader = WatchReader()
        while not reader.over:
            data = yield from link.recv(CHUNK, max(until - self.loop.now, 0.0))
            if not data:
                return
            messages = reader.feed(data)
            if reader.status and reader.status != 200:
                raise Unreadable(f"status {reader.status}")
            for message in messages:
                news = self.read_message(message) if message else None
                if news is not None and not news.full and news.version < (newest or since):
                    self.whole = True
                    raise Unreadable(f"version {news.version} after {newest or since}")
                if news is None and task is self.opening:
                    continue  # the first word is the list or its changes: empty lines alone tell nothing
                self.spoke(task)
                until = self.loop.now + SILENCE
                if news is not None:
                    newest = news.version
                    self.take(news)

    def spoke(self, task: Task | None) -> None:
        self.heard = True
        if task is self.opening:
            if self.current is not None:
                self.current.kill()
            self.current, self.opening = task, None

    def read_message(self, message: bytes) -> NodeList:
        try:
            given = orjson.loads(message)
        except ValueError as error:
            raise Unreadable(f"a line that is not JSON: {error}") from None
        return read_list(given, self.clock_offset)

    def take(self, news: NodeList) -> None:
        if news.full or news.version >= self.version and not self.whole:
            self.version, self.whole = news.version, False
            self.on_list(news)


def as_event(news: NodeList, kind: ListKind | None = None) -> ListReceived:
    return ListReceived(kind or (ListKind.FULL if news.full else ListKind.CHANGES), news.entries)
