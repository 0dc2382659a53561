"""Stand-ins for the review's cases: discovery, nodes, usual clients, and the broker's process.

They do what `../given/kit/more/node/PROTOCOL.md` says and need the standard library only. All of it
runs on one asyncio loop in the case's process; the broker is a process of its own, started with the
`run` line of `deploy/balancer.toml`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
S = 1_000_000_000
SLACK = 0.05  # the protocol page: every time limit is longer by 50 ms
ANSWER_GRACE = (
    0.5  # the fleet page: up to half a second after its time an answer only earns nothing
)
FIRST_VERSION = 41  # of the list
MAX_LAG = 0.25  # seconds: a case whose own process was held up longer is not judged
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """`record.txt`: what was sent, answered and run, with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.begin = time.monotonic()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.begin

    def __call__(self, *words: object) -> None:
        """Write one line."""
        print(f"{self.now():9.4f}", *words, file=self.file, flush=True)

    def say(self, *words: object) -> None:
        """Write one line and print it."""
        self(*words)
        print(*words, flush=True)


def settings(**changes: object) -> dict:
    """Settings like those of a small deployment (`colombo-online`), with three shards on three cells."""
    lanes = [
        ("history", "idempotent", 3.0, 1.0, 1.0),
        ("transfer", "deduplicated", 2.5, 2.0, 1.0),
        ("statement", "idempotent", 2.5, 3.0, 0.5),
    ]
    found: dict = {
        "allowed": {
            "cancelling": True,
            "conn-idle-ns": 30 * S,
            "connect-timeout-ns": S // 4,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400_000,
            "max-attempts": 3,
            "max-retry-after-ns": S,
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
        "deductions": {},
        "discovery": "ask",
        "family": "fanout",
        "family-info": {
            "call-ns": 1_000_000,
            "cells": 3,
            "class-fetch": [0, 0, 0],
            "class-floor": [each[4] for each in lanes],
            "class-need": [1.0, 1.0, 1.0],
            "partial-earns": [0.9, 0.9, 0.9],
            "parts-a-call": 16,
            "ranges": 3,
            "span": 3,
            "warm-keys": False,
        },
        "goal": {"whole": 1.0},
        "lanes": [
            {
                "name": name,
                "idempotency": effect,
                "deadline-ns": int(deadline * S),
                "slo-ns": 1_200_000_000,
                "points": points,
                "late-value": 0.3,
                "stream": False,
                "key-scope": "all",
                "window-ns": 2_500_000_000,
            }
            for name, effect, deadline, points, _floor in lanes
        ],
        "me": 0,
        "models": ["std-2"],
        "my-zone": "a",
        "over-share-worth": 1.0,
        "period-ns": 1_000_000,
        "projects": [],
        "report": {"columns": ["util", "inflight", "latency_ms"], "how": "answers"},
        "rules": {
            "ask-within-ns": 10 * S,
            "cold-from": 0.24,
            "cold-ns": 17 * S,
            "drain-grace-ns": S // 2,
            "fall-ns": S,
            "grace-to-answer-ns": 20_000_000,
            "tip-multiple": 2.5,
        },
        "tier": 0,
        "tiers": ["ledger"],
        "weights": "none",
        "zones": ["a", "b"],
    }
    found.update(changes)
    return found


# --- nodes


@dataclass
class Run:
    """One attempt as its node saw it: when its frame's last byte came, and how it went on."""

    node: str
    part: str
    options: dict[str, str]
    at: float
    conn: int
    cancelled_at: float | None = None
    answered_at: float | None = None
    executed: bool = False


class Node:
    """A sound node, whose work takes `work` seconds for each part.

    `script(run)` may return another behaviour for a part: a list of (delay, bytes, or None to close). Where it
    returns None, the part gets its usual answer.
    """

    def __init__(self, lab: Lab, name: str, cell: int, work: float = 0.02) -> None:
        self.lab, self.name, self.cell, self.work = lab, name, cell, work
        self.state, self.started_ms = "active", 0
        self.runs: list[Run] = []
        self.script = None
        self.after_write = (
            None  # called with a run, its connection's writer and what was just written
        )
        self.server: asyncio.Server | None = None
        self.port = 0
        self.conns = 0
        self.hung = False

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, **changes: object) -> dict:
        """Its entry in the list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "ab"[self.cell % 2],
            "kind": "std-2",
            "cell": self.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
            **changes,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.conns += 1
        number = self.conns
        self.lab.record(self.name, f"connection {number} opened")
        open_runs: dict[str, Run] = {}
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(4), "little")
                frame = await reader.readexactly(length)
                kind, rest = frame[:1], frame[1:]
                if kind == b"R":
                    self._call(rest, number, writer, open_runs)
                elif kind == b"A":
                    run = open_runs.get(rest.decode())
                    self.lab.record(self.name, f"conn {number} give up {rest.decode()}")
                    if run is not None:
                        run.cancelled_at = self.lab.record.now()
                elif kind in (b"G", b"T"):
                    answer = b"OK" if kind == b"G" else b"-"
                    writer.write(frame_of(kind + answer))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.lab.record(self.name, f"connection {number} ended")
            writer.close()

    def _call(self, rest: bytes, number: int, writer, open_runs: dict[str, Run]) -> None:
        at, place = self.lab.record.now(), 0
        while place < len(rest):
            end = rest.index(b"\n", place)
            part, shard, options, length = rest[place:end].decode().split(" ")
            place = end + 1 + int(length)
            given = dict(each.split("=", 1) for each in options.split(","))
            run = Run(self.name, part, given, at, number)
            self.runs.append(run)
            open_runs[part] = run
            self.lab.record(self.name, f"conn {number} part {part} shard {shard} {options}")
            task = asyncio.get_running_loop().create_task(self._work(run, writer))
            self.lab.tasks.add(task)
            task.add_done_callback(self.lab.tasks.discard)

    async def _work(self, run: Run, writer) -> None:
        steps = self.script(run) if self.script is not None else None
        if steps is None:
            if self.hung:
                run.executed = True
                return
            steps = [(self.work, answer_of(run.part))]
        run.executed = True
        for delay, data in steps:
            await asyncio.sleep(delay)
            if data is None:
                writer.close()
                return
            if run.cancelled_at is not None:
                return
            with contextlib.suppress(OSError, RuntimeError):
                writer.write(data)
            run.answered_at = self.lab.record.now()
            line = data[5:].split(b"\n")[0][:80].decode("utf-8", "replace")
            self.lab.record(self.name, f"conn {run.conn} wrote {line!r}")
            if self.after_write is not None:
                self.after_write(run, writer, data)


def frame_of(content: bytes) -> bytes:
    """A frame with its length."""
    return len(content).to_bytes(4, "little") + content


def value_of(part: str) -> str:
    """The value that a node makes for a part."""
    return f"value-of-{part}"


def answer_of(part: str, end: str = "OK", value: str | None = None) -> bytes:
    """The frame of an answer."""
    text = value_of(part) if value is None else value
    if end != "OK":
        text = ""
    return frame_of(f"Y{part} {end} 7 inflight=1,util=0.1\n{text}".encode())


# --- discovery


class Discovery:
    """Discovery with one list. `delay` is how long each call waits for its turn."""

    def __init__(self, lab: Lab, nodes: list[Node]) -> None:
        self.lab = lab
        self.version = FIRST_VERSION
        self.entries = {node.name: node.entry() for node in nodes}
        self.log: list[tuple[int, dict]] = []
        self.told: dict[str, float] = {}  # when a node's drain or end was first written to a watch
        self.delay = 0.0
        self.watches: set = set()
        self.calls: list[float] = []
        self.silent = False

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def snapshot(self) -> dict:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, entry: dict) -> None:
        """Change one entry and tell the open watches."""
        self.version += 1
        self.log.append((self.version, entry))
        if entry["state"] == "left":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.lab.record("discovery", f"version {self.version}: {entry['id']} {entry['state']}")
        if not self.silent:
            for writer in list(self.watches):
                self._tell(writer, {"version": self.version, "full": False, "servers": [entry]})

    def _tell(self, writer, message: dict) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            write_chunk(writer, json.dumps(message).encode() + b"\n")
        for entry in message["servers"]:
            if entry["state"] != "active":
                self.told.setdefault(entry["id"], self.lab.record.now())
        states = {each["id"]: each["state"] for each in message["servers"]}
        self.lab.record("discovery", f"told version {message['version']}", states)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls.append(self.lab.record.now())
            target = head.split(b" ")[1].decode()
            self.lab.record("discovery", "call", target)
            if self.delay:
                await asyncio.sleep(self.delay)
            since = int(target.rpartition("since=")[2]) if "since=" in target else 0
            writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
            )
            if since < FIRST_VERSION:
                self._tell(writer, self.snapshot())
            else:
                changed = {each["id"]: each for version, each in self.log if version > since}
                message = {
                    "version": self.version,
                    "full": False,
                    "servers": list(changed.values()),
                }
                self._tell(writer, message)
            self.watches.add(writer)
            while True:
                with contextlib.suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1), 2.0):
                        return
                if not self.silent:
                    write_chunk(writer, b"\n")
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.watches.discard(writer)
            self.lab.record("discovery", "a call's connection ended")
            writer.close()


def write_chunk(writer, data: bytes) -> None:
    """One chunk of a chunked answer."""
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


# --- clients


@dataclass
class Asked:
    """One request of a usual client."""

    txn: str
    kind: str
    remaining: float
    segments: list[int]
    sent_at: float = 0.0  # its last byte was written
    ended_at: float | None = None
    status: int = 0  # 0: no answer
    body: bytes = b""
    how: str = "no answer"


@dataclass
class Client:
    """A usual client: one request at a time, on a connection that it keeps."""

    lab: Lab
    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    keep: bool = True
    extra: float = 2.0  # seconds for which it goes on listening, to tell late from never

    async def ask(
        self, kind: str, remaining: float, segments=(0, 1, 2), key: str = "", text="q"
    ) -> Asked:
        """Send one request and wait for its answer, for longer than the client would."""
        asked = Asked(self.lab.new_txn(), kind, remaining, list(segments))
        self.lab.asked.append(asked)
        data = request_of(asked, key, text)
        for attempt in (1, 2):
            fresh = self.writer is None
            try:
                if fresh:
                    self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                self.writer.write(data)
                await self.writer.drain()
            except OSError as error:
                self._drop()
                asked.how = f"not taken: {error}"
                if fresh:
                    return asked
                continue
            asked.sent_at = self.lab.record.now()
            self.lab.record("client", f"sent {asked.txn} {kind} {remaining:.3f}s")
            try:
                limit = remaining + ANSWER_GRACE + SLACK + self.extra
                await asyncio.wait_for(self._read(asked), limit)
            except TimeoutError:
                asked.how = "no answer"
            except (OSError, asyncio.IncompleteReadError, ValueError) as error:
                asked.how = f"ended without an answer: {type(error).__name__}"
                asked.ended_at = self.lab.record.now()
                self._drop()
                if not fresh and attempt == 1:
                    continue  # it crossed the end of a resting connection
            break
        if asked.status == 0 or not self.keep:
            self._drop()
        took = (asked.ended_at or self.lab.record.now()) - asked.sent_at
        self.lab.record("client", f"{asked.txn} {asked.status} {asked.how} after {took:.3f}s")
        return asked

    async def _read(self, asked: Asked) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines[1:] if x)}
        asked.body = await self.reader.readexactly(int(headers["content-length"]))
        asked.status, asked.how = int(lines[0].split(" ")[1]), "answered"
        asked.ended_at = self.lab.record.now()
        if headers.get("connection", "").lower() == "close":
            self._drop()

    def _drop(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def request_of(asked: Asked, key: str = "", text: str = "q") -> bytes:
    """The bytes of a request."""
    weight = 1 / len(asked.segments)
    body = json.dumps(
        {"segments": [{"segment": s, "boost": weight} for s in asked.segments], "text": text}
    ).encode()
    head = [
        f"POST /{asked.kind} HTTP/1.1",
        "Host: backend.local",
        f"X-Txn: {asked.txn}",
        f"X-Remaining: {int(asked.remaining * 1000)}m",
        f"Content-Length: {len(body)}",
    ]
    if key:
        head.append(f"Idempotency-Key: {key}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


# --- the broker


@dataclass
class Broker:
    """The broker's process, started as the deploy file says."""

    lab: Lab
    config: dict
    process: subprocess.Popen | None = None
    peak_kb: int = 0
    env: dict = field(default_factory=dict)

    @property
    def port(self) -> int:
        """Where it listens."""
        return int(self.config["listen"].rpartition(":")[2])

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        path = self.lab.temporary / f"{self.config['name']}.json"
        path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        log = (self.lab.temporary / f"{self.config['name']}.log").open("ab")
        tmp = tempfile.mkdtemp(dir=self.lab.temporary)
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={
                **os.environ,
                "LB_CONFIG": str(path),
                "LB_NAME": self.config["name"],
                "TMPDIR": tmp,
                "LB_LISTEN": self.config["listen"],
                "LB_DISCOVERY": self.config["discovery"],
                **self.env,
            },
        )
        self.lab.processes.append(self.process)
        for _ in range(300):
            if self.process.poll() is not None:
                raise RuntimeError("the broker ended at its start")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._healthy():
                    self.lab.record("broker", self.config["name"], "is ready")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the broker is not ready")

    async def _healthy(self) -> bool:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        try:
            return b" 200 " in await reader.readline()
        finally:
            writer.close()

    def peak(self) -> int:
        """The process's highest memory so far, in KB."""
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmHWM"):
                    self.peak_kb = max(self.peak_kb, int(line.split()[1]))
        return self.peak_kb


