"""Connections to nodes against their number, on loopback: `stepknot.platform.nodes.Nodes` on the broker's own loop, one
connection to each of so many nodes, all of them one process that answers probes.

Descriptors and memory are this process's; what the kernel keeps for a socket is not in it. Idle upkeep is the sweep
over the connections, at the rate at which it runs, and beside it what the loop takes while nothing happens.
"""

from __future__ import annotations

import multiprocessing
import os
import resource
import selectors
import socket
import time
from collections.abc import Iterator

from scale_report import NODES, Effort, Finding, Gathered, Note, bytes_of, seconds_of

from stepknot.interface import Outcome
from stepknot.net.loop import Loop
from stepknot.nodes.transport import Load
from stepknot.platform import frames
from stepknot.platform.connection_pool import IDLE_FRACTION, ConnectionPool
from stepknot.platform.endpoint_list import NodeAddress
from stepknot.platform.nodes import Nodes

STREAMS = 32
CONNECT = 5.0  # seconds: one core is shared with the nodes here
IDLE = 30.0  # seconds for which nodes keep an idle connection
SWEEP = IDLE * (1 - IDLE_FRACTION) / 2  # seconds between two sweeps
BATCH = 200  # connections that are opened at once: fewer than a listener's backlog
QUIET = 0.5  # seconds of an idle loop
SWEEPS = 20
BESIDE = 128  # descriptors for all else
OPENED_IN = 30.0  # seconds, at the most


def serve(listener: socket.socket) -> None:
    """All nodes: answers each probe at once."""
    selector, answer = selectors.DefaultSelector(), frames.encode_frame(b"T", b"inflight=0")
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            if sock is listener:
                selector.register(sock.accept()[0], selectors.EVENT_READ)
            elif sock.recv(65536):
                sock.sendall(answer)
            else:
                selector.unregister(sock)
                sock.close()


class Broker:
    """The broker's side of it."""

    def __init__(self, port: int, count: int) -> None:
        self.loop = Loop()
        pool = ConnectionPool(
            self.loop, STREAMS, CONNECT, IDLE, count, lambda event, **fields: None
        )
        self.nodes = Nodes(pool, 1)
        self.names = [f"s{number}" for number in range(count)]
        addresses = [NodeAddress(name, "127.0.0.1", port) for name in self.names]
        self.nodes.update_addresses(addresses, is_snapshot=True)
        self.answered = self.failed = 0

    def open(self) -> Broker:
        """A connection to each node, with a probe answered on it."""
        for begin in range(0, len(self.names), BATCH):
            batch = self.names[begin : begin + BATCH]
            for name in batch:
                self.nodes.probe(name, self.on_probed)
            until = time.monotonic() + OPENED_IN
            while self.answered + self.failed < begin + len(batch) and time.monotonic() < until:
                self.loop.turn()
        if self.answered < len(self.names):
            raise RuntimeError(
                f"{self.answered} of {len(self.names)} connections came up, {self.failed} failed"
            )
        return self

    def on_probed(self, outcome: Outcome, load: Load) -> None:
        self.answered += outcome is Outcome.SERVED
        self.failed += outcome is not Outcome.SERVED

    def idle(self) -> None:
        until = time.monotonic() + QUIET
        self.loop.call_later(QUIET, lambda: None)
        while time.monotonic() < until:
            self.loop.turn()

    def sweeps(self) -> None:
        for _ in range(SWEEPS):
            self.nodes.pool.close_idle_too_long()

    def close(self) -> None:
        self.nodes.close()
        for _ in range(3):  # closed descriptors are let go of in a turn
            self.loop.call_later(0.0, lambda: None)
            self.loop.turn()


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def play(gathered: Gathered, port: int, count: int) -> None:
    size, broker = bytes_of(lambda: Broker(port, count).open())
    gathered.add("memory with the nodes' own", "bytes", count, size)
    broker.close()
    before, broker = descriptors(), Broker(port, count)
    gathered.add("opened, with a probe answered, CPU", "ms", count, seconds_of(broker.open) * 1e3)
    gathered.add("descriptors", "descriptors", count, descriptors() - before)
    gathered.add("idle, loop", "us/s", count, seconds_of(broker.idle) / QUIET * 1e6)
    swept = seconds_of(broker.sweeps) / SWEEPS
    gathered.add(f"idle, a sweep each {SWEEP:.1f} s", "us/s", count, swept / SWEEP * 1e6)
    gathered.add(
        "one look for room (Nodes.open)",
        "us",
        count,
        seconds_of(lambda: [broker.nodes.pool.count_open() for _ in range(SWEEPS)]) / SWEEPS * 1e6,
    )
    if broker.nodes.pool.count_open() != count:
        raise RuntimeError(f"{broker.nodes.pool.count_open()} of {count} connections are left")
    broker.close()


def measure(effort: Effort) -> Iterator[Finding]:
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    gathered = Gathered("connections", NODES)
    with socket.create_server(("127.0.0.1", 0), backlog=4 * BATCH) as listener:
        nodes = multiprocessing.get_context("fork").Process(
            target=serve, args=(listener,), daemon=True
        )
        nodes.start()
        try:
            for count in effort.sizes(50, 200, 500, 1000, 2000):
                if count + BESIDE > limit:
                    yield Note(
                        f"connections: not measured with {count}: they need {count + BESIDE} descriptors, and "
                        f"the limit (RLIMIT_NOFILE) is {limit}"
                    )
                    continue
                for _ in effort.seeds:
                    play(gathered, listener.getsockname()[1], count)
        finally:
            nodes.kill()
            nodes.join()
    if NODES + BESIDE > limit:
        yield Note(
            f"connections: {NODES} need {NODES + BESIDE} descriptors, and the limit here is {limit}"
        )
    yield from gathered.series("connections")
