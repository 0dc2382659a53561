"""This member's view of the fleet: keeps the table, the rings and the subjects consistent with each other."""

from __future__ import annotations

import random

from stepknot.membership.gossip import GossipQueue
from stepknot.membership.model import ABSENT_STATES, MembershipSettings, Record, State
from stepknot.membership.probe_requests import ProbeRequests
from stepknot.membership.rings import ObserverRings
from stepknot.membership.subject import Subject
from stepknot.membership.table import MemberTable
from stepknot.membership.wire import MAX_FULL_RECORDS


class MembershipView:
    """Holds the table, the rings, the subjects and the queue of updates. All records are merged here."""

    def __init__(self, settings: MembershipSettings, own_name: str, rng: random.Random) -> None:
        self._period = settings.period
        self.own_name = own_name
        self._rng = rng
        self.table = MemberTable(settings.max_records, settings.tombstone)
        self.rings = ObserverRings(settings.rings)
        self.gossip = GossipQueue(settings.gossip_rounds, storm_rate=MAX_FULL_RECORDS)
        self.probe_requests = ProbeRequests(settings.period)
        self.subjects: dict[str, Subject] = {}  # the members that this member observes
        # An ordered set of the subjects that were not suspect when the subjects were last refreshed.
        self.neighbours: dict[str, None] = {}
        self._subjects_outdated = False

    def merge(self, now: float, record: Record, reason: str) -> bool:
        """Merge a record into the table and, if it is newer, queue it for gossip.

        Returns:
            Whether the record was newer.
        """
        old = self.table.present.get(record.name)
        if not self.table.put(now, record, reason):
            return False
        if record.state is not State.JOINING:
            self.gossip.add(now, record.name)
        if record.state in ABSENT_STATES:
            self._remove(record.name)
        else:
            self._add(now, record, old)
        return True

    def refresh_subjects(self, now: float) -> None:
        """Select the subjects from the rings again, if the members have changed."""
        if not self._subjects_outdated:
            return
        self._subjects_outdated = False
        neighbours = self.rings.neighbours_of(self.own_name, self.is_suspect)
        self.neighbours = neighbours.nearest
        wanted = neighbours.nearest | neighbours.skipped
        self.subjects = {name: each for name, each in self.subjects.items() if name in wanted}
        for name in wanted:
            if name not in self.subjects:
                first_heartbeat = now + self._rng.random() * self._period
                self.subjects[name] = Subject(now, next_heartbeat=first_heartbeat)

    def record_contact(self, now: float, sender: Record) -> None:
        """Store that a datagram was received from this member."""
        subject = self.subjects.get(sender.name)
        if subject is not None:
            subject.last_received = now
            subject.record_sign_of_life(now, "received here")

    def is_suspect(self, name: str) -> bool:
        """Whether a present member is suspect."""
        return self.table.present[name].state is State.SUSPECT

    def others_present(self, name: str) -> list[Record]:
        """Records of all present members except the named one."""
        return [each for each in self.table.present.values() if each.name != name]

    def _remove(self, name: str) -> None:
        self.rings.remove(name)
        self.subjects.pop(name, None)
        self.probe_requests.forget(name)
        self._subjects_outdated = True

    def _add(self, now: float, record: Record, old: Record | None) -> None:
        self.rings.add(record.name)
        self._subjects_outdated |= old is None or old.state != record.state
        subject = self.subjects.get(record.name)
        if subject is None or record.state is not State.ALIVE:
            return
        if old is None or old.process != record.process:
            subject = self.subjects[record.name] = Subject(now)
        subject.record_sign_of_life(now, "a newer incarnation")
