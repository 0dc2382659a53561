"""The interface of stepknot: settings, events and actions.

A caller makes one `stepknot.Aggregator(settings, seed)` and hands it events with the time at which they
happened: `handle(now, events) -> list[Action]`. The actions take effect at that time, in their order.
Times and durations are seconds; the clock has no fixed start and never goes backwards. A query comes as one
`QueryArrived`, its parts as `PartArrived` in the same call. Attempts of a part are numbered from 0 in the
order of their `Send` actions.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a part does that is sent a second time."""

    SAFE = "safe"  # nothing
    KEYED = "keyed"  # nothing within the class's repeat window
    UNSAFE = "unsafe"  # its effect a second time


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"  # by the server, before it began
    TIMED_OUT = "timed out"
    NOT_CONNECTED = "not connected"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"

    @property
    def never_ran(self) -> bool:
        """Whether this outcome proves that the attempt never ran."""
        return self in (Outcome.REJECTED, Outcome.NOT_CONNECTED, Outcome.NOT_SENT)


class ServerState(Enum):
    """A server's state in the endpoint list."""

    LIVE = "live"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a `ListReceived` holds."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # the full list as last had, perhaps stale
    FAILED = "failed"  # a call failed or the subscription broke; no entries


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A class of query: its latency objective, deadline, worth and what may be repeated.

    An answer within `aim` earns `worth`, a later one `late_value` of it.
    """

    name: str
    aim: float
    deadline: float
    worth: float
    late_value: float = 0.0
    effect: Effect = Effect.SAFE
    repeat_window: float = 0.0
    need: float = 1.0  # share of the weight that makes a whole answer
    floor: float = 1.0  # least share for any answer
    partial_value: float = 0.0  # an answer that is not whole earns this x share / need
    second_step_parts: int = 0

    @property
    def all_parts(self) -> bool:
        """Whether a query of this class is answered from all of its parts only."""
        return self.floor >= 1.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the deployment that every instance has to keep."""

    drain_grace: float
    cold_share: float  # a server starts with this share of its capacity or more ...
    cold_time: float  # ... and is warm after this long at most
    fall_multiple: float  # sent more than this many times its present capacity ...
    fall_time: float  # ... for this long, it falls over
    ask_within: float = 0.0  # without a subscription, ask for the list this often (0: no such rule)
    extra_window: float = 0.0  # the attempt budget's window (0: no budget)
    extra_floor: float = 0.0
    extra_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the caller allows, and its bounds."""

    max_attempts: int
    cancelling: bool = False
    probing: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    idle_connection: float = 0.0  # idle connections are closed after this long (0: not told)


@dataclass(frozen=True, slots=True)
class Settings:
    """All that an aggregator is told at its start."""

    instances: int
    cells: int  # shard s is held by the servers of cells (s + j) mod cells, j < reach
    reach: int
    parts_per_call: int
    classes: dict[str, QueryClass]
    rules: Rules
    limits: Limits
    must_ask: bool = False  # the list's changes come only when asked for
    worth_by_work: bool = False  # a query's worth counts in proportion to its work
    tick: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the endpoint list."""

    server: str
    zone: str
    cell: int
    state: ServerState
    size: float = 1.0
    up_since: float = 0.0  # 0: long ago
    kind: str = ""  # of machine
    sharers: float = 0.0  # no more instances than this may send to it while it is cold (0: all may)


# Which of a part's candidates may be chosen, by their places. For rules of the caller that are not of one
# server, such as bounds for a whole zone. Safe: the part may be lost; owed: a first step was done for it.
Narrow = Callable[[float, list[ServerEntry], bool, bool], list[int]]


@dataclass(slots=True)
class ListReceived:
    """The endpoint list, or changes of it, or that it could not be had."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True)
class QueryArrived:
    """A client's query. Its parts come as `PartArrived` in the same call."""

    query_id: int
    number: int  # its parts carry the same
    class_name: str
    deadline: float
    tenant: str = ""
    key: str = ""
    effort: float = 0.0  # expected work of all parts, 0: not told
    retry: bool = False


@dataclass(slots=True)
class PartArrived:
    """A part of a query: what one shard is asked for."""

    part_id: int
    number: int
    shard: int
    weight: float
    effort: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `elapsed` since its send, `load` as the server reports it."""

    part_id: int
    attempt: int
    server: str
    outcome: Outcome
    elapsed: float
    part_over: bool = False
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class QueryGone:
    """The client of a query has disconnected."""

    query_id: int


@dataclass(slots=True)
class TimerDue:
    """A timer that was set is due."""

    token: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe of a server's load ended, `load` as the server reports it."""

    server: str
    outcome: Outcome
    elapsed: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class InstancesCounted:
    """No more instances than this may be there now, instead of as many as the settings say.

    Without this event those count, so nobody need send it.
    """

    instances: int


Event = (
    ListReceived
    | QueryArrived
    | PartArrived
    | AttemptEnded
    | QueryGone
    | TimerDue
    | ProbeEnded
    | InstancesCounted
)


@dataclass(slots=True)
class Send:
    """Start an attempt; sends to one server in one call of `handle` may travel as one call.

    What is not written whole by `not_after` is never written: it ends as not connected.
    """

    part_id: int
    server: str
    timeout: float
    attempt: int = 0  # its number
    not_after: float = math.inf


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt: its answer is of no more use."""

    part_id: int
    attempt: int


@dataclass(slots=True)
class Answer:
    """Answer a query from the parts served. With a second step, the first of two."""

    query_id: int
    whole: bool


@dataclass(slots=True)
class Refuse:
    """Final: rejected, and to repeat the query is harmless; `retry_after` in seconds, 0: no advice."""

    query_id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final: failed, with no promise about its effect."""

    query_id: int


@dataclass(slots=True)
class SetTimer:
    """Hand back one `TimerDue` with this token at this time."""

    at: float
    token: int


@dataclass(slots=True)
class Probe:
    """Ask a server for its load report; answered by one `ProbeEnded`."""

    server: str


@dataclass(slots=True)
class Close:
    """Close the idle connections to a server: a `Send` after it opens a new one."""

    server: str


@dataclass(slots=True)
class Watch:
    """Ask for the list's changes from now on."""


Action = Send | Cancel | Answer | Refuse | Fail | SetTimer | Probe | Close | Watch
