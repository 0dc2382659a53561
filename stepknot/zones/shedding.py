"""Sheds queries that fit nowhere: by priority for a part, with Retry-After spread over time."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from stepknot.zones.decay import DecayingRate
from stepknot.zones.demand import DEMAND_MEMORY
from stepknot.zones.limits import ZoneLimits
from stepknot.zones.model import ZoneState
from stepknot.zones.zone import Zone

MIN_LEVEL_FRACTION = 0.05  # of the capacity, for each priority level: none is shut out
OVER_QUOTA_WEIGHT = 0.5  # of its priority counts for a query of a tenant over its quota
RETRY_AFTER = (
    0.5,
    2.0,
)  # seconds: shed clients are spread over this, more widely the longer the recovery
LEVELS_PER_DOUBLING = 2  # of the priority: few levels, whatever the number of parts
MIN_PRIORITY = 1e-9
MIN_RATE = 1e-9  # parts a second
ROUNDING = 1e-9  # by which a credit may miss 1


@dataclass(slots=True)
class PriorityLevel:
    """Queries of one priority for a part."""

    demand: DecayingRate = field(default_factory=lambda: DecayingRate(DEMAND_MEMORY))  # parts
    credit: float = 0.0  # of the next query; at 1 it is admitted


class PriorityShedder:
    """Decides for each query whether it is shed; invariant 6."""

    __slots__ = ("_levels", "_limits", "_rng", "shed_parts")

    def __init__(self, limits: ZoneLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._levels: dict[float, PriorityLevel] = {}
        self.shed_parts = 0.0

    def record(self, now: float, priority: float, parts: int, over_quota: bool) -> float:
        """Count a query's parts for its priority level; returns the level."""
        weighted = max(priority * (OVER_QUOTA_WEIGHT if over_quota else 1.0), MIN_PRIORITY)
        key: float = 2 ** (round(LEVELS_PER_DOUBLING * math.log2(weighted)) / LEVELS_PER_DOUBLING)
        level = self._levels.get(key)
        if level is None:
            level = self._levels[key] = PriorityLevel()
        level.demand.add(now, parts)
        return key

    def admits(self, now: float, key: float, parts: int) -> bool:
        """Whether a query of this level goes on: of each level the fraction that fits, evenly spread."""
        level = self._levels[key]
        level.credit = min(level.credit + self._admitted_fraction(now, key), 1.0)
        if level.credit >= 1.0 - ROUNDING:
            level.credit -= 1.0
            return True
        self.shed_parts += parts
        return False

    def _admitted_fraction(self, now: float, key: float) -> float:
        """Fraction of the level's queries that fits: higher levels come first, none is shut out."""
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
        fits = max(0.0, min(1.0, remaining / rate))
        return max(fits, min(1.0, MIN_LEVEL_FRACTION * capacity / rate))

    def retry_after(self, zones: Iterable[Zone]) -> float:
        """Seconds, spread so that those shed together do not come back together."""
        shortest, longest = RETRY_AFTER
        steps = (
            zone.health.ramp.step_seconds()
            for zone in zones
            if zone.health.state is not ZoneState.HEALTHY
        )
        return self._rng.uniform(shortest, longest + max(steps, default=0.0))
