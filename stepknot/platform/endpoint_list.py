"""Discovery's messages decoded: snapshots of the endpoint list, and changes to it."""

from __future__ import annotations

import itertools
import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.platform.config import parse_address
from stepknot.platform.errors import WatchError

MAX_NODES = 10_000
STATES = {"active": ServerState.LIVE, "leaving": ServerState.DRAINING, "left": ServerState.GONE}
MILLISECONDS = 1000  # in a second


class NodeAddress(NamedTuple):
    """Where a node accepts connections."""

    node: str
    host: str
    port: int


class WatchEvent(NamedTuple):
    """One message of discovery.

    Attributes:
        version: grows with each change of the endpoint list.
        is_snapshot: whether it is the full list; otherwise it has only the entries that changed.
        entries: the listed nodes as the decision module knows them.
        addresses: of those entries that have one.
    """

    version: int
    is_snapshot: bool
    entries: tuple[ServerEntry, ...]
    addresses: tuple[NodeAddress, ...]


def parse_watch_event(given: Any, clock_offset: float) -> WatchEvent:
    """Decode one JSON message of discovery, or a cached list of the same form.

    Args:
        given: the decoded JSON.
        clock_offset: the loop's clock minus the wall clock, in seconds; the same for the process's
            life, so that an entry that is received again does not look like a restart.

    Raises:
        MalformedInputError: a part of it is missing, of the wrong type or out of its range.
    """
    try:
        version, rows = given["version"], given["servers"]
        _check_header(version, rows)
        entries = tuple([_parse_entry(row, clock_offset) for row in rows])
        if given.get("full") and len({entry.server for entry in entries}) < len(entries):
            raise WatchError("a full list names a node twice")
        addresses = tuple([_parse_node_address(row) for row in rows if row.get("addr")])
        return WatchEvent(version, bool(given.get("full", False)), entries, addresses)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise WatchError(f"malformed endpoint list: {type(error).__name__}: {error}") from error


def join_changes(events: Iterable[WatchEvent]) -> list[WatchEvent]:
    """The same entries in the same order in fewer events: changes that follow each other are one event.

    What an event costs besides its entries is then paid once for all changes of one read.
    """
    joined = []
    for is_snapshot, group in itertools.groupby(events, lambda event: event.is_snapshot):
        members = list(group)
        if is_snapshot or len(members) == 1:
            joined += members
            continue
        entries = itertools.chain.from_iterable(each.entries for each in members)
        addresses = itertools.chain.from_iterable(each.addresses for each in members)
        joined.append(WatchEvent(members[-1].version, False, tuple(entries), tuple(addresses)))
    return joined


def to_list_event(event: WatchEvent, kind: ListKind | None = None) -> ListReceived:
    """The decision module's event for it; `kind` replaces the one that the message has."""
    received_kind = ListKind.FULL if event.is_snapshot else ListKind.CHANGES
    return ListReceived(kind or received_kind, event.entries)


def _check_header(version: Any, rows: Any) -> None:
    if type(version) is not int or version < 0 or not isinstance(rows, list):
        raise WatchError("expected an endpoint list with a version from 0 and a list of servers")
    if len(rows) > MAX_NODES:
        raise WatchError(f"expected {MAX_NODES} nodes at most, not {len(rows)}")


def _parse_node_address(row: Any) -> NodeAddress:
    node = row["id"]
    return NodeAddress(node, *parse_address(row["addr"], node))


def _parse_entry(row: Any, clock_offset: float) -> ServerEntry:
    node = row["id"]
    cell = row.get("cell", 0)
    state = STATES.get(row["state"])
    started_ms = row.get("started_ms", 0)
    size = row.get("weight", 1.0)
    is_named = isinstance(node, str) and node
    if not is_named or type(cell) is not int or cell < 0 or state is None:
        raise WatchError(f"node {node!r}: expected an id, a cell from 0 and a known state")
    if type(started_ms) not in (int, float) or not math.isfinite(started_ms):
        raise WatchError(f"node {node}: started_ms: expected a number, not {started_ms!r}")
    if type(size) not in (int, float):
        raise WatchError(f"node {node}: weight: expected a number, not {size!r}")
    return ServerEntry(
        node,
        str(row.get("zone", "")),
        cell,
        state,
        float(size),
        started_ms / MILLISECONDS + clock_offset if started_ms > 0 else 0.0,
        str(row.get("kind", "")),
    )
