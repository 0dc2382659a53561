"""A broker's process whose large fleet is replaced at one moment; one thread plays all that the broker talks to.

The time of each call's arrival is exact to some milliseconds: no thread waits for another.
"""

from __future__ import annotations

import contextlib
import heapq
import itertools
import selectors
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import orjson

from tests.platform.test_service import Process
from tests.platform.test_watch_parser import HEAD, chunk
from tests.platform.world import answer, free_port, profile, request

NODES = 3200
REPLICAS = 3  # of each shard, two of which leave
REPLACED = 0.6  # of the nodes
PART_SECONDS = 0.04
CLIENTS = 60
THINK_SECONDS = 0.02
BEFORE_SECONDS, AFTER_SECONDS = 1.0, 1.5


class Peers:
    """Sockets and timers of one thread; `on_data` of a socket gets what is received there so far and keeps the rest."""

    def __init__(self) -> None:
        self.selector = selectors.DefaultSelector()
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.timers, (time.monotonic() + seconds, next(self.numbers), call))

    def listen(self, on_data: Callable[[socket.socket, bytes], bytes]) -> int:
        listener = socket.create_server(("127.0.0.1", 0), backlog=1024)

        def accept() -> None:
            self.add(listener.accept()[0], on_data)

        self.selector.register(listener, selectors.EVENT_READ, accept)
        return int(listener.getsockname()[1])

    def add(self, sock: socket.socket, on_data: Callable[[socket.socket, bytes], bytes]) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        kept = b""

        def read() -> None:
            nonlocal kept
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if data:
                kept = on_data(sock, kept + data)
            else:
                self.selector.unregister(sock)
                sock.close()

        self.selector.register(sock, selectors.EVENT_READ, read)

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            while self.timers and self.timers[0][0] <= now:
                heapq.heappop(self.timers)[2]()
            for key, _ in self.selector.select(0.001):
                key.data()

    def close(self) -> None:
        for key in list(self.selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]
        self.selector.close()


class ReplacedFleet:
    """The fleet, discovery and the clients. `lines`: a line for each change, else one for all of them."""

    def __init__(self, folder: Path, lines: bool) -> None:
        self.peers = Peers()
        self.leaving_parts: list[float] = []  # when each was received
        self.ports = {
            name: self.peers.listen(self.node(name)) for name in ("staying", "arriving", "leaving")
        }
        self.watch: socket.socket | None = None
        self.discovery_port = self.peers.listen(self.discover)
        self.asked = self.answered = 0
        chosen = [number for number in range(NODES) if number % REPLICAS < REPLICAS - 1]
        self.replaced = chosen[: int(NODES * REPLACED)]
        self.stream = self.changes(lines)
        self.broker = FleetBroker(folder, self)

    def row(self, name: str, number: int, state: str = "active") -> dict[str, Any]:
        return {
            "id": f"{name[0]}-{number:08x}",
            "addr": f"127.0.0.1:{self.ports[name]}",
            "zone": "a",
            "kind": "m",
            "cell": number,
            "state": state,
            "weight": 1.0,
            "started_ms": int(time.time() * 1000) if name == "arriving" else 0,
        }

    def rows(self) -> list[dict[str, Any]]:
        replaced = set(self.replaced)
        names = ("staying", "leaving")
        return [self.row(names[number in replaced], number) for number in range(NODES)]

    def changes(self, lines: bool) -> bytes:
        rows: Iterator[dict[str, Any]] = itertools.chain.from_iterable(
            (self.row("arriving", number), self.row("leaving", number, "leaving"))
            for number in self.replaced
        )
        batches = [[each] for each in rows] if lines else [list(rows)]
        messages = [
            orjson.dumps({"version": version, "full": False, "servers": batch}) + b"\n"
            for version, batch in enumerate(batches, 11)
        ]
        return b"".join(chunk(each) for each in messages)

    def discover(self, sock: socket.socket, data: bytes) -> bytes:
        line = orjson.dumps({"version": 10, "full": False, "servers": []}) + b"\n"
        sock.sendall(HEAD + chunk(line))
        self.watch = sock
        return b""

    def node(self, name: str) -> Callable[[socket.socket, bytes], bytes]:
        def receive(sock: socket.socket, data: bytes) -> bytes:
            at = time.monotonic()
            while len(data) >= 4 and len(data) >= 4 + (size := int.from_bytes(data[:4], "little")):
                letter, rest, data = data[4:5], data[5 : 4 + size], data[4 + size :]
                if letter == b"R":
                    self.answer_later(sock, rest.partition(b" ")[0].decode())
                    self.leaving_parts += [at] if name == "leaving" else []
            return data

        return receive

    def answer_later(self, sock: socket.socket, part: str) -> None:
        self.peers.after(PART_SECONDS, lambda: self.send(sock, answer(part, "v")))

    def send(self, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):  # the broker closed it
            sock.sendall(data)

    def add_client(self) -> None:
        sock = socket.create_connection(self.broker.listen)

        def ask() -> None:
            self.asked += 1
            shards = tuple((self.asked * 271 + step) % NODES for step in range(3))
            self.send(sock, request("list", shards, x_txn=f"q{self.asked}", x_remaining="6000m"))

        def receive(_: socket.socket, data: bytes) -> bytes:
            head, end, body = data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0] or 0)
            if not end or len(body) < length:
                return data
            self.answered += head.startswith(b"HTTP/1.1 200")
            self.peers.after(THINK_SECONDS, ask)
            return b""

        self.peers.add(sock, receive)
        ask()

    def replace(self) -> list[float]:
        """Let all changes come; returns when parts came to leaving nodes, in seconds after the last byte."""
        for _ in range(CLIENTS):
            self.add_client()
        self.peers.run(BEFORE_SECONDS)
        assert self.watch is not None and self.leaving_parts
        self.watch.setblocking(False)
        rest = memoryview(self.stream)
        while rest:
            try:
                rest = rest[self.watch.send(rest) :]
            except BlockingIOError:
                self.peers.run(0.001)
        told = time.monotonic()
        answered = self.answered
        self.peers.run(AFTER_SECONDS)
        assert self.answered > answered + CLIENTS
        return [at - told for at in self.leaving_parts if at > told]

    def close(self) -> None:
        self.broker.process.kill()
        self.broker.process.communicate()
        self.peers.close()


class FleetBroker(Process):
    """The broker's process, which knows the fleet from its start."""

    def __init__(self, folder: Path, fleet: ReplacedFleet) -> None:
        self.nodes = []
        self.listen = ("127.0.0.1", free_port())
        self.file = folder / "n0.json"
        settings = profile(**{"max-attempts": 4})
        settings["family-info"] |= {"cells": NODES, "ranges": NODES, "span": REPLICAS}
        for each in settings["lanes"]:
            each |= {"slo-ns": 3e9, "deadline-ns": 6e9}
        self.given = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": f"127.0.0.1:{fleet.discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 3, "full": True, "servers": fleet.rows()},
            "settings": settings,
        }
        self.write()
        self.start()
