"""Records of one aggregator: servers, parts, queries and attempts. Plain state, no decisions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from stepknot.interface import QueryClass, ServerEntry

AttemptKey = tuple[int, int]  # part and number of an attempt, as in the caller's events


@dataclass(slots=True, eq=False)
class Call:
    """Parts that travel together to one server, formed in one turn."""

    turn: int  # number of the turn in which it was formed
    on_idle_connection: bool = False  # nothing was sent there for long before
    is_sampled: bool = False  # its end was counted for the state of idle connections
    parts: int = 0  # that travel in it
    parts_out: int = 0  # those of them that have not ended


@dataclass(slots=True, eq=False)
class DecayingShare:
    """A share between 0 and 1 that is forgotten with time."""

    share: float
    noted_at: float


@dataclass(slots=True, eq=False)
class WorkEstimate:
    """What a part costs a server, in seconds, and from how many responses that is known."""

    responses: int
    seconds: float


@dataclass(slots=True, eq=False)
class ColdQuota:
    """What was sent to a server that warms up.

    It outlives the entry: a server that leaves the list and comes back brings no fresh quota.
    """

    draw: float | None = None  # 0 to 1, drawn once: what the fraction of a part is worth here
    spent: deque[tuple[float, float]] = field(default_factory=deque)  # time and work of each part


@dataclass(slots=True, eq=False)
class Capsule:
    """What this aggregator knows of one server, or of all servers together."""

    entry: ServerEntry
    calls: set[Call] = field(default_factory=set)  # those out; their number is n
    last_call: Call = field(default_factory=lambda: Call(-1))  # the last one that was formed
    quota: ColdQuota = field(default_factory=ColdQuota)
    # Recent means over responses.
    responses: int = 0
    last_response_at: float = 0.0
    mean_time: float = 0.0  # seconds
    mean_out: float = 1.0  # what was out there when the part was sent
    # Load reports.
    others: float = 0.0  # parts of other aggregators there, by the last report
    reported_at: float = -math.inf
    probe_out: bool = False  # a probe of its load has not ended
    # Signs of life.
    answered_at: float = 0.0  # when the last part was served
    latest_answered_send: float = 0.0  # the latest send time of all parts that were served
    unanswered_since: float = math.inf  # since then something is out and nothing came back
    has_silence_timer: bool = False
    class_losses: dict[str, DecayingShare] = field(default_factory=dict)  # by class
    # Sends.
    last_used_at: float = math.inf  # when a connection there was last used
    send_gap: float = 0.0  # seconds in which nothing was sent there before the last call
    failures: list[float] = field(default_factory=list)  # until when each one counts as out


@dataclass(slots=True, eq=False)
class Part:
    """One part of a query, over all its attempts."""

    part_id: int
    shard: int
    weight: float
    servers: list[str] = field(default_factory=list)  # the server of each attempt
    attempts_out: int = 0
    is_served: bool = False
    may_have_run: bool = False  # by the outcome of an attempt that ended
    may_run_since: float | None = None  # the first send that is not known to have never run


@dataclass(slots=True, eq=False)
class Query:
    """One query that has no final answer yet."""

    query_id: int
    number: int
    query_class: QueryClass
    arrived_at: float
    answer_by: float  # when its final answer must be given
    is_late: bool = False  # it waits on beyond the end of its wait
    wait_end: float = 0.0
    parts: list[Part] = field(default_factory=list)  # of the present step
    first_parts: list[Part] = field(default_factory=list)  # of the first step, once answered
    first_complete: bool = True
    priority: float = 1.0  # factor on beta
    probe_deadline: float | None = None  # until when it waits for its replicas' load reports


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a part at one server."""

    capsule: Capsule
    call: Call
    part: Part
    query: Query
    out: float  # what was out there with it
    sent_at: float
    wait: float
    is_sampled: bool = False  # its end was counted for the server's kind and zone
    is_overdue: bool = False
