"""The lease protocol for one job: drives the candidate, announces and applies records, and handles commands."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from stepknot.leases.candidate import CandidateEvent, Phase
from stepknot.leases.commands import CommandQueue
from stepknot.leases.job import Job
from stepknot.leases.messages import (
    Accepted,
    CommandReply,
    CommandRequest,
    CommitNotice,
    HandoverOffer,
    LedgerRecord,
    Message,
    Promise,
    RecordQuery,
    RecordReport,
    Rejection,
    RenewReply,
)
from stepknot.leases.output import LeaseAcquired, LeaseLost, NodeOutbox
from stepknot.leases.placement import rank_members
from stepknot.leases.settings import LeaseSettings, ProcessId

MAX_ERROR_CHARACTERS = 300
SHUTDOWN_REASON = "the broker is shutting down"


@dataclass(slots=True)
class NodeContext:
    """State that the jobs of a broker share; `LeaseNode` changes `members` and `is_leaving`."""

    process: ProcessId
    settings: LeaseSettings
    is_member: Callable[[str], bool]
    commands: CommandQueue
    outbox: NodeOutbox
    members: list[str]
    counters: Counter[str] = field(default_factory=Counter)
    is_leaving: bool = False


class JobProtocol:
    """Runs the lease protocol for one job in one broker."""

    def __init__(self, job: Job, context: NodeContext) -> None:
        """Create the protocol of `job`; `context` is shared with the broker's other jobs."""
        self.job = job
        self._context = context

    def tick(self, now: float) -> None:
        """Run the candidate's periodic work, and propose, announce or query the job's record if that is due."""
        candidate = self.job.candidate
        is_own_turn = self.job.is_election_turn(
            now, self._context.process.name, self._context.members, self._context.is_member
        )
        candidate.tick(now, is_own_turn=is_own_turn and not self._context.is_leaving)
        self.carry_out(now)
        if candidate.may_act(now):
            self.job.record_holder(now, self._context.process.name, candidate.epoch)
            if not candidate.has_pending_record:
                self._propose_next(now)
            self._announce(now)
        elif self.job.is_query_due(now):
            self.job.queried_at = now
            for voter in self._context.settings.voters:
                self._context.outbox.send(voter, RecordQuery(self.job.name))

    def receive(self, now: float, sender: ProcessId, message: Message) -> None:
        """Handle a message about this job, whether it is for the candidate, the lease holder or a member."""
        match message:
            case Promise() | Rejection() | RenewReply() | Accepted():
                self.job.candidate.receive(now, sender.name, message)
                self.carry_out(now)
            case CommitNotice():
                self._on_commit_notice(now, sender, message)
            case RecordQuery():
                self._on_record_query(now, sender, message)
            case RecordReport():
                self._on_record_report(sender, message)
            case HandoverOffer():
                self._on_handover_offer(now, message)
            case CommandRequest():
                self.on_command(now, sender, message)
            case CommandReply():
                self._context.commands.record_answer(message.number, message.error)

    def carry_out(self, now: float) -> None:
        """Send the candidate's messages and handle its events."""
        candidate = self.job.candidate
        outbox, candidate.outbox = candidate.outbox, []
        for receiver, message in outbox:
            self._context.outbox.send(receiver, message)
        events, candidate.events = candidate.events, []
        for event in events:
            self._context.counters[event.value] += 1
            if event is CandidateEvent.RECORD_COMMITTED:
                self._on_committed(now)
            elif event is CandidateEvent.LEASE_LOST:
                # Their senders resend them to the next lease holder.
                self.job.uncommitted_commands.clear()
                self._context.outbox.events.append(
                    LeaseLost(self.job.name, candidate.epoch, candidate.reason)
                )

    def hand_over(self, now: float, reason: str, successor: str | None) -> bool:
        """Hand the job over to the successor, by default to the next in rank.

        Returns:
            Whether this broker held the job's lease.
        """
        candidate, own_name = self.job.candidate, self._context.process.name
        if candidate.phase is not Phase.HOLDING:
            return False
        ranked = rank_members(self.job.name, self._context.members)
        others = [each for each in ranked if each != own_name]
        next_in_rank = others[0] if others else None
        candidate.hand_over(now, successor or next_in_rank, reason)
        self.job.holder_seen_at = -math.inf
        self.job.holder_missing_since = now
        self.carry_out(now)
        return True

    def leave(self, now: float) -> None:
        """Hand the job over, or abandon this broker's election."""
        if not self.hand_over(now, SHUTDOWN_REASON, None):
            self.job.candidate.hand_over(now, None, SHUTDOWN_REASON)
            self.carry_out(now)

    def on_command(self, now: float, sender: ProcessId, request: CommandRequest) -> None:
        """Propose the record that a command leads to, as the lease holder.

        A command that cannot be handled now gets no reply; its sender resends it.
        """
        candidate = self.job.candidate
        is_proposed = request.number in self.job.uncommitted_commands
        if is_proposed or candidate.has_pending_record or not candidate.may_act(now):
            return
        committed = candidate.committed
        assert committed is not None
        try:
            value = self.job.handler.apply_command(committed.value, request.number, request.body)
        except ValueError as error:
            text = str(error)[:MAX_ERROR_CHARACTERS] or "refused"
            self._answer_command(sender.name, request.number, text)
            return
        if value == committed.value:
            self._answer_command(sender.name, request.number, "")
            return
        self.job.uncommitted_commands[request.number] = sender.name
        candidate.propose(now, value)
        self.carry_out(now)

    def _propose_next(self, now: float) -> None:
        """Propose the job's next record if it is due. The caller has checked `may_act`."""
        committed = self.job.candidate.committed
        assert committed is not None
        value = self.job.handler.next_value(now, committed.value)
        if value is not None:
            self.job.candidate.propose(now, value)

    def _announce(self, now: float) -> None:
        """Notify all other members that this broker holds the lease and which record is committed, if that is due."""
        notice = self.job.next_announcement(now)
        if notice is None:
            return
        for member in self._context.members:
            if member != self._context.process.name:
                self._context.outbox.send(member, notice)

    def _on_committed(self, now: float) -> None:
        """Apply a record that was committed under this broker's epoch, and answer the commands in it."""
        committed = self.job.candidate.committed
        if committed is not None:
            self.job.admit_record(committed)
        for number, sender in list(self.job.uncommitted_commands.items()):
            del self.job.uncommitted_commands[number]
            self._answer_command(sender, number, "")
        if committed is not None and committed.step == 1:
            self._context.outbox.events.append(
                LeaseAcquired(self.job.name, self.job.candidate.epoch)
            )
            self.job.handler.on_lease_acquired(now, committed.value)

    def _on_commit_notice(self, now: float, sender: ProcessId, notice: CommitNotice) -> None:
        """Handle a lease holder's announcement of itself and its newest committed record."""
        if notice.epoch < self.job.holder_epoch:
            self._context.counters["told by an earlier owner"] += 1
            return
        self.job.record_holder(now, sender.name, notice.epoch)
        self.job.record_epoch(notice.epoch)
        newest = self.job.fence.newest
        if newest is not None and (notice.epoch, notice.step) <= newest.version:
            return
        if notice.value is None:
            self._context.outbox.send(sender.name, RecordQuery(notice.job))
        elif self.job.fence.ready:
            # The first announcement after a process's start may be an outdated holder's, so the fence has to be ready.
            self.job.admit_record(LedgerRecord(notice.epoch, notice.step, notice.value))

    def _on_record_query(self, now: float, sender: ProcessId, query: RecordQuery) -> None:
        """Send the committed record to a member that missed its value."""
        committed = self.job.candidate.committed
        if committed is not None and self.job.candidate.may_act(now):
            notice = CommitNotice(query.job, committed.epoch, committed.step, committed.value)
            self._context.outbox.send(sender.name, notice)

    def _on_record_report(self, sender: ProcessId, report: RecordReport) -> None:
        """Handle a voter's report of the record that it holds."""
        if sender.name not in self._context.settings.voters:
            return
        self.job.record_epoch(report.record.epoch)
        if self.job.fence.record_report(sender.name, report) and self.job.fence.newest is not None:
            self.job.handler.apply_record(self.job.fence.newest)

    def _on_handover_offer(self, now: float, offer: HandoverOffer) -> None:
        """Start an election at once, because the lease holder stopped and offers the job."""
        candidate = self.job.candidate
        if self._context.is_leaving or candidate.phase is not Phase.IDLE:
            return
        self.job.record_epoch(offer.epoch)
        candidate.start_election(now, released_epoch=offer.epoch)
        self.carry_out(now)

    def _answer_command(self, receiver: str, number: str, error: str) -> None:
        """Send the answer to a command, or record it if the command was given to this broker."""
        if receiver == self._context.process.name:
            self._context.commands.record_answer(number, error)
        else:
            self._context.outbox.send(receiver, CommandReply(self.job.name, number, error))
