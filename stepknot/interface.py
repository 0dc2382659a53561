"""The interface of stepknot: settings, events and actions.

A caller creates one `stepknot.Aggregator(settings, seed)` and passes it events with the time at which they
happened: `handle(now, events) -> list[Action]`. The actions take effect at that time, in their order.
Times and durations are in seconds; the clock has an arbitrary start and never goes backwards. A query arrives
as one `QueryArrived`, with its parts as `PartArrived` in the same call. Attempts of a part are numbered from
0 in the order of their `Send` actions.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """The effect of sending a part a second time."""

    SAFE = "safe"  # no further effect
    KEYED = "keyed"  # no further effect within the class's repeat window
    UNSAFE = "unsafe"  # the effect happens a second time


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    REJECTED = "rejected"  # the server rejected it before it ran
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
    """The kind of content of a `ListReceived`."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"  # the last full list that was received, which may be stale
    FAILED = "failed"  # a request failed or the subscription broke; there are no entries


@dataclass(frozen=True, slots=True)
class QueryClass:
    """A class of query: its latency objective, deadline, priority weight, and what may be repeated.

    `aim` is the latency objective. An answer within it earns `worth`, a later one `late_value` times `worth`.
    """

    name: str
    aim: float
    deadline: float
    worth: float
    late_value: float = 0.0
    effect: Effect = Effect.SAFE
    repeat_window: float = 0.0
    need: float = 1.0  # minimum share of the weight for a complete answer
    floor: float = 1.0  # minimum share of the weight for any answer
    # An incomplete answer earns `worth` times this times its share / need.
    partial_value: float = 0.0
    second_step_parts: int = 0

    @property
    def all_parts(self) -> bool:
        """Whether a query of this class is answered only if all of its parts were served."""
        return self.floor >= 1.0


@dataclass(frozen=True, slots=True)
class Rules:
    """Rules of the deployment that every instance must follow.

    A server that is sent more than `fall_multiple` times its current capacity for `fall_time` fails. Within
    each `extra_window` there are at most `extra_floor` further attempts, plus the share `extra_share` of the
    queries and parts that arrived.
    """

    drain_grace: float
    cold_share: float  # minimum share of its capacity that a server has when it starts
    cold_time: float  # maximum time from a server's start until it has its full capacity
    fall_multiple: float
    fall_time: float
    # Maximum interval between requests for the list while there is no subscription (0: no such rule).
    ask_within: float = 0.0
    extra_window: float = 0.0  # 0: no limit on further attempts
    extra_floor: float = 0.0
    extra_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What the caller allows an aggregator to do, with upper bounds."""

    max_attempts: int
    cancelling: bool = False
    probing: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    idle_connection: float = 0.0  # time after which the caller closes idle connections (0: unknown)


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of an aggregator."""

    instances: int
    cells: int  # shard s is held by the servers of cells (s + j) mod cells, j < reach
    reach: int
    parts_per_call: int
    classes: dict[str, QueryClass]
    rules: Rules
    limits: Limits
    must_ask: bool = False  # whether changes of the list arrive only after a `Watch`
    worth_by_work: bool = False  # whether a query earns its worth in proportion to its work
    tick: float = 0.0


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the endpoint list."""

    server: str
    zone: str
    cell: int
    state: ServerState
    size: float = 1.0
    up_since: float = 0.0  # start time of its process (0: long ago)
    kind: str = ""  # kind of machine
    sharers: float = 0.0  # maximum number of instances that send to it while it is cold (0: all)


# A rule of the caller that restricts the candidates for a part, such as a limit for a whole zone. The
# arguments are the time, the candidates, whether the part is safe to repeat (then it may be lost in a trial),
# and whether its query's first step has been answered. It returns the indexes of the candidates that may be
# chosen.
Narrow = Callable[[float, list[ServerEntry], bool, bool], list[int]]


@dataclass(slots=True)
class ListReceived:
    """The endpoint list, changes of it, or a failure to get it."""

    kind: ListKind
    entries: tuple[ServerEntry, ...] = ()


@dataclass(slots=True)
class QueryArrived:
    """A client's query. Its parts arrive as `PartArrived` in the same call."""

    query_id: int
    number: int  # its parts have the same number
    class_name: str
    deadline: float
    tenant: str = ""
    key: str = ""
    effort: float = 0.0  # expected work of all parts (0: unknown)
    retry: bool = False


@dataclass(slots=True)
class PartArrived:
    """A part of a query: the request to one shard."""

    part_id: int
    number: int
    shard: int
    weight: float
    effort: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended; `elapsed` is the time since its send, `load` is the server's load report."""

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
    """A probe of a server ended; `load` is the server's load report."""

    server: str
    outcome: Outcome
    elapsed: float
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class InstancesCounted:
    """A new upper bound of the number of running instances; it replaces `Settings.instances`.

    The event is optional: until the first one, `Settings.instances` applies.
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
    """Start an attempt; sends to one server in one call of `handle` may be combined into one call.

    A part that is not written completely by `not_after` must not be written; its attempt ends as
    `NOT_CONNECTED`.
    """

    part_id: int
    server: str
    timeout: float
    attempt: int = 0  # number of the attempt
    not_after: float = math.inf


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt, because its answer is no longer needed."""

    part_id: int
    attempt: int


@dataclass(slots=True)
class Answer:
    """Answer a query from the parts served. A query of a class with a second step gets two answers."""

    query_id: int
    whole: bool  # whether the answer is complete


@dataclass(slots=True)
class Refuse:
    """Reject a query, as its final answer; repeating it is harmless.

    The client should wait for `retry_after` seconds before it retries (0: no advice).
    """

    query_id: int
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Fail a query, as its final answer. It may or may not have had an effect."""

    query_id: int


@dataclass(slots=True)
class SetTimer:
    """Request one `TimerDue` with this token at this time."""

    at: float
    token: int


@dataclass(slots=True)
class Probe:
    """Request a server's load report; one `ProbeEnded` follows."""

    server: str


@dataclass(slots=True)
class Close:
    """Close the idle connections to a server; a later `Send` to it opens a new one."""

    server: str


@dataclass(slots=True)
class Watch:
    """Request the endpoint list's changes from now on."""


Action = Send | Cancel | Answer | Refuse | Fail | SetTimer | Probe | Close | Watch
