"""Fencing in a process that applies a job's records: it admits newer records only (invariant 6)."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import LedgerRecord, RecordReport


@dataclass(slots=True)
class Fence:
    """Admits each record of one job at most once, in the order of fencing tokens.

    It admits nothing until a majority of the voters reported the records that they hold: a newly started process does
    not know which records were applied before, and the first announcement that it receives may be an outdated
    holder's.
    """

    quorum_size: int
    newest: LedgerRecord | None = None
    reports: dict[str, RecordReport] = field(default_factory=dict)  # by voter
    # A majority has reported, and its newest record, if there is one, is committed.
    ready: bool = False
    rejected_count: int = 0  # records that were rejected because they were older than the newest

    def record_report(self, voter: str, report: RecordReport) -> bool:
        """Record a voter's report of the record that it holds.

        Returns:
            Whether `newest` changed.
        """
        self.reports[voter] = report
        valid = {each: self.reports[each] for each in quorum.valid_voters(self.reports)}
        if len(valid) < self.quorum_size:
            return False
        committed = newest_committed(valid, self.quorum_size)
        newest = max((each.record for each in valid.values()), key=lambda each: each.version)
        if newest.step and (committed is None or committed.version < newest.version):
            # The newest record may be committed, and an earlier process of this broker may have
            # applied it. Later reports show whether it is: the lease holder informs the voters.
            return False
        self.ready = True
        return committed is not None and self.admit(committed)

    def admit(self, record: LedgerRecord) -> bool:
        """Admit a committed record if it is newer than all before; returns whether it is."""
        if self.newest is not None and record.version <= self.newest.version:
            if record.version < self.newest.version:
                self.rejected_count += 1
            return False
        self.newest = record
        return True


def newest_committed(reports: Mapping[str, RecordReport], quorum_size: int) -> LedgerRecord | None:
    """The newest record that is known to be committed.

    A record is known to be committed if its lease holder informed a voter of that, or if a majority of voters holds it.
    """
    records = [each.record for each in reports.values()]
    committed = [
        each.record
        for each in reports.values()
        if each.record.step
        and (each.committed_step >= each.record.step or records.count(each.record) >= quorum_size)
    ]
    return max(committed, key=lambda each: each.version, default=None)
