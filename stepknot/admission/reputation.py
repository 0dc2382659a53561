"""Reputation of addresses: earned by time in which requests were served, lost by misconduct."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings

REPUTATION_MEMORY = 600.0  # seconds in which points decay by a factor e
MAX_GAIN = 1.0  # points of one request: a point for a second, however many requests it has


@dataclass(slots=True)
class Reputation:
    """Points of one address as of a time."""

    points: float = 0.0
    updated_at: float = 0.0

    def points_at(self, now: float) -> float:
        """The points, decayed to now."""
        age = max(now - self.updated_at, 0.0)
        return self.points * math.exp(-age / REPUTATION_MEMORY)


class ReputationTable:
    """The reputation of the addresses that were rewarded last; invariant 5."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._by_address: OrderedDict[Address, Reputation] = OrderedDict()  # the latest last

    def __len__(self) -> int:
        return len(self._by_address)

    def is_reputable(self, now: float, address: Address) -> bool:
        """Whether an address has the points that make a client known."""
        reputation = self._by_address.get(address)
        return reputation is not None and reputation.points_at(now) >= self.settings.conduct

    def reward(self, now: float, address: Address) -> None:
        """A request was served: add the seconds since the last one, up to a point."""
        reputation = self._by_address.pop(address, None) or Reputation(0.0, now - MAX_GAIN)
        gained = min(max(now - reputation.updated_at, 0.0), MAX_GAIN)
        reputation.points = reputation.points_at(now) + gained
        reputation.updated_at = max(reputation.updated_at, now)
        self._by_address[address] = reputation
        if len(self._by_address) > self.settings.conduct_kept:
            self._by_address.popitem(last=False)

    def penalize(self, now: float, address: Address) -> None:
        """A request was rejected, malformed or too slow: halve the points."""
        reputation = self._by_address.get(address)
        if reputation is not None:
            reputation.points = reputation.points_at(now) / 2
            reputation.updated_at = max(reputation.updated_at, now)
