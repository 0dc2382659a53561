"""The state of this process as a member: its own record, whether it has joined, and whether it lost its name."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.membership.model import Record, State


@dataclass(slots=True)
class OwnMember:
    """Holds this process's own state, which only `refutation.Refutation` and `join.Join` change."""

    record: Record
    has_joined: bool = False
    # The process lost its name, usually to a newer process, and takes no further part in the protocol.
    stepped_aside: bool = False

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.record.name

    @property
    def has_left(self) -> bool:
        """Whether this member has announced its leave."""
        return self.record.state is State.LEFT
