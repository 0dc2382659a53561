"""Which of some voters' replies count (invariant 3)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Reply(Protocol):
    @property
    def life(self) -> int: ...

    @property
    def lives(self) -> Mapping[str, int]: ...


def sound(replies: Mapping[str, Reply]) -> list[str]:
    """The voters whose replies stand: nobody among them knows of a later life of theirs."""
    newest: dict[str, int] = {}
    for reply in replies.values():
        for voter, life in reply.lives.items():
            newest[voter] = max(newest.get(voter, 0), life)
    return [voter for voter, reply in replies.items() if reply.life >= newest.get(voter, 0)]
