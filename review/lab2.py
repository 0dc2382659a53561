"""Stand-ins for the cases 6 to 10 of the second review: nodes, discovery, clients, and the broker's process.

Standard library only. They speak the protocol of the users' pages, on loopback addresses. A case is a function
that takes a `Lab` and returns the list of what broke its rule; `run_case` writes the record and exits with 0, 1 or 2.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
LENGTH_BYTES = 4  # of a frame
RESET = b"\x01\0\0\0\0\0\0\0"  # struct linger: on, no time
LIMIT = 110.0  # seconds for a case


def free_port() -> int:
    """A port that nothing listens on."""
    with socket.create_server((HOST, 0)) as sock:
        return int(sock.getsockname()[1])


def frame(letter: bytes, rest: bytes = b"") -> bytes:
    """A frame of the nodes' protocol."""
    return (len(rest) + 1).to_bytes(4, "little") + letter + rest


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self) -> None:
        self.begun = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.Lock()

    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.begun

    def __call__(self, who: str, text: str) -> float:
        """Add a line; returns its time."""
        with self.lock:
            at = self.now()
            self.lines.append(f"{at:9.4f} {who:12} {text}")
            return at


class Part:
    """One part as a node received it."""

    def __init__(self, node: Node, sock: socket.socket, row: tuple[str, int, str], text: bytes):
        self.node, self.sock, self.text = node, sock, text
        self.part_id, self.shard, self.options = row
        self.at = node.record.now()
        self.is_cancelled = False

    @property
    def query(self) -> str:
        """The id of the part's query."""
        return self.part_id.rpartition(".")[0]

    @property
    def wait(self) -> float:
        """Seconds for which the broker waits, as it says."""
        return int(dict(each.split("=") for each in self.options.split(","))["d"]) / 1000

    def answer(self, ending: str = "OK", value: str | None = None, report: str = "-") -> None:
        """Answer the part."""
        value = f"{self.query}/{self.shard}" if value is None else value
        self.node.record(self.node.name, f"answers {self.part_id} {ending}")
        line = f"{self.part_id} {ending} 7 {report}\n{value}".encode()
        with contextlib.suppress(OSError):
            self.sock.sendall(frame(b"Y", line))


Behave = Callable[[Part], None]


class Node:
    """A node: `behave` is called with each part, in a thread of its connection."""

    def __init__(self, record: Record, name: str, cell: int, behave: Behave = Part.answer) -> None:
        self.record, self.name, self.cell, self.behave = record, name, cell, behave
        self.parts: list[Part] = []
        self.sockets: list[socket.socket] = []
        self.started_ms = 0
        self.on_connect: Callable[[socket.socket], bool] = lambda _sock: True
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def row(self, state: str = "active", **changes: Any) -> dict[str, Any]:
        """The node's entry in the list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "a",
            "kind": "m",
            "cell": self.cell,
            "state": state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        } | changes

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.sockets.append(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        if not self.on_connect(sock):
            return
        data = b""
        with contextlib.suppress(OSError):
            while chunk := sock.recv(65536):
                data += chunk
                while len(data) >= LENGTH_BYTES:
                    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "little")
                    if len(data) < end:
                        break
                    letter, rest, data = data[4:5], data[5:end], data[end:]
                    self._take(sock, letter, rest)
        with contextlib.suppress(OSError):
            sock.close()

    def _take(self, sock: socket.socket, letter: bytes, rest: bytes) -> None:
        if letter == b"G":
            sock.sendall(frame(b"G", b"OK"))
        elif letter == b"T":
            sock.sendall(frame(b"T", b"-"))
        elif letter == b"A":
            part_id = rest.decode()
            self.record(self.name, f"told to give up {part_id}")
            for part in self.parts:
                part.is_cancelled |= part.part_id == part_id and part.sock is sock
        while letter == b"R" and rest:
            line, _, rest = rest.partition(b"\n")
            part_id, shard, options, length = line.decode().split(" ")
            part = Part(self, sock, (part_id, int(shard), options), rest[: int(length)])
            rest = rest[int(length) :]
            self.parts.append(part)
            self.record(self.name, f"receives {part_id} shard {shard} {options}")
            self.behave(part)

    def close(self) -> None:
        """Refuse and reset, as a process that ended."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
                sock.close()


