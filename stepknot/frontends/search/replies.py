"""Bodies of answers as the engines write them."""

from __future__ import annotations

from typing import Any

import orjson

from stepknot.broker.query import QueryPart, QueryResult, QueryStatus
from stepknot.net.http import Response, retry_headers
from stepknot.search.errors import RequestError
from stepknot.search.merge import Merged, Target
from stepknot.search.request import Search

Body = dict[str, Any]


def reply(status: int, body: Any, headers: list[tuple[str, str]] | None = None) -> Response:
    return Response(status, orjson.dumps(body), headers or [])


def error_body(status: int, type_: str, reason: str, **more: Any) -> Body:
    cause = {"type": type_, "reason": reason}
    return {"error": {"root_cause": [cause], **cause, **more}, "status": status}


def error_reply(
    status: int, type_: str, reason: str, headers: list[tuple[str, str]] | None = None, **more: Any
) -> Response:
    return reply(status, error_body(status, type_, reason, **more), headers)


def request_error(error: RequestError) -> Response:
    return error_reply(error.status, error.type, error.reason)


def failures(parts: list[QueryPart], targets: list[Target]) -> list[Body]:
    return [
        {
            "shard": target.shard,
            "index": target.index,
            "node": part.server or None,
            "reason": {"type": "no_shard_available_action_exception", "reason": part.reason},
        }
        for part, target in zip(parts, targets, strict=True)
        if not part.served
    ]


def shards_body(parts: list[QueryPart], targets: list[Target]) -> Body:
    served = sum(part.served for part in parts)
    body: Body = {
        "total": len(parts),
        "successful": served,
        "skipped": 0,
        "failed": len(parts) - served,
    }
    if served < len(parts):
        body["failures"] = failures(parts, targets)
    return body


def ending_body(
    result: QueryResult, parts: list[QueryPart], targets: list[Target], what: str
) -> Body:
    """Of a query that was refused or failed."""
    if result.status is QueryStatus.REFUSED:
        return error_body(
            429,
            "rejected_execution_exception",
            f"{what} was refused; nothing of it has taken effect, trying again is harmless",
        )
    return error_body(
        503,
        "no_shard_available_action_exception",
        f"{what} was given up; it may or may not have taken effect",
        failed_shards=failures(parts, targets),
    )


def ending_reply(
    result: QueryResult, parts: list[QueryPart], targets: list[Target], what: str
) -> Response:
    body = ending_body(result, parts, targets, what)
    return reply(body["status"], body, retry_headers(result.retry_after))


def search_body(
    search: Search,
    merged: Merged,
    took: float,
    shards: Body,
    whole: bool,
    documents: dict[tuple[Target, str], Body] | None,
    lost: int,
) -> Body:
    """`documents`: what the second step brought; None where the first step's hits carry all."""
    rows = []
    for target, row in merged.rows:
        hit = dict(row)
        if documents is not None:
            fetched = documents.get((target, hit["_id"]))
            if fetched is None:
                continue
            if "_source" in fetched:
                hit["_source"] = fetched["_source"]
        hit.setdefault("_score", None)
        rows.append(hit)
    hits: Body = {"max_score": merged.max_score, "hits": rows}
    if search.total is not False:
        hits = {
            "total": {"value": merged.total, "relation": "eq" if merged.exact else "gte"},
            **hits,
        }
    body: Body = {
        "took": int(took * 1000),
        "timed_out": not whole and shards["failed"] > 0,
        "_shards": shards,
        "hits": hits,
    }
    if lost:
        body["_shards"] = {
            **shards,
            "failures": [
                *shards.get("failures", []),
                {
                    "shard": -1,
                    "reason": {
                        "type": "fetch_phase_execution_exception",
                        "reason": f"{lost} hits of the page could not be fetched",
                    },
                },
            ],
        }
        body["_shards"]["failed"] = max(shards["failed"], 1)
        body["_shards"]["successful"] = min(shards["successful"], shards["total"] - 1)
    if search.aggs:
        body["aggregations"] = merged.aggregations
    return body
