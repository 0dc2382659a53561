"""Recovery of a voter that lost its state: it gets a new incarnation and reads the other voters' state (invariant 5).

The recovering voter asks the others which incarnation of it they know, adopts the next one, and reads the others'
state one job at a time. Each request carries the new incarnation, which the receiver stores before it replies.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stepknot.leases.messages import (
    IncarnationQuery,
    Message,
    RecoveryReply,
    RecoveryRequest,
    VoterJobState,
)

# Interval at which unanswered requests are resent, as a fraction of the lease.
RESEND_FRACTION = 0.1


@dataclass(slots=True)
class VoterRecovery:
    """Progress of the recovery of this broker's voter."""

    other_voters: list[str]
    resend_seconds: float
    # The recovering voter's incarnation that each other voter reported, by that voter.
    known_incarnations: dict[str, int] = field(default_factory=dict)
    # The last job that each other voter reported, by voter.
    cursors: dict[str, str] = field(default_factory=dict)
    # The other voters that reported all their jobs.
    finished_voters: set[str] = field(default_factory=set)
    incarnation: int = 0  # the new incarnation; 0: not known yet
    resend_at: float = -math.inf

    @property
    def majority_finished(self) -> bool:
        """Whether a majority of the other voters reported all their jobs."""
        return len(self.finished_voters) > len(self.other_voters) // 2

    def due_requests(self, now: float) -> list[tuple[str, Message]]:
        """The requests to send now, each with its receiver."""
        if now < self.resend_at:
            return []
        self.resend_at = now + self.resend_seconds
        if not self.incarnation:
            return [(each, IncarnationQuery()) for each in self.other_voters]
        return [
            (each, RecoveryRequest(self.incarnation, self.cursors.get(each, "")))
            for each in self.other_voters
            if each not in self.finished_voters
        ]

    def record_incarnation(self, now: float, voter: str, incarnation: int) -> None:
        """Record the incarnation of the recovering voter that another voter knows.

        A majority of the other voters stored each incarnation whose recovery finished. Any two such majorities share
        a voter, so an incarnation that is greater than all that a majority reports is new.
        """
        if self.incarnation or voter not in self.other_voters:
            return
        self.known_incarnations[voter] = incarnation
        if len(self.known_incarnations) > len(self.other_voters) // 2:
            self.incarnation = max(self.known_incarnations.values()) + 1
            self.resend_at = now

    def record_reply(self, now: float, voter: str, reply: RecoveryReply) -> VoterJobState | None:
        """Record another voter's reply; returns the state in it, unless it has none or is void or a duplicate."""
        if not self.incarnation or reply.incarnation != self.incarnation:
            return None
        if voter not in self.other_voters or voter in self.finished_voters:
            return None
        if reply.after_job != self.cursors.get(voter, ""):
            return None  # a duplicate of an earlier reply
        if reply.state is None:
            self.finished_voters.add(voter)
            return None
        self.cursors[voter] = reply.state.job
        self.resend_at = now
        return reply.state
