"""Indirect probe requests of other members that wait here: who asked about whom, and until when.

Bounds: `MAX_REQUESTERS` wait for one member, one probe goes to a member in two periods, and `MAX_PROBES` go to all
members in a period: where many members are unresponsive, the answers about them come first.
"""

from __future__ import annotations

import math

MAX_REQUESTERS, MAX_PROBES = 32, 4


class ProbeRequests:
    """The requests that are not answered yet."""

    def __init__(self, period: float) -> None:
        self.period = period  # seconds
        # By the unresponsive member: who asked, and when it is told that nothing was received.
        self.requesters: dict[str, dict[str, float]] = {}
        self.probed_at: dict[str, float] = {}
        self.period_began = -math.inf
        self.probes_in_period = 0

    def add(self, now: float, requester: str, name: str) -> bool:
        """Take a request; returns whether the member is to be probed now."""
        requesters = self.requesters.setdefault(name, {})
        if requester in requesters or len(requesters) < MAX_REQUESTERS:
            requesters[requester] = now + self.period
        if now >= self.period_began + self.period:
            self.period_began = now
            self.probes_in_period = 0
        was_probed_lately = now < self.probed_at.get(name, -math.inf) + 2 * self.period
        if was_probed_lately or self.probes_in_period >= MAX_PROBES:
            return False
        self.probed_at[name] = now
        self.probes_in_period += 1
        return True

    def take_answered(self, name: str) -> list[str]:
        """Who asked about a member that has answered now."""
        return list(self.requesters.pop(name, ()))

    def take_expired(self, now: float) -> dict[str, list[str]]:
        """By requester: the members that did not answer in time."""
        found: dict[str, list[str]] = {}
        for name, requesters in list(self.requesters.items()):
            for requester in [each for each, until in requesters.items() if until <= now]:
                del requesters[requester]
                found.setdefault(requester, []).append(name)
            if not requesters:
                del self.requesters[name]
        return found

    def forget(self, name: str) -> None:
        """Drop all requests about a member."""
        self.requesters.pop(name, None)
        self.probed_at.pop(name, None)
