"""Log events on standard error: one JSON object each, at most `MAX_EVENTS_PER_SECOND` of each name.

`STEPKNOT_LOG` selects more: "debug" also logs each query's end and each listed node; "trace" also logs
all events and actions of the decision module, so that a query can be followed and what the module
knows be compared with the sockets.
"""

from __future__ import annotations

import contextlib
import sys
import time
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass, fields

import orjson

from stepknot.interface import Action, Event, SetTimer, TimerDue

VARIABLE = "STEPKNOT_LOG"  # of the environment
MAX_EVENTS_PER_SECOND = 20
MAX_TRACEBACK_LENGTH = 2000
# One for each query, request or node: logged where STEPKNOT_LOG is "debug".
DEBUG_EVENTS = {"call_sent", "query_ended", "node_listed", "request_rejected"}
Decide = Callable[[float, list[Event]], list[Action]]


def wants_trace(environment: Mapping[str, str]) -> bool:
    """Whether the decision module's events and actions are logged."""
    return environment.get(VARIABLE) == "trace"


def trace_decisions(decide: Decide, log: Callable[..., None]) -> Decide:
    """Wrap the decision module's entry: calls are passed on, and logged with the loop's time.

    Timers and their ends are not logged.
    """

    def decide_and_log(now: float, events: list[Event]) -> list[Action]:
        actions = decide(now, events)
        logged_events = [_to_row(each) for each in events if type(each) is not TimerDue]
        logged_actions = [_to_row(each) for each in actions if type(each) is not SetTimer]
        if logged_events or logged_actions:
            log("decision_made", now=round(now, 4), events=logged_events, actions=logged_actions)
        return actions

    return decide_and_log


def make_log(
    environment: Mapping[str, str], wall: Callable[[], float] = time.time
) -> Callable[..., None]:
    """The function that writes log events: takes a name and fields, `exc_info` may be an exception.

    Args:
        environment: has the level.
        wall: seconds since 1970.
    """
    is_debug = environment.get(VARIABLE) in ("debug", "trace")
    rate = _EventRate()

    def log(event: str, **given: object) -> None:
        if event in DEBUG_EVENTS and not is_debug:
            return
        now = wall()
        if rate.count(event, int(now)) > MAX_EVENTS_PER_SECOND and not is_debug:
            return
        error = given.pop("exc_info", None)
        if isinstance(error, BaseException):
            text = "".join(traceback.format_exception(error))
            given["trace"] = text[-MAX_TRACEBACK_LENGTH:]
        line = orjson.dumps({"at": round(now, 3), "event": event, **given}, default=str)
        with contextlib.suppress(OSError):  # nothing reads standard error any more
            sys.stderr.buffer.write(line + b"\n")
            sys.stderr.buffer.flush()

    return log


@dataclass(slots=True)
class _Count:
    second: int
    count: int


class _EventRate:
    """Counts events of each name in the current second."""

    def __init__(self) -> None:
        self._counts: dict[str, _Count] = {}

    def count(self, event: str, second: int) -> int:
        """Count one more; returns how many of this name there were in this second."""
        found = self._counts.get(event)
        if found is None or found.second != second:
            found = self._counts[event] = _Count(second, 0)
        found.count += 1
        return found.count


def _to_row(each: Event | Action) -> list[object]:
    return [type(each).__name__, *(getattr(each, field.name) for field in fields(each))]
