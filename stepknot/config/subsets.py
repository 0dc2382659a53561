"""The `subset` block: which nodes of the endpoint list this broker uses.

Without the block the broker uses all nodes, and nothing of `stepknot.subsets` is loaded.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from stepknot.config.hcl import Block
from stepknot.config.membership import name
from stepknot.config.readers import Checker, Key, count, flag, number

if TYPE_CHECKING:
    from stepknot.subsets.model import SubsetSettings

MAX_SIZE = 64  # replicas a shard; a subset of more is of no use
MAX_HOLDERS = 1e6
MAX_NEAR = 1000.0  # beyond it only nodes of the nearest tier would be selected by rank
MAX_WEIGHT_RATIO = 1e100  # between the nearest and the farthest tier: scores stay finite
MIN_SIZE_TO_HEDGE = 2

TABLE = {
    "enabled": Key(flag, True),
    "identity": Key(name, None),
    "size": Key(count(1, MAX_SIZE), None),
    "holders": Key(number(1.0, MAX_HOLDERS), None),
    "near": Key(number(1.0, MAX_NEAR), None),
}


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the subset takes from other blocks.

    Attributes:
        zone: The broker's own zone.
        tiers: Zones by preference.
        peer_name: The broker's name in the `peers` block; empty: none is given.
        max_attempts: Attempts of a part, each at another replica.
        second_copies: Whether requests are hedged, at another replica.
    """

    zone: str
    tiers: tuple[tuple[str, ...], ...]
    peer_name: str
    max_attempts: int
    second_copies: bool


def read_subset(
    checker: Checker, block: Block | None, around: Surroundings
) -> SubsetSettings | None:
    """Read the block; problems go to `checker`.

    Returns:
        The settings; None where there is no such block, it is malformed, or it is switched off.
    """
    if block is None:
        return None
    got = checker.read(block, TABLE, "subset.")
    if checker.problems or not got.pop("enabled"):
        return None
    # Loaded here, as nothing of the package is loaded without the block.
    from stepknot.subsets.model import SubsetSettings

    wrong = partial(checker.wrong_key, block, "subset.")
    identity = got.pop("identity") or around.peer_name
    if not identity:
        wrong(
            "identity",
            "missing: brokers with one identity would use the same nodes; here, or as peers.name",
        )
    given = {key: value for key, value in got.items() if value is not None}
    settings = SubsetSettings(identity, zone=around.zone, tiers=around.tiers, **given)
    size_problem = _size_problem(settings.size, around)
    if size_problem:
        wrong("size", size_problem)
    near_problem = _near_problem(settings.near, around)
    if near_problem:
        wrong("near", near_problem)
    return settings


def surroundings(
    zone: str, zones: dict[str, Any], limits: dict[str, Any], peers: Block | None
) -> Surroundings:
    """Collect what the subset takes from other blocks.

    The default name in `peers` is made from the address that the broker listens on, and is not used as identity: all
    brokers that listen on "0.0.0.0" would have the same one.
    """
    given = peers.values.get("name") if peers is not None else None
    return Surroundings(
        zone=zone or "",
        tiers=zones["tiers"] or (),
        peer_name=str(given.value) if given is not None else "",
        max_attempts=limits["max_attempts"] or 1,
        second_copies=bool(limits["second_copies"]),
    )


def _size_problem(size: int, around: Surroundings) -> str:
    """What is wrong with the size: fewer replicas than attempts or hedges need. Empty: nothing."""
    if size < around.max_attempts:
        return (
            f"expected limits.max_attempts ({around.max_attempts}) or more, not {size}: each attempt of a part "
            "goes to another replica; raise size or lower max_attempts"
        )
    if around.second_copies and size < MIN_SIZE_TO_HEDGE:
        return (
            "expected 2 or more: a second copy goes to another replica; raise size or set "
            "limits.second_copies = false"
        )
    return ""


def _near_problem(near: float, around: Surroundings) -> str:
    """What is wrong with the preference for near zones: weights of far ones vanish. Empty: nothing."""
    farthest = len(around.tiers) + 1
    if farthest * math.log(near) > math.log(MAX_WEIGHT_RATIO):
        return f"expected less, not {near:g}: to the power of {farthest} tiers it leaves the farthest no weight at all"
    return ""
