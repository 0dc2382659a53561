"""Which voters' replies are valid and count towards a majority (invariant 3)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class VoterReply(Protocol):
    """A reply with the voter's incarnation and all incarnations that the voter knows."""

    @property
    def incarnation(self) -> int:
        """The incarnation of the voter that sent the reply."""
        ...

    @property
    def incarnations(self) -> Mapping[str, int]:
        """The newest known incarnation of each voter, by name."""
        ...


def valid_voters(replies: Mapping[str, VoterReply]) -> list[str]:
    """The voters whose reply is valid: no reply reports a later incarnation of that voter."""
    newest: dict[str, int] = {}
    for reply in replies.values():
        for voter, incarnation in reply.incarnations.items():
            newest[voter] = max(newest.get(voter, 0), incarnation)
    return [voter for voter, reply in replies.items() if reply.incarnation >= newest.get(voter, 0)]


def has_quorum(replies: Mapping[str, VoterReply], quorum_size: int) -> bool:
    """Whether at least `quorum_size` of the replies are valid."""
    return len(valid_voters(replies)) >= quorum_size
