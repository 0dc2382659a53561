"""Schedules the trials of an unavailable zone: single parts at growing intervals."""

from __future__ import annotations

import random

from stepknot.zones.settings import FailoverSettings

FIRST_JITTER = (0.5, 1.0)  # range of the random factor for the interval before the first trial
JITTER = (0.75, 1.25)  # range of the random factor for the interval before each further trial
BACKOFF = 2  # factor by which the interval grows with each trial


class TrialSchedule:
    """Determines the times of the trials of one zone."""

    __slots__ = ("_interval", "_rng", "_settings", "next_at")

    def __init__(self, settings: FailoverSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._interval = 0.0
        self.next_at = 0.0

    def start(self, now: float) -> None:
        """Schedule the first trial of a zone that became unavailable."""
        self._interval = self._settings.trial
        self.next_at = now + self._interval * self._rng.uniform(*FIRST_JITTER)

    def expedite(self, now: float) -> None:
        """Make the next trial due at once."""
        self.next_at = min(self.next_at, now)

    def take(self, now: float) -> bool:
        """Return whether a trial is due; if so, it counts as used and the next one is scheduled."""
        if now < self.next_at:
            return False
        self.next_at = now + self._interval * self._rng.uniform(*JITTER)
        self._interval = min(self._settings.longest_trial, BACKOFF * self._interval)
        return True
