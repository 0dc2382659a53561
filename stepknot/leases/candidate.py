"""A process's candidacy for one job: elections, lease renewals, replication of records and handovers.

The phases are IDLE, ELECTING and HOLDING. Times are read from this process's own clock. Two checks guard each action of
a lease holder: `may_act(now)` is true at that moment, and a record takes effect only once a majority of voters accepted
it under this epoch.
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

ELECTION_TIMEOUT_FRACTION = 0.5  # time-out of an election, as a fraction of the lease
# Interval at which unanswered requests are resent, as a fraction of the lease.
RESEND_FRACTION = 0.05
# Pause, in leases, before a process that handed over starts an election again.
HANDOVER_PAUSE_LEASES = 2
NO_WAIT_MS = 1  # a rejection with a longer wait is due to a running lease or to the voter's start


class Phase(Enum):
    """The state of this process's candidacy; the values appear in admin answers."""

    IDLE = "idle"
    ELECTING = "claiming"
    HOLDING = "owning"


class CandidateEvent(Enum):
    """An event of a candidacy; the values are labels of a metric."""

    LEASE_ACQUIRED = "owning"
    LEASE_LOST = "lost"
    RECORD_COMMITTED = "committed"


class LeaseCandidate:
    """A candidate for one job's lease, which becomes the lease holder once it is elected."""

    def __init__(self, job: str, process: ProcessId, settings: LeaseSettings, seed: int) -> None:
        """Create an idle candidate.

        Args:
            job: The job's name.
            process: This process.
            settings: The voters and the lease's duration.
            seed: The seed of the random pauses between elections.
        """
        self.job = job
        self.process = process
        self.settings = settings
        self.phase = Phase.IDLE
        self.election = Election()
        self.backoff = ElectionBackoff(settings, seed)
        self.renewal = LeaseRenewal()
        self.replication = RecordReplication()
        self.highest_epoch = 0  # the greatest known epoch, of this or any other process
        self.lease_expires_at = -math.inf
        self.held_since = -math.inf
        self.reason = ""  # why the lease was lost, an election failed or a voter rejected it last
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
        """Whether this process holds the lease at `now` and has committed a record under its epoch."""
        return (
            self.phase is Phase.HOLDING
            and now < self.lease_expires_at
            and self.replication.committed is not None
        )

    # Periodic work

    def tick(self, now: float, is_own_turn: bool) -> None:
        """Apply time-outs and send the requests that are due.

        Args:
            now: This process's clock.
            is_own_turn: No lease holder is known, and it is this process's turn to start an election.
        """
        if self.phase is Phase.HOLDING and now >= self.lease_expires_at:
            self.stop(now, "the lease expired before a majority of voters renewed it")
        if self.phase is Phase.ELECTING and now >= self._election_deadline():
            promised, voters = len(self.election.promises), len(self.settings.voters)
            self.abandon_election(
                now,
                f"{promised} of {voters} voters promised the epoch in time; "
                f"valid promises of {self.settings.quorum_size} are needed",
            )
        if self.phase is Phase.IDLE and is_own_turn and now >= self.backoff.next_election_at:
            self.start_election(now)
        if self.phase is Phase.ELECTING and now >= self.election.resend_at:
            self.election.resend_at = now + self._resend_seconds()
            self.send_prepare()
        elif self.phase is Phase.HOLDING:
            self.renew(now)
            self.replicate(now)

    # Elections

    def start_election(self, now: float, released_epoch: int = 0) -> None:
        """Ask all voters to promise an epoch that is greater than every known one."""
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
        """Send the prepare request to the voters that have not promised yet."""
        request = PrepareRequest(self.job, self.epoch, self.election.released_epoch)
        self.send(request, self.election.missing_voters(self.settings))

    def abandon_election(self, now: float, reason: str, wait_seconds: float = 0.0) -> None:
        """End a failed election and release the voters that may have promised."""
        voters = self.election.voters_to_release(self.settings)
        self.send(ReleaseNotice(self.job, self.epoch), voters)
        self.phase = Phase.IDLE
        self.reason = reason
        self.backoff.record_failure(now, wait_seconds)

    def on_promise(self, now: float, voter: str, promise: Promise) -> None:
        """Handle a voter's promise."""
        if promise.epoch != self.epoch or self.phase is Phase.IDLE:
            # The election has ended. The release lets the voter promise the job to others at once.
            self.send(ReleaseNotice(self.job, promise.epoch), (voter,))
        elif self.phase is Phase.HOLDING:
            self.join_late_voter(now, voter, promise)
        else:
            self.election.record_promise(voter, promise)
            if now < self._holder_deadline(self.election.started_at):
                self.take_lease(now)

    def take_lease(self, now: float) -> None:
        """Become the lease holder if a majority promised. The lease runs from the start of the election."""
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
        # The previous holder's record may be stored by a minority only, so it is committed again under this epoch.
        self.propose(now, base.value)

    def join_late_voter(self, now: float, voter: str, promise: Promise) -> None:
        """Add a voter that promised after the majority, or hand the job over if the voter holds a later record."""
        if not self.election.is_new_promise(voter, promise):
            return
        if not self.replication.continues_from(promise.record, self.epoch):
            reason = f"{voter} holds a later record (by epoch and step) than the one that this epoch continues from"
            self.hand_over(now, None, reason)
            return
        self.election.promises[voter] = promise
        self.replication.forget_ack(voter)

    def on_rejection(self, now: float, voter: str, rejection: Rejection) -> None:
        """Handle a voter's rejection of a request."""
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
        """Start a renewal round if one is due."""
        if now < self.renewal.next_at:
            return
        is_settled = not self.has_pending_record and self.replication.committed is not None
        if self.election.needs_later_epoch and is_settled:
            # Voters promise a later epoch at once to the process whose lease they hold.
            self.start_election(now)
            return
        self.renewal.next_at = now + self.settings.renewal_interval
        number = self.renewal.start_round(now)
        committed = self.replication.committed
        committed_step = committed.step if committed is not None else 0
        request = RenewRequest(self.job, self.epoch, number, committed_step)
        self.send(request, tuple(self.election.promises))
        self.send_prepare()  # a voter that was unreachable may promise now

    def on_renew_reply(self, voter: str, reply: RenewReply) -> None:
        """Handle a voter's renewal. A majority's replies extend the lease from when the round was sent."""
        if reply.epoch != self.epoch or self.phase is not Phase.HOLDING:
            return
        sent_at = self.renewal.record_reply(
            voter, reply, self.election.promises, self.settings.quorum_size
        )
        if sent_at is not None:
            self.lease_expires_at = max(self.lease_expires_at, self._holder_deadline(sent_at))

    def stop(self, now: float, reason: str) -> None:
        """Stop holding the lease; this process does not act under this epoch any more."""
        if self.phase is Phase.HOLDING:
            self.events.append(CandidateEvent.LEASE_LOST)
            self.backoff.record_loss(now)
        self.phase = Phase.IDLE
        self.reason = reason
        self.lease_expires_at = -math.inf
        self.replication.pending = None

    def hand_over(self, now: float, successor: str | None, reason: str) -> None:
        """Stop holding the lease, then release the voters, then offer the job to the successor.

        The successor's election takes one round trip, because the voters need not wait for the lease to expire.
        """
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
        """Replicate the job's next record. It takes effect once `committed` is that record."""
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
        """Handle a voter's acknowledgement of a record."""
        promise = self.election.promises.get(voter)
        if self.replication.record_ack(voter, ack, promise, self.settings.quorum_size):
            self.events.append(CandidateEvent.RECORD_COMMITTED)
            # The next renewal reports the committed step to the voters.
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
        """Add the message to the outbox once for each receiver."""
        self.outbox += [(receiver, message) for receiver in receivers]

    # Durations and deadlines

    def _resend_seconds(self) -> float:
        return RESEND_FRACTION * self.settings.lease_seconds

    def _election_deadline(self) -> float:
        return self.election.started_at + ELECTION_TIMEOUT_FRACTION * self.settings.lease_seconds

    def _holder_deadline(self, sent_at: float) -> float:
        """The time at which a lease ends if its request was sent at `sent_at`."""
        return sent_at + self.settings.holder_lease_seconds
