"""Many simulated members in one process and on one loop: `python -m stepknot.simulation.scale_members SPEC.json`.

Each is the membership that ships (`MembershipDriver`) with a socket of its own on loopback, and ownership where
there are voters (`scale_leases`); it stands for a broker's control and for nothing else. Simulated are the way its
process ends (the socket closes without a word) and a cut of the network: members inside it drop all that they send to,
or receive from, whoever is not.

Control is HTTP on loopback; the first line on standard output tells its port. Ends on SIGTERM, or when its parent does.
"""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable, Generator
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from stepknot.broker.membership_driver import MembershipDriver
from stepknot.config.membership import Peers
from stepknot.leases.settings import LeaseSettings
from stepknot.membership.model import MembershipSettings, State
from stepknot.net.connection import Connection
from stepknot.net.datagrams import Datagrams
from stepknot.net.errors import HttpError
from stepknot.net.http import HttpLimits, Request, Response
from stepknot.net.loop import Loop
from stepknot.net.server import Server
from stepknot.net.tasks import Park
from stepknot.simulation.scale_leases import SimulatedOwner

Address = tuple[str, int]
PARENT_LOOK = 1.0  # seconds between two looks whether the parent is there


class MembersSpec(msgspec.Struct, frozen=True):
    host: str  # the loopback address of their sockets
    names: list[str]
    seeds: list[Address]
    configured: int
    period: float
    pause: float
    tombstone: float
    rate: int  # bytes a second
    start_within: float  # seconds over which they start
    voters: list[str]  # of ownership; none: no member takes part in it
    seed: int

    def settings(self) -> MembershipSettings:
        return MembershipSettings(
            seeds=tuple(self.seeds),
            configured=self.configured,
            period=self.period,
            pause=self.pause,
            tombstone=self.tombstone,
            rate=float(self.rate),
            burst=8.0 * self.rate,
        )


class MembersState(msgspec.Struct, frozen=True):
    """`settled`: members outside of a cut whose view holds exactly as many alive as was asked, and no doubtful one."""

    running: int
    outside: int
    settled: int
    addresses: dict[str, Address]
    sent: int  # bytes, of those that run
    kept_back: int
    cpu: float  # seconds, of this process
    resident: int  # bytes, of this process
    owner_sent: int  # bytes of ownership, of those that run
    owns: list[str]  # who holds the job now
    deaths: dict[str, int]  # at how many members each was ever held dead here


class Crash(msgspec.Struct, frozen=True):
    names: list[str]


class Cut(msgspec.Struct, frozen=True):
    """Who is inside; nobody: the cut is healed."""

    inside: list[Address]


class Cuts:
    """The cut, if there is one, as all sockets of this process see it."""

    def __init__(self) -> None:
        self.inside: set[Address] = set()

    def drops(self, own: Address, other: Address) -> bool:
        return own in self.inside and other not in self.inside


class CutDatagrams(Datagrams):
    def __init__(
        self,
        loop: Loop,
        sock: Any,
        on_datagram: Callable[[tuple[Any, ...], bytes], None],
        cuts: Cuts,
    ) -> None:
        super().__init__(loop, sock, self.receive)
        self.cuts, self.take = cuts, on_datagram
        self.own: Address = (self.address[0], self.address[1])

    def receive(self, source: tuple[Any, ...], data: bytes) -> None:
        if not self.cuts.drops(self.own, (source[0], source[1])):
            self.take(source, data)

    def send(self, address: Address, data: bytes) -> None:
        if not self.cuts.drops(self.own, address):
            super().send(address, data)


class CutLoop(Loop):
    """A loop whose datagrams pass the cut."""

    def __init__(self, seed: int) -> None:
        super().__init__(rng=random.Random(seed))
        self.cuts = Cuts()

    def datagrams(
        self, host: str, port: int, on_datagram: Callable[[tuple[Any, ...], bytes], None]
    ) -> Datagrams:
        return CutDatagrams(self, self.network.datagrams(host, port), on_datagram, self.cuts)


