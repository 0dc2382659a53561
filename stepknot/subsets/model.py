"""The settings of a subset and the changes that it reports. Times are in seconds by the caller's clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

DEFAULT_SIZE = 4  # replicas per shard; docs/subsets.md has the measurements
# With a mean of L brokers per node, the maximum of 36,000 binomial counts is 1 + 4 / sqrt(L) times the mean, which is
# 1.25 times here.
DEFAULT_HOLDERS = 256
# Factor by which a zone is preferred to one of the next tier. At full size (13 zones with 4 or 5 replicas in 5 regions)
# 46% of the entries are in the own zone and 67% in the own region, and no node has more than 1.25 times the mean number
# of brokers; with a factor of 8, one node has 1.252 times the mean.
DEFAULT_NEAR = 4.0
MAX_BROKERS = 1_000_000_000  # a higher count is replaced by this value


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """The `subset` block of one broker, with the zone and tiers of other blocks.

    Attributes:
        identity: Name of this broker; it is unique among the brokers and stays the same after a restart.
        size: Minimum number of warm replicas of each shard.
        holders: Minimum mean number of brokers that use a node.
        near: Factor by which the weight of a node decreases from one tier to the next.
        zone: The broker's own zone.
        tiers: Zones by preference. The own zone precedes them, and zones that are not named follow them.
        own: Addresses of this broker itself, which are never used as nodes.
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
    """The placement of shards in cells according to the fleet's settings.

    Attributes:
        cells: Number of cells, and also of shards.
        reach: Replication span: shard s is held by the cells s to s + reach - 1, modulo `cells`.
        warm_up_seconds: Duration of a node's slow start.
    """

    cells: int
    reach: int
    warm_up_seconds: float


class ChangeCause(Enum):
    """The reason for selecting the nodes of a cell again. The values are in admin answers and log events."""

    LIST = "the list"  # a node of the cell was added, removed or changed
    # A node changed in another cell that holds one of the same shards.
    QUOTA = "the list of a cell beside"
    WARM = "a node is warm"  # a node of the cell ended its slow start
    COUNT = "the count of brokers"


@dataclass(frozen=True, slots=True)
class SubsetChange:
    """A change of the selected nodes of one cell: the addresses that entered and left, and the quota of warm nodes."""

    cell: int
    cause: ChangeCause
    entered: tuple[str, ...]
    left: tuple[str, ...]
    quota: int
