"""What the choice of a subset is told, and what it tells: plain fields. Times in seconds by the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

DEFAULT_SIZE = 4  # replicas a shard; measured in docs/subsets.md
# With a mean of L brokers a node the greatest of 36,000 binomial counts is at 1 + 4 / sqrt(L) of it: 1.25 here.
DEFAULT_HOLDERS = 256
# How much better a zone is than one of the next tier. At the full size (13 zones of 4 or 5 replicas in 5 regions) 46 of
# 100 entries are of the own zone, 67 of the own region, and no node has over 1.25 of the mean; with 8 one has (1.252).
DEFAULT_NEAR = 4.0
MAX_COUNT = 1_000_000_000  # brokers; a count beyond it is absurd and taken for this


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """`identity` names this broker and differs from every other's. `own` are addresses of its own: never used as nodes.

    `tiers`: zones by preference, best first; the own zone comes before them, zones that are not named after them.
    """

    identity: str
    size: int = DEFAULT_SIZE
    holders: float = DEFAULT_HOLDERS
    near: float = DEFAULT_NEAR
    zone: str = ""
    tiers: tuple[tuple[str, ...], ...] = ()
    own: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Shape:
    """Which cells hold a shard, and for how long a new node is cold: from the fleet's settings."""

    cells: int
    reach: int
    cold_time: float


@dataclass(frozen=True, slots=True)
class Reason:
    """Why a node is, or is not, in the subset. `place` counts from 0 by preference among the cell's nodes."""

    server: str
    cell: int
    zone: str
    tier: int
    held: bool
    word: str
    place: int
    nodes: int  # of the cell on the list
    live: int
    quota: int
    score: float
    cold_share: float  # of brokers that may send to it while it is cold
    sharers: float  # what its cold budget is divided by, 0: it is not cold, or not held


class Cause(Enum):
    """Why a cell was chosen anew."""

    LIST = "the list"  # a node of it came, went or changed
    QUOTA = "the list of a cell beside"  # a shard that both hold
    WARM = "a node is warm"
    COUNT = "the count of brokers"


@dataclass(frozen=True, slots=True)
class Changed:
    """The subset changed in one cell, and by what."""

    cell: int
    cause: Cause
    entered: tuple[str, ...]
    left: tuple[str, ...]
    quota: int
