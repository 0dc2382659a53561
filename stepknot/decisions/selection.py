"""Replica selection: prefers the replica with the fewest calls in flight. Types: `stepknot/interface.py`."""

from __future__ import annotations

import math

from stepknot.decisions.capsule import Throttle
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.health import PENDING_PROBE_WEIGHT, FailureMemory
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Capsule, Query
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.turn import Turn
from stepknot.interface import Effect, Narrow

# The replica with the lowest rank is chosen. The values are, in the order of comparison: whether the replica
# fails the class, whether it is at beta or bypassed, whether it is unresponsive, its number of calls in
# flight with penalties, whether it needs a new call, and a random number.
Rank = tuple[bool, bool, bool, float, bool, float]


class ReplicaSelector:
    """Chooses a server for a part among the live replicas of its shard."""

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
        self, query: Query, shard: int, excluded: list[str], beta_factor: float, is_trial: bool
    ) -> Capsule | None:
        """The best replica of a shard, or None if there is none.

        Args:
            query: The part's query.
            shard: The part's shard.
            excluded: Servers that must not be chosen.
            beta_factor: Factor applied to beta.
            is_trial: As in `Throttle.part_wait`.
        """
        class_name = query.query_class.name
        has_capacity = self._slow_start.has_capacity
        candidates = [
            capsule
            for capsule in self._endpoints.replicas(shard)
            if capsule.entry.server not in excluded and has_capacity(capsule, class_name)
        ]
        if self._turn.narrow:
            candidates = self._narrowed(self._turn.narrow, query, candidates)
        best: Capsule | None = None
        best_rank: Rank | None = None
        for capsule in candidates:
            rank = self._rank(query, capsule, beta_factor, is_trial)
            if best_rank is None or rank < best_rank:
                best, best_rank = capsule, rank
        return best

    def _narrowed(self, narrow: Narrow, query: Query, candidates: list[Capsule]) -> list[Capsule]:
        """The candidates that the caller's rule allows."""
        entries = [capsule.entry for capsule in candidates]
        is_safe = query.query_class.effect is Effect.SAFE
        places = narrow(self._turn.now, entries, is_safe, bool(query.first_parts))
        return [candidates[place] for place in places]

    def _rank(self, query: Query, capsule: Capsule, beta_factor: float, is_trial: bool) -> Rank:
        """The rank of a replica, which mainly is its number of calls in flight.

        A part that joins a call of this turn adds no call. Servers at beta and bypassed servers rank behind
        others: a slow server has few calls in flight, so it would be chosen again and again, and every query
        that needs all parts would be rejected because of it until its mean decays. Unresponsive servers rank
        behind others, too. Servers that fail the query's class rank last: when they lose a part, the work on
        the query's other parts is wasted.
        """
        throttle = self._throttle
        count = throttle.n(capsule) + self._failures.count(capsule)
        count += PENDING_PROBE_WEIGHT * capsule.is_probe_pending
        # Reported load counts by its logarithm: all aggregators see the same report, and a small difference
        # must not send them all to the same server.
        count += int(math.log2(1 + throttle.others_in_flight(capsule)))
        return (
            self._class_losses.fails_class(capsule, query.query_class.name),
            throttle.part_wait(query, capsule, beta_factor, is_trial) <= 0,
            self._unresponsive.is_unresponsive(capsule),
            count + self._shared_faults.excess(capsule),
            not throttle.joins_call(capsule),
            self._turn.random.random(),
        )
