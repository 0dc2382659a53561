"""Detection that this member is cut off from most other members (invariant 3)."""

from __future__ import annotations

import math
from collections import Counter

from stepknot.membership import counters
from stepknot.membership.correlated_failures import find_isolation_reason
from stepknot.membership.model import MembershipSettings
from stepknot.membership.own_member import OwnMember
from stepknot.membership.view import MembershipView


class Isolation:
    """Decides whether this member is isolated, and keeps since when and why.

    `since` is infinite and `reason` is empty while this member is not isolated.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        view: MembershipView,
        counts: Counter[str],
    ) -> None:
        self._settings = settings
        self._own = own
        self._view = view
        self._counts = counts
        self.since = math.inf  # seconds
        self.reason = ""

    @property
    def is_isolated(self) -> bool:
        """Whether this member regards itself as isolated."""
        return self.since < math.inf

    def update(self, now: float) -> None:
        """Begin or end the isolation according to the neighbours and the states of all members."""
        reason = self._find_reason(now)
        if not reason:
            self._end(now)
        elif not self.is_isolated:
            self.begin(now, reason)
            self._counts[counters.ISOLATED] += 1

    def begin(self, now: float, reason: str) -> None:
        """Regard this member as isolated from now on."""
        self.since, self.reason = now, reason

    def shift(self, gap: float) -> None:
        """Shift the start of the isolation by the length of a process pause, so that the pause does not count."""
        self.since += gap

    def _end(self, now: float) -> None:
        if self.is_isolated:
            # Subjects that were unresponsive during the isolation get the full time-out again.
            for subject in self._view.subjects.values():
                subject.observed_since = now
        self.since, self.reason = math.inf, ""

    def _find_reason(self, now: float) -> str:
        if not self._own.has_joined:
            return "no seed has answered the join request"
        return find_isolation_reason(
            self._view.table, self._view.subjects.values(), self._settings, now
        )
