"""Connection slots: limits by address, prefix, API key and trust level, and eviction of idle connections."""

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

HALF_FULL = 0.5  # fraction of slots in use above which the keep-alive time is shortened
# Maximum number of addresses, in descending order of their connections, that are searched for an idle connection.
MAX_EVICTION_CANDIDATES = 16
# An idle connection of the same trust level is evicted only if its address has at least this many connections more.
MIN_EVICTION_DIFFERENCE = 2


class ConnectionSlots:
    """Counts the admitted connections and enforces their limits; invariants 1, 2 and 3."""

    def __init__(self, settings: AdmissionSettings, capacity: int) -> None:
        self.settings = settings
        self.capacity = capacity
        self.by_address = RankedCounter()
        self.by_prefix: Counter[PrefixKey] = Counter()
        self.by_key: Counter[str] = Counter()
        self.by_trust: Counter[TrustLevel] = Counter()
        # Idle connections of each address that has slots, the longest idle one first.
        self.idle: dict[Address, OrderedDict[int, TrackedConnection]] = {}

    @property
    def taken(self) -> int:
        """The number of slots in use."""
        return self.by_trust.total()

    def limit(self, trust: TrustLevel) -> int:
        """Return the number of slots that clients of this trust level and below may have together."""
        reserve = math.ceil(self.capacity * self.settings.reserve)
        if trust is TrustLevel.UNKNOWN:
            return self.capacity - reserve
        if trust is TrustLevel.REPUTABLE:
            return self.capacity - (reserve - reserve // 2)
        return self.capacity

    def taken_up_to(self, trust: TrustLevel) -> int:
        """Return the number of slots in use by clients of this trust level and below."""
        if trust is TrustLevel.LISTED:
            return self.taken
        return sum(count for level, count in self.by_trust.items() if level <= trust)

    def has_free(self, trust: TrustLevel) -> bool:
        """Return whether a client of this trust level may take one more slot."""
        return all(
            self.taken_up_to(level) < self.limit(level) for level in TrustLevel if level >= trust
        )

    def exceeded_limit(self, connection: TrackedConnection) -> RejectReason | None:
        """Return the limit of the address, prefix or key that this connection would exceed, or None."""
        settings, address = self.settings, connection.address
        factor = 1.0 if connection.trust is TrustLevel.UNKNOWN else settings.known_factor
        own = self.by_key[connection.api_key] if connection.api_key else self.by_address[address]
        # Above the limit of unknown clients, a known client gets at most as many slots as remain free, so that it
        # cannot take all of them.
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
        """Return the limits of an address's prefixes, in the order of `prefix_keys`."""
        if len(address) == V4_BYTES:
            return (self.settings.per_v4_24,)
        return (self.settings.per_v6_64, self.settings.per_v6_56)

    def take(self, connection: TrackedConnection) -> None:
        """Give the connection a slot."""
        self._count(connection, 1)

    def release(self, connection: TrackedConnection) -> None:
        """Release the connection's slot."""
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
        """Mark the connection as idle; it becomes the last of its address to be evicted."""
        idle = self.idle.get(connection.address)
        if idle is None:
            idle = self.idle[connection.address] = OrderedDict()
        idle[connection.number] = connection
        idle.move_to_end(connection.number)

    def mark_busy(self, connection: TrackedConnection) -> None:
        """Exclude the connection from eviction, because a request has begun to arrive or is in flight."""
        idle = self.idle.get(connection.address)
        if idle is not None:
            idle.pop(connection.number, None)

    def find_evictable(self, new_connection: TrackedConnection) -> TrackedConnection | None:
        """Return the idle connection that a new connection may evict, or None.

        Either its trust level is lower than that of the new connection, or both have the same level and its address has
        at least `MIN_EVICTION_DIFFERENCE` connections more than the address of the new connection.
        """
        own = self.by_address[new_connection.address]
        for rank, address in enumerate(self.by_address.descending()):
            if rank >= MAX_EVICTION_CANDIDATES:
                return None
            idle = self.idle.get(Address(address))
            if not idle:
                continue
            longest_idle = next(iter(idle.values()))
            has_more = self.by_address[address] >= own + MIN_EVICTION_DIFFERENCE
            if longest_idle.trust < new_connection.trust or (
                longest_idle.trust is new_connection.trust and has_more
            ):
                return longest_idle
        return None

    def idle_timeout(self, base: float) -> float:
        """Return the keep-alive time in seconds.

        It is `base` while at most half of the slots are taken, and then decreases linearly to `idle_least`, which
        applies when all slots are taken.
        """
        fullness = self.taken / max(self.capacity, 1)
        shortest = min(self.settings.idle_least, base)
        if fullness <= HALF_FULL:
            return base
        return base - (base - shortest) * min((fullness - HALF_FULL) / (1 - HALF_FULL), 1.0)
