"""Metrics of a broker's present load."""

from __future__ import annotations

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.core import Core
from stepknot.net.loop import Loop
from stepknot.net.server import Server


class InFlightMetrics:
    """Collects the numbers of queries, attempts, clients and listed nodes, and the longest iteration of the loop."""

    def __init__(self, core: Core, server: Server, loop: Loop) -> None:
        self.core, self.server, self.loop = core, server, loop

    def collect(self) -> list[Metric]:
        """The metrics, all of which are gauges."""
        core = self.core
        return [
            GaugeMetricFamily(f"stepknot_{name}", text, value)
            for name, value, text in (
                ("held_queries", len(core.queries), "Queries held"),
                ("attempts_out", len(core.attempts), "Attempts out"),
                ("client_connections", len(self.server.connections), "Clients connected"),
                ("boxes_listed", len(core.servers), "Boxes on the list"),
                ("loop_lag_most_seconds", self.loop.lag_most, "The longest turn so far"),
            )
        ]
