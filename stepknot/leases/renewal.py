"""Renewal of a lease in numbered rounds; each round extends the lease once a majority of voters replied to it."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import Promise, RenewReply

MAX_ROUNDS = 8  # number of the latest rounds whose replies are accepted


@dataclass(slots=True)
class RenewalRound:
    """One renewal request to all voters that promised the epoch, and their replies."""

    sent_at: float
    replies: dict[str, RenewReply] = field(default_factory=dict)  # by voter


@dataclass(slots=True)
class LeaseRenewal:
    """The latest rounds of the current epoch. Their numbers keep growing over all epochs of a process."""

    rounds: dict[int, RenewalRound] = field(default_factory=dict)  # by number
    last_number: int = 0
    next_at: float = -math.inf

    def reset(self) -> None:
        """Drop all rounds because a new epoch begins: replies to them are ignored from here on."""
        self.rounds = {}

    def start_round(self, now: float) -> int:
        """Start a round; returns its number."""
        self.last_number += 1
        self.rounds[self.last_number] = RenewalRound(now)
        self.rounds.pop(self.last_number - MAX_ROUNDS, None)
        return self.last_number

    def record_reply(
        self, voter: str, reply: RenewReply, promises: Mapping[str, Promise], quorum_size: int
    ) -> float | None:
        """Record a voter's reply.

        Returns:
            When the round was sent, if a majority of voters has replied to it in the incarnation in which they
            promised the epoch; else None.
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
