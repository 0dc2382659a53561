"""One job as seen by this broker: what the job does, who holds its lease, which record is the newest."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from stepknot.leases.candidate import LeaseCandidate
from stepknot.leases.fence import Fence
from stepknot.leases.messages import CommitNotice, LedgerRecord
from stepknot.leases.placement import rank_members
from stepknot.leases.settings import LeaseSettings

TURN_FRACTION = 0.5  # of a lease, that each next member in rank waits longer before its election
QUERY_INTERVAL_LEASES = 2.0  # between two queries to the voters, once a majority has reported


def _do_nothing(now: float, value: bytes) -> None:
    """The default where a job need not know that this broker acquired its lease."""
    del now, value


@dataclass(slots=True)
class JobHandler:
    """What a job does; its callbacks are called by `LeaseNode`.

    Attributes:
        next_value: Gets the time and the committed value; returns the next one when it is due, else None.
        apply_command: Gets the committed value, a command's number and body; returns the next value.
            Raises ValueError where the command is rejected.
        apply_record: Gets each committed record, the newest only.
        on_lease_acquired: Gets the time and the committed value; called when this broker holds the lease and the
            first record of its epoch is committed.
    """

    next_value: Callable[[float, bytes], bytes | None]
    apply_command: Callable[[bytes, str, bytes], bytes]
    apply_record: Callable[[LedgerRecord], None]
    on_lease_acquired: Callable[[float, bytes], None] = _do_nothing


@dataclass(slots=True)
class Job:
    """This broker's view of one job."""

    candidate: LeaseCandidate
    handler: JobHandler
    fence: Fence
    holder_name: str = ""  # who announced last that it holds the lease
    holder_epoch: int = 0
    holder_seen_at: float = -math.inf
    holder_missing_since: float = math.inf  # infinite while a holder is known
    queried_at: float = -math.inf
    announce_at: float = -math.inf
    announced_version: tuple[int, int] = (0, 0)  # last sent to all members with its value
    # Commands that were taken here and are not committed yet: who sent each, by its number.
    uncommitted_commands: dict[str, str] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The job's name."""
        return self.candidate.job

    @property
    def _settings(self) -> LeaseSettings:
        return self.candidate.settings

    def is_turn_of(
        self, now: float, own_name: str, members: list[str], is_member: Callable[[str], bool]
    ) -> bool:
        """Whether no lease holder is known and the members before this one in rank had their time."""
        lease_seconds = self._settings.lease_seconds
        if now - self.holder_seen_at <= lease_seconds and is_member(self.holder_name):
            self.holder_missing_since = math.inf
            return False
        self.holder_missing_since = min(self.holder_missing_since, now)
        ranked = rank_members(self.name, members)
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return now >= self.holder_missing_since + TURN_FRACTION * lease_seconds * rank

    def is_query_due(self, now: float) -> bool:
        """Whether to ask the voters what they hold: often until a majority has reported, then seldom."""
        query_interval = QUERY_INTERVAL_LEASES * self._settings.lease_seconds
        if self.fence.ready and now < self.queried_at + query_interval:
            return False
        return now >= self.queried_at + self._settings.renewal_interval

    def next_announcement(self, now: float) -> CommitNotice | None:
        """As the lease holder: the notice that is due, with the record's value when it is new."""
        committed = self.candidate.committed
        assert committed is not None
        is_new = committed.version != self.announced_version
        if not is_new and now < self.announce_at:
            return None
        self.announced_version = committed.version
        self.announce_at = now + self._settings.renewal_interval
        value = committed.value if is_new else None
        return CommitNotice(self.name, committed.epoch, committed.step, value)

    def record_holder(self, now: float, name: str, epoch: int) -> None:
        """Take a process's announcement that it holds the lease."""
        self.holder_name = name
        self.holder_epoch = epoch
        self.holder_seen_at = now

    def note_epoch(self, epoch: int) -> None:
        """An epoch that another process knows: the next election goes above it."""
        self.candidate.highest_epoch = max(self.candidate.highest_epoch, epoch)

    def admit_record(self, record: LedgerRecord) -> None:
        """Apply a committed record if it is newer than all before (invariant 6)."""
        if self.fence.admit(record):
            self.handler.apply_record(record)
