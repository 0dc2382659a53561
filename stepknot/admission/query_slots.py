"""Query slots: limits on queries in flight, by address, by tenant and in all."""

from __future__ import annotations

import math
from collections import Counter

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, QuerySlot, RejectReason, TrustLevel

RESERVED_PER_LEVEL = 0.05  # of the slots, kept free for each class of a higher priority


class QuerySlots:
    """The queries in flight; invariants 1 and 2.

    An address may have as many slots as are free, at most: with one heavy client that is half of all, with many it
    shrinks for each, and some always stay free. Source: dynamic thresholds, Choudhury and Hahne, 1998.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.by_trust: Counter[TrustLevel] = Counter()
        self.by_address: dict[Address, int] = {}
        self.by_tenant: dict[str, int] = {}

    @property
    def taken(self) -> int:
        """Queries in flight."""
        return self.by_trust.total()

    def exceeded_limit(
        self, slot: QuerySlot, tenant_quota: float, level: int
    ) -> RejectReason | None:
        """The limit that one more query would exceed.

        Args:
            slot: What the query would take.
            tenant_quota: Fraction of all slots that its tenant may have; 0 for any.
            level: How many classes have a higher priority.
        """
        settings = self.settings
        factor = 1.0 if slot.trust is TrustLevel.UNKNOWN else settings.known_factor
        free = self._free(slot.trust, level)
        if free < 1:
            return RejectReason.ALL_QUERIES
        if self.by_address.get(slot.address, 0) >= min(settings.queries * factor, free):
            return RejectReason.ADDRESS_QUERIES
        if slot.tenant and self.by_tenant.get(slot.tenant, 0) >= self._tenant_limit(tenant_quota):
            return RejectReason.TENANT_QUERIES
        return None

    def _free(self, trust: TrustLevel, level: int) -> float:
        """Slots that are free to a query."""
        held = self.settings.held
        free = held * (1 - RESERVED_PER_LEVEL * level) - self.taken
        if trust is not TrustLevel.UNKNOWN:
            return free
        open_to_unknown = held - math.ceil(held * self.settings.reserve)
        return min(free, open_to_unknown - self.by_trust[TrustLevel.UNKNOWN])

    def _tenant_limit(self, quota: float) -> int:
        """Slots that a tenant may have."""
        settings = self.settings
        if settings.tenant_queries:
            return settings.tenant_queries
        return math.ceil(quota * settings.held) if quota else settings.held

    def take(self, slot: QuerySlot) -> None:
        """A query begins."""
        self.by_trust[slot.trust] += 1
        self.by_address[slot.address] = self.by_address.get(slot.address, 0) + 1
        if slot.tenant:
            self.by_tenant[slot.tenant] = self.by_tenant.get(slot.tenant, 0) + 1

    def release(self, slot: QuerySlot) -> None:
        """A query has ended."""
        self.by_trust[slot.trust] -= 1
        self.by_address[slot.address] -= 1
        if not self.by_address[slot.address]:
            del self.by_address[slot.address]
        if slot.tenant:
            self.by_tenant[slot.tenant] -= 1
            if not self.by_tenant[slot.tenant]:
                del self.by_tenant[slot.tenant]
