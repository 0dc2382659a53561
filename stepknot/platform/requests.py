"""A client's request decoded to a query, and a query's result encoded as a response, without I/O.

A request that is malformed raises `BadRequestError` with the status of its answer. It does not reach
the decision module.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from itertools import islice
from typing import Any, TypeGuard
from urllib.parse import unquote_to_bytes

import orjson

from stepknot.broker.query import Query, QueryPart, QueryResult, QueryStatus
from stepknot.interface import Effect, QueryClass
from stepknot.net.http import Request, Response
from stepknot.platform.errors import BadRequestError
from stepknot.platform.frames import CallPart

IDENTIFIER = re.compile(r"[0-9A-Za-z_-]{1,64}\Z")
DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])\Z")
AFFINITY_KEY = re.compile(r"[0-9a-f]{16}\Z")
MICROSECOND = 1e-6  # in seconds: the unit of a part's work
UNITS = {"m": 1e-3, "u": MICROSECOND}  # of a duration, in seconds
MAX_ROUNDING = 1e-3  # by which the sum of weights may differ from 1
MAX_TEXT_BYTES = 32 * 1024  # each part carries the text
JSON = "application/json"
IDENTIFIER_HEADER = "x-txn"  # a query's identifier


@dataclass(frozen=True, slots=True)
class Catalog:
    """What clients may query: the classes of queries by name, and how many shards there are."""

    classes: dict[str, QueryClass]
    shard_count: int


def parse_query(request: Request, catalog: Catalog, arrived: float) -> Query:
    """Decode the query in a request.

    Args:
        request: complete, as HTTP has it.
        catalog: what may be queried.
        arrived: when the request arrived, by the loop's clock; the client's time runs from then.

    Raises:
        BadRequestError: the request is malformed or names what does not exist.
    """
    headers = request.headers
    query_class = find_query_class(request.path, catalog.classes)
    if query_class is None:
        raise BadRequestError(404, "no such class of query")
    if request.method != "POST":
        raise BadRequestError(405, "a query is a POST")
    name = headers.get(IDENTIFIER_HEADER, "")
    if not IDENTIFIER.match(name):
        raise BadRequestError(400, "x-txn: expected an id of 64 letters and digits at the most")
    key = _read_idempotency_key(headers, query_class)
    remaining = parse_duration(headers.get("x-remaining"))
    parts, text = _parse_body(request.body, catalog.shard_count)
    for part in parts:
        part.request = CallPart(f"{name}.{part.shard}".encode(), part.shard, text, key)
    efforts = [part.effort for part in parts]
    return Query(
        query_class.name,
        arrived + min(remaining, query_class.deadline),
        parts,
        name=name,
        effort=sum(efforts) if all(efforts) else 0.0,
        retry=headers.get("x-resent") == "1",
    )


def find_query_class(path: str, classes: dict[str, QueryClass]) -> QueryClass | None:
    """The class that the path's first segment names, as it stands or percent-decoded.

    A name may contain any character. Where it has a slash that was not escaped, the first segments
    together name it.
    """
    path = path.removeprefix("/")
    max_slashes = max((name.count("/") for name in classes), default=0)
    for end in islice(re.finditer("/|$", path), max_slashes + 1):
        name = path[: end.start()]
        found = classes.get(name) or classes.get(
            unquote_to_bytes(name.encode("latin-1")).decode("utf-8", "replace")
        )
        if found is not None:
            return found
    return None


def parse_duration(text: str | None) -> float:
    """Decode the header with the client's remaining time; returns seconds.

    Raises:
        BadRequestError: it is missing or malformed.
    """
    found = DURATION.match(text or "")
    if not found:
        raise BadRequestError(400, "x-remaining: expected a number and a unit, m or u")
    return float(found[1]) * UNITS[found[2]]


def build_response(ask: Query, result: QueryResult) -> Response:
    """The final answer to a query.

    200 with the parts that were served and whether they are complete; 503 where no part had an effect
    and the client may retry; 500 where a part may have had one.
    """
    if result.status is QueryStatus.ANSWERED:
        rows = [
            {"segment": part.shard, "payload": part.answer} for part in ask.parts if part.served
        ]
        body = orjson.dumps({"all_in": result.complete, "matches": rows})
        return Response(200, body, content_type=JSON)
    if result.status is QueryStatus.REFUSED:
        reason = "turned away, trying again is harmless"
        return build_error_response(503, reason, retry_after_headers(result.retry_after))
    return build_error_response(500, "given up, it may have run")


def build_error_response(
    status: int, reason: str, headers: list[tuple[str, str]] | None = None
) -> Response:
    """An answer that has a reason and no result."""
    return Response(status, orjson.dumps({"error": reason}), headers or [], JSON)


def retry_after_headers(seconds: float) -> list[tuple[str, str]]:
    """The header that says when to retry, rounded up to milliseconds; none for 0."""
    if not seconds:
        return []
    return [("retry-after", f"{math.ceil(seconds * 1000) / 1000:.3f}")]


def _read_idempotency_key(headers: dict[str, str], query_class: QueryClass) -> str:
    """The key of a query whose class has keys, else an empty one."""
    if query_class.effect is not Effect.KEYED:
        return ""
    key = headers.get("idempotency-key", "")
    if not IDENTIFIER.match(key):
        raise BadRequestError(
            400, "idempotency-key: expected one in this class, 64 letters and digits at the most"
        )
    return key


def _parse_body(data: bytes, shard_count: int) -> tuple[list[QueryPart], bytes]:
    """The query's parts and its text."""
    try:
        body = orjson.loads(data)
    except ValueError as error:
        raise BadRequestError(400, "the body is not JSON") from error
    if (
        not isinstance(body, dict)
        or not isinstance(body.get("text"), str)
        or not isinstance(body.get("segments"), list)
        or not body["segments"]
    ):
        raise BadRequestError(400, "expected segments and a text")
    text = body["text"].encode()
    if len(text) > MAX_TEXT_BYTES:
        raise BadRequestError(413, f"text is over {MAX_TEXT_BYTES} bytes")
    if len(body["segments"]) > shard_count:
        raise BadRequestError(400, "a segment is named twice")
    parts = [_parse_segment(each, shard_count) for each in body["segments"]]
    if len({part.shard for part in parts}) < len(parts):
        raise BadRequestError(400, "a segment is named twice")
    _normalize_weights(parts)
    return parts, text


