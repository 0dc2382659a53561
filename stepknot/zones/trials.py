"""When an unavailable zone gets its next trial: single parts, with a backoff."""

from __future__ import annotations

import random

from stepknot.zones.settings import FailoverSettings

FIRST_JITTER = (0.5, 1.0)  # of the interval before the first trial
JITTER = (0.75, 1.25)  # of the interval before each further one
BACKOFF = 2  # the interval grows by this with each trial


class TrialSchedule:
    """The times of trials."""

    __slots__ = ("_interval", "_rng", "_settings", "next_at")

    def __init__(self, settings: FailoverSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._interval = 0.0
        self.next_at = 0.0

    def start(self, now: float) -> None:
        """The zone became unavailable."""
        self._interval = self._settings.trial
        self.next_at = now + self._interval * self._rng.uniform(*FIRST_JITTER)

    def expedite(self, now: float) -> None:
        """The next trial is due at once."""
        self.next_at = min(self.next_at, now)

    def take(self, now: float) -> bool:
        """Whether a trial is due; if so, it counts as taken."""
        if now < self.next_at:
            return False
        self.next_at = now + self._interval * self._rng.uniform(*JITTER)
        self._interval = min(self._settings.longest_trial, BACKOFF * self._interval)
        return True
