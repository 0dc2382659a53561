"""Combines all collectors of a broker in one registry, in the order in which `/metrics` shows them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.metrics_core import Metric


class Collector(Protocol):
    """Collects one subsystem's metrics."""

    def collect(self) -> list[Metric]:
        """The subsystem's metrics with their present values."""


class BrokerMetrics:
    """A broker's metrics.

    Args:
        collectors: The subsystems' collectors, in the order of their metrics in `/metrics`.
    """

    def __init__(self, collectors: Sequence[Collector]) -> None:
        self.collectors = tuple(collectors)
        self.registry = CollectorRegistry()
        self.registry.register(self)

    def collect(self) -> list[Metric]:
        """The metrics of all subsystems. The registry calls this."""
        return [metric for each in self.collectors for metric in each.collect()]

    def text(self) -> bytes:
        """The exposition text of `/metrics`."""
        return generate_latest(self.registry)
