"""Changes of the own record: refutation by a greater incarnation, a greater epoch, name conflicts, the leave.

Invariant 5 of the package (names) is kept here.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from stepknot.membership import counters, wire
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import (
    ABSENT_STATES,
    MAX_EPOCH,
    MAX_INCARNATION,
    Record,
    State,
)
from stepknot.membership.outbox import Outbox
from stepknot.membership.own_member import OwnMember
from stepknot.membership.view import MembershipView


class Refutation:
    """Keeps the own record greater than what others hold of this process."""

    def __init__(
        self,
        own: OwnMember,
        view: MembershipView,
        outbox: Outbox,
        isolation: Isolation,
        counts: Counter[str],
    ) -> None:
        self._own = own
        self._view = view
        self._outbox = outbox
        self._isolation = isolation
        self._counts = counts

    def replace_record(self, now: float, record: Record, reason: str) -> None:
        """Take a new own record and spread it."""
        self._own.record = record
        self._view.merge(now, record, reason)

    def set_state(self, now: float, state: State, reason: str) -> None:
        """Change the own state."""
        self.replace_record(now, msgspec.structs.replace(self._own.record, state=state), reason)

    def refute(self, now: float, record: Record) -> None:
        """Answer a record that is greater than the own one of this process by one that is greater still."""
        own = self._own.record
        if record.process != own.process or record.rank <= own.rank:
            return
        self._counts[counters.REFUTED] += 1
        if record.incarnation + 1 < MAX_INCARNATION:
            refuting = msgspec.structs.replace(own, incarnation=record.incarnation + 1)
            self.replace_record(now, refuting, "proves itself")
        else:
            self._take_epoch(now, record.epoch, "its incarnations are spent")

    def refute_suspicion(self, now: float, incarnation: int) -> None:
        """Refute that this incarnation of the own process is suspect or dead."""
        held = msgspec.structs.replace(self._own.record, incarnation=incarnation, state=State.DEAD)
        self.refute(now, held)

    def on_own_name(self, now: float, record: Record) -> None:
        """Somebody spreads this record of the own name."""
        if record.process == self._own.record.process:
            self.refute(now, record)
        else:
            self.on_name_conflict(now, record)

    def on_name_conflict(self, now: float, record: Record) -> None:
        """A record of the own name came that is not the own one: the process with the greater (epoch, birth) stays."""
        if record.process <= self._own.record.process:
            self.refute(now, record)
            is_older = record.process != self._own.record.process
            if is_older and record.state not in ABSENT_STATES:
                self._counts[counters.MET_OLDER_PROCESS] += 1
                self._outbox.send(now, record.address, wire.Gossip([self._own.record]))
        elif self._process_has_ended(record):
            self._take_epoch(now, record.epoch, "an earlier process had this name")
        else:
            self._step_aside(
                now,
                f"another process took this name: epoch {record.epoch} at "
                f"{record.host}:{record.port}",
            )

    def _process_has_ended(self, record: Record) -> bool:
        """Whether the process of this greater record cannot run any more, so that its name is free."""
        return (
            not self._own.has_joined
            or record.state in ABSENT_STATES
            or record.address == self._own.record.address
        )

    def _take_epoch(self, now: float, above: int, reason: str) -> None:
        if above + 1 < MAX_EPOCH:
            renewed = msgspec.structs.replace(self._own.record, epoch=above + 1, incarnation=0)
            self.replace_record(now, renewed, reason)
        else:
            self._step_aside(now, "no epoch is left for this name")

    def _step_aside(self, now: float, reason: str) -> None:
        self._own.stepped_aside = True
        self._isolation.begin(now, reason)
        self._counts[counters.STEPPED_ASIDE] += 1
        self._view.table.report(self._own.name, self._own.record.state, None, reason)
