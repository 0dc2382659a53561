"""The subset for operators: the admin answer of `/subset`, the reasons for single nodes, and the metrics."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict, dataclass, fields
from typing import Any

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.metrics.families import counter_by_label
from stepknot.broker.subset_change_log import SubsetChangeLog
from stepknot.interface import ServerEntry, ServerState
from stepknot.net.loop import Loop
from stepknot.subsets.endpoint_index import IndexedCell
from stepknot.subsets.explanation import explain
from stepknot.subsets.model import ChangeCause
from stepknot.subsets.subset import Subset


@dataclass(slots=True)
class ZoneRow:
    """Counts of one zone's nodes: those on the list, and those in the subset by state."""

    zone: str
    tier: int
    listed: int = 0
    live: int = 0
    warm: int = 0
    cold: int = 0
    draining: int = 0


@dataclass(frozen=True, slots=True)
class SubsetNode:
    """A node of the subset. In slow start its capacity is divided by `sharers`."""

    server: str
    zone: str
    cell: int
    state: str
    sharers: float


@dataclass(frozen=True, slots=True)
class SubsetView:
    """The answer of `/subset`; the names of the fields are its keys. The key `held` is omitted if it is None."""

    identity: str
    zone: str
    size: int
    holders: float
    near: float
    instances: int
    off: str
    busy: bool
    cells: int
    quota_least: int
    quota_greatest: int
    left_out: int
    longest_slice: float
    changes: dict[str, int]
    zones: list[ZoneRow]
    held: list[SubsetNode] | None = None

    def as_answer(self) -> dict[str, Any]:
        """The answer as a dict for orjson; rows are not copied."""
        answer = {field.name: getattr(self, field.name) for field in fields(self)}
        if self.held is None:
            del answer["held"]
        return answer


@dataclass(frozen=True, slots=True)
class DisabledSubsetView:
    """The answer of `/subset` after an error in the subset's code: the error, and the number of nodes in use."""

    identity: str
    off: str
    nodes: int

    def as_answer(self) -> dict[str, Any]:
        """The answer as a dict."""
        return asdict(self)


class SubsetNodeCounts:
    """Counts the nodes for one answer, cell by cell, so that a large list can be counted in slices."""

    def __init__(self, subset: Subset, now: float, with_nodes: bool) -> None:
        self.rows: dict[str, ZoneRow] = {}
        self.nodes: list[SubsetNode] | None = [] if with_nodes else None
        self._subset = subset
        self._now = now

    def add_cell(self, cell: IndexedCell) -> None:
        """Count the nodes of a cell."""
        for entry in cell.ranked:
            row = self._row(entry.zone)
            row.listed += 1
            row.live += entry.state is ServerState.LIVE
        for entry in cell.selected.values():
            self._add_selected(entry)

    def _add_selected(self, entry: ServerEntry) -> None:
        state = state_of(self._subset, entry, self._now)
        row = self._row(entry.zone)
        if state == "warm":
            row.warm += 1
        elif state == "cold":
            row.cold += 1
        else:
            row.draining += 1
        if self.nodes is not None:
            sharers = round(entry.sharers, 3)
            self.nodes.append(SubsetNode(entry.server, entry.zone, entry.cell, state, sharers))

    def _row(self, zone: str) -> ZoneRow:
        row = self.rows.get(zone)
        if row is None:
            row = self.rows[zone] = ZoneRow(zone, self._subset.index.tier(zone))
        return row


class SubsetReport:
    """Views and metrics of one subset. The driver supplies the longest slice."""

    def __init__(self, loop: Loop, subset: Subset, change_log: SubsetChangeLog) -> None:
        self._loop = loop
        self._subset = subset
        self._change_log = change_log

    def view(self, node_counts: SubsetNodeCounts, longest_slice: float) -> SubsetView:
        """The answer of `/subset`, made from the counts of all cells."""
        subset, settings, quotas = self._subset, self._subset.settings, self._quotas()
        return SubsetView(
            identity=settings.identity,
            zone=settings.zone,
            size=settings.size,
            holders=settings.holders,
            near=settings.near,
            instances=subset.instances,
            off="",
            busy=subset.has_work,
            cells=len(quotas),
            quota_least=min(quotas, default=0),
            quota_greatest=max(quotas, default=0),
            left_out=subset.left_out,
            longest_slice=round(longest_slice, 6),
            changes={cause.value: self._change_log.total[cause] for cause in ChangeCause},
            zones=sorted(node_counts.rows.values(), key=lambda row: (row.tier, row.zone)),
            held=node_counts.nodes,
        )

    def explain(self, server: str) -> dict[str, Any] | None:
        """Why a node is, or is not, in the subset; None if the list has no such node."""
        reason = explain(self._subset, server, self._loop.clock())
        return asdict(reason) if reason is not None else None

    def metrics(self, longest_slice: float) -> list[Metric]:
        """All metrics of the subset except `stepknot_subset_off`."""
        subset, now, quotas = self._subset, self._loop.clock(), self._quotas()
        live = sum(cell.live for cell in subset.index.cells.values())
        return [
            self._held_metric(now),
            counter_by_label(
                "stepknot_subset_changes",
                "Cells that changed, by cause",
                "cause",
                {cause.name.lower(): self._change_log.total[cause] for cause in ChangeCause},
            ),
            CounterMetricFamily(
                "stepknot_subset_left_out",
                "Entries that name this broker or a cell that no shard has",
                subset.left_out,
            ),
            _gauge("listed", "Nodes on the list", len(subset.index.entries)),
            _gauge("live", "Live nodes on the list", live),
            _gauge("cells", "Cells with nodes", len(quotas)),
            _gauge("quota_least", "Warm nodes wanted of a cell, the least", min(quotas, default=0)),
            _gauge(
                "quota_greatest",
                "Warm nodes wanted of a cell, the greatest",
                max(quotas, default=0),
            ),
            _gauge(
                "longest_slice_seconds",
                "The longest that a turn was held up so far",
                longest_slice,
            ),
        ]

    def _held_metric(self, now: float) -> Metric:
        entries = self._subset.index.selected_entries()
        counts = Counter(state_of(self._subset, entry, now) for entry in entries)
        metric = GaugeMetricFamily(
            "stepknot_subset_held", "Nodes in use, by state", labels=["state"]
        )
        for state in ("warm", "cold", "draining"):
            metric.add_metric([state], counts[state])
        return metric

    def _quotas(self) -> list[int]:
        """The quotas of the cells that have nodes."""
        return [cell.quota for cell in self._subset.index.cells.values() if cell.ranked]


def state_of(subset: Subset, entry: ServerEntry, now: float) -> str:
    """The state of a node of the subset as named in admin answers and metrics."""
    if entry.state is ServerState.DRAINING:
        return "draining"
    return "cold" if subset.selector.is_warming_up(entry, now) else "warm"


def disabled_gauge(is_disabled: bool) -> Metric:
    """The metric `stepknot_subset_off`."""
    return _gauge("off", "Whether the whole list is used for a defect", is_disabled)


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"stepknot_subset_{name}", text, value)
