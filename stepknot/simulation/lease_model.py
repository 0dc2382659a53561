"""Leases at size: the decisions as they ship, on a virtual clock, with clocks that drift, disks that are written
late or lost, processes that stand still or die, and links that fail, all from a seed.

The job counts: each record names the one before it, so a lost or doubled step shows in the history. That is taken where
records count, are carried out, and are acted on, not from anybody's word. The same arguments give the same `trace`.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from stepknot.leases import messages
from stepknot.leases.job import JobHandler
from stepknot.leases.node import LeaseNode
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter

FASTEST, SLOWEST = 0.0002, 0.002  # seconds on the way, when nothing is wrong
TICK = 0.05  # of a lease
DISK = 0.005  # seconds that a write takes at the most
LATE = 0.5  # seconds that a datagram is late at the most, where it is


class Breach(Exception):
    """What must never be."""


@dataclass(slots=True)
class Faults:
    loss: float = 0.0
    copies: float = 0.0
    late: float = 0.0
    cut: Callable[[str, str], bool] = lambda source, target: False


@dataclass
class Process:
    name: str
    birth: int
    node: LeaseNode
    rate: float  # of its clock
    running: bool = True
    paused_until: float = -math.inf
    waiting: list[bytes] = field(default_factory=list)
    writing: int = 0  # saves that are not on disk yet
    disk_free: float = -math.inf  # one is written after the other
    held_back: list[tuple[str, bytes]] = field(
        default_factory=list
    )  # until the disk has what was saved


class Fleet:
    def __init__(
        self,
        voters: int,
        clients: int,
        jobs: int,
        seed: int,
        lease: float = 2.0,
        drift: float = 0.05,
        astray: float = 0.0,
        period: float = 0.1,
        make_voter: type[LeaseVoter] = LeaseVoter,
    ) -> None:
        """`astray`: by so much clocks' rates differ beyond what the settings say."""
        self.random = random.Random(seed)
        self.now, self.count = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], Any]]] = []
        names = [f"b{number}" for number in range(voters + clients)]
        self.settings = LeaseSettings(tuple(names[:voters]), lease_seconds=lease, max_drift=drift)
        self.spread, self.period, self.make_voter = drift / 2 + astray, period, make_voter
        self.jobs = [f"job{number}" for number in range(jobs)]
        self.faults = Faults()
        self.disks: dict[str, messages.VoterState | None] = {
            name: messages.VoterState("stepknot", name, 1, {}, []) for name in names[:voters]
        }
        self.processes: dict[str, Process] = {}
        self.down: set[str] = set()  # for the members' view, which learns of it late
        self.committed: dict[str, dict[tuple[int, int], bytes]] = {name: {} for name in self.jobs}
        self.applied: dict[tuple[str, int, str], tuple[int, int]] = {}
        self.ever: dict[tuple[str, str], tuple[int, int]] = {}  # by any process under the name
        self.owned: dict[str, float] = dict.fromkeys(self.jobs, 0.0)  # when somebody last acted
        self.longest: float = 0.0  # without an owner
        self.overlaps = 0
        self.trail = blake2b(digest_size=16)
        self.check_clocks = astray == 0.0
        for name in names:
            self.start(name)

    # --- processes

    def start(self, name: str) -> None:
        birth = self.random.getrandbits(60)
        voter = None
        if name in self.settings.voters:
            voter = self.make_voter(name, self.settings, self.disks[name])
        works = {job: self.work(job, name, birth) for job in self.jobs}
        node = LeaseNode(
            ProcessId(name, birth),
            self.settings,
            voter,
            works,
            self.random.getrandbits(60),
            lambda other: other in self.processes and other not in self.down,
        )
        self.processes[name] = process = Process(
            name, birth, node, 1 + self.random.uniform(-1, 1) * self.spread
        )
        self.down.discard(name)
        self.tick(process)

    def work(self, job: str, name: str, birth: int) -> JobHandler:
        """The job's next record names the one before it; it is due about each `period`."""
        due = [0.0]

        def step(now: float, value: bytes) -> bytes | None:
            if now < due[0]:
                return None
            due[0] = now + self.period * self.random.uniform(0.5, 1.5)
            number, _, _ = msgspec.msgpack.decode(value) if value else (0, b"", 0)
            return msgspec.msgpack.encode(
                (number + 1, blake2b(value, digest_size=8).digest(), birth)
            )

        return JobHandler(
            step,
            lambda value, number, body: value,
            lambda held: self.carry_out(job, name, birth, held),
        )

    def kill(self, name: str, disk: bool = True) -> None:
        process = self.processes[name]
        process.running = False
        if not disk:
            self.disks[name] = None
        self.at(self.now + 2 * self.settings.lease_seconds, lambda: self.note_down(process))

    def note_down(self, process: Process) -> None:
        if self.processes[process.name] is process:
            self.down.add(process.name)

    def clock(self, process: Process) -> float:
        return self.now * process.rate

    def pause(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        process.paused_until = self.now + seconds
        self.at(process.paused_until, lambda: self.wake(process))

    def wake(self, process: Process) -> None:
        if process.running and self.now >= process.paused_until:
            waiting, process.waiting = process.waiting, []
            for data in waiting:
                process.node.receive(self.clock(process), data)
                self.carry(process)
            self.tick(process, once=True)

    # --- time and links

    def at(self, when: float, what: Callable[[], Any]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = until

    def tick(self, process: Process, once: bool = False) -> None:
        if not process.running:
            return
        if self.now >= process.paused_until:
            members = sorted(name for name in self.processes if name not in self.down)
            process.node.tick(self.clock(process), members)
            self.carry(process)
            self.look()
        if not once:
            self.at(self.now + TICK * self.settings.lease_seconds, lambda: self.tick(process))

    def carry(self, process: Process) -> None:
        self.note_commits(process)
        output = process.node.take_output()
        saved = output.voter_state
        if saved is not None:
            process.writing += 1
            process.disk_free = (
                max(process.disk_free, self.now) + self.random.uniform(0.1, 1.0) * DISK
            )
            self.at(process.disk_free, lambda: self.on_disk(process, saved))
        for each in output.datagrams:
            if each.after_save and process.writing:
                process.held_back.append((each.receiver, each.data))
            else:
                self.send(process, each.receiver, each.data)

    def on_disk(self, process: Process, saved: messages.VoterState) -> None:
        """One that dies before this forgets it; nobody was told."""
        if process.running:
            self.disks[process.name] = saved
            process.writing -= 1
            if not process.writing:
                held, process.held_back = process.held_back, []
                for to, data in held:
                    self.send(process, to, data)

    def send(self, source: Process, to: str, data: bytes) -> None:
        faults, chance = self.faults, self.random
        if to != source.name and (faults.cut(source.name, to) or chance.random() < faults.loss):
            return
        for _ in range(1 + (chance.random() < faults.copies)):
            late = LATE if chance.random() < faults.late else SLOWEST
            self.at(self.now + chance.uniform(FASTEST, late), lambda: self.arrive(to, data))

    def arrive(self, to: str, data: bytes) -> None:
        process = self.processes[to]
        if not process.running:
            return
        if self.now < process.paused_until:
            process.waiting.append(data)
            return
        process.node.receive(self.clock(process), data)
        self.carry(process)

    # --- what must hold

    def note_commits(self, process: Process) -> None:
        for job, view in process.node.jobs.items():
            held = view.candidate.committed
            if held is None or held.version in self.committed[job]:
                if held is not None and self.committed[job][held.version] != held.value:
                    raise Breach(f"{job}: two records count as {held.version}")
                continue
            history = self.committed[job]
            self.trail.update(f"{self.now} {job} {process.name} {held.version}\n".encode())
            before = max((version for version in history if version < held.version), default=None)
            last = history[before] if before is not None else b""
            parent = msgspec.msgpack.decode(held.value)[1] if held.value else b""
            if held.value != last and parent != blake2b(last, digest_size=8).digest():
                raise Breach(
                    f"{job}: {held.version} of {process.name} does not continue from {before}"
                )
            later = [version for version in history if version > held.version]
            if later and history[min(later)] != held.value:
                after = history[min(later)]
                if msgspec.msgpack.decode(after)[1] != blake2b(held.value, digest_size=8).digest():
                    raise Breach(
                        f"{job}: {held.version} counts, but {min(later)} does not continue from it"
                    )
            history[held.version] = held.value

    def carry_out(self, job: str, name: str, birth: int, held: messages.LedgerRecord) -> None:
        last = self.ever.get((name, job), (0, 0))
        if held.version < last:
            raise Breach(
                f"{name} carries out {held.version} of {job}, and before its restart it did {last}"
            )
        self.ever[name, job] = held.version
        newest = self.applied.get((name, birth, job), (0, 0))
        if held.version <= newest:
            raise Breach(f"{name} carries out {held.version} of {job} after {newest}")
        self.applied[name, birth, job] = held.version
        if self.committed[job].get(held.version, held.value) != held.value:
            raise Breach(f"{name} carries out a record of {job} that never counted: {held.version}")

    def look(self) -> None:
        """Who acts at this moment."""
        for job in self.jobs:
            acting = [
                each.name
                for each in self.processes.values()
                if each.running
                and self.now >= each.paused_until
                and each.node.jobs[job].candidate.may_act(self.clock(each))
            ]
            if len(acting) > 1:
                self.overlaps += 1
                if self.check_clocks:
                    raise Breach(f"{job} has two owners at {self.now:.3f}: {', '.join(acting)}")
            if acting:
                self.longest = max(self.longest, self.now - self.owned[job])
                self.owned[job] = self.now

    def settled(self) -> bool:
        """Every job has an owner, and all that run hold the same record."""
        for job in self.jobs:
            views = [each.node.jobs[job] for each in self.processes.values() if each.running]
            if not any(
                each.candidate.may_act(self.now) or each.candidate.committed for each in views
            ):
                return False
            if self.now - self.owned[job] > 2 * TICK * self.settings.lease_seconds:
                return False
        return True

    @property
    def trace(self) -> str:
        return self.trail.hexdigest()


def random_day(
    seed: int,
    voters: int = 5,
    clients: int = 7,
    jobs: int = 3,
    seconds: float = 40.0,
    astray: float = 0.0,
    make_voter: type[LeaseVoter] = LeaseVoter,
) -> Fleet:
    """Faults drawn from the seed, some kinds each time; then calm, by whose end all jobs have owners. Raises Breach."""
    chance = random.Random(seed)
    fleet = Fleet(
        voters, clients, jobs, chance.getrandbits(60), astray=astray, make_voter=make_voter
    )
    names = list(fleet.processes)
    kinds = chance.sample(
        ["loss", "late", "copies", "pause", "kill", "amnesia", "cut", "one-sided", "leave", "all"],
        chance.randint(2, 6),
    )
    lost_until = [0.0]

    def starter(name: str) -> Callable[[], None]:
        return lambda: fleet.start(name)

    def trouble() -> None:
        kind, name = chance.choice(kinds), chance.choice(names)
        long = chance.uniform(0.1, 3.0) * fleet.settings.lease_seconds
        if kind in ("loss", "late", "copies"):
            setattr(fleet.faults, kind, chance.uniform(0.0, 0.4))
            fleet.at(fleet.now + long, lambda: setattr(fleet.faults, kind, 0.0))
        elif kind == "pause":
            fleet.pause(name, long)
        elif kind in ("kill", "amnesia", "leave", "all"):
            dying = names if kind == "all" and chance.random() < 0.3 else [name]
            for each in dying:
                if not fleet.processes[each].running:
                    continue
                forgets = (
                    kind == "amnesia"
                    and each in fleet.settings.voters
                    and fleet.now > lost_until[0]
                )
                if (
                    forgets
                ):  # one at a time: with the majority's memory gone nothing can be promised
                    lost_until[0] = math.inf
                if kind == "leave":
                    process = fleet.processes[each]
                    process.node.leave(fleet.clock(process))
                    fleet.carry(process)
                fleet.kill(each, disk=not forgets)
                fleet.at(fleet.now + chance.uniform(0.01, 1.0) * long, starter(each))
        elif kind == "cut":
            small = set(chance.sample(names, chance.randint(1, len(names) // 2)))
            fleet.faults.cut = lambda source, target: (source in small) != (target in small)
        else:
            pairs = {
                (source, target) for source in names for target in names if chance.random() < 0.25
            }
            fleet.faults.cut = lambda source, target: (source, target) in pairs
        if kind in ("cut", "one-sided"):
            fleet.at(
                fleet.now + long, lambda: setattr(fleet.faults, "cut", lambda source, target: False)
            )
        if lost_until[0] == math.inf and all(
            each.node.voter is None or each.running and each.node.voter.recovery is None
            for each in fleet.processes.values()
        ):
            lost_until[0] = fleet.now

    at = 3.0
    while at < seconds:
        fleet.at(at, trouble)
        at += chance.expovariate(1 / 1.0)
    fleet.run(seconds)
    fleet.faults = Faults()
    for name, process in fleet.processes.items():
        if not process.running:
            fleet.start(name)
    fleet.run(seconds + 12 * fleet.settings.lease_seconds)
    if not fleet.settled():
        raise Breach(
            f"12 leases after the last trouble not every job has an owner: {fleet.owned} at {fleet.now}"
        )
    return fleet
