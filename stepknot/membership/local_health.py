"""Lifeguard's local health: detects pauses of this process (invariant 4) by the gaps between its events."""

from __future__ import annotations

import math
from collections import Counter

from stepknot.membership import counters
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import MembershipSettings
from stepknot.membership.view import MembershipView

PAUSE_PERIODS = 2.0  # a longer gap between two events, in periods, is a pause of this process


class LocalHealth:
    """Detects pauses of this process, and shifts the stored times of observations so that pauses do not count."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        isolation: Isolation,
        counts: Counter[str],
    ) -> None:
        self._settings = settings
        self._view = view
        self._isolation = isolation
        self._counts = counts
        self.started_at = math.inf  # time of the first event
        self.last_event_at = -math.inf
        self.recovering_until = -math.inf
        self.last_stall = 0.0  # length of the last pause in seconds

    def on_event(self, now: float) -> None:
        """Check at a tick or a datagram whether this process was paused since the previous one."""
        self.started_at = min(self.started_at, now)
        gap = now - self.last_event_at
        self.last_event_at = now
        if PAUSE_PERIODS * self._settings.period < gap < math.inf:
            self._on_pause(now, gap)

    def is_healthy(self, now: float) -> bool:
        """Whether this process was not paused recently, so that it may declare others suspect or dead."""
        return now >= self.recovering_until

    def _on_pause(self, now: float, gap: float) -> None:
        self.last_stall = gap
        self._counts[counters.PAUSED] += 1
        self.recovering_until = now + self._settings.suspect_after
        for subject in self._view.subjects.values():
            subject.shift(gap)
            # Heartbeats are due now, so that this member's observers know at once that it runs.
            subject.next_heartbeat = now
        self._isolation.shift(gap)
