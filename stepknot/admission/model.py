"""Settings, verdicts and records of admission control."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from stepknot.admission.addresses import Address


class RejectReason(Enum):
    """Why a connection or query is rejected; the values are labels of metrics and text in answers."""

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
    REPUTABLE = 1  # by its requests of the last minutes
    LISTED = 2  # by address or by API key

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
    """What a connection has; the values are in log events."""

    ADMITTED = "seat"  # a connection slot: it is served
    WAITING = "lane"  # a place in the waiting queue: it may show an API key with its first request, or is rejected then
    REJECTED = "out"  # nothing: it is closed at once


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of one broker, named as in the `admission` block. Times in seconds, rates in a second, sizes in bytes."""

    connections: int = 0  # connection slots; 0: what the descriptor limit leaves for clients
    reserve: float = 0.2  # fraction of the slots that only known clients get
    per_address: int = 64  # connections
    per_v4_24: int = 512
    per_v6_64: int = 64
    per_v6_56: int = 256
    known_factor: float = 4.0  # a known client's limits are this many times as high
    rate: float = 50.0  # new connections a second of an address
    queries: int = 32  # in flight, of an address
    tenant_queries: int = 0  # in flight, of a tenant; 0: its quota of `held`
    held: int = 4096  # queries in flight, in all
    bytes: int = 256 * 1024 * 1024  # of request bodies in memory, in all
    lane: int = 128  # connections in the waiting queue
    lane_time: float = 1.0  # for their first request to arrive
    progress: float = 512.0  # bytes a second that a slow sender or reader must make, after `grace`
    grace: float = 5.0
    idle_least: float = 1.0  # keep-alive when all slots are taken
    conduct: float = 60.0  # seconds with served requests that make a client reputable
    conduct_kept: int = 4096  # addresses whose reputation is remembered
    tracked: int = 1024  # addresses whose rates are tracked
    memory: float = 10.0  # seconds over which rates decay
    listed: tuple[str, ...] = ()  # networks of known clients
    trusted: tuple[str, ...] = ()  # networks of proxies whose word on addresses is taken
    proxy_protocol: bool = False  # connections of trusted peers begin with a PROXY header
    keys: dict[str, str] = field(default_factory=dict)  # SHA-256 of an API key: its name
    state: str = ""  # file of bans and allowances, kept over restarts


@dataclass(frozen=True, slots=True)
class Verdict:
    """What becomes of a connection or query."""

    placement: Placement
    reason: RejectReason | None = None  # None where it is admitted
    retry_after: float = 0.0  # seconds
    evicted: tuple[int, ...] = ()  # other connections, which the caller has to close

    @property
    def reason_text(self) -> str:
        """The reason as answers and log events have it; "" where it is admitted."""
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
    api_key: str = ""  # the name of the key that it showed
    queries: int = 0  # in flight
    bytes_reserved: int = 0  # of request bodies


@dataclass(frozen=True, slots=True)
class QuerySlot:
    """The place of one query in flight."""

    connection: int
    address: Address  # of the client that asked
    tenant: str  # "" for none
    trust: TrustLevel
