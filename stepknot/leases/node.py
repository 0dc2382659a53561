"""One broker's part in leases: its voter, and for each job its candidate, fence and commands. No I/O, no clock.

The driver passes in datagrams and ticks, and takes out datagrams, the voter's state and events.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

from stepknot.leases.candidate import CandidateEvent, LeaseCandidate, Phase
from stepknot.leases.commands import CommandQueue
from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.fence import Fence
from stepknot.leases.job import Job, JobHandler
from stepknot.leases.messages import (
    Accepted,
    AcceptRequest,
    CommandReply,
    CommandRequest,
    CommitNotice,
    HandoverOffer,
    IncarnationQuery,
    IncarnationReply,
    LedgerRecord,
    Message,
    PrepareRequest,
    Promise,
    RecordQuery,
    RecordReport,
    RecoveryReply,
    RecoveryRequest,
    Rejection,
    ReleaseNotice,
    RenewReply,
    RenewRequest,
    decode,
    encode,
)
from stepknot.leases.output import (
    LeaseAcquired,
    LeaseEvent,
    LeaseLost,
    NodeOutput,
    OutgoingDatagram,
)
from stepknot.leases.placement import rank_members
from stepknot.leases.settings import LeaseSettings, ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.errors import DatagramError

MAX_ERROR_CHARACTERS = 300
STOP_REASON = "told to stop"
VOTER_MESSAGES = (
    PrepareRequest,
    RenewRequest,
    AcceptRequest,
    ReleaseNotice,
    RecordQuery,
    IncarnationQuery,
    IncarnationReply,
    RecoveryRequest,
    RecoveryReply,
)


class LeaseNode:
    """Dispatches messages to the voter and to the jobs."""

    def __init__(
        self,
        process: ProcessId,
        settings: LeaseSettings,
        voter: LeaseVoter | None,
        handlers: dict[str, JobHandler],
        seed: int,
        is_member: Callable[[str], bool],
    ) -> None:
        """Take the voter and the jobs.

        Args:
            process: This process.
            settings: The voters and the lease.
            voter: This broker's voter, if it is one.
            handlers: What each job does, by the job's name.
            seed: Of the random pauses between elections.
            is_member: Whether membership sees that name alive: a hint for whose turn it is.
        """
        self.process = process
        self.settings = settings
        self.voter = voter
        self.is_member = is_member
        chance = random.Random(seed)
        self.jobs = {
            name: Job(
                LeaseCandidate(name, process, settings, chance.getrandbits(60)),
                handler,
                Fence(settings.quorum_size),
            )
            for name, handler in handlers.items()
        }
        self.members: list[str] = [process.name]
        self.commands = CommandQueue(settings)
        self.counters: Counter[str] = Counter()
        self.is_leaving = False
        self._is_started = False
        self._datagrams: list[OutgoingDatagram] = []
        self._events: list[LeaseEvent] = []

    # Input

    def tick(self, now: float, members: list[str]) -> None:
        """Do what is due. `members`: all that membership sees alive, this broker among them."""
        self.members = members
        self._start(now)
        if self.voter is not None:
            for receiver, message in self.voter.due_requests(now):
                self._send(receiver, message)
        for job in self.jobs.values():
            self._tick_job(now, job)
        self._send_commands(now)

    def receive(self, now: float, data: bytes) -> None:
        """Handle a datagram. One that cannot be used is counted by its reason."""
        self._start(now)
        try:
            envelope = decode(data, self.settings.fleet)
        except DatagramError as error:
            self.counters[f"dropped: {error}"] += 1
            return
        sender = ProcessId(envelope.sender, envelope.birth)
        self._handle(now, sender, envelope.message)

    def hand_over(self, now: float, name: str, reason: str, successor: str | None = None) -> bool:
        """Hand a job over to the successor, by default to the next in rank.

        Returns:
            Whether this broker held the job's lease.
        """
        job = self.jobs[name]
        if job.candidate.phase is not Phase.HOLDING:
            return False
        others = [each for each in rank_members(name, self.members) if each != self.process.name]
        next_in_rank = others[0] if others else None
        job.candidate.hand_over(now, successor or next_in_rank, reason)
        job.holder_seen_at = -math.inf
        job.holder_missing_since = now
        self._carry_out(now, job)
        return True

    def leave(self, now: float) -> None:
        """Shut down gracefully: hand all jobs over, and start no election again."""
        self.is_leaving = True
        for name, job in self.jobs.items():
            if not self.hand_over(now, name, STOP_REASON):
                job.candidate.hand_over(now, None, STOP_REASON)
                self._carry_out(now, job)

    def submit_command(self, now: float, job: str, number: str, body: bytes) -> None:
        """Take an operator's command and pass it to the lease holder; `take_command_answer` has the answer.

        Raises:
            CommandRejectedError: The job is unknown, the command too long, or too many wait.
        """
        if job not in self.jobs:
            raise CommandRejectedError(f"no job {job}; known: {', '.join(self.jobs)}")
        self.commands.add(now, job, number, body)
        self._send_commands(now)

    def take_command_answer(self, number: str) -> str | None:
        """The answer to a command, given once: empty if it is in the ledger, else the error; None while it waits."""
        return self.commands.take_answer(number)

    # Output

    def take_output(self) -> NodeOutput:
        """What is to be carried out since the last call."""
        voter_state = None
        if self.voter is not None and self.voter.unsaved:
            self.voter.unsaved = False
            voter_state = self.voter.state()
        output = NodeOutput(self._datagrams, voter_state, self._events)
        self._datagrams = []
        self._events = []
        return output

    def _send(self, receiver: str, message: Message, *, after_save: bool = False) -> None:
        """Messages to this broker itself go the same way; the driver delivers them without the network."""
        data = encode(self.settings.fleet, self.process, message)
        self._datagrams.append(OutgoingDatagram(receiver, data, after_save))

    # A job in time

    def _start(self, now: float) -> None:
        """At the first call: a lease holder has a lease's time to announce itself."""
        if self._is_started:
            return
        self._is_started = True
        for job in self.jobs.values():
            job.holder_missing_since = now
        if self.voter is not None:
            self.voter.start(now)

    def _tick_job(self, now: float, job: Job) -> None:
        candidate = job.candidate
        is_own_turn = job.is_turn_of(now, self.process.name, self.members, self.is_member)
        candidate.tick(now, wanted=is_own_turn and not self.is_leaving)
        self._carry_out(now, job)
        if candidate.may_act(now):
            job.record_holder(now, self.process.name, candidate.epoch)
            if not candidate.has_pending_record:
                self._propose_next(now, job)
            self._announce(now, job)
        elif job.is_query_due(now):
            job.queried_at = now
            for voter in self.settings.voters:
                self._send(voter, RecordQuery(job.name))

    def _propose_next(self, now: float, job: Job) -> None:
        """Propose the job's next record if it is due; the caller just checked `may_act`."""
        committed = job.candidate.committed
        assert committed is not None
        value = job.handler.next_value(now, committed.value)
        if value is not None:
            job.candidate.propose(now, value)

    def _announce(self, now: float, job: Job) -> None:
        """Tell all members who holds the lease and which record is committed."""
        notice = job.next_announcement(now)
        if notice is None:
            return
        for member in self.members:
            if member != self.process.name:
                self._send(member, notice)

    def _carry_out(self, now: float, job: Job) -> None:
        """Send what the candidate wants to be sent, and handle its events."""
        candidate = job.candidate
        outbox, candidate.outbox = candidate.outbox, []
        for receiver, message in outbox:
            self._send(receiver, message)
        events, candidate.events = candidate.events, []
        for event in events:
            self.counters[event.value] += 1
            if event is CandidateEvent.RECORD_COMMITTED:
                self._on_committed(now, job)
            elif event is CandidateEvent.LEASE_LOST:
                job.uncommitted_commands.clear()  # their senders ask the next lease holder
                self._events.append(LeaseLost(job.name, candidate.epoch, candidate.reason))

    def _on_committed(self, now: float, job: Job) -> None:
        """A record of this broker's epoch was committed."""
        committed = job.candidate.committed
        if committed is not None:
            job.admit_record(committed)
        for number, sender in list(job.uncommitted_commands.items()):
            del job.uncommitted_commands[number]
            self._answer_command(sender, job.name, number, "")
        if committed is not None and committed.step == 1:
            self._events.append(LeaseAcquired(job.name, job.candidate.epoch))
            job.handler.on_lease_acquired(now, committed.value)

    # Messages

    def _handle(self, now: float, sender: ProcessId, message: Message) -> None:
        """Pass a message to the voter, to the job, or to both."""
        if isinstance(message, VOTER_MESSAGES) and self.voter is not None:
            reply = self.voter.receive(now, sender, message)
            if reply is not None:
                self._send(sender.name, reply, after_save=True)
        job = self.jobs.get(getattr(message, "job", ""))
        if job is not None:
            self._handle_for_job(now, sender, job, message)

    def _handle_for_job(self, now: float, sender: ProcessId, job: Job, message: Message) -> None:
        match message:
            case Promise() | Rejection() | RenewReply() | Accepted():
                job.candidate.receive(now, sender.name, message)
                self._carry_out(now, job)
            case CommitNotice():
                self._on_commit_notice(now, sender, job, message)
            case RecordQuery():
                self._on_record_query(now, sender, job, message)
            case RecordReport():
                self._on_record_report(sender, job, message)
            case HandoverOffer():
                self._on_handover_offer(now, job, message)
            case CommandRequest():
                self._on_command(now, sender, job, message)
            case CommandReply():
                self.commands.record_answer(message.number, message.error)

    def _on_commit_notice(
        self, now: float, sender: ProcessId, job: Job, notice: CommitNotice
    ) -> None:
        """A lease holder announced itself and its newest committed record."""
        if notice.epoch < job.holder_epoch:
            self.counters["told by an earlier owner"] += 1
            return
        job.record_holder(now, sender.name, notice.epoch)
        job.note_epoch(notice.epoch)
        newest = job.fence.newest
        if newest is not None and (notice.epoch, notice.step) <= newest.version:
            return
        if notice.value is None:
            self._send(sender.name, RecordQuery(notice.job))
        elif job.fence.ready:
            # A process that just started may receive from an outdated holder first: it waits for the voters.
            job.admit_record(LedgerRecord(notice.epoch, notice.step, notice.value))

    def _on_record_query(self, now: float, sender: ProcessId, job: Job, query: RecordQuery) -> None:
        """A member missed a committed record's value."""
        committed = job.candidate.committed
        if committed is not None and job.candidate.may_act(now):
            notice = CommitNotice(query.job, committed.epoch, committed.step, committed.value)
            self._send(sender.name, notice)

    def _on_record_report(self, sender: ProcessId, job: Job, report: RecordReport) -> None:
        """A voter reported what it holds."""
        if sender.name not in self.settings.voters:
            return
        job.note_epoch(report.record.epoch)
        if job.fence.record_report(sender.name, report) and job.fence.newest is not None:
            job.handler.apply_record(job.fence.newest)

    def _on_handover_offer(self, now: float, job: Job, offer: HandoverOffer) -> None:
        """A lease holder that stopped offers the job: start an election at once."""
        candidate = job.candidate
        if self.is_leaving or candidate.phase is not Phase.IDLE:
            return
        job.note_epoch(offer.epoch)
        candidate.start_election(now, released_epoch=offer.epoch)
        self._carry_out(now, job)

    # Commands

    def _send_commands(self, now: float) -> None:
        """Pass waiting commands to the lease holders, this broker itself among them."""
        self.commands.expire(now)
        for number, command in self.commands.due(now):
            job = self.jobs[command.job]
            request = CommandRequest(command.job, number, command.body)
            if job.candidate.may_act(now):
                self._on_command(now, self.process, job, request)
            elif job.holder_name and job.holder_name != self.process.name:
                self._send(job.holder_name, request)

    def _on_command(self, now: float, sender: ProcessId, job: Job, request: CommandRequest) -> None:
        """As the lease holder: take a command into the ledger. Its sender repeats it if this is not possible yet."""
        candidate = job.candidate
        is_taken = request.number in job.uncommitted_commands
        if is_taken or candidate.has_pending_record or not candidate.may_act(now):
            return
        committed = candidate.committed
        assert committed is not None
        try:
            value = job.handler.apply_command(committed.value, request.number, request.body)
        except ValueError as error:
            text = str(error)[:MAX_ERROR_CHARACTERS] or "refused"
            self._answer_command(sender.name, request.job, request.number, text)
            return
        if value == committed.value:
            self._answer_command(sender.name, request.job, request.number, "")
            return
        job.uncommitted_commands[request.number] = sender.name
        candidate.propose(now, value)
        self._carry_out(now, job)

    def _answer_command(self, receiver: str, job: str, number: str, error: str) -> None:
        if receiver == self.process.name:
            self.commands.record_answer(number, error)
        else:
            self._send(receiver, CommandReply(job, number, error))
