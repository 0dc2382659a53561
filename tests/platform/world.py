"""The platform around one broker, on loopback: scripted nodes, discovery, and the broker itself on a thread."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import orjson

from stepknot.platform.config import Config, parse_config
from stepknot.platform.service import Service
from tests.broker.scripted import (
    Answer,
    BrokerOnThread,
    Client,
    ListeningServer,
    start_loop_thread,
    stop_broker,
    until,
)

Script = Callable[["Call"], None]

SLOW_DISCOVERY = 1.8  # seconds


def profile(**changes: Any) -> dict[str, Any]:
    """Settings under the simulator's names; figures are made up. `changes`: of `allowed`, and of classes by name."""
    lanes = [
        {
            "name": "list",
            "slo-ns": 800e6,
            "deadline-ns": 2000e6,
            "points": 1.0,
            "late-value": 0.2,
            "idempotency": "idempotent",
        },
        {
            "name": "move",
            "slo-ns": 800e6,
            "deadline-ns": 2000e6,
            "points": 2.0,
            "late-value": 0.2,
            "idempotency": "deduplicated",
            "window-ns": 2000e6,
        },
        {
            "name": "sum",
            "slo-ns": 800e6,
            "deadline-ns": 2000e6,
            "points": 3.0,
            "late-value": 0.0,
            "idempotency": "idempotent",
        },
    ]
    return {
        "allowed": {
            "cancelling": True,
            "conn-idle-ns": 30e9,
            "connect-timeout-ns": 250e6,
            "max-attempts": 3,
            "max-retry-after-ns": 1000e6,
            "may-duplicate": False,
            "open-cap": 400,
            "probing": False,
            "retry-after": True,
            "streams-per-conn": 8,
        }
        | changes,
        "balancers": 1,
        "discovery": "ask",
        "lanes": lanes,
        "period-ns": 1e6,
        "counted-by": "request",
        "family-info": {
            "cells": 2,
            "class-fetch": [0, 0, 0],
            "class-floor": [1.0, 1.0, 0.5],
            "class-need": [1.0, 1.0, 1.0],
            "parts-a-call": 1,
            "partial-earns": [0.9, 0.9, 0.9],
            "ranges": 2,
            "span": 1,
        },
        "rules": {
            "ask-within-ns": 2e9,
            "cold-from": 0.3,
            "cold-ns": 1e9,
            "drain-grace-ns": 500e6,
            "fall-ns": 1e9,
            "tip-multiple": 2.5,
        },
    }


@dataclass
class Call:
    """A frame `R` as a node's socket got it."""

    node: Node
    sock: socket.socket
    parts: list[tuple[str, int, str, str]]  # id, shard, list, text

    def answer(
        self,
        value: str | None = None,
        end: str = "OK",
        report: str = "inflight=0,util=0.1",
        score: str = "7",
    ) -> None:
        for part, shard, _, _ in self.parts:
            self.send(answer(part, f"v{shard}" if value is None else value, end, report, score))

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.sock.shutdown(socket.SHUT_RDWR) if not reset else None
        self.sock.close()


def frame(letter: str, rest: bytes = b"") -> bytes:
    return (len(rest) + 1).to_bytes(4, "little") + letter.encode() + rest


def answer(part: str, value: str, end: str = "OK", report: str = "-", score: str = "7") -> bytes:
    return frame("Y", f"{part} {end} {score} {report}\n{value}".encode())


