"""Answers of the admin socket as types: the keys that commands show, by their names in the JSON.

Ages and lengths of time are in seconds, rates in parts a second. Keys that no command shows are left out.
"""

from __future__ import annotations

import msgspec

Number = int | float


class ZoneRow(msgspec.Struct, frozen=True):
    """One zone as a broker sees it."""

    zone: str
    state: str
    tier: int
    boxes: int
    rate: float
    had: float
    allowed: float | None  # none: no bound is in force
    ramp: float
    failing: float
    why: str


class ZonesView(msgspec.Struct, frozen=True):
    """Answer of `/zones`."""

    broker: str
    own: str
    spill: float
    disturbed: bool
    shed: int
    zones: list[ZoneRow]


class RejectedAddress(msgspec.Struct, frozen=True):
    """An address that was rejected lately; counts fade."""

    address: str
    of_late: float
    error: float


class ArrivalRate(msgspec.Struct, frozen=True):
    """How many connections an address opens a second."""

    address: str
    a_second: float
    error: float


class ConnectedAddress(msgspec.Struct, frozen=True):
    """An address with connections that are served."""

    address: str
    connections: int
    rank: str


class ConnectedPrefix(msgspec.Struct, frozen=True):
    """A network prefix with connections that are served."""

    prefix: str
    connections: int


class AdmissionView(msgspec.Struct, frozen=True):
    """Answer of `/admission`."""

    broker: str
    budgets: dict[str, int]  # descriptors by use
    seats: dict[str, int]  # connections served, by rank
    lane: int
    reserve: int
    queries: int
    queries_most: Number
    bytes: int
    bytes_most: Number
    decisions: dict[str, int]
    silent: dict[str, int]  # connections closed without an answer, by reason
    arriving: list[ArrivalRate]
    refused: list[RejectedAddress]
    connected: list[ConnectedAddress]
    prefixes: list[ConnectedPrefix]
    banned: dict[str, Number | None]  # until when, in seconds since 1970; none: for good
    allowed: dict[str, Number | None]


class MemberRow(msgspec.Struct, frozen=True, rename={"is_self": "self"}):
    """One member of the fleet as a broker sees it."""

    name: str
    state: str
    address: str
    epoch: int
    incarnation: int
    is_self: bool
    since: float | None
    why: str
    watched: bool
    heard: float | None
    sign: float | None
    sign_by: str
    hears_me: float | None


class MembersView(msgspec.Struct, frozen=True):
    """Answer of `/peers`."""

    name: str
    fleet: str
    live: int
    suspect: int
    at_least: Number
    at_most: Number | None
    sure: bool
    version: int
    digest: str
    stepped_aside: bool
    isolated: bool
    isolated_why: str
    members: list[MemberRow]


class SubsetZoneRow(msgspec.Struct, frozen=True):
    """Nodes of one zone: on the list, and in use by state."""

    zone: str
    tier: int
    listed: int
    live: int
    warm: int
    cold: int
    draining: int


class NodeReason(msgspec.Struct, frozen=True):
    """Why one node is, or is not, in use."""

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


class SubsetView(msgspec.Struct, frozen=True):
    """Answer of `/subset`; where the subset is off, or one node was asked for, most keys are absent."""

    broker: str
    off: str = ""
    nodes: int = 0
    identity: str = ""
    zone: str = ""
    instances: int = 0
    quota_least: int = 0
    quota_greatest: int = 0
    cells: int = 0
    busy: bool = False
    left_out: int = 0
    longest_slice: float = 0.0
    changes: dict[str, int] = {}
    zones: list[SubsetZoneRow] = []
    why: NodeReason | None = None


class DrainOrder(msgspec.Struct, frozen=True):
    """A rolling drain as it was ordered."""

    zone: str
    at_most: int
    every: float


class DrainState(msgspec.Struct, frozen=True):
    """How far the rolling drain of the ledger is."""

    drain: DrainOrder | None
    status: str
    cursor: str
    out: list[str]
    steps: int
    why: str


class VoterView(msgspec.Struct, frozen=True):
    """A broker's own vote; `life` is its incarnation."""

    votes: bool
    life: int
    broken: str
    saves: int


class JobRow(msgspec.Struct, frozen=True):
    """The lease of one job as a broker knows it."""

    job: str
    owner: str
    last_owner: str
    epoch: int
    here: bool
    phase: str
    heard: float | None
    since: float | None
    till: float | None
    why: str
    known_epoch: int
    granted_by: list[str]
    version: list[int] | None  # epoch and step of the newest record
    ready: bool
    older_refused: int


class LeasesView(msgspec.Struct, frozen=True):
    """Answer of `/owner`."""

    name: str
    voters: list[str]
    lease: float
    jobs: list[JobRow]
    drains: DrainState | None
    voter: VoterView | None
