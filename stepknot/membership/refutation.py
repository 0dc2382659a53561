"""Changes of the own record: refutations by a greater incarnation, greater epochs, name conflicts and the leave.

This module implements invariant 5 of the package (names).
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
    """Keeps the own record at least as great as every record of this process that other members have."""

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
        """Replace the own record and queue it for gossip."""
        self._own.record = record
        self._view.merge(now, record, reason)

    def set_state(self, now: float, state: State, reason: str) -> None:
        """Change the state in the own record."""
        self.replace_record(now, msgspec.structs.replace(self._own.record, state=state), reason)

    def refute(self, now: float, record: Record) -> None:
        """Replace the own record by a greater one, if the given record of this process is greater than the own one."""
        own = self._own.record
        if record.process != own.process or record.rank <= own.rank:
            return
        self._counts[counters.REFUTED] += 1
        if record.incarnation + 1 < MAX_INCARNATION:
            refuting = msgspec.structs.replace(own, incarnation=record.incarnation + 1)
            self.replace_record(now, refuting, "refuted with a greater incarnation")
        else:
            self._take_epoch(now, record.epoch, "the process has no greater incarnation left")

    def refute_suspicion(self, now: float, incarnation: int) -> None:
        """Refute that this incarnation of the own process is suspect or dead."""
        claim = msgspec.structs.replace(self._own.record, incarnation=incarnation, state=State.DEAD)
        self.refute(now, claim)

    def on_own_name(self, now: float, record: Record) -> None:
        """Handle a record that was received in gossip and has this member's own name."""
        if record.process == self._own.record.process:
            self.refute(now, record)
        else:
            self.on_name_conflict(now, record)

    def on_name_conflict(self, now: float, record: Record) -> None:
        """Handle another record with this member's name: the process with the greater (epoch, birth) keeps the name."""
        if record.process <= self._own.record.process:
            self.refute(now, record)
            is_older = record.process != self._own.record.process
            if is_older and record.state not in ABSENT_STATES:
                self._counts[counters.NAME_CONFLICT_WON] += 1
                self._outbox.send(now, record.address, wire.Gossip([self._own.record]))
        elif self._process_has_ended(record):
            self._take_epoch(now, record.epoch, "another process that has ended used this name")
        else:
            self._give_up_name(
                now,
                f"another process uses this name and has precedence: epoch {record.epoch} at "
                f"{record.host}:{record.port}",
            )

    def _process_has_ended(self, record: Record) -> bool:
        """Whether the process of this greater record is no longer running, so that its name is free."""
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
            self._give_up_name(now, f"no epoch after {above} is left for this name")

    def _give_up_name(self, now: float, reason: str) -> None:
        """Take no further part in the protocol, and regard this member as isolated."""
        self._own.stepped_aside = True
        self._isolation.begin(now, reason)
        self._counts[counters.NAME_CONFLICT_LOST] += 1
        self._view.table.report(self._own.name, self._own.record.state, None, reason)
