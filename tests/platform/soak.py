"""Seeded soak of brokers as processes: signals in series, failing nodes, clients that leave, hostile crowds.

    python -m tests.platform.soak --seeds 1-50 --jobs 4

Every request and every attempt is recorded by the clients and the stand-in nodes, and audited:

- lost: a request got no answer until half a second after its time, or its connection ended without one, although it
  was read (its parts reached a node) or the connection was new; a process that was killed outright is excused
- duplicate: a part of an unsafe class, or of an id that came again, ran twice
- left: an attempt began more than 0.1 s after its client had closed the connection
- told: an attempt told its node more time than its client had left, with 0.15 s of slack
- crash: a process ended by itself, or with an exit code other than 0 after SIGTERM, or passed its memory limit
"""

from __future__ import annotations

import argparse
import faulthandler
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from tests.broker.scripted import Client, until
from tests.platform.hostile_clients import ROOT, SHAPES, Crowd, HostileCrowd
from tests.platform.test_service import Process
from tests.platform.world import Call, Node, profile, request, row

LONGEST_DEADLINE = 2.0  # seconds, of the classes in `profile`
KILL_AFTER_TERM = LONGEST_DEADLINE + 0.7  # the earliest that the protocol page allows
ANSWER_GRACE = 0.5  # seconds after its time in which a late answer is not lost
LEFT_GRACE = 0.1  # seconds after its client left in which an attempt may begin
TOLD_SLACK = 0.15  # seconds
SOCKET_SLACK = 0.05  # seconds by which the protocol page lengthens every limit
MAX_LAG = 0.04  # seconds: what happened while the soak itself was held up longer is not judged
RESTART_PAUSE = 0.5  # seconds
# Without the newest shape, so that each seed plays what it did when its result was recorded.
CROWD_SHAPES = [name for name in SHAPES if name != "compressed bodies"]
CROWDED_FRACTION = 0.5  # of the descriptors: brokers keep the rest for nodes and discovery
# Ports that the system gives to no client, so that a restarted broker finds its own free.
FIRST_PORT, PORTS_PER_SEED, MAX_SEEDS = 20_000, 4, 3000
RUN_SECONDS = 10.0
MAX_EXTRA_SECONDS = 60.0  # for start and audit, after which a run ends with its stacks
KINDS = ("list", "move", "sum")  # idempotent, with a key, and unsafe
UNSAFE = "sum"


@dataclass
class Asked:
    """One request as its client saw it."""

    name: str
    kind: str
    broker: int
    remaining: float
    sent_at: float = 0.0
    is_new_connection: bool = True
    closed_at: float | None = None  # by the client
    came_again: bool = False  # the same id was sent once more after that
    ended_at: float | None = None
    status: int = 0
    end: str = "no answer"


@dataclass
class Ran:
    """One attempt as its node saw it."""

    part: str
    at: float
    told: float
    is_executed: bool


@dataclass
class Report:
    """What a run showed."""

    seed: int
    faults: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)


class LagMonitor:
    """Records when this process itself was held up: what it saw then is not judged."""

    def __init__(self) -> None:
        self.stalls: list[tuple[float, float]] = []
        self._over = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._over.is_set():
            begun = time.monotonic()
            time.sleep(0.005)
            ended = time.monotonic()
            if ended - begun > MAX_LAG:
                self.stalls.append((begun, ended))

    def stop(self) -> None:
        self._over.set()
        self._thread.join()

    def was_held_up(self, begin: float, end: float) -> bool:
        return any(first < end and last > begin for first, last in self.stalls)


class SoakNode(Node):
    """A node whose behaviour is drawn for each call, by the trouble in force."""

    def __init__(self, rng: random.Random, ran: list[Ran]) -> None:
        self.rng, self.ran = rng, ran
        self.trouble = "none"
        super().__init__(self.serve)

    def serve(self, call: Call) -> None:
        now = time.monotonic()
        kind = self.trouble if self.rng.random() < 0.7 else "none"
        for part, _, options, _ in call.parts:
            told = dict(each.split("=", 1) for each in options.split(","))["d"]
            self.ran.append(Ran(part, now, float(told) / 1000, kind != "reject"))
        if kind == "hang":
            return
        if kind == "reset":
            call.close(reset=True)
            return
        delay = self.rng.choice((0.0, 0.002, 0.02)) + (0.3 if kind == "slow" else 0.0)
        end = {"error": "ERROR", "reject": "REJECTED"}.get(kind, "OK")
        threading.Timer(delay, lambda: self.answer(call, end)).start()

    def answer(self, call: Call, end: str) -> None:
        with suppress(OSError):
            call.answer(value="" if end != "OK" else None, end=end)


