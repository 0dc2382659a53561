"""Bounds of the number of brokers, which also hold for a member that is new or isolated (invariant 6)."""

from __future__ import annotations

from stepknot.membership.heartbeats import Heartbeats
from stepknot.membership.isolation import Isolation
from stepknot.membership.local_health import LocalHealth
from stepknot.membership.model import UNBOUNDED, MemberCount, MembershipSettings, State
from stepknot.membership.own_member import OwnMember
from stepknot.membership.view import MembershipView


class MemberCounter:
    """Derives the bounds from the view and from this member's own state."""

    def __init__(
        self,
        settings: MembershipSettings,
        own: OwnMember,
        view: MembershipView,
        isolation: Isolation,
        health: LocalHealth,
        heartbeats: Heartbeats,
    ) -> None:
        self._settings = settings
        self._own = own
        self._view = view
        self._isolation = isolation
        self._health = health
        self._heartbeats = heartbeats

    def count(self, now: float) -> MemberCount:
        """The bounds of the number of brokers at this time."""
        is_certain = self._is_certain(now)
        upper_bound = self._upper_bound(now, is_certain)
        return MemberCount(min(self._lower_bound(now), upper_bound), upper_bound, is_certain)

    def _is_new(self, now: float) -> bool:
        """Whether this member started too recently to have verified by observation what others reported."""
        return now < self._health.started_at + self._settings.dead_after

    def _is_certain(self, now: float) -> bool:
        return (
            self._own.has_joined
            and not (self._is_new(now) or self._isolation.is_isolated or self._own.stepped_aside)
            and self._health.is_healthy(now)
            and self._agrees_with_neighbours(now)
        )

    def _agrees_with_neighbours(self, now: float) -> bool:
        agreed_for = now - self._heartbeats.views_agreed_at
        return not self._view.neighbours or agreed_for <= self._settings.dead_after

    def _lower_bound(self, now: float) -> int:
        if self._is_new(now) or self._isolation.is_isolated or not self._health.is_healthy(now):
            return 1 + sum(
                now - each.last_received <= self._settings.suspect_after
                for each in self._view.subjects.values()
            )
        return self._view.table.counts[State.ALIVE]

    def _upper_bound(self, now: float, is_certain: bool) -> int:
        settings, counts = self._settings, self._view.table.counts
        isolated_for = now - self._isolation.since if self._isolation.is_isolated else 0.0
        if isolated_for > settings.tombstone / 2:
            return UNBOUNDED
        not_left = sum(counts) - counts[State.LEFT]
        if not is_certain or now < self._health.started_at + settings.tombstone:
            # A new member does not learn of members that were declared dead before it joined and may still run.
            return max(not_left, settings.configured)
        return not_left
