"""The recovery ramp: the fraction of its baseline that a recovering zone gets, step by step."""

from __future__ import annotations

from stepknot.zones.settings import FailoverSettings

WARM_FRACTION = 0.5  # of what its servers can do, with which a zone begins
FAILED_STEP_FRACTION = 0.3  # of a step's parts failed: the step has failed
MIN_STEP_PARTS = 3  # served parts without which a step does not count
RELAPSE_FACTOR = (
    2.0  # a relapse makes steps this many times longer, and the first one this many times smaller
)


class RecoveryRamp:
    """The ramp of one zone; invariant 2."""

    __slots__ = ("_settings", "_step_failed", "_step_served", "fraction", "relapses", "step_end")

    def __init__(self, settings: FailoverSettings) -> None:
        self._settings = settings
        self.fraction = 1.0  # of the baseline
        self.relapses = 0  # that are not forgotten
        self.step_end = 0.0
        self._step_served = 0
        self._step_failed = 0

    def step_seconds(self) -> float:
        """The length of a step: longer after each relapse, up to a bound."""
        factor = min(RELAPSE_FACTOR**self.relapses, self._settings.most_steps)
        return self._settings.step * float(factor)

    def start(self, now: float, capacity: float) -> None:
        """Begin the ramp of a zone whose servers can do this fraction of their work.

        Half of that: warm servers behind a link that was cut need no warm-up. Less after each relapse.
        """
        first = WARM_FRACTION * capacity / RELAPSE_FACTOR**self.relapses
        self.fraction = max(self._settings.first, first)
        self._begin_step(now)

    def stop(self) -> None:
        """The zone is unavailable."""
        self.fraction = 0.0

    def record(self, served: bool) -> None:
        """A part of the zone was served or lost."""
        if served:
            self._step_served += 1
        else:
            self._step_failed += 1

    def end_step(self, now: float) -> str:
        """Judge the step that ended, and begin the next; returns why the ramp changed, "" where it did not."""
        total = self._step_served + self._step_failed
        reason = ""
        if total and self._step_failed >= FAILED_STEP_FRACTION * total:
            self.fraction = max(self._settings.first, self.fraction / 2)
            reason = f"{self._step_failed} of {total} parts failed in the last step"
        elif self._step_served >= MIN_STEP_PARTS:
            self.fraction *= self._settings.growth
            reason = f"{self._step_served} parts served in the last step"
        self.fraction = min(self.fraction, 1.0)
        self._begin_step(now)
        return reason

    def is_complete(self) -> bool:
        """Whether the zone may get all of its baseline."""
        return self.fraction >= 1.0

    def _begin_step(self, now: float) -> None:
        self.step_end = now + self.step_seconds()
        self._step_served = 0
        self._step_failed = 0
