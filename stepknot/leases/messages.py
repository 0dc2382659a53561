"""Messages between brokers about leases, the voter's stored state, and their encoding (MessagePack).

All structs are encoded as arrays: the order of the fields is the format, and names are not sent. A datagram of leases
is an array of five elements and one of membership an array of four, so a socket that receives both can distinguish
them by the first byte.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stepknot.leases.settings import ProcessId
from stepknot.membership.wire import decode_envelope

VERSION = 1
MAX_VALUE_BYTES = 900  # maximum length of the value of a job's record
MAX_JOBS = 64
MAX_EPOCH = 2**50
MAX_VOTERS = 7
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
JobCursor = Annotated[str, msgspec.Meta(max_length=64)]  # a job's name; empty: before the first job
Epoch = Annotated[int, msgspec.Meta(ge=0, lt=MAX_EPOCH)]
Step = Annotated[int, msgspec.Meta(ge=0, lt=2**50)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Value = Annotated[bytes, msgspec.Meta(max_length=MAX_VALUE_BYTES)]
Incarnations = Annotated[dict[Name, Incarnation], msgspec.Meta(max_length=MAX_VOTERS)]
Milliseconds = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
CommandNumber = Annotated[str, msgspec.Meta(max_length=32)]


class LedgerRecord(msgspec.Struct, array_like=True, frozen=True):
    """A record of a job's ledger; the newest is the one with the greatest (epoch, step)."""

    epoch: Epoch = 0
    step: Step = 0
    value: Value = b""

    @property
    def version(self) -> tuple[int, int]:
        """The fencing token: (epoch, step)."""
        return self.epoch, self.step


NO_RECORD = LedgerRecord()  # stands for an empty ledger


class PrepareRequest(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate's request to a voter to promise the job to this candidate under this epoch."""

    job: Name
    epoch: Epoch
    # The epoch whose lease holder handed the job over to the sender; 0: none.
    released_epoch: Epoch = 0


class Promise(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A voter's promise of the epoch, with the record that it holds."""

    job: Name
    epoch: Epoch
    incarnation: Incarnation  # the voter's own; it grows each time the voter loses its state
    incarnations: Incarnations  # the newest incarnation of each voter that this voter knows
    record: LedgerRecord


class Rejection(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A voter's rejection of a request."""

    job: Name
    epoch: Epoch  # the request's
    promised_epoch: Epoch
    retry_after_ms: Milliseconds
    reason: Annotated[str, msgspec.Meta(max_length=80)]


class RenewRequest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The lease holder's request that a voter extend the lease."""

    job: Name
    epoch: Epoch
    number: Step  # the renewal round's number, which the reply repeats
    committed_step: Step  # the newest committed step of this epoch


class RenewReply(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A voter's confirmation that it extended the lease."""

    job: Name
    epoch: Epoch
    number: Step
    incarnation: Incarnation
    incarnations: Incarnations


class AcceptRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The lease holder's request that a voter accept a record."""

    job: Name
    incarnation: Incarnation  # the voter's incarnation in its promise
    record: LedgerRecord


class Accepted(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """A voter's confirmation that it accepted a record and has it on disk."""

    job: Name
    epoch: Epoch
    step: Step
    incarnation: Incarnation
    incarnations: Incarnations


class ReleaseNotice(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The sender does not hold the lease, or gave up its election: voters may promise the job to another process."""

    job: Name
    epoch: Epoch


class HandoverOffer(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """A former lease holder's offer of the job it has released: the receiver may start an election for it at once."""

    job: Name
    epoch: Epoch


class CommitNotice(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The lease holder's periodic announcement of itself and the newest committed record to all members."""

    job: Name
    epoch: Epoch
    step: Step
    value: Value | None  # None if the record was already announced with its value


class RecordQuery(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """A query to a voter for the record that it holds, and to a lease holder for the committed record."""

    job: Name


class RecordReport(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """A voter's report of the record that it holds."""

    job: Name
    incarnation: Incarnation
    incarnations: Incarnations
    record: LedgerRecord
    # The newest step of the record's epoch that this voter knows to be committed.
    committed_step: Step


class IncarnationQuery(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """A recovering voter's query for the newest of its incarnations that the receiver knows."""


class IncarnationReply(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The newest incarnation of the receiving voter that the sender knows."""

    incarnation: Incarnation


class RecoveryRequest(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """A recovering voter's new incarnation and its request for the state of the job that follows `after_job`."""

    incarnation: Incarnation
    after_job: JobCursor


class VoterJobState(msgspec.Struct, array_like=True, frozen=True):
    """A voter's stored state of one job."""

    job: Name
    promised_epoch: Epoch
    holder: Name
    holder_birth: int
    record: LedgerRecord


class RecoveryReply(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """The state of the first job after `after_job` in the order of names; None if there is no further job."""

    incarnation: Incarnation  # the recovering voter's new incarnation
    after_job: JobCursor
    state: VoterJobState | None


class CommandRequest(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """An operator's command for a job, which is resent to the lease holder until it is answered."""

    job: Name
    number: CommandNumber
    body: Value


class CommandReply(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """The lease holder's answer to a command."""

    job: Name
    number: CommandNumber
    error: Annotated[str, msgspec.Meta(max_length=300)]  # empty if the command is in the ledger


Message = (
    PrepareRequest
    | Promise
    | Rejection
    | RenewRequest
    | RenewReply
    | AcceptRequest
    | Accepted
    | ReleaseNotice
    | HandoverOffer
    | CommitNotice
    | RecordQuery
    | RecordReport
    | IncarnationQuery
    | IncarnationReply
    | RecoveryRequest
    | RecoveryReply
    | CommandRequest
    | CommandReply
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: a message with the fleet and process that it comes from."""

    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Name
    birth: int
    message: Message


class VoterState(msgspec.Struct, array_like=True, frozen=True):
    """A voter's state as it is stored on disk."""

    fleet: str
    voter: str
    incarnation: Incarnation
    incarnations: dict[str, int]
    jobs: list[VoterJobState]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
DATAGRAM_MARK = _encoder.encode([None] * 5)[:1]  # the first byte of every lease datagram


def encode(fleet: str, sender: ProcessId, message: Message) -> bytes:
    """Encode a message of this sender as a datagram."""
    return _encoder.encode(Envelope(VERSION, fleet, *sender, message))


def decode(data: bytes, fleet: str) -> Envelope:
    """Decode a datagram of this fleet.

    Raises:
        DatagramError: The datagram is too long, malformed, of another version or of another fleet.
    """
    return decode_envelope(_decoder, VERSION, data, fleet)
