"""The endpoint list by cell, the nodes of each cell ranked for one broker.

Memory for each node: one reference to the list's own entry, one score and one key; entries are not copied.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.model import SubsetSettings
from stepknot.subsets.rendezvous import rendezvous_score, uniform_hash
from stepknot.subsets.selection import tier_of

# Bounds of a node's size as a multiple of the usual capacity; sizes beyond them are replaced by the bound.
MIN_NODE_SIZE = 0.01
MAX_NODE_SIZE = 100.0


@dataclass(slots=True)
class IndexedCell:
    """The nodes of one cell.

    Attributes:
        ranked: Listed nodes, live and draining, lowest score first.
        scores: Their scores, in the same order.
        selected: Nodes of the subset by server, as they were emitted last.
        live: Number of live nodes.
        quota: Number of warm nodes wanted when the cell was selected last.
        warm_at: When the next of its nodes ends its slow start; 0: none is in slow start.
    """

    ranked: list[ServerEntry] = field(default_factory=list)
    scores: array[float] = field(default_factory=lambda: array("d"))
    selected: dict[str, ServerEntry] = field(default_factory=dict)
    live: int = 0
    quota: int = 0
    warm_at: float = 0.0


class EndpointIndex:
    """All listed nodes, by cell and by server."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.settings = settings
        self.cells: dict[int, IndexedCell] = {}
        self.entries: dict[str, ServerEntry] = {}
        self._tiers: dict[str, int] = {}  # of zones that were looked up

    def tier(self, zone: str) -> int:
        """The preference of a zone, 0 for the own one."""
        tier = self._tiers.get(zone)
        if tier is None:
            tier = tier_of(zone, self.settings.zone, self.settings.tiers)
            self._tiers[zone] = tier
        return tier

    def uniform_hash(self, server: str) -> float:
        """The hash of this broker's identity and a server."""
        return uniform_hash(self.settings.identity, server)

    def score(self, entry: ServerEntry) -> float:
        """The rendezvous score of a node for this broker, weighted by its size and tier."""
        size = min(max(entry.size, MIN_NODE_SIZE), MAX_NODE_SIZE)
        weight = size * self.settings.near ** -self.tier(entry.zone)
        return rendezvous_score(self.uniform_hash(entry.server), weight)

    def get(self, server: str) -> ServerEntry | None:
        """The list's entry of a server."""
        return self.entries.get(server)

    def rank(self, entry: ServerEntry) -> int:
        """The position of an indexed node in its cell, found by its score, so that long cells are not searched."""
        cell = self.cells[entry.cell]
        position = bisect_left(cell.scores, self.score(entry))
        while cell.ranked[position].server != entry.server:  # equal scores, such as of a hash of 1
            position += 1
        return position

    def put(self, entry: ServerEntry) -> None:
        """Add a node, or replace its entry."""
        self.remove(entry.server)
        cell = self.cells.setdefault(entry.cell, IndexedCell())
        score = self.score(entry)
        position = bisect_left(cell.scores, score)
        cell.scores.insert(position, score)
        cell.ranked.insert(position, entry)
        cell.live += entry.state is ServerState.LIVE
        self.entries[entry.server] = entry

    def remove(self, server: str) -> None:
        """Remove a node, if it is listed."""
        entry = self.entries.get(server)
        if entry is None:
            return
        cell = self.cells[entry.cell]
        position = self.rank(entry)
        cell.live -= entry.state is ServerState.LIVE
        del cell.ranked[position]
        del cell.scores[position]
        del self.entries[server]

    def live_count(self, number: int) -> int:
        """The number of live nodes of a cell."""
        cell = self.cells.get(number)
        return cell.live if cell is not None else 0

    def selected_entries(self) -> Iterator[ServerEntry]:
        """All nodes of the subset, as they were emitted last."""
        return (entry for cell in self.cells.values() for entry in cell.selected.values())

    def selected(self, server: str) -> ServerEntry | None:
        """A listed node as it was emitted last, if the cell that it is listed in has selected it."""
        entry = self.entries.get(server)
        if entry is None:
            return None
        return self.cells[entry.cell].selected.get(server)
