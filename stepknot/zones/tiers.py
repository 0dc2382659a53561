"""Locality tiers: which zones are preferred."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from stepknot.interface import ServerEntry
from stepknot.zones.settings import ZoneSettings
from stepknot.zones.zone import Zone


class LocalityTiers:
    """Assigns each zone a tier; 0 is the most preferred one.

    Tiers in the settings come first; a zone that is in none of them is near or far, depending on its measured round
    trip.

    Args:
        settings: The zone of this broker and the configured tiers.
        zones: All zones by name; the owner adds new zones to this mapping.
        near_seconds: The maximum round trip of a near zone.
    """

    __slots__ = ("_near_seconds", "_settings", "_tiers", "_zones", "is_flat")

    def __init__(
        self, settings: ZoneSettings, zones: Mapping[str, Zone], near_seconds: float
    ) -> None:
        self._settings = settings
        self._zones = zones
        self._near_seconds = near_seconds
        self._tiers: dict[str, int] = {}
        self.is_flat = True  # whether all zones are in one tier

    def update(self) -> None:
        """Recompute all tiers after a change of round trips or of the endpoint list."""
        self._tiers = {name: self._find_tier(name) for name in self._zones}
        self.is_flat = len(set(self._tiers.values())) <= 1

    def tier(self, name: str) -> int:
        """Return the tier of a zone."""
        tier = self._tiers.get(name)
        if tier is None:
            tier = self._tiers[name] = self._find_tier(name)
        return tier

    def _find_tier(self, name: str) -> int:
        settings = self._settings
        for number, tier in enumerate(settings.tiers):
            if name in tier:
                return number
        near_tier = len(settings.tiers)
        if name == settings.own or not settings.own or not settings.prefer_near:
            return 0
        zone = self._zones.get(name)
        if zone is None or zone.round_trip <= self._near_seconds:
            return near_tier
        return near_tier + 1

    def best_indices(
        self, entries: Sequence[ServerEntry], is_open: Mapping[str, bool] | None = None
    ) -> list[int]:
        """Return the indices of the entries in the most preferred tier that has an open zone.

        Args:
            entries: The entries to choose from.
            is_open: For each zone, whether parts may be sent there; None if all zones are open.
        """
        if is_open is None:
            return list(range(len(entries))) if self.is_flat else self._best_of_all(entries)
        if self.is_flat:
            return [index for index, entry in enumerate(entries) if is_open[entry.zone]]
        tiers = [self.tier(each.zone) if is_open[each.zone] else math.inf for each in entries]
        best = min(tiers, default=math.inf)
        return [index for index, tier in enumerate(tiers) if tier == best < math.inf]

    def _best_of_all(self, entries: Sequence[ServerEntry]) -> list[int]:
        tiers = [self.tier(entry.zone) for entry in entries]
        best = min(tiers, default=0)
        return [index for index, tier in enumerate(tiers) if tier == best]
