"""Joining the fleet through seeds: join requests with a growing delay, and the answers to other members' requests."""

from __future__ import annotations

import math
import random

from stepknot.membership import wire
from stepknot.membership.dissemination import Dissemination
from stepknot.membership.model import Address, MembershipSettings, Record, State
from stepknot.membership.outbox import Outbox
from stepknot.membership.own_member import OwnMember
from stepknot.membership.refutation import Refutation
from stepknot.membership.send_budget import ANSWER_BORROW
from stepknot.membership.view import MembershipView

MAX_JOIN_DELAY = 2.0  # seconds between two rounds of join requests


class Join:
    """Sends join requests to seeds until this member is admitted."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        outbox: Outbox,
        refutation: Refutation,
        rng: random.Random,
    ) -> None:
        self._fanout = settings.gossip_fanout
        self._own = own
        self._outbox = outbox
        self._refutation = refutation
        self._rng = rng
        self.seeds: tuple[Address, ...] = tuple(
            each for each in settings.seeds if each != own.record.address
        )
        self._next_request = -math.inf
        self._delay = settings.period / 2  # seconds, doubled with each round

    def request(self, now: float) -> None:
        """Send join requests to some seeds, if they are due. Without a seed, this is the fleet's first member."""
        if self._own.has_joined or now < self._next_request:
            return
        if not self.seeds:
            self._complete(now, "no seed other than this member is configured")
            return
        for address in self._rng.sample(self.seeds, min(len(self.seeds), self._fanout)):
            self._outbox.send(now, address, wire.JoinRequest(), ANSWER_BORROW)
        self._next_request = now + self._delay * self._rng.uniform(0.5, 1.0)
        self._delay = min(2 * self._delay, MAX_JOIN_DELAY)

    def on_admitted(self, now: float) -> None:
        """Complete the join: received gossip proves that some member knows this one."""
        if not self._own.has_joined and self._own.record.state is State.JOINING:
            self._complete(now, "admitted by the fleet")

    def _complete(self, now: float, reason: str) -> None:
        self._own.has_joined = True
        self._refutation.set_state(now, State.ALIVE, reason)


class JoinResponder:
    """Answers other members' join requests."""

    def __init__(
        self,
        own: OwnMember,
        view: MembershipView,
        dissemination: Dissemination,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._view = view
        self._dissemination = dissemination
        self._rng = rng

    def answer(self, now: float, sender: Record) -> None:
        """Answer with this member's record of the sender's name, followed by some other records up to a fixed number.

        Anti-entropy sends the remaining records.
        """
        others = self._view.others_present(sender.name)
        some = self._rng.sample(others, min(len(others), wire.MAX_FULL_RECORDS - 2))
        records = [self._view.table.records[sender.name], self._own.record, *some]
        self._dissemination.send_full_records(now, sender.address, records, ANSWER_BORROW)
