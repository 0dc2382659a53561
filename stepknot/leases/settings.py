"""Settings of leases and the identity of a process. Durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class ProcessId(NamedTuple):
    """Identifies one process of a broker."""

    name: str
    # Distinguishes processes that run under the same name, such as before and after a restart.
    birth: int


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """The voters and the duration of a lease. `docs/leases.md` derives the defaults."""

    voters: tuple[str, ...]
    fleet: str = "stepknot"
    lease_seconds: float = 2.0
    # Upper bound on the difference between two clocks' rates, as a fraction.
    max_drift: float = 0.05

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
        """How long a voter promises the job to no other process, counted from its promise or renewal."""
        return self.lease_seconds * (1 + self.max_drift)

    @property
    def renewal_interval(self) -> float:
        """The interval between renewals, short enough for a lease to outlast two lost renewals in a row."""
        return self.lease_seconds / 4
