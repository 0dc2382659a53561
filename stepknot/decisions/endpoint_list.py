"""The endpoint list: a capsule for each listed server, and the live replicas of each shard.

Events and actions: `ListReceived` and `Watch` of `stepknot/interface.py`.
"""

from __future__ import annotations

import math

from stepknot.decisions.records import Capsule
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import Turn
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState, Watch

# A broken subscription is reopened after this share of `ask_within`, but after at most `MAX_WATCH_RETRY`
# seconds. The rest of `ask_within` is for the caller, which must detect the failure and open a new
# subscription; changes then still arrive in time.
WATCH_RETRY_SHARE = 0.25
MAX_WATCH_RETRY = 0.5
# From the third failure in a row on the delay doubles, up to so many times the first one: refused calls
# cost the registry work, which a crowd of instances takes from those that it could serve.
MAX_WATCH_BACKOFF = 4


class EndpointList:
    """The listed servers, in the list's order."""

    __slots__ = (
        "_by_shard",
        "_failed_watches",
        "_slow_start",
        "_timers",
        "_turn",
        "by_cell",
        "capsules",
    )

    def __init__(self, turn: Turn, timers: Timers, slow_start: SlowStart) -> None:
        self._turn, self._timers, self._slow_start = turn, timers, slow_start
        self.capsules: dict[str, Capsule] = {}  # by server
        self.by_cell: dict[int, list[Capsule]] = {}  # capsules of live servers, by cell
        # Results of `replicas`, computed from `by_cell` on request.
        self._by_shard: dict[int, list[Capsule]] = {}
        self._failed_watches = 0  # since the last list or changes

    def on_list(self, event: ListReceived) -> None:
        """Apply a list or its changes; after a failure, schedule a new watch."""
        if event.kind is ListKind.FAILED:
            self._failed_watches += 1
            self._watch_again()
            return
        self._failed_watches = 0
        if event.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in event.entries}
            self.capsules = {
                server: capsule for server, capsule in self.capsules.items() if server in listed
            }
        for entry in event.entries:
            self._apply_entry(entry)
        self._slow_start.forget_quotas(self.capsules)
        self._index_live()

    def replicas(self, shard: int) -> list[Capsule]:
        """The live servers that hold a shard. The caller must not change the list."""
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
        """Request the list's changes."""
        self._turn.actions.append(Watch())

    def _watch_again(self) -> None:
        """Schedule a new watch within `ask_within`, with backoff, and jitter so that instances spread out."""
        delay = (self._turn.settings.rules.ask_within or math.inf) * WATCH_RETRY_SHARE
        backoff = min(2 ** max(self._failed_watches - 2, 0), MAX_WATCH_BACKOFF)
        jitter = self._turn.random.uniform(0.5, 1.0)
        self._timers.set(
            self._turn.now + min(delay, MAX_WATCH_RETRY) * backoff * jitter, self.watch
        )

    def _apply_entry(self, entry: ServerEntry) -> None:
        known = self.capsules.get(entry.server)
        if entry.state is ServerState.GONE:
            self.capsules.pop(entry.server, None)
        elif known is None or known.entry.up_since != entry.up_since:
            # A restarted server gets a new capsule: measurements of the earlier process do not apply to it.
            # The calls in flight stay counted.
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
