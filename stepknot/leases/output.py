"""What a lease node gives to its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.leases.messages import VoterState


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram to another member, or to this broker itself."""

    receiver: str
    data: bytes
    after_save: bool  # to be sent once the voter's state is on disk (invariant 2)


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This broker holds the job's lease, and its first record is committed."""

    job: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This broker does not hold the job's lease any more."""

    job: str
    epoch: int
    reason: str


LeaseEvent = LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class NodeOutput:
    """To be carried out in this order: the save is started, datagrams are sent, events are logged."""

    datagrams: list[OutgoingDatagram]
    voter_state: VoterState | None  # has to be on disk before datagrams with `after_save` leave
    events: list[LeaseEvent]
