"""One process's part in one job: it elects itself, renews its lease, replicates records, hands the job over.

The phases are IDLE, ELECTING and HOLDING. Time is this process's own clock. Two checks protect each act: `may_act(now)`
holds at that moment, and a record counts only once a majority of voters accepted it under this epoch.
"""

from __future__ import annotations

import math
from enum import Enum

from stepknot.leases.election import Election, ElectionBackoff
from stepknot.leases.messages import (
    MAX_VALUE_BYTES,
    Accepted,
    AcceptRequest,
    HandoverOffer,
    LedgerRecord,
    Message,
    PrepareRequest,
    Promise,
    Rejection,
    ReleaseNotice,
    RenewReply,
    RenewRequest,
)
from stepknot.leases.renewal import LeaseRenewal
from stepknot.leases.replication import RecordReplication
from stepknot.leases.settings import LeaseSettings, ProcessId

ELECTION_FRACTION = 0.5  # of a lease, for a majority's replies
RESEND_FRACTION = 0.05  # of a lease, between two sendings of what was not answered
HANDOVER_PAUSE_LEASES = 2  # before the process that handed over starts an election again
NO_WAIT_MS = 1  # a rejection with this wait or less is not because of a running lease


class Phase(Enum):
    """What this process does about the job; the values appear in admin answers."""

    IDLE = "idle"
    ELECTING = "claiming"
    HOLDING = "owning"


class CandidateEvent(Enum):
    """What happened; the values are labels of a metric."""

    LEASE_ACQUIRED = "owning"
    LEASE_LOST = "lost"
    RECORD_COMMITTED = "committed"


