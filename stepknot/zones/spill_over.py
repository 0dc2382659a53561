"""The parts that one zone may get while another is not healthy: baseline, overload limit and token bucket.

A zone's baseline is the rate at which this broker sent parts there while all zones were healthy. Every broker is
limited to a multiple of its own baseline, so the sum over all brokers is limited to the same multiple of the sum of
their baselines, however the load is distributed; brokers need not coordinate. A broker without history (after a
restart) uses the current demand times the zone's fraction of all servers, which is what it would send there if all
zones were healthy.
"""

from __future__ import annotations

import math

from stepknot.zones.decay import DecayingRate

BURST_SECONDS = 2.0  # a bucket holds the parts that its rate allows in this time
# A bucket holds at least this many queries of the largest size, as the parts of a query arrive together. This matters
# most for a broker with few queries.
MIN_BURST_QUERIES = 2.0

# A zone counts as overloaded if it rejects, or answers too late, more than OVERLOAD_FRACTION of its parts, of which
# there are at least MIN_OVERLOAD_SAMPLES; a few rejections are no evidence. Its limit then becomes OVERLOAD_BACKOFF
# times its current rate, and grows again each second by OVERLOAD_RECOVERY times its spill-over limit.
OVERLOAD_FRACTION = 0.2
MIN_OVERLOAD_SAMPLES = 20.0
OVERLOAD_BACKOFF = 0.9
OVERLOAD_RECOVERY = 0.1
BACKOFF_INTERVAL = 1.0  # seconds between two reductions, so that the first can take effect
OVERLOAD_HALF_LIFE = 1.0  # seconds

STANDARD_ERRORS = 2.0  # number of standard errors added to a baseline
# Seconds; a shorter history is combined with the estimate from the zone's fraction of the servers.
MIN_HISTORY = 5.0


class TrafficBaseline:
    """Averages the parts per second that were sent to a zone while all zones were healthy."""

    __slots__ = ("_observed_at", "_observed_seconds", "_rate", "_window")

    def __init__(self, window: float) -> None:
        self._window = window  # seconds
        self._rate = 0.0
        self._observed_seconds = 0.0
        self._observed_at: float | None = None

    def observe(self, now: float, sent: DecayingRate) -> None:
        """Update the average with the current rate; called whenever time advances while all zones are healthy."""
        if self._observed_at is not None:
            passed = min(max(now - self._observed_at, 0.0), self._window)
            weight = 1 - math.exp(-passed / self._window)
            # While the history is shorter than the window, the average is the plain mean.
            if self._observed_seconds < self._window:
                weight = max(weight, passed / max(self._observed_seconds + passed, 1e-9))
            self._rate += weight * (sent.rate_at(now) - self._rate)
            self._observed_seconds += passed
        self._observed_at = now

    def pause(self) -> None:
        """Stop observing: while any zone is not healthy, the rate is not representative."""
        self._observed_at = None

    def rate(self, estimate: float) -> float:
        """Return the baseline; a history shorter than the minimum is combined with the estimate."""
        weight = min(1.0, self._observed_seconds / MIN_HISTORY)
        return weight * self._rate + (1 - weight) * estimate

    def uncertainty(self, rate: float, largest_query: float) -> float:
        """Return the parts per second by which a baseline may be too low.

        The parts of a query arrive together, so a baseline from few queries has a large standard error.
        """
        seconds = min(max(self._observed_seconds, MIN_HISTORY), self._window)
        return STANDARD_ERRORS * math.sqrt(rate * max(largest_query, 1.0) / seconds)


class OverloadLimit:
    """Estimates the rate that a zone can serve from the parts that it rejects or answers too late."""

    __slots__ = ("_ended", "_limit", "_limited_at", "_overloaded", "_updated_at")

    def __init__(self) -> None:
        self._limit = math.inf  # parts per second, as of `_limited_at`
        self._limited_at = -math.inf
        self._ended = 0.0  # decayed number of parts
        self._overloaded = 0.0  # decayed number of parts that were rejected or too late
        self._updated_at = 0.0

    def record(self, now: float, overloaded: bool, sent: DecayingRate) -> None:
        """Record a part that a live server served or, with `overloaded`, rejected or answered too late."""
        if now != self._updated_at:
            decay = math.exp2(min(0.0, (self._updated_at - now) / OVERLOAD_HALF_LIFE))
            self._ended *= decay
            self._overloaded *= decay
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
        """Remove the limit, because the estimate no longer applies after a change of the zone's state."""
        self._limit = math.inf
        self._ended = 0.0
        self._overloaded = 0.0

    def apply(self, now: float, limit: float, baseline: float) -> float:
        """Return the rate that the zone can serve by the estimate, at most `limit` and never below its baseline."""
        if self._limit == math.inf:
            return limit
        increase = OVERLOAD_RECOVERY * limit * max(now - self._limited_at, 0.0)
        return min(limit, max(self._limit + increase, baseline))


class TokenBucket:
    """Limits the parts that may be sent now; each sent part takes a token."""

    __slots__ = ("_filled_at", "tokens")

    def __init__(self) -> None:
        self.tokens = 0.0
        # None: the bucket is filled by the first call of `refill`.
        self._filled_at: float | None = None

    def refill(self, now: float, rate: float, largest_query: float) -> float:
        """Add `rate` tokens per second since the last call; return the number of tokens."""
        capacity = max(rate * BURST_SECONDS, MIN_BURST_QUERIES * largest_query)
        if self._filled_at is None:
            self.tokens = capacity
        else:
            self.tokens = min(capacity, self.tokens + rate * max(now - self._filled_at, 0.0))
        self._filled_at = now
        return self.tokens

    def reset(self, now: float) -> None:
        """Start again with a single token, so that no burst is possible at first."""
        self.tokens = 1.0
        self._filled_at = now
