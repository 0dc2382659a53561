"""Why a node is, or is not, in a subset: for operators."""

from __future__ import annotations

from dataclasses import dataclass

from stepknot.interface import ServerEntry, ServerState
from stepknot.subsets.slow_start import slow_start_share
from stepknot.subsets.subset import Subset


@dataclass(frozen=True, slots=True)
class SelectionReason:
    """Why a node is, or is not, in the subset. The names of the fields are the keys of the admin answer.

    Attributes:
        tier: Preference of its zone, 0 for the broker's own.
        held: Whether it is in the subset.
        word: The reason as a sentence.
        place: Its rank among the listed nodes of its cell, from 0.
        nodes: Listed nodes of its cell.
        live: Live nodes of its cell.
        quota: Warm nodes wanted of its cell.
        score: Its rendezvous score; the lowest ranks first.
        cold_share: The fraction of brokers that may send to it while it is in slow start.
        sharers: What its capacity is divided by in slow start; 0: it is not in slow start, or not in the subset.
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
    """The reason for one node; None where the list does not name it."""
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
    """The reason in words, as `stepknot subset --why` shows it."""
    cell = subset.index.cells[entry.cell]
    share = slow_start_share(cell.quota, cell.live, subset.instances)
    is_selected = entry.server in cell.selected
    is_warming_up = subset.selector.is_warming_up(entry, now)
    if entry.state is not ServerState.LIVE:
        if is_selected:
            return "it drains; what it has out ends there"
        return "it drains and is not used"
    if is_warming_up and not share.is_eligible(subset.index.uniform_hash(entry.server)):
        return "it is cold, and others than this broker warm it"
    if not is_selected:
        return "enough nodes of the cell are preferred"
    if is_warming_up:
        return "it is cold and ranks before the last warm node wanted"
    if rank < cell.quota:
        return "it is among the first by preference"
    return "it stands in for one that is no use now, or for another zone or tier"
