"""What admission costs and gives: `python bench/admission.py [--seconds N] [--json FILE]`.

One broker with stand-in boxes (canned answers) and a lowered descriptor limit. A known and an ordinary client ask at a
steady pace before, during and after a flood of connections from one address, with admission and without. All on
loopback; times of one run are to be compared with each other only. Beside it: the CPU of a rejection, and the module's
memory at many addresses.
"""

from __future__ import annotations

import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import orjson
from harness import cpu_of, memory_of, processes

from stepknot.admission.controller import AdmissionController
from stepknot.admission.model import AdmissionSettings
from stepknot.simulation.fleet import settings_text
from stepknot.simulation.ports import reserve_ports

FOLDER = Path(__file__).parent
BOXES = 4
KNOWN, ORDINARY, FLOOD = "127.0.9.1", "127.0.0.5", "127.0.0.66"
PACE = 0.02  # seconds between a client's queries
BLOCK = '  per_address = 64\n  per_v4_24 = 100000\n  rate = 200\n  listed = ["127.0.9.0/24"]\n  connections = 0'
QUERY = orjson.dumps({"query": {"match": {"title": "go"}}, "_source": False, "size": 10})
REQUEST = (
    b"POST /reports/_search HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    % len(QUERY)
) + QUERY


@contextmanager
def running(admission: str, limit: int) -> Iterator[tuple[int, int, int]]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        port, graph, admin, *ports = reserve_ports(3 + BOXES)
        (folder / "broker.hcl").write_text(
            settings_text(
                port=port,
                graph=graph,
                admin=admin,
                instances=1,
                cells=BOXES,
                shards=4,
                admission=admission,
            )
        )
        (folder / "boxes.json").write_bytes(
            orjson.dumps(
                {
                    "boxes": [
                        {"address": f"127.0.0.1:{each}", "cell": place}
                        for place, each in enumerate(ports)
                    ]
                }
            )
        )
        words = [
            sys.executable,
            "-m",
            "stepknot",
            "serve",
            str(folder / "broker.hcl"),
            "--log-level",
            "error",
        ]
        with processes(
            words, ports, 1.0, lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
        ) as pid:
            yield port, admin, pid


def exchange(sock: socket.socket, data: bytes) -> int:
    """The status; 0 where no answer came."""
    try:
        sock.sendall(data)
        got = b""
        while b"\r\n\r\n" not in got:
            chunk = sock.recv(1 << 16)
            if not chunk:
                return 0
            got += chunk
        head, _, body = got.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
        while len(body) < length:
            chunk = sock.recv(1 << 16)
            if not chunk:
                return 0
            body += chunk
        return int(head[9:12])
    except OSError:
        return 0


@dataclass
class Asker:
    """A client that connects for each query, at a steady pace, and notes how it fared in each phase."""

    port: int
    address: str
    phase: str = "before"
    stopped: bool = False
    took: dict[str, list[float]] = field(default_factory=dict)
    good: Counter[str] = field(default_factory=Counter)

    def run(self) -> None:
        while not self.stopped:
            phase, begun = self.phase, time.perf_counter()
            status = 0
            try:
                with socket.create_connection(
                    ("127.0.0.1", self.port), 2.0, (self.address, 0)
                ) as sock:
                    status = exchange(sock, REQUEST)
            except OSError:
                pass
            self.took.setdefault(phase, []).append(time.perf_counter() - begun)
            self.good[phase] += status == 200
            time.sleep(max(0.0, PACE - (time.perf_counter() - begun)))

    def figures(self, phase: str) -> dict[str, float]:
        took = sorted(self.took.get(phase, [0.0]))
        return {
            "service": self.good[phase] / len(took),
            "p50_ms": 1000 * took[len(took) // 2],
            "p99_ms": 1000 * took[int(len(took) * 0.99)],
            "queries": len(took),
        }


class Flood:
    """Connections from one address, each with a request, many of them kept open, as fast as they come."""

    def __init__(self, port: int) -> None:
        self.port, self.stopped = port, False
        self.came: Counter[int] = Counter()

    def run(self) -> None:
        kept: list[socket.socket] = []
        while not self.stopped:
            try:
                sock = socket.create_connection(("127.0.0.1", self.port), 0.5, (FLOOD, 0))
                self.came[exchange(sock, REQUEST)] += 1
            except OSError:
                self.came[-1] += 1
                continue
            kept.append(sock)
            if len(kept) > 2000:
                kept.pop(0).close()
        for sock in kept:
            sock.close()


def episode(admission: str, limit: int, seconds: float) -> dict[str, Any]:
    with running(admission, limit) as (port, _, pid):
        askers = [Asker(port, KNOWN), Asker(port, ORDINARY)]
        threads = [threading.Thread(target=each.run) for each in askers]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        # Processes of their own: what the askers see is not to be what the flood takes of their interpreter.
        words = [sys.executable, __file__, "--flood", str(port), "--seconds", str(2 * seconds)]
        floods = [subprocess.Popen(words, stdout=subprocess.PIPE) for _ in range(2)]
        for each in floods:
            assert each.stdout is not None
            each.stdout.readline()
        for asker in askers:
            asker.phase = "during"
        cpu = cpu_of(pid)
        time.sleep(2 * seconds)
        cpu = cpu_of(pid) - cpu
        came: Counter[str] = Counter()
        for each in floods:
            came.update(orjson.loads(each.communicate()[0]))
        ended = time.monotonic()
        for asker in askers:
            asker.phase = "after"
        back = recovered(port) - ended
        time.sleep(seconds)
        for asker in askers:
            asker.stopped = True
        for thread in threads:
            thread.join()
        return {
            "flood": dict(came),
            "cpu_during": cpu,
            "seconds_to_normal": max(0.0, back),
            **{
                name: {phase: asker.figures(phase) for phase in ("before", "during", "after")}
                for name, asker in zip(("known", "ordinary"), askers, strict=True)
            },
        }


def flood(port: int, seconds: float) -> None:
    """A process of the flood: says when it begins, and at its end what it saw."""
    threads = [Flood(port) for _ in range(2)]
    running = [threading.Thread(target=each.run) for each in threads]
    print("begun", flush=True)
    for thread in running:
        thread.start()
    time.sleep(seconds)
    for each in threads:
        each.stopped = True
    for thread in running:
        thread.join()
    came: Counter[int] = sum((each.came for each in threads), Counter())
    print(orjson.dumps({str(key): count for key, count in came.items()}).decode())


def recovered(port: int) -> float:
    """When the flood's address itself is served again."""
    until = time.monotonic() + 60
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port), 2.0, (FLOOD, 0)) as sock:
                if exchange(sock, REQUEST) == 200:
                    return time.monotonic()
        except OSError:
            pass
        time.sleep(0.05)
    return until


