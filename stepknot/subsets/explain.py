"""Why a node is, or is not, in a subset: for operators."""

from __future__ import annotations

from stepknot.interface import ServerState
from stepknot.subsets.cold import cold_share
from stepknot.subsets.model import Reason
from stepknot.subsets.subset import Subset


def explain(subset: Subset, server: str, now: float) -> Reason | None:
    """None where the list does not name it."""
    entry = subset.index.get(server)
    if entry is None:
        return None
    cell, place = subset.index.cells[entry.cell], subset.index.place(entry)
    share = cold_share(cell.quota, cell.live, subset.instances)
    held = cell.held.get(server)
    cold = subset.cold(entry, now)
    if entry.state is not ServerState.LIVE:
        word = "it drains; what it has out ends there" if held else "it drains and is not used"
    elif cold and not share.may_send(subset.index.drawn(server)):
        word = "it is cold, and others than this broker warm it"
    elif held is None:
        word = "enough nodes of the cell are preferred"
    elif cold:
        word = "it is cold and ranks before the last warm node wanted"
    elif place < cell.quota:
        word = "it is among the first by preference"
    else:
        word = "it stands in for one that is no use now, or for another zone or tier"
    return Reason(
        server,
        entry.cell,
        entry.zone,
        subset.index.tier(entry.zone),
        held is not None,
        word,
        place,
        len(cell.entries),
        cell.live,
        cell.quota,
        cell.scores[place],
        share.share if cold else 1.0,
        held.sharers if held is not None else 0.0,
    )
