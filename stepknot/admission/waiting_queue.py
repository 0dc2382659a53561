"""The waiting queue: holds connections over a limit until their first request arrives and can be answered."""

from __future__ import annotations

from collections import OrderedDict

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, TrackedConnection
from stepknot.admission.ranked_counter import RankedCounter


class WaitingQueue:
    """A bounded queue; when it is full, the address with the most places loses its oldest one. Invariant 1."""

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._numbers: set[int] = set()
        # Connections by address, the oldest first.
        self.by_address: dict[Address, OrderedDict[int, TrackedConnection]] = {}
        self._counts = RankedCounter()

    def __len__(self) -> int:
        return len(self._numbers)

    def is_full(self) -> bool:
        """Return whether there is no place for one more connection."""
        return len(self._numbers) >= self.settings.lane

    def find_evictable(self, address: Address) -> TrackedConnection | None:
        """Return the connection that a new one of `address` may evict, or None.

        It is the oldest one of the address with the most places, if that address has more places than `address`.
        """
        heaviest = next(self._counts.descending(), None)
        if heaviest is None or self._counts[heaviest] <= self._counts[address]:
            return None
        return next(iter(self.by_address[Address(heaviest)].values()))

    def add(self, connection: TrackedConnection) -> None:
        """Put a connection at the end of the queue."""
        self._numbers.add(connection.number)
        own = self.by_address.setdefault(connection.address, OrderedDict())
        own[connection.number] = connection
        self._counts.adjust(connection.address, 1)

    def remove(self, connection: TrackedConnection) -> None:
        """Remove a connection from the queue."""
        self._numbers.remove(connection.number)
        own = self.by_address[connection.address]
        del own[connection.number]
        if not own:
            del self.by_address[connection.address]
        self._counts.adjust(connection.address, -1)
