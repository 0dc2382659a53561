"""Settings, verdicts and records of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from stepknot.admission.addresses import Address


class RejectReason(Enum):
    """The reason for rejecting a connection or query; the values are labels of metrics and text in answers."""

    BANNED = "banned"
    RATE = "rate of new connections"
    ADDRESS_CONNECTIONS = "connections of the address"
    PREFIX_CONNECTIONS = "connections of the prefix"
    ALL_CONNECTIONS = "all connections"
    ADDRESS_QUERIES = "queries of the address"
    TENANT_QUERIES = "queries of the tenant"
    ALL_QUERIES = "all queries"
    BYTES = "bytes held"
    DESCRIPTORS = "descriptors"


class TrustLevel(IntEnum):
    """How well a client is known; `label` is its name in metrics and admin answers."""

    UNKNOWN = 0
    REPUTABLE = 1  # known by its requests of the last minutes
    LISTED = 2  # known by its address or API key

    @property
    def label(self) -> str:
        """The level's name in metrics and admin answers."""
        return TRUST_LABELS[self]


TRUST_LABELS = {
    TrustLevel.UNKNOWN: "unknown",
    TrustLevel.REPUTABLE: "conduct",
    TrustLevel.LISTED: "listed",
}


class Placement(Enum):
    """The place that a connection gets; the values are in log events."""

    ADMITTED = "seat"  # a connection slot: the connection is served
    # A place in the waiting queue: the first request is rejected, unless it has an API key that admits the connection.
    WAITING = "lane"
    REJECTED = "out"  # no place: the connection is closed at once


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of one broker, named as in the `admission` block.

    Times are in seconds, rates are per second and sizes are in bytes.
    """

    connections: int = 0  # connection slots; 0: as many as the descriptor limit allows for clients
    reserve: float = 0.2  # fraction of the slots that is reserved for known clients
    per_address: int = 64  # maximum connections of an address
    per_v4_24: int = 512  # maximum connections of a /24 prefix of IPv4
    per_v6_64: int = 64  # maximum connections of a /64 prefix of IPv6
    per_v6_56: int = 256  # maximum connections of a /56 prefix of IPv6
    known_factor: float = 4.0  # factor by which a known client's limits are higher
    rate: float = 50.0  # maximum new connections per second of an address
    queries: int = 32  # maximum queries in flight of an address
    tenant_queries: int = 0  # maximum queries in flight of a tenant; 0: its quota of `held`
    held: int = 4096  # maximum queries in flight in total
    bytes: int = 256 * 1024 * 1024  # maximum size of all request bodies in memory
    lane: int = 128  # maximum connections in the waiting queue
    # Time for the first request of a connection in the waiting queue to arrive.
    lane_time: float = 1.0
    progress: float = 512.0  # minimum bytes per second of a slow sender or reader, after `grace`
    grace: float = 5.0  # time before `progress` applies
    idle_least: float = 1.0  # keep-alive time when all slots are taken
    # Points that make a client reputable; a second with a served request gives one point.
    conduct: float = 60.0
    conduct_kept: int = 4096  # maximum number of addresses whose reputation is stored
    tracked: int = 1024  # maximum number of addresses whose rates are tracked
    memory: float = 10.0  # time constant with which rates decay
    listed: tuple[str, ...] = ()  # networks of known clients
    trusted: tuple[str, ...] = ()  # networks of proxies that are trusted to report client addresses
    proxy_protocol: bool = False  # whether connections of trusted peers begin with a PROXY header
    # Names of API keys by the SHA-256 of the key.
    keys: dict[str, str] = field(default_factory=dict)
    state: str = ""  # file that preserves bans and allowances over restarts


@dataclass(frozen=True, slots=True)
class Verdict:
    """The decision on a connection or query."""

    placement: Placement
    reason: RejectReason | None = None  # None if admitted
    retry_after: float = 0.0  # seconds
    evicted: tuple[int, ...] = ()  # numbers of other connections that the caller must close

    @property
    def reason_text(self) -> str:
        """The reason's text in answers and log events; "" if admitted."""
        return self.reason.value if self.reason is not None else ""


@dataclass(slots=True)
class TrackedConnection:
    """One open connection."""

    number: int
    address: Address
    placement: Placement
    trust: TrustLevel
    reason: RejectReason | None = None
    retry_after: float = 0.0  # seconds
    api_key: str = ""  # name of the API key that the client sent
    queries: int = 0  # queries in flight
    bytes_reserved: int = 0  # bytes reserved for request bodies


@dataclass(frozen=True, slots=True)
class QuerySlot:
    """The slot of one query in flight."""

    connection: int
    address: Address  # address of the client
    tenant: str  # "" for none
    trust: TrustLevel
