"""The list of boxes as a JSON or HCL file that is watched for change.

JSON: `{"boxes": [{"address": "127.0.0.1:9301", "zone": "a", "cell": 0, ...}]}`; HCL: `box "ADDRESS" { zone = "a" }`.
`state` is live or draining, `up_since` is seconds since 1970 when the process started (0: long ago). A file that
cannot be read or understood changes nothing: it is told, and the last good list stays.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson

from stepknot.config.hcl import ConfigError, Problem, parse
from stepknot.config.readers import Bad, address
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.net.loop import Loop

MOST_BOXES = 100_000
KEYS = {"address", "zone", "cell", "state", "size", "up_since", "kind"}


def read_endpoint_list(path: Path, clock_offset: float) -> dict[str, ServerEntry]:
    """By address. `clock_offset`: the loop's clock less the wall's. Raises ConfigError, OSError."""
    text = path.read_text()
    if path.suffix == ".json":
        try:
            given = orjson.loads(text)["boxes"]
            if not isinstance(given, list):
                raise TypeError("boxes is no list")
        except (ValueError, KeyError, TypeError) as error:
            raise ConfigError(
                [Problem(str(path), 1, "boxes", f"expected a JSON list of boxes: {error}")]
            ) from None
        rows = [(0, each) for each in given]
    else:
        blocks = parse(text, str(path)).blocks
        rows = [
            (
                each.line,
                {"address": " ".join(each.labels)}
                | {key: value.value for key, value in each.values.items()},
            )
            for each in blocks
        ]
    if len(rows) > MOST_BOXES:
        raise ConfigError([Problem(str(path), 1, "boxes", f"expected {MOST_BOXES} at the most")])
    entries: dict[str, ServerEntry] = {}
    problems = []
    for place, (line, row) in enumerate(rows):
        try:
            entry = read_entry(row, clock_offset)
            if entry.server in entries:
                raise Bad(f"{entry.server} is listed twice")
            entries[entry.server] = entry
        except (Bad, TypeError, ValueError) as error:
            problems.append(Problem(str(path), line, f"boxes[{place}]", str(error)))
    if problems:
        raise ConfigError(problems)
    return entries


def read_entry(row: Any, clock_offset: float) -> ServerEntry:
    if not isinstance(row, dict):
        raise Bad("expected an object")
    unknown = set(row) - KEYS
    if unknown:
        raise Bad(f"unknown key {sorted(unknown)[0]}; known: {', '.join(sorted(KEYS))}")
    where = row.get("address")
    address(where)
    state, cell = row.get("state", "live"), row.get("cell", 0)
    if state not in ("live", "draining"):
        raise Bad(f"expected state live or draining, not {state!r}")
    if not isinstance(cell, int) or cell < 0:
        raise Bad(f"expected a cell of 0 or more, not {cell!r}")
    since = row.get("up_since", 0)
    if not isinstance(since, (int, float)):
        raise Bad(f"expected up_since in seconds since 1970, not {since!r}")
    return ServerEntry(
        str(where),
        str(row.get("zone", "")),
        cell,
        ServerState(state),
        float(row.get("size", 1.0)),
        since + clock_offset if since > 0 else 0.0,
        str(row.get("kind", "")),
    )


def diff_endpoint_lists(
    old: dict[str, ServerEntry], new: dict[str, ServerEntry]
) -> tuple[ServerEntry, ...]:
    """What a broker that knows `old` must hear to know `new`."""
    gone = [
        replace(entry, state=ServerState.GONE) for server, entry in old.items() if server not in new
    ]
    changed = [entry for server, entry in new.items() if not same(old.get(server), entry)]
    return (*gone, *changed)


def same(old: ServerEntry | None, new: ServerEntry) -> bool:
    """The offset of the clocks wanders by microseconds; a start time is the same within a millisecond."""
    return (
        old is not None
        and abs(old.up_since - new.up_since) < 0.001
        and replace(old, up_since=0.0) == replace(new, up_since=0.0)
    )


class EndpointFileWatcher:
    """Watches the file by its stat every `every` seconds and reports through `on_list` and `on_trouble`."""

    def __init__(
        self,
        loop: Loop,
        path: Path,
        every: float,
        on_list: Callable[[ListReceived], None],
        on_trouble: Callable[[str], None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.loop, self.path, self.every, self.wall = loop, path, every, wall
        self.on_list, self.on_trouble = on_list, on_trouble
        self.entries: dict[str, ServerEntry] = {}
        self.stamp: tuple[int, int, int] | None = None
        self.heard = False
        self.check()

    def check(self) -> None:
        try:
            found = os.stat(self.path)
            stamp = (found.st_mtime_ns, found.st_size, found.st_ino)
            if stamp != self.stamp:
                self.take(read_endpoint_list(self.path, self.loop.clock() - self.wall()))
                self.stamp = stamp
        except (ConfigError, OSError) as error:
            self.on_trouble(str(error))
        self.loop.call_later(self.every, self.check)

    def take(self, entries: dict[str, ServerEntry]) -> None:
        if not self.heard:
            self.heard, self.entries = True, entries
            self.on_list(ListReceived(ListKind.FULL, tuple(entries.values())))
            return
        news = diff_endpoint_lists(self.entries, entries)
        # An entry that is the same keeps the start time as first heard.
        self.entries = {
            server: self.entries[server] if same(self.entries.get(server), entry) else entry
            for server, entry in entries.items()
        }
        if news:
            self.on_list(ListReceived(ListKind.CHANGES, news))
