"""A client's query as a frontend sees it: who sends it, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepknot.broker.query import QueryPart, QueryResult
from stepknot.search.merge import Merged, Target

CLASS_HEADER, TENANT_HEADER, NAME_HEADER = "x-query-class", "x-tenant", "x-opaque-id"
MAX_NAME = 128  # characters of a client's own name for a query


@dataclass(frozen=True, slots=True)
class ClientInfo:
    """A query's client. `seconds`: how long it waits from now on, None for its class's deadline."""

    seconds: float | None = None
    tenant: str = ""
    name: str = ""  # of the query, in logs and at nodes
    class_name: str = ""  # "": the class of the operation
    arrived: float | None = None  # by the loop's clock, where the request waited before it was read

    def begun(self, now: float) -> float:
        """When the client's time began to run."""
        return now if self.arrived is None else self.arrived


def accepted_name(name: str) -> str:
    """The client's own name for its query, cut to the bound; "" where it is not printable ASCII."""
    name = name[:MAX_NAME]
    return name if name.isascii() and name.isprintable() else ""


@dataclass(frozen=True, slots=True)
class Coverage:
    """What of its shards a query's answer covers."""

    requested: int  # parts of its first step
    answered: int  # of these
    complete: bool  # nothing is missing, also of the second step
    missing: tuple[Target, ...] = ()  # shards that did not answer


@dataclass(slots=True)
class QueryOutcome:
    """A query's end for a frontend: the result, its parts beside their shards, the page where it was answered."""

    result: QueryResult | None  # None: its client disconnected
    parts: list[QueryPart]
    targets: list[Target]
    took: float  # seconds
    merged: Merged | None = None
    documents: dict[tuple[Target, str], dict[str, Any]] | None = None
    lost: int = 0  # hits of the page that the second step did not bring
    in_time: bool = True

    @property
    def answered(self) -> bool:
        """Whether there is an answer that its client may still be given."""
        return self.result is not None and self.result.is_answered and self.in_time

    def coverage(self) -> Coverage:
        """What of the shards the answer covers."""
        missing = tuple(
            target for part, target in zip(self.parts, self.targets, strict=True) if not part.served
        )
        requested = len(self.parts)
        complete = not missing and not self.lost
        return Coverage(requested, requested - len(missing), complete, missing)
