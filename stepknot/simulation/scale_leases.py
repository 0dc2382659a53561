"""Leases on a simulated member: the classes that ship, by datagrams of the member's own socket.

Simulated are a voter's disk, which is memory, and the jobs, which do nothing: a simulated owner holds a job's lease and
its ledger, and takes no order. A voter that crashed stays away, as its memory is lost with it.
"""

from __future__ import annotations

from stepknot.broker.membership_driver import MembershipDriver
from stepknot.leases import rolling_drains
from stepknot.leases.job import JobHandler
from stepknot.leases.messages import DATAGRAM_MARK, LedgerRecord, VoterState
from stepknot.leases.node import LeaseNode
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.model import State
from stepknot.net.loop import Loop

TICK = 0.05  # of a lease, as real brokers have it
FIRST_LIFE = 1


def refuse(value: bytes, number: str, body: bytes) -> bytes:
    raise ValueError("a simulated member takes no orders")


def idle(now: float, value: bytes) -> bytes | None:
    return None


def apply(held: LedgerRecord) -> None:
    """There is nothing to apply it to."""


class SimulatedOwner:
    def __init__(
        self, loop: Loop, member: MembershipDriver, settings: LeaseSettings, seed: int
    ) -> None:
        self.loop, self.member = loop, member
        name = member.protocol.own.name
        voter = (
            LeaseVoter(name, settings, VoterState(settings.fleet, name, FIRST_LIFE, {}, []))
            if (name in settings.voters)
            else None
        )
        self.node = LeaseNode(
            ProcessId(name, seed & (2**62 - 1)),
            settings,
            voter,
            {rolling_drains.JOB_NAME: JobHandler(idle, refuse, apply)},
            seed,
            self.is_member,
        )
        self.sent = 0  # bytes to others
        member.other_protocols[DATAGRAM_MARK] = self.on_datagram
        self.every = TICK * settings.lease_seconds
        self.timer = loop.call_later(0.0, self.tick)

    def is_member(self, name: str) -> bool:
        record = self.member.protocol.table.present.get(name)
        return record is not None and record.state is not State.SUSPECT

    def tick(self) -> None:
        here = self.member.protocol.table.present
        self.node.tick(
            self.loop.clock(), [name for name, each in here.items() if each.state is State.ALIVE]
        )
        self.carry()
        self.timer = self.loop.call_later(self.every, self.tick)

    def on_datagram(self, data: bytes) -> None:
        self.node.receive(self.loop.clock(), data)
        self.carry()

    def carry(self) -> None:
        """What waits for the disk need not: memory has it."""
        for datagram in self.node.take_output().datagrams:
            to, data = datagram.receiver, datagram.data
            if to == self.node.process.name:
                self.loop.call_later(0.0, lambda data=data: self.on_datagram(data))  # type: ignore[misc]
            elif self.member.send_to(to, data):
                self.sent += len(data)

    def owns(self) -> bool:
        return self.node.jobs[rolling_drains.JOB_NAME].candidate.may_act(self.loop.clock())

    def end(self) -> None:
        self.timer.cancel()
