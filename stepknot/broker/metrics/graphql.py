"""Metrics of the GraphQL frontend."""

from __future__ import annotations

from typing import Any

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.metrics.families import counter_by_label
from stepknot.net.server import Server


class GraphqlMetrics:
    """Requests, prepared documents and clients of the GraphQL frontend.

    Args:
        frontend: The frontend; a layer above this one, so its type is not named here.
        server: Its server.
    """

    def __init__(self, frontend: Any, server: Server) -> None:
        self.frontend, self.server = frontend, server

    def collect(self) -> list[Metric]:
        """Counters of requests, gauges of the rest."""
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
