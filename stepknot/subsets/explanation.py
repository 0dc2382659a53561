"""Explains to operators why a node is or is not in a subset."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.slow_start import slow_start_share
from stepknot.subsets.subset import Subset


@dataclass(frozen=True, slots=True)
class SelectionReason:
    """The reason why a node is or is not in the subset. The field names are the keys of the admin answer.

    Attributes:
        tier: The tier of its zone; 0 is the broker's own zone.
        held: Whether the node is in the subset.
        word: The reason as a sentence.
        place: The node's rank among the listed nodes of its cell, from 0.
        nodes: Number of listed nodes of its cell.
        live: Number of live nodes of its cell.
        quota: Number of warm nodes to select in its cell.
        score: The node's rendezvous score; the lowest ranks first.
        cold_share: The fraction of brokers that may send to the node while it is in slow start.
        sharers: The divisor of the node's capacity in slow start; 0 if it is not in slow start or not in the subset.
    """

    server: str
    cell: int
    zone: str
    tier: int
    held: bool
    word: str
    place: int
    nodes: int
    live: int
    quota: int
    score: float
    cold_share: float
    sharers: float


def explain(subset: Subset, server: str, now: float) -> SelectionReason | None:
    """Return the reason for one node, or None if the list does not name it."""
    entry = subset.index.get(server)
    if entry is None:
        return None
    cell = subset.index.cells[entry.cell]
    rank = subset.index.rank(entry)
    share = slow_start_share(cell.quota, cell.live, subset.instances)
    selected = cell.selected.get(server)
    is_warming_up = subset.selector.is_warming_up(entry, now)
    return SelectionReason(
        server=server,
        cell=entry.cell,
        zone=entry.zone,
        tier=subset.index.tier(entry.zone),
        held=selected is not None,
        word=_sentence(subset, entry, rank, now),
        place=rank,
        nodes=len(cell.ranked),
        live=cell.live,
        quota=cell.quota,
        score=cell.scores[rank],
        cold_share=share.fraction if is_warming_up else 1.0,
        sharers=selected.sharers if selected is not None else 0.0,
    )


def _sentence(subset: Subset, entry: ServerEntry, rank: int, now: float) -> str:
    """Return the reason as a sentence, which `stepknot subset --why` shows."""
    cell = subset.index.cells[entry.cell]
    share = slow_start_share(cell.quota, cell.live, subset.instances)
    is_selected = entry.server in cell.selected
    is_warming_up = subset.selector.is_warming_up(entry, now)
    if entry.state is not ServerState.LIVE:
        if is_selected:
            return "the node is draining; its parts in flight end there"
        return "the node is draining and is not in use"
    if is_warming_up and not share.is_eligible(subset.index.uniform_hash(entry.server)):
        return "the node is in slow start, and this broker is not among those that may send to it"
    if not is_selected:
        return "enough nodes of its cell rank higher"
    if is_warming_up:
        return "the node is in slow start and ranks before the last warm node selected"
    if rank < cell.quota:
        return "the node is among the highest ranked of its cell"
    return (
        "the node replaces a higher ranked one that is unusable now, "
        "or is needed for a second zone or the nearest tier"
    )
