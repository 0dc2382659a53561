"""A voter: it promises epochs, extends leases and accepts records, and has the state that has to be stored.

Whenever `unsaved` is true, `state()` has to be on disk before any later reply is sent (invariant 2).
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from stepknot.leases.messages import (
    MAX_JOBS,
    NO_RECORD,
    Accepted,
    AcceptRequest,
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
    VoterJobState,
    VoterState,
)
from stepknot.leases.recovery import RESEND_FRACTION, VoterRecovery
from stepknot.leases.settings import LeaseSettings, ProcessId

NO_PROCESS = ProcessId("", 0)
TOO_MANY_JOBS_RETRY_MS = 60_000
MAX_REASON_CHARACTERS = 80


@dataclass(slots=True)
class VoterJob:
    """A voter's state of one job."""

    promised_epoch: int = 0
    holder: ProcessId = NO_PROCESS  # the process that the epoch was promised to
    record: LedgerRecord = NO_RECORD
    lease_expires_at: float = -math.inf  # by this voter's clock; not stored
    # Newest step that the record's lease holder reported as committed; not stored.
    committed_step: int = 0

    def is_promised_to(self, process: ProcessId, epoch: int) -> bool:
        """Whether the promised epoch is `epoch` and was promised to `process`."""
        return self.promised_epoch == epoch and self.holder == process

    def to_state(self, job: str) -> VoterJobState:
        """The part of the state that is stored."""
        return VoterJobState(
            job, self.promised_epoch, self.holder.name or "-", self.holder.birth, self.record
        )


