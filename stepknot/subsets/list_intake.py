"""Watch events that are not in the index yet: unread events, and the newest entries of the events that were read.

Lists are read in slices; the docstring of `subset` explains the sliced work.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState

READ_ENTRIES = 1024  # maximum number of entries read in one unit of work, which takes 0.3 ms


@dataclass(slots=True)
class ReadList:
    """A list that is being read; its first `position` entries are in `newest`, by server.

    Attributes:
        is_snapshot: Whether the list is complete, so that servers that it does not name are gone.
    """

    is_snapshot: bool
    entries: tuple[ServerEntry, ...]
    newest: dict[str, ServerEntry] = field(default_factory=dict)
    position: int = 0


@dataclass(slots=True)
class PendingEntries:
    """The newest entry of each server from the lists that were read but are not completely indexed.

    A snapshot replaces all earlier entries, and changes are merged into the existing ones. An older entry can therefore
    not be indexed after a newer one.

    Attributes:
        newest: The newest entries by server.
        unindexed: Servers whose entries are not in the index yet.
        unswept_cells: Cells still to be searched for servers that a snapshot does not name; None before the search
            begins.
    """

    is_snapshot: bool
    newest: dict[str, ServerEntry]
    unindexed: deque[str]
    unswept_cells: deque[int] | None = None

    def entry_of(self, entry: ServerEntry) -> ServerEntry | None:
        """Return the newest entry of an entry's server, or None if the lists that were read do not change it."""
        newest = self.newest.get(entry.server)
        if newest is None and self.is_snapshot:
            return replace(entry, state=ServerState.GONE)
        return newest


class ListIntake:
    """Holds the queue of unread watch events, and the pending entries into which they are merged."""

    def __init__(self) -> None:
        self.pending: PendingEntries | None = None
        self._unread: deque[ReadList] = deque()

    @property
    def has_unread(self) -> bool:
        """Whether there are unread events."""
        return bool(self._unread)

    def enqueue(self, event: ListReceived) -> None:
        """Queue a watch event. A snapshot replaces earlier unread events; long changes are cut into slices."""
        if event.kind is not ListKind.CHANGES:
            self._unread.clear()
            self._unread.append(ReadList(True, event.entries))
            return
        for start in range(0, max(len(event.entries), 1), READ_ENTRIES):
            self._unread.append(ReadList(False, event.entries[start : start + READ_ENTRIES]))

    def read_slice(self) -> ReadList | None:
        """Read some entries of the first unread event; return the event when it was read completely and merged."""
        read = self._unread[0]
        entries = read.entries[read.position : read.position + READ_ENTRIES]
        read.newest.update((entry.server, entry) for entry in entries)
        read.position += READ_ENTRIES
        if read.position < len(read.entries):
            return None
        self._unread.popleft()
        self._merge(read)
        return read

    def newest_of(self, entries: Iterable[ServerEntry]) -> list[ServerEntry]:
        """Return the pending entry of each server in `entries` that has one."""
        if self.pending is None:
            return []
        newest = (self.pending.entry_of(entry) for entry in entries)
        return [entry for entry in newest if entry is not None]

    def _merge(self, read: ReadList) -> None:
        if read.is_snapshot or self.pending is None:
            self.pending = PendingEntries(read.is_snapshot, read.newest, deque(read.newest))
            return
        self.pending.newest.update(read.newest)
        self.pending.unindexed += read.newest
