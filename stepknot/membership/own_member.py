"""This process as a member: its own record, whether it has joined, and whether it has stepped aside."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.membership.model import Record, State


@dataclass(slots=True)
class OwnMember:
    """Changed by `refutation.Refutation` and `join.Join` only."""

    record: Record
    has_joined: bool = False
    stepped_aside: bool = False  # a newer process has this name; this one takes no part any more

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.record.name

    @property
    def has_left(self) -> bool:
        """Whether it announced its leave."""
        return self.record.state is State.LEFT
