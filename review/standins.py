"""Stand-ins for the review's cases: a node, discovery, a client and the platform that starts a broker.

They follow the protocol page. Everything listens on 127.0.0.1 and on free ports, and uses the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
TIME_LIMIT = 110.0  # seconds for a whole case
READY_TIMEOUT = 30.0
READY = 200
KEEPALIVE_INTERVAL = 2.0
NANOSECONDS = 1_000_000_000
READ_BYTES = 65536
HEADER = 4  # bytes of a frame's length


class Record:
    """The case's record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started

    def write(self, event: str, **fields: Any) -> None:
        """Add one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()


@dataclass
class Attempt:
    """One part of a call as it came to a node; times are of the record's clock."""

    part: str
    first_byte: float
    last_byte: float
    value: str


@dataclass
class Node:
    """A node of the protocol page: serves each part after `work` seconds, on each connection at once.

    Attributes:
        is_hung: it takes parts and answers none.
        write_answer: writes an answer frame's bytes; a case may replace it.
    """

    name: str
    cell: int
    record: Record
    work: float = 0.08
    zone: str = "a"
    is_hung: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    port: int = 0
    make_frame: Callable[[str, str], bytes] | None = None

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def row(self, state: str = "active") -> dict[str, Any]:
        """Its entry of the endpoint list."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "kind": "std-2c",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        running: dict[str, asyncio.Task[None]] = {}
        data, begun = b"", 0.0
        with contextlib.suppress(OSError):
            while chunk := await reader.read(READ_BYTES):
                came = self.record.now()
                begun = begun if data else came
                data += chunk
                while len(data) >= HEADER:
                    end = HEADER + int.from_bytes(data[:HEADER], "little")
                    if len(data) < end:
                        break
                    letter, rest, data = data[4:5], data[5:end], data[end:]
                    self._take(letter, rest, (begun, came), writer, running)
                    begun = came
        for task in running.values():
            task.cancel()
        writer.close()

    def _take(
        self,
        letter: bytes,
        rest: bytes,
        times: tuple[float, float],
        writer: asyncio.StreamWriter,
        running: dict[str, asyncio.Task[None]],
    ) -> None:
        if letter == b"A":
            part = rest.decode()
            self.record.write("node-cancelled", node=self.name, part=part)
            if part in running:
                running.pop(part).cancel()
        elif letter == b"G" and not self.is_hung:
            writer.write(encode_frame(b"G", b"OK"))
        elif letter == b"T" and not self.is_hung:
            writer.write(encode_frame(b"T", b"util=0.10,queue=0"))
        while letter == b"R" and rest:
            line, _, rest = rest.partition(b"\n")
            part, _, _, length = line.decode().split(" ")
            rest = rest[int(length) :]
            attempt = Attempt(part, *times, secrets.token_hex(8))
            self.attempts.append(attempt)
            self.record.write("node-attempt", node=self.name, part=part, value=attempt.value)
            running[part] = asyncio.create_task(self._run(attempt, writer, running))

    async def _run(
        self,
        attempt: Attempt,
        writer: asyncio.StreamWriter,
        running: dict[str, asyncio.Task[None]],
    ) -> None:
        await asyncio.sleep(self.work)
        while self.is_hung:
            await asyncio.sleep(0.05)
        running.pop(attempt.part, None)
        frame = (self.make_frame or make_answer)(attempt.part, attempt.value)
        with contextlib.suppress(OSError):
            writer.write(frame)
            self.record.write("node-answered", node=self.name, part=attempt.part)


async def wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return once the peer ended its side or reset the connection."""
    with contextlib.suppress(OSError):
        await reader.read(1)


def encode_frame(letter: bytes, rest: bytes) -> bytes:
    """A frame of the nodes' protocol."""
    return (len(rest) + 1).to_bytes(HEADER, "little") + letter + rest


def make_answer(part: str, value: str) -> bytes:
    """A good answer to a part."""
    return encode_frame(b"Y", f"{part} OK 7 -\n{value}".encode())


