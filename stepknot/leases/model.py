"""What brokers tell each other of jobs, and what voters write down: plain fields, durations in seconds.

A datagram is an array of five, where membership's has four: both come in by one socket.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import msgspec

from stepknot.membership.wire import decode_envelope

VERSION = 1
MOST_VALUE = 900  # bytes of a job's record
MOST_JOBS = 64
MAX_EPOCH = 2**50
NAME = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
EPOCH = Annotated[int, msgspec.Meta(ge=0, lt=MAX_EPOCH)]
STEP = Annotated[int, msgspec.Meta(ge=0, lt=2**50)]
LIFE = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
VALUE = Annotated[bytes, msgspec.Meta(max_length=MOST_VALUE)]
LIVES = Annotated[dict[NAME, LIFE], msgspec.Meta(max_length=7)]
MILLISECONDS = Annotated[int, msgspec.Meta(ge=0, lt=2**31)]
Process = tuple[str, int]  # a broker's name and its birth: two processes under one name are two


@dataclass(frozen=True, slots=True)
class OwnerSettings:
    """`docs/leases.md` derives the defaults."""

    voters: tuple[str, ...]
    fleet: str = "stepknot"
    lease: float = 2.0
    drift: float = 0.05  # two clocks' rates differ by no more than this share

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def own(self) -> float:
        """For so long from before it asked an owner may act."""
        return self.lease * (1 - self.drift)

    @property
    def hold(self) -> float:
        """For so long from its grant a voter grants nobody else."""
        return self.lease * (1 + self.drift)

    @property
    def renew(self) -> float:
        """Between two renewals: two may be lost."""
        return self.lease / 4


class Held(msgspec.Struct, array_like=True, frozen=True):
    """A record of a job's ledger: the newest is the one with the greatest (epoch, step)."""

    epoch: EPOCH = 0
    step: STEP = 0
    value: VALUE = b""

    @property
    def version(self) -> tuple[int, int]:
        return self.epoch, self.step


class Claim(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Let me own the job under this epoch. `released`: the epoch that its owner handed over to me."""

    job: NAME
    epoch: EPOCH
    released: EPOCH = 0


class Granted(msgspec.Struct, array_like=True, tag=2, frozen=True):
    job: NAME
    epoch: EPOCH
    life: LIFE  # of the voter: it grows when the voter loses its memory
    lives: LIVES  # of all voters, as far as this one knows
    held: Held


class Refused(msgspec.Struct, array_like=True, tag=3, frozen=True):
    job: NAME
    epoch: EPOCH  # that was asked with
    promised: EPOCH
    wait: MILLISECONDS  # until asking again makes sense
    why: Annotated[str, msgspec.Meta(max_length=80)]


class Renew(msgspec.Struct, array_like=True, tag=4, frozen=True):
    job: NAME
    epoch: EPOCH
    number: STEP  # the answer names it, so the owner knows when it asked
    committed: STEP  # the step of this epoch that counts by now


class Renewed(msgspec.Struct, array_like=True, tag=5, frozen=True):
    job: NAME
    epoch: EPOCH
    number: STEP
    life: LIFE
    lives: LIVES


class Write(msgspec.Struct, array_like=True, tag=6, frozen=True):
    job: NAME
    life: LIFE  # of the voter when it granted
    held: Held


class Written(msgspec.Struct, array_like=True, tag=7, frozen=True):
    job: NAME
    epoch: EPOCH
    step: STEP
    life: LIFE
    lives: LIVES


class Yield(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """I own it no more, or never did: grant it to the next."""

    job: NAME
    epoch: EPOCH


class Offer(msgspec.Struct, array_like=True, tag=9, frozen=True):
    """I stopped; take it from me."""

    job: NAME
    epoch: EPOCH


class Told(msgspec.Struct, array_like=True, tag=10, frozen=True):
    """The owner's word, told to all now and then: what counts. Without its record where it has not changed of late."""

    job: NAME
    epoch: EPOCH
    step: STEP
    value: VALUE | None


class Ask(msgspec.Struct, array_like=True, tag=11, frozen=True):
    """To a voter: what do you hold of this job? To an owner: what counts?"""

    job: NAME


class Holds(msgspec.Struct, array_like=True, tag=12, frozen=True):
    job: NAME
    life: LIFE
    lives: LIVES
    held: Held
    committed: STEP  # of the epoch of `held`


class AskLife(msgspec.Struct, array_like=True, tag=13, frozen=True):
    """I am a voter that lost its memory: which life of mine do you know of?"""


class TellLife(msgspec.Struct, array_like=True, tag=14, frozen=True):
    life: LIFE


class Recall(msgspec.Struct, array_like=True, tag=15, frozen=True):
    """This is my life now: write it down, and tell me what you hold of the jobs behind this name."""

    life: LIFE
    after: Annotated[str, msgspec.Meta(max_length=64)]


class JobRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a voter writes down of a job."""

    job: NAME
    promised: EPOCH
    holder: NAME
    birth: int
    held: Held


class Recalled(msgspec.Struct, array_like=True, tag=16, frozen=True):
    """One job at a time, in the order of names; none: there is no other."""

    life: LIFE  # of the asker
    after: Annotated[str, msgspec.Meta(max_length=64)]
    record: JobRecord | None


class Order(msgspec.Struct, array_like=True, tag=17, frozen=True):
    """An operator's word for a job, on its way to the owner. Asked again until the ledger has its number."""

    job: NAME
    number: Annotated[str, msgspec.Meta(max_length=32)]
    body: VALUE


class Answered(msgspec.Struct, array_like=True, tag=18, frozen=True):
    job: NAME
    number: Annotated[str, msgspec.Meta(max_length=32)]
    error: Annotated[str, msgspec.Meta(max_length=300)]  # empty: it is in the ledger


Message = (
    Claim
    | Granted
    | Refused
    | Renew
    | Renewed
    | Write
    | Written
    | Yield
    | Offer
    | Told
    | Ask
    | Holds
    | AskLife
    | TellLife
    | Recall
    | Recalled
    | Order
    | Answered
)


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    version: int
    fleet: Annotated[str, msgspec.Meta(max_length=64)]
    sender: NAME
    birth: int
    message: Message


class Saved(msgspec.Struct, array_like=True, frozen=True):
    """A voter's disk."""

    fleet: str
    voter: str
    life: LIFE
    lives: dict[str, int]
    jobs: list[JobRecord]


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)
MARK = encoder.encode([None] * 5)[:1]  # how a datagram of ownership begins


def encode(fleet: str, me: Process, message: Message) -> bytes:
    return encoder.encode(Envelope(VERSION, fleet, *me, message))


def decode(data: bytes, fleet: str) -> Envelope:
    """Raises DatagramError."""
    return decode_envelope(decoder, VERSION, data, fleet)
