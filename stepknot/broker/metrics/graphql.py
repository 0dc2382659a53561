"""Metrics of the GraphQL frontend."""

from __future__ import annotations

from typing import Any

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.metrics.families import counter_by_label
from stepknot.net.server import Server


class GraphqlMetrics:
    """Collects the requests, prepared documents and clients of the GraphQL frontend.

    Args:
        frontend: The frontend. Its type belongs to a higher layer, which this module must not import.
        server: The frontend's server.
    """

    def __init__(self, frontend: Any, server: Server) -> None:
        self.frontend, self.server = frontend, server

    def collect(self) -> list[Metric]:
        """The metrics: requests as counters, everything else as gauges."""
        requests = counter_by_label(
            "stepknot_graphql_requests",
            "GraphQL requests by what became of them",
            "what",
            self.frontend.counts,
        )
        return [
            requests,
            GaugeMetricFamily(
                "stepknot_graphql_documents",
                "Prepared documents kept",
                len(self.frontend.graph.documents.kept),
            ),
            GaugeMetricFamily(
                "stepknot_graphql_connections",
                "Clients connected to the GraphQL front",
                len(self.server.connections),
            ),
        ]