class Node(ListeningServer):
    """Each call runs the script in force when it came."""

    def __init__(self, script: Script = Call.answer) -> None:
        self.script = script
        self.calls: list[Call] = []
        self.cancelled: list[str] = []
        self.probes = 0
        self.on_probe: Callable[[socket.socket], None] = lambda sock: sock.sendall(
            frame("T", b"inflight=0,util=0.1")
        )
        self.ended = 0  # connections that the broker ended
        super().__init__()

    def serve_connection(self, sock: socket.socket) -> None:
        data = b""
        try:
            while chunk := sock.recv(65536):
                data += chunk
                while len(data) >= 4 and len(data) >= 4 + (
                    size := int.from_bytes(data[:4], "little")
                ):
                    letter, rest, data = data[4:5], data[5 : 4 + size], data[4 + size :]
                    self.take(sock, letter, rest)
        except OSError:
            pass
        self.ended += 1

    def take(self, sock: socket.socket, letter: bytes, rest: bytes) -> None:
        if letter == b"A":
            self.cancelled.append(rest.decode())
        elif letter == b"T":
            self.probes += 1
            self.on_probe(sock)
        elif letter == b"R":
            parts = []
            while rest:
                line, _, rest = rest.partition(b"\n")
                part, shard, pairs, length = line.decode().split(" ")
                parts.append((part, int(shard), pairs, rest[: int(length)].decode()))
                rest = rest[int(length) :]
            call = Call(self, sock, parts)
            self.calls.append(call)
            self.script(call)


class Discovery(ListeningServer):
    """Serves the list to watches. `mood`: serve, refuse (a 503), silent (accepts and says nothing), half (a line that
    goes on and never ends), beats (empty lines after the list), empty (those alone), lost (resets the call), slow
    (the list `SLOW_DISCOVERY` seconds after the call).
    """

    def __init__(self, rows: list[dict[str, Any]], version: int = 10, port: int = 0) -> None:
        self.rows, self.version, self.mood = rows, version, "serve"
        self.asked: list[str] = []  # the targets of requests
        self.asked_at: list[float] = []
        self.stopped = threading.Event()
        self.saying = threading.Lock()  # a change is said after the list that its watch begins with
        self.watches: list[socket.socket] = []
        super().__init__(port)

    def serve_connection(self, sock: socket.socket) -> None:
        data = b""
        while b"\r\n\r\n" not in data:
            chunk = sock.recv(65536)
            if not chunk:
                return
            data += chunk
        with self.saying:
            mood = self.begin(sock, data.split(b" ")[1].decode())
        if mood == "slow" and not self.stopped.wait(SLOW_DISCOVERY):
            with self.saying, suppress(OSError):  # the broker may have ended it
                self.say_list(sock)
        if mood in ("half", "beats", "empty"):
            try:
                while self.mood != "serve" and not self.stopped.wait(0.1):
                    sock.sendall(b"1\r\n%s\r\n" % (b" " if self.mood == "half" else b"\n"))
            except OSError:
                pass  # the broker ended it

    def begin(self, sock: socket.socket, target: str) -> str:
        """Begin the answer; returns the mood that it has. A test changes the mood once it sees the request."""
        mood = self.mood
        self.asked.append(target)
        self.asked_at.append(time.monotonic())
        self.watches.append(sock)
        if mood == "lost":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            sock.close()
        if mood == "refuse":
            sock.sendall(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")
        elif mood in ("serve", "half", "beats", "empty"):
            self.say_list(sock, is_listed=mood not in ("half", "empty"))
        return mood

    def say_list(self, sock: socket.socket, is_listed: bool = True) -> None:
        """Begin a watch's answer, with the whole list where `is_listed`."""
        sock.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        if is_listed:
            self.say(sock, self.rows, True)

    def say(self, sock: socket.socket, rows: list[dict[str, Any]], full: bool = False) -> None:
        self.say_line(
            sock, orjson.dumps({"version": self.version, "full": full, "servers": rows}) + b"\n"
        )

    def say_line(self, sock: socket.socket, line: bytes) -> None:
        sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))

    def change(self, row: dict[str, Any]) -> None:
        with self.saying:
            self.version += 1
            self.say(self.watches[-1], [row])

    def close(self) -> None:
        self.stopped.set()
        super().close()


