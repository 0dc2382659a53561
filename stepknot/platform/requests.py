"""A client's request to a query, and a query's end to an answer, without I/O.

What a strict reader would not take is a `BadRequest` with the status it is owed, and never reaches the module.
"""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from typing import Any, TypeGuard
from urllib.parse import unquote_to_bytes

import orjson

from stepknot.broker.core import Ask, QueryPart, Result, Status
from stepknot.interface import Effect, QueryClass
from stepknot.net.http import Request, Response
from stepknot.platform.frames import Part

ID = re.compile(r"[0-9A-Za-z_-]{1,64}\Z")
TIME = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)([mu])\Z")
AFFINITY = re.compile(r"[0-9a-f]{16}\Z")
UNITS = {"m": 1e-3, "u": 1e-6}
MICRO = 1e-6  # the unit of a part's work
ROUNDING = 1e-3  # by which weights may miss 1
MOST_TEXT = 32 * 1024  # bytes: each part carries it
MEMBERS = {"segment", "boost", "work", "affinity"}


class BadRequest(Exception):
    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(frozen=True, slots=True)
class Offer:
    """What there is to ask for."""

    classes: dict[str, QueryClass]
    shards: int


def number(value: Any) -> TypeGuard[float]:
    return type(value) in (int, float) and math.isfinite(value)


def read_time(text: str | None) -> float:
    found = TIME.match(text or "")
    if not found:
        raise BadRequest(400, "x-remaining: expected a number and a unit, m or u")
    return float(found[1]) * UNITS[found[2]]


def find_class(path: str, classes: dict[str, QueryClass]) -> QueryClass | None:
    """The class that the path's first part names, as it stands or with its escapes undone. A name may hold any
    character: where it has a slash that was not escaped, the first parts together name it."""
    path = path.removeprefix("/")
    for end in re.finditer("/|$", path):
        name = path[: end.start()]
        kind = classes.get(name) or classes.get(
            unquote_to_bytes(name.encode("latin-1")).decode("utf-8", "replace")
        )
        if kind is not None:
            return kind
    return None


def read_ask(request: Request, offer: Offer, arrived: float) -> Ask:
    """The query that the request asks. Its time runs from `arrived`."""
    head = request.headers
    kind = find_class(request.path, offer.classes)
    if kind is None:
        raise BadRequest(404, "no such class of query")
    if request.method != "POST":
        raise BadRequest(405, "a query is a POST")
    name, key = head.get("x-txn", ""), head.get("idempotency-key", "")
    if not ID.match(name):
        raise BadRequest(400, "x-txn: expected an id of 64 letters and digits at the most")
    if kind.effect is not Effect.KEYED:
        key = ""
    elif not ID.match(key):
        raise BadRequest(
            400, "idempotency-key: expected one in this class, 64 letters and digits at the most"
        )
    remaining = read_time(head.get("x-remaining"))
    parts, text = read_body(request.body, offer.shards)
    for part in parts:
        part.request = Part(f"{name}.{part.shard}".encode(), part.shard, text, key)
    efforts = [part.effort for part in parts]
    return Ask(
        kind.name,
        arrived + min(remaining, kind.deadline),
        parts,
        name=name,
        effort=sum(efforts) if all(efforts) else 0.0,
        retry=head.get("x-resent") == "1",
    )


def read_body(data: bytes, shards: int) -> tuple[list[QueryPart], bytes]:
    try:
        body = orjson.loads(data)
    except ValueError:
        raise BadRequest(400, "the body is not JSON") from None
    if (
        not isinstance(body, dict)
        or not isinstance(body.get("text"), str)
        or not isinstance(body.get("segments"), list)
        or not body["segments"]
    ):
        raise BadRequest(400, "expected segments and a text")
    text = body["text"].encode()
    if len(text) > MOST_TEXT:
        raise BadRequest(413, f"text is over {MOST_TEXT} bytes")
    parts = [read_segment(each, shards) for each in body["segments"]]
    if len({part.shard for part in parts}) < len(parts):
        raise BadRequest(400, "a segment is named twice")
    total = math.fsum(part.weight for part in parts)
    if abs(total - 1) > ROUNDING:
        raise BadRequest(400, "the segments' shares do not add up to 1")
    for (
        part
    ) in parts:  # what was rounded on the way would keep all parts together from being the whole
        part.weight /= total
    return parts, text


def read_segment(row: Any, shards: int) -> QueryPart:
    if not isinstance(row, dict):
        raise BadRequest(400, "a segment is an object")
    shard, weight, work = row.get("segment"), row.get("boost"), row.get("work", 0)
    if not isinstance(shard, int) or shard is True or shard is False or not 0 <= shard < shards:
        raise BadRequest(400, f"segment: expected a number under {shards}")
    if not number(weight) or not 0 < weight <= 1 + ROUNDING:
        raise BadRequest(400, "boost: expected a share over 0, 1 at the most")
    if not number(work) or work < 0:
        raise BadRequest(400, "work: expected microseconds")
    affinity = row.get("affinity")
    if affinity is not None and (not isinstance(affinity, str) or not AFFINITY.match(affinity)):
        raise BadRequest(400, "affinity: expected 16 hex digits")
    return QueryPart(shard, float(weight), None, str, effort=float(work) * MICRO)


def make_answer(ask: Ask, result: Result) -> Response:
    """The final answer: what is in and whether it is whole; or refused, with advice when to return; or failed."""
    if result.status is Status.ANSWERED:
        rows = [
            {"segment": part.shard, "payload": part.answer} for part in ask.first if part.served
        ]
        return Response(
            200,
            orjson.dumps({"all_in": result.whole, "matches": rows}),
            content_type="application/json",
        )
    if result.status is Status.REFUSED:
        return error_answer(
            503, "turned away, trying again is harmless", advice(result.retry_after)
        )
    return error_answer(500, "given up, it may have run")


def advice(seconds: float) -> list[tuple[str, str]]:
    """When to return, never sooner than said."""
    return [("retry-after", f"{math.ceil(seconds * 1000) / 1000:.3f}")] if seconds else []


def error_answer(
    status: int, reason: str, headers: list[tuple[str, str]] | None = None
) -> Response:
    return Response(status, orjson.dumps({"error": reason}), headers or [], "application/json")
