"""Tenants' traffic against the shares promised to them."""

from __future__ import annotations

from stepknot.zones.decay import DecayingRate

TENANT_MEMORY = 5.0  # seconds over which a tenant's traffic is measured
TENANT_TOLERANCE = 1.1  # a tenant may exceed its share by this factor


class TenantShares:
    """Measures each tenant's share of the traffic.

    Args:
        promised: The share of the traffic that each tenant was promised, from 0 to 1.
    """

    def __init__(self, promised: dict[str, float]) -> None:
        self.promised = promised
        self.rates = {name: DecayingRate(TENANT_MEMORY) for name in promised}

    def is_over_share(self, now: float, tenant: str) -> bool:
        """Record a query of this tenant; whether the tenant sends more than its share by now."""
        share = self.promised.get(tenant)
        if share is None:
            return False
        own = self.rates[tenant]
        own.add(now, 1.0)
        total = sum(rate.rate_at(now) for rate in self.rates.values())
        return own.rate_at(now) > share * total * TENANT_TOLERANCE
