"""The state of one zone: healthy, unavailable or recovering, by the outcomes of parts sent there.

A zone is unavailable when nearly all parts fail over several servers, or when no live server of it is listed. Health
checks say nothing for it: a zone may answer those and no queries. It recovers once a part is served again; each step
that succeeds lets more of its baseline come back, and a relapse makes the next recovery slower.
"""

from __future__ import annotations

import random

from stepknot.zones.evidence import FailureEvidence
from stepknot.zones.model import ZoneState
from stepknot.zones.recovery import RecoveryRamp
from stepknot.zones.settings import FailoverSettings
from stepknot.zones.trials import TrialSchedule


class ZoneHealth:
    """State, evidence, trials and ramp of one zone."""

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
        self.since = 0.0  # when the state began, or a relapse was forgotten
        self.reason = "nothing was seen yet"
        self.warm_capacity = (
            1.0  # fraction of its work that the zone's servers can do, by their starts
        )
        self.evidence = FailureEvidence()
        self.ramp = RecoveryRamp(settings)
        self.trials = TrialSchedule(settings, rng)

    # --- events

    def on_part_ended(self, now: float, server: str, served: bool, servers: int) -> None:
        """A part sent there was served or lost; `servers`: how many the zone has."""
        self.ramp.record(served)
        if served:
            self.evidence.record_served(now, server)
            if self.state is ZoneState.UNAVAILABLE:
                self.start_recovery(now, "a trial was served")
            return
        self.evidence.record_failed(now, server)
        if self.state is not ZoneState.UNAVAILABLE and self.evidence.indicates_loss(now, servers):
            self.mark_unavailable(now, self._describe_loss(now))

    def _describe_loss(self, now: float) -> str:
        if self.state is ZoneState.RECOVERING:
            return "it failed again on its way back"
        failing, servers = self.evidence.failing_fraction(now), self.evidence.failing_servers
        return f"{failing:.0%} of parts failed at {servers} boxes"

    def on_delisted(self, now: float) -> None:
        """The endpoint list names no live server of it any more."""
        if self.state is not ZoneState.UNAVAILABLE:
            self.mark_unavailable(now, "the list names no live box of it")

    def on_listed(self, now: float) -> None:
        """The endpoint list names live servers again after it named none."""
        if self.state is ZoneState.UNAVAILABLE:
            self.trials.expedite(now)

    def advance(self, now: float) -> None:
        """Let a recovering zone's step end, and forget a relapse that is long ago."""
        if self.state is ZoneState.RECOVERING:
            if now >= self.ramp.step_end:
                self._end_step(now)
        elif self.ramp.relapses and self._is_calm(now):
            self.ramp.relapses -= 1
            self.since = now

    def _is_calm(self, now: float) -> bool:
        """Whether the zone has been healthy for so long that a relapse is forgotten."""
        return self.state is ZoneState.HEALTHY and now - self.since >= self._settings.calm

    def take_trial(self, now: float) -> bool:
        """Whether a part may go to an unavailable zone as a trial now; if so, the trial counts as taken."""
        return self.state is ZoneState.UNAVAILABLE and self.trials.take(now)

    # --- transitions

    def mark_unavailable(self, now: float, reason: str) -> None:
        """The zone is lost; a relapse if it was not healthy for long."""
        was_calm = self.since <= 0 or now - self.since >= self._settings.calm
        if self.state is not ZoneState.HEALTHY or not was_calm:
            self.ramp.relapses += 1
        self._enter(ZoneState.UNAVAILABLE, now, reason)
        self.ramp.stop()
        self.trials.start(now)

    def start_recovery(self, now: float, reason: str) -> None:
        """The zone serves again."""
        self._enter(ZoneState.RECOVERING, now, reason)
        self.ramp.start(now, self.warm_capacity)
        self.evidence.reset(now)

    def _end_step(self, now: float) -> None:
        self.reason = self.ramp.end_step(now) or self.reason
        if self.ramp.is_complete():
            self._enter(ZoneState.HEALTHY, now, "all of what it had is back")

    def _enter(self, state: ZoneState, now: float, reason: str) -> None:
        self.state = state
        self.since = now
        self.reason = reason