class Discovery:
    """The platform's discovery: `delay` is how long a call waits for its turn before its answer begins."""

    def __init__(self, record: Record, nodes: list[Node], delay: float = 0.0) -> None:
        self.record = record
        self.rows = {node.name: node.row() for node in nodes}
        self.delay = delay
        self.version = 10
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def full_list(self) -> dict[str, Any]:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": list(self.rows.values())}

    def change(self, node: Node, state: str) -> None:
        """Change a node's state, and tell all watches."""
        self.version += 1
        self.rows[node.name] = node.row(state)
        self.changes.append((self.version, node.row(state)))
        self.record.write("discovery-change", node=node.name, state=state, version=self.version)
        for writer in self.watches:
            self._say(writer, self.version - 1)

    def _say(self, writer: asyncio.StreamWriter, since: int) -> None:
        """Write the changes since a version, or the whole list where there is none."""
        rows = [row for version, row in self.changes if version > since]
        told = {"version": self.version, "full": False, "servers": rows}
        if since <= 0:
            told = self.full_list()
        self._write_chunk(writer, json.dumps(told).encode() + b"\n")
        self.record.write("discovery-told", version=self.version, since=since)

    def _write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            self.record.write("discovery-call", target=target)
            gone = asyncio.create_task(wait_for_end(reader))
            if self.delay:
                await asyncio.wait([gone], timeout=self.delay)
            if gone.done():
                self.record.write("discovery-call-given-up", target=target)
            else:
                await self._answer(target, writer, gone)
        self.watches.discard(writer)
        writer.close()

    async def _answer(
        self, target: str, writer: asyncio.StreamWriter, gone: asyncio.Task[None]
    ) -> None:
        if "follow=1" not in target:
            body = json.dumps(self.full_list()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
            return
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        since = target.partition("since=")[2]
        self._say(writer, int(since or 0))
        self.watches.add(writer)
        while not gone.done():
            await asyncio.wait([gone], timeout=KEEPALIVE_INTERVAL)
            self._write_chunk(writer, b"\n")


@dataclass
class Answer:
    """What a client saw of its request.

    Attributes:
        status: of the complete answer; 0 where there was none.
        ending: "answer", "closed" (the broker ended the connection without a whole answer) or "silence".
        sent: when the request's last byte was written, by the record's clock.
        ended: when the answer's last byte came, or the connection ended, by the record's clock.
    """

    txn: str
    shards: tuple[int, ...]
    status: int = 0
    body: Any = None
    ending: str = "silence"
    sent: float = 0.0
    ended: float = 0.0


class Client:
    """One client connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self, port: int) -> Client:
        """Connect to the broker."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        return self

    async def ask(
        self, path: str, shards: tuple[int, ...], remaining: float, patience: float
    ) -> Answer:
        """Send one request and wait for its answer, at most for `patience` seconds."""
        answer = Answer(secrets.token_hex(8), shards)
        segments = [{"segment": each, "boost": 1 / len(shards)} for each in shards]
        body = json.dumps({"segments": segments, "text": secrets.token_hex(4)})
        head = (
            f"POST /{path} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {answer.txn}\r\n"
            f"X-Remaining: {remaining * 1000:.0f}m\r\nIdempotency-Key: {secrets.token_hex(16)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write((head + body).encode())
        answer.sent = self.record.now()
        self.record.write("client-sent", txn=answer.txn, path=path, shards=shards)
        try:
            async with asyncio.timeout(patience):
                await self._read(answer)
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.ending = "closed"
            self.record.write("client-saw", error=type(error).__name__, txn=answer.txn)
        except TimeoutError:
            answer.ending = "silence"
        answer.ended = self.record.now()
        self.record.write(
            "client-got", txn=answer.txn, status=answer.status, end=answer.ending, body=answer.body
        )
        return answer

    async def _read(self, answer: Answer) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length:")[2].split("\r\n")[0])
        body = await self.reader.readexactly(length)
        answer.status, answer.ending = int(head.split(" ")[1]), "answer"
        answer.body = json.loads(body) if body else None

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


class Broker:
    """A broker as the platform starts it: the `run` line of the deploy file, its own process."""

    def __init__(self, record: Record, config: dict[str, Any], folder: Path) -> None:
        self.record, self.config, self.folder = record, config, folder
        self.port = int(config["listen"].rpartition(":")[2])
        self.process: asyncio.subprocess.Process

    async def start(self) -> None:
        """Start it and wait until `/healthz` answers 200."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        told = {
            "LB_CONFIG": str(path),
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "broker.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=os.environ | told, stderr=log
            )
        async with asyncio.timeout(READY_TIMEOUT):
            while not await self._is_ready():
                if self.process.returncode is not None:
                    raise RuntimeError(f"the broker ended with {self.process.returncode}")
                await asyncio.sleep(0.05)
        self.record.write("broker-ready", pid=self.process.pid)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return f" {READY} ".encode() in line

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.write("platform-signal", number=number.name)
        self.process.send_signal(number)

    async def end(self) -> None:
        """End the process if it runs, and copy its log into the record."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.record.write("broker-ended", code=self.process.returncode)
        log = (self.folder / "broker.log").read_text(encoding="utf-8", errors="replace")
        for line in log.splitlines():
            self.record.file.write(f"broker-log {line}\n")


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def make_lane(name: str, effect: str, aim: float, deadline: float) -> dict[str, Any]:
    """A class of queries that needs all of its parts."""
    return {
        "name": name,
        "idempotency": effect,
        "key-scope": "all",
        "slo-ns": int(aim * NANOSECONDS),
        "deadline-ns": int(deadline * NANOSECONDS),
        "late-value": 0.3,
        "points": 1.0,
        "stream": False,
        "window-ns": int(2.5 * NANOSECONDS),
    }


def make_config(
    nodes: list[Node], discovery: Discovery, lanes: list[dict[str, Any]], **changes: Any
) -> dict[str, Any]:
    """The configuration of one broker of a small deployment; `changes`: of the settings' top level."""
    count, ones = len(lanes), [1.0] * len(lanes)
    cells = len({node.cell for node in nodes})
    settings = {
        "allowed": {
            "cancelling": True,
            "conn-idle-ns": 30 * NANOSECONDS,
            "connect-timeout-ns": NANOSECONDS // 4,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400_000,
            "max-attempts": 3,
            "max-retry-after-ns": NANOSECONDS,
            "may-duplicate": True,
            "may-tell": False,
            "open-cap": 400,
            "probing": False,
            "retry-after": True,
            "streams-per-conn": 32,
        },
        "balancers": 2,
        "callers": {"marks-retry": True},
        "counted-by": "request",
        "discovery": "push",
        "family": "fanout",
        "family-info": {
            "call-ns": 0,
            "cells": cells,
            "class-fetch": [0] * count,
            "class-floor": ones,
            "class-need": ones,
            "partial-earns": ones,
            "parts-a-call": 4,
            "ranges": cells,
            "span": 1,
        },
        "lanes": lanes,
        "me": 0,
        "models": ["std-2c"],
        "my-zone": "a",
        "period-ns": 5_000_000,
        "report": {"columns": [], "how": "none"},
        "rules": {
            "ask-within-ns": 10 * NANOSECONDS,
            "cold-from": 0.2,
            "cold-ns": 18 * NANOSECONDS,
            "drain-grace-ns": NANOSECONDS // 2,
            "fall-ns": NANOSECONDS,
            "grace-to-answer-ns": 20_000_000,
            "tip-multiple": 3.0,
        },
        "tier": 0,
        "tiers": ["nodes"],
        "weights": "none",
        "zones": ["a"],
    }
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": secrets.token_hex(8),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
        "known": discovery.full_list(),
        "settings": settings | changes,
    }


def has_trouble() -> bool:
    """Whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, play: Callable[[Record, Path], Awaitable[list[str]]]) -> int:
    """Run a case; `play` returns how the rule was broken, a line each."""
    record = Record(folder)
    record.write("case", folder=folder.name, trouble=int(has_trouble()))

    async def limited(temporary: Path) -> list[str]:
        async with asyncio.timeout(TIME_LIMIT):
            return await play(record, temporary)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(limited(Path(temporary)))
    except Exception as error:  # noqa: BLE001 - whatever it is, the case did not run
        record.write("could-not-run", error=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return NOT_RUN
    for line in broken:
        record.write("BROKEN", what=line)
        print(line)
    record.write("end", result="broken" if broken else "held")
    print("the rule was broken" if broken else "the rule held")
    return BROKEN if broken else HELD
