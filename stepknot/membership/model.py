"""What membership is told, and what it says: plain fields, times and durations in seconds.

A `Record` is what members tell each other of a member. Records of one name are ordered by `rank`, and the greater one
wins wherever two meet: views are joined by taking the greatest of each name, so the order of messages, copies and
repeats do not matter (a join-semilattice).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

NAME = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MOST_EPOCH, MOST_INCARNATION = 2**50, 2**31  # what is beyond is absurd, and no record
UNBOUNDED = 1_000_000_000  # a count to divide by when nothing at all may be taken for granted


class State(IntEnum):
    """Of two records alike but for it, the greater one is the newer."""

    JOINING = 0  # it asks to be let in and knows nobody yet
    ALIVE = 1
    SUSPECT = 2  # silent to those that watch it: told so, it may still prove itself
    DEAD = 3
    LEFT = 4  # by its own word


PRESENT_STATES = (State.JOINING, State.ALIVE, State.SUSPECT)
ABSENT_STATES = (State.DEAD, State.LEFT)


class Record(msgspec.Struct, array_like=True, frozen=True):
    """A member. `epoch` grows with each process under the name, `birth` tells two with the same epoch apart; within one
    process `incarnation` grows each time it proves wrong what was said of it."""

    name: NAME
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=45)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=MOST_EPOCH)]
    birth: Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, lt=MOST_INCARNATION)]
    state: State

    @property
    def process(self) -> tuple[int, int]:
        """Which process under the name."""
        return self.epoch, self.birth

    @property
    def rank(self) -> tuple[int, int, int, int]:
        return self.epoch, self.birth, self.incarnation, self.state

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """`docs/membership.md` derives each default. Sizes in bytes, of datagrams' contents."""

    fleet: str = "stepknot"
    seeds: tuple[tuple[str, int], ...] = ()
    configured: int = 1  # brokers that the settings name: the count while unsure
    period: float = 0.5  # between two beats to one watched member
    rings: int = 4  # each gives a member two that it watches, and that watch it
    pause: float = 5.0  # a member that stands still for this long is not taken for dead
    helpers: int = (
        4  # others asked about a silent member, each two periods; twice as many once it is suspect
    )
    proofs: int = 3  # others that must have nothing fresher before a member is suspect or dead
    fanout: int = 3  # members that news are pushed to in a round
    rounds: int = 2
    tombstone: float = 600.0  # for which the dead are remembered
    most: int = 1024  # records kept; what is beyond is counted and not taken
    rate: float = 2000.0  # sent a second, on the long run
    burst: float = 16_000.0  # on top, after quiet times

    @property
    def suspect_after(self) -> float:
        """Four beats lost in a row, and nobody asked has heard more."""
        return 4 * self.period

    @property
    def dead_after(self) -> float:
        """A pause that is borne, with the beat before it and the way of the one after it."""
        return self.pause + self.period

    @property
    def step(self) -> float:
        """Between two calls of `tick`."""
        return self.period / 5


@dataclass(frozen=True, slots=True)
class Change:
    """A member's state changed in this view; `version` grows by one with each."""

    version: int
    name: str
    before: State | None
    after: State | None  # none: forgotten
    why: str


@dataclass(frozen=True, slots=True)
class Counts:
    """How many brokers there are: `at_least` are proven, and no more than `at_most` may truly be there."""

    at_least: int
    at_most: int
    sure: bool
