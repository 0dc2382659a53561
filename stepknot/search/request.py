"""A search as the broker knows it: parsed from a body and URL parameters, and turned into what shards are asked."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from stepknot.search.aggs import Agg, parse_aggs, shard_request
from stepknot.search.dsl import MatchAll, Node, parse_query
from stepknot.search.errors import ParsingError, RequestError, unsupported

BODY_KEYS = (
    "query",
    "from",
    "size",
    "sort",
    "search_after",
    "_source",
    "aggs",
    "aggregations",
    "track_total_hits",
    "timeout",
    "track_scores",
)
DEFAULT_SIZE, DEFAULT_TOTAL = 10, 10_000
TIME_UNITS = {
    "nanos": 1e-9,
    "micros": 1e-6,
    "ms": 1e-3,
    "s": 1.0,
    "m": 60.0,
    "h": 3600.0,
    "d": 86400.0,
}
Source = bool | tuple[tuple[str, ...], tuple[str, ...]]  # all or none, or patterns in and out


@dataclass(frozen=True, slots=True)
class SortKey:
    field: str
    descending: bool = False
    missing_first: bool = False


@dataclass(frozen=True, slots=True)
class Search:
    """One search over all its shards."""

    query: Node
    query_body: Any
    start: int = 0
    size: int = DEFAULT_SIZE
    sort: tuple[SortKey, ...] = ()  # none: by score
    search_after: tuple[Any, ...] | None = None
    source: Source = True
    aggs: tuple[Agg, ...] = ()
    total: int | bool = DEFAULT_TOTAL  # counted up to this; True: all; False: not at all
    timeout: float | None = None  # seconds
    track_scores: bool = False


def seconds_of(value: Any, where: str) -> float | None:
    """A time as the engines write it; -1 is none."""
    if value in (-1, "-1"):
        return None
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(nanos|micros|ms|s|m|h|d)", str(value))
    if not found:
        raise ParsingError(
            f"failed to parse [{where}] with value [{value}] as a time value: "
            "unit is missing or unrecognized"
        )
    return float(found[1]) * TIME_UNITS[found[2]]


def whole(value: Any, where: str, least: int = 0) -> int:
    if isinstance(value, str) and value.lstrip("-").isdigit():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise RequestError(f"[{where}] must be a whole number of {least} or more, not [{value}]")
    return value


def parse_search(body: Any, params: dict[str, str], window: int) -> Search:
    """`params`: the URL's, which win over the body. `window`: the most that from + size may be."""
    if body is None:
        body = {}
    if not isinstance(body, dict):
        raise ParsingError("the request body must be an object")
    for key in body:
        if key not in BODY_KEYS:
            raise unsupported(key, "search")
    merged = dict(body)
    for key in ("from", "size", "timeout", "track_total_hits", "sort", "track_scores"):
        if key in params:
            merged[key] = params[key]
    start, size = (
        whole(merged.get("from", 0), "from"),
        whole(merged.get("size", DEFAULT_SIZE), "size"),
    )
    if start + size > window:
        raise RequestError(
            f"Result window is too large, from + size must be less than or equal to: [{window}] "
            f"but was [{start + size}]"
        )
    sort, after = parse_sort(merged.get("sort")), merged.get("search_after")
    if after is not None:
        if not isinstance(after, list) or len(after) != max(len(sort), 0) or not sort:
            raise RequestError(
                f"search_after has {len(after) if isinstance(after, list) else 'no'} value(s) but "
                f"sort has {len(sort)}"
            )
        if start:
            raise RequestError("`from` parameter must be set to 0 when `search_after` is used")
    query_body = merged.get("query", {"match_all": {}})
    timeout = seconds_of(merged["timeout"], "timeout") if "timeout" in merged else None
    if "aggs" in body and "aggregations" in body:
        raise ParsingError("both [aggs] and [aggregations] are given")
    return Search(
        query=parse_query(query_body) if query_body else MatchAll(),
        query_body=query_body,
        start=start,
        size=size,
        sort=sort,
        search_after=tuple(after) if after is not None else None,
        source=parse_source(merged, params),
        aggs=parse_aggs(body.get("aggs", body.get("aggregations", {}))),
        total=parse_total(merged.get("track_total_hits", DEFAULT_TOTAL)),
        timeout=timeout,
        track_scores=str(merged.get("track_scores", False)).lower() == "true",
    )


