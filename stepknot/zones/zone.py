"""The state that a broker keeps of one zone."""

from __future__ import annotations

import random

from stepknot.zones.decay import DecayingRate
from stepknot.zones.health import ZoneHealth
from stepknot.zones.model import ZoneState
from stepknot.zones.settings import FailoverSettings
from stepknot.zones.spill_over import OverloadLimit, TokenBucket, TrafficBaseline

RATE_TIME_CONSTANT = 1.0  # seconds over which the current rate is averaged
# Weight of a health check that is slower than the recorded round trip. A quicker one replaces it at once, so the
# recorded value follows the quickest health checks and rises slowly.
ROUND_TRIP_WEIGHT = 0.1


class Zone:
    """Holds the health, traffic and servers of one zone."""

    __slots__ = (
        "baseline",
        "bucket",
        "health",
        "overload",
        "reported_state",
        "round_trip",
        "sent",
        "servers",
        "servers_when_healthy",
        "start_times",
        "tentative_parts",
    )

    def __init__(self, settings: FailoverSettings, rng: random.Random) -> None:
        self.health = ZoneHealth(settings, rng)
        self.reported_state = ZoneState.HEALTHY  # state after the last recorded change
        self.sent = DecayingRate(RATE_TIME_CONSTANT)  # in parts
        self.baseline = TrafficBaseline(settings.history)
        self.overload = OverloadLimit()
        self.bucket = TokenBucket()
        self.servers = 0  # live servers in the endpoint list
        self.servers_when_healthy = 0  # live servers when the zone was last healthy
        self.start_times: tuple[float, ...] = ()  # start times of the live servers; 0 for long ago
        self.round_trip = 0.0  # seconds; follows the quickest recent health checks; 0: not measured
        # Parts that the decision module may send to the zone in this turn.
        self.tentative_parts = 0.0

    def update_servers(self, now: float, start_times: tuple[float, ...]) -> None:
        """Update the live servers, given by their start times, from a new endpoint list."""
        previous_servers = self.servers
        self.start_times = start_times
        self.servers = len(start_times)
        if previous_servers and not self.servers:
            self.health.on_delisted(now)
        elif self.servers and not previous_servers:
            self.health.on_listed(now)

    def on_sent(self, now: float) -> None:
        """Record that a part was sent to the zone."""
        self.sent.add(now, 1.0)
        self.bucket.tokens -= 1.0

    def on_state_changed(self, now: float) -> None:
        """Reset the overload limit and the token bucket, which do not apply to the new state."""
        self.overload.reset()
        self.bucket.reset(now)

    def update_round_trip(self, seconds: float) -> None:
        """Update the round trip with a health check that took `seconds`."""
        if not self.round_trip or seconds < self.round_trip:
            self.round_trip = seconds
        else:
            self.round_trip += ROUND_TRIP_WEIGHT * (seconds - self.round_trip)
