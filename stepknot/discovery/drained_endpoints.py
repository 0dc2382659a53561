"""The list of boxes with those drained that the fleet's ledger says are out. What the list says gone stays gone."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState


class Drained:
    """Stands between a source of the list and whoever takes it."""

    def __init__(self, on_list: Callable[[ListReceived], None]) -> None:
        self.on_list = on_list
        self.entries: dict[str, ServerEntry] = {}  # as the list has them
        self.out: frozenset[str] = frozenset()
        self.heard = False

    def take(self, event: ListReceived) -> None:
        if event.kind is ListKind.FULL:
            self.entries, self.heard = {}, True
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        self.on_list(replace(event, entries=tuple(map(self.seen, event.entries))))

    def seen(self, entry: ServerEntry) -> ServerEntry:
        if entry.server in self.out and entry.state is ServerState.LIVE:
            return replace(entry, state=ServerState.DRAINING)
        return entry

    def set_out(self, out: Iterable[str]) -> None:
        before, self.out = self.out, frozenset(out)
        changed = [self.entries[each] for each in sorted(before ^ self.out) if each in self.entries]
        if changed and self.heard:
            self.on_list(ListReceived(ListKind.CHANGES, tuple(map(self.seen, changed))))
