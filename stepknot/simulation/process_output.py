"""Waits for the output of a process that a trial started."""

from __future__ import annotations

import select
from typing import IO

MILLISECONDS = 1000  # in a second


def has_output(stream: IO[bytes], seconds: float) -> bool:
    """Whether the stream has something to read within this time, whatever its descriptor's number is."""
    poll = select.poll()
    poll.register(stream, select.POLLIN)
    return bool(poll.poll(seconds * MILLISECONDS))
