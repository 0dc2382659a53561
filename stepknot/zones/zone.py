"""All that is kept of one zone."""

from __future__ import annotations

import random

from stepknot.zones.decay import DecayingRate
from stepknot.zones.health import ZoneHealth
from stepknot.zones.model import ZoneState
from stepknot.zones.settings import FailoverSettings
from stepknot.zones.spill_over import OverloadLimit, TokenBucket, TrafficBaseline

RATE_MEMORY = 1.0  # seconds over which the rate now is seen
ROUND_TRIP_WEIGHT = 0.1  # of a slower health check: the quickest counts, and is forgotten slowly


class Zone:
    """Health, traffic and endpoints of one zone."""

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
        "starts",
        "tentative",
    )

    def __init__(self, settings: FailoverSettings, rng: random.Random) -> None:
        self.health = ZoneHealth(settings, rng)
        self.reported_state = ZoneState.HEALTHY  # by the last change that was recorded
        self.sent = DecayingRate(RATE_MEMORY)  # parts
        self.baseline = TrafficBaseline(settings.history)
        self.overload = OverloadLimit()
        self.bucket = TokenBucket()
        self.servers = 0  # live by the endpoint list
        self.servers_when_healthy = 0  # live when the zone was last healthy
        self.starts: tuple[float, ...] = ()  # of the live servers; 0 for long ago
        self.round_trip = 0.0  # seconds of the quickest health check lately; 0: not measured
        self.tentative = 0.0  # parts that the decision module may place there in this turn

    def update_servers(self, now: float, starts: tuple[float, ...]) -> None:
        """The endpoint list names live servers with these start times."""
        had = self.servers
        self.starts = starts
        self.servers = len(starts)
        if had and not self.servers:
            self.health.on_delisted(now)
        elif self.servers and not had:
            self.health.on_listed(now)

    def on_sent(self, now: float) -> None:
        """A part was sent there."""
        self.sent.add(now, 1.0)
        self.bucket.tokens -= 1.0

    def on_state_changed(self, now: float) -> None:
        """What it was seen to bear is of another time, and it begins without a burst in hand."""
        self.overload.reset()
        self.bucket.reset(now)

    def update_round_trip(self, seconds: float) -> None:
        """A health check took this long."""
        if not self.round_trip or seconds < self.round_trip:
            self.round_trip = seconds
        else:
            self.round_trip += ROUND_TRIP_WEIGHT * (seconds - self.round_trip)
