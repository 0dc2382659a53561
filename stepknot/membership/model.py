"""Data types of membership: records, states, settings, state changes and counts. All times are in seconds.

A `Record` describes one member. Records of one name are ordered by `rank`. Views are merged by keeping the greatest
record of each name, so the order and the repetition of messages do not matter (a join-semilattice).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

Address = tuple[str, int]
MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_EPOCH, MAX_INCARNATION = 2**50, 2**31  # exclusive; a record that exceeds them is malformed
UNBOUNDED = 1_000_000_000  # upper bound of a count that is unknown


class State(IntEnum):
    """States of a member. Of two records that differ only in the state, the one with the greater state is newer."""

    JOINING = 0  # the member has sent a join request and knows no other member yet
    ALIVE = 1
    SUSPECT = 2  # the observers receive nothing from the member; it can still refute this
    DEAD = 3
    LEFT = 4  # the member has announced its leave


PRESENT_STATES = (State.JOINING, State.ALIVE, State.SUSPECT)
ABSENT_STATES = (State.DEAD, State.LEFT)
REFUTABLE_STATES = (State.SUSPECT, State.DEAD)  # states that a running member refutes


class Record(msgspec.Struct, array_like=True, frozen=True):
    """The description of one member that members exchange.

    `epoch` grows with each process that uses the name. `birth` is random and distinguishes two processes with the same
    epoch. Within one process, `incarnation` grows with each refutation.
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
        """The process among all processes with this name: (epoch, birth)."""
        return self.epoch, self.birth

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """The sort key of records of one name; the greatest record is the newest."""
        return self.epoch, self.birth, self.incarnation, self.state

    @property
    def address(self) -> Address:
        """Host and port of the member's membership socket."""
        return self.host, self.port


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Time-outs and limits of membership; `docs/membership.md` derives each default.

    `period`, `rings`, `pause`, `tombstone`, `rate` and `burst` have the names of the keys in the settings' `peers`
    block. Sizes are in bytes of datagram payload.
    """

    fleet: str = "stepknot"
    seeds: tuple[Address, ...] = ()
    configured: int = 1  # brokers in the settings: the minimum of an uncertain upper bound
    period: float = 0.5  # seconds between two heartbeats to one member
    rings: int = 4  # each ring gives a member two observers and two subjects
    pause: float = 5.0  # a member whose process pause is not longer than this is not declared dead
    # Members asked for an indirect probe every two periods, and at most twice as many.
    probe_helpers: int = 4
    # Helpers that must confirm that they have no newer observation before a suspicion or a death.
    min_confirmations: int = 3
    gossip_fanout: int = 3  # number of members that receive an update in one round
    gossip_rounds: int = 2
    tombstone: float = 600.0  # seconds for which members that died or left are remembered
    max_records: int = 1024  # further records are counted and rejected
    rate: float = 2000.0  # maximum of bytes sent a second, as a long-term average
    burst: float = 16_000.0  # bytes that may be sent in addition after idle times

    @property
    def suspect_after(self) -> float:
        """Time without a sign of life here or at helpers until a member is suspect: four lost heartbeats in a row."""
        return 4 * self.period

    @property
    def dead_after(self) -> float:
        """Time without a sign of life until a member is dead.

        It is the tolerated pause, and one period for the heartbeat before the pause and the delay of the one after it.
        """
        return self.pause + self.period

    @property
    def tick_interval(self) -> float:
        """Time between two calls of `MembershipProtocol.tick`."""
        return self.period / 5


@dataclass(frozen=True, slots=True)
class StateChange:
    """A change of a member's state in this view; `version` grows by one with each change."""

    version: int
    name: str
    old_state: State | None  # None: the name was unknown
    new_state: State | None  # None: the record was removed
    reason: str


@dataclass(frozen=True, slots=True)
class MemberCount:
    """Bounds of the number of brokers: at least `lower_bound` are proven to run, and at most `upper_bound` can run."""

    lower_bound: int
    upper_bound: int
    is_certain: bool
