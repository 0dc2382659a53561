"""Metrics of queries, attempts, calls and connections to nodes, and busy time."""

from __future__ import annotations

from collections import Counter

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.core import Core
from stepknot.broker.metrics.families import counter_by_label
from stepknot.net.loop import Loop
from stepknot.nodes.connection_pool import ConnectionPool

ENDED_PREFIX = "ended_"


class QueryMetrics:
    """Collects queries by class and tenant, attempts by outcome, and totals of the core, the pool and the loop."""

    def __init__(self, core: Core, pool: ConnectionPool, loop: Loop) -> None:
        self.core, self.pool, self.loop = core, pool, loop

    def collect(self) -> list[Metric]:
        """The metrics, all of which are counters."""
        core = self.core
        return [
            _by_ending(
                "stepknot_queries", "Queries by class and ending", "class", core.class_counts
            ),
            self._attempts(),
            _by_ending(
                "stepknot_tenant_queries",
                "Queries by tenant and ending",
                "tenant",
                core.tenant_counts,
            ),
            *self._totals(),
        ]

    def _attempts(self) -> Metric:
        ended = {
            key.removeprefix(ENDED_PREFIX): count
            for key, count in self.core.counts.items()
            if key.startswith(ENDED_PREFIX)
        }
        return counter_by_label("stepknot_attempts", "Attempts by outcome", "outcome", ended)

    def _totals(self) -> list[Metric]:
        core, pool, loop = self.core, self.pool, self.loop
        return [
            CounterMetricFamily(f"stepknot_{name}", text, value)
            for name, value, text in (
                ("parts", core.counts["parts"], "Parts taken"),
                ("calls", core.counts["calls"], "Calls sent to boxes"),
                ("shed", core.counts["shed"], "Queries shed for want of room in zones"),
                ("zone_changes", core.counts["zone_changes"], "Changes of a zone's state"),
                ("probes", core.counts["probes"], "Questions sent to boxes"),
                (
                    "extra_attempts",
                    core.counts["extra_attempts"],
                    "Attempts beyond each part's first",
                ),
                ("connections_opened", pool.opened, "Connections opened to boxes"),
                ("connections_reused", pool.reused, "Calls on a kept connection"),
                ("replies_spoilt", pool.malformed_replies, "Replies malformed or too long"),
                (
                    "internal_errors",
                    core.counts["internal_errors"],
                    "Tasks that failed unexpectedly",
                ),
                ("decide_seconds", core.decide_time, "Time spent in the decision module"),
                ("busy_seconds", loop.busy, "Time spent in turns of the loop"),
            )
        ]


def _by_ending(name: str, text: str, label: str, counts: Counter[tuple[str, str]]) -> Metric:
    family = CounterMetricFamily(name, text, labels=[label, "ending"])
    for (key, ending), count in counts.items():
        family.add_metric([key, ending], count)
    return family
