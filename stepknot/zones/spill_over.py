"""How much one zone may get while another is not healthy: baseline, overload limit and token bucket.

A zone's baseline is this broker's own history of sending there while all zones were healthy. Every broker is limited to
a multiple of its own history, so the sum over brokers is limited to the same multiple of the sum, whatever each one's
load: no agreement is needed. A broker without history (just restarted) takes the zone's fraction of the servers times
the demand now: what it would have sent there, if all were healthy.
"""

from __future__ import annotations

import math

from stepknot.zones.decay import DecayingRate

BURST_SECONDS = 2.0  # of its rate that a bucket holds
MIN_BURST_QUERIES = 2.0  # largest queries that it holds at least: queries come in lumps, most where a broker has few

# A zone that rejects, or answers too late, more than this fraction of at least this many parts is seen to bear no more
# than it gets: it gets a tenth less, and then a fraction of its limit more each second. Single rejections say nothing.
OVERLOAD_FRACTION = 0.2
MIN_OVERLOAD_SAMPLES = 20.0
OVERLOAD_BACKOFF = 0.9
OVERLOAD_RECOVERY = 0.1
BACKOFF_INTERVAL = 1.0  # seconds: what was done must show first
OVERLOAD_HALF_LIFE = 1.0  # seconds

STANDARD_ERRORS = 2.0  # that are allowed on top of a baseline
MIN_HISTORY = 5.0  # seconds of history without which the guess from the servers' fraction stands in


class TrafficBaseline:
    """Parts a second that were sent to a zone while all zones were healthy."""

    __slots__ = ("_observed_at", "_observed_seconds", "_rate", "_window")

    def __init__(self, window: float) -> None:
        self._window = window  # seconds
        self._rate = 0.0
        self._observed_seconds = 0.0
        self._observed_at: float | None = None

    def observe(self, now: float, sent: DecayingRate) -> None:
        """All zones are healthy: what is sent now is what the zone has. Called whenever time advances then."""
        if self._observed_at is not None:
            passed = min(max(now - self._observed_at, 0.0), self._window)
            weight = 1 - math.exp(-passed / self._window)
            if self._observed_seconds < self._window:  # a short history is a plain mean
                weight = max(weight, passed / max(self._observed_seconds + passed, 1e-9))
            self._rate += weight * (sent.rate_at(now) - self._rate)
            self._observed_seconds += passed
        self._observed_at = now

    def pause(self) -> None:
        """Some zone is not healthy: what is sent meanwhile is no measure."""
        self._observed_at = None

    def rate(self, guess: float) -> float:
        """The baseline; a young history is filled in from the guess."""
        trust = min(1.0, self._observed_seconds / MIN_HISTORY)
        return trust * self._rate + (1 - trust) * guess

    def uncertainty(self, rate: float, largest_query: float) -> float:
        """Parts a second by which a baseline may be too low: parts come in queries, and few queries say little."""
        seconds = min(max(self._observed_seconds, MIN_HISTORY), self._window)
        return STANDARD_ERRORS * math.sqrt(rate * max(largest_query, 1.0) / seconds)


class OverloadLimit:
    """The rate that a zone is seen to bear, by parts that it rejects or answers too late."""

    __slots__ = ("_ended", "_limit", "_limited_at", "_overloaded", "_updated_at")

    def __init__(self) -> None:
        self._limit = math.inf  # parts a second, as of `_limited_at`
        self._limited_at = -math.inf
        self._ended = 0.0  # parts, decayed
        self._overloaded = 0.0  # of them, decayed
        self._updated_at = 0.0

    def record(self, now: float, overloaded: bool, sent: DecayingRate) -> None:
        """A part ended: served, or rejected or too late at a server that is alive."""
        if now != self._updated_at:
            kept = math.exp2(min(0.0, (self._updated_at - now) / OVERLOAD_HALF_LIFE))
            self._ended *= kept
            self._overloaded *= kept
            self._updated_at = now
        self._ended += 1
        self._overloaded += overloaded
        if overloaded and self._is_overloaded() and now - self._limited_at >= BACKOFF_INTERVAL:
            self._limit = OVERLOAD_BACKOFF * sent.rate_at(now)
            self._limited_at = now

    def _is_overloaded(self) -> bool:
        has_samples = self._ended >= MIN_OVERLOAD_SAMPLES
        return has_samples and self._overloaded > OVERLOAD_FRACTION * self._ended

    def reset(self) -> None:
        """The zone's state changed: what it was seen to bear is of another time."""
        self._limit = math.inf
        self._ended = 0.0
        self._overloaded = 0.0

    def apply(self, now: float, limit: float, baseline: float) -> float:
        """What the zone is seen to bear, up to `limit` and never less than its baseline."""
        if self._limit == math.inf:
            return limit
        regained = OVERLOAD_RECOVERY * limit * max(now - self._limited_at, 0.0)
        return min(limit, max(self._limit + regained, baseline))


class TokenBucket:
    """Parts that may be sent now."""

    __slots__ = ("_filled_at", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        self._filled_at: float | None = None  # None: it is full at the first call

    def refill(self, now: float, rate: float, largest_query: float) -> float:
        """Fill at `rate` parts a second since the last call; returns the tokens."""
        capacity = max(rate * BURST_SECONDS, MIN_BURST_QUERIES * largest_query)
        if self._filled_at is None:
            self.tokens = capacity
        else:
            self.tokens = min(capacity, self.tokens + rate * max(now - self._filled_at, 0.0))
        self._filled_at = now
        return self.tokens

    def reset(self, now: float) -> None:
        """Begin without a burst in hand."""
        self.tokens = 1.0
        self._filled_at = now
