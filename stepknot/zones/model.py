"""States of a zone, and what the decisions about zones say to logs, operators and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec


class ZoneState(Enum):
    """A zone as seen from this broker; the values are in admin answers and log events."""

    HEALTHY = "sound"
    UNAVAILABLE = "dark"  # nothing of what is sent there comes back: trials only
    RECOVERING = "returning"  # it answers again: load comes back step by step


@dataclass(frozen=True, slots=True)
class ZoneEvidence:
    """What a change of state was decided by; fields as in the log event."""

    failing_fraction: float  # of parts
    samples: float  # parts behind that, decayed
    servers: float  # live
    relapses: float
    recovery_fraction: float  # of its baseline that a recovering zone may get


@dataclass(frozen=True, slots=True)
class ZoneStateChange:
    """A zone's change of state."""

    zone: str
    old: ZoneState
    new: ZoneState
    reason: str
    evidence: ZoneEvidence


class ZoneView(
    msgspec.Struct,
    frozen=True,
    rename={
        "servers": "boxes",
        "baseline_rate": "had",
        "allowed_rate": "allowed",
        "recovery_fraction": "ramp",
        "failing_fraction": "failing",
        "relapses": "failures",
        "reason": "why",
    },
):
    """One zone for operators and metrics; rates in parts a second. The keys of the admin answer are in `rename`."""

    zone: str
    state: ZoneState
    tier: int
    servers: int
    rate: float  # sent there now
    baseline_rate: float  # sent there while all zones were healthy
    allowed_rate: float  # what it may get now; infinite where no limit is in force
    recovery_fraction: float  # of its baseline that it may get back
    failing_fraction: float  # of parts
    relapses: int  # that are not forgotten
    reason: str  # of the state
