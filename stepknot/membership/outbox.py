"""Datagrams to be sent: written with the own record as sender, and held to the send budget."""

from __future__ import annotations

from collections import Counter

from stepknot.membership import counters, wire
from stepknot.membership.model import Address, MembershipSettings
from stepknot.membership.own_member import OwnMember
from stepknot.membership.send_budget import SendBudget

# Datagrams' worth of budget that a probe request leaves. A repair by anti-entropy leaves one and is one, so this is
# more. Repairs end a storm; where probe requests came first, a fleet that lost a third at once went on asking for good.
PROBE_REQUEST_RESERVE = 3
MAX_RESERVE = 0.5  # of a small burst


class Outbox:
    """Datagrams since the last `take`."""

    def __init__(self, settings: MembershipSettings, own: OwnMember, counts: Counter[str]) -> None:
        self._fleet = settings.fleet
        self._own = own
        self._counts = counts
        self.budget = SendBudget(settings.rate, settings.burst)
        # Shares of the burst, negative: what must be left. What can wait leaves one datagram.
        self.repair_borrow = -wire.MAX_DATAGRAM_BYTES / settings.burst
        self.probe_request_borrow = max(PROBE_REQUEST_RESERVE * self.repair_borrow, -MAX_RESERVE)
        self._datagrams: list[tuple[Address, bytes]] = []

    def send(
        self, now: float, address: Address, message: wire.Message, borrow: float = 0.0
    ) -> bool:
        """Send one datagram, where the budget and the share of the burst that may be borrowed allow it.

        Returns:
            Whether it is sent.
        """
        data = wire.encode(self._fleet, self._own.record, message)
        if len(data) > wire.MAX_DATAGRAM_BYTES or not self.budget.grant(now, len(data), borrow):
            self._counts[counters.KEPT_BACK] += 1
            return False
        self._counts[counters.BYTES] += len(data)
        self._counts[counters.DATAGRAMS] += 1
        self._datagrams.append((address, data))
        return True

    def take(self) -> list[tuple[Address, bytes]]:
        """Datagrams to be sent since the last call."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
