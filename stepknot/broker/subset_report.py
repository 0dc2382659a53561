"""What operators see of a subset: the answer of `/subset`, reasons for single nodes, and metrics."""

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
    """The nodes of one zone: on the list, and in the subset by state."""

    zone: str
    tier: int
    listed: int = 0
    live: int = 0
    warm: int = 0
    cold: int = 0
    draining: int = 0


@dataclass(frozen=True, slots=True)
class HeldNode:
    """A node of the subset; `sharers` is what its capacity is divided by in slow start."""

    server: str
    zone: str
    cell: int
    state: str
    sharers: float


@dataclass(frozen=True, slots=True)
class SubsetView:
    """The answer of `/subset`; the names of the fields are its keys. `held` is left out where it is None."""

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
    held: list[HeldNode] | None = None

    def as_answer(self) -> dict[str, Any]:
        """The answer by key, for orjson; rows are not copied."""
        answer = {field.name: getattr(self, field.name) for field in fields(self)}
        if self.held is None:
            del answer["held"]
        return answer


@dataclass(frozen=True, slots=True)
class DisabledSubsetView:
    """The answer of `/subset` after a defect: why the subset is off, and how many nodes are used instead."""

    identity: str
    off: str
    nodes: int

    def as_answer(self) -> dict[str, Any]:
        """The answer by key."""
        return asdict(self)


class SubsetSurvey:
    """Counts of one answer, taken cell by cell so that a large list can be gone through in slices."""

    def __init__(self, subset: Subset, now: float, with_held: bool) -> None:
        self.rows: dict[str, ZoneRow] = {}
        self.held: list[HeldNode] | None = [] if with_held else None
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
        if self.held is not None:
            sharers = round(entry.sharers, 3)
            self.held.append(HeldNode(entry.server, entry.zone, entry.cell, state, sharers))

    def _row(self, zone: str) -> ZoneRow:
        row = self.rows.get(zone)
        if row is None:
            row = self.rows[zone] = ZoneRow(zone, self._subset.index.tier(zone))
        return row


class SubsetReport:
    """Views and metrics of one subset; the times of slices come from the driver."""

    def __init__(self, loop: Loop, subset: Subset, change_log: SubsetChangeLog) -> None:
        self._loop = loop
        self._subset = subset
        self._change_log = change_log

    def view(self, survey: SubsetSurvey, longest_slice: float) -> SubsetView:
        """The answer of `/subset` from counts that are complete."""
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
            zones=sorted(survey.rows.values(), key=lambda row: (row.tier, row.zone)),
            held=survey.held,
        )

    def explain(self, server: str) -> dict[str, Any] | None:
        """Why a node is, or is not, in the subset; None: the list does not name it."""
        reason = explain(self._subset, server, self._loop.clock())
        return asdict(reason) if reason is not None else None

    def metrics(self, longest_slice: float) -> list[Metric]:
        """All metrics but `stepknot_subset_off`."""
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
        """Of cells with nodes."""
        return [cell.quota for cell in self._subset.index.cells.values() if cell.ranked]


def state_of(subset: Subset, entry: ServerEntry, now: float) -> str:
    """The state of a node of the subset, as admin answers and metrics name it."""
    if entry.state is ServerState.DRAINING:
        return "draining"
    return "cold" if subset.selector.is_warming_up(entry, now) else "warm"


def disabled_gauge(is_disabled: bool) -> Metric:
    """The metric `stepknot_subset_off`."""
    return _gauge("off", "Whether the whole list is used for a defect", is_disabled)


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"stepknot_subset_{name}", text, value)
