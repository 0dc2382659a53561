"""The rate that each zone may get now, from its spill-over limit, its recovery ramp or the minimum rate."""

from __future__ import annotations

import math
from collections.abc import Mapping

from stepknot.zones.demand import Demand
from stepknot.zones.model import ZoneState
from stepknot.zones.recovery import MIN_STEP_PARTS
from stepknot.zones.settings import FailoverSettings
from stepknot.zones.zone import Zone


class ZoneLimits:
    """Computes the limits of all zones, in parts per second.

    Args:
        zones: All zones by name; the owner adds new zones to this mapping.
        demand: The demand on this broker.
        settings: The derived settings; the owner replaces them when the number of zones changes.
    """

    __slots__ = ("_allowed", "_demand", "_zones", "all_healthy", "settings")

    def __init__(
        self, zones: Mapping[str, Zone], demand: Demand, settings: FailoverSettings
    ) -> None:
        self._zones = zones
        self._demand = demand
        self.settings = settings
        self.all_healthy = True
        self._allowed: dict[str, float] = {}  # cached until `update`

    def update(self) -> None:
        """Discard cached rates; called when time has advanced or a zone's state may have changed."""
        self._allowed.clear()
        self.all_healthy = all(
            zone.health.state is ZoneState.HEALTHY for zone in self._zones.values()
        )

    def baseline(self, now: float, name: str) -> float:
        """Return the zone's baseline; without history, the demand times the zone's fraction of all servers."""
        zone = self._zones[name]
        all_servers = sum(
            max(each.servers_when_healthy, each.servers) for each in self._zones.values()
        )
        servers = max(zone.servers_when_healthy, zone.servers)
        estimate = self._demand.rate_at(now) * servers / max(all_servers, 1)
        return zone.baseline.rate(estimate)

    def spill_over_limit(self, now: float, name: str) -> float:
        """Return the limit on the parts per second sent to a healthy zone while another is not healthy; invariant 1."""
        baseline = self.baseline(now, name)
        largest_query = self._demand.largest_query
        uncertainty = self._zones[name].baseline.uncertainty(baseline, largest_query)
        return self.settings.spill * (baseline + uncertainty)

    def allowed_rate(self, now: float, name: str) -> float:
        """Return the rate that the zone may get now; infinite while all zones are healthy."""
        rate = self._allowed.get(name)
        if rate is None:
            rate = math.inf if self.all_healthy else self._limited_rate(now, name)
            self._allowed[name] = rate
        return rate

    def _limited_rate(self, now: float, name: str) -> float:
        zone = self._zones[name]
        health = zone.health
        baseline = self.baseline(now, name)
        if health.state is ZoneState.HEALTHY:
            return zone.overload.apply(now, self.spill_over_limit(now, name), baseline)
        min_rate = 2 * MIN_STEP_PARTS / health.ramp.step_seconds()  # enough parts to judge a step
        if health.state is ZoneState.RECOVERING:
            return max(min_rate, health.ramp.fraction * baseline)
        return max(min_rate, self.settings.first * baseline)

    def has_capacity(self, now: float, name: str) -> bool:
        """Return whether one more part may go to the zone in this turn of the decision module."""
        rate = self.allowed_rate(now, name)
        if rate == math.inf:
            return True
        zone = self._zones[name]
        is_healthy = zone.health.state is ZoneState.HEALTHY
        largest_query = self._demand.largest_query if is_healthy else 1.0
        return zone.bucket.refill(now, rate, largest_query) - zone.tentative_parts >= 1.0

    def total_capacity(self, now: float) -> float:
        """Return the sum of the rates that all zones may get now."""
        return sum(self.allowed_rate(now, name) for name in self._zones)
