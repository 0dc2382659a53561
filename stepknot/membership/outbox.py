"""The queue of datagrams to be sent. It encodes them with the own record as sender and enforces the send budget."""

from __future__ import annotations

from collections import Counter

from stepknot.membership import counters, wire
from stepknot.membership.model import Address, MembershipSettings
from stepknot.membership.own_member import OwnMember
from stepknot.membership.send_budget import SendBudget

# Number of datagrams that the send budget must still allow after a probe request. After a repair by anti-entropy it
# must still allow one. The number here is larger, so that repairs are sent first when the budget is low. Repairs end an
# update storm: when probe requests were sent first, a fleet that lost a third of its members at once never stopped
# sending probe requests.
PROBE_REQUEST_RESERVE = 3
MAX_RESERVE_SHARE = 0.5  # limits the reserve, as a share of the burst, if the burst is small


class Outbox:
    """Collects the datagrams since the last `take`."""

    def __init__(self, settings: MembershipSettings, own: OwnMember, counts: Counter[str]) -> None:
        self._fleet = settings.fleet
        self._own = own
        self._counts = counts
        self.budget = SendBudget(settings.rate, settings.burst)
        # Negative shares of the burst, which must be left unused. Repairs can wait, so they leave one datagram.
        self.repair_borrow = -wire.MAX_DATAGRAM_BYTES / settings.burst
        self.probe_request_borrow = max(
            PROBE_REQUEST_RESERVE * self.repair_borrow, -MAX_RESERVE_SHARE
        )
        self._datagrams: list[tuple[Address, bytes]] = []

    def send(
        self, now: float, address: Address, message: wire.Message, borrow: float = 0.0
    ) -> bool:
        """Queue one datagram, if its size and the send budget allow it.

        Args:
            now: Seconds.
            address: Host and port of the recipient.
            message: Content of the datagram.
            borrow: The share of the burst that may be borrowed, as for `SendBudget.grant`.

        Returns:
            Whether the datagram is sent.
        """
        data = wire.encode(self._fleet, self._own.record, message)
        if len(data) > wire.MAX_DATAGRAM_BYTES or not self.budget.grant(now, len(data), borrow):
            self._counts[counters.OVER_SEND_BUDGET] += 1
            return False
        self._counts[counters.BYTES] += len(data)
        self._counts[counters.DATAGRAMS] += 1
        self._datagrams.append((address, data))
        return True

    def take(self) -> list[tuple[Address, bytes]]:
        """Return the datagrams queued since the last call, and empty the queue."""
        datagrams, self._datagrams = self._datagrams, []
        return datagrams