class MembersHost:
    def __init__(self, spec: MembersSpec) -> None:
        self.spec, self.loop = spec, CutLoop(spec.seed)
        self.members: dict[str, MembershipDriver] = {}
        self.owners: dict[str, SimulatedOwner] = {}
        self.deaths: Counter[str] = Counter()
        self.control = Server(
            self.loop,
            "127.0.0.1",
            0,
            self.on_control,
            HttpLimits(idle=600.0, first_byte=600.0),
            http_error,
        )
        self.parent = os.getppid()
        self.loop.call_later(PARENT_LOOK, self.look_for_parent)

    def look_for_parent(self) -> None:
        if os.getppid() != self.parent:
            self.loop.stop()
        self.loop.call_later(PARENT_LOOK, self.look_for_parent)

    # --- control

    def on_control(
        self, request: Request, connection: Connection
    ) -> Generator[Park, Any, Response]:
        yield from ()
        match request.path:
            case "/start":
                self.start()
            case "/crash":
                for name in msgspec.json.decode(request.body, type=Crash).names:
                    self.crash(name)
            case "/cut":
                self.loop.cuts.inside = set(msgspec.json.decode(request.body, type=Cut).inside)
            case "/state":
                return Response(
                    200, msgspec.json.encode(self.state(int(request.query.get("size", "0"))))
                )
            case _:
                return Response(404, b"{}")
        return Response(200, b"{}")

    def start(self) -> None:
        for name in self.spec.names:
            self.loop.call_later(
                self.loop.rng.uniform(0, self.spec.start_within),
                partial(self.start_member, name),
            )

    def start_member(self, name: str) -> None:
        self.members[name] = MembershipDriver(
            self.loop,
            Peers(name, (self.spec.host, 0), None, self.spec.settings()),
            self.loop.rng.getrandbits(62),
            lambda count: None,
            self.log,
        )
        if self.spec.voters:
            self.owners[name] = SimulatedOwner(
                self.loop,
                self.members[name],
                LeaseSettings(tuple(self.spec.voters)),
                self.loop.rng.getrandbits(62),
            )

    def log(self, event: str, **fields: Any) -> None:
        if event == "member_state_changed" and fields["new_state"] == "dead":
            self.deaths[fields["member"]] += 1

    def crash(self, name: str) -> None:
        member, owner = self.members.pop(name), self.owners.pop(name, None)
        if owner is not None:
            owner.end()
        member.timer.cancel()
        member.socket.close()

    def state(self, size: int) -> MembersState:
        outside = [
            each for each in self.members.values() if own_address(each) not in self.loop.cuts.inside
        ]
        counters = [each.protocol.counters for each in self.members.values()]
        return MembersState(
            len(self.members),
            len(outside),
            sum(holds(each, size) for each in outside),
            {name: own_address(each) for name, each in self.members.items()},
            sum(each["bytes"] for each in counters),
            sum(each["kept back"] for each in counters),
            time.process_time(),
            resident(os.getpid()),
            sum(each.sent for each in self.owners.values()),
            [name for name, each in self.owners.items() if each.owns()],
            dict(self.deaths),
        )


def own_address(member: MembershipDriver) -> Address:
    return member.protocol.own.address


def holds(member: MembershipDriver, size: int) -> bool:
    counts = member.protocol.table.counts
    return counts[State.ALIVE] == size and not counts[State.SUSPECT] and not counts[State.JOINING]


def resident(process: int) -> int:
    """Bytes of memory that a process has."""
    pages = int(Path(f"/proc/{process}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def http_error(error: HttpError) -> Response:
    return Response(error.status, b"{}")


def main(path: str) -> None:
    host = MembersHost(msgspec.json.decode(Path(path).read_bytes(), type=MembersSpec))
    host.loop.on_signal(host.loop.stop, signal.SIGTERM, signal.SIGINT)
    print(f'{{"control": {host.control.port}}}', flush=True)
    host.loop.run()


if __name__ == "__main__":
    main(sys.argv[1])
