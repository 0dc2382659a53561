"""Metrics of admission: its decisions, connections and limits."""

from __future__ import annotations

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.admission.model import TrustLevel
from stepknot.broker.admission_gate import AdmissionGate
from stepknot.broker.metrics.families import counter_by_label


class AdmissionMetrics:
    """Collects the decisions of admission and the use of its limits."""

    def __init__(self, gate: AdmissionGate) -> None:
        self.gate = gate

    def collect(self) -> list[Metric]:
        """The metrics: decisions and silent closes as counters, the use of limits as gauges."""
        admission = self.gate.admission
        decided = counter_by_label(
            "stepknot_admission_decisions", "What admission decided", "what", admission.decisions
        )
        silent_closes = counter_by_label(
            "stepknot_admission_silent",
            "Connections closed without an answer, and why",
            "why",
            self.gate.silent_closes(),
        )
        slots = GaugeMetricFamily(
            "stepknot_admission_seats",
            "Connections served, by how well they are known",
            labels=["rank"],
        )
        for level in TrustLevel:
            slots.add_metric([level.label], admission.slots.by_trust[level])
        return [decided, silent_closes, slots, *self._limits()]

    def _limits(self) -> list[Metric]:
        admission = self.gate.admission
        return [
            GaugeMetricFamily(f"stepknot_admission_{name}", text, value)
            for name, value, text in (
                ("seats_most", admission.slots.capacity, "Seats for connections"),
                ("lane", len(admission.queue), "Connections that wait for their refusal"),
                ("queries", admission.queries.taken, "Queries in work"),
                ("bytes", admission.byte_budget.reserved, "Bytes of requests held"),
            )
        ]
