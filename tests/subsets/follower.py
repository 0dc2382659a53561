"""A follower of a subset that applies its events as the decision library does, and checks them against S7."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.subsets.model import CellLayout, SubsetSettings
from stepknot.subsets.subset import Subset

NOW, COLD_TIME = 1000.0, 10.0
LIVE, DRAINING, GONE = ServerState.LIVE, ServerState.DRAINING, ServerState.GONE
FULL, CHANGES = ListKind.FULL, ListKind.CHANGES


def node(
    server: str,
    cell: int = 0,
    state: ServerState = LIVE,
    zone: str = "a",
    size: float = 1.0,
    up_since: float = 0.0,
) -> ServerEntry:
    return ServerEntry(server, zone, cell, state, size, up_since)


class Follower:
    """A subset with a reader of its events.

    Attributes:
        view: The nodes according to the events, by server.
        newest: The newest entries of the lists, by server.
    """

    def __init__(
        self,
        instances: int = 6600,
        cells: int = 1,
        reach: int = 1,
        identity: str = "broker-1",
        **changes: Any,
    ) -> None:
        values: dict[str, Any] = {"size": 4, "holders": 1.0, "zone": "a", "tiers": (("b",),)}
        self.subset = Subset(
            SubsetSettings(identity, **(values | changes)),
            CellLayout(cells, reach, COLD_TIME),
            instances,
        )
        self.view: dict[str, ServerEntry] = {}
        self.newest: dict[str, ServerEntry] = {}
        self.events: list[ListReceived] = []
        self.now = NOW

    def take(self, kind: ListKind, entries: Iterable[ServerEntry]) -> Follower:
        entries = tuple(entries)
        self.subset.on_watch_event(ListReceived(kind, entries))
        if kind is not CHANGES:
            self.newest = {}
        self.newest |= {entry.server: entry for entry in entries}
        return self

    def advance(self) -> bool:
        has_more = self.subset.advance(self.now)
        events, self.subset.events = self.subset.events, []
        for event in events:
            self.apply(event)
        if not (
            self.subset.intake.has_unread
            or self.subset.uncompared_cells
            or self.subset.urgent_cells
        ):
            stale = [
                server
                for server, entry in self.view.items()
                if entry.state is LIVE and not self.is_live(server)
            ]
            assert not stale or not events, f"S7: live in the subset but not in the lists: {stale}"
        return has_more

    def is_live(self, server: str) -> bool:
        entry = self.newest.get(server)
        return entry is not None and entry.state is LIVE

    def finish(self) -> Follower:
        while self.advance():
            pass
        assert not self.subset.unemitted and not self.subset.events
        return self

    def at(self, now: float) -> Follower:
        self.now = now
        return self.finish()

    def apply(self, event: ListReceived) -> None:
        self.events.append(event)
        if event.kind is not CHANGES:
            self.view = {}
        for entry in event.entries:
            if entry.state is GONE:
                self.view.pop(entry.server, None)
            else:
                assert entry.state is LIVE or entry.server in self.view, (
                    f"S7: draining node enters the subset: {entry}"
                )
                self.view[entry.server] = entry
        # Each event contains all changes of a selection, so the view is complete after each event.
        assert self.view == self.selected()

    def selected(self) -> dict[str, ServerEntry]:
        cells = self.subset.index.cells.values()
        return {server: entry for cell in cells for server, entry in cell.selected.items()}

    def is_warm(self, entry: ServerEntry) -> bool:
        return (
            entry.state is LIVE and not 0 < entry.up_since <= self.now < entry.up_since + COLD_TIME
        )

    def names(self) -> set[str]:
        return set(self.view)
