"""Membership at size: many members' decisions, as they ship, on a virtual clock and a network that fails from a seed.

`Model` holds the truth: which processes run, stand still, or are cut off, and since when. `check` holds the members'
views against it. A run is determined by its arguments: the same ones give the same `trace`.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, Protocol

from stepknot.membership.model import MemberCount, MembershipSettings, Record, State, StateChange
from stepknot.membership.protocol import MembershipProtocol

Address = tuple[str, int]
SHORTEST, LONGEST = 0.0002, 0.002  # seconds on the way, when nothing is wrong


class Member(Protocol):
    """What is run here: `MembershipProtocol`, or one of the baselines."""

    @property
    def own(self) -> Record: ...
    def tick(self, now: float) -> None: ...
    def receive(self, now: float, data: bytes) -> None: ...
    def leave(self, now: float) -> None: ...
    def take(self) -> tuple[list[tuple[Address, bytes]], list[StateChange]]: ...
    def states(self) -> dict[str, State]: ...
    def count(self, now: float) -> MemberCount: ...


class Shipped(MembershipProtocol):
    """The decisions as they ship."""

    def states(self) -> dict[str, State]:
        return {name: record.state for name, record in self.table.records.items()}


Make = Callable[[MembershipSettings, Record, int], Member]


@dataclass(slots=True)
class Process:
    """The truth about one."""

    name: str
    address: Address
    member: Member
    started: float
    running: bool = True
    paused_until: float = -math.inf
    paused_since: float = math.inf
    waiting: list[bytes] = field(default_factory=list)  # unread while it stands still
    ended: float = math.inf
    left: bool = False
    sent: int = 0  # bytes
    apart_since: float = math.inf


@dataclass(slots=True)
class Network:
    """Loss, copies, delay: for each datagram. `cut(source, target)`: whether nothing goes that way."""

    loss: float = 0.0
    copies: float = 0.0
    late: float = 0.0  # share of datagrams that take up to a second, and so are overtaken
    cut: Callable[[str, str], bool] = lambda source, target: False


class Model:
    def __init__(
        self, size: int, seed: int, settings: MembershipSettings | None = None, make: Make = Shipped
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.make, self.network = make, Network()
        self.settings = settings or MembershipSettings()
        self.events: list[tuple[float, int, Callable[[], Any]]] = []
        self.count = 0
        self.processes: dict[str, Process] = {}
        self.by_address: dict[Address, Process] = {}
        self.log: list[tuple[float, str, StateChange]] = []
        self.epoch = 1000
        names = [f"b{number}" for number in range(size)]
        seeds = tuple(("127.0.0.1", 1 + number) for number in range(min(size, 3)))
        self.settings = MembershipSettings(
            **{each: getattr(self.settings, each) for each in MembershipSettings.__slots__}
            | {"seeds": seeds, "configured": size}
        )
        for number, name in enumerate(names):
            self.at(self.random.uniform(0, 1.0), self.starter(name, ("127.0.0.1", 1 + number)))

    # --- faults

    def starter(self, name: str, address: Address) -> Callable[[], Any]:
        return lambda: self.start(name, address)

    def start(self, name: str, address: Address | None = None, epoch: int | None = None) -> Process:
        old = self.processes.get(name)
        address = address or (old.address if old else ("127.0.0.1", 1 + len(self.by_address)))
        self.epoch += 1
        own = Record(
            name,
            *address,
            self.epoch if epoch is None else epoch,
            self.random.getrandbits(32),
            0,
            State.JOINING,
        )
        process = Process(
            name, address, self.make(self.settings, own, self.random.getrandbits(60)), self.now
        )
        self.processes[name] = self.by_address[address] = process
        self.tick(process)
        return process

    def kill(self, name: str) -> None:
        process = self.processes[name]
        process.running, process.ended = False, self.now

    def leave(self, name: str) -> None:
        process = self.processes[name]
        process.member.leave(self.now)
        process.left = True
        self.carry(process)
        self.at(self.now + 1.0, lambda: self.kill(name))

    def pause(self, name: str, seconds: float) -> None:
        process = self.processes[name]
        process.paused_until, process.paused_since = self.now + seconds, self.now
        self.at(process.paused_until, lambda: self.wake(process))

    def wake(self, process: Process) -> None:
        if process.running and self.now >= process.paused_until:
            process.paused_since = math.inf
            waiting, process.waiting = process.waiting, []
            for data in waiting:  # what lay in its buffer comes before its timers
                process.member.receive(self.now, data)
            self.tick(process, once=True)

    # --- time

    def at(self, when: float, what: Callable[[], Any]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what))

    def run(self, until: float) -> None:
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, what = heapq.heappop(events)
            what()
        self.now = until

    def steps(self, until: float, step: float = 0.25) -> Iterator[float]:
        """Run in steps, with a look after each."""
        while self.now < until:
            self.run(min(until, self.now + step))
            yield self.now

    def tick(self, process: Process, once: bool = False) -> None:
        if not process.running or self.by_address[process.address] is not process:
            return
        if self.now >= process.paused_until:
            process.member.tick(self.now)
            self.carry(process)
        if not once:
            self.at(
                self.now + self.settings.tick_interval * self.random.uniform(0.95, 1.05),
                lambda: self.tick(process),
            )

    def carry(self, process: Process) -> None:
        out, changes = process.member.take()
        self.log += [(self.now, process.name, change) for change in changes]
        for address, data in out:
            process.sent += len(data)
            self.send(process, address, data)

    def send(self, source: Process, address: Address, data: bytes) -> None:
        network, chance = self.network, self.random
        target = self.by_address.get(address)
        if (
            target is None
            or network.cut(source.name, target.name)
            or chance.random() < network.loss
        ):
            return
        for _ in range(2 if network.copies and chance.random() < network.copies else 1):
            late = 1.0 if network.late and chance.random() < network.late else LONGEST
            self.at(self.now + chance.uniform(SHORTEST, late), lambda: self.arrive(address, data))

    def arrive(self, address: Address, data: bytes) -> None:
        process = self.by_address[address]
        if not process.running:
            return
        if self.now < process.paused_until:
            if len(process.waiting) < 256:  # then the kernel drops
                process.waiting.append(data)
            return
        process.member.receive(self.now, data)
        self.carry(process)

    # --- what may be asked

    def up(self) -> list[Process]:
        return [each for each in self.processes.values() if each.running and not each.left]

    def views(self) -> dict[str, dict[str, State]]:
        return {each.name: each.member.states() for each in self.up()}

    def settled(self) -> bool:
        """Whether every running member holds exactly the running ones to be alive."""
        names = {each.name for each in self.up()}
        return all(
            {
                name
                for name, state in view.items()
                if state in (State.ALIVE, State.SUSPECT, State.JOINING)
            }
            == names
            and all(view[name] is State.ALIVE for name in names)
            for view in self.views().values()
        )

    def false_deaths(self) -> list[tuple[float, str, str]]:
        """When, at whom, of whom: deaths told first-hand of processes that were there all the time."""
        found = []
        for when, at, change in self.log:
            process = self.processes.get(change.name)
            if (
                change.new_state is State.DEAD
                and process is not None
                and process.ended > when
                and not process.left
                and (process.started < when - self.settings.dead_after)
            ):
                found.append((when, at, change.name))
        return found

    @property
    def trace(self) -> str:
        """A digest of all that any member came to hold, and when."""
        return blake2b(repr(self.log).encode(), digest_size=16).hexdigest()


def run_script(
    size: int,
    seed: int,
    seconds: float,
    script: Callable[[Model], Any],
    make: Make = Shipped,
    settings: MembershipSettings | None = None,
) -> Model:
    model = Model(size, seed, settings, make)
    script(model)
    model.run(seconds)
    return model
