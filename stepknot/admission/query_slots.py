"""Query slots: limits on the queries in flight, per address, per tenant and in total."""

from __future__ import annotations

import math
from collections import Counter

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, QuerySlot, RejectReason, TrustLevel

# Fraction of the slots that is kept free for each class with a higher priority.
RESERVED_PER_LEVEL = 0.05


class QuerySlots:
    """Counts the queries in flight and enforces their limits; invariants 1 and 2.

    An address may have at most as many slots as remain free. A single heavy client thus gets half of all slots, each of
    several heavy clients gets fewer, and some slots always stay free. Source: dynamic thresholds, Choudhury and Hahne,
    1998.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.by_trust: Counter[TrustLevel] = Counter()
        self.by_address: dict[Address, int] = {}
        self.by_tenant: dict[str, int] = {}

    @property
    def taken(self) -> int:
        """The number of queries in flight."""
        return self.by_trust.total()

    def exceeded_limit(
        self, slot: QuerySlot, tenant_quota: float, level: int
    ) -> RejectReason | None:
        """Return the limit that one more query would exceed, or None.

        Args:
            slot: The slot that the query would take.
            tenant_quota: The fraction of all slots that its tenant may have; 0 for no limit.
            level: The number of classes with a higher priority.
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
        """Return the number of slots that are free for a query of this trust level and priority level."""
        held = self.settings.held
        free = held * (1 - RESERVED_PER_LEVEL * level) - self.taken
        if trust is not TrustLevel.UNKNOWN:
            return free
        open_to_unknown = held - math.ceil(held * self.settings.reserve)
        return min(free, open_to_unknown - self.by_trust[TrustLevel.UNKNOWN])

    def _tenant_limit(self, quota: float) -> int:
        """Return the maximum number of slots of a tenant."""
        settings = self.settings
        if settings.tenant_queries:
            return settings.tenant_queries
        return math.ceil(quota * settings.held) if quota else settings.held

    def take(self, slot: QuerySlot) -> None:
        """Count a query that begins."""
        self.by_trust[slot.trust] += 1
        self.by_address[slot.address] = self.by_address.get(slot.address, 0) + 1
        if slot.tenant:
            self.by_tenant[slot.tenant] = self.by_tenant.get(slot.tenant, 0) + 1

    def release(self, slot: QuerySlot) -> None:
        """Release the slot of a query that has ended."""
        self.by_trust[slot.trust] -= 1
        self.by_address[slot.address] -= 1
        if not self.by_address[slot.address]:
            del self.by_address[slot.address]
        if slot.tenant:
            self.by_tenant[slot.tenant] -= 1
            if not self.by_tenant[slot.tenant]:
                del self.by_tenant[slot.tenant]
