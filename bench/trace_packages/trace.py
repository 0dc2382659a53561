"""A digest over what leaves a package in a seeded run: values and bytes, without names of types or fields."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from enum import Enum

Value = None | bool | int | float | str | bytes | Enum


class Trace:
    """Collects values in their order; equal digests mean equal values, floats to the last bit."""

    def __init__(self) -> None:
        self._hash = hashlib.sha256()
        self.count = 0

    def add(self, *values: Value) -> None:
        """Take values into the digest; an enum counts by its value."""
        for value in values:
            plain = value.value if isinstance(value, Enum) else value
            self._hash.update(_encode(plain))
            self.count += 1

    def digest(self) -> str:
        """The digest of all values so far, in hexadecimal."""
        return self._hash.hexdigest()


def recorded_text(text: str, recorded_texts: Sequence[tuple[str, str]]) -> str:
    """A message with the text that it had when a digest was recorded.

    Args:
        text: The present text.
        recorded_texts: Regular expressions of present texts, each with the replacement that gives the recorded text.
            All of them are applied, in this order; a text that none of them matches is unchanged.
    """
    for pattern, replacement in recorded_texts:
        text = re.sub(pattern, replacement, text)
    return text


def _encode(value: object) -> bytes:
    """One value, with its kind and length, so that no two sequences read alike."""
    if value is None:
        kind, data = b"n", b""
    elif isinstance(value, bool):
        kind, data = b"b", b"1" if value else b"0"
    elif isinstance(value, int):
        kind, data = b"i", str(value).encode()
    elif isinstance(value, float):
        kind, data = b"f", value.hex().encode()
    elif isinstance(value, str):
        kind, data = b"s", value.encode()
    elif isinstance(value, bytes):
        kind, data = b"y", value
    else:
        raise TypeError(f"a trace takes plain values, not {type(value).__name__}")
    return kind + len(data).to_bytes(4, "little") + data
