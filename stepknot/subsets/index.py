"""The whole list by cell, each cell's nodes in one broker's order of preference.

Bounds: for each node one reference to the list's own entry, one score and its cell; nothing is copied.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from dataclasses import dataclass, field

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.choice import draw, score, tier_of
from stepknot.subsets.model import SubsetSettings

LEAST_SIZE, GREATEST_SIZE = 0.01, 100.0  # of a node's capacity: beyond them a list's word is taken for these


@dataclass(slots=True)
class Cell:
    """The nodes of one cell on the list, least score first, and those that were told to the module."""

    entries: list[ServerEntry] = field(default_factory=list)
    scores: array[float] = field(default_factory=lambda: array("d"))
    held: dict[str, ServerEntry] = field(default_factory=dict)
    live: int = 0
    quota: int = 0
    warm_at: float = 0.0  # when the next of its cold nodes is warm, 0: it has none

    def find(self, server: str) -> int:
        """Its place by preference; raises StopIteration where it is not there."""
        return next(place for place, entry in enumerate(self.entries) if entry.server == server)


class Index:
    """Where each node stands."""

    def __init__(self, settings: SubsetSettings) -> None:
        self.settings = settings
        self.cells: dict[int, Cell] = {}
        self.where: dict[str, int] = {}
        self.tiers: dict[str, int] = {}  # of zones, as asked for

    def tier(self, zone: str) -> int:
        found = self.tiers.get(zone)
        if found is None:
            found = self.tiers[zone] = tier_of(zone, self.settings.zone, self.settings.tiers)
        return found

    def drawn(self, server: str) -> float:
        return draw(self.settings.identity, server)

    def score(self, entry: ServerEntry) -> float:
        size = entry.size if math.isfinite(entry.size) else 1.0
        size = min(max(size, LEAST_SIZE), GREATEST_SIZE)
        return score(self.drawn(entry.server), size * self.settings.near ** -self.tier(entry.zone))

    def get(self, server: str) -> ServerEntry | None:
        number = self.where.get(server)
        if number is None:
            return None
        cell = self.cells[number]
        return cell.entries[cell.find(server)]

    def put(self, entry: ServerEntry) -> None:
        """Add it, or take its new word; of two of one name the later counts."""
        self.remove(entry.server)
        cell = self.cells.setdefault(entry.cell, Cell())
        found = self.score(entry)
        place = bisect_left(cell.scores, found)
        cell.scores.insert(place, found)
        cell.entries.insert(place, entry)
        cell.live += entry.state is ServerState.LIVE
        self.where[entry.server] = entry.cell

    def remove(self, server: str) -> None:
        number = self.where.pop(server, None)
        if number is None:
            return
        cell = self.cells[number]
        place = cell.find(server)
        cell.live -= cell.entries[place].state is ServerState.LIVE
        del cell.entries[place], cell.scores[place]

    def live(self, number: int) -> int:
        cell = self.cells.get(number)
        return cell.live if cell is not None else 0

    def held(self, server: str) -> bool:
        number = self.where.get(server)
        return number is not None and server in self.cells[number].held
