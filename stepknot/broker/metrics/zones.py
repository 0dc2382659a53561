"""Metrics of zones, with one series for each zone."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.net.loop import Loop
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.model import ZoneState, ZoneView

# The value of the state metric is the state's position in this tuple.
STATES = (ZoneState.HEALTHY, ZoneState.RECOVERING, ZoneState.UNAVAILABLE)
GAUGES: tuple[tuple[str, str, Callable[[ZoneView], float]], ...] = (
    ("state", "0 sound, 1 returning, 2 dark", lambda view: STATES.index(view.state)),
    ("tier", "Preference, 0 is best", lambda view: view.tier),
    ("boxes", "Live boxes by the list", lambda view: view.servers),
    ("rate", "Parts a second sent there", lambda view: view.rate),
    ("had", "Parts a second it had", lambda view: view.baseline_rate),
    ("allowed", "Parts a second it may get", lambda view: view.allowed_rate),
    ("ramp", "Share of what it had that it may get back", lambda view: view.recovery_fraction),
    ("failing", "Share of parts that failed", lambda view: view.failing_fraction),
)


class ZoneMetrics:
    """Collects each zone's state, traffic and limits."""

    def __init__(self, zones: ZoneFailover, loop: Loop) -> None:
        self.zones, self.loop = zones, loop

    def collect(self) -> list[Metric]:
        """The metrics, all of which are gauges."""
        views = self.zones.views(self.loop.now)
        metrics: list[Metric] = []
        for name, text, read in GAUGES:
            gauge = GaugeMetricFamily(f"stepknot_zone_{name}", text, labels=["zone"])
            for view in views:
                gauge.add_metric([view.zone], read(view))
            metrics.append(gauge)
        return metrics
