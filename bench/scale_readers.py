"""The readers of the list against its length, without sockets: the watched JSON file, and the platform's discovery.

The file is read from disk as it is at each change of its stat. The platform's messages come in pieces as a socket gives
them, through `WatchParser` and `read_list`. Its limits are raised here, and a note says which lists they refuse as they
ship.
"""

from __future__ import annotations

import random
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
from scale_report import NODES, SHARDS, Effort, Finding, Gathered, Note, bytes_of, seconds_of

from stepknot.discovery.endpoint_file import diff_endpoint_lists, read_endpoint_list
from stepknot.interface import ServerState
from stepknot.platform import endpoint_list, watch_parser
from stepknot.platform.discovery import READ_BYTES
from stepknot.platform.endpoint_list import WatchEvent, parse_watch_event
from stepknot.platform.errors import MalformedInputError
from stepknot.platform.watch_parser import WatchParser

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n"
STARTED = 1_700_000_000  # seconds since 1970
CLOCK_OFFSET = -1_000_000_000.0
ROOM = 4  # times the shipped limits, where a list is longer


def address(place: int) -> str:
    return f"10.{place >> 16}.{place >> 8 & 255}.{place & 255}:9301"


def file_rows(count: int, seed: int) -> bytes:
    chance = random.Random(seed)
    rows = [
        {
            "address": address(place),
            "zone": f"z{place % 13}",
            "cell": place % SHARDS,
            "state": "live",
            "size": chance.choice((1.0, 2.0)),
            "kind": "m",
            "up_since": STARTED + chance.randrange(10**6),
        }
        for place in range(count)
    ]
    return orjson.dumps({"boxes": rows})


def platform_row(place: int, chance: random.Random) -> dict[str, Any]:
    return {
        "id": f"s{place % SHARDS:03}-{place // SHARDS:02}",
        "addr": address(place),
        "zone": f"z{place % 13}",
        "kind": "m",
        "cell": place % SHARDS,
        "state": "active",
        "weight": 1.0,
        "started_ms": (STARTED + chance.randrange(10**6)) * 1000,
    }


def platform_list(length: int, seed: int) -> bytes:
    chance = random.Random(seed)
    return message(True, [platform_row(place, chance) for place in range(length)])


def message(full: bool, rows: list[dict[str, Any]]) -> bytes:
    return orjson.dumps({"version": 1, "full": full, "servers": rows}) + b"\n"


class Watch:
    """What a watch does with bytes of the body, without its socket."""

    def __init__(self) -> None:
        self.reader = WatchParser()
        self.reader.feed(HEAD)

    def read(self, data: bytes) -> list[WatchEvent]:
        found = [
            line
            for start in range(0, len(data), READ_BYTES)
            for line in self.reader.feed(data[start : start + READ_BYTES])
        ]
        return [parse_watch_event(orjson.loads(line), CLOCK_OFFSET) for line in found]


def refusal(data: bytes) -> str:
    """Why the limits that ship refuse it; empty where they do not."""
    try:
        return "" if Watch().read(data) else "nothing was read"
    except MalformedInputError as error:
        return str(error)


def file_reader(gathered: Gathered, path: Path, length: int, seed: int) -> None:
    path.write_bytes(file_rows(length, seed))
    gathered.add(
        "file read", "ms", length, seconds_of(lambda: read_endpoint_list(path, CLOCK_OFFSET)) * 1e3
    )
    size, old = bytes_of(lambda: read_endpoint_list(path, CLOCK_OFFSET))
    gathered.add("file's entries", "bytes", length, size)
    new = read_endpoint_list(path, CLOCK_OFFSET)
    name = next(iter(new))
    new[name] = replace(new[name], state=ServerState.DRAINING)
    gathered.add(
        "one change found in the file's entries",
        "ms",
        length,
        seconds_of(lambda: diff_endpoint_lists(old, new)) * 1e3,
    )
    if len(diff_endpoint_lists(old, new)) != 1:
        raise AssertionError("one entry differs, and more or less than one was told")


def platform_reader(gathered: Gathered, length: int, seed: int) -> None:
    full, change = (
        platform_list(length, seed),
        message(False, [platform_row(0, random.Random(seed))]),
    )
    gathered.add("platform's list on the wire", "bytes", length, len(full))
    gathered.add(
        "platform's whole list", "ms", length, seconds_of(lambda: Watch().read(full)) * 1e3
    )
    size, _ = bytes_of(lambda: Watch().read(full))
    gathered.add("platform's entries and addresses", "bytes", length, size)
    watch = Watch()
    watch.read(full)
    took = seconds_of(lambda: [watch.read(change) for _ in range(100)]) / 100
    gathered.add("platform's change of one entry", "us", length, took * 1e6)


@contextmanager
def raised() -> Iterator[None]:
    """The limits of the platform's reader, raised; as they ship again afterwards."""
    shipped = endpoint_list.MAX_NODES, watch_parser.MAX_MESSAGE_BYTES
    endpoint_list.MAX_NODES = shipped[0] * ROOM
    watch_parser.MAX_MESSAGE_BYTES = shipped[1] * ROOM
    try:
        yield
    finally:
        endpoint_list.MAX_NODES, watch_parser.MAX_MESSAGE_BYTES = shipped


def refusals(lengths: Sequence[int]) -> Iterator[Note]:
    for length in lengths:
        full = platform_list(length, 0)
        why = refusal(full)
        if why:
            yield Note(
                f"readers: the platform's reader as shipped refuses {length} nodes in {len(full) / 1e6:.1f} MB: "
                f"{why} (MAX_NODES {endpoint_list.MAX_NODES}, MAX_MESSAGE_BYTES "
                f"{watch_parser.MAX_MESSAGE_BYTES}); measured with both x {ROOM}"
            )


def measure(effort: Effort) -> Iterator[Finding]:
    lengths, gathered = effort.sizes(200, 2000, 10_000, NODES), Gathered("nodes", NODES)
    yield from refusals(lengths)
    with raised(), tempfile.TemporaryDirectory() as folder:
        for length in lengths:
            for seed in effort.seeds:
                file_reader(gathered, Path(folder, "boxes.json"), length, seed)
                platform_reader(gathered, length, seed)
    yield from gathered.series("readers")
