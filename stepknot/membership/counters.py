"""Names of membership's counters, as they appear in the labels of metrics and in the operators' views."""

from __future__ import annotations

BYTES = "bytes"
DATAGRAMS = "datagrams"
OVER_SEND_BUDGET = "kept back"  # datagrams that were not sent because of their size or the budget
PAUSED = "stood still"  # pauses of this process
ISOLATED = "isolated"
REFUTED = "proved itself"
NAME_CONFLICT_WON = "met an older namesake"
NAME_CONFLICT_LOST = "stepped aside"
DROPPED_EARLIER_PROCESS = "dropped: an earlier process"


def dropped(reason: object) -> str:
    """Name of the counter of datagrams that were dropped for this reason."""
    return f"dropped: {reason}"
