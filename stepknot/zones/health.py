"""The state of one zone, healthy, unavailable or recovering, as derived from the outcomes of parts sent there.

A zone becomes unavailable when nearly all parts fail at several servers, or when none of its live servers is listed.
Health checks are not considered, because a zone may answer those but no queries. A zone starts to recover once a part
is served again. Each successful step gives it more of its baseline; a relapse makes the next recovery slower.
"""

from __future__ import annotations

import random

from stepknot.zones.evidence import FailureEvidence
from stepknot.zones.model import ZoneState
from stepknot.zones.recovery import RecoveryRamp
from stepknot.zones.settings import FailoverSettings
from stepknot.zones.trials import TrialSchedule


class ZoneHealth:
    """Holds the state, evidence, trial schedule and recovery ramp of one zone."""

    __slots__ = (
        "_settings",
        "evidence",
        "ramp",
        "reason",
        "since",
        "state",
        "trials",
        "warm_capacity",
    )

    def __init__(self, settings: FailoverSettings, rng: random.Random) -> None:
        self._settings = settings
        self.state = ZoneState.HEALTHY
        # Time at which the state began, or the last relapse was removed from the count.
        self.since = 0.0
        self.reason = "initial state: no part has failed yet"
        # Fraction of their full capacity that the zone's servers have, according to their start times.
        self.warm_capacity = 1.0
        self.evidence = FailureEvidence()
        self.ramp = RecoveryRamp(settings)
        self.trials = TrialSchedule(settings, rng)

    # --- events

    def on_part_ended(self, now: float, server: str, served: bool, servers: int) -> None:
        """Record that a part sent to the zone was served or lost; the zone has `servers` live servers."""
        self.ramp.record(served)
        if served:
            self.evidence.record_served(now, server)
            if self.state is ZoneState.UNAVAILABLE:
                self.start_recovery(now, "the zone served a trial part")
            return
        self.evidence.record_failed(now, server)
        if self.state is not ZoneState.UNAVAILABLE and self.evidence.indicates_loss(now, servers):
            self.mark_unavailable(now, self._describe_loss(now))

    def _describe_loss(self, now: float) -> str:
        if self.state is ZoneState.RECOVERING:
            return "parts failed again while the zone was recovering"
        failing, servers = self.evidence.failing_fraction(now), self.evidence.failing_servers
        return f"{failing:.0%} of parts failed at {servers} boxes"

    def on_delisted(self, now: float) -> None:
        """Mark the zone as unavailable: the endpoint list no longer names any live server of it."""
        if self.state is not ZoneState.UNAVAILABLE:
            self.mark_unavailable(now, "the list names no live box of it")

    def on_listed(self, now: float) -> None:
        """Make the next trial due at once: the endpoint list names live servers again after it named none."""
        if self.state is ZoneState.UNAVAILABLE:
            self.trials.expedite(now)

    def advance(self, now: float) -> None:
        """End a recovering zone's step when it is due; reduce the relapses of a zone that has stayed healthy."""
        if self.state is ZoneState.RECOVERING:
            if now >= self.ramp.step_end:
                self._end_step(now)
        elif self.ramp.relapses and self._has_stayed_healthy(now):
            self.ramp.relapses -= 1
            self.since = now

    def _has_stayed_healthy(self, now: float) -> bool:
        """Return whether the zone has been healthy for the `calm` time, after which one relapse stops counting."""
        return self.state is ZoneState.HEALTHY and now - self.since >= self._settings.calm

    def take_trial(self, now: float) -> bool:
        """Return whether a part may go to an unavailable zone as a trial now; if so, the trial counts as used."""
        return self.state is ZoneState.UNAVAILABLE and self.trials.take(now)

    # --- transitions

    def mark_unavailable(self, now: float, reason: str) -> None:
        """Mark the zone as unavailable. This counts as a relapse if the zone was not healthy for the `calm` time."""
        was_stable = self.since <= 0 or now - self.since >= self._settings.calm
        if self.state is not ZoneState.HEALTHY or not was_stable:
            self.ramp.relapses += 1
        self._enter(ZoneState.UNAVAILABLE, now, reason)
        self.ramp.stop()
        self.trials.start(now)

    def start_recovery(self, now: float, reason: str) -> None:
        """Start the recovery of a zone that serves parts again."""
        self._enter(ZoneState.RECOVERING, now, reason)
        self.ramp.start(now, self.warm_capacity)
        self.evidence.reset(now)

    def _end_step(self, now: float) -> None:
        self.reason = self.ramp.end_step(now) or self.reason
        if self.ramp.is_complete():
            self._enter(ZoneState.HEALTHY, now, "the zone gets its full baseline again")

    def _enter(self, state: ZoneState, now: float, reason: str) -> None:
        self.state = state
        self.since = now
        self.reason = reason
