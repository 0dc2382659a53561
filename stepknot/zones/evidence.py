"""Evidence that a zone is lost: the outcomes of the parts sent there, pooled over the zone's servers."""

from __future__ import annotations

import math

from stepknot.zones.decay import DecayingSum

EVIDENCE_HALF_LIFE = 2.0  # seconds
MIN_SAMPLES = 6.0  # decayed number of parts below which no conclusion is drawn
LOSS_FRACTION = 0.8  # a zone is lost if at least this fraction of parts fails, at several servers
# A zone in which parts failed and none was served for this long is lost, whatever the earlier outcomes were.
NO_SUCCESS_TIMEOUT = 1.0  # seconds
FAILING_SERVERS_FRACTION = 0.6  # fraction of the zone's servers that must fail for a loss


class FailureEvidence:
    """Counts the served and failed parts of one zone.

    Only parts are counted. Health checks are ignored, because a server may answer those but no queries.
    """

    __slots__ = ("_failed", "_failed_at", "_failed_since_served", "_last_served", "_served")

    def __init__(self) -> None:
        self._served = DecayingSum(EVIDENCE_HALF_LIFE)
        self._failed = DecayingSum(EVIDENCE_HALF_LIFE)
        # The time of the last failure, by server, for servers that have served nothing since.
        self._failed_at: dict[str, float] = {}
        self._last_served = -math.inf
        self._failed_since_served = 0

    def record_served(self, now: float, server: str) -> None:
        """Record a part that the server served."""
        self._served.add(now, 1.0)
        self._last_served = now
        self._failed_since_served = 0
        self._failed_at.pop(server, None)

    def record_failed(self, now: float, server: str) -> None:
        """Record a part that was lost at the server."""
        self._failed.add(now, 1.0)
        self._failed_since_served += 1
        self._failed_at[server] = now

    def reset(self, now: float) -> None:
        """Discard the evidence when a recovery begins; the served trial that began it becomes the only sample."""
        self._served = DecayingSum(EVIDENCE_HALF_LIFE, 1.0, now)
        self._failed = DecayingSum(EVIDENCE_HALF_LIFE, 0.0, now)
        self._failed_at = {}

    @property
    def failing_servers(self) -> int:
        """The number of servers that failed and have served nothing since."""
        return len(self._failed_at)

    def failing_fraction(self, now: float) -> float:
        """Return the fraction of parts that failed, with decayed counts."""
        failed, served = self._failed.value_at(now), self._served.value_at(now)
        return failed / (failed + served) if failed + served > 0 else 0.0

    def samples(self, now: float) -> float:
        """Return the decayed number of parts that ended."""
        return self._failed.value_at(now) + self._served.value_at(now)

    def indicates_loss(self, now: float, servers: int) -> bool:
        """Return whether nearly all parts fail at the majority of the zone's `servers`; invariant 4.

        The loss of half a zone is left to the decision module, which tracks each server.
        """
        has_samples = self.samples(now) >= MIN_SAMPLES
        mostly_fails = has_samples and self.failing_fraction(now) >= LOSS_FRACTION
        if not mostly_fails and not self._serves_nothing(now):
            return False
        since = now - 2 * EVIDENCE_HALF_LIFE
        recent = sum(failed_at > since for failed_at in self._failed_at.values())
        return recent >= max(1, math.ceil(FAILING_SERVERS_FRACTION * servers))

    def _serves_nothing(self, now: float) -> bool:
        """Return whether several parts have failed and none was served within the time-out."""
        has_failures = self._failed_since_served >= MIN_SAMPLES
        return has_failures and now - self._last_served >= NO_SUCCESS_TIMEOUT