class Discovery:
    """The list and watches on it. `delay`: seconds that a call waits for its turn before it is answered."""

    def __init__(self, record: Record, rows: list[dict[str, Any]], delay: float = 0.0) -> None:
        self.record, self.delay = record, delay
        self.version = 41
        self.rows = {row["id"]: row for row in rows}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.changed = threading.Condition()
        self.watches: list[socket.socket] = []
        self.is_over = False
        self.listener = socket.create_server((HOST, 0), backlog=256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"version": self.version, "full": True, "servers": list(self.rows.values())}

    def change(self, *rows: dict[str, Any]) -> float:
        """Change entries; returns when."""
        with self.changed:
            self.version += 1
            for row in rows:
                self.rows[row["id"]] = row
                if row["state"] == "left":
                    del self.rows[row["id"]]
                self.changes.append((self.version, row))
            at = self.record(
                "discovery",
                f"has version {self.version}: {[(row['id'], row['state']) for row in rows]}",
            )
            self.changed.notify_all()
        return at

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            data = b""
            while b"\r\n\r\n" not in data:
                chunk = sock.recv(65536)
                if not chunk:
                    return
                data += chunk
            target = data.split(b" ")[1].decode()
            self.record("discovery", f"is called: {target}")
            time.sleep(self.delay)
            since = int(target.rpartition("since=")[2] or 0)
            self._follow(sock, since)
        except OSError as error:
            self.record("discovery", f"watch ended: {error}")
        finally:
            sock.close()

    def _follow(self, sock: socket.socket, since: int) -> None:
        sock.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        self.watches.append(sock)
        is_first = True
        while not self.is_over:
            with self.changed:
                if not is_first and self.version == since:
                    self.changed.wait(2.0)
                changes = {row["id"]: row for version, row in self.changes if version > since}
                version = self.version
            line = b"\n"
            if is_first or version > since:
                given = {"version": version, "full": False, "servers": list(changes.values())}
                line = json.dumps(given, separators=(",", ":")).encode() + b"\n"
                self.record("discovery", f"writes version {version} ({len(changes)} entries)")
            is_first, since = False, version
            sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))

    def reset_watches(self) -> None:
        """Reset all open watches."""
        watches, self.watches = self.watches, []
        self.record("discovery", f"resets {len(watches)} watches")
        for sock in watches:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RD)
                sock.close()


class Answer:
    """What a client got."""

    def __init__(self, status: int, body: bytes, at: float) -> None:
        self.status, self.body, self.at = status, body, at


