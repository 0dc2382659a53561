"""Reads the endpoint list from a JSON or HCL file and watches the file for changes.

JSON: `{"boxes": [{"address": "127.0.0.1:9301", "zone": "a", "cell": 0, ...}]}`; HCL: `box "ADDRESS" { zone = "a" }`.
A box is a node. `state` is live or draining; `up_since` is the start time of the process in seconds since 1970 (0: long
ago). A file that is unreadable or malformed is reported, and the last valid list stays in use.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from stepknot.config.errors import ConfigError, Problem, SettingError
from stepknot.config.hcl import parse
from stepknot.config.readers import address
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.net.loop import Loop

MAX_NODES = 100_000
# Start times that differ by less count as equal: they are converted between clocks whose offset varies by microseconds.
MAX_START_DIFFERENCE = 0.001  # seconds
KNOWN_KEYS = {"address", "zone", "cell", "state", "size", "up_since", "kind"}


@dataclass(frozen=True, slots=True)
class ListRow:
    """One node as given in the file, and its line (0: unknown)."""

    line: int
    value: Any


@dataclass(frozen=True, slots=True)
class FileVersion:
    """The attributes of a file by which a change is detected."""

    mtime_ns: int
    size: int
    inode: int


def read_endpoint_list(path: Path, clock_offset: float) -> dict[str, ServerEntry]:
    """Read the complete file.

    Args:
        path: The file; `.json` is read as JSON, any other suffix as HCL.
        clock_offset: The loop's clock minus the wall clock, in seconds.

    Returns:
        The entries by address, in the order of the file.

    Raises:
        ConfigError: The file is malformed; each problem has its line and key.
        OSError: The file cannot be read.
    """
    rows = _read_rows(path)
    if len(rows) > MAX_NODES:
        raise ConfigError(
            [Problem(str(path), 1, "boxes", f"expected at most {MAX_NODES} nodes, not {len(rows)}")]
        )
    entries: dict[str, ServerEntry] = {}
    problems = []
    for position, row in enumerate(rows):
        try:
            entry = _read_entry(row.value, clock_offset)
            if entry.server in entries:
                raise SettingError(
                    f"expected each address once, but {entry.server} is listed twice"
                )
            entries[entry.server] = entry
        except (SettingError, TypeError, ValueError) as error:
            problems.append(Problem(str(path), row.line, f"boxes[{position}]", str(error)))
    if problems:
        raise ConfigError(problems)
    return entries


def diff_endpoint_lists(
    old: dict[str, ServerEntry], new: dict[str, ServerEntry]
) -> tuple[ServerEntry, ...]:
    """Return the entries of the watch event that turns the old list into the new one: gone nodes, then changed ones."""
    gone = [
        replace(entry, state=ServerState.GONE) for server, entry in old.items() if server not in new
    ]
    changed = [entry for server, entry in new.items() if not _is_same(old.get(server), entry)]
    return (*gone, *changed)


class EndpointFileWatcher:
    """Polls the file for changes; reports a snapshot first and changes from then on.

    Args:
        loop: The loop whose timers run the polls.
        path: The file.
        interval: Seconds between polls.
        on_list: Receives the watch events.
        on_error: Receives the reason why the file could not be read, at each poll until it can be read.
        wall: The wall clock, in seconds since 1970.
    """

    def __init__(
        self,
        loop: Loop,
        path: Path,
        interval: float,
        on_list: Callable[[ListReceived], None],
        on_error: Callable[[str], None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self._loop = loop
        self._path = path
        self._on_list = on_list
        self._on_error = on_error
        self._wall = wall
        self._version: FileVersion | None = None  # version of the file that was read last
        self._has_snapshot = False
        loop.call_every(interval, self.poll)
        self.poll()

    def poll(self) -> None:
        """Read the file if it changed."""
        try:
            version = _version_of(self._path)
            if version != self._version:
                clock_offset = self._loop.clock() - self._wall()
                self._report(read_endpoint_list(self._path, clock_offset))
                self._version = version
        except (ConfigError, OSError) as error:
            self._on_error(str(error))

    def _report(self, entries: dict[str, ServerEntry]) -> None:
        if not self._has_snapshot:
            self._has_snapshot = True
            self.entries = entries
            self._on_list(ListReceived(ListKind.FULL, tuple(entries.values())))
            return
        changed = diff_endpoint_lists(self.entries, entries)
        # An unchanged entry keeps the start time that was read first.
        self.entries = {
            server: self.entries[server] if _is_same(self.entries.get(server), entry) else entry
            for server, entry in entries.items()
        }
        if changed:
            self._on_list(ListReceived(ListKind.CHANGES, changed))


def _read_rows(path: Path) -> list[ListRow]:
    text = path.read_text()
    if path.suffix == ".json":
        return [ListRow(0, value) for value in _read_json(path, text)]
    return list(_read_hcl(path, text))


def _read_json(path: Path, text: str) -> list[Any]:
    try:
        rows = orjson.loads(text)["boxes"]
        if not isinstance(rows, list):
            raise TypeError('"boxes" is not a list')
    except (ValueError, KeyError, TypeError) as error:
        expected = f'expected a JSON object with the list "boxes": {error}'
        raise ConfigError([Problem(str(path), 1, "boxes", expected)]) from error
    return rows


def _read_hcl(path: Path, text: str) -> Iterator[ListRow]:
    for block in parse(text, str(path)).blocks:
        values = {key: value.value for key, value in block.values.items()}
        yield ListRow(block.line, {"address": " ".join(block.labels)} | values)


def _read_entry(value: Any, clock_offset: float) -> ServerEntry:
    if not isinstance(value, dict):
        raise SettingError(f"expected an object, not {type(value).__name__}")
    unknown = set(value) - KNOWN_KEYS
    if unknown:
        known = ", ".join(sorted(KNOWN_KEYS))
        raise SettingError(f"unknown key {min(unknown)}; expected keys among {known}")
    server = value.get("address")
    address(server)
    state, cell = value.get("state", "live"), value.get("cell", 0)
    if state not in ("live", "draining"):
        raise SettingError(f"expected state live or draining, not {state!r}")
    if not isinstance(cell, int) or cell < 0:
        raise SettingError(f"expected cell to be an integer of 0 or more, not {cell!r}")
    up_since = value.get("up_since", 0)
    if not isinstance(up_since, (int, float)):
        raise SettingError(f"expected up_since as a number of seconds since 1970, not {up_since!r}")
    return ServerEntry(
        server=str(server),
        zone=str(value.get("zone", "")),
        cell=cell,
        state=ServerState(state),
        size=float(value.get("size", 1.0)),
        up_since=up_since + clock_offset if up_since > 0 else 0.0,
        kind=str(value.get("kind", "")),
    )


def _is_same(old: ServerEntry | None, new: ServerEntry) -> bool:
    """Return whether two entries are equal, apart from the variation of the clocks' offset."""
    return (
        old is not None
        and abs(old.up_since - new.up_since) < MAX_START_DIFFERENCE
        and replace(old, up_since=0.0) == replace(new, up_since=0.0)
    )


def _version_of(path: Path) -> FileVersion:
    status = path.stat()
    return FileVersion(status.st_mtime_ns, status.st_size, status.st_ino)