class Broker:
    """One broker process, and when it was told to end or killed."""

    def __init__(
        self, folder: Path, number: int, port: int, shared: Process | None, **changes: Any
    ) -> None:
        self.process = Process(folder, shared, f"n{number}", port, **changes)
        self.killed_at: list[float] = []  # outright
        self.ended_at: list[float] = []  # after SIGTERM, by itself or by the kill
        self.is_down = False

    def peak_bytes(self) -> int:
        with suppress(OSError, StopIteration):
            status = Path(f"/proc/{self.process.process.pid}/status").read_text()
            line = next(each for each in status.splitlines() if each.startswith("VmHWM:"))
            return int(line.split()[1]) * 1024
        return 0


class Soak:
    """One run: everything in it follows from the seed, but for the times that the machine adds."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = rng = random.Random(seed)
        self.report = Report(seed)
        self.ran: list[Ran] = []
        self.asked: list[Asked] = []
        self.lag = LagMonitor()
        self.over = threading.Event()
        self.memory_mb = rng.choice((32, 32, 64, 192))
        self.is_full = False  # a crowd takes all connections: new ones may be shut unread then
        self.sockets = rng.choice((256, 384, 1024))
        self.brokers: list[Broker] = []
        self.nodes: list[SoakNode] = []
        self.crowds: list[HostileCrowd] = []
        self.folder = folder

    def start(self) -> None:
        """Start the brokers, and the nodes and discovery that they share."""
        settings = profile(**{"may-duplicate": self.rng.random() < 0.5})
        settings["lanes"][2]["idempotency"] = "at_most_once"
        limits = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets}
        changes = {"settings": settings, "limits": limits}
        port = FIRST_PORT + self.report.seed % MAX_SEEDS * PORTS_PER_SEED
        self.brokers.append(Broker(self.folder, 0, port, None, **changes))
        shared = self.brokers[0].process
        self._replace_nodes(shared)
        for number in range(1, self.rng.choice((1, 2, 3))):
            self.brokers.append(Broker(self.folder, number, port + number, shared, **changes))

    def _replace_nodes(self, process: Process) -> None:
        """The process was started with usual nodes: it learns of the soak's own by a change of the list."""
        self.nodes += [SoakNode(random.Random(self.rng.random()), self.ran) for _ in range(4)]
        rows = [row(node, number) for number, node in enumerate(self.nodes)]
        until(lambda: process.discovery.watches)
        for each in process.nodes:
            each.script = lambda call: call.answer(end="REJECTED", value="")
        process.discovery.rows = rows
        for each in rows:
            process.discovery.change(each)
        process.given["known"] = {"version": 3, "full": True, "servers": rows}
        process.write()
        process.nodes = list(self.nodes)

    # --- the run

    def run(self, seconds: float) -> Report:
        threads = [threading.Thread(target=self._ask_on, args=(number,)) for number in range(8)]
        threads += [threading.Thread(target=self._disturb, args=(seconds,))]
        self._make_crowds()
        for each in threads:
            each.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(0.1)
            self._check_processes()
        self.over.set()
        for each in threads:
            each.join(20.0)
        self.lag.stop()
        self._check_processes()
        self._audit()
        return self.report

    def _make_crowds(self) -> None:
        if self.rng.random() < 0.3:
            return
        for number, broker in enumerate(self.brokers):
            shape, count = self.rng.choice(CROWD_SHAPES), self.rng.choice((1, 5, 100, 400))
            crowd = Crowd(shape, count, self.rng.random() < 0.5, first_number=1000 * number)
            self.crowds.append(HostileCrowd(broker.process.listen, crowd))
            self.is_full |= count > self.sockets * CROWDED_FRACTION
            self.report.counts[f"crowd of {count}: {shape}"] += 1

    def close(self) -> None:
        """End all processes and stand-ins; also where a run failed."""
        for crowd in self.crowds:
            crowd.stop()
        for broker in self.brokers:
            broker.process.process.kill()
            broker.process.process.wait()
        shared = [self.brokers[0].process.discovery] if self.brokers else []
        for each in (*self.nodes, *shared):
            each.close()

    def _check_processes(self) -> None:
        for number, broker in enumerate(self.brokers):
            if broker.is_down:
                continue
            code = broker.process.process.poll()
            if code is not None:
                self.report.faults.append(f"crash: n{number} ended by itself with {code}")
                broker.is_down = True
            elif broker.peak_bytes() > self.memory_mb << 20:
                peak = broker.peak_bytes() / (1 << 20)
                self.report.faults.append(f"crash: n{number} {peak:.1f} MB of {self.memory_mb}")
                self.memory_mb = 1 << 20

    # --- what goes wrong

    def _disturb(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end - KILL_AFTER_TERM - RESTART_PAUSE:
            self.over.wait(self.rng.uniform(0.1, 0.8))
            broker = self.rng.choice(self.brokers)
            what = self.rng.choice(("term", "kill", "hup", "stop", "node", "node", "drain"))
            self.report.counts[what] += 1
            getattr(self, f"_do_{what}")(broker)

    def _do_term(self, broker: Broker) -> None:
        """A series of signals, and the kill as early as the protocol page allows."""
        process = broker.process.process
        broker.is_down = True
        if self.rng.random() < 0.5:
            self.rng.choice(self.nodes).trouble = "hang"
        process.send_signal(signal.SIGTERM)
        until = time.monotonic() + KILL_AFTER_TERM
        while time.monotonic() < until and process.poll() is None:
            time.sleep(0.02)
            if self.rng.random() < 0.05:
                process.send_signal(self.rng.choice((signal.SIGTERM, signal.SIGHUP)))
        if process.poll() is None:
            process.kill()
        elif process.returncode:
            self.report.faults.append(f"crash: exit code {process.returncode} after SIGTERM")
        broker.ended_at.append(time.monotonic())
        self._restart(broker)

    def _do_kill(self, broker: Broker) -> None:
        broker.is_down = True
        broker.killed_at.append(time.monotonic())
        broker.process.process.kill()
        self._restart(broker)

    def _restart(self, broker: Broker) -> None:
        broker.process.process.wait()
        time.sleep(RESTART_PAUSE)
        broker.process.start()
        broker.is_down = False

    def _do_hup(self, broker: Broker) -> None:
        for _ in range(self.rng.choice((1, 3))):
            broker.process.process.send_signal(signal.SIGHUP)

    def _do_stop(self, broker: Broker) -> None:
        """Held up for as long as the platform may hold a broker up."""
        broker.process.process.send_signal(signal.SIGSTOP)
        time.sleep(self.rng.uniform(0.02, 0.14))
        broker.process.process.send_signal(signal.SIGCONT)

    def _do_node(self, broker: Broker) -> None:
        node = self.rng.choice(self.nodes)
        node.trouble = self.rng.choice(("none", "none", "hang", "slow", "error", "reject", "reset"))

    def _do_drain(self, broker: Broker) -> None:
        """One of the two holders of each shard drains, and comes back."""
        number = self.rng.randrange(2)
        discovery = self.brokers[0].process.discovery
        for state in ("leaving", "active"):
            with suppress(OSError):
                discovery.change(row(self.nodes[number], number, state))
            time.sleep(0.3)

    # --- usual clients

    def _ask_on(self, number: int) -> None:
        rng = random.Random(self.report.seed * 100 + number)
        client, at, count = None, number, 0
        while not self.over.is_set():
            count += 1
            at %= len(self.brokers)
            asked = Asked(f"u{number}-{count}", rng.choice(KINDS), at, rng.choice((0.3, 1.0, 2.0)))
            client = self._ask(rng, asked, client)
            self.over.wait(rng.choice((0.0, 0.01, 0.05)))
            if client is None:
                at += 1

    def _ask(self, rng: random.Random, asked: Asked, client: Client | None) -> Client | None:
        """Send one request; a connection that ends before any answer is replaced once, if it was used before."""
        self.asked.append(asked)
        data = request(
            asked.kind,
            tuple(range(rng.choice((1, 2)))),
            x_txn=asked.name,
            x_remaining=f"{asked.remaining * 1000:.0f}m",
            idempotency_key=asked.name,
        )
        leaves_after = rng.uniform(0.0, 0.03) if rng.random() < 0.08 else None
        for _ in range(2):
            asked.is_new_connection = client is None
            try:
                client = client or self.brokers[asked.broker].process.client()
                asked.sent_at = time.monotonic()
                self._send(rng, client, data)
                if leaves_after is not None:
                    time.sleep(leaves_after)
                    client.sock.close()
                    asked.closed_at, asked.end = time.monotonic(), "left"
                    if rng.random() < 0.3:
                        self._ask_again(asked, data)
                    return None
                return self._read(asked, client)
            except OSError as error:
                asked.end = f"{type(error).__name__}"
            except EOFError:
                asked.end = "closed"
            if client is None:
                asked.end = "not connected"
                return None
            client.sock.close()
            is_used = not asked.is_new_connection and not client.data
            client = None
            if not is_used or asked.end == "TimeoutError":
                return None
        return None

    def _ask_again(self, asked: Asked, data: bytes) -> None:
        """The id of a request whose client left comes once more: it may run then if it never did."""
        asked.came_again = True
        with suppress(OSError, EOFError):
            again = self.brokers[asked.broker].process.client()
            again.sock.settimeout(asked.remaining + ANSWER_GRACE)
            again.sock.sendall(data)
            status = again.read().status
            again.sock.close()
            self.report.counts[f"again {status}"] += 1

    def _send(self, rng: random.Random, client: Client, data: bytes) -> None:
        """At once, or in two pieces."""
        cut = rng.randrange(len(data)) if rng.random() < 0.1 else 0
        client.sock.sendall(data[:cut])
        if cut:
            time.sleep(0.01)
        client.sock.sendall(data[cut:])

    def _read(self, asked: Asked, client: Client) -> Client | None:
        client.sock.settimeout(asked.remaining + ANSWER_GRACE + SOCKET_SLACK)
        answer = client.read()
        asked.ended_at, asked.status, asked.end = time.monotonic(), answer.status, "answered"
        if answer.headers.get("connection") == "close":
            client.sock.close()
            return None
        return client

    # --- the audit

    def _audit(self) -> None:
        by_name: dict[str, list[Ran]] = {}
        for each in self.ran:
            by_name.setdefault(each.part.rpartition(".")[0], []).append(each)
        for asked in self.asked:
            self.report.counts[f"{asked.end} {asked.status or ''}".strip()] += 1
            self._audit_request(asked, by_name.get(asked.name, []))
        self.report.counts["attempts"] = len(self.ran)

    def _audit_request(self, asked: Asked, ran: list[Ran]) -> None:
        fault = self._find_fault(asked, ran)
        if fault:
            self.report.faults.append(f"{fault}: {asked} {ran}")

    def _find_fault(self, asked: Asked, ran: list[Ran]) -> str:
        if self._is_lost(asked, ran):
            return "lost"
        executed = Counter(each.part for each in ran if each.is_executed)
        if asked.kind == UNSAFE and any(count > 1 for count in executed.values()):
            return "duplicate"
        for each in ran:
            if self.lag.was_held_up(asked.sent_at, each.at):
                continue
            left = asked.sent_at + asked.remaining - each.at
            if each.told > left + TOLD_SLACK + SOCKET_SLACK and not asked.came_again:
                return "told"
            has_left = asked.closed_at is not None and not asked.came_again
            if has_left and each.at > asked.closed_at + LEFT_GRACE + SOCKET_SLACK:
                return "left"
        return ""

    def _is_lost(self, asked: Asked, ran: list[Ran]) -> bool:
        if asked.end in ("answered", "left", "not connected"):
            return False
        broker = self.brokers[asked.broker]
        until_at = asked.sent_at + asked.remaining + ANSWER_GRACE
        if self.lag.was_held_up(asked.sent_at, until_at):
            return False
        begin = asked.sent_at - SOCKET_SLACK
        if any(begin <= at <= until_at for at in broker.killed_at):
            return False  # a kill takes what is open along
        if not ran and any(begin <= at <= until_at for at in broker.ended_at):
            return False  # it may have come after the process had ended
        return bool(ran) or (asked.is_new_connection and not self.is_full)


def run_seed(seed: int, seconds: float = RUN_SECONDS) -> Report:
    """Play one seed."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        try:
            soak.start()
            return soak.run(seconds)
        finally:
            soak.close()


def run_in_process(seed: int, seconds: float) -> tuple[int, str]:
    """Play one seed in a process of its own; returns its exit code and what it printed."""
    command = [sys.executable, "-m", "tests.platform.soak", "--seeds", str(seed)]
    command += ["--seconds", str(seconds)]
    with tempfile.TemporaryFile("w+") as output:
        code = subprocess.run(command, stdout=output, stderr=subprocess.STDOUT, cwd=ROOT).returncode
        output.seek(0)
        return code, output.read()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-50", help="one seed, or FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=RUN_SECONDS)
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    first, _, last = given.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if len(seeds) == 1:
        faulthandler.dump_traceback_later(given.seconds + MAX_EXTRA_SECONDS, exit=True)
        report = run_seed(seeds[0], given.seconds)
        print(f"seed {report.seed}: {len(report.faults)} faults, {dict(report.counts)}")
        for fault in report.faults[:10]:
            print("   ", fault)
        return bool(report.faults)
    with ThreadPoolExecutor(given.jobs) as pool:
        results = list(pool.map(lambda seed: run_in_process(seed, given.seconds), seeds))
    for _, text in results:
        print(text, end="")
    failed = sum(code != 0 for code, _ in results)
    print(f"{len(results) - failed} of {len(results)} seeds held")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
