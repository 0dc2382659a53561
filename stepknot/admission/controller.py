"""Decides on connections and queries: composes connection slots, waiting queue, query slots and byte budget."""

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

RETRY_AFTER = 1.0  # seconds, where nothing tells better

# Labels of the decisions in metrics and admin answers.
CONNECTION_ADMITTED = "seated"
IDLE_EVICTED = "shed idle"
WAITING_EVICTED = "lane let go"
QUEUE_FULL = "out"
QUERY_ADMITTED = "query taken"
REJECTED = {reason: f"refused: {reason.value}" for reason in RejectReason}


class AdmissionController:
    """Admission control of one broker; the caller carries the verdicts out."""

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
        """How well the clients of an address are known."""
        if address in self._listed or self.lists.contains(AccessList.ALLOWED, address):
            return TrustLevel.LISTED
        if self.reputation.is_reputable(now, address):
            return TrustLevel.REPUTABLE
        return TrustLevel.UNKNOWN

    # --- connections

    def on_connection(self, now: float, number: int, address: Address) -> Verdict:
        """A client has connected. For each evicted connection the caller closes it; its state is dropped already."""
        trust = self.trust_level(now, address)
        connection = TrackedConnection(number, address, Placement.REJECTED, trust)
        self.connections[number] = connection
        if trust is not TrustLevel.LISTED and self.lists.contains(AccessList.BANNED, address):
            return self._enqueue(now, connection, RejectReason.BANNED, RETRY_AFTER)
        rate, max_rate = self.arrival_rates.rate(now, address), self._max_rate(trust)
        if rate > max_rate:
            retry_after = self.settings.memory * math.log(rate / max_rate)
            return self._enqueue(now, connection, RejectReason.RATE, retry_after)
        # A connection that is rejected for its rate does not count: when a flood ends, so does its rejection.
        self.arrival_rates.add(now, address)
        return self._admit(now, connection)

    def _max_rate(self, trust: TrustLevel) -> float:
        """New connections a second of an address."""
        if trust is TrustLevel.UNKNOWN:
            return self.settings.rate
        return self.settings.rate * self.settings.known_factor

    def on_proxy_connection(self, now: float, number: int, address: Address) -> Verdict:
        """A trusted proxy has connected: it needs a slot, but no limit of an address applies to the proxy itself."""
        connection = TrackedConnection(number, address, Placement.REJECTED, TrustLevel.LISTED)
        self.connections[number] = connection
        return self._take_slot(now, connection)

    def on_proxied_address(self, now: float, number: int, address: Address) -> Verdict:
        """A proxy said which client the connection is for: it is judged again, as that client's."""
        self.on_connection_closed(number)
        return self.on_connection(now, number, address)

    def on_descriptors_exhausted(self, now: float, address: Address) -> Verdict:
        """A connection came for which there is no descriptor."""
        self._count_rejection(now, address, RejectReason.DESCRIPTORS)
        return Verdict(Placement.REJECTED, RejectReason.DESCRIPTORS, RETRY_AFTER)

    def on_first_request(self, now: float, number: int, api_key: str) -> Verdict:
        """The first request is here, with the name of the API key that it shows, or "".

        A key admits a connection that exceeded a limit or the rate; it does not lift a ban.
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
        """Count an admitted connection for its key; where the key's limit is reached it stays as it is."""
        as_listed = replace(connection, api_key=api_key, trust=TrustLevel.LISTED)
        if self.slots.exceeded_limit(as_listed) is not None:
            return
        self.slots.release(connection)
        connection.trust, connection.api_key = TrustLevel.LISTED, api_key
        self.slots.take(connection)
        self._mark_idle(connection)

    def on_connection_closed(self, number: int) -> None:
        """The connection was closed; a second call for it does nothing."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return
        self.byte_budget.release(connection, connection.bytes_reserved)
        if connection.placement is Placement.ADMITTED:
            self.slots.release(connection)
        elif connection.placement is Placement.WAITING:
            self.queue.remove(connection)

    def _admit(self, now: float, connection: TrackedConnection) -> Verdict:
        """A slot if no limit is exceeded, else a place in the waiting queue."""
        reason = self.slots.exceeded_limit(connection)
        if reason is not None:
            return self._enqueue(now, connection, reason, RETRY_AFTER)
        return self._take_slot(now, connection)

    def _take_slot(self, now: float, connection: TrackedConnection) -> Verdict:
        """A slot, if need be of an idle connection that is evicted."""
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
        """A place in the waiting queue, where the connection gets its final answer; none if the queue is full."""
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
        """Drop the state of a connection; returns what the verdict lists."""
        self.on_connection_closed(connection.number)
        self.decisions[decision] += 1
        return (connection.number,)

    def _count_rejection(self, now: float, address: Address, reason: RejectReason) -> None:
        self.decisions[REJECTED[reason]] += 1
        self.rejections.add(now, address)

    # --- idle and busy connections

    def on_request_bytes(self, number: int) -> None:
        """Bytes of a request have arrived: the connection is not idle."""
        connection = self.connections.get(number)
        if connection is not None:
            self.slots.mark_busy(connection)

    def on_idle(self, number: int) -> None:
        """The connection is between two requests."""
        connection = self.connections.get(number)
        if connection is not None and connection.placement is Placement.ADMITTED:
            self._mark_idle(connection)

    def _mark_idle(self, connection: TrackedConnection) -> None:
        """The connection may be evicted, unless it has a query in flight or bytes of a request."""
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
        """A query has arrived: a slot, to be handed to `on_query_ended` once, or why it is rejected.

        Args:
            now: Time in seconds.
            number: The connection.
            address: The client that asks; behind a proxy not the connection's.
            tenant: Name of its tenant, or "".
            tenant_quota: Fraction of all slots that the tenant may have; 0 for any.
            level: How many classes have a higher priority.
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
        """The query of this slot has ended, whether its connection is still open or not."""
        connection = self.connections.get(slot.connection)
        if connection is not None:
            connection.queries -= 1
        self.queries.release(slot)
        if succeeded:
            self.reputation.reward(now, slot.address)

    # --- bytes

    def reserve_bytes(self, number: int, size: int) -> bool:
        """Reserve bytes of a request body; if False, the sender has to wait or is rejected."""
        return self.byte_budget.reserve(self.connections[number], size)

    def release_bytes(self, number: int, keep: int) -> None:
        """Give back all but `keep` of the connection's reserved bytes."""
        connection = self.connections.get(number)
        if connection is not None and connection.bytes_reserved > keep:
            self.byte_budget.release(connection, connection.bytes_reserved - keep)


def _current_verdict(connection: TrackedConnection) -> Verdict:
    """The verdict that holds for a connection."""
    return Verdict(connection.placement, connection.reason, connection.retry_after)