def parse_total(value: Any) -> int | bool:
    if value in (True, "true"):
        return True
    if value in (False, "false"):
        return False
    return whole(value, "track_total_hits")


def parse_sort(given: Any) -> tuple[SortKey, ...]:
    if given is None:
        return ()
    if isinstance(given, str):
        given = [each.strip() for each in given.split(",")]
    if isinstance(given, dict):
        given = [{key: value} for key, value in given.items()]
    if not isinstance(given, list):
        raise ParsingError("[sort] must be a string, an object or a list")
    keys = tuple(parse_sort_key(each) for each in given)
    return () if keys == (SortKey("_score", True),) else keys


def parse_sort_key(given: Any) -> SortKey:
    options: Any = {}
    if isinstance(given, str):
        field, _, order = given.partition(":")
        options = {"order": order} if order else {}
    elif isinstance(given, dict) and len(given) == 1:
        ((field, options),) = given.items()
        options = {"order": options} if isinstance(options, str) else options
    else:
        raise ParsingError(f"malformed [sort]: [{given}]")
    if not isinstance(options, dict):
        raise ParsingError(f"malformed [sort] for [{field}]")
    for key in options:
        if key not in ("order", "missing", "unmapped_type"):
            raise unsupported(key, f"sort.{field}")
    order, missing = (
        options.get("order", "desc" if field == "_score" else "asc"),
        options.get("missing", "_last"),
    )
    if order not in ("asc", "desc") or missing not in ("_last", "_first"):
        raise ParsingError(f"malformed [sort] for [{field}]: order [{order}], missing [{missing}]")
    return SortKey(field, order == "desc", missing == "_first")


def parse_source(body: dict[str, Any], params: dict[str, str]) -> Source:
    given: Any = body.get("_source", True)
    if "_source" in params:
        text = params["_source"]
        given = text == "true" if text in ("true", "false") else text.split(",")
    inner = {
        "includes": listed(params.get("_source_includes")),
        "excludes": listed(params.get("_source_excludes")),
    }
    if inner["includes"] or inner["excludes"]:
        given = inner
    if isinstance(given, bool):
        return given
    if isinstance(given, str):
        return (given,), ()
    if isinstance(given, list):
        return tuple(map(str, given)), ()
    if isinstance(given, dict):
        for key in given:
            if key not in ("includes", "excludes", "include", "exclude"):
                raise unsupported(key, "_source")
        into, out = (
            given.get(key) or given.get(key[:-1]) or [] for key in ("includes", "excludes")
        )
        return (
            tuple([into] if isinstance(into, str) else into),
            tuple([out] if isinstance(out, str) else out),
        )
    raise ParsingError("[_source] must be a boolean, a string, a list or an object")


def listed(text: str | None) -> list[str]:
    return text.split(",") if text else []


def source_body(source: Source) -> Any:
    if isinstance(source, bool):
        return source
    return {"includes": list(source[0]), "excludes": list(source[1])}


def sort_body(sort: tuple[SortKey, ...]) -> list[Any]:
    return [
        {
            key.field: {"order": "desc" if key.descending else "asc"}
            | (
                {}
                if key.field.startswith("_")
                else {"missing": "_first" if key.missing_first else "_last"}
            )
        }
        for key in sort
    ]


def shard_body(search: Search, timeout: float, fetch: bool, name: str = "") -> dict[str, Any]:
    """One shard's part of the first step; with `fetch` the documents come in the same step.

    `name` goes along as a statistics group: it lets one query be followed to the boxes.
    """
    body: dict[str, Any] = {
        "stats": [name],
        "query": search.query_body or {"match_all": {}},
        "size": search.start + search.size,
        "_source": source_body(search.source) if fetch else False,
        "timeout": f"{max(int(timeout * 1000), 1)}ms",
        "track_total_hits": search.total,
    }
    if search.sort:
        body["sort"] = sort_body(search.sort)
        if search.track_scores:
            body["track_scores"] = True
    if search.search_after is not None:
        body["search_after"] = list(search.search_after)
    if search.aggs:
        body["aggs"] = shard_request(search.aggs)
    return body


def fetch_body(search: Search, ids: list[str], name: str = "") -> dict[str, Any]:
    """The second step: the documents of one shard's hits."""
    return {
        "stats": [name],
        "query": {"ids": {"values": ids}},
        "size": len(ids),
        "_source": source_body(search.source),
        "track_total_hits": False,
    }
