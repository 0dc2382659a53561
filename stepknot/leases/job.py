"""A broker's view of one job: what the job does, which process holds its lease, and which record is the newest."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from stepknot.leases.candidate import LeaseCandidate
from stepknot.leases.fence import Fence
from stepknot.leases.messages import CommitNotice, LedgerRecord
from stepknot.leases.placement import rank_members
from stepknot.leases.settings import LeaseSettings

# Delay of an election for each member that ranks higher, as a fraction of the lease.
RANK_DELAY_FRACTION = 0.5
# Interval between queries to the voters once the fence is ready, in leases.
QUERY_INTERVAL_LEASES = 2.0


def _do_nothing(now: float, value: bytes) -> None:
    """The default for a job that does nothing when this broker acquires its lease."""
    del now, value


@dataclass(slots=True)
class JobHandler:
    """What a job does: callbacks that `LeaseNode` calls.

    Attributes:
        next_value: Receives the time and the committed value; returns the next value if it is due, else None.
        apply_command: Receives the committed value, a command's number and its body; returns the next value.
            Raises ValueError if the command is rejected.
        apply_record: Receives each committed record that is newer than all before.
        on_lease_acquired: Receives the time and the committed value; called when this broker holds the lease and the
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
    holder_name: str = ""  # the process that last announced that it holds the lease
    holder_epoch: int = 0
    holder_seen_at: float = -math.inf
    holder_missing_since: float = math.inf  # infinite while a holder is known
    queried_at: float = -math.inf
    announce_at: float = -math.inf
    # The last version whose value was sent to all members.
    announced_version: tuple[int, int] = (0, 0)
    # Commands that this lease holder proposed and that are not committed yet: the sender's name by command number.
    uncommitted_commands: dict[str, str] = field(default_factory=dict)

    @property
    def name(self) -> str:
        """The job's name."""
        return self.candidate.job

    @property
    def _settings(self) -> LeaseSettings:
        return self.candidate.settings

    def is_election_turn(
        self, now: float, own_name: str, members: list[str], is_member: Callable[[str], bool]
    ) -> bool:
        """Whether no lease holder is known and the members that rank higher have had time for an election."""
        lease_seconds = self._settings.lease_seconds
        if now - self.holder_seen_at <= lease_seconds and is_member(self.holder_name):
            self.holder_missing_since = math.inf
            return False
        self.holder_missing_since = min(self.holder_missing_since, now)
        ranked = rank_members(self.name, members)
        rank = ranked.index(own_name) if own_name in ranked else len(ranked)
        return now >= self.holder_missing_since + RANK_DELAY_FRACTION * lease_seconds * rank

    def is_query_due(self, now: float) -> bool:
        """Whether to query the voters' records: at each renewal interval until the fence is ready, then less often."""
        query_interval = QUERY_INTERVAL_LEASES * self._settings.lease_seconds
        if self.fence.ready and now < self.queried_at + query_interval:
            return False
        return now >= self.queried_at + self._settings.renewal_interval

    def next_announcement(self, now: float) -> CommitNotice | None:
        """The lease holder's notice if one is due, with the record's value if that was not announced before."""
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
        """Record that a process holds the lease, by its announcement or because it is this one."""
        self.holder_name = name
        self.holder_epoch = epoch
        self.holder_seen_at = now

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that another process knows, so that the next election uses a later one."""
        self.candidate.highest_epoch = max(self.candidate.highest_epoch, epoch)

    def admit_record(self, record: LedgerRecord) -> None:
        """Apply a committed record if it is newer than all before (invariant 6)."""
        if self.fence.admit(record):
            self.handler.apply_record(record)
