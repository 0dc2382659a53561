"""Recovery of a voter that lost its state: first its new incarnation, then what the other voters hold (invariant 5).

The recovering voter asks the others which incarnation of it they know, takes the next one, has a majority of the
others store it, and reads their state one job at a time.
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

RESEND_FRACTION = 0.1  # of a lease, between two requests to a voter that did not answer


@dataclass(slots=True)
class VoterRecovery:
    """Progress of one recovery. `others` are the other voters."""

    others: list[str]
    resend_seconds: float
    known_incarnations: dict[str, int] = field(default_factory=dict)  # ours, by voter that replied
    cursors: dict[str, str] = field(default_factory=dict)  # by voter: the job that it reported last
    finished_voters: set[str] = field(default_factory=set)  # that reported all their jobs
    incarnation: int = 0  # 0: not known yet
    resend_at: float = -math.inf

    @property
    def majority_finished(self) -> bool:
        """Whether a majority of the others reported all their jobs."""
        return len(self.finished_voters) > len(self.others) // 2

    def due_requests(self, now: float) -> list[tuple[str, Message]]:
        """The requests to send now, each with its receiver."""
        if now < self.resend_at:
            return []
        self.resend_at = now + self.resend_seconds
        if not self.incarnation:
            return [(each, IncarnationQuery()) for each in self.others]
        return [
            (each, RecoveryRequest(self.incarnation, self.cursors.get(each, "")))
            for each in self.others
            if each not in self.finished_voters
        ]

    def record_incarnation(self, now: float, voter: str, incarnation: int) -> None:
        """Take the incarnation of this voter that another one knows.

        A majority of the others stored each incarnation whose recovery finished. Any two such majorities share a
        voter, so the next incarnation is new.
        """
        if self.incarnation or voter not in self.others:
            return
        self.known_incarnations[voter] = incarnation
        if len(self.known_incarnations) > len(self.others) // 2:
            self.incarnation = max(self.known_incarnations.values()) + 1
            self.resend_at = now

    def record_reply(self, now: float, voter: str, reply: RecoveryReply) -> VoterJobState | None:
        """Take another voter's state of one job; returns it where it is new."""
        if not self.incarnation or reply.incarnation != self.incarnation:
            return None
        if voter not in self.others or voter in self.finished_voters:
            return None
        if reply.after_job != self.cursors.get(voter, ""):
            return None  # a duplicate of an earlier reply
        if reply.state is None:
            self.finished_voters.add(voter)
            return None
        self.cursors[voter] = reply.state.job
        self.resend_at = now
        return reply.state
