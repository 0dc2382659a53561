"""A tap at a socket: what was received and sent there, a JSON line each, for the audit.

Times are of the system's monotonic clock, the same for all processes of one machine. A line is written whole and
at once, so that a process that is killed loses none that it had seen.
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import orjson


class Tap:
    def __init__(self, path: Path | None, who: str) -> None:
        self.file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - kept open
        self.who = who

    def note(self, what: str, **fields: Any) -> None:
        if self.file is not None:
            self.file.write(
                orjson.dumps({"t": time.monotonic(), "who": self.who, "what": what, **fields})
                + b"\n"
            )


def read(path: Path) -> list[dict[str, Any]]:
    """The lines of a tap; a last one that was cut short is left out."""
    lines = path.read_bytes().split(b"\n")
    return [orjson.loads(line) for line in lines[:-1] if line]
