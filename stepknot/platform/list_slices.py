"""A long endpoint list decoded in slices: its decoded JSON takes many times the memory of its bytes."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import orjson

SLICE_BYTES = 16 * 1024  # of the rows that are decoded at once, at least
MAX_TRIES = 32  # for the end of one slice
LIST_BEGIN = re.compile(rb'"servers"\s*:\s*\[')
BETWEEN_OBJECTS = re.compile(rb"\}(\s*,\s*)\{")


def decode_in_slices(message: bytes) -> Iterator[Any]:
    """Yield the values of one JSON message of discovery, one after the other.

    A message of up to `SLICE_BYTES` is one value, and so is one whose form is not known. Otherwise each value is
    an object with some of the list's rows as `servers`, in their order, and the last one has all other keys.

    Raises:
        ValueError: the message is not JSON; values may have been yielded before.
    """
    begin = LIST_BEGIN.search(message) if len(message) > SLICE_BYTES else None
    if begin is None or not _begins_list(message[: begin.end()]):
        yield orjson.loads(message)
        return
    prefix, place = message[: begin.end()], begin.end()
    while len(message) - place > SLICE_BYTES:
        rows, next_place = _decode_slice(message, place)
        if not rows:
            break
        place = next_place
        yield {"servers": rows}
    yield orjson.loads(prefix + message[place:])


def _begins_list(prefix: bytes) -> bool:
    """Whether what follows these bytes is in the list of the message's own object."""
    try:
        found = orjson.loads(prefix + b"]}")
    except ValueError:
        return False
    return isinstance(found, dict) and found.get("servers") == []


def _decode_slice(message: bytes, place: int) -> tuple[list[Any], int]:
    """Decode the rows from a place on; returns them and the place of the next row, or no rows.

    Where the bytes up to a possible end are complete JSON values, the end is one: in a string or within a row
    they are not.
    """
    search_from = place + SLICE_BYTES
    for _ in range(MAX_TRIES):
        end = BETWEEN_OBJECTS.search(message, search_from)
        if end is None:
            break
        try:
            return orjson.loads(b"[%b]" % message[place : end.start(1)]), end.end(1)
        except ValueError:
            search_from = end.end(1)
    return [], place
