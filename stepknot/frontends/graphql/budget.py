"""How many parts each client and each tenant may cause over time: token buckets in bounded memory.

A bucket is kept only while it is not full, so the memory is that of the clients who lately spent. When there are as
many of those as may be kept, the others share one bucket: a flood of addresses gains nothing by being many.
"""

from __future__ import annotations

from dataclasses import dataclass

SECONDS = 10.0  # the burst that is allowed where none is stated: what comes in this time
SWEPT = 32  # buckets looked at for being full again, when room is wanted


@dataclass(slots=True)
class Bucket:
    level: float
    at: float


class Budget:
    """One rate for each of many spenders. Times are handed in and may stand still, but a step back earns nothing."""

    def __init__(self, rate: float, burst: float, most: int) -> None:
        self.rate, self.burst, self.most = rate, burst or rate * SECONDS, most
        self.buckets: dict[str, Bucket] = {}
        self.rest = Bucket(self.burst, 0.0)  # of all who are not kept apart

    def wait(self, now: float, who: str, parts: float) -> float:
        """Seconds until this may be spent; 0 where it may now. What is over the burst may be spent when it is full."""
        if not self.rate:
            return 0.0
        bucket = self.filled(now, who)
        lacking = min(parts, self.burst) - bucket.level
        return lacking / self.rate if lacking > 1e-9 else 0.0

    def spend(self, now: float, who: str, parts: float) -> None:
        if self.rate:
            bucket = self.filled(now, who)
            bucket.level -= parts
            if bucket is not self.rest:
                self.buckets.setdefault(who, bucket)

    def filled(self, now: float, who: str) -> Bucket:
        bucket = self.buckets.get(who)
        if bucket is None:
            if len(self.buckets) >= self.most:
                self.sweep(now)
            bucket = Bucket(self.burst, now) if len(self.buckets) < self.most else self.rest
        self.fill(now, bucket)
        return bucket

    def fill(self, now: float, bucket: Bucket) -> None:
        passed = now - bucket.at
        if passed > 0:
            bucket.level = min(bucket.level + passed * self.rate, self.burst)
        bucket.at = now

    def sweep(self, now: float) -> None:
        """Forget some that are full again; those looked at and kept go to the end, so that all have their turn."""
        for who in list(self.buckets)[:SWEPT]:
            bucket = self.buckets.pop(who)
            self.fill(now, bucket)
            if bucket.level < self.burst:
                self.buckets[who] = bucket


class Budgets:
    """Of an operation both its client and its tenant pay; it runs where both can."""

    def __init__(
        self, rate: float, burst: float, tenant_rate: float, shares: dict[str, float], most: int
    ) -> None:
        self.clients = Budget(rate, burst, most)
        self.tenants = {name: Budget(tenant_rate * share, 0.0, 1) for name, share in shares.items()}

    def take(self, now: float, client: str, tenant: str, parts: float) -> float:
        """0 where it was paid for; else the seconds after which it may be, and nothing was paid."""
        own = self.tenants.get(tenant)
        wait = max(
            self.clients.wait(now, client, parts), own.wait(now, tenant, parts) if own else 0.0
        )
        if not wait:
            self.clients.spend(now, client, parts)
            if own is not None:
                own.spend(now, tenant, parts)
        return wait
