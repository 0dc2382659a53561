"""Queries, their parts, attempts and results, as frontends and the core exchange them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from stepknot.net.tasks import Future
from stepknot.nodes.transport import OutgoingAttempt

# Decodes the payload of a part's reply; raises ValueError if the payload does not answer the part's request.
ReadAnswer = Callable[[Any], Any]


class QueryStatus(Enum):
    """How a query ended for its client."""

    ANSWERED = "answered"
    REFUSED = "refused"  # the client may safely retry
    FAILED = "failed"  # it may or may not have been carried out


@dataclass(slots=True, eq=False)
class QueryPart:
    """A part of a query: its shard, its request, the decoder of its answer, and its outcome."""

    shard: int  # number among all shards of the fleet
    weight: float
    request: Any  # in the form that the transport sends
    read_answer: ReadAnswer
    effort: float = 0.0  # expected work in seconds, 0 if unknown
    part_id: int = 0
    answer: Any = None
    served: bool = False
    server: str = ""
    attempts: int = 0
    reason: str = "not asked"  # why it is not served


@dataclass(slots=True, eq=False)
class Query:
    """A query for the core. `make_second_step` makes the second step's parts from the first step's parts."""

    class_name: str
    deadline: float  # by the loop's clock
    parts: list[QueryPart]  # the first step's parts
    make_second_step: Callable[[list[QueryPart]], list[QueryPart]] | None = None
    tenant: str = ""
    key: str = ""
    name: str = ""  # identifies the query in logs and at nodes
    effort: float = 0.0  # expected work of all parts in seconds, 0 if unknown
    retry: bool = False  # whether the client marked it as a retry
    query_id: int = 0
    step: int = 1
    second_parts: list[QueryPart] = field(default_factory=list)
    first_step_complete: bool = False
    arrived: float = 0.0
    done: Future = field(default_factory=Future)  # its QueryResult, None if its client disconnected


@dataclass(frozen=True, slots=True)
class QueryResult:
    """How a query ended."""

    status: QueryStatus
    complete: bool = False  # whether all parts were served
    retry_after: float = 0.0  # seconds after which the client is advised to retry, 0 for no advice

    @property
    def is_answered(self) -> bool:
        """Whether there is an answer, complete or not."""
        return self.status is QueryStatus.ANSWERED


@dataclass(slots=True, eq=False)
class Attempt(OutgoingAttempt):
    """An attempt to serve a part at one node: the transport's data, and the part and query that it belongs to."""

    part: QueryPart = field(kw_only=True)
    query: Query = field(kw_only=True)
    number: int = field(kw_only=True)
    server: str = field(kw_only=True)
    sent: float = field(kw_only=True)  # when it was started, by the loop's clock
