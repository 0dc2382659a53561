"""The byte budget: request bodies in memory, by address and in all."""

from __future__ import annotations

from collections import Counter

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, TrackedConnection

MIN_ADDRESS_FRACTION = 64  # an address may always have one part in this many, if it is free


class ByteBudget:
    """Reserved bytes; an address may have as many as are free, at most. Invariant 1."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self.reserved = 0
        self.by_address: Counter[Address] = Counter()

    def reserve(self, connection: TrackedConnection, size: int) -> bool:
        """Reserve bytes of a request; if False, the sender has to wait or is rejected."""
        limit = self.settings.bytes
        free = limit - self.reserved
        own = self.by_address[connection.address] + size
        if size > free or own > max(free, limit // MIN_ADDRESS_FRACTION):
            return False
        connection.bytes_reserved += size
        self.by_address[connection.address] = own
        self.reserved += size
        return True

    def release(self, connection: TrackedConnection, size: int) -> None:
        """Give back bytes that the connection had reserved."""
        if not size:
            return
        connection.bytes_reserved -= size
        self.reserved -= size
        self.by_address[connection.address] -= size
        if not self.by_address[connection.address]:
            del self.by_address[connection.address]
