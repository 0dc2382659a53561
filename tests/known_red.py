"""Reads the tests that KNOWN-RED.txt lists: entries that begin with a test's id, up to its colon and blank."""

from __future__ import annotations

import re
from pathlib import Path

ENTRY = re.compile(r"(tests/\S+\.py::\w+(?:\[.*?\])?): ")
FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"


def parse_known_red(text: str) -> list[str]:
    """The ids of the tests that a list of known faults names."""
    return [found[1] for line in text.splitlines() if (found := ENTRY.match(line))]


def read_known_red() -> list[str]:
    """The ids of the tests that fail for a known fault."""
    return parse_known_red(FILE.read_text(encoding="utf-8"))
