"""Evidence of a zone's loss: the outcomes of parts sent there, pooled over its servers."""

from __future__ import annotations

import math

from stepknot.zones.decay import DecayingSum

EVIDENCE_HALF_LIFE = 2.0  # seconds
MIN_SAMPLES = 6.0  # decayed parts below which nothing is concluded
LOSS_FRACTION = 0.8  # of parts that fail: from here on the zone is lost, if several servers fail
SILENCE_TIMEOUT = 1.0  # seconds in which parts failed and none was served, whatever came before
FAILING_SERVERS_FRACTION = 0.6  # of the servers that have to fail


class FailureEvidence:
    """Served and failed parts of one zone.

    A server that answers health checks but no queries counts for nothing here: only parts do.
    """

    __slots__ = ("_failed", "_failed_at", "_failed_since_served", "_last_served", "_served")

    def __init__(self) -> None:
        self._served = DecayingSum(EVIDENCE_HALF_LIFE)
        self._failed = DecayingSum(EVIDENCE_HALF_LIFE)
        self._failed_at: dict[
            str, float
        ] = {}  # by server, the last time, if it served nothing since
        self._last_served = -math.inf
        self._failed_since_served = 0

    def record_served(self, now: float, server: str) -> None:
        """A part was served."""
        self._served.add(now, 1.0)
        self._last_served = now
        self._failed_since_served = 0
        self._failed_at.pop(server, None)

    def record_failed(self, now: float, server: str) -> None:
        """A part was lost."""
        self._failed.add(now, 1.0)
        self._failed_since_served += 1
        self._failed_at[server] = now

    def reset(self, now: float) -> None:
        """A recovery begins, with the trial that was served."""
        self._served = DecayingSum(EVIDENCE_HALF_LIFE, 1.0, now)
        self._failed = DecayingSum(EVIDENCE_HALF_LIFE, 0.0, now)
        self._failed_at = {}

    @property
    def failing_servers(self) -> int:
        """Servers that failed and have served nothing since."""
        return len(self._failed_at)

    def failing_fraction(self, now: float) -> float:
        """Fraction of the parts that failed."""
        failed, served = self._failed.value_at(now), self._served.value_at(now)
        return failed / (failed + served) if failed + served > 0 else 0.0

    def samples(self, now: float) -> float:
        """Parts that ended, decayed."""
        return self._failed.value_at(now) + self._served.value_at(now)

    def indicates_loss(self, now: float, servers: int) -> bool:
        """Whether nearly all parts fail at most of the zone's `servers`; invariant 4.

        Half a zone is left to the decision module, which knows each server.
        """
        has_samples = self.samples(now) >= MIN_SAMPLES
        mostly_fails = has_samples and self.failing_fraction(now) >= LOSS_FRACTION
        if not mostly_fails and not self._is_silent(now):
            return False
        since = now - 2 * EVIDENCE_HALF_LIFE
        recent = sum(failed_at > since for failed_at in self._failed_at.values())
        return recent >= max(1, math.ceil(FAILING_SERVERS_FRACTION * servers))

    def _is_silent(self, now: float) -> bool:
        """Whether parts failed for a while and none was served."""
        has_failures = self._failed_since_served >= MIN_SAMPLES
        return has_failures and now - self._last_served >= SILENCE_TIMEOUT
