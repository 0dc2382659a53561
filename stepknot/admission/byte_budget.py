"""The byte budget: limits the memory for request bodies, per address and in total."""

from __future__ import annotations

from collections import Counter

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, TrackedConnection
from stepknot.decisions.memory_budget import may_hold

# An address may always reserve the budget divided by this, if that much is free.
MIN_ADDRESS_DIVISOR = 64


class ByteBudget:
    """Counts reserved bytes; an address may reserve at most as many bytes as remain free. Invariant 1."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.reserved = 0
        self.by_address: Counter[Address] = Counter()

    def reserve(self, connection: TrackedConnection, size: int) -> bool:
        """Reserve bytes for a request; return False if the sender must wait or is rejected."""
        limit = self.settings.bytes
        held = self.by_address[connection.address]
        if not may_hold(held + size, held, limit - self.reserved, limit // MIN_ADDRESS_DIVISOR):
            return False
        connection.bytes_reserved += size
        self.by_address[connection.address] = held + size
        self.reserved += size
        return True

    def release(self, connection: TrackedConnection, size: int) -> None:
        """Release bytes that the connection has reserved."""
        if not size:
            return
        connection.bytes_reserved -= size
        self.reserved -= size
        self.by_address[connection.address] -= size
        if not self.by_address[connection.address]:
            del self.by_address[connection.address]
