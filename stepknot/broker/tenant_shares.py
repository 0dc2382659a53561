"""Compares each tenant's traffic with its configured share."""

from __future__ import annotations

from stepknot.zones.decay import DecayingRate

TENANT_MEMORY = 5.0  # seconds over which a tenant's traffic is measured
TENANT_TOLERANCE = 1.1  # factor by which a tenant may exceed its share


class TenantShares:
    """Measures each tenant's share of the traffic.

    Args:
        shares: The configured share of the traffic of each tenant, from 0 to 1.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self.shares = shares
        self.rates = {name: DecayingRate(TENANT_MEMORY) for name in shares}

    def is_over_share(self, now: float, tenant: str) -> bool:
        """Record a query of this tenant; returns whether the tenant now exceeds its share by `TENANT_TOLERANCE`."""
        share = self.shares.get(tenant)
        if share is None:
            return False
        own = self.rates[tenant]
        own.add(now, 1.0)
        total = sum(rate.rate_at(now) for rate in self.rates.values())
        return own.rate_at(now) > share * total * TENANT_TOLERANCE
