"""An election, in which a candidate asks a majority of voters to promise it an epoch (ballot), and its backoff."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from stepknot.leases import quorum
from stepknot.leases.messages import LedgerRecord, Promise, Rejection
from stepknot.leases.settings import LeaseSettings

BACKOFF_FRACTION = 0.25  # first pause after a failed election, as a fraction of the lease
MAX_DOUBLINGS = 3  # each further failure doubles the pause, up to this number of times
MIN_JITTER, MAX_JITTER = 0.2, 1.0  # bounds of the random factor of a pause


@dataclass(slots=True)
class Election:
    """The voters' replies for one epoch. Promises are added to it even after the election is won."""

    epoch: int = 0
    released_epoch: int = 0  # the epoch whose holder handed the job over to this process; 0: none
    started_at: float = -math.inf
    resend_at: float = -math.inf
    promises: dict[str, Promise] = field(default_factory=dict)  # by voter
    rejections: dict[str, Rejection] = field(default_factory=dict)  # by voter
    # A voter promised this epoch to another process, so it can promise only a later epoch to this one.
    needs_later_epoch: bool = False

    def missing_voters(self, settings: LeaseSettings) -> tuple[str, ...]:
        """The voters that have not promised the epoch."""
        return tuple(each for each in settings.voters if each not in self.promises)

    def voters_to_release(self, settings: LeaseSettings) -> tuple[str, ...]:
        """The voters that promised the epoch or may have promised it."""
        return tuple(each for each in settings.voters if each not in self.rejections)

    def record_promise(self, voter: str, promise: Promise) -> None:
        """Record a voter's promise."""
        self.promises[voter] = promise
        self.rejections.pop(voter, None)

    def take_quorum(self, settings: LeaseSettings) -> LedgerRecord | None:
        """Keep only the valid promises, if a majority of voters has given them.

        Returns:
            The newest record that they report, which the new lease holder continues from; None without a majority.
        """
        valid = quorum.valid_voters(self.promises)
        if len(valid) < settings.quorum_size:
            return None
        self.promises = {each: self.promises[each] for each in valid}
        records = (each.record for each in self.promises.values())
        return max(records, key=lambda each: each.version)

    def is_new_promise(self, voter: str, promise: Promise) -> bool:
        """Whether the voter had not promised the epoch in this incarnation before."""
        known = self.promises.get(voter)
        return known is None or promise.incarnation > known.incarnation

    def seconds_until_quorum(self, settings: LeaseSettings) -> float | None:
        """Seconds until a majority may promise, if rejections rule it out now; None if it is still possible."""
        not_rejected = len(settings.voters) - len(self.rejections)
        needed = settings.quorum_size - not_rejected
        if needed <= 0:
            return None
        waits = sorted(each.retry_after_ms for each in self.rejections.values())
        return waits[needed - 1] / 1000


class ElectionBackoff:
    """Decides when this process may start its next election. Random pauses keep candidates from colliding again."""

    def __init__(self, settings: LeaseSettings, seed: int) -> None:
        """Allow an election at once. Pauses are derived from the lease's duration and randomized from the seed."""
        self._first_pause = BACKOFF_FRACTION * settings.lease_seconds
        self._random = random.Random(seed)
        self._failures = 0
        self.next_election_at = -math.inf

    def record_failure(self, now: float, min_seconds: float) -> None:
        """Delay the next election after a failed one by `min_seconds` and a pause that doubles with each failure."""
        pause = self._first_pause * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        self.next_election_at = now + max(min_seconds, 0.0) + self._jitter() * pause

    def record_success(self) -> None:
        """Reset the pause after this process won an election."""
        self._failures = 0

    def record_loss(self, now: float) -> None:
        """Delay the next election after the lease was lost or handed over."""
        self.next_election_at = now + self._jitter() * self._first_pause

    def _jitter(self) -> float:
        return self._random.uniform(MIN_JITTER, MAX_JITTER)
