"""Reputation of addresses: points for the time in which requests are served, halved by misconduct."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings

REPUTATION_TIME_CONSTANT = 600.0  # seconds in which points decay by a factor of e
# Maximum points per request; an address gains one point per second, whatever its number of requests.
MAX_GAIN = 1.0


@dataclass(slots=True)
class Reputation:
    """The points of one address as of `updated_at`."""

    points: float = 0.0
    updated_at: float = 0.0

    def points_at(self, now: float) -> float:
        """Return the points, decayed to `now`."""
        age = max(now - self.updated_at, 0.0)
        return self.points * math.exp(-age / REPUTATION_TIME_CONSTANT)


class ReputationTable:
    """Stores the reputation of the addresses that were rewarded most recently; invariant 5."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._by_address: OrderedDict[Address, Reputation] = OrderedDict()  # the most recent last

    def __len__(self) -> int:
        return len(self._by_address)

    def is_reputable(self, now: float, address: Address) -> bool:
        """Return whether an address has enough points for its clients to count as known."""
        reputation = self._by_address.get(address)
        return reputation is not None and reputation.points_at(now) >= self.settings.conduct

    def reward(self, now: float, address: Address) -> None:
        """Reward a served request with one point per second since the previous one, at most `MAX_GAIN`."""
        reputation = self._by_address.pop(address, None) or Reputation(0.0, now - MAX_GAIN)
        gained = min(max(now - reputation.updated_at, 0.0), MAX_GAIN)
        reputation.points = reputation.points_at(now) + gained
        reputation.updated_at = max(reputation.updated_at, now)
        self._by_address[address] = reputation
        if len(self._by_address) > self.settings.conduct_kept:
            self._by_address.popitem(last=False)

    def penalize(self, now: float, address: Address) -> None:
        """Halve the points of an address whose request was rejected, malformed or too slow."""
        reputation = self._by_address.get(address)
        if reputation is not None:
            reputation.points = reputation.points_at(now) / 2
            reputation.updated_at = max(reputation.updated_at, now)
