"""Marks nodes of the endpoint list as draining if the fleet's ledger names them as drained."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState


class DrainedEndpoints:
    """Passes lists from a source to a receiver and marks drained nodes. An entry that the source removed stays removed.

    Args:
        on_list: Receives each list and each change.
    """

    def __init__(self, on_list: Callable[[ListReceived], None]) -> None:
        self.on_list = on_list
        self.entries: dict[str, ServerEntry] = {}  # entries by server, as received from the source
        self.drained: frozenset[str] = frozenset()  # drained servers according to the ledger
        self._is_list_received = False

    def receive_list(self, event: ListReceived) -> None:
        """Receive a list or a change from the source, and pass it on."""
        if event.kind is ListKind.FULL:
            self.entries = {}
            self._is_list_received = True
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        self.on_list(replace(event, entries=tuple(map(self.mark_drained, event.entries))))

    def mark_drained(self, entry: ServerEntry) -> ServerEntry:
        """Return the entry for the receiver: draining if it is live in the list and drained according to the ledger."""
        if entry.server in self.drained and entry.state is ServerState.LIVE:
            return replace(entry, state=ServerState.DRAINING)
        return entry

    def set_drained(self, servers: Iterable[str]) -> None:
        """Set the nodes that are drained according to the ledger, and pass on the entries that change."""
        before = self.drained
        self.drained = frozenset(servers)
        changed = [
            self.mark_drained(self.entries[server])
            for server in sorted(before ^ self.drained)
            if server in self.entries
        ]
        if changed and self._is_list_received:
            self.on_list(ListReceived(ListKind.CHANGES, tuple(changed)))
