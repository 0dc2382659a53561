"""Settings of leases and the identity of a process. Durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class ProcessId(NamedTuple):
    """One process of a broker: two processes that run under the same name differ in their birth."""

    name: str
    birth: int


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Who votes and how long a lease lasts. `docs/leases.md` derives the defaults."""

    voters: tuple[str, ...]
    fleet: str = "stepknot"
    lease_seconds: float = 2.0
    max_drift: float = 0.05  # upper bound of the difference of two clocks' rates, as a fraction

    @property
    def quorum_size(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def holder_lease_seconds(self) -> float:
        """How long a lease holder may act, counted from before it sent its request."""
        return self.lease_seconds * (1 - self.max_drift)

    @property
    def voter_lease_seconds(self) -> float:
        """How long a voter promises the job to nobody else, counted from its promise."""
        return self.lease_seconds * (1 + self.max_drift)

    @property
    def renewal_interval(self) -> float:
        """Between two renewals, so that two may be lost."""
        return self.lease_seconds / 4
