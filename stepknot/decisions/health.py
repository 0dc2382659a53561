"""Load reports, the probes that ask for them, and the memory of failures. Types: `stepknot/interface.py`.

Where many aggregators share the servers, own parts say little about a server's load. The replicas of a query
are asked for theirs before its parts are placed.
"""

from __future__ import annotations

import math

from stepknot.decisions.capsule import (
    FLEET_SAMPLE_WEIGHT,
    HALF_LIFE,
    REPORT_FRESH_SHARE,
    Throttle,
)
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.records import Capsule, Query
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import Outcome, Probe, ProbeEnded

PROBE_WAIT_SHARE = 0.03  # of the aim: so long a query waits for load reports
MIN_OTHERS = 2.0  # parts of others at a server, in the mean, below which no probe is needed
# What a probe without an answer counts as out: a server that answers is better, even with a queue.
PROBE_OUT_WEIGHT = 4
# A failure counts as out, in the choice alone, for so many shortest base waits: a server that fails fast
# looks idle.
FAILURE_HOLD = 4.0
MAX_HELD_ERRORS = 3  # errors that all servers share must not unbalance the choice
# Or for so many times as long as nothing was sent there: an instance that sends rarely must learn, too.
FAILURE_HOLD_GAPS = 2.0
# Outcomes of a probe that are no failure of its server.
HARMLESS_PROBE_ENDS = (Outcome.SERVED, Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT)


class FailureMemory:
    """Failures that still count as out at their server."""

    __slots__ = ("_throttle", "_turn")

    def __init__(self, turn: Turn, throttle: Throttle) -> None:
        self._turn, self._throttle = turn, throttle

    def count(self, capsule: Capsule) -> int:
        """The failures that still count."""
        if capsule.failures:
            now = self._turn.now
            capsule.failures = [until for until in capsule.failures if until > now]
        return len(capsule.failures)

    def record(self, capsule: Capsule, max_held: float = math.inf) -> None:
        """Hold one more failure, unless so many are held."""
        if self.count(capsule) < max_held:
            base_wait = self._throttle.base_wait
            hold = max(FAILURE_HOLD * base_wait, FAILURE_HOLD_GAPS * capsule.send_gap)
            capsule.failures.append(self._turn.now + hold)
            self._throttle.fleet.reported_at = -math.inf  # not all servers are healthy: probe


class LoadReports:
    """What servers report to hold, and the probes that ask them."""

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
        """Whether a query's parts can be placed: its replicas have reported, or its time for that is over.

        Probes them first, unless all servers are known to be idle. This guards against blind choices where
        own counts are alike, and against servers that are down, cut off or stand still: one that does not
        answer in time has a probe out, and that counts.
        """
        deadline = query.probe_deadline
        if deadline is None:
            if not self._turn.settings.limits.probing or self._is_fleet_idle():
                return True
            deadline = self._probe_replicas(query)
        return self._turn.now >= deadline - EPSILON or not any(
            capsule.probe_out
            for part in query.parts
            for capsule in self._endpoints.holders(part.shard)
        )

    def _is_fleet_idle(self) -> bool:
        fleet = self._throttle.fleet
        return fleet.others < MIN_OTHERS and self._turn.now - fleet.reported_at < HALF_LIFE

    def _probe_replicas(self, query: Query) -> float:
        """Probe those without a recent report; returns until when the query waits for them."""
        now, actions = self._turn.now, self._turn.actions
        deadline = min(now + PROBE_WAIT_SHARE * query.query_class.aim, query.wait_end)
        query.probe_deadline = deadline
        self._timers.set(deadline)
        old = REPORT_FRESH_SHARE * self._throttle.base_wait / 2
        for part in query.parts:
            for capsule in self._endpoints.holders(part.shard):
                if not capsule.probe_out and now - capsule.reported_at > old:
                    capsule.probe_out = True
                    actions.append(Probe(capsule.entry.server))
        return deadline

    def on_probe_ended(self, event: ProbeEnded) -> None:
        """Take over the report; a probe that failed is a failure of its server."""
        capsule = self._endpoints.capsules.get(event.server)
        if capsule is None:
            return
        capsule.probe_out = False
        self.record(capsule, event.load)
        if event.outcome not in HARMLESS_PROBE_ENDS:
            self._failures.record(capsule)

    def record(self, capsule: Capsule, load: dict[str, float]) -> None:
        """Take over what a server reports to hold, or what waits and how busy it is.

        Reports that cannot be true are ignored.
        """
        held = load.get("inflight", load.get("queue", math.nan) + load.get("util", 0.0))
        if not 0 <= held < math.inf:
            return
        capsule.others = max(0.0, held - len(capsule.calls))
        capsule.reported_at = self._turn.now
        fleet = self._throttle.fleet
        fleet.others += FLEET_SAMPLE_WEIGHT * (capsule.others - fleet.others)
        fleet.reported_at = self._turn.now
