"""Replica selection: the replica with the fewest calls out. Types: `stepknot/interface.py`."""

from __future__ import annotations

import math

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.health import PROBE_OUT_WEIGHT, FailureMemory
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Capsule, Query
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.turn import Turn
from stepknot.interface import Effect, Narrow

# What is compared, the lowest first: fails the class, would not be sent to, unresponsive, count, needs a new
# call, chance.
Rank = tuple[bool, bool, bool, float, bool, float]


class ReplicaSelector:
    """Chooses a server for a part among the live holders of its shard."""

    __slots__ = (
        "_class_losses",
        "_endpoints",
        "_failures",
        "_shared_faults",
        "_slow_start",
        "_throttle",
        "_turn",
        "_unresponsive",
    )

    def __init__(
        self,
        turn: Turn,
        endpoints: EndpointList,
        throttle: Throttle,
        slow_start: SlowStart,
        failures: FailureMemory,
        outliers: OutlierDetection,
    ) -> None:
        self._turn, self._endpoints, self._throttle = turn, endpoints, throttle
        self._slow_start, self._failures = slow_start, failures
        self._unresponsive = outliers.unresponsive
        self._class_losses = outliers.class_losses
        self._shared_faults = outliers.shared_faults

    def choose(
        self, query: Query, shard: int, excluded: list[str], share: float, is_trial: bool
    ) -> Capsule | None:
        """The best replica of a shard, or None if there is none.

        Args:
            query: The part's query.
            shard: The part's shard.
            excluded: Servers that must not be chosen.
            share: Factor on beta.
            is_trial: As in `Throttle.part_wait`.
        """
        class_name = query.query_class.name
        has_capacity = self._slow_start.has_capacity
        candidates = [
            capsule
            for capsule in self._endpoints.holders(shard)
            if capsule.entry.server not in excluded and has_capacity(capsule, class_name)
        ]
        if self._turn.narrow:
            candidates = self._narrowed(self._turn.narrow, query, candidates)
        best: Capsule | None = None
        best_rank: Rank | None = None
        for capsule in candidates:
            rank = self._rank(query, capsule, share, is_trial)
            if best_rank is None or rank < best_rank:
                best, best_rank = capsule, rank
        return best

    def _narrowed(self, narrow: Narrow, query: Query, candidates: list[Capsule]) -> list[Capsule]:
        """Those candidates that the caller's rule leaves."""
        entries = [capsule.entry for capsule in candidates]
        is_safe = query.query_class.effect is Effect.SAFE
        places = narrow(self._turn.now, entries, is_safe, bool(query.first_parts))
        return [candidates[place] for place in places]

    def _rank(self, query: Query, capsule: Capsule, share: float, is_trial: bool) -> Rank:
        """What is compared: first the fewest calls out; a call formed in this turn takes a part for nothing.

        A server at its bound, or that would be bypassed, comes after others: a slow server has few out, it
        would be chosen again and again, and each all-parts query be rejected for it until its mean is
        forgotten. An unresponsive one comes after others, too. Last comes one that fails this class: a query
        sent there is lost with all its parts.
        """
        throttle = self._throttle
        count = throttle.n(capsule) + self._failures.count(capsule)
        count += PROBE_OUT_WEIGHT * capsule.probe_out
        # Reports count by powers of two: all aggregators see the same one and must not all follow it.
        count += int(math.log2(1 + throttle.others_out(capsule)))
        return (
            self._class_losses.fails_class(capsule, query.query_class.name),
            throttle.part_wait(query, capsule, share, is_trial) <= 0,
            self._unresponsive.is_unresponsive(capsule),
            count + self._shared_faults.excess(capsule),
            not throttle.joins_call(capsule),
            self._turn.random.random(),
        )
