"""The endpoint list by cell, with the nodes of each cell ranked for one broker.

The index stores one reference to the list's own entry, one score and one key per node; it does not copy entries.
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

# Bounds of a node's size, as a multiple of the usual capacity; a size outside of them is replaced by the nearer one.
MIN_NODE_SIZE = 0.01
MAX_NODE_SIZE = 100.0


@dataclass(slots=True)
class IndexedCell:
    """The nodes of one cell.

    Attributes:
        ranked: Listed nodes, live and draining, the lowest score first.
        scores: The scores of `ranked`, in the same order.
        selected: Nodes of the subset by server, as last emitted.
        live: Number of live nodes.
        quota: Number of warm nodes to select, as of the last selection of the cell.
        warm_at: Time at which the next of its nodes ends its slow start; 0 if none is in slow start.
    """

    ranked: list[ServerEntry] = field(default_factory=list)
    scores: array[float] = field(default_factory=lambda: array("d"))
    selected: dict[str, ServerEntry] = field(default_factory=dict)
    live: int = 0
    quota: int = 0
    warm_at: float = 0.0


class EndpointIndex:
    """Indexes all listed nodes by cell and by server."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.settings = settings
        self.cells: dict[int, IndexedCell] = {}
        self.entries: dict[str, ServerEntry] = {}
        self._tiers: dict[str, int] = {}  # cached tiers by zone

    def tier(self, zone: str) -> int:
        """Return the tier of a zone; 0 is the broker's own zone."""
        tier = self._tiers.get(zone)
        if tier is None:
            tier = tier_of(zone, self.settings.zone, self.settings.tiers)
            self._tiers[zone] = tier
        return tier

    def uniform_hash(self, server: str) -> float:
        """Return the hash of this broker's identity and a server."""
        return uniform_hash(self.settings.identity, server)

    def score(self, entry: ServerEntry) -> float:
        """Return the rendezvous score of a node for this broker, weighted by the node's size and tier."""
        size = min(max(entry.size, MIN_NODE_SIZE), MAX_NODE_SIZE)
        weight = size * self.settings.near ** -self.tier(entry.zone)
        return rendezvous_score(self.uniform_hash(entry.server), weight)

    def get(self, server: str) -> ServerEntry | None:
        """Return the list's entry for a server, or None if it is not listed."""
        return self.entries.get(server)

    def rank(self, entry: ServerEntry) -> int:
        """Return the position of an indexed node in its cell, by a binary search for its score."""
        cell = self.cells[entry.cell]
        position = bisect_left(cell.scores, self.score(entry))
        # Scores can be equal, for example for a hash of 1.
        while cell.ranked[position].server != entry.server:
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
        """Return the number of live nodes of a cell."""
        cell = self.cells.get(number)
        return cell.live if cell is not None else 0

    def selected_entries(self) -> Iterator[ServerEntry]:
        """Iterate over all nodes of the subset, as last emitted."""
        return (entry for cell in self.cells.values() for entry in cell.selected.values())

    def selected(self, server: str) -> ServerEntry | None:
        """Return a listed node as last emitted if its present cell has selected it, or else None."""
        entry = self.entries.get(server)
        if entry is None:
            return None
        return self.cells[entry.cell].selected.get(server)