def rejections(times: int) -> dict[str, float]:
    """CPU of the broker for each rejected connection: the address has its slots, and asks for more."""
    with running(BLOCK.replace("rate = 200", "rate = 100000"), 1024) as (port, _, pid):
        held = [socket.create_connection(("127.0.0.1", port), 2.0, (FLOOD, 0)) for _ in range(64)]
        assert {exchange(sock, REQUEST) for sock in held} == {200}
        cpu, idle = cpu_of(pid), time.monotonic()
        came: Counter[int] = Counter()
        for _ in range(times):
            with socket.create_connection(("127.0.0.1", port), 2.0, (FLOOD, 0)) as sock:
                came[exchange(sock, REQUEST)] += 1
        spent, passed = cpu_of(pid) - cpu, time.monotonic() - idle
        cpu = cpu_of(pid)
        time.sleep(1.0)
        resting = (cpu_of(pid) - cpu) * passed  # what it takes while nobody comes
        assert came == {429: times}, came
        return {"cpu_us": 1e6 * (spent - resting) / times}


def module(addresses: int) -> dict[str, float]:
    """The decisions alone: their time, and their memory at many addresses."""
    admission = AdmissionController(AdmissionSettings(), 1000)
    begun = time.process_time()
    for number in range(100_000):
        admission.on_connection(number / 10_000, number, (number % 7).to_bytes(4))
        if number >= 200:
            admission.on_connection_closed(number - 200)
    took = (time.process_time() - begun) / 100_000
    admission = AdmissionController(AdmissionSettings(), 1000)
    sizes = []
    for number in range(addresses):
        address = number.to_bytes(4)
        admission.on_connection(number / 10_000, number, address)
        admission.reputation.reward(number / 10_000, address)
        admission.on_connection_closed(number)
        if number + 1 in (min(20_000, addresses), addresses):
            sizes.append(memory_of(os.getpid()))
    return {"decide_us": 1e6 * took, "first": sizes[0], "last": sizes[-1]}


@click.command()
@click.option(
    "--seconds",
    type=float,
    default=4.0,
    show_default=True,
    help="Before and after; the flood lasts twice.",
)
@click.option("--addresses", type=int, default=1_000_000, show_default=True)
@click.option(
    "--json", "out", type=click.Path(path_type=Path), help="Write the figures here as well."
)
@click.option("--flood", "at", type=int, hidden=True, help="Be a flood against this port.")
def main(seconds: float, addresses: int, out: Path | None, at: int | None) -> None:
    if at is not None:
        flood(at, seconds)
        return
    found: dict[str, Any] = {"rejection": rejections(5000), "module": module(addresses)}
    for name, text in (("with", BLOCK), ("without", "  enabled = false")):
        found[name] = episode(text, 512, seconds)
    for name in ("with", "without"):
        row = found[name]
        click.echo(
            f"{name} admission: the flood saw {row['flood']}, {row['cpu_during']:.1f} s of CPU, its address is "
            f"served again after {row['seconds_to_normal']:.2f} s"
        )
        for who in ("known", "ordinary"):
            before = row[who]["before"]["p99_ms"]
            for phase in ("before", "during", "after"):
                each = row[who][phase]
                click.echo(
                    f"  {who:<9} {phase:<7} service {each['service']:.3f}  p50 {each['p50_ms']:7.1f} ms  "
                    f"p99 {each['p99_ms']:7.1f} ms  ({each['p99_ms'] / before:.2f} of before)"
                )
    click.echo(
        f"a rejected connection: {found['rejection']['cpu_us']:.0f} us of CPU (aim: under 60)"
    )
    row = found["module"]
    click.echo(
        f"the module: {row['decide_us']:.1f} us a connection; from 20,000 to {addresses} distinct addresses "
        f"this process grew by {(row['last'] - row['first']) // 1024} KB"
    )
    if out is not None:
        out.write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))


if __name__ == "__main__":
    main()
