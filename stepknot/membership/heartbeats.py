"""Heartbeats between observers and subjects, sent in both directions of each edge."""

from __future__ import annotations

import math

from stepknot.membership import wire
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import REFUTABLE_STATES, MembershipSettings, Record
from stepknot.membership.outbox import Outbox
from stepknot.membership.refutation import Refutation
from stepknot.membership.send_budget import ANSWER_BORROW, HEARTBEAT_BORROW
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView

# Periods between two heartbeats to a suspect. Heartbeats from a suspect are answered at once.
SUSPECT_PERIODS = 4


class Heartbeats:
    """Sends heartbeats, and evaluates received ones: what they report about this member, and the sender's digest."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        outbox: Outbox,
        isolation: Isolation,
        refutation: Refutation,
    ) -> None:
        self._settings = settings
        self._view = view
        self._outbox = outbox
        self._isolation = isolation
        self._refutation = refutation
        # When a subject last reported the same digest as this member's view.
        self.views_agreed_at = -math.inf

    def send_due(self, now: float) -> None:
        """Send a heartbeat to each subject for which one is due."""
        period = self._settings.period
        for name, subject in self._view.subjects.items():
            if now >= subject.next_heartbeat:
                self.send(now, name, borrow=HEARTBEAT_BORROW)
                periods = 1 if name in self._view.neighbours else SUSPECT_PERIODS
                subject.next_heartbeat = max(subject.next_heartbeat + periods * period, now)

    def ping(self, now: float, name: str) -> None:
        """Send a heartbeat that requests an immediate answer."""
        self.send(now, name, reply_requested=True)

    def send(
        self, now: float, name: str, reply_requested: bool = False, borrow: float = ANSWER_BORROW
    ) -> None:
        """Send a heartbeat to a member of the table."""
        table = self._view.table
        record = table.records[name]
        is_refutable = record.state in REFUTABLE_STATES
        heartbeat = wire.Heartbeat(
            _milliseconds_since_received(now, self._view.subjects.get(name)),
            table.digest,
            record.incarnation if is_refutable else -1,
            reply_requested,
            self._isolation.is_isolated,
        )
        self._outbox.send(now, record.address, heartbeat, borrow)

    def on_heartbeat(self, now: float, sender: Record, heartbeat: wire.Heartbeat) -> None:
        """Refute a reported suspicion, store the sender's observation and digest, and answer if required."""
        subject = self._view.subjects.get(sender.name)
        if heartbeat.suspected_incarnation >= 0:
            self._refutation.refute_suspicion(now, heartbeat.suspected_incarnation)
        if subject is not None:
            self._update_subject(now, subject, heartbeat)
        if heartbeat.reply_requested or self._must_answer(now, sender, subject):
            self.send(now, sender.name)
            if subject is not None:
                subject.next_heartbeat = now + self._settings.period

    def _update_subject(self, now: float, subject: Subject, heartbeat: wire.Heartbeat) -> None:
        """Store when the subject last received this member, and whether its view agrees with this one."""
        if heartbeat.last_received >= 0:
            received_at = now - heartbeat.last_received / 1000
            subject.last_received_by_it = max(subject.last_received_by_it, received_at)
        if heartbeat.digest == self._view.table.digest:
            subject.differs_since = math.inf
            self.views_agreed_at = now
        else:
            subject.differs_since = min(subject.differs_since, now)

    def _must_answer(self, now: float, sender: Record, subject: Subject | None) -> bool:
        """Whether to inform the sender that it is suspect or dead in this view, so that it can refute that."""
        is_refutable = self._view.table.records[sender.name].state in REFUTABLE_STATES
        return is_refutable and (subject is None or now >= subject.next_heartbeat)


def _milliseconds_since_received(now: float, subject: Subject | None) -> int:
    """Milliseconds since something was received from the subject; -1 if nothing was received yet."""
    if subject is None or subject.last_received == -math.inf:
        return wire.NEVER
    return min(int((now - subject.last_received) * 1000), wire.MAX_MILLISECONDS - 1)
