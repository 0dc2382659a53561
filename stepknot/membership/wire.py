"""Datagrams: one envelope each, in MessagePack by msgspec, which also checks types, lengths and ranges.

Every datagram carries its sender's own record, so whatever arrives proves that this process runs, and that it still
reaches us.
"""

from __future__ import annotations

from typing import Annotated, Protocol, TypeVar

import msgspec

from stepknot.membership.errors import DatagramError
from stepknot.membership.model import MOST_INCARNATION, NAME, Record, State

VERSION = 2
MOST_BYTES = 1200  # of a datagram: it fits every path without being cut up
RECORDS = 16  # whole ones that a newcomer is told of, or that are asked for, at once
WORDS = 64  # news in one datagram: as many as fit
ROOM = 1000  # bytes for them, beside the envelope with its sender
ASKED = 16  # members in one question: 16 of the longest names and their signs fit
BUCKETS = 64  # parts of the table: so much of it is compared at a time as one datagram holds
PRINTS = 256  # of records, four bytes each, in one datagram
DIGEST = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
MILLISECONDS = Annotated[int, msgspec.Meta(ge=-1, lt=2**31)]


class Beat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """I run, and this is what I heard of you."""

    heard: MILLISECONDS  # ago, when something of yours last came here; -1: never
    digest: DIGEST  # of the sender's view
    held: Annotated[
        int, msgspec.Meta(ge=-1, lt=MOST_INCARNATION)
    ] = -1  # the incarnation of yours that is held
    #   to be suspect or dead here
    reply: bool = False  # answer at once
    isolated: bool = False  # the sender's word on itself


class Ask(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """When did you last hear these?"""

    names: Annotated[list[NAME], msgspec.Meta(max_length=ASKED)]


class Sign(msgspec.Struct, array_like=True, frozen=True):
    """One member as heard by the sender itself."""

    name: NAME
    epoch: int
    birth: int
    heard: MILLISECONDS  # ago; -1: never


class Tell(msgspec.Struct, array_like=True, tag=3, frozen=True):
    signs: Annotated[list[Sign], msgspec.Meta(max_length=ASKED)]


class Short(msgspec.Struct, array_like=True, frozen=True):
    """What changed of a process that is known: a third of a whole record."""

    identity: Annotated[int, msgspec.Meta(ge=0, lt=2**62)]  # `table.identity_of`
    incarnation: Annotated[int, msgspec.Meta(ge=0, lt=MOST_INCARNATION)]
    state: State


class News(msgspec.Struct, array_like=True, tag=4, frozen=True):
    records: Annotated[list[Record], msgspec.Meta(max_length=WORDS)]
    short: Annotated[list[Short], msgspec.Meta(max_length=WORDS)] = []


class Need(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """Short news were of processes that are not known here: who are they? And these prints of a `Sync` are not here."""

    identities: Annotated[
        list[Annotated[int, msgspec.Meta(ge=0, lt=2**62)]], msgspec.Meta(max_length=WORDS)
    ] = []
    prints: Annotated[bytes, msgspec.Meta(max_length=4 * WORDS)] = b""


class Join(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """Let me in: tell me of my own name first, then of all."""


class Sync(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """What I have in some buckets of the table, a print for each record: send what is not among it."""

    first: Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]
    last: Annotated[int, msgspec.Meta(ge=0, lt=BUCKETS)]
    prints: Annotated[bytes, msgspec.Meta(max_length=4 * PRINTS)]


Message = Beat | Ask | Tell | News | Join | Sync | Need


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: Record
    message: Message


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


SHORT_BYTES, WHOLE_BYTES = 16, 36  # at the most; of a whole one beside its name and host


def size_of(word: Record | Short) -> int:
    """Bytes at the most, encoded."""
    if isinstance(word, Short):
        return SHORT_BYTES
    return WHOLE_BYTES + len(word.name.encode()) + len(word.host)


def encode(fleet: str, sender: Record, message: Message) -> bytes:
    return encoder.encode(Envelope(VERSION, fleet, sender, message))


class Enveloped(Protocol):
    """What comes on this socket, of whatever kind."""

    @property
    def version(self) -> int: ...

    @property
    def fleet(self) -> str: ...


Kind = TypeVar("Kind", bound=Enveloped)


def decode_envelope(
    decoder: msgspec.msgpack.Decoder[Kind], version: int, data: bytes, fleet: str
) -> Kind:
    """Raises DatagramError."""
    if len(data) > MOST_BYTES:
        raise DatagramError("too long")
    try:
        found = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        raise DatagramError("malformed") from None
    if found.version != version:
        raise DatagramError("another version")
    if found.fleet != fleet:
        raise DatagramError("another fleet")
    return found


def decode(data: bytes, fleet: str) -> Envelope:
    """Raises DatagramError."""
    return decode_envelope(decoder, VERSION, data, fleet)
