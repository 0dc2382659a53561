"""Heartbeats between observers and subjects, in both directions of each edge."""

from __future__ import annotations

import math

from stepknot.membership import wire
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import DOUBTED_STATES, MembershipSettings, Record
from stepknot.membership.outbox import Outbox
from stepknot.membership.refutation import Refutation
from stepknot.membership.send_budget import ANSWER_BORROW, HEARTBEAT_BORROW
from stepknot.membership.subject import Subject
from stepknot.membership.view import MembershipView

SUSPECT_PERIODS = 4  # between two heartbeats to a suspect; its own ones are answered at once


class Heartbeats:
    """Sends heartbeats, and takes in what received ones say of this member and of the sender's view."""

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
        self.views_agreed_at = (
            -math.inf
        )  # a subject's view had the digest of this one, the last time

    def send_due(self, now: float) -> None:
        """Send a heartbeat to each subject whose time has come."""
        period = self._settings.period
        for name, subject in self._view.subjects.items():
            if now >= subject.next_heartbeat:
                self.send(now, name, borrow=HEARTBEAT_BORROW)
                periods = 1 if name in self._view.neighbours else SUSPECT_PERIODS
                subject.next_heartbeat = max(subject.next_heartbeat + periods * period, now)

    def ping(self, now: float, name: str) -> None:
        """Send a heartbeat that is to be answered at once."""
        self.send(now, name, reply_requested=True)

    def send(
        self, now: float, name: str, reply_requested: bool = False, borrow: float = ANSWER_BORROW
    ) -> None:
        """Send a heartbeat to a member of the table."""
        table = self._view.table
        record = table.records[name]
        is_doubted = record.state in DOUBTED_STATES
        heartbeat = wire.Heartbeat(
            _milliseconds_since(now, self._view.subjects.get(name)),
            table.digest,
            record.incarnation if is_doubted else -1,
            reply_requested,
            self._isolation.is_isolated,
        )
        self._outbox.send(now, record.address, heartbeat, borrow)

    def on_heartbeat(self, now: float, sender: Record, heartbeat: wire.Heartbeat) -> None:
        """Refute a suspicion, take in the sender's observation and digest, and answer where that is due."""
        subject = self._view.subjects.get(sender.name)
        if heartbeat.suspected_incarnation >= 0:
            self._refutation.refute_suspicion(now, heartbeat.suspected_incarnation)
        if subject is not None:
            self._note_edge(now, subject, heartbeat)
        if heartbeat.reply_requested or self._owes_an_answer(now, sender, subject):
            self.send(now, sender.name)
            if subject is not None:
                subject.next_heartbeat = now + self._settings.period

    def _note_edge(self, now: float, subject: Subject, heartbeat: wire.Heartbeat) -> None:
        """What a subject says of this member, and whether its view is the same."""
        if heartbeat.last_received >= 0:
            received_at = now - heartbeat.last_received / 1000
            subject.last_received_by_it = max(subject.last_received_by_it, received_at)
        if heartbeat.digest == self._view.table.digest:
            subject.differs_since = math.inf
            self.views_agreed_at = now
        else:
            subject.differs_since = min(subject.differs_since, now)

    def _owes_an_answer(self, now: float, sender: Record, subject: Subject | None) -> bool:
        """A member that is held suspect or dead here learns that, so that it can refute it."""
        is_doubted = self._view.table.records[sender.name].state in DOUBTED_STATES
        return is_doubted and (subject is None or now >= subject.next_heartbeat)


def _milliseconds_since(now: float, subject: Subject | None) -> int:
    """Since something was received from the subject; -1: never."""
    if subject is None or subject.last_received == -math.inf:
        return wire.NEVER
    return min(int((now - subject.last_received) * 1000), wire.MAX_MILLISECONDS - 1)
