"""Settings of a subset and the changes that it reports. Times are seconds by the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

DEFAULT_SIZE = 4  # replicas a shard; measured in docs/subsets.md
# With a mean of L brokers a node the maximum of 36,000 binomial counts is 1 + 4 / sqrt(L) of it: 1.25 here.
DEFAULT_HOLDERS = 256
# How much a zone is preferred to one of the next tier. At the full size (13 zones of 4 or 5 replicas in 5 regions) 46
# of 100 entries are of the own zone, 67 of the own region, and no node has over 1.25 of the mean; with 8 one has 1.252.
DEFAULT_NEAR = 4.0
MAX_BROKERS = 1_000_000_000  # a higher count is replaced by this one


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """The `subset` block of one broker, with the zone and tiers of other blocks.

    Attributes:
        identity: Names this broker; it differs from every other broker's and stays the same after a restart.
        size: Warm replicas of each shard, at least.
        holders: Mean number of brokers that each node should have, at least.
        near: Factor by which the weight of a node falls from one tier to the next.
        zone: The broker's own zone.
        tiers: Zones by preference. The own zone comes before them, zones that are not named come after them.
        own: Addresses of this broker itself; they are never used as nodes.
    """

    identity: str
    size: int = DEFAULT_SIZE
    holders: float = DEFAULT_HOLDERS
    near: float = DEFAULT_NEAR
    zone: str = ""
    tiers: tuple[tuple[str, ...], ...] = ()
    own: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CellLayout:
    """How the fleet's settings place shards in cells.

    Attributes:
        cells: Number of cells; shards have the same numbers.
        reach: Replication span: shard s is held by cells s to s + reach - 1, modulo `cells`.
        warm_up_seconds: Duration of a node's slow start.
    """

    cells: int
    reach: int
    warm_up_seconds: float


class ChangeCause(Enum):
    """Why the nodes of a cell were selected again. Values are in admin answers and log events."""

    LIST = "the list"  # a node of the cell came, went or changed
    QUOTA = "the list of a cell beside"  # a cell that holds a shard together with it changed
    WARM = "a node is warm"
    COUNT = "the count of brokers"


@dataclass(frozen=True, slots=True)
class SubsetChange:
    """The selected nodes of one cell changed: addresses that entered and left, and the cell's quota of warm nodes."""

    cell: int
    cause: ChangeCause
    entered: tuple[str, ...]
    left: tuple[str, ...]
    quota: int
