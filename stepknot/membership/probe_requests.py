"""Indirect probe requests of other members that are not answered yet: the requesters, the members and the time limits.

At most `MAX_REQUESTERS` wait for one member. At most one probe is sent to a member in two periods, and at most
`MAX_PROBES` to all members together in one period. So if many members are unresponsive, the answers about them have
priority over further probes.
"""

from __future__ import annotations

import math

MAX_REQUESTERS, MAX_PROBES = 32, 4


class ProbeRequests:
    """Holds the requests that are not answered yet."""

    def __init__(self, period: float) -> None:
        self.period = period  # seconds
        # By unresponsive member: the requesters, and when to report to each that nothing was received.
        self.requesters: dict[str, dict[str, float]] = {}
        self.probed_at: dict[str, float] = {}
        self.period_began = -math.inf
        self.probes_in_period = 0

    def add(self, now: float, requester: str, name: str) -> bool:
        """Add a request.

        Returns:
            Whether the member is to be probed now.
        """
        requesters = self.requesters.setdefault(name, {})
        if requester in requesters or len(requesters) < MAX_REQUESTERS:
            requesters[requester] = now + self.period
        if now >= self.period_began + self.period:
            self.period_began = now
            self.probes_in_period = 0
        was_probed_recently = now < self.probed_at.get(name, -math.inf) + 2 * self.period
        if was_probed_recently or self.probes_in_period >= MAX_PROBES:
            return False
        self.probed_at[name] = now
        self.probes_in_period += 1
        return True

    def take_answered(self, name: str) -> list[str]:
        """Remove the requests about a member that has answered now, and return their requesters."""
        return list(self.requesters.pop(name, ()))

    def take_expired(self, now: float) -> dict[str, list[str]]:
        """Remove the expired requests, and return the members that did not answer in time by requester."""
        expired: dict[str, list[str]] = {}
        for name, requesters in list(self.requesters.items()):
            for requester in [each for each, until in requesters.items() if until <= now]:
                del requesters[requester]
                expired.setdefault(requester, []).append(name)
            if not requesters:
                del self.requesters[name]
        return expired

    def forget(self, name: str) -> None:
        """Remove all requests about a member."""
        self.requesters.pop(name, None)
        self.probed_at.pop(name, None)
