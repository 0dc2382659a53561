"""A few lines on standard error: one JSON object for each event, no more than `MOST` of a kind in a second."""

from __future__ import annotations

import sys
import time
import traceback
from collections.abc import Callable, Mapping

import orjson

MOST = 20
QUIET = {"call_sent", "query_ended", "box_listed"}  # one for each query or node: told where STEPKNOT_LOG is "debug"


def make_log(environment: Mapping[str, str], wall: Callable[[], float] = time.time) -> Callable[..., None]:
    quiet = set() if environment.get("STEPKNOT_LOG") == "debug" else QUIET
    told: dict[str, tuple[int, int]] = {}  # by event: the second, and how many in it

    def log(event: str, **fields: object) -> None:
        if event in quiet:
            return
        now = wall()
        second, count = told.get(event, (0, 0))
        count = count + 1 if second == int(now) else 1
        told[event] = int(now), count
        if quiet and count > MOST:
            return
        error = fields.pop("exc_info", None)
        if isinstance(error, BaseException):
            fields["trace"] = "".join(traceback.format_exception(error))[-2000:]
        line = orjson.dumps({"at": round(now, 3), "event": event, **fields}, default=str)
        sys.stderr.buffer.write(line + b"\n")
        sys.stderr.buffer.flush()

    return log
