"""Replication of a job's records under one epoch: one record at a time is sent to the voters until it is committed."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import NO_RECORD, Accepted, LedgerRecord, Promise


@dataclass(slots=True)
class PendingRecord:
    """A proposed record that is not committed yet."""

    record: LedgerRecord
    acks: dict[str, Accepted] = field(default_factory=dict)  # by voter
    send_at: float = -math.inf


@dataclass(slots=True)
class RecordReplication:
    """The lease holder's state of a job's ledger."""

    # The newest record that the majority reported when this epoch began.
    base: LedgerRecord = NO_RECORD
    step: int = 0  # step of the last record that was proposed under this epoch
    pending: PendingRecord | None = None
    committed: LedgerRecord | None = None  # the newest record that is committed under this epoch

    def reset(self) -> None:
        """Discard the records of the previous epoch because a new election begins."""
        self.step = 0
        self.pending = None
        self.committed = None

    def propose(self, epoch: int, value: bytes) -> None:
        """Make a record with this value the pending record under the next step."""
        self.step += 1
        self.pending = PendingRecord(LedgerRecord(epoch, self.step, value))

    def voters_to_send(self, now: float, resend_seconds: float, voters: Iterable[str]) -> list[str]:
        """Select the voters, out of `voters`, to which the pending record has to be sent now."""
        pending = self.pending
        if pending is None or now < pending.send_at:
            return []
        pending.send_at = now + resend_seconds
        return [voter for voter in voters if voter not in pending.acks]

    def forget_ack(self, voter: str) -> None:
        """Discard the acknowledgement of a voter that lost its state after it and has promised again."""
        if self.pending is not None:
            self.pending.acks.pop(voter, None)

    def record_ack(
        self, voter: str, ack: Accepted, promise: Promise | None, quorum_size: int
    ) -> bool:
        """Record a voter's acknowledgement; returns whether the pending record is committed by it (invariant 4)."""
        pending = self.pending
        if pending is None or (ack.epoch, ack.step) != pending.record.version:
            return False
        if promise is None or ack.incarnation != promise.incarnation:
            return False
        pending.acks[voter] = ack
        if not quorum.has_quorum(pending.acks, quorum_size):
            return False
        self.committed = pending.record
        self.pending = None
        return True

    def continues_from(self, record: LedgerRecord, epoch: int) -> bool:
        """Whether this epoch's records follow the record that a voter reports with a late promise.

        They do if the record is this epoch's own, or is not newer than the one that the epoch continues from.
        """
        if record.version <= self.base.version:
            return True
        return record.epoch == epoch and record.step <= self.step
