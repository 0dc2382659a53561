"""Pings on behalf of others: who asked about whom, when silence is told, and how many pings that may take.

Bounds: so many askers wait for one member, one ping in two periods for each member, and so many in all in a period:
where many are silent, word of that goes first.
"""

from __future__ import annotations

import math

ASKERS, PINGS = 32, 4


class Errands:
    def __init__(self, period: float) -> None:
        self.period = period
        self.askers: dict[
            str, dict[str, float]
        ] = {}  # by the silent member: who asked, and when silence is told
        self.pinged: dict[str, float] = {}  # when, last
        self.since, self.sent = -math.inf, 0

    def take(self, now: float, asker: str, name: str) -> bool:
        """Whether to ping it now; its answer goes on to the asker as soon as it is here."""
        askers = self.askers.setdefault(name, {})
        if asker in askers or len(askers) < ASKERS:
            askers[asker] = now + self.period
        if now >= self.since + self.period:
            self.since, self.sent = now, 0
        if now < self.pinged.get(name, -math.inf) + 2 * self.period or self.sent >= PINGS:
            return False
        self.pinged[name] = now
        self.sent += 1
        return True

    def answered(self, name: str) -> list[str]:
        """Who is to be told that it lives."""
        return list(self.askers.pop(name, ()))

    def expired(self, now: float) -> dict[str, list[str]]:
        """By asker: whom nothing came from in time."""
        found: dict[str, list[str]] = {}
        for name, askers in list(self.askers.items()):
            for asker in [asker for asker, until in askers.items() if until <= now]:
                del askers[asker]
                found.setdefault(asker, []).append(name)
            if not askers:
                del self.askers[name]
        return found

    def forget(self, name: str) -> None:
        self.askers.pop(name, None)
        self.pinged.pop(name, None)
