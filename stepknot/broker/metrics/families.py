"""Helpers for metric families with one label."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client.core import CounterMetricFamily
from prometheus_client.metrics_core import Metric


def counter_by_label(name: str, text: str, label: str, counts: Mapping[str, float]) -> Metric:
    """A counter with one sample for each value of its label."""
    family = CounterMetricFamily(name, text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family
