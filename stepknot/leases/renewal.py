"""Renewal of a lease: numbered rounds, each of which extends the lease once a majority replied."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import Promise, RenewReply

MAX_ROUNDS = 8  # whose replies are still waited for


@dataclass(slots=True)
class RenewalRound:
    """One request to all voters that promised."""

    sent_at: float
    replies: dict[str, RenewReply] = field(default_factory=dict)  # by voter


@dataclass(slots=True)
class LeaseRenewal:
    """The latest rounds of the current epoch. Numbers grow for as long as the process lives."""

    rounds: dict[int, RenewalRound] = field(default_factory=dict)  # by number
    last_number: int = 0
    next_at: float = -math.inf

    def reset(self) -> None:
        """A new epoch begins: replies to earlier rounds do not count."""
        self.rounds = {}

    def start_round(self, now: float) -> int:
        """Begin a round; returns its number."""
        self.last_number += 1
        self.rounds[self.last_number] = RenewalRound(now)
        self.rounds.pop(self.last_number - MAX_ROUNDS, None)
        return self.last_number

    def record_reply(
        self, voter: str, reply: RenewReply, promises: Mapping[str, Promise], quorum_size: int
    ) -> float | None:
        """Take a voter's reply.

        Returns:
            When the round was sent, if a majority of the voters that promised has replied in the incarnation
            that promised; else None.
        """
        renewal_round = self.rounds.get(reply.number)
        if renewal_round is None:
            return None
        renewal_round.replies[voter] = reply
        valid = {
            each: answer
            for each, answer in renewal_round.replies.items()
            if each in promises and answer.incarnation == promises[each].incarnation
        }
        return renewal_round.sent_at if quorum.has_quorum(valid, quorum_size) else None
