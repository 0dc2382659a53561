"""Whether this process itself stood still (invariant 4): Lifeguard's local health, by gaps between events."""

from __future__ import annotations

import math
from collections import Counter

from stepknot.membership import counters
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import MembershipSettings
from stepknot.membership.view import MembershipView

STALL_PERIODS = 2.0  # without an event, after which this process stood still


class LocalHealth:
    """Times of this process's own events."""

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
        self.started_at = math.inf  # the first event
        self.last_event_at = -math.inf
        self.recovering_until = -math.inf
        self.last_stall = 0.0  # seconds

    def on_event(self, now: float) -> None:
        """A tick or a datagram: find out whether this process stood still since the last one."""
        self.started_at = min(self.started_at, now)
        gap = now - self.last_event_at
        self.last_event_at = now
        if STALL_PERIODS * self._settings.period < gap < math.inf:
            self._on_stall(now, gap)

    def is_awake(self, now: float) -> bool:
        """Whether this process did not stand still lately, so that it may judge others."""
        return now >= self.recovering_until

    def _on_stall(self, now: float, gap: float) -> None:
        self.last_stall = gap
        self._counts[counters.STOOD_STILL] += 1
        self.recovering_until = now + self._settings.suspect_after
        for subject in self._view.subjects.values():
            subject.shift(gap)
            subject.next_heartbeat = now  # the observers of this member learn of it at once
        self._isolation.shift(gap)