class Client:
    """One connection of a client."""

    def __init__(self, record: Record, port: int, name: str = "client") -> None:
        self.record, self.name = record, name
        self.sock = socket.create_connection((HOST, port), timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data = b""

    def send(
        self, class_name: str, query: str, shards: list[int], remaining: float, text: str = "c41e"
    ) -> float:
        """Send a request; returns when its last byte was written."""
        self.sock.sendall(build_request(class_name, query, shards, remaining, text))
        return self.record(self.name, f"sent {query} {class_name} {shards}, waits {remaining} s")

    def read(self, seconds: float) -> Answer | None:
        """The answer; None where the connection ended or the time passed without a whole one."""
        end = time.monotonic() + seconds
        try:
            while (found := self._parse()) is None:
                self.sock.settimeout(max(end - time.monotonic(), 0.001))
                chunk = self.sock.recv(65536)
                if not chunk:
                    self.record(self.name, "its connection was ended by the broker")
                    return None
                self.data += chunk
        except TimeoutError:
            self.record(self.name, f"got no whole answer within {seconds:.2f} s")
            return None
        except OSError as error:
            self.record(self.name, f"its connection failed: {error}")
            return None
        self.record(self.name, f"got {found.status} {found.body[:80]!r}")
        return found

    def _parse(self) -> Answer | None:
        head, end, rest = self.data.partition(b"\r\n\r\n")
        if not end:
            return None
        lines = head.decode("latin-1").split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return None
        self.data = rest[length:]
        return Answer(int(lines[0].split(" ")[1]), rest[:length], self.record.now())

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


def build_request(
    class_name: str, query: str, shards: list[int], remaining: float, text: str = "c41e"
) -> bytes:
    """A request as a sound client sends it."""
    segments = [{"segment": each, "boost": 1 / len(shards)} for each in shards]
    body = json.dumps({"segments": segments, "text": text}, separators=(",", ":")).encode()
    return (
        f"POST /{class_name} HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {query}\r\n"
        f"X-Remaining: {remaining * 1000:.0f}m\r\nIdempotency-Key: k{query}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def lane(name: str, aim: float, deadline: float, effect: str = "idempotent", **more: Any) -> Any:
    """A class of query as the settings have it; times in seconds."""
    given = {
        "name": name,
        "slo-ns": round(aim * 1e9),
        "deadline-ns": round(deadline * 1e9),
        "idempotency": effect,
        "key-scope": "all",
        "late-value": 0.3,
        "points": 1.0,
        "stream": False,
        "window-ns": 2_500_000_000,
    }
    return given | {name.replace("_", "-"): value for name, value in more.items()}


def make_settings(lanes: list[Any], cells: int, span: int, brokers: int, **more: Any) -> Any:
    """The settings of a small deployment; `more`: of the parts `allowed`, `rules`, `family_info`, or others."""
    count = len(lanes)
    given = {
        "allowed": {
            "cancelling": True,
            "conn-idle-ns": 30_000_000_000,
            "connect-timeout-ns": 250_000_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400_000,
            "max-attempts": 3,
            "max-retry-after-ns": 1_000_000_000,
            "may-duplicate": True,
            "may-tell": False,
            "open-cap": 400,
            "probing": False,
            "retry-after": True,
            "streams-per-conn": 32,
        },
        "balancers": brokers,
        "callers": {"marks-retry": True},
        "counted-by": "work",
        "deductions": {},
        "discovery": "ask",
        "family": "fanout",
        "family-info": {
            "call-ns": 0,
            "cells": cells,
            "class-fetch": [0] * count,
            "class-floor": [1.0] * count,
            "class-need": [1.0] * count,
            "partial-earns": [0.9] * count,
            "parts-a-call": 1,
            "ranges": cells,
            "span": span,
            "warm-keys": False,
        },
        "goal": {"whole": 0.6, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.2},
        "lanes": lanes,
        "me": 0,
        "models": ["m"],
        "my-zone": "a",
        "over-share-worth": 0.1,
        "period-ns": 5_000_000,
        "projects": [],
        "report": {"columns": ["util", "inflight", "latency_ms"], "how": "answers"},
        "rules": {
            "ask-within-ns": 5_000_000_000,
            "cold-from": 0.24,
            "cold-ns": 17_000_000_000,
            "drain-grace-ns": 500_000_000,
            "fall-ns": 1_000_000_000,
            "grace-to-answer-ns": 20_000_000,
            "tip-multiple": 2.5,
        },
        "tier": 0,
        "tiers": ["ledger"],
        "weights": "nominal",
        "zones": ["a"],
    }
    for name, value in more.items():
        key = name.replace("_", "-")
        is_part = isinstance(given.get(key), dict)
        given[key] = given[key] | value if is_part else value
    return given


class Broker:
    """The broker's process, started by the `run` line of the deploy file."""

    def __init__(self, lab: Lab, settings: Any, discovery: Discovery, name: str = "n0") -> None:
        self.lab, self.name, self.port = lab, name, free_port()
        self.config = lab.folder / f"{name}.json"
        self.given = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(),
            "settings": settings,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.log = lab.folder / f"{name}.log"

    def start(self) -> None:
        """Start the process, and wait until it is ready."""
        self.config.write_text(json.dumps(self.given), encoding="utf-8")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        scratch = self.lab.folder / f"{self.name}-tmp"
        scratch.mkdir(exist_ok=True)
        environment = os.environ | {
            "LB_NAME": self.name,
            "LB_LISTEN": self.given["listen"],
            "LB_DISCOVERY": self.given["discovery"],
            "LB_CONFIG": str(self.config),
            "TMPDIR": str(scratch),
            "STEPKNOT_LOG": os.environ.get("STEPKNOT_LOG", ""),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.lab.processes.append(self.process)
        self.lab.record(self.name, "started")
        end = time.monotonic() + 30
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise RuntimeError(f"the broker is not ready: {self.log.read_text()[-500:]}")
            time.sleep(0.05)
        self.lab.record(self.name, "is ready")

    def is_ready(self) -> bool:
        """Whether /healthz answers 200."""
        try:
            with socket.create_connection((HOST, self.port), timeout=1.0) as sock:
                sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def signal(self, number: signal.Signals) -> float:
        """Send a signal; returns when."""
        assert self.process is not None
        self.process.send_signal(number)
        return self.lab.record(self.name, f"gets {number.name}")

    def client(self, name: str = "client") -> Client:
        """A new connection."""
        return Client(self.lab.record, self.port, name)


class Lab:
    """All of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.record = folder, Record()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"

    def end(self) -> None:
        """End the processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait(10)


def run_case(case: Callable[[Lab], list[str]], place: str) -> None:
    """Run the case, write `record.txt` beside the script, and exit with 0, 1 or 2."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    lab = Lab(folder)

    def stop(*_: object) -> None:
        raise RuntimeError("stopped: the time for a case is over")

    signal.signal(signal.SIGALRM, stop)
    signal.alarm(int(LIMIT))
    try:
        broken = case(lab)
        code = 1 if broken else 0
        result = "BROKEN: " + "; ".join(broken) if broken else "the rule held"
    except Exception:  # noqa: BLE001 - the case could not run
        code, result = 2, "the case could not run:\n" + traceback.format_exc()
    finally:
        signal.alarm(0)
        lab.end()
    lines = [f"trouble: {'yes' if lab.has_trouble else 'no'}", *lab.record.lines, result]
    (Path(place).resolve().parent / "record.txt").write_text("\n".join(lines) + "\n")
    if os.environ.get("KEEP_LOGS"):
        for log in folder.glob("*.log"):
            print(log.read_text(), file=sys.stderr)
    shutil.rmtree(folder, ignore_errors=True)
    print(result)
    sys.stdout.flush()
    os._exit(code)
