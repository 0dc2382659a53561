"""Metrics of the loop's iterations."""

from __future__ import annotations

from prometheus_client.core import HistogramMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.net.loop import LAG_BUCKETS, Loop


class LoopMetrics:
    """Collects the durations of the loop's iterations."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop

    def collect(self) -> list[Metric]:
        """The metrics: one histogram of durations in seconds."""
        total = 0
        buckets = []
        for bound, count in zip((*LAG_BUCKETS, "+Inf"), self.loop.lag_counts, strict=True):
            total += count
            buckets.append((str(bound), total))
        lag = HistogramMetricFamily(
            "stepknot_loop_turn_seconds", "How long a turn kept everything else waiting"
        )
        lag.add_metric([], buckets, self.loop.lag_sum)
        return [lag]
