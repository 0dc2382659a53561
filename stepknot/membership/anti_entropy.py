"""Anti-entropy: compares tables whose digests differ by fingerprints, and sends the missing records both ways.

Gossip may be lost, and parts of a fleet that were cut off from each other know nothing of each other. Therefore this
module also contacts dead members and absent seeds from time to time.
"""

from __future__ import annotations

import math
import random

from stepknot.membership import wire
from stepknot.membership.dissemination import Dissemination
from stepknot.membership.heartbeats import Heartbeats
from stepknot.membership.model import Address, MembershipSettings, Record, State
from stepknot.membership.outbox import Outbox
from stepknot.membership.view import MembershipView

# Periods between two comparisons. One comparison may use as many bytes as the send rate allows in half a second.
COMPARE_PERIODS = 4
RECONNECT_PERIODS = 5  # periods between two contacts with a dead member or an absent seed


class AntiEntropy:
    """Compares this member's table with the tables of its neighbours."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        outbox: Outbox,
        dissemination: Dissemination,
        rng: random.Random,
    ) -> None:
        self._period = settings.period
        self._view = view
        self._outbox = outbox
        self._dissemination = dissemination
        self._rng = rng
        self._next_comparison = -math.inf
        self._next_bucket = 0

    def compare(self, now: float) -> None:
        """Send one section of fingerprints to a neighbour whose view has differed for at least one period."""
        if now < self._next_comparison:
            return
        differing = [
            name
            for name, subject in self._view.subjects.items()
            if now - subject.differs_since > self._period
        ]
        if not differing:
            return
        self._next_comparison = now + COMPARE_PERIODS * self._period
        table = self._view.table
        address = table.records[self._rng.choice(differing)].address
        first = self._next_bucket
        last, fingerprints = table.section(first)
        self._next_bucket = (last + 1) % wire.BUCKETS
        self._outbox.send(now, address, wire.AntiEntropyRequest(first, last, fingerprints))

    def on_request(self, now: float, sender: Record, request: wire.AntiEntropyRequest) -> None:
        """Send the records that the sender lacks, and request the records that are unknown here."""
        difference = self._view.table.compare(request.first, request.last, request.fingerprints)
        missing = difference.missing_there
        # Shuffled, so that a small send budget does not cut off the same records each time.
        self._rng.shuffle(missing)
        borrow = self._outbox.repair_borrow
        self._dissemination.send_records(now, sender.address, missing, borrow)
        if difference.missing_here:
            wanted = b"".join(difference.missing_here[: wire.MAX_UPDATES])
            record_request = wire.RecordRequest(fingerprints=wanted)
            self._outbox.send(now, sender.address, record_request, borrow)

    def on_record_request(self, now: float, sender: Record, request: wire.RecordRequest) -> None:
        """Send the records that the sender requests by identity or by fingerprint."""
        table = self._view.table
        names = dict.fromkeys(table.identities.get(each, "") for each in request.identities)
        by_identity = [table.records[name] for name in names if name]
        self._dissemination.send_full_records(
            now, sender.address, by_identity[: wire.MAX_FULL_RECORDS]
        )
        by_fingerprint = table.with_fingerprints(request.fingerprints)
        self._dissemination.send_records(
            now, sender.address, by_fingerprint[: wire.MAX_UPDATES], self._outbox.repair_borrow
        )


class Reconnection:
    """Contacts dead members and absent seeds from time to time, so that two sides of a healed partition merge."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        outbox: Outbox,
        heartbeats: Heartbeats,
        seeds: tuple[Address, ...],
        rng: random.Random,
    ) -> None:
        self._period = settings.period
        self._view = view
        self._outbox = outbox
        self._heartbeats = heartbeats
        self._seeds = seeds
        self._rng = rng
        self._next_contact = -math.inf

    def contact_absent(self, now: float) -> None:
        """Ping one dead member, and send a join request to one seed that is not present, if a contact is due."""
        if now < self._next_contact:
            return
        self._next_contact = now + RECONNECT_PERIODS * self._period * self._rng.uniform(0.75, 1.25)
        table = self._view.table
        dead = [name for name in table.tombstones if table.records[name].state is State.DEAD]
        if dead:
            self._heartbeats.ping(now, self._rng.choice(dead))
        present = {record.address for record in table.present.values()}
        absent_seeds = [each for each in self._seeds if each not in present]
        if absent_seeds:
            self._outbox.send(now, self._rng.choice(absent_seeds), wire.JoinRequest())
