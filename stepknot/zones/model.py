"""The states of a zone, and the records that zone failover provides to logs, operators and metrics."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

import msgspec


class ZoneState(Enum):
    """A zone as seen from this broker; the values are in admin answers and log events."""

    HEALTHY = "sound"
    # Nearly all parts sent there fail: it gets trials, and parts with no other replica.
    UNAVAILABLE = "dark"
    RECOVERING = "returning"  # it answers again: its load is raised step by step


@dataclass(frozen=True, slots=True)
class ZoneEvidence:
    """The measurements behind a change of state; the fields are those of the log event."""

    failing_fraction: float  # fraction of parts that failed
    samples: float  # decayed number of parts that `failing_fraction` is based on
    servers: float  # live servers
    relapses: float
    recovery_fraction: float  # fraction of its baseline that a recovering zone may get


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
    """One zone as shown to operators and metrics, with rates in parts per second.

    The keys of the admin answer are in `rename`.
    """

    zone: str
    state: ZoneState
    tier: int
    servers: int
    rate: float  # parts sent to the zone now
    baseline_rate: float  # parts sent to the zone while all zones were healthy
    allowed_rate: float  # maximum rate now; infinite if no limit applies
    recovery_fraction: float  # fraction of its baseline that the zone may get
    failing_fraction: float  # fraction of parts that failed
    relapses: int  # relapses that still count
    reason: str  # reason for the state
