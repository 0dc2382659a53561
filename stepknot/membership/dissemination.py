"""Dissemination of records by gossip: sends updates in rounds to random members, and merges received updates."""

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

# Minimum seconds between two rounds, so that many updates at once are sent together.
MIN_ROUND_INTERVAL = 0.05
LEAVE_ROUNDS = 3  # rounds in which a leave is announced


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

    # --- sending

    def send_round(self, now: float) -> None:
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
        # A round is repeated only if the send budget rejected all of its datagrams.
        if any(sent) or not sent:
            queue.mark_sent([*forgotten, *names[:count]])

    def send_round_if_due(self, now: float) -> None:
        """Send a round, unless the last one was sent less than `MIN_ROUND_INTERVAL` ago."""
        if self._view.gossip.rounds_left and now >= self._last_round + MIN_ROUND_INTERVAL:
            self.send_round(now)

    def announce_leave(self, now: float) -> None:
        """Set the own state to left and send no other update from now on."""
        self._refutation.set_state(now, State.LEFT, "this process is shutting down")
        self._view.gossip.replace_all(self._own.name, LEAVE_ROUNDS)
        self.send_round(now)

    def send_records(
        self, now: float, address: Address, records: list[Record], borrow: float = 0.0
    ) -> None:
        """Send the records, in short form where possible, in as many datagrams as needed and the budget allows."""
        self._send_all(now, address, records, borrow, full=False)

    def send_full_records(
        self, now: float, address: Address, records: list[Record], borrow: float = 0.0
    ) -> None:
        """Send the records in full, in as many datagrams as needed and the budget allows."""
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
        """Pack as many of the records as fit in one datagram.

        Most members know a process that has been known here for a while. For such a process only a short update is
        sent, and a member that does not know the process requests its full record.

        Returns:
            The message, and the number of records in it.
        """
        gossip, bytes_left = wire.Gossip([], []), wire.MAX_UPDATE_BYTES
        for count, record in enumerate(records):
            update = record if full else self._update_of(now, record)
            bytes_left -= wire.max_encoded_bytes(update)
            if bytes_left < 0 or count == wire.MAX_UPDATES:
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

    # --- receiving

    def on_gossip(self, now: float, sender: Record, gossip: wire.Gossip) -> bool:
        """Merge received updates.

        Returns:
            Whether all updates were handled: false if one of them made this member lose its name.
        """
        for record in gossip.records:
            if record.name != self._own.name:
                self._view.merge(now, record, f"gossip from {sender.name}")
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
                self._view.merge(now, record, f"gossip from {sender.name}")
        if unknown:
            self._outbox.send(now, sender.address, wire.RecordRequest(unknown))
