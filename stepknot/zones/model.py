"""What the decisions about zones are told, and what they say: plain fields, times and durations in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

SPILL_ROOM = 2.0


class State(Enum):
    """A zone as seen from this broker."""

    SOUND = "sound"
    DARK = "dark"  # nothing of what is sent there comes back: trials only
    RETURNING = "returning"  # it answers again: load comes back step by step


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much may spill and how fast load comes back. Defaults that are 0 or less are derived, see `derive`."""

    spill: float = (
        0.0  # a zone gets at most this multiple of what it had while another is not sound
    )
    near: float = 0.0  # a zone is near when a question to it takes at most this long
    step: float = 0.0  # seconds of sound answers for each step of a returning zone
    first: float = 0.0  # share of what it had with which a returning zone begins
    growth: float = 1.5  # from step to step
    history: float = 20.0  # seconds over which "what it had" is remembered
    most_steps: float = 8.0  # a zone that failed again and again waits at most so many times longer
    calm: float = 60.0  # seconds of soundness after which one earlier failure is forgotten
    trial: float = 0.25  # seconds between two trials of a dark zone at first; twice as long after each that fails
    longest_trial: float = 4.0


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """`own`: where this broker stands. `tiers`: zones by preference, best first; what is not named is measured."""

    own: str
    tiers: tuple[tuple[str, ...], ...] = ()
    bounds: Bounds = field(default_factory=Bounds)
    prefer_near: bool = True  # False: all sound zones are of one tier


def derive(
    bounds: Bounds, zones: int, cold_share: float, cold_time: float, shortest_aim: float
) -> Bounds:
    """Fill in what was left to be derived.

    Spill: losing one of `zones` alike leaves each other one `zones / (zones - 1)` of what it had; twice that covers
    unequal ones, copies and a burst at the wrong time. It is the outer bound: what boxes are seen to bear comes under
    it, and under a tight one a loss that can be borne would be shed for nothing. First: what a box that has just
    started can do of its work. Near: a way there and back that costs 3% of the shortest aim or less is not felt. Step:
    with the growth given, a zone that only ever answers is back in full after one warm-up.
    """
    import math
    from dataclasses import replace

    natural = SPILL_ROOM * zones / max(zones - 1, 1)
    first = bounds.first if bounds.first > 0 else cold_share
    steps = max(math.log(1 / first) / math.log(bounds.growth), 1.0)
    return replace(
        bounds,
        first=first,
        spill=bounds.spill if bounds.spill > 0 else natural,
        near=bounds.near if bounds.near > 0 else 0.03 * shortest_aim,
        step=bounds.step if bounds.step > 0 else max(cold_time, 1.0) / steps,
    )


@dataclass(frozen=True, slots=True)
class Change:
    """A zone's change of state with what it was decided by, for logs."""

    zone: str
    old: State
    new: State
    why: str
    evidence: dict[str, float]


@dataclass(frozen=True, slots=True)
class ZoneView:
    """One zone for operators and metrics: rates in parts a second."""

    zone: str
    state: State
    tier: int
    boxes: int
    rate: float  # sent there lately
    had: float  # what it had
    allowed: float  # what it may get now; infinite where no bound is in force
    ramp: float  # share of what it had that a returning zone may get
    failing: float  # share of parts that failed
    failures: int  # how often it went dark and is not forgiven yet
    why: str
