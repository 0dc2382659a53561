"""Dissemination of records by gossip: rounds to random members, and what comes in by others' rounds."""

from __future__ import annotations

import math
import random

import msgspec

from stepknot.membership import wire
from stepknot.membership.model import Address, MembershipSettings, Record, State
from stepknot.membership.outbox import Outbox
from stepknot.membership.own_member import OwnMember
from stepknot.membership.refutation import Refutation
from stepknot.membership.view import MembershipView

ROUND_INTERVAL = 0.05  # seconds between two rounds at least: updates of a storm go out together
LEAVE_ROUNDS = 3  # for a leave announcement


class Dissemination:
    """Sends records and merges received ones."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        view: MembershipView,
        outbox: Outbox,
        refutation: Refutation,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._own = own
        self._view = view
        self._outbox = outbox
        self._refutation = refutation
        self._rng = rng
        self._last_round = -math.inf

    # --- out

    def spread(self, now: float) -> None:
        """Send one round of the queued updates to some random members."""
        queue, records = self._view.gossip, self._view.table.records
        if not queue.rounds_left:
            return
        self._last_round = now
        others = self._view.others_present(self._own.name)
        picked = queue.pick(wire.MAX_UPDATES)
        names = [name for name in picked if name in records]
        forgotten = [name for name in picked if name not in records]
        gossip, count = self.pack(now, [records[name] for name in names])
        fanout = min(len(others), queue.fanout(now, self._settings.gossip_fanout))
        sent = [
            self._outbox.send(now, member.address, gossip)
            for member in self._rng.sample(others, fanout)
        ]
        # A round that the budget held back wholly is sent again; a part of one is not.
        if any(sent) or not sent:
            queue.mark_sent([*forgotten, *names[:count]])

    def spread_if_due(self, now: float) -> None:
        """Send a round, unless the last one was just now."""
        if self._view.gossip.rounds_left and now >= self._last_round + ROUND_INTERVAL:
            self.spread(now)

    def announce_leave(self, now: float) -> None:
        """Set the own state to left and spread nothing but that."""
        self._refutation.set_state(now, State.LEFT, "told to stop")
        self._view.gossip.replace_all(self._own.name, LEAVE_ROUNDS)
        self.spread(now)

    def send_records(
        self, now: float, address: Address, records: list[Record], borrow: float = 0.0
    ) -> None:
        """Send updates in as many datagrams as that takes, as far as the budget allows."""
        self._send_all(now, address, records, borrow, full=False)

    def send_full_records(
        self, now: float, address: Address, records: list[Record], borrow: float = 0.0
    ) -> None:
        """The same with full records only."""
        self._send_all(now, address, records, borrow, full=True)

    def _send_all(
        self, now: float, address: Address, records: list[Record], borrow: float, full: bool
    ) -> None:
        while records:
            gossip, count = self.pack(now, records, full)
            if not self._outbox.send(now, address, gossip, borrow):
                return
            records = records[count:]

    def pack(
        self, now: float, records: list[Record], full: bool = False
    ) -> tuple[wire.Gossip, int]:
        """As many records as fit in one datagram, and how many these are.

        Most members know a process that is known here for a while. Then only what changed is sent, and a member that
        does not know the process asks for its full record.
        """
        gossip, room = wire.Gossip([], []), wire.MAX_UPDATE_BYTES
        for count, record in enumerate(records):
            update = record if full else self._update_of(now, record)
            room -= wire.max_encoded_bytes(update)
            if room < 0 or count == wire.MAX_UPDATES:
                return gossip, count
            if isinstance(update, Record):
                gossip.records.append(update)
            else:
                gossip.short_updates.append(update)
        return gossip, len(records)

    def _update_of(self, now: float, record: Record) -> Record | wire.ShortUpdate:
        identity, since = self._view.table.known[record.name]
        if now < since + self._settings.suspect_after:
            return record
        return wire.ShortUpdate(identity, record.incarnation, record.state)

    # --- in

    def on_gossip(self, now: float, sender: Record, gossip: wire.Gossip) -> bool:
        """Merge updates.

        Returns:
            Whether all were merged: not where this member stepped aside for one of them.
        """
        for record in gossip.records:
            if record.name != self._own.name:
                self._view.merge(now, record, f"{sender.name} says so")
                continue
            self._refutation.on_own_name(now, record)
            if self._own.stepped_aside:
                return False
        self._merge_short_updates(now, sender, gossip.short_updates)
        return True

    def _merge_short_updates(
        self, now: float, sender: Record, updates: list[wire.ShortUpdate]
    ) -> None:
        table = self._view.table
        unknown = []
        for update in updates:
            name = table.identities.get(update.identity)
            if name is None:
                unknown.append(update.identity)
                continue
            record = msgspec.structs.replace(
                table.records[name], incarnation=update.incarnation, state=update.state
            )
            if name == self._own.name:
                self._refutation.refute(now, record)
            else:
                self._view.merge(now, record, f"{sender.name} says so")
        if unknown:
            self._outbox.send(now, sender.address, wire.RecordRequest(unknown))
