"""The recovery ramp: raises the fraction of its baseline that a recovering zone gets, step by step."""

from __future__ import annotations

from stepknot.zones.settings import FailoverSettings

# Fraction of its servers' capacity with which a zone's recovery begins.
INITIAL_CAPACITY_FRACTION = 0.5
FAILED_STEP_FRACTION = 0.3  # a step has failed if at least this fraction of its parts failed
MIN_STEP_PARTS = 3  # minimum number of served parts for a step to succeed
# Each relapse makes the steps longer, and the fraction with which a recovery begins smaller, by this factor.
RELAPSE_FACTOR = 2.0


class RecoveryRamp:
    """Computes the recovery ramp of one zone; invariant 2."""

    __slots__ = ("_settings", "_step_failed", "_step_served", "fraction", "relapses", "step_end")

    def __init__(self, settings: FailoverSettings) -> None:
        self._settings = settings
        self.fraction = 1.0  # fraction of the baseline that the zone may get
        self.relapses = 0  # relapses that still count
        self.step_end = 0.0
        self._step_served = 0
        self._step_failed = 0

    def step_seconds(self) -> float:
        """Return the length of a step in seconds, which grows with each relapse up to a maximum."""
        factor = min(RELAPSE_FACTOR**self.relapses, self._settings.most_steps)
        return self._settings.step * float(factor)

    def start(self, now: float, capacity: float) -> None:
        """Begin the ramp of a zone whose servers have the fraction `capacity` of their full capacity.

        The ramp begins at half of that fraction, and lower after each relapse. Warm servers that were only cut off by
        the network need no warm-up, so they begin high.
        """
        initial_fraction = INITIAL_CAPACITY_FRACTION * capacity / RELAPSE_FACTOR**self.relapses
        self.fraction = max(self._settings.first, initial_fraction)
        self._begin_step(now)

    def stop(self) -> None:
        """Set the fraction to 0, as the zone is unavailable."""
        self.fraction = 0.0

    def record(self, served: bool) -> None:
        """Count a part that the zone served or lost in the current step."""
        if served:
            self._step_served += 1
        else:
            self._step_failed += 1

    def end_step(self, now: float) -> str:
        """Evaluate the step that ended and begin the next; return why the ramp changed, or "" if it did not."""
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
        """Return whether the zone may get its full baseline."""
        return self.fraction >= 1.0

    def _begin_step(self, now: float) -> None:
        self.step_end = now + self.step_seconds()
        self._step_served = 0
        self._step_failed = 0