class LeaseVoter:
    """One voter of the fleet: replies to requests of candidates, lease holders and other voters."""

    def __init__(self, name: str, settings: LeaseSettings, stored: VoterState | None) -> None:
        """Load the stored state, or begin a recovery.

        Args:
            name: This broker's name.
            settings: The fleet's voters and the lease's duration.
            stored: The state as read from disk; None if it is lost, so that the voter has to recover before it votes.
        """
        self.name = name
        self.settings = settings
        self.other_voters = [each for each in settings.voters if each != name]
        self.jobs: dict[str, VoterJob] = {}
        self.incarnation = 0
        # Each voter's first incarnation is 1.
        self.known_incarnations = dict.fromkeys(settings.voters, 1)
        # Renewals are not stored, so the voter waits for the duration of a lease after its start.
        self.votes_from = math.inf
        self.recovery: VoterRecovery | None = None
        self.unsaved = False
        self.failure = ""  # why a save failed; the voter does not reply to any message after that
        if stored is None:
            resend_seconds = settings.lease_seconds * RESEND_FRACTION
            self.recovery = VoterRecovery(self.other_voters, resend_seconds)
        else:
            self._load(stored)

    @property
    def is_voting(self) -> bool:
        """Whether this voter has its state and its disk works."""
        return self.recovery is None and not self.failure

    def start(self, now: float) -> None:
        """Make the voter vote after the duration of a lease from now. One that lost its state recovers first."""
        if self.recovery is None:
            self.votes_from = now + self.settings.voter_lease_seconds

    def state(self) -> VoterState:
        """The state that has to be on disk."""
        return VoterState(
            self.settings.fleet,
            self.name,
            self.incarnation,
            self.incarnations(),
            [job.to_state(name) for name, job in sorted(self.jobs.items())],
        )

    def incarnations(self) -> dict[str, int]:
        """The newest known incarnation of each voter."""
        return {**self.known_incarnations, self.name: self.incarnation}

    def due_requests(self, now: float) -> list[tuple[str, Message]]:
        """The requests of this voter's recovery that are due now, each with its receiver."""
        if self.recovery is None or self.failure:
            return []
        return self.recovery.due_requests(now)

    def receive(self, now: float, sender: ProcessId, message: Message) -> Message | None:
        """Handle a message; returns the reply, if there is one."""
        if self.failure:
            return None
        match message:
            case IncarnationReply():
                self.on_incarnation_reply(now, sender, message)
                return None
            case RecoveryReply():
                self.on_recovery_reply(now, sender, message)
                return None
        return None if self.recovery is not None else self._reply(now, sender, message)

    def _reply(self, now: float, sender: ProcessId, message: Message) -> Message | None:
        """Handle a request to a voter that has its state; returns the reply, if there is one."""
        match message:
            case PrepareRequest():
                return self.on_prepare(now, sender, message)
            case RenewRequest():
                return self.on_renew(now, sender, message)
            case AcceptRequest():
                return self.on_accept(sender, message)
            case ReleaseNotice():
                self.on_release(sender, message)
                return None
            case RecordQuery():
                return self.on_record_query(message)
            case IncarnationQuery():
                return self.on_incarnation_query(sender)
            case RecoveryRequest():
                return self.on_recovery_request(sender, message)
        return None

    # Requests of candidates and lease holders

    def on_prepare(self, now: float, sender: ProcessId, request: PrepareRequest) -> Message:
        """Promise the epoch (invariant 1), unless another process's lease may still run."""
        job = self.jobs.get(request.job)
        if job is None and len(self.jobs) >= MAX_JOBS:
            reason = f"{MAX_JOBS} jobs are known here already"
            return Rejection(request.job, request.epoch, 0, TOO_MANY_JOBS_RETRY_MS, reason)
        job = job or VoterJob()
        is_repeated = request.epoch == job.promised_epoch and sender == job.holder
        if request.epoch <= job.promised_epoch and not is_repeated:
            return self._reject_prepare(now, request, job, "a later epoch is promised")
        if request.epoch > job.promised_epoch:
            is_free = sender == job.holder or request.released_epoch == job.promised_epoch
            if not is_free and now < max(job.lease_expires_at, self.votes_from):
                holder = job.holder.name or "an earlier owner"
                return self._reject_prepare(now, request, job, f"{holder}'s lease may still run")
            job.promised_epoch = request.epoch
            job.holder = sender
            self.jobs[request.job] = job
            self.unsaved = True
        job.lease_expires_at = now + self.settings.voter_lease_seconds
        return Promise(
            request.job, request.epoch, self.incarnation, self.incarnations(), job.record
        )

    def on_renew(self, now: float, sender: ProcessId, request: RenewRequest) -> Message:
        """Extend the lease of the process that the epoch was promised to."""
        job = self.jobs.get(request.job)
        if job is None or not job.is_promised_to(sender, request.epoch):
            return self._reject(request.job, request.epoch, job, "not promised here")
        job.lease_expires_at = now + self.settings.voter_lease_seconds
        if job.record.epoch == request.epoch and job.record.step >= request.committed_step:
            job.committed_step = max(job.committed_step, request.committed_step)
        return RenewReply(
            request.job, request.epoch, request.number, self.incarnation, self.incarnations()
        )

    def on_accept(self, sender: ProcessId, request: AcceptRequest) -> Message:
        """Accept a record only under the epoch that this voter promised, in this incarnation (invariant 4)."""
        job, record = self.jobs.get(request.job), request.record
        if (
            job is None
            or not job.is_promised_to(sender, record.epoch)
            or request.incarnation != self.incarnation
        ):
            return self._reject(request.job, record.epoch, job, "not granted here")
        if record.version > job.record.version:
            if record.epoch != job.record.epoch:
                job.committed_step = 0
            job.record = record
            self.unsaved = True
        return Accepted(
            request.job, record.epoch, record.step, self.incarnation, self.incarnations()
        )

    def on_release(self, sender: ProcessId, notice: ReleaseNotice) -> None:
        """End the lease at once, if the sender holds it under this epoch."""
        job = self.jobs.get(notice.job)
        if job is not None and job.is_promised_to(sender, notice.epoch):
            job.lease_expires_at = -math.inf

    def on_record_query(self, query: RecordQuery) -> Message:
        """Report the record that this voter holds."""
        job = self.jobs.get(query.job) or VoterJob()
        return RecordReport(
            query.job, self.incarnation, self.incarnations(), job.record, job.committed_step
        )

    # Requests of voters that lost their state

    def on_incarnation_query(self, sender: ProcessId) -> Message | None:
        """Report to another voter which incarnation of it this voter knows."""
        if sender.name not in self.other_voters:
            return None
        return IncarnationReply(self.known_incarnations[sender.name])

    def on_recovery_request(self, sender: ProcessId, request: RecoveryRequest) -> Message | None:
        """Store the sender's new incarnation, and report the state of the job that follows `after_job`."""
        if sender.name not in self.other_voters:
            return None
        known = self.known_incarnations[sender.name]
        if request.incarnation < known:
            return None
        if request.incarnation > known:
            self.known_incarnations[sender.name] = request.incarnation
            self.unsaved = True
        name = min((each for each in self.jobs if each > request.after_job), default=None)
        state = self.jobs[name].to_state(name) if name is not None else None
        return RecoveryReply(request.incarnation, request.after_job, state)

    # This voter's own recovery

    def on_incarnation_reply(self, now: float, sender: ProcessId, reply: IncarnationReply) -> None:
        """Handle another voter's report of the newest incarnation of this voter that is known there."""
        if self.recovery is not None:
            self.recovery.record_incarnation(now, sender.name, reply.incarnation)

    def on_recovery_reply(self, now: float, sender: ProcessId, reply: RecoveryReply) -> None:
        """Handle another voter's report of one job. Once a majority reported all jobs, the recovery is finished.

        The voter then votes after the duration of a lease.
        """
        recovery = self.recovery
        if recovery is None:
            return
        state = recovery.record_reply(now, sender.name, reply)
        if state is not None:
            self.merge_state(state)
        elif recovery.majority_finished:
            self.incarnation = recovery.incarnation
            self.recovery = None
            self.unsaved = True
            self.votes_from = now + self.settings.voter_lease_seconds

    def merge_state(self, state: VoterJobState) -> None:
        """Adopt another voter's promise and record where they are newer.

        This voter did not make that promise itself, so it neither renews that lease nor accepts a record under it.
        """
        job = self.jobs.setdefault(state.job, VoterJob())
        if state.promised_epoch > job.promised_epoch:
            job.promised_epoch = state.promised_epoch
            job.holder = NO_PROCESS
        if state.record.version > job.record.version:
            job.record = state.record

    # Helpers

    def _load(self, stored: VoterState) -> None:
        self.incarnation = stored.incarnation
        for voter, incarnation in stored.incarnations.items():
            if voter in self.known_incarnations:
                self.known_incarnations[voter] = max(incarnation, 1)
        for each in stored.jobs:
            holder = ProcessId(each.holder, each.holder_birth)
            self.jobs[each.job] = VoterJob(each.promised_epoch, holder, each.record)

    def _reject_prepare(
        self, now: float, request: PrepareRequest, job: VoterJob, reason: str
    ) -> Rejection:
        """A rejection whose `retry_after_ms` covers the running lease and the wait after this voter's start."""
        wait = max(0.0, job.lease_expires_at - now, self.votes_from - now)
        return Rejection(
            request.job,
            request.epoch,
            job.promised_epoch,
            int(wait * 1000) + 1,
            reason[:MAX_REASON_CHARACTERS],
        )

    def _reject(self, name: str, epoch: int, job: VoterJob | None, reason: str) -> Rejection:
        """A rejection whose `retry_after_ms` is 0, as there is no lease to wait for."""
        return Rejection(name, epoch, job.promised_epoch if job is not None else 0, 0, reason)
