"""A query, its parts, its attempts and its result, as frontends hand them to the core and get them back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from stepknot.net.tasks import Future
from stepknot.nodes.transport import OutgoingAttempt

# Reads a part's payload. It raises ValueError where the payload is not an answer to what was asked.
ReadAnswer = Callable[[Any], Any]


class QueryStatus(Enum):
    """How a query ended for its client."""

    ANSWERED = "answered"
    REFUSED = "refused"  # trying again is harmless
    FAILED = "failed"  # it may have run: no promise


@dataclass(slots=True, eq=False)
class QueryPart:
    """A part of a query: what it asks, how its answer is read, and what became of it."""

    shard: int  # among the fleet's
    weight: float
    request: Any  # in the transport's terms
    read_answer: ReadAnswer
    effort: float = 0.0  # expected seconds of work, 0: unknown
    part_id: int = 0
    answer: Any = None
    served: bool = False
    server: str = ""
    attempts: int = 0
    reason: str = "not asked"  # why it is not served


@dataclass(slots=True, eq=False)
class Query:
    """A query handed to the core. `make_second_step` makes the second step's parts from the first one's."""

    class_name: str
    deadline: float  # by the loop's clock
    parts: list[QueryPart]  # of the first step
    make_second_step: Callable[[list[QueryPart]], list[QueryPart]] | None = None
    tenant: str = ""
    key: str = ""
    name: str = ""  # in logs and at nodes
    effort: float = 0.0  # expected seconds of work of all parts, 0: unknown
    retry: bool = False  # its client says that it asks again
    query_id: int = 0
    step: int = 1
    second_parts: list[QueryPart] = field(default_factory=list)
    first_step_complete: bool = False
    arrived: float = 0.0
    done: Future = field(default_factory=Future)  # set to its QueryResult, or None


@dataclass(frozen=True, slots=True)
class QueryResult:
    """A query's end. `complete`: nothing is missing; `retry_after`: advice in seconds, 0 for none."""

    status: QueryStatus
    complete: bool = False
    retry_after: float = 0.0

    @property
    def is_answered(self) -> bool:
        """Whether there is an answer, complete or not."""
        return self.status is QueryStatus.ANSWERED


@dataclass(slots=True, eq=False)
class Attempt(OutgoingAttempt):
    """An attempt in flight: what the transport knows of it, and whose it is."""

    part: QueryPart = field(kw_only=True)
    query: Query = field(kw_only=True)
    number: int = field(kw_only=True)
    server: str = field(kw_only=True)
    sent: float = field(kw_only=True)  # by the loop's clock
