"""The output of a lease node, which its driver carries out."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.leases.messages import Message, VoterState, encode
from stepknot.leases.settings import ProcessId


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram to another member, or to this broker itself."""

    receiver: str
    data: bytes
    after_save: bool  # to be sent only once the voter's state is on disk (invariant 2)


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """This broker holds the job's lease, and the first record of its epoch is committed."""

    job: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This broker no longer holds the job's lease."""

    job: str
    epoch: int
    reason: str


LeaseEvent = LeaseAcquired | LeaseLost


@dataclass(frozen=True, slots=True)
class NodeOutput:
    """What to carry out, in this order: start the save, send the datagrams, log the events."""

    datagrams: list[OutgoingDatagram]
    voter_state: VoterState | None  # has to be on disk before datagrams with `after_save` are sent
    events: list[LeaseEvent]


class NodeOutbox:
    """Collects datagrams and events until the driver takes them."""

    def __init__(self, fleet: str, process: ProcessId) -> None:
        """Create an empty outbox; its datagrams carry this fleet and this process as their sender."""
        self._fleet = fleet
        self._process = process
        self._datagrams: list[OutgoingDatagram] = []
        self.events: list[LeaseEvent] = []

    def send(self, receiver: str, message: Message, *, after_save: bool = False) -> None:
        """Add a datagram. The receiver may be this broker itself; the driver delivers those datagrams, too."""
        data = encode(self._fleet, self._process, message)
        self._datagrams.append(OutgoingDatagram(receiver, data, after_save))

    def take(self, voter_state: VoterState | None) -> NodeOutput:
        """Return what was collected since the last call, with the voter's state to be saved."""
        output = NodeOutput(self._datagrams, voter_state, self.events)
        self._datagrams = []
        self.events = []
        return output
