"""Names of the counters of membership, as they are in metrics' labels and in operators' views."""

from __future__ import annotations

BYTES = "bytes"
DATAGRAMS = "datagrams"
KEPT_BACK = "kept back"  # by the send budget
STOOD_STILL = "stood still"
ISOLATED = "isolated"
REFUTED = "proved itself"
MET_OLDER_PROCESS = "met an older namesake"
STEPPED_ASIDE = "stepped aside"
DROPPED_EARLIER_PROCESS = "dropped: an earlier process"


def dropped(reason: object) -> str:
    """The counter of datagrams that were dropped for this reason."""
    return f"dropped: {reason}"
