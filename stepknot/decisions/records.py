"""The state of one aggregator: servers, parts, queries and attempts. These classes make no decisions.

The entries and classes they refer to are those of `stepknot/interface.py`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from stepknot.interface import QueryClass, ServerEntry

AttemptKey = tuple[int, int]  # part_id and number of the attempt, as in the caller's events


@dataclass(slots=True, eq=False)
class Call:
    """Parts that are sent together to one server in one turn."""

    turn: int  # number of the turn in which the call was created
    on_idle_connection: bool = False  # nothing was sent to the server for long before the call
    is_sampled: bool = False  # whether its end was counted in the losses by state of the connection
    parts: int = 0  # number of parts in the call
    parts_in_flight: int = 0  # number of its parts that have not ended


NO_CALL = Call(-1)  # of no turn, so that no part joins it


@dataclass(slots=True, eq=False)
class DecayingShare:
    """A share between 0 and 1 that decays towards 0 with time."""

    share: float  # at `updated_at`
    updated_at: float


@dataclass(slots=True, eq=False)
class WorkEstimate:
    """An estimate of a part's work at a server, in seconds, and the number of responses behind it."""

    responses: int
    seconds: float


@dataclass(slots=True, eq=False)
class ColdQuota:
    """The parts that were sent to a server that is warming up.

    It is kept when the entry is removed: a server that leaves the list and returns gets no new quota.
    """

    # Random number, 0 to 1, that decides on a fraction of a part; drawn once.
    draw: float | None = None
    # Time and work of each part. A list: an empty deque has 0.7 KiB, and most servers never get one.
    spent: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Capsule:
    """This aggregator's state for one server, or for all servers together."""

    entry: ServerEntry
    calls: set[Call] = field(default_factory=set)  # calls in flight; their number is n
    # Attempts that were sent and have not ended.
    attempts: dict[AttemptKey, Attempt] = field(default_factory=dict)
    last_call: Call = NO_CALL  # the call that was created last
    quota: ColdQuota = field(default_factory=ColdQuota)
    # Moving averages over responses.
    responses: int = 0  # number of responses in the averages
    last_response_at: float = 0.0
    mean_time: float = 0.0  # mean response time in seconds
    mean_in_flight: float = 1.0  # mean number of calls in flight when a part was sent
    # Load reports. For the fleet, `reported_others` is the moving average over all reports.
    reported_others: float = 0.0  # other aggregators' parts at the server, by the last report
    reported_at: float = -math.inf
    is_probe_pending: bool = False  # whether a probe of its load has not ended
    # Responsiveness.
    last_served_at: float = 0.0  # when a part was last served
    latest_served_sent_at: float = 0.0  # the latest send time of all parts that were served
    unanswered_since: float = math.inf  # start of the time with calls in flight and no response
    has_response_timer: bool = False  # whether a timer is set that checks for responses
    class_losses: dict[str, DecayingShare] = field(default_factory=dict)  # by class
    # Sends.
    last_used_at: float = math.inf  # when a connection to the server was last used
    send_gap: float = 0.0  # seconds without a send to the server before the last call
    failures: list[float] = field(default_factory=list)  # when each remembered failure expires


@dataclass(slots=True, eq=False)
class Part:
    """One part of a query, with all its attempts."""

    part_id: int
    shard: int
    weight: float
    servers: list[str] = field(default_factory=list)  # the server of each attempt
    attempts_in_flight: int = 0
    is_served: bool = False
    may_have_run: bool = False  # whether the outcome of an ended attempt leaves this possible
    # Time of the first send, unless it is known that none has run.
    may_run_since: float | None = None


@dataclass(slots=True, eq=False)
class Query:
    """One query that has no final answer yet."""

    query_id: int
    number: int
    query_class: QueryClass
    arrived_at: float
    answer_by: float  # the latest time for its final answer
    is_late: bool = False  # whether its wait was extended for a late answer
    wait_end: float = 0.0
    parts: list[Part] = field(default_factory=list)  # parts of the current step
    first_parts: list[Part] = field(default_factory=list)  # parts of the first step, once answered
    first_complete: bool = True  # whether the answer of the first step was complete
    priority: float = 1.0  # factor applied to beta
    probe_deadline: float | None = None  # end of its wait for its replicas' load reports


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a part at one server."""

    capsule: Capsule
    call: Call
    part: Part
    query: Query
    in_flight_at_send: float  # calls in flight at the server, including this one and others' parts
    sent_at: float
    wait: float
    is_sampled: bool = False  # whether its end was counted in the losses by kind and zone
    is_overdue: bool = False
