"""The `subset` block: which nodes of the list this broker uses. Without it, all; and nothing of it is loaded then."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from stepknot.config.hcl import Block
from stepknot.config.membership import name
from stepknot.config.readers import Checker, Key, count, flag, number

if TYPE_CHECKING:
    from stepknot.subsets.model import SubsetSettings

MAX_SIZE = 64  # replicas a shard: more than that is no subset
MAX_NEAR = 1000.0  # beyond it only the nearest tier would ever be chosen by rank
MAX_SPREAD = 1e100  # of weights between the nearest and the farthest tier: scores stay finite

TABLE = {
    "enabled": Key(flag, True),
    "identity": Key(name, None),
    "size": Key(count(1, MAX_SIZE), None),
    "holders": Key(number(1.0, 1e6), None),
    "near": Key(number(1.0, MAX_NEAR), None),
}


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What other blocks say: the broker's zone, zones by tier, its name in the `peers` block, and how many replicas
    the attempts of a part ask for."""

    zone: str
    tiers: tuple[tuple[str, ...], ...]
    peer_name: str
    max_attempts: int
    second_copies: bool


def read_subset(
    checker: Checker, block: Block | None, around: Surroundings
) -> SubsetSettings | None:
    """None where there is no such block, or it is switched off."""
    if block is None:
        return None
    got = checker.read(block, TABLE, "subset.")
    if checker.problems or not got.pop("enabled"):
        return None
    from stepknot.subsets.model import (
        SubsetSettings,
    )  # not needed, and not loaded, without the block

    def wrong(key: str, expected: str) -> None:
        checker.wrong(
            block.values[key].line if key in block.values else block.line, f"subset.{key}", expected
        )

    identity = got.pop("identity") or around.peer_name
    if not identity:
        wrong(
            "identity",
            "missing: brokers with one identity would use the same nodes; here, or as peers.name",
        )
    found = SubsetSettings(
        identity,
        zone=around.zone,
        tiers=around.tiers,
        **{key: value for key, value in got.items() if value is not None},
    )
    for key, problem in (
        ("size", size_problem(found.size, around)),
        ("near", near_problem(found.near, around)),
    ):
        if problem:
            wrong(key, problem)
    return found


def size_problem(size: int, around: Surroundings) -> str:
    """A part's further attempts go to replicas that it did not try: fewer of them than attempts are never enough."""
    if size < around.max_attempts:
        return (
            f"expected limits.max_attempts ({around.max_attempts}) or more, not {size}: each attempt of a part "
            "goes to another replica; raise size or lower max_attempts"
        )
    if around.second_copies and size < 2:
        return (
            "expected 2 or more: a second copy goes to another replica; raise size or set "
            "limits.second_copies = false"
        )
    return ""


def near_problem(near: float, around: Surroundings) -> str:
    farthest = len(around.tiers) + 1
    if farthest * math.log(near) > math.log(MAX_SPREAD):
        return f"expected less, not {near:g}: to the power of {farthest} tiers it leaves the farthest no weight at all"
    return ""


def surroundings(
    zone: str, zones: dict[str, Any], limits: dict[str, Any], peers: Block | None
) -> Surroundings:
    """A name that `peers` makes up from the address it listens on does not do: at "0.0.0.0" all have that one."""
    given = peers.values.get("name") if peers is not None else None
    return Surroundings(
        zone or "",
        zones["tiers"] or (),
        str(given.value) if given is not None else "",
        limits["max_attempts"] or 1,
        bool(limits["second_copies"]),
    )
