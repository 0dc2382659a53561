"""Quota and selection for one cell of the index: determines which of its nodes the subset should contain now."""

from __future__ import annotations

from dataclasses import replace

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.endpoint_index import EndpointIndex
from stepknot.subsets.model import CellLayout, SubsetSettings
from stepknot.subsets.quotas import quota_for_holders, quota_for_size
from stepknot.subsets.rendezvous import uniform_hash
from stepknot.subsets.selection import select_warm
from stepknot.subsets.slow_start import slow_start_share


class CellSelector:
    """Selects among the indexed nodes of a cell; it has no mutable state of its own."""

    def __init__(self, settings: SubsetSettings, layout: CellLayout, index: EndpointIndex) -> None:
        self._settings = settings
        self._layout = layout
        self._index = index

    def is_warming_up(self, entry: ServerEntry, now: float) -> bool:
        """Return whether a node is in slow start."""
        return entry.up_since > 0 and now < entry.up_since + self._layout.warm_up_seconds

    def quota(self, number: int, now: float, instances: int) -> int:
        """Return the number of warm nodes to select in a cell (S1).

        It suffices for `size` if all live nodes are warm, and also for the nodes that are actually warm.
        """
        layout, live_count = self._layout, self._index.live_count
        size = self._settings.size
        # No node has this name, so the dither is independent of the nodes' hashes.
        dither = uniform_hash(self._settings.identity, f"\0cell {number}")
        quotas = [
            quota_for_size(number, live_count, layout.cells, layout.reach, size),
            quota_for_holders(live_count(number), self._settings.holders, instances, dither),
        ]
        if layout.reach > 1:
            quotas.append(
                quota_for_size(
                    number,
                    lambda each: self._warm_count(each, now),
                    layout.cells,
                    layout.reach,
                    size,
                )
            )
        return max(quotas)

    def select(self, number: int, now: float, instances: int) -> list[ServerEntry]:
        """Return the live nodes to select in a cell according to its quota (S1 to S3, S8, S9).

        Nodes in slow start follow the warm ones; their `sharers` is the divisor of their capacity.
        """
        cell = self._index.cells[number]
        share = slow_start_share(cell.quota, cell.live, instances)
        warm: list[ServerEntry] = []
        warming_up: list[ServerEntry] = []
        for entry in cell.ranked:
            if entry.state is not ServerState.LIVE:
                continue
            if not self.is_warming_up(entry, now):
                warm.append(entry)
                continue
            is_below_quota = len(warm) < cell.quota and len(warming_up) < cell.quota
            if is_below_quota and share.is_eligible(self._index.uniform_hash(entry.server)):
                warming_up.append(replace(entry, sharers=share.divisor))
        return select_warm(warm, cell.quota, self._index.tier) + warming_up

    def next_warm_up(self, number: int, now: float) -> float:
        """Return the time at which the next node of a cell ends its slow start; 0 if none is in slow start."""
        ends = (
            entry.up_since + self._layout.warm_up_seconds
            for entry in self._index.cells[number].ranked
            if self.is_warming_up(entry, now)
        )
        return min(ends, default=0.0)

    def _warm_count(self, number: int, now: float) -> int:
        """Return the number of live nodes of a cell that are not in slow start."""
        cell = self._index.cells.get(number)
        ranked = cell.ranked if cell is not None else ()
        return sum(
            entry.state is ServerState.LIVE and not self.is_warming_up(entry, now)
            for entry in ranked
        )
