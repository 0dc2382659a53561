"""The whole list by cell, each cell's nodes in one broker's order of preference.

Bounds: for each node one reference to the list's own entry, one score and its cell; nothing is copied.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.choice import draw, score, tier_of
from stepknot.subsets.model import SubsetSettings

LEAST_SIZE, GREATEST_SIZE = (
    0.01,
    100.0,
)  # of a node's capacity: beyond them a list's word is taken for these


@dataclass(slots=True)
class Cell:
    """The nodes of one cell on the list, least score first, and those that were told to the module."""

    entries: list[ServerEntry] = field(default_factory=list)
    scores: array[float] = field(default_factory=lambda: array("d"))
    held: dict[str, ServerEntry] = field(default_factory=dict)
    live: int = 0
    quota: int = 0
    warm_at: float = 0.0  # when the next of its cold nodes is warm, 0: it has none


class Index:
    """Where each node stands."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.settings = settings
        self.cells: dict[int, Cell] = {}
        self.where: dict[str, ServerEntry] = {}
        self.tiers: dict[str, int] = {}  # of zones, as asked for

    def tier(self, zone: str) -> int:
        found = self.tiers.get(zone)
        if found is None:
            found = self.tiers[zone] = tier_of(zone, self.settings.zone, self.settings.tiers)
        return found

    def drawn(self, server: str) -> float:
        return draw(self.settings.identity, server)

    def score(self, entry: ServerEntry) -> float:
        size = min(max(entry.size, LEAST_SIZE), GREATEST_SIZE)
        return score(self.drawn(entry.server), size * self.settings.near ** -self.tier(entry.zone))

    def get(self, server: str) -> ServerEntry | None:
        return self.where.get(server)

    def place(self, entry: ServerEntry) -> int:
        """Where a node of the index stands in its cell: by its score, so that long cells are not searched."""
        cell = self.cells[entry.cell]
        place = bisect_left(cell.scores, self.score(entry))
        while cell.entries[place].server != entry.server:  # equal scores, such as of a draw of 1
            place += 1
        return place

    def put(self, entry: ServerEntry) -> None:
        """Add it, or take its new word; of two of one name the later counts."""
        self.remove(entry.server)
        cell = self.cells.setdefault(entry.cell, Cell())
        found = self.score(entry)
        place = bisect_left(cell.scores, found)
        cell.scores.insert(place, found)
        cell.entries.insert(place, entry)
        cell.live += entry.state is ServerState.LIVE
        self.where[entry.server] = entry

    def remove(self, server: str) -> None:
        entry = self.where.get(server)
        if entry is None:
            return
        cell, place = self.cells[entry.cell], self.place(entry)
        cell.live -= entry.state is ServerState.LIVE
        del cell.entries[place], cell.scores[place], self.where[server]

    def live(self, number: int) -> int:
        cell = self.cells.get(number)
        return cell.live if cell is not None else 0

    def in_use(self) -> Iterator[ServerEntry]:
        """All nodes that were told to the module."""
        return (entry for cell in self.cells.values() for entry in cell.held.values())

    def held(self, server: str) -> ServerEntry | None:
        """As it was told, if its cell uses it."""
        entry = self.where.get(server)
        return self.cells[entry.cell].held.get(server) if entry is not None else None
