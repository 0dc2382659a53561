"""What an aggregator keeps of servers, parts, queries and attempts: plain fields."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from stepknot.interface import QueryClass, ServerEntry


@dataclass(slots=True, eq=False)
class Call:
    turn: int  # in which it was formed
    idle: bool = False  # it goes on a connection that was idle for long
    noted: bool = False  # it is known whether a part of it came back in time
    sent: int = 0  # parts that travel in it
    out: int = 0  # those of them not ended


@dataclass(slots=True, eq=False)
class Share:
    """Of what a cold server bears. It outlives the entry: a server that comes back was not forgotten."""

    luck: float | None = None  # from 0 to 1, drawn once: what a fraction of a part is worth here
    # When parts were sent there while it was cold, lately, and the work that each was.
    spent: deque[tuple[float, float]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class Capsule:
    """What this aggregator knows of one server, or of all together."""

    entry: ServerEntry
    calls: set[Call] = field(default_factory=set)  # those out
    call: Call = field(default_factory=lambda: Call(-1))  # the last one formed
    share: Share = field(default_factory=lambda: Share())
    heard: int = 0  # responses, the last of them when, and the recent means of
    heard_at: float = 0.0
    mean: float = 0.0  # the time they took
    out: float = 1.0  # what was out there with the part
    others: float = 0.0  # what it reported to hold beside this aggregator's parts, and when
    told: float = -math.inf
    asked: bool = False  # a question is out
    answered: float = 0.0  # when the last answer came
    answered_sent: float = 0.0  # when the latest sent of all that was answered was sent
    unheeded: dict[str, tuple[float, float]] = field(
        default_factory=dict
    )  # by class: share lost, when
    silent_since: float = (
        math.inf
    )  # something was sent there then, or waited on, and nothing came back since
    watched: bool = False  # a timer looks at that
    used: float = math.inf  # when a connection there was last used
    gap: float = 0.0  # how long nothing was sent there before the last call
    failures: list[float] = field(default_factory=list)  # until when each counts as out


@dataclass(slots=True, eq=False)
class Part:
    part_id: int
    shard: int
    weight: float
    tried: list[str] = field(default_factory=list)  # the server of each attempt
    out: int = 0
    served: bool = False
    may_have_run: bool = False
    may_run_since: float | None = None  # the first send that is not known to have never run


@dataclass(slots=True, eq=False)
class Query:
    query_id: int
    number: int
    kind: QueryClass
    arrived: float
    last: float  # when its final answer must be given
    late: bool = False  # it waits on past its wait's end
    wait_end: float = 0.0
    step: list[Part] = field(default_factory=list)  # the present step's parts
    first: list[Part] = field(default_factory=list)  # the first step's, once it is answered
    first_whole: bool = True
    favour: float = 1.0
    ask_end: float | None = None  # until when it waits for its replicas' reports


@dataclass(slots=True, eq=False)
class Attempt:
    capsule: Capsule
    call: Call
    part: Part
    query: Query
    out: float  # what was out there with it
    sent: float
    wait: float
    noted: bool = False  # it is known whether it came back in time
    overdue: bool = False  # so many means went by
