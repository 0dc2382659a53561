"""Decides on connections and queries, using connection slots, the waiting queue, query slots and the byte budget."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import replace

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.addresses import Address, NetworkSet
from stepknot.admission.byte_budget import ByteBudget
from stepknot.admission.connection_slots import ConnectionSlots
from stepknot.admission.heavy_hitters import HeavyHitters
from stepknot.admission.model import (
    AdmissionSettings,
    Placement,
    QuerySlot,
    RejectReason,
    TrackedConnection,
    TrustLevel,
    Verdict,
)
from stepknot.admission.query_slots import QuerySlots
from stepknot.admission.reputation import ReputationTable
from stepknot.admission.waiting_queue import WaitingQueue

RETRY_AFTER = 1.0  # seconds; used where no better estimate is available

# Labels of the decisions in metrics and admin answers.
CONNECTION_ADMITTED = "seated"
IDLE_EVICTED = "shed idle"
WAITING_EVICTED = "lane let go"
QUEUE_FULL = "out"
QUERY_ADMITTED = "query taken"
REJECTED = {reason: f"refused: {reason.value}" for reason in RejectReason}


class AdmissionController:
    """Decides on the connections and queries of one broker; the caller carries out the verdicts."""

    def __init__(
        self, settings: AdmissionSettings, capacity: int, lists: AccessLists | None = None
    ) -> None:
        self.settings = settings
        self.lists = lists or AccessLists()
        self.connections: dict[int, TrackedConnection] = {}
        self.slots = ConnectionSlots(settings, capacity)
        self.queue = WaitingQueue(settings)
        self.queries = QuerySlots(settings)
        self.byte_budget = ByteBudget(settings)
        self.reputation = ReputationTable(settings)
        self.arrival_rates = HeavyHitters(settings.tracked, settings.memory)
        self.rejections = HeavyHitters(settings.tracked, settings.memory)
        self.decisions: Counter[str] = Counter()
        self._listed = NetworkSet(settings.listed)

    def trust_level(self, now: float, address: Address) -> TrustLevel:
        """Return how well the clients of an address are known."""
        if address in self._listed or self.lists.contains(AccessList.ALLOWED, address):
            return TrustLevel.LISTED
        if self.reputation.is_reputable(now, address):
            return TrustLevel.REPUTABLE
        return TrustLevel.UNKNOWN

    # --- connections

    def on_connection(self, now: float, number: int, address: Address) -> Verdict:
        """Decide on a new connection.

        The caller closes each evicted connection of the verdict; the controller has already dropped its state.
        """
        trust = self.trust_level(now, address)
        connection = TrackedConnection(number, address, Placement.REJECTED, trust)
        self.connections[number] = connection
        if trust is not TrustLevel.LISTED and self.lists.contains(AccessList.BANNED, address):
            return self._enqueue(now, connection, RejectReason.BANNED, RETRY_AFTER)
        rate, max_rate = self.arrival_rates.rate(now, address), self._max_rate(trust)
        if rate > max_rate:
            retry_after = self.settings.memory * math.log(rate / max_rate)
            return self._enqueue(now, connection, RejectReason.RATE, retry_after)
        # Connections that are rejected for their rate do not count, so that rejection stops soon after a flood ends.
        self.arrival_rates.add(now, address)
        return self._admit(now, connection)

    def _max_rate(self, trust: TrustLevel) -> float:
        """Return the maximum number of new connections per second of an address."""
        if trust is TrustLevel.UNKNOWN:
            return self.settings.rate
        return self.settings.rate * self.settings.known_factor

    def on_proxy_connection(self, now: float, number: int, address: Address) -> Verdict:
        """Decide on a connection from a trusted proxy, which needs a slot but is exempt from the limits by address."""
        connection = TrackedConnection(number, address, Placement.REJECTED, TrustLevel.LISTED)
        self.connections[number] = connection
        return self._take_slot(now, connection)

    def on_proxied_address(self, now: float, number: int, address: Address) -> Verdict:
        """Decide again on a proxy's connection, as a connection of the client that the proxy has named."""
        self.on_connection_closed(number)
        return self.on_connection(now, number, address)

    def on_descriptors_exhausted(self, now: float, address: Address) -> Verdict:
        """Reject a connection for which no descriptor is available."""
        self._count_rejection(now, address, RejectReason.DESCRIPTORS)
        return Verdict(Placement.REJECTED, RejectReason.DESCRIPTORS, RETRY_AFTER)

    def on_first_request(self, now: float, number: int, api_key: str) -> Verdict:
        """Decide again on a connection when its first request arrives.

        With an API key, a connection that exceeded a connection limit or the maximum rate of new connections can get a
        slot after all; a connection from a banned address cannot.

        Args:
            now: Time in seconds.
            number: The number of the connection.
            api_key: The name of the API key in the request; "" for none.
        """
        connection = self.connections[number]
        if not api_key or api_key == connection.api_key:
            return _current_verdict(connection)
        if connection.placement is Placement.ADMITTED:
            self._count_for_key(connection, api_key)
            return Verdict(Placement.ADMITTED)
        if connection.reason is RejectReason.BANNED:
            return _current_verdict(connection)
        self.queue.remove(connection)
        connection.placement = Placement.REJECTED
        connection.trust, connection.api_key = TrustLevel.LISTED, api_key
        return self._admit(now, connection)

    def _count_for_key(self, connection: TrackedConnection, api_key: str) -> None:
        """Count an admitted connection for its key; if the key's limit is reached, leave it counted for its address."""
        as_listed = replace(connection, api_key=api_key, trust=TrustLevel.LISTED)
        if self.slots.exceeded_limit(as_listed) is not None:
            return
        self.slots.release(connection)
        connection.trust, connection.api_key = TrustLevel.LISTED, api_key
        self.slots.take(connection)
        self._mark_idle(connection)

    def on_connection_closed(self, number: int) -> None:
        """Drop the state of a closed connection; a second call for the same connection has no effect."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return
        self.byte_budget.release(connection, connection.bytes_reserved)
        if connection.placement is Placement.ADMITTED:
            self.slots.release(connection)
        elif connection.placement is Placement.WAITING:
            self.queue.remove(connection)

    def _admit(self, now: float, connection: TrackedConnection) -> Verdict:
        """Give the connection a slot if it exceeds no limit, or else a place in the waiting queue."""
        reason = self.slots.exceeded_limit(connection)
        if reason is not None:
            return self._enqueue(now, connection, reason, RETRY_AFTER)
        return self._take_slot(now, connection)

    def _take_slot(self, now: float, connection: TrackedConnection) -> Verdict:
        """Give the connection a slot, and evict an idle connection if none is free."""
        evicted: tuple[int, ...] = ()
        if not self.slots.has_free(connection.trust):
            evictable = self.slots.find_evictable(connection)
            if evictable is None:
                return self._enqueue(now, connection, RejectReason.ALL_CONNECTIONS, RETRY_AFTER)
            evicted = self._evict(evictable, IDLE_EVICTED)
        connection.placement, connection.reason = Placement.ADMITTED, None
        self.slots.take(connection)
        self._mark_idle(connection)
        self.decisions[CONNECTION_ADMITTED] += 1
        return Verdict(Placement.ADMITTED, evicted=evicted)

    def _enqueue(
        self, now: float, connection: TrackedConnection, reason: RejectReason, retry_after: float
    ) -> Verdict:
        """Put the connection in the waiting queue, where it gets its final answer; reject it if there is no place."""
        self._count_rejection(now, connection.address, reason)
        self.reputation.penalize(now, connection.address)
        connection.reason, connection.retry_after = reason, retry_after
        evicted: tuple[int, ...] = ()
        if self.queue.is_full():
            evictable = self.queue.find_evictable(connection.address)
            if evictable is None:
                self.decisions[QUEUE_FULL] += 1
                return Verdict(Placement.REJECTED, reason, retry_after)
            evicted = self._evict(evictable, WAITING_EVICTED)
        connection.placement = Placement.WAITING
        self.queue.add(connection)
        return Verdict(Placement.WAITING, reason, retry_after, evicted)

    def _evict(self, connection: TrackedConnection, decision: str) -> tuple[int, ...]:
        """Drop the state of a connection; return the value of the verdict's `evicted`."""
        self.on_connection_closed(connection.number)
        self.decisions[decision] += 1
        return (connection.number,)

    def _count_rejection(self, now: float, address: Address, reason: RejectReason) -> None:
        self.decisions[REJECTED[reason]] += 1
        self.rejections.add(now, address)

    # --- idle and busy connections

    def on_request_bytes(self, number: int) -> None:
        """Mark a connection as busy, because bytes of a request have arrived."""
        connection = self.connections.get(number)
        if connection is not None:
            self.slots.mark_busy(connection)

    def on_idle(self, number: int) -> None:
        """Mark an admitted connection as idle, because it is between two requests."""
        connection = self.connections.get(number)
        if connection is not None and connection.placement is Placement.ADMITTED:
            self._mark_idle(connection)

    def _mark_idle(self, connection: TrackedConnection) -> None:
        """Allow eviction of the connection, unless it has a query in flight or reserved bytes."""
        if not connection.queries and not connection.bytes_reserved:
            self.slots.mark_idle(connection)

    # --- queries

    def admit_query(
        self,
        now: float,
        number: int,
        address: Address,
        tenant: str,
        tenant_quota: float,
        level: int,
    ) -> QuerySlot | Verdict:
        """Decide on a query; return its slot, or the verdict with the reason for its rejection.

        The caller passes the slot to `on_query_ended` exactly once.

        Args:
            now: Time in seconds.
            number: The number of the connection.
            address: The address of the client; behind a proxy it differs from the connection's.
            tenant: The name of the client's tenant, or "".
            tenant_quota: The fraction of all slots that the tenant may have; 0 for no limit.
            level: The number of classes with a higher priority.
        """
        connection = self.connections[number]
        trust = max(connection.trust, self.trust_level(now, address))
        slot = QuerySlot(number, address, tenant, trust)
        reason = self.queries.exceeded_limit(slot, tenant_quota, level)
        if reason is not None:
            self._count_rejection(now, address, reason)
            return Verdict(connection.placement, reason, RETRY_AFTER)
        connection.queries += 1
        self.slots.mark_busy(connection)
        self.queries.take(slot)
        self.decisions[QUERY_ADMITTED] += 1
        return slot

    def on_query_ended(self, now: float, slot: QuerySlot, succeeded: bool) -> None:
        """Release the slot of a query that has ended; its connection may already be closed."""
        connection = self.connections.get(slot.connection)
        if connection is not None:
            connection.queries -= 1
        self.queries.release(slot)
        if succeeded:
            self.reputation.reward(now, slot.address)

    # --- bytes

    def reserve_bytes(self, number: int, size: int) -> bool:
        """Reserve bytes for a request body; return False if the sender must wait or is rejected."""
        return self.byte_budget.reserve(self.connections[number], size)

    def release_bytes(self, number: int, keep: int) -> None:
        """Release all but `keep` of the connection's reserved bytes."""
        connection = self.connections.get(number)
        if connection is not None and connection.bytes_reserved > keep:
            self.byte_budget.release(connection, connection.bytes_reserved - keep)


def _current_verdict(connection: TrackedConnection) -> Verdict:
    """Return the verdict that currently applies to a connection."""
    return Verdict(connection.placement, connection.reason, connection.retry_after)
