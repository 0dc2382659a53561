"""Selects nodes of a ranked cell, with pure functions of zones and ranks."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from stepknot.interface import ServerEntry


def tier_of(zone: str, own_zone: str, tiers: Sequence[Sequence[str]]) -> int:
    """Return the tier of a zone: 0 for the broker's own zone, then the configured tiers, then all other zones."""
    if zone == own_zone:
        return 0
    for number, tier in enumerate(tiers, start=1):
        if zone in tier:
            return number
    return len(tiers) + 1


def select_warm(
    ranked: Sequence[ServerEntry], quota: int, tier: Callable[[str], int]
) -> list[ServerEntry]:
    """Return the first `quota` warm nodes by rank, with the replacements that invariants S3 and S2 require.

    - S3: If none of these nodes is of the nearest tier in `ranked`, the last one is replaced by the highest ranked node
      of that tier.
    - S2: If there are several nodes and all of them are then in the same zone, the last one is replaced by the highest
      ranked node of another zone, if there is one.
    """
    selected = list(ranked[:quota])
    rest = ranked[quota:]
    if not selected or not rest:
        return selected
    nearest = min(tier(entry.zone) for entry in ranked)
    if all(tier(entry.zone) > nearest for entry in selected):
        selected[-1] = next(entry for entry in rest if tier(entry.zone) == nearest)
    zones = {entry.zone for entry in selected}
    of_other_zone = next((entry for entry in rest if entry.zone not in zones), None)
    if len(zones) == 1 and len(selected) > 1 and of_other_zone is not None:
        selected[-1] = of_other_zone
    return selected
