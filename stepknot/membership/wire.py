"""The datagrams: one envelope each, encoded in MessagePack by msgspec, which also checks types, lengths and ranges.

Each datagram contains its sender's own record. So each received datagram proves that the sender's process runs and
reaches this member.
"""

from __future__ import annotations

from typing import Annotated, Protocol, TypeVar

import msgspec

from stepknot.membership.errors import DatagramError
from stepknot.membership.model import MAX_INCARNATION, MemberName, Record, State

VERSION = 2
MAX_DATAGRAM_BYTES = 1200  # fits every network path without fragmentation
MAX_FULL_RECORDS = 16  # full records in an answer to a join request or to a record request
MAX_UPDATES = 64  # updates in one gossip datagram, if `MAX_UPDATE_BYTES` allows that many
MAX_UPDATE_BYTES = 1000  # bytes of the updates in one datagram, without the envelope and its sender
# Members in one indirect probe request. The request and its answer fit in a datagram also with the longest names.
MAX_PROBED = 16
BUCKETS = 64  # parts of the table; anti-entropy compares as many at once as fit in one datagram
MAX_FINGERPRINTS = 256  # fingerprints in one datagram
FINGERPRINT_BYTES = 4
NEVER = -1  # stands for "never" in a field of milliseconds
MAX_MILLISECONDS = 2**31  # exclusive
# Upper bounds of encoded sizes; a record's name and host are added to `RECORD_BYTES`.
SHORT_UPDATE_BYTES, RECORD_BYTES = 16, 36
Hash62 = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Milliseconds = Annotated[int, msgspec.Meta(ge=NEVER, lt=MAX_MILLISECONDS)]
Incarnation = Annotated[int, msgspec.Meta(ge=0, lt=MAX_INCARNATION)]


class Heartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Shows that the sender runs, and reports when it last received something from the recipient."""

    last_received: Milliseconds  # time since the last datagram from the recipient; -1: never
    digest: Hash62  # of the sender's view
    # The recipient's incarnation, if the recipient is suspect or dead in the sender's view; otherwise -1.
    suspected_incarnation: Annotated[int, msgspec.Meta(ge=-1, lt=MAX_INCARNATION)] = -1
    reply_requested: bool = False  # the heartbeat is a ping, which the recipient answers at once
    is_isolated: bool = False  # whether the sender regards itself as isolated


class IndirectProbeRequest(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """Asks when the recipient last received something from these members (SWIM's ping-req)."""

    names: Annotated[list[MemberName], msgspec.Meta(max_length=MAX_PROBED)]


class Observation(msgspec.Struct, array_like=True, frozen=True):
    """Reports when the sender itself last received something from one member."""

    name: MemberName
    epoch: int
    birth: int
    last_received: Milliseconds  # time since the last datagram from the member; -1: never


class IndirectProbeAnswer(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """Contains observations of members that an indirect probe request named."""

    observations: Annotated[list[Observation], msgspec.Meta(max_length=MAX_PROBED)]


class ShortUpdate(msgspec.Struct, array_like=True, frozen=True):
    """The fields that changed in the record of a known process, in a third of a full record's size."""

    identity: Hash62  # `table.identity_of`
    incarnation: Incarnation
    state: State


class Gossip(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """Contains updates: full records, and short updates of processes that most members know."""

    records: Annotated[list[Record], msgspec.Meta(max_length=MAX_UPDATES)]
    short_updates: Annotated[list[ShortUpdate], msgspec.Meta(max_length=MAX_UPDATES)] = []


class RecordRequest(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Asks for full records by the identities or the fingerprints that are unknown to the sender."""

    identities: Annotated[list[Hash62], msgspec.Meta(max_length=MAX_UPDATES)] = []
    fingerprints: Annotated[bytes, msgspec.Meta(max_length=FINGERPRINT_BYTES * MAX_UPDATES)] = b""


class JoinRequest(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Asks for admission to the fleet. The answer begins with the fleet's record of the requester's name."""


class AntiEntropyRequest(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Sends the fingerprints of all records in some buckets, and asks for the records that the sender lacks."""

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
    """The content of one datagram."""

    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Record
    message: Message


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


def max_encoded_bytes(update: Record | ShortUpdate) -> int:
    """An upper bound of the encoded size of an update."""
    if isinstance(update, ShortUpdate):
        return SHORT_UPDATE_BYTES
    return RECORD_BYTES + len(update.name.encode()) + len(update.host)


def encode(fleet: str, sender: Record, message: Message) -> bytes:
    """Encode one datagram."""
    return encoder.encode(Envelope(VERSION, fleet, sender, message))


def decode(data: bytes, fleet: str) -> Envelope:
    """Decode one datagram of membership.

    Raises:
        DatagramError: The datagram is too long, malformed, of another version or of another fleet.
    """
    return decode_envelope(decoder, VERSION, data, fleet)


class VersionedEnvelope(Protocol):
    """The fields that the envelopes of all protocols on this socket have in common."""

    @property
    def version(self) -> int:
        """Version of the datagram format."""
        ...

    @property
    def fleet(self) -> str:
        """Name of the sender's fleet."""
        ...


EnvelopeType = TypeVar("EnvelopeType", bound=VersionedEnvelope)


def decode_envelope(
    decoder: msgspec.msgpack.Decoder[EnvelopeType], version: int, data: bytes, fleet: str
) -> EnvelopeType:
    """Decode an envelope of any protocol on this socket, and check its size, version and fleet.

    Raises:
        DatagramError: The datagram is too long, malformed, of another version or of another fleet.
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
