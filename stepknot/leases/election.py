"""An election: one candidate's request that a majority of voters promise it an epoch (ballot), and its backoff."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import LedgerRecord, Promise, Rejection
from stepknot.leases.settings import LeaseSettings

BACKOFF_FRACTION = 0.25  # of a lease, the first pause between two elections; then doubled
MAX_DOUBLINGS = 3
MIN_JITTER, MAX_JITTER = 0.2, 1.0  # fractions of a pause


@dataclass(slots=True)
class Election:
    """The replies to one epoch's request. It lasts as long as the epoch: later promises join it."""

    epoch: int = 0
    released_epoch: int = 0  # the epoch that was handed over to this process; 0: none
    started_at: float = -math.inf
    resend_at: float = -math.inf
    promises: dict[str, Promise] = field(default_factory=dict)  # by voter
    rejections: dict[str, Rejection] = field(default_factory=dict)  # by voter
    # A voter promised this epoch to another process, so it can promise this one only a later epoch.
    needs_later_epoch: bool = False

    def missing_voters(self, settings: LeaseSettings) -> tuple[str, ...]:
        """The voters that have not promised."""
        return tuple(each for each in settings.voters if each not in self.promises)

    def voters_to_release(self, settings: LeaseSettings) -> tuple[str, ...]:
        """The voters that promised, or may have."""
        return tuple(each for each in settings.voters if each not in self.rejections)

    def record_promise(self, voter: str, promise: Promise) -> None:
        """Take a voter's promise."""
        self.promises[voter] = promise
        self.rejections.pop(voter, None)

    def take_quorum(self, settings: LeaseSettings) -> LedgerRecord | None:
        """Once a majority's promises count: keep just these.

        Returns:
            The newest record that they report, which the new lease holder continues from; None before that.
        """
        valid = quorum.valid_voters(self.promises)
        if len(valid) < settings.quorum_size:
            return None
        self.promises = {each: self.promises[each] for each in valid}
        records = (each.record for each in self.promises.values())
        return max(records, key=lambda each: each.version)

    def is_new_promise(self, voter: str, promise: Promise) -> bool:
        """Whether the voter has not promised in this incarnation."""
        known = self.promises.get(voter)
        return known is None or promise.incarnation > known.incarnation

    def seconds_until_quorum(self, settings: LeaseSettings) -> float | None:
        """Where the rejections leave no majority: seconds until enough voters would promise; else None."""
        still_able = len(settings.voters) - len(self.rejections)
        needed = settings.quorum_size - still_able
        if needed <= 0:
            return None
        waits = sorted(each.retry_after_ms for each in self.rejections.values())
        return waits[needed - 1] / 1000


class ElectionBackoff:
    """When this process may start its next election. Pauses are random so that rival candidates do not repeat."""

    def __init__(self, settings: LeaseSettings, seed: int) -> None:
        """Pauses are fractions of the lease; they are drawn from the seed."""
        self._first_pause = BACKOFF_FRACTION * settings.lease_seconds
        self._random = random.Random(seed)
        self._failures = 0
        self.next_election_at = -math.inf

    def record_failure(self, now: float, min_seconds: float) -> None:
        """An election failed: wait `min_seconds` and a pause that doubles with each failure."""
        pause = self._first_pause * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        self.next_election_at = now + max(min_seconds, 0.0) + self._jitter() * pause

    def record_success(self) -> None:
        """An election was won."""
        self._failures = 0

    def record_loss(self, now: float) -> None:
        """The lease was lost or handed over."""
        self.next_election_at = now + self._jitter() * self._first_pause

    def _jitter(self) -> float:
        return self._random.uniform(MIN_JITTER, MAX_JITTER)
