"""Discovery's messages decoded: snapshots of the endpoint list, and changes to it."""

from __future__ import annotations

import itertools
import math
import sys
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
    """Read one decoded JSON message of discovery, or a cached list of the same form.

    Args, errors: see `parse_watch_event_slices`.
    """
    return parse_watch_event_slices([given], clock_offset)


def parse_watch_event_slices(slices: Iterable[Any], clock_offset: float) -> WatchEvent:
    """Read a message of discovery whose decoded JSON comes in slices.

    Args:
        slices: objects with some of the rows as `servers` each; the last one has all other keys.
        clock_offset: the loop's clock minus the wall clock, in seconds; the same for the process's
            life, so that an entry that is received again does not look like a restart.

    Raises:
        MalformedInputError: a part of it is missing, of the wrong type or out of its range.
    """
    try:
        header: Any = {}
        entries: list[ServerEntry] = []
        addresses: list[NodeAddress] = []
        for header in slices:
            rows = header["servers"]
            _check_rows(rows, len(entries))
            entries += [_parse_entry(row, clock_offset) for row in rows]
            addresses += [_parse_node_address(row) for row in rows if row.get("addr")]
        version, is_snapshot = header["version"], bool(header.get("full", False))
        _check_version(version)
        if is_snapshot and len({entry.server for entry in entries}) < len(entries):
            raise WatchError("a full list names a node twice")
        return WatchEvent(version, is_snapshot, tuple(entries), tuple(addresses))
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


def _check_version(version: Any) -> None:
    if type(version) is not int or version < 0:
        raise WatchError("expected an endpoint list with a version from 0")


def _check_rows(rows: Any, rows_before: int) -> None:
    if not isinstance(rows, list):
        raise WatchError("expected an endpoint list with a list of servers")
    if rows_before + len(rows) > MAX_NODES:
        raise WatchError(f"expected {MAX_NODES} nodes at most, not {rows_before + len(rows)}")


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
        sys.intern(str(row.get("zone", ""))),
        cell,
        state,
        float(size),
        started_ms / MILLISECONDS + clock_offset if started_ms > 0 else 0.0,
        sys.intern(str(row.get("kind", ""))),
    )
