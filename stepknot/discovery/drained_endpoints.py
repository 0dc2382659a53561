"""The endpoint list with the nodes marked as draining that the fleet's ledger names as drained."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState


class DrainedEndpoints:
    """Stands between a source of the list and its receiver. An entry that the source removed stays removed."""

    def __init__(self, on_list: Callable[[ListReceived], None]) -> None:
        """`on_list` receives each list and each change."""
        self.on_list = on_list
        self.entries: dict[str, ServerEntry] = {}  # as the source has them
        self.drained: frozenset[str] = frozenset()  # by the ledger
        self._is_list_received = False

    def receive_list(self, event: ListReceived) -> None:
        """Take a list or a change from the source, and pass it on."""
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
        """The entry as the receiver sees it: draining if it is live in the list and drained by the ledger."""
        if entry.server in self.drained and entry.state is ServerState.LIVE:
            return replace(entry, state=ServerState.DRAINING)
        return entry

    def set_drained(self, servers: Iterable[str]) -> None:
        """Take the drained nodes from the ledger, and pass on the entries that change."""
        before = self.drained
        self.drained = frozenset(servers)
        changed = [
            self.mark_drained(self.entries[server])
            for server in sorted(before ^ self.drained)
            if server in self.entries
        ]
        if changed and self._is_list_received:
            self.on_list(ListReceived(ListKind.CHANGES, tuple(changed)))
