"""Connection slots: limits by address, prefix, API key and trust level, and the choice of an idle one to evict."""

from __future__ import annotations

import math
from collections import Counter, OrderedDict

from stepknot.admission.addresses import V4_BYTES, Address, PrefixKey, prefix_keys
from stepknot.admission.model import (
    AdmissionSettings,
    RejectReason,
    TrackedConnection,
    TrustLevel,
)
from stepknot.admission.ranked_counter import RankedCounter

HALF_FULL = 0.5  # of the slots: from here on the keep-alive time gets shorter
MAX_EVICTION_CANDIDATES = 16  # addresses with most connections in which an idle one is looked for
MIN_EVICTION_LEAD = 2  # connections more, with which an equally known address loses one


class ConnectionSlots:
    """The admitted connections; invariants 1, 2 and 3."""

    def __init__(self, settings: AdmissionSettings, capacity: int) -> None:
        self.settings = settings
        self.capacity = capacity
        self.by_address = RankedCounter()
        self.by_prefix: Counter[PrefixKey] = Counter()
        self.by_key: Counter[str] = Counter()
        self.by_trust: Counter[TrustLevel] = Counter()
        # Of each address with slots the idle connections, the one that is idle for longest first.
        self.idle: dict[Address, OrderedDict[int, TrackedConnection]] = {}

    @property
    def taken(self) -> int:
        """Slots in use."""
        return self.by_trust.total()

    def limit(self, trust: TrustLevel) -> int:
        """Slots that clients of this trust level and below may have together."""
        reserve = math.ceil(self.capacity * self.settings.reserve)
        if trust is TrustLevel.UNKNOWN:
            return self.capacity - reserve
        if trust is TrustLevel.REPUTABLE:
            return self.capacity - (reserve - reserve // 2)
        return self.capacity

    def taken_up_to(self, trust: TrustLevel) -> int:
        """Slots in use by clients of this trust level and below."""
        if trust is TrustLevel.LISTED:
            return self.taken
        return sum(count for level, count in self.by_trust.items() if level <= trust)

    def has_free(self, trust: TrustLevel) -> bool:
        """Whether a client of this trust level may take one more slot."""
        return all(
            self.taken_up_to(level) < self.limit(level) for level in TrustLevel if level >= trust
        )

    def exceeded_limit(self, connection: TrackedConnection) -> RejectReason | None:
        """The limit of its address, prefix or key that one more connection would exceed."""
        settings, address = self.settings, connection.address
        factor = 1.0 if connection.trust is TrustLevel.UNKNOWN else settings.known_factor
        own = self.by_key[connection.api_key] if connection.api_key else self.by_address[address]
        # Beyond the common limit a known client gets as many as are free, so that it cannot take all.
        free = self.capacity - self.taken
        if own >= max(settings.per_address, min(settings.per_address * factor, free)):
            return RejectReason.ADDRESS_CONNECTIONS
        if connection.api_key:
            return None
        for prefix, limit in zip(prefix_keys(address), self._prefix_limits(address), strict=True):
            if self.by_prefix[prefix] >= limit * factor:
                return RejectReason.PREFIX_CONNECTIONS
        return None

    def _prefix_limits(self, address: Address) -> tuple[int, ...]:
        """The limits of an address's prefixes, in the order of `prefix_keys`."""
        if len(address) == V4_BYTES:
            return (self.settings.per_v4_24,)
        return (self.settings.per_v6_64, self.settings.per_v6_56)

    def take(self, connection: TrackedConnection) -> None:
        """Give the connection a slot."""
        self._count(connection, 1)

    def release(self, connection: TrackedConnection) -> None:
        """Take the connection's slot back."""
        self._count(connection, -1)
        self.mark_busy(connection)
        if not self.by_address[connection.address]:
            self.idle.pop(connection.address, None)

    def _count(self, connection: TrackedConnection, change: int) -> None:
        self.by_address.adjust(connection.address, change)
        self.by_trust[connection.trust] += change
        if connection.api_key:
            self.by_key[connection.api_key] += change
            if not self.by_key[connection.api_key]:
                del self.by_key[connection.api_key]
        for prefix in prefix_keys(connection.address):
            self.by_prefix[prefix] += change
            if not self.by_prefix[prefix]:
                del self.by_prefix[prefix]

    def mark_idle(self, connection: TrackedConnection) -> None:
        """The connection waits for its next request: it is the last of its address to be evicted."""
        idle = self.idle.get(connection.address)
        if idle is None:
            idle = self.idle[connection.address] = OrderedDict()
        idle[connection.number] = connection
        idle.move_to_end(connection.number)

    def mark_busy(self, connection: TrackedConnection) -> None:
        """A request has begun to arrive, or is in flight: the connection is not evicted."""
        idle = self.idle.get(connection.address)
        if idle is not None:
            idle.pop(connection.number, None)

    def find_evictable(self, newcomer: TrackedConnection) -> TrackedConnection | None:
        """The idle connection that a newcomer may displace.

        It is one of a less known client, or of an equally known address with at least two connections more.
        """
        own = self.by_address[newcomer.address]
        for rank, address in enumerate(self.by_address.descending()):
            if rank >= MAX_EVICTION_CANDIDATES:
                return None
            idle = self.idle.get(Address(address))
            if not idle:
                continue
            longest_idle = next(iter(idle.values()))
            has_lead = self.by_address[address] >= own + MIN_EVICTION_LEAD
            if longest_idle.trust < newcomer.trust or (
                longest_idle.trust is newcomer.trust and has_lead
            ):
                return longest_idle
        return None

    def idle_timeout(self, base: float) -> float:
        """Keep-alive seconds: `base` up to half full, then less, `idle_least` when all slots are taken."""
        fullness = self.taken / max(self.capacity, 1)
        shortest = min(self.settings.idle_least, base)
        if fullness <= HALF_FULL:
            return base
        return base - (base - shortest) * min((fullness - HALF_FULL) / (1 - HALF_FULL), 1.0)
