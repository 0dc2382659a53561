"""Messages between brokers about leases, the voter's stored state, and their encoding (MessagePack).

All structs are arrays on the wire: the order of fields is the format, names are not sent. A datagram is an array of
five elements, where one of membership has four: both kinds arrive at the same socket.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from stepknot.leases.settings import ProcessId
from stepknot.membership.wire import decode_envelope

VERSION = 1
MAX_VALUE_BYTES = 900  # of a job's record
MAX_JOBS = 64
MAX_EPOCH = 2**50
MAX_VOTERS = 7
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
JobCursor = Annotated[str, msgspec.Meta(max_length=64)]  # a job's name, or empty: before the first
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


NO_RECORD = LedgerRecord()  # before the first


class PrepareRequest(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A candidate asks a voter to promise the job to it under this epoch."""

    job: Name
    epoch: Epoch
    released_epoch: Epoch = 0  # the epoch whose lease holder handed the job over to the sender


class Promise(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A voter promised the epoch; it reports the record that it holds."""

    job: Name
    epoch: Epoch
    incarnation: Incarnation  # of the voter: it grows when the voter loses its state
    incarnations: Incarnations  # of all voters, as far as this one knows
    record: LedgerRecord


class Rejection(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A voter rejected a request."""

    job: Name
    epoch: Epoch  # of the request
    promised_epoch: Epoch
    retry_after_ms: Milliseconds
    reason: Annotated[str, msgspec.Meta(max_length=80)]


class RenewRequest(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """The lease holder asks a voter to extend the lease."""

    job: Name
    epoch: Epoch
    number: Step  # of the renewal round: the reply repeats it
    committed_step: Step  # the newest committed step of this epoch


class RenewReply(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """A voter extended the lease."""

    job: Name
    epoch: Epoch
    number: Step
    incarnation: Incarnation
    incarnations: Incarnations


class AcceptRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """The lease holder asks a voter to accept a record."""

    job: Name
    incarnation: Incarnation  # of the voter when it promised
    record: LedgerRecord


class Accepted(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """A voter has the record on disk."""

    job: Name
    epoch: Epoch
    step: Step
    incarnation: Incarnation
    incarnations: Incarnations


class ReleaseNotice(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """The sender does not hold the lease any more, or never did: voters may promise the job to another process."""

    job: Name
    epoch: Epoch


class HandoverOffer(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """A lease holder that stopped asks the receiver to become the next one."""

    job: Name
    epoch: Epoch


class CommitNotice(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The lease holder announces itself and the newest committed record to all members, at intervals."""

    job: Name
    epoch: Epoch
    step: Step
    value: Value | None  # none where the record was announced with its value before


class RecordQuery(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """Asks a voter which record it holds, and a lease holder which record is committed."""

    job: Name


class RecordReport(msgspec.Struct, array_like=True, tag=12, frozen=True):
    """A voter reports the record that it holds."""

    job: Name
    incarnation: Incarnation
    incarnations: Incarnations
    record: LedgerRecord
    committed_step: Step  # of the record's epoch


class IncarnationQuery(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """A voter that lost its state asks which incarnation of it the receiver knows."""


class IncarnationReply(msgspec.Struct, array_like=True, tag=14, frozen=True):
    """The newest incarnation of the receiver that the sender knows."""

    incarnation: Incarnation


class RecoveryRequest(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """A recovering voter announces its new incarnation and asks for the state of the next job by name."""

    incarnation: Incarnation
    after_job: JobCursor


class VoterJobState(msgspec.Struct, array_like=True, frozen=True):
    """What a voter stores of one job."""

    job: Name
    promised_epoch: Epoch
    holder: Name
    holder_birth: int
    record: LedgerRecord


class RecoveryReply(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """The state of the first job after `after_job` in the order of names; none if there is no further job."""

    incarnation: Incarnation  # of the recovering voter
    after_job: JobCursor
    state: VoterJobState | None


class CommandRequest(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """An operator's command for a job, sent to the lease holder again until it is answered."""

    job: Name
    number: CommandNumber
    body: Value


class CommandReply(msgspec.Struct, array_like=True, tag=18, frozen=True):
    """The lease holder's answer to a command."""

    job: Name
    number: CommandNumber
    error: Annotated[str, msgspec.Meta(max_length=300)]  # empty: the command is in the ledger


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
    """One datagram."""

    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Name
    birth: int
    message: Message


class VoterState(msgspec.Struct, array_like=True, frozen=True):
    """What a voter stores on disk."""

    fleet: str
    voter: str
    incarnation: Incarnation
    incarnations: dict[str, int]
    jobs: list[VoterJobState]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
DATAGRAM_MARK = _encoder.encode([None] * 5)[:1]  # the first byte of each datagram of leases


def encode(fleet: str, sender: ProcessId, message: Message) -> bytes:
    """Encode a datagram."""
    return _encoder.encode(Envelope(VERSION, fleet, *sender, message))


def decode(data: bytes, fleet: str) -> Envelope:
    """Decode a datagram of this fleet.

    Raises:
        DatagramError: It is too long, malformed, of another version or of another fleet.
    """
    return decode_envelope(_decoder, VERSION, data, fleet)