class Lab:
    """Everything of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen] = []
        self.tasks: set = set()
        self.asked: list[Asked] = []
        self.count = 0
        self.lag = 0.0
        self.nodes: list[Node] = []

    async def watch_lag(self) -> None:
        """Measure for how long this process, which takes all times, was held up."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag = max(self.lag, time.monotonic() - before - 0.02)

    def new_txn(self) -> str:
        """A fresh id of a request."""
        self.count += 1
        return f"{os.getpid():08x}{self.count:08x}"

    async def make_nodes(self, count: int, work: float = 0.02, cells: int = 3) -> None:
        """Start so many nodes."""
        self.nodes = [Node(self, f"s-{i:04x}", i % cells, work) for i in range(count)]
        for node in self.nodes:
            await node.start()

    def make_broker(self, discovery_port: int, known: dict, name: str = "n0", **changes) -> Broker:
        """A broker that is not started yet."""
        config = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512},
            "known": known,
            "settings": settings(),
        }
        config.update(changes)
        return Broker(self, config)

    def runs(self) -> list[Run]:
        """All attempts that came to nodes."""
        return [run for node in self.nodes for run in node.runs]

    def lost(self) -> list[Asked]:
        """Requests that the broker took and gave no final answer within half a second after their time."""
        found = []
        for asked in self.asked:
            if asked.how.startswith("not taken"):
                continue
            limit = asked.sent_at + asked.remaining + ANSWER_GRACE + SLACK
            if asked.status == 0 or asked.ended_at > limit:
                found.append(asked)
        return found

    def finish(self) -> None:
        """End all processes and keep the end of their logs."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in sorted(self.temporary.glob("*.log")):
            for line in log.read_text(errors="replace").splitlines()[-40:]:
                self.record("log", log.stem, line[:400])


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def main(folder: Path, case) -> None:
    """Run a case: `case(lab)` returns whether the rule held; exits with 0, 1 or 2."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # connections that are open at the end
    lab = Lab(folder)

    async def bounded() -> bool:
        watch = asyncio.create_task(lab.watch_lag())
        try:
            return await asyncio.wait_for(case(lab), 110)
        finally:
            watch.cancel()

    code = NOT_RUN
    try:
        code = HELD if asyncio.run(bounded()) else BROKEN
        lab.record.say(f"this process was held up for {lab.lag:.3f} s at most")
        if code == BROKEN and lab.lag > MAX_LAG:
            code = NOT_RUN  # what it measured may be its own delay
    except Exception as error:  # noqa: BLE001 - reported, and the case counts as not run
        lab.record.say(f"the case could not run: {type(error).__name__}: {error}")
    finally:
        lab.finish()
        subprocess.run(["rm", "-rf", str(lab.temporary)], check=False)
    lab.record.say({HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[code])
    sys.exit(code)
