"""The settings of failover between zones, and the derivation of those that are not configured."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

SPILL_HEADROOM = 2.0  # multiple of the load that each equal zone gets when one of them is lost
# Maximum negligible round trip, as a fraction of the shortest latency objective.
NEAR_FRACTION = 0.03


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Limits of spill-over and the pace of recovery, named as in the `zones` block.

    Times are in seconds. Settings whose default is 0 are derived by `derive_settings` if they are not configured.
    """

    # Maximum multiple of its baseline that a zone gets while another is not healthy.
    spill: float = 0.0
    near: float = 0.0  # maximum round trip of a health check to a near zone
    step: float = 0.0  # length of each step of a recovering zone
    first: float = 0.0  # minimum fraction of its baseline with which a recovering zone begins
    growth: float = 1.5  # factor by which the fraction grows with each step
    history: float = 20.0  # period over which a zone's baseline is averaged
    most_steps: float = 8.0  # maximum factor by which repeated relapses make a zone's steps longer
    calm: float = 60.0  # healthy time after which one relapse stops counting
    # Interval before the first trial of an unavailable zone; doubled after each trial.
    trial: float = 0.25
    longest_trial: float = 4.0  # maximum interval between two trials


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """The zone of this broker and the zones that it prefers."""

    own: str  # the broker's zone; "" for none
    # Zones by preference, the most preferred tier first; the tier of other zones depends on their measured round trip.
    tiers: tuple[tuple[str, ...], ...] = ()
    failover: FailoverSettings = field(default_factory=FailoverSettings)
    prefer_near: bool = True  # False: all zones that are not in `tiers` form one tier


@dataclass(frozen=True, slots=True)
class WarmUp:
    """The warm-up of a server: its capacity grows from `initial_fraction` to the full capacity over `seconds`."""

    initial_fraction: float
    seconds: float

    def capacity(self, now: float, starts: tuple[float, ...]) -> float:
        """Return the mean capacity, as a fraction, of servers with these start times; a start time of 0 is long ago."""
        if not starts:
            return self.initial_fraction
        return sum(self._capacity_of(now, start) for start in starts) / len(starts)

    def _capacity_of(self, now: float, start: float) -> float:
        if start <= 0 or self.seconds <= 0:
            return 1.0
        initial = self.initial_fraction
        return min(1.0, initial + (1 - initial) * max(now - start, 0.0) / self.seconds)


def derive_settings(
    settings: FailoverSettings, zones: int, warm_up: WarmUp, latency_objective: float
) -> FailoverSettings:
    """Fill in the settings that are not configured.

    - `spill`: After the loss of one of `zones` equal zones, each other one gets `zones / (zones - 1)` of its baseline.
      Twice that allows for unequal zones, hedges and a burst during the loss. It is the outer limit; the limit from
      observed overload lies below it. A tighter limit would shed queries that the other zones could serve.
    - `first`: The fraction of its full capacity that a server has right after its start.
    - `near`: A round trip of at most 3% of the shortest latency objective is negligible.
    - `step`: With the configured growth, a zone that succeeds in every step gets its full baseline after one warm-up.

    Args:
        settings: The configured settings; a value of 0 or less is not configured.
        zones: Number of zones.
        warm_up: The warm-up of a server.
        latency_objective: The shortest latency objective of all classes, in seconds.
    """
    derived_spill = SPILL_HEADROOM * zones / max(zones - 1, 1)
    first = settings.first if settings.first > 0 else warm_up.initial_fraction
    steps = max(math.log(1 / first) / math.log(settings.growth), 1.0)
    return replace(
        settings,
        first=first,
        spill=settings.spill if settings.spill > 0 else derived_spill,
        near=settings.near if settings.near > 0 else NEAR_FRACTION * latency_objective,
        step=settings.step if settings.step > 0 else max(warm_up.seconds, 1.0) / steps,
    )
