"""The endpoint list: a capsule for each listed server, and the live ones of a shard.

Events and actions: `ListReceived` and `Watch` of `stepknot/interface.py`.
"""

from __future__ import annotations

import math

from stepknot.decisions.records import Capsule
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import Turn
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState, Watch

# A broken subscription is opened again after this share of the ask-within rule, or after so many seconds:
# with what the caller takes to see that it is broken and to open another, a change comes in time.
WATCH_RETRY_SHARE = 0.25
MAX_WATCH_RETRY = 0.5


class EndpointList:
    """The listed servers, in the list's order."""

    __slots__ = ("_by_shard", "_slow_start", "_timers", "_turn", "by_cell", "capsules")

    def __init__(self, turn: Turn, timers: Timers, slow_start: SlowStart) -> None:
        self._turn, self._timers, self._slow_start = turn, timers, slow_start
        self.capsules: dict[str, Capsule] = {}  # by server
        self.by_cell: dict[int, list[Capsule]] = {}  # the live ones, by the cell of their shards
        self._by_shard: dict[int, list[Capsule]] = {}  # derived from it on request, not changed

    def on_list(self, event: ListReceived) -> None:
        """Take over a list or its changes; after a failure open the watch again."""
        if event.kind is ListKind.FAILED:
            self._watch_again()
            return
        if event.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            self.capsules = {
                server: capsule for server, capsule in self.capsules.items() if server in listed
            }
        for entry in event.entries:
            self._take_entry(entry)
        self._slow_start.forget_quotas(self.capsules)
        self._index_live()

    def holders(self, shard: int) -> list[Capsule]:
        """The live servers that hold a shard. The list must not be changed."""
        found = self._by_shard.get(shard)
        if found is None:
            settings = self._turn.settings
            found = self._by_shard[shard] = [
                capsule
                for step in range(settings.reach)
                for capsule in self.by_cell.get((shard + step) % settings.cells, ())
            ]
        return found

    def watch(self) -> None:
        """Ask for the list's changes."""
        self._turn.actions.append(Watch())

    def _watch_again(self) -> None:
        """Discovery has a fault: ask again soon, well within the rule, and not all instances at once."""
        pause = (self._turn.settings.rules.ask_within or math.inf) * WATCH_RETRY_SHARE
        jitter = self._turn.random.uniform(0.5, 1.0)
        self._timers.set(self._turn.now + min(pause, MAX_WATCH_RETRY) * jitter, self.watch)

    def _take_entry(self, entry: ServerEntry) -> None:
        known = self.capsules.get(entry.server)
        if entry.state is ServerState.GONE:
            self.capsules.pop(entry.server, None)
        elif known is None or known.entry.up_since != entry.up_since:
            # What an earlier process did says nothing about this one; what is out stays counted.
            calls = known.calls if known else set()
            quota = self._slow_start.quota_of(entry.server)
            self.capsules[entry.server] = Capsule(entry, calls, quota=quota)
        else:
            known.entry = entry

    def _index_live(self) -> None:
        self.by_cell, self._by_shard = {}, {}
        for capsule in self.capsules.values():
            if capsule.entry.state is ServerState.LIVE:
                self.by_cell.setdefault(capsule.entry.cell, []).append(capsule)
