"""Datagrams: one envelope each, in MessagePack by msgspec, which also checks types, lengths and ranges.

Each datagram carries its sender's own record, so each one that arrives proves that this process runs and that it
reaches this member.
"""

from __future__ import annotations

from typing import Annotated, Protocol, TypeVar

import msgspec

from stepknot.membership.errors import DatagramError
from stepknot.membership.model import MAX_INCARNATION, MemberName, Record, State

VERSION = 2
MAX_DATAGRAM_BYTES = 1200  # fits every path without fragmentation
MAX_FULL_RECORDS = 16  # in an answer to a join request, or to a record request
MAX_UPDATES = 64  # in one gossip datagram, as far as they fit
MAX_UPDATE_BYTES = 1000  # of them, beside the envelope with its sender
MAX_PROBED = (
    16  # members in one indirect probe request: 16 of the longest names and their observations fit
)
BUCKETS = 64  # parts of the table; anti-entropy compares as many at once as fit in one datagram
MAX_FINGERPRINTS = 256  # of records, in one datagram
FINGERPRINT_BYTES = 4
NEVER = -1  # in place of milliseconds
MAX_MILLISECONDS = 2**31  # exclusive
SHORT_UPDATE_BYTES, RECORD_BYTES = 16, 36  # upper bounds; a record's are beside its name and host
Hash62 = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Milliseconds = Annotated[int, msgspec.Meta(ge=NEVER, lt=MAX_MILLISECONDS)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=MAX_INCARNATION)]


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """The sender runs, and says when it last received something from the recipient."""

    last_received: Milliseconds  # ago; -1: never
    digest: Hash62  # of the sender's view
    # The recipient's incarnation that the sender holds to be suspect or dead; -1: it does not.
    suspected_incarnation: Annotated[int, msgspec.Meta(ge=-1, lt=MAX_INCARNATION)] = -1
    reply_requested: bool = False  # a ping: the recipient answers at once
    is_isolated: bool = False  # what the sender says of itself


class IndirectProbeRequest(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """When did the recipient last receive something from these members? (SWIM's ping-req)."""

    names: Annotated[list[MemberName], msgspec.Meta(max_length=MAX_PROBED)]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """When the sender itself last received something from one member."""

    name: MemberName
    epoch: int
    birth: int
    last_received: Milliseconds  # ago; -1: never


class IndirectProbeAnswer(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Observations of the members that an indirect probe request named."""

    observations: Annotated[list[Observation], msgspec.Meta(max_length=MAX_PROBED)]


class ShortUpdate(msgspec.Struct, array_like=True, frozen=True):
    """What changed of a process that is known: a third of a full record's size."""

    identity: Hash62  # `table.identity_of`
    incarnation: Incarnation
    state: State


class Gossip(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Updates: full records, and short updates of processes that most members know."""

    records: Annotated[list[Record], msgspec.Meta(max_length=MAX_UPDATES)]
    short_updates: Annotated[list[ShortUpdate], msgspec.Meta(max_length=MAX_UPDATES)] = []


class RecordRequest(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Asks for full records, by identities of short updates or fingerprints that are unknown to the sender."""

    identities: Annotated[list[Hash62], msgspec.Meta(max_length=MAX_UPDATES)] = []
    fingerprints: Annotated[bytes, msgspec.Meta(max_length=FINGERPRINT_BYTES * MAX_UPDATES)] = b""


class JoinRequest(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks to be admitted; the answer has the record of the sender's own name first."""


class AntiEntropyRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Fingerprints of all records in some buckets of the sender's table: asks for the records that it lacks."""

    first: Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]
    last: Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]
    fingerprints: Annotated[bytes, msgspec.Meta(max_length=FINGERPRINT_BYTES * MAX_FINGERPRINTS)]


Message = (
    Heartbeat
    | IndirectProbeRequest
    | IndirectProbeAnswer
    | Gossip
    | JoinRequest
    | AntiEntropyRequest
    | RecordRequest
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One datagram."""

    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Record
    message: Message


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


def max_encoded_bytes(update: Record | ShortUpdate) -> int:
    """Upper bound of the encoded size."""
    if isinstance(update, ShortUpdate):
        return SHORT_UPDATE_BYTES
    return RECORD_BYTES + len(update.name.encode()) + len(update.host)


def encode(fleet: str, sender: Record, message: Message) -> bytes:
    """The bytes of one datagram."""
    return encoder.encode(Envelope(VERSION, fleet, sender, message))


def decode(data: bytes, fleet: str) -> Envelope:
    """Read one datagram of membership.

    Raises:
        DatagramError: It is too long, malformed, of another version or of another fleet.
    """
    return decode_envelope(decoder, VERSION, data, fleet)


class VersionedEnvelope(Protocol):
    """The part that all envelopes on this socket have in common."""

    @property
    def version(self) -> int:
        """Version of the datagrams' format."""
        ...

    @property
    def fleet(self) -> str:
        """Name of the sender's fleet."""
        ...


EnvelopeType = TypeVar("EnvelopeType", bound=VersionedEnvelope)


def decode_envelope(
    decoder: msgspec.msgpack.Decoder[EnvelopeType], version: int, data: bytes, fleet: str
) -> EnvelopeType:
    """Read an envelope of any protocol on this socket and check its size, version and fleet.

    Raises:
        DatagramError: One of these is not as expected.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("too long")
    try:
        envelope = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        raise DatagramError("malformed") from error
    if envelope.version != version:
        raise DatagramError("another version")
    if envelope.fleet != fleet:
        raise DatagramError("another fleet")
    return envelope
