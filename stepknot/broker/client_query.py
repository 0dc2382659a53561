"""A query's client and its outcome, for frontends."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepknot.broker.query import QueryPart, QueryResult
from stepknot.search.merge import Merged, Target

CLASS_HEADER, TENANT_HEADER, NAME_HEADER = "x-query-class", "x-tenant", "x-opaque-id"
MAX_NAME = 128  # characters of the name that a client gives its query


@dataclass(frozen=True, slots=True)
class ClientInfo:
    """The client of a query, and what it specified for the query."""

    seconds: float | None = None  # the client's timeout; None: only the class's deadline applies
    tenant: str = ""
    name: str = ""  # identifies the query in logs and at nodes
    class_name: str = ""  # "" for the class of the operation
    arrived: float | None = None  # by the loop's clock, if the request waited before it was read

    def started(self, now: float) -> float:
        """The time from which the client's timeout counts."""
        return now if self.arrived is None else self.arrived


def accepted_name(name: str) -> str:
    """The client's name for its query, truncated to `MAX_NAME`; "" if it is not printable ASCII."""
    name = name[:MAX_NAME]
    return name if name.isascii() and name.isprintable() else ""


@dataclass(frozen=True, slots=True)
class Coverage:
    """How much of its shards a query's answer covers."""

    requested: int  # number of parts in the first step
    answered: int  # number of these parts that were served
    complete: bool  # whether all parts were served, and no document of the second step is missing
    missing: tuple[Target, ...] = ()  # shards that did not answer


@dataclass(slots=True)
class QueryOutcome:
    """How a query ended, for a frontend."""

    result: QueryResult | None  # None if the client disconnected
    parts: list[QueryPart]  # of the first step, one for each target
    targets: list[Target]
    took: float  # seconds
    merged: Merged | None = None  # the page of an answered search
    documents: dict[tuple[Target, str], dict[str, Any]] | None = None
    lost: int = 0  # hits of the page whose documents are missing from the second step's answers
    in_time: bool = True  # whether it ended before its deadline

    @property
    def answered(self) -> bool:
        """Whether there is an answer and it may still be sent to the client."""
        return self.result is not None and self.result.is_answered and self.in_time

    def coverage(self) -> Coverage:
        """How much of the shards the answer covers."""
        missing = tuple(
            target for part, target in zip(self.parts, self.targets, strict=True) if not part.served
        )
        requested = len(self.parts)
        complete = not missing and not self.lost
        return Coverage(requested, requested - len(missing), complete, missing)