@dataclass
class World(BrokerOnThread):
    service: Service
    nodes: list[Node]
    discovery: Discovery
    config: Config
    given: dict[str, Any]
    thread: threading.Thread
    logged: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    asked: int = 0

    def row(self, number: int, state: str = "active", **changes: Any) -> dict[str, Any]:
        return row(self.nodes[number], number, state) | changes

    def waiting(self, count: int, shards: tuple[int, ...] = (0,)) -> list[Client]:
        """So many clients whose requests are with the nodes, which hold them."""
        clients = [self.client() for _ in range(count)]
        for client in clients:
            client.sock.sendall(self.request("list", shards))
        until(lambda: sum(len(node.calls) for node in self.nodes) == count * len(shards))
        return clients

    def client(self) -> Client:
        return Client(self.connect())

    def request(self, kind: str = "list", shards: tuple[int, ...] = (0,), **changes: Any) -> bytes:
        self.asked += 1
        return request(kind, shards, **({"x_txn": f"t{self.asked:06d}"} | changes))

    def ask(self, kind: str = "list", shards: tuple[int, ...] = (0,), **changes: Any) -> Answer:
        client = self.client()
        client.sock.sendall(self.request(kind, shards, **changes))
        return client.read()

    def events(self, name: str) -> list[dict[str, Any]]:
        return [fields for event, fields in self.logged if event == name]


def request(
    kind: str,
    shards: tuple[int, ...],
    *,
    body: Any = None,
    path: str = "",
    method: str = "POST",
    extra: str = "",
    **headers: str | None,
) -> bytes:
    """A query as a usual client sends it, but for what is asked to be otherwise; a header of None is left out."""
    if body is None:
        body = {
            "segments": [
                {"segment": each, "boost": 1 / len(shards), "work": 9000} for each in shards
            ],
            "text": "c41e77d0",
        }
    data = body if isinstance(body, bytes) else orjson.dumps(body)
    usual: dict[str, str | None] = {
        "x_txn": "9b1f",
        "x_remaining": "1500m",
        "content_length": str(len(data)),
    }
    if kind == "move":
        usual["idempotency_key"] = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
    lines = [
        f"{name.replace('_', '-')}: {value}\r\n"
        for name, value in (usual | headers).items()
        if value is not None
    ]
    return (
        f"{method} {path or '/' + kind} HTTP/1.1\r\nhost: x\r\n{''.join(lines)}{extra}\r\n".encode()
        + data
    )


def row(node: Node, number: int, state: str = "active") -> dict[str, Any]:
    return {
        "id": f"s-{number}",
        "addr": f"127.0.0.1:{node.port}",
        "zone": "a",
        "kind": "m",
        "cell": number % 2,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def check_idle_connections(service: Service) -> None:
    """The pool knows of each idle connection, in whatever way it became idle: each one can be evicted."""
    pool = service.nodes.pool
    assert all(each in pool.idle for each in pool.connections() if each.is_idle)


@contextmanager
def world(
    nodes: int = 2,
    known: bool = True,
    family: dict[str, Any] | None = None,
    settings: dict[str, Any] | None = None,
    mood: str = "serve",
    sockets: int = 256,
    names: dict[str, str] | None = None,
    **allowed: Any,
) -> Iterator[World]:
    """One broker; node s-N holds the shard N mod 2. `known`: it begins with the list as last had. `names`: of classes,
    in place of those they have.
    """
    stand_ins = [Node() for _ in range(nodes)]
    rows = [row(node, number) for number, node in enumerate(stand_ins)]
    discovery = Discovery(rows)
    discovery.mood = mood
    given = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"version": 3, "full": True, "servers": rows if known else []},
        "settings": profile(**{name.replace("_", "-"): value for name, value in allowed.items()}),
    }
    given["settings"]["family-info"] |= family or {}  # type: ignore[index]
    given["settings"] |= settings or {}  # type: ignore[operator]
    for lane in given["settings"]["lanes"]:  # type: ignore[index]
        lane["name"] = (names or {}).get(lane["name"], lane["name"])
    config = parse_config(orjson.dumps(given), "test")
    logged: list[tuple[str, dict[str, Any]]] = []
    service = Service(
        config,
        lambda event, **fields: logged.append((event, fields)),
        lambda: parse_config(orjson.dumps(given), "test"),
    )
    service.loop.turn_hooks.append(lambda: check_idle_connections(service))
    thread = start_loop_thread(service)
    found = World(service, stand_ins, discovery, config, given, thread, logged)
    try:
        yield found
    finally:
        stop_broker(service, thread, (*stand_ins, discovery))
        assert not found.events("task_failed"), found.events("task_failed")


def pause(seconds: float) -> None:
    """For what must not happen meanwhile."""
    time.sleep(seconds)
