"""The endpoint list: a capsule for each listed server, and the live replicas of each shard.

The cost of a change is in proportion to its own entries, not to the list. Events and actions: `ListReceived`
and `Watch` of `stepknot/interface.py`.
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
        "_by_cell",
        "_by_shard",
        "_failed_watches",
        "_slow_start",
        "_timers",
        "_turn",
        "capsules",
    )

    def __init__(self, turn: Turn, timers: Timers, slow_start: SlowStart) -> None:
        self._turn, self._timers, self._slow_start = turn, timers, slow_start
        self.capsules: dict[str, Capsule] = {}  # by server
        self._by_cell: dict[int, dict[str, Capsule]] = {}  # the same capsules, by cell and server
        # Results of `replicas` since the last list or changes.
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
            for server in [server for server in self.capsules if server not in listed]:
                self._remove(server)
        for entry in event.entries:
            self._apply_entry(entry)
        self._slow_start.forget_expired_quotas(self.capsules)
        self._by_shard.clear()

    def replicas(self, shard: int) -> list[Capsule]:
        """The live servers that hold a shard. The caller must not change the list."""
        found = self._by_shard.get(shard)
        if found is None:
            settings = self._turn.settings
            found = self._by_shard[shard] = [
                capsule
                for step in range(settings.reach)
                for capsule in self._by_cell.get((shard + step) % settings.cells, {}).values()
                if capsule.entry.state is ServerState.LIVE
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
        if entry.state is ServerState.GONE:
            self._remove(entry.server)
            return
        known = self.capsules.get(entry.server)
        if known is not None and known.entry.cell != entry.cell:
            self._remove_from_cell(known)
        if known is None or known.entry.up_since != entry.up_since:
            # A restarted server gets a new capsule: measurements of the earlier process do not apply to it.
            # The calls in flight stay counted.
            calls = known.calls if known else set()
            quota = self._slow_start.quota_of(entry.server)
            known = self.capsules[entry.server] = Capsule(entry, calls, quota=quota)
        known.entry = entry
        self._by_cell.setdefault(entry.cell, {})[entry.server] = known

    def _remove(self, server: str) -> None:
        capsule = self.capsules.pop(server, None)
        if capsule is not None:
            self._remove_from_cell(capsule)
            self._slow_start.on_server_removed(server)

    def _remove_from_cell(self, capsule: Capsule) -> None:
        cell = capsule.entry.cell
        del self._by_cell[cell][capsule.entry.server]
        if not self._by_cell[cell]:
            del self._by_cell[cell]