class LeaseCandidate:
    """Candidate for one job's lease and, once elected, its holder."""

    def __init__(self, job: str, process: ProcessId, settings: LeaseSettings, seed: int) -> None:
        """Begin idle.

        Args:
            job: The job's name.
            process: This process.
            settings: The voters and the lease.
            seed: Of the random pauses between elections.
        """
        self.job = job
        self.process = process
        self.settings = settings
        self.phase = Phase.IDLE
        self.election = Election()
        self.backoff = ElectionBackoff(settings, seed)
        self.renewal = LeaseRenewal()
        self.replication = RecordReplication()
        self.highest_epoch = 0  # that this process knows of, its own or others'
        self.lease_expires_at = -math.inf
        self.held_since = -math.inf
        self.reason = ""  # of the last loss, failure or rejection
        self.outbox: list[tuple[str, Message]] = []  # receiver, message
        self.events: list[CandidateEvent] = []

    @property
    def epoch(self) -> int:
        """The epoch of the current or the last election."""
        return self.election.epoch

    @property
    def committed(self) -> LedgerRecord | None:
        """The newest record that is committed under this epoch."""
        return self.replication.committed

    @property
    def has_pending_record(self) -> bool:
        """Whether a record is being replicated; there is one at a time."""
        return self.replication.pending is not None

    def may_act(self, now: float) -> bool:
        """Whether this process holds the lease and its ledger at this very moment."""
        return (
            self.phase is Phase.HOLDING
            and now < self.lease_expires_at
            and self.replication.committed is not None
        )

    # Time

    def tick(self, now: float, wanted: bool) -> None:
        """Do what is due.

        Args:
            now: This process's clock.
            wanted: No lease holder is known, and it is this process's turn to start an election.
        """
        if self.phase is Phase.HOLDING and now >= self.lease_expires_at:
            self.stop(now, "its lease ran out before a majority renewed it")
        if self.phase is Phase.ELECTING and now >= self._election_deadline():
            promised, voters = len(self.election.promises), len(self.settings.voters)
            self.abandon_election(now, f"{promised} of {voters} voters granted it in time")
        if self.phase is Phase.IDLE and wanted and now >= self.backoff.next_election_at:
            self.start_election(now)
        if self.phase is Phase.ELECTING and now >= self.election.resend_at:
            self.election.resend_at = now + self._resend_seconds()
            self.send_prepare()
        elif self.phase is Phase.HOLDING:
            self.renew(now)
            self.replicate(now)

    # Elections

    def start_election(self, now: float, released_epoch: int = 0) -> None:
        """Ask all voters to promise an epoch above all known ones."""
        self.highest_epoch = max(self.highest_epoch, self.epoch) + 1
        self.election = Election(
            self.highest_epoch,
            released_epoch,
            started_at=now,
            resend_at=now + self._resend_seconds(),
        )
        self.renewal.reset()
        self.replication.reset()
        self.phase = Phase.ELECTING
        self.send_prepare()

    def send_prepare(self) -> None:
        """Ask the voters that have not promised yet."""
        request = PrepareRequest(self.job, self.epoch, self.election.released_epoch)
        self.send(request, self.election.missing_voters(self.settings))

    def abandon_election(self, now: float, reason: str, wait_seconds: float = 0.0) -> None:
        """End an election that failed, and release the voters that may have promised."""
        voters = self.election.voters_to_release(self.settings)
        self.send(ReleaseNotice(self.job, self.epoch), voters)
        self.phase = Phase.IDLE
        self.reason = reason
        self.backoff.record_failure(now, wait_seconds)

    def on_promise(self, now: float, voter: str, promise: Promise) -> None:
        """A voter promised the epoch."""
        if promise.epoch != self.epoch or self.phase is Phase.IDLE:
            # The election was abandoned meanwhile: the voter need not keep the promise for a lease.
            self.send(ReleaseNotice(self.job, promise.epoch), (voter,))
        elif self.phase is Phase.HOLDING:
            self.join_late_voter(now, voter, promise)
        else:
            self.election.record_promise(voter, promise)
            if now < self._holder_deadline(self.election.started_at):
                self.take_lease(now)

    def take_lease(self, now: float) -> None:
        """Become the lease holder if a majority promised. The lease counts from before the request was sent."""
        base = self.election.take_quorum(self.settings)
        if base is None:
            return
        self.replication.base = base
        self.phase = Phase.HOLDING
        self.lease_expires_at = self._holder_deadline(self.election.started_at)
        self.held_since = now
        self.backoff.record_success()
        self.renewal.next_at = now + self.settings.renewal_interval
        self.events.append(CandidateEvent.LEASE_ACQUIRED)
        # The last holder's record may be at a minority only: it counts once it is committed under this epoch.
        self.propose(now, base.value)

    def join_late_voter(self, now: float, voter: str, promise: Promise) -> None:
        """Count a voter that promised after the majority, unless it holds a record that this epoch does not follow."""
        if not self.election.is_new_promise(voter, promise):
            return
        if not self.replication.continues_from(promise.record, self.epoch):
            reason = f"{voter} holds a later record than this epoch began with"
            self.hand_over(now, None, reason)
            return
        self.election.promises[voter] = promise
        self.replication.forget_ack(voter)

    def on_rejection(self, now: float, voter: str, rejection: Rejection) -> None:
        """A voter rejected a request."""
        self.highest_epoch = max(self.highest_epoch, rejection.promised_epoch)
        if rejection.epoch != self.epoch:
            return
        if self.phase is Phase.HOLDING and voter not in self.election.promises:
            if rejection.promised_epoch >= self.epoch and rejection.retry_after_ms <= NO_WAIT_MS:
                self.election.needs_later_epoch = True
        elif self.phase is Phase.ELECTING:
            self.election.rejections[voter] = rejection
            self.reason = f"{voter}: {rejection.reason}"
            wait_seconds = self.election.seconds_until_quorum(self.settings)
            if wait_seconds is not None:
                self.abandon_election(now, self.reason, wait_seconds)

    # The lease

    def renew(self, now: float) -> None:
        """Start a round of renewals if one is due."""
        if now < self.renewal.next_at:
            return
        is_settled = not self.has_pending_record and self.replication.committed is not None
        if self.election.needs_later_epoch and is_settled:
            # The voters' leases are this process's own: they all promise the later epoch at once.
            self.start_election(now)
            return
        self.renewal.next_at = now + self.settings.renewal_interval
        number = self.renewal.start_round(now)
        committed = self.replication.committed
        committed_step = committed.step if committed is not None else 0
        request = RenewRequest(self.job, self.epoch, number, committed_step)
        self.send(request, tuple(self.election.promises))
        self.send_prepare()  # a voter that was away may join

    def on_renew_reply(self, voter: str, reply: RenewReply) -> None:
        """A voter extended the lease; with a majority's replies it counts from when the round was sent."""
        if reply.epoch != self.epoch or self.phase is not Phase.HOLDING:
            return
        sent_at = self.renewal.record_reply(
            voter, reply, self.election.promises, self.settings.quorum_size
        )
        if sent_at is not None:
            self.lease_expires_at = max(self.lease_expires_at, self._holder_deadline(sent_at))

    def stop(self, now: float, reason: str) -> None:
        """Stop holding the lease: no act under this epoch from here on."""
        if self.phase is Phase.HOLDING:
            self.events.append(CandidateEvent.LEASE_LOST)
            self.backoff.record_loss(now)
        self.phase = Phase.IDLE
        self.reason = reason
        self.lease_expires_at = -math.inf
        self.replication.pending = None

    def hand_over(self, now: float, successor: str | None, reason: str) -> None:
        """Stop, then release the voters, then offer the job to the successor. Its election takes one round trip."""
        if self.phase is Phase.HOLDING:
            self.stop(now, reason)
            pause = HANDOVER_PAUSE_LEASES * self.settings.lease_seconds
            self.backoff.next_election_at = now + pause
            self.send(ReleaseNotice(self.job, self.epoch), self.settings.voters)
            if successor is not None:
                self.send(HandoverOffer(self.job, self.epoch), (successor,))
        elif self.phase is Phase.ELECTING:
            self.abandon_election(now, reason)

    # Records

    def propose(self, now: float, value: bytes) -> None:
        """Replicate the job's next record. It counts once `committed` is that record."""
        assert self.phase is Phase.HOLDING
        assert not self.has_pending_record
        assert len(value) <= MAX_VALUE_BYTES
        self.replication.propose(self.epoch, value)
        self.replicate(now)

    def replicate(self, now: float) -> None:
        """Send the pending record, if it is due, to the voters that have not acknowledged it."""
        pending, promises = self.replication.pending, self.election.promises
        if pending is None:
            return
        for voter in self.replication.voters_to_send(now, self._resend_seconds(), promises):
            request = AcceptRequest(self.job, promises[voter].incarnation, pending.record)
            self.send(request, (voter,))

    def on_accepted(self, now: float, voter: str, ack: Accepted) -> None:
        """A voter accepted a record."""
        promise = self.election.promises.get(voter)
        if self.replication.record_ack(voter, ack, promise, self.settings.quorum_size):
            self.events.append(CandidateEvent.RECORD_COMMITTED)
            # The next renewal tells the voters which step is committed.
            self.renewal.next_at = min(self.renewal.next_at, now)

    # Messages

    def receive(self, now: float, voter: str, message: Message) -> None:
        """Handle a voter's reply about this job."""
        if voter not in self.settings.voters:
            return
        match message:
            case Promise():
                self.on_promise(now, voter, message)
            case Rejection():
                self.on_rejection(now, voter, message)
            case RenewReply():
                self.on_renew_reply(voter, message)
            case Accepted():
                self.on_accepted(now, voter, message)

    def send(self, message: Message, receivers: tuple[str, ...]) -> None:
        """Put a message to each of these into the outbox."""
        self.outbox += [(receiver, message) for receiver in receivers]

    # Times

    def _resend_seconds(self) -> float:
        return RESEND_FRACTION * self.settings.lease_seconds

    def _election_deadline(self) -> float:
        return self.election.started_at + ELECTION_FRACTION * self.settings.lease_seconds

    def _holder_deadline(self, sent_at: float) -> float:
        """The end of a lease whose request was sent at that time."""
        return sent_at + self.settings.holder_lease_seconds
