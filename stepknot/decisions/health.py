"""Load reports, the probes that request them, and recent failures. Types: `stepknot/interface.py`.

Where many aggregators share the servers, an aggregator's own parts show little of a server's load. It
therefore probes the replicas of a query for their load before it places the query's parts.
"""

from __future__ import annotations

import math

from stepknot.decisions.capsule import (
    FLEET_SAMPLE_WEIGHT,
    HALF_LIFE,
    MAX_REPORT_AGE_SHARE,
    Throttle,
)
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.records import Capsule, Query
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import Outcome, Probe, ProbeEnded

PROBE_WAIT_SHARE = 0.03  # maximum wait of a query for load reports, as a fraction of `aim`
# Mean number of other aggregators' parts at a server below which no probes are needed.
MIN_OTHERS_FOR_PROBE = 2.0
# An unanswered probe counts as this many calls in flight, so that a server that answers is preferred even if
# it has a queue.
PENDING_PROBE_WEIGHT = 4
# A failure counts as one call in flight, in replica selection only, for this many shortest base waits. A
# server that fails fast would otherwise look idle.
FAILURE_MEMORY_WAITS = 4.0
MAX_REMEMBERED_ERRORS = 3  # bounds the effect of errors that all servers share on replica selection
# A failure counts for this multiple of the time without sends before the last call, if that is longer than
# `FAILURE_MEMORY_WAITS`: it must also last until the next send of an instance that sends rarely.
FAILURE_MEMORY_GAPS = 2.0
# Outcomes of a probe that do not count as a failure of its server.
HARMLESS_PROBE_ENDS = (Outcome.SERVED, Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT)


class FailureMemory:
    """Recent failures, each of which counts as a call in flight at its server."""

    __slots__ = ("_throttle", "_turn")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle

    def count(self, capsule: Capsule) -> int:
        """The number of the server's failures that have not expired."""
        if capsule.failures:
            now = self._turn.now
            capsule.failures = [until for until in capsule.failures if until > now]
        return len(capsule.failures)

    def record(self, capsule: Capsule, max_remembered: float = math.inf) -> None:
        """Remember one more failure, unless `max_remembered` or more have not expired."""
        if self.count(capsule) < max_remembered:
            base_wait = self._throttle.base_wait
            lifetime = max(FAILURE_MEMORY_WAITS * base_wait, FAILURE_MEMORY_GAPS * capsule.send_gap)
            capsule.failures.append(self._turn.now + lifetime)
            self._throttle.fleet.reported_at = -math.inf  # the fleet is not healthy: probe again


class LoadReports:
    """The load that servers report, and the probes that request the reports."""

    __slots__ = ("_endpoints", "_failures", "_throttle", "_timers", "_turn")

    def __init__(
        self,
        turn: Turn,
        timers: Timers,
        throttle: Throttle,
        endpoints: EndpointList,
        failures: FailureMemory,
    ) -> None:
        self._turn, self._timers, self._throttle = turn, timers, throttle
        self._endpoints, self._failures = endpoints, failures

    def is_ready(self, query: Query) -> bool:
        """Whether a query's parts can be placed: its replicas have reported, or its wait for that is over.

        The replicas are probed first, unless the whole fleet is known to be idle. Without probes the choice
        would be arbitrary where this aggregator's own counts are equal. Probes also reveal servers that are
        down, unreachable or paused: a probe that is not answered in time counts against its server.
        """
        deadline = query.probe_deadline
        if deadline is None:
            if not self._turn.settings.limits.probing or self._is_fleet_idle():
                return True
            deadline = self._probe_replicas(query)
        return self._turn.now >= deadline - EPSILON or not any(
            capsule.is_probe_pending
            for part in query.parts
            for capsule in self._endpoints.replicas(part.shard)
        )

    def _is_fleet_idle(self) -> bool:
        fleet = self._throttle.fleet
        return (
            fleet.reported_others < MIN_OTHERS_FOR_PROBE
            and self._turn.now - fleet.reported_at < HALF_LIFE
        )

    def _probe_replicas(self, query: Query) -> float:
        """Probe the replicas without a recent report; returns the time until which the query waits."""
        now, actions = self._turn.now, self._turn.actions
        deadline = min(now + PROBE_WAIT_SHARE * query.query_class.aim, query.wait_end)
        query.probe_deadline = deadline
        self._timers.set(deadline)
        max_age = MAX_REPORT_AGE_SHARE * self._throttle.base_wait / 2
        for part in query.parts:
            for capsule in self._endpoints.replicas(part.shard):
                if not capsule.is_probe_pending and now - capsule.reported_at > max_age:
                    capsule.is_probe_pending = True
                    actions.append(Probe(capsule.entry.server))
        return deadline

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Record the load report; a failed probe counts as a failure of its server."""
        capsule = self._endpoints.capsules.get(event.server)
        if capsule is None:
            return
        capsule.is_probe_pending = False
        self.record(capsule, event.load)
        if event.outcome not in HARMLESS_PROBE_ENDS:
            self._failures.record(capsule)

    def record(self, capsule: Capsule, load: dict[str, float]) -> None:
        """Record the number of parts that a server reports.

        That is its parts in flight, or else the length of its queue plus its utilization. Reports with
        impossible values are ignored.
        """
        reported = load.get("inflight", load.get("queue", math.nan) + load.get("util", 0.0))
        if not 0 <= reported < math.inf:
            return
        capsule.reported_others = max(0.0, reported - len(capsule.calls))
        capsule.reported_at = self._turn.now
        fleet = self._throttle.fleet
        fleet.reported_others += FLEET_SAMPLE_WEIGHT * (
            capsule.reported_others - fleet.reported_others
        )
        fleet.reported_at = self._turn.now
