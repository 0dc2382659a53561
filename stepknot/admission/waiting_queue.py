"""The waiting queue: holds connections that exceeded a limit until their first request arrives and can be answered."""

from __future__ import annotations

from collections import OrderedDict

from stepknot.admission.addresses import Address
from stepknot.admission.model import AdmissionSettings, TrackedConnection
from stepknot.admission.ranked_counter import RankedCounter


class WaitingQueue:
    """A bounded queue of connections; invariant 1.

    When it is full, a new connection can evict the oldest connection of the address with the most connections in the
    queue.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self.settings = settings
        self._numbers: set[int] = set()
        # Connections by address, the oldest first.
        self.by_address: dict[Address, OrderedDict[int, TrackedConnection]] = {}
        self._counts = RankedCounter()

    def __len__(self) -> int:
        return len(self._numbers)

    def is_full(self) -> bool:
        """Return whether the queue has its maximum number of connections."""
        return len(self._numbers) >= self.settings.lane

    def find_evictable(self, address: Address) -> TrackedConnection | None:
        """Return the connection that a new one of `address` may evict, or None.

        It is the oldest connection of the address with the most connections in the queue, provided that this address
        has more of them than `address`.
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