def _normalize_weights(parts: list[QueryPart]) -> None:
    """Make the weights add up to 1, so that all parts together are complete however they were rounded."""
    total = math.fsum(part.weight for part in parts)
    if abs(total - 1) > MAX_ROUNDING:
        raise BadRequestError(400, "the segments' shares do not add up to 1")
    for part in parts:
        part.weight /= total


def _parse_segment(row: Any, shard_count: int) -> QueryPart:
    if not isinstance(row, dict):
        raise BadRequestError(400, "a segment is an object")
    shard, weight, work = row.get("segment"), row.get("boost"), row.get("work", 0)
    if not _is_shard(shard, shard_count):
        raise BadRequestError(400, f"segment: expected a number under {shard_count}")
    if not _is_finite_number(weight) or not 0 < weight <= 1 + MAX_ROUNDING:
        raise BadRequestError(400, "boost: expected a share over 0, 1 at the most")
    if not _is_finite_number(work) or work < 0:
        raise BadRequestError(400, "work: expected microseconds")
    affinity = row.get("affinity")
    if affinity is not None and (not isinstance(affinity, str) or not AFFINITY_KEY.match(affinity)):
        raise BadRequestError(400, "affinity: expected 16 hex digits")
    return QueryPart(shard, float(weight), None, str, effort=float(work) * MICROSECOND)


def _is_shard(value: Any, shard_count: int) -> TypeGuard[int]:
    return type(value) is int and 0 <= value < shard_count


def _is_finite_number(value: Any) -> TypeGuard[float]:
    return type(value) in (int, float) and math.isfinite(value)
