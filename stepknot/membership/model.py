"""Data types of membership: records, states, settings, state changes, counts. Times and durations in seconds.

A `Record` describes one member. Records of one name are ordered by `rank`, and the greater one wins wherever two meet.
Views are merged by the greatest record of each name, so order, duplicates and repetitions of messages do not matter
(a join-semilattice).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

Address = tuple[str, int]
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_EPOCH, MAX_INCARNATION = 2**50, 2**31  # exclusive; a record beyond them is malformed
UNBOUNDED = 1_000_000_000  # the upper bound of a count of which nothing is known


class State(IntEnum):
    """States of a member. Of two records that differ in the state alone, the one with the greater state is newer."""

    JOINING = 0  # it sent a join request and knows no other member yet
    ALIVE = 1
    SUSPECT = 2  # its observers receive nothing from it; it may still refute that
    DEAD = 3
    LEFT = 4  # it announced its leave itself


PRESENT_STATES = (State.JOINING, State.ALIVE, State.SUSPECT)
ABSENT_STATES = (State.DEAD, State.LEFT)
DOUBTED_STATES = (State.SUSPECT, State.DEAD)  # a running member refutes them


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One member, as members describe it to each other.

    `epoch` grows with each process under the name, and `birth` (random) tells apart two processes with one epoch.
    Within one process `incarnation` grows with each refutation.
    """

    name: MemberName
    host: Annotated[str, msgspec.Meta(min_length=1, max_length=45)]
    port: Annotated[int, msgspec.Meta(ge=1, le=65535)]
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=MAX_EPOCH)]
    birth: Annotated[int, msgspec.Meta(ge=0, lt=2**32)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, lt=MAX_INCARNATION)]
    state: State

    @property
    def process(self) -> tuple[int, int]:
        """Which process under the name it describes: (epoch, birth)."""
        return self.epoch, self.birth

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """The order of records of one name; the greatest is the newest."""
        return self.epoch, self.birth, self.incarnation, self.state

    @property
    def address(self) -> Address:
        """Host and port of its membership socket."""
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Time-outs and limits in one type; `docs/membership.md` derives each default.

    `period`, `rings`, `pause`, `tombstone`, `rate` and `burst` are named like the keys of the `peers` block. Sizes are
    bytes of datagrams' contents.
    """

    fleet: str = "stepknot"
    seeds: tuple[Address, ...] = ()
    configured: int = 1  # brokers that the settings name: the count while it is uncertain
    period: float = 0.5  # between two heartbeats to one member
    rings: int = 4  # each gives a member two observers, and two subjects
    pause: float = 5.0  # a member that stands still for no longer is not declared dead
    # Members asked for an indirect probe, each two periods; twice as many where more ways are known.
    probe_helpers: int = 4
    min_confirmations: int = (
        3  # helpers without a younger observation before a suspicion or a death
    )
    gossip_fanout: int = 3  # members that an update is sent to in a round
    gossip_rounds: int = 2
    tombstone: float = 600.0  # for which the dead are remembered
    max_records: int = 1024  # further records are counted and rejected
    rate: float = 2000.0  # bytes sent a second, on the long run
    burst: float = 16_000.0  # bytes on top, after quiet times

    @property
    def suspect_after(self) -> float:
        """Four heartbeats lost in a row, and no helper received anything later."""
        return 4 * self.period

    @property
    def dead_after(self) -> float:
        """The tolerated pause, with the heartbeat before it and the way of the one after it."""
        return self.pause + self.period

    @property
    def tick_interval(self) -> float:
        """Between two calls of `MembershipProtocol.tick`."""
        return self.period / 5


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member's state changed in this view; `version` grows by one with each change."""

    version: int
    name: str
    old_state: State | None  # none: the name was unknown
    new_state: State | None  # none: the record was forgotten
    reason: str


@dataclass(frozen=True, slots=True)
class MemberCount:
    """How many brokers there are, as bounds: `lower_bound` are proven, and no more than `upper_bound` may run."""

    lower_bound: int
    upper_bound: int
    is_certain: bool
