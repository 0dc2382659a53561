"""A few lines on standard error: one JSON object for each event, no more than `MOST` of a kind in a second.

`STEPKNOT_LOG` asks for more: "debug" for each query's end and each listed node, "trace" for all that the module is told
and says as well, so that a query's life can be followed and what the module believes be held against the sockets.
"""

from __future__ import annotations

import sys
import time
import traceback
from collections.abc import Callable, Mapping
from dataclasses import fields

import orjson

from stepknot.interface import Action, Event, SetTimer, TimerDue

MOST = 20
# One for each query, request or node: told where STEPKNOT_LOG is "debug".
QUIET = {"call_sent", "query_ended", "box_listed", "bad_request"}
Handle = Callable[[float, list[Event]], list[Action]]


def wants_trace(environment: Mapping[str, str]) -> bool:
    return environment.get("STEPKNOT_LOG") == "trace"


def as_row(each: Event | Action) -> list[object]:
    return [type(each).__name__, *(getattr(each, field.name) for field in fields(each))]


def traced(handle: Handle, log: Callable[..., None]) -> Handle:
    """The module's calls as before, each told by the loop's clock: what it heard and what it wants done, but timers."""

    def handled(now: float, events: list[Event]) -> list[Action]:
        actions = handle(now, events)
        heard = [as_row(each) for each in events if type(each) is not TimerDue]
        wanted = [as_row(each) for each in actions if type(each) is not SetTimer]
        if heard or wanted:
            log("decided", now=round(now, 4), heard=heard, wanted=wanted)
        return actions

    return handled


def make_log(
    environment: Mapping[str, str], wall: Callable[[], float] = time.time
) -> Callable[..., None]:
    quiet = set() if environment.get("STEPKNOT_LOG") in ("debug", "trace") else QUIET
    told: dict[str, tuple[int, int]] = {}  # by event: the second, and how many in it

    def log(event: str, **given: object) -> None:
        if event in quiet:
            return
        now = wall()
        second, count = told.get(event, (0, 0))
        count = count + 1 if second == int(now) else 1
        told[event] = int(now), count
        if quiet and count > MOST:
            return
        error = given.pop("exc_info", None)
        if isinstance(error, BaseException):
            given["trace"] = "".join(traceback.format_exception(error))[-2000:]
        line = orjson.dumps({"at": round(now, 3), "event": event, **given}, default=str)
        sys.stderr.buffer.write(line + b"\n")
        sys.stderr.buffer.flush()

    return log
