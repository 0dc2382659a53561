"""Sheds queries that exceed the capacity of all zones, by priority per part, with Retry-After spread over time."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from stepknot.zones.decay import DecayingRate
from stepknot.zones.demand import DEMAND_TIME_CONSTANT
from stepknot.zones.limits import ZoneLimits
from stepknot.zones.model import ZoneState
from stepknot.zones.zone import Zone

# Fraction of the capacity guaranteed to each priority level, so that none is shut out.
MIN_LEVEL_FRACTION = 0.05
OVER_QUOTA_WEIGHT = 0.5  # factor applied to the priority of a query whose tenant is over its quota
# Range of Retry-After in seconds, over which shed clients are spread; its upper end grows with the steps of recovery.
RETRY_AFTER_RANGE = (0.5, 2.0)
# Priority levels per doubling of the priority, which keeps the number of levels small.
LEVELS_PER_DOUBLING = 2
MIN_PRIORITY = 1e-9
MIN_RATE = 1e-9  # parts per second
ROUNDING_TOLERANCE = 1e-9  # maximum rounding error by which a full credit may be below 1


@dataclass(slots=True)
class PriorityLevel:
    """Demand and admission credit of the queries with one priority per part."""

    # Rate of the demand, in parts per second.
    demand: DecayingRate = field(default_factory=lambda: DecayingRate(DEMAND_TIME_CONSTANT))
    credit: float = 0.0  # grows with each query; the query that brings it to 1 is admitted


class PriorityShedder:
    """Decides for each query whether it is shed; invariant 6."""

    __slots__ = ("_levels", "_limits", "_rng", "shed_parts")

    def __init__(self, limits: ZoneLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._levels: dict[float, PriorityLevel] = {}
        self.shed_parts = 0.0

    def record(self, now: float, priority: float, parts: int, over_quota: bool) -> float:
        """Count a query's parts for its priority level; return the level's key."""
        weighted = max(priority * (OVER_QUOTA_WEIGHT if over_quota else 1.0), MIN_PRIORITY)
        key: float = 2 ** (round(LEVELS_PER_DOUBLING * math.log2(weighted)) / LEVELS_PER_DOUBLING)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = PriorityLevel()
        level.demand.add(now, parts)
        return key

    def admits(self, now: float, key: float, parts: int) -> bool:
        """Return whether a query of this level is admitted; the admitted fraction is spread evenly over the level."""
        level = self._levels[key]
        level.credit = min(level.credit + self._admitted_fraction(now, key), 1.0)
        if level.credit >= 1.0 - ROUNDING_TOLERANCE:
            level.credit -= 1.0
            return True
        self.shed_parts += parts
        return False

    def _admitted_fraction(self, now: float, key: float) -> float:
        """Return the fraction of the level's queries for which there is capacity, after all higher levels are served.

        Each level gets at least its minimum fraction of the capacity.
        """
        rates = {each: level.demand.rate_at(now) for each, level in self._levels.items()}
        capacity = self._limits.total_capacity(now)
        if sum(rates.values()) <= capacity:
            return 1.0
        remaining = capacity * (1 - MIN_LEVEL_FRACTION * len(rates))
        for each in sorted(rates, reverse=True):
            if each == key:
                break
            remaining -= rates[each]
        rate = max(rates[key], MIN_RATE)
        by_priority = max(0.0, min(1.0, remaining / rate))
        return max(by_priority, min(1.0, MIN_LEVEL_FRACTION * capacity / rate))

    def retry_after(self, zones: Iterable[Zone]) -> float:
        """Return a random Retry-After in seconds, so that clients shed together do not all retry together."""
        shortest, longest = RETRY_AFTER_RANGE
        steps = (
            zone.health.ramp.step_seconds()
            for zone in zones
            if zone.health.state is not ZoneState.HEALTHY
        )
        return self._rng.uniform(shortest, longest + max(steps, default=0.0))
