"""The settings of failover between zones, and what is derived where they leave something open."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

SPILL_HEADROOM = 2.0  # on top of what the loss of one of several equal zones brings each other one
NEAR_FRACTION = 0.03  # of the shortest latency objective: a round trip that is not felt


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Limits of spill-over and the pace of recovery, named as in the `zones` block.

    Times in seconds. Defaults that are 0 are derived, see `derive_settings`.
    """

    spill: float = (
        0.0  # a zone gets at most this multiple of its baseline while another is not healthy
    )
    near: float = (
        0.0  # a zone is near when the round trip of a health check takes at most this long
    )
    step: float = 0.0  # length of each step of a recovering zone
    first: float = 0.0  # fraction of its baseline with which a recovering zone begins, at least
    growth: float = 1.5  # from step to step
    history: float = 20.0  # over which a zone's baseline is averaged
    most_steps: float = (
        8.0  # a zone that failed again and again has steps at most this many times longer
    )
    calm: float = 60.0  # of health after which one relapse is forgotten
    trial: float = 0.25  # between two trials of an unavailable zone at first; doubled after each
    longest_trial: float = 4.0  # between two trials


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Where this broker stands and which zones it prefers."""

    own: str  # the broker's zone; "" for none
    tiers: tuple[
        tuple[str, ...], ...
    ] = ()  # zones by preference, the best first; others are measured
    failover: FailoverSettings = field(default_factory=FailoverSettings)
    prefer_near: bool = True  # False: all zones that are not in `tiers` are of one tier


@dataclass(frozen=True, slots=True)
class WarmUp:
    """What a server can do of its work after its start: `initial_fraction` at first, all after `seconds`."""

    initial_fraction: float
    seconds: float

    def capacity(self, now: float, starts: tuple[float, ...]) -> float:
        """Fraction of their work that servers with these start times can do now; a start of 0 is long ago."""
        if not starts:
            return self.initial_fraction
        return sum(self._capacity_of(now, start) for start in starts) / len(starts)

    def _capacity_of(self, now: float, start: float) -> float:
        if start <= 0 or self.seconds <= 0:
            return 1.0
        share = self.initial_fraction
        return min(1.0, share + (1 - share) * max(now - start, 0.0) / self.seconds)


def derive_settings(
    settings: FailoverSettings, zones: int, warm_up: WarmUp, latency_objective: float
) -> FailoverSettings:
    """Fill in what the settings leave open.

    - Spill: the loss of one of `zones` equal zones leaves each other one `zones / (zones - 1)` of its baseline. Twice
      that covers unequal ones, hedges and a burst at the wrong time. It is the outer limit: what servers are seen to
      bear comes under it, and under a tight one a loss that can be borne would be shed for nothing.
    - First: what a server that has just started can do of its work.
    - Near: a round trip of 3% of the shortest latency objective or less is not felt.
    - Step: with the growth given, a zone that succeeds in every step is back in full after one warm-up.

    Args:
        settings: What is given; 0 or less is open.
        zones: Number of zones.
        warm_up: Of a server.
        latency_objective: The shortest of all classes, in seconds.
    """
    equal_zones = SPILL_HEADROOM * zones / max(zones - 1, 1)
    first = settings.first if settings.first > 0 else warm_up.initial_fraction
    steps = max(math.log(1 / first) / math.log(settings.growth), 1.0)
    return replace(
        settings,
        first=first,
        spill=settings.spill if settings.spill > 0 else equal_zones,
        near=settings.near if settings.near > 0 else NEAR_FRACTION * latency_objective,
        step=settings.step if settings.step > 0 else max(warm_up.seconds, 1.0) / steps,
    )
