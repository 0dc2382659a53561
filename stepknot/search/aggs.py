"""Aggregations: parsed, turned into what is asked of each shard, and merged from what shards answer.

A shard is asked for what can be added up: `avg` becomes `stats`, `cardinality` becomes a bounded list of
distinct terms, buckets come without the empty ones. Merging states what it does not know: terms carry
`doc_count_error_upper_bound` and `sum_other_doc_count` by the engines' public rule, a `cardinality` from
lists that were cut carries `"lower_bound": true`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from stepknot.search.dsl import Node, known, parse_query
from stepknot.search.errors import ParsingError, RequestError, unsupported

METRICS = ("min", "max", "avg", "sum", "value_count", "stats", "cardinality")
BUCKETS = ("terms", "histogram", "date_histogram", "range", "filter", "filters")
DEFAULT_TERMS = 10
DEFAULT_PRECISION, MOST_PRECISION = 3000, 40_000
MOST_DEPTH = 8
Result = dict[str, Any]
CALENDAR = {
    "1m": "minute",
    "minute": "minute",
    "1h": "hour",
    "hour": "hour",
    "1d": "day",
    "day": "day",
    "1w": "week",
    "week": "week",
    "1M": "month",
    "month": "month",
    "1y": "year",
    "year": "year",
}
FIXED = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000}


@dataclass(frozen=True, slots=True)
class RangeSpec:
    key: str
    low: float | None
    high: float | None


@dataclass(frozen=True, slots=True)
class Agg:
    """One aggregation; which fields matter depends on `kind`."""

    name: str
    kind: str
    field: str = ""
    size: int = 0
    shard_size: int = 0
    min_doc_count: int = 0
    by_key: bool = False
    ascending: bool = False
    interval: float = 0.0  # milliseconds for a fixed date_histogram
    calendar: str = ""
    ranges: tuple[RangeSpec, ...] = ()
    filters: tuple[tuple[str, Node, Any], ...] = ()  # key, node, as given
    keyed: bool = True
    subs: tuple[Agg, ...] = ()


def parse_aggs(body: Any, where: str = "aggs", depth: int = 1) -> tuple[Agg, ...]:
    if not isinstance(body, dict):
        raise ParsingError(f"[{where}] must be an object")
    if depth > MOST_DEPTH:
        raise ParsingError(f"[{where}] is nested over {MOST_DEPTH} deep")
    return tuple(parse_agg(name, each, f"{where}.{name}", depth) for name, each in body.items())


def parse_agg(name: str, body: Any, where: str, depth: int) -> Agg:
    if not isinstance(body, dict):
        raise ParsingError(f"[{where}] must be an object")
    subs: tuple[Agg, ...] = ()
    kinds = [each for each in body if each not in ("aggs", "aggregations", "meta")]
    if len(kinds) != 1:
        raise ParsingError(f"[{where}] must have exactly one aggregation type")
    kind = kinds[0]
    if kind not in METRICS + BUCKETS:
        raise ParsingError(
            f"unknown aggregation type [{kind}] in [{where}]; known: "
            + ", ".join(METRICS + BUCKETS)
        )
    if "meta" in body:
        raise unsupported("meta", where)
    for key in ("aggs", "aggregations"):
        if key in body:
            subs = parse_aggs(body[key], f"{where}.{key}", depth + 1)
    if subs and kind in METRICS:
        raise ParsingError(f"[{where}] of type [{kind}] cannot have sub-aggregations")
    options, here = body[kind], f"{where}.{kind}"
    if kind in METRICS:
        return parse_metric(name, kind, options, here)
    return {
        "terms": parse_terms,
        "histogram": parse_histogram,
        "date_histogram": parse_date_histogram,
        "range": parse_range,
        "filter": parse_filter,
        "filters": parse_filters,
    }[kind](name, options, here, subs)


def field_of(options: Result, where: str) -> str:
    field = options.get("field")
    if not isinstance(field, str) or not field:
        raise ParsingError(f"[{where}] needs [field]")
    return field


def whole(options: Result, key: str, default: int, least: int, where: str) -> int:
    value = options.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or value < least:
        raise ParsingError(f"[{where}.{key}] must be a whole number of {least} or more")
    return value


def parse_metric(name: str, kind: str, options: Any, where: str) -> Agg:
    extra = ("precision_threshold",) if kind == "cardinality" else ()
    options = known(options, where, "field", *extra)
    precision = whole(options, "precision_threshold", DEFAULT_PRECISION, 1, where)
    return Agg(name, kind, field_of(options, where), size=min(precision, MOST_PRECISION))


def parse_terms(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    options = known(options, where, "field", "size", "shard_size", "min_doc_count", "order")
    size = whole(options, "size", DEFAULT_TERMS, 1, where)
    by_key, ascending = parse_order(options.get("order", {"_count": "desc"}), f"{where}.order")
    shard_size = whole(options, "shard_size", size if by_key else size + size // 2 + 10, 1, where)
    return Agg(
        name,
        "terms",
        field_of(options, where),
        size,
        max(size, shard_size),
        whole(options, "min_doc_count", 1, 1, where),
        by_key,
        ascending,
        subs=subs,
    )


def parse_order(order: Any, where: str) -> tuple[bool, bool]:
    if isinstance(order, list) and len(order) == 1:
        order = order[0]
    if not isinstance(order, dict) or len(order) != 1:
        raise unsupported(f"order: {order}", where)
    ((key, direction),) = order.items()
    if key not in ("_count", "_key") or direction not in ("asc", "desc"):
        raise unsupported(f"{key}: {direction}", where)
    if key == "_count" and direction == "asc":
        raise unsupported("_count: asc (its error cannot be bounded)", where)
    return key == "_key", direction == "asc"


def parse_histogram(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    options = known(options, where, "field", "interval", "min_doc_count")
    interval = options.get("interval")
    if not isinstance(interval, (int, float)) or isinstance(interval, bool) or interval <= 0:
        raise ParsingError(f"[{where}.interval] must be a number over 0")
    return Agg(
        name,
        "histogram",
        field_of(options, where),
        interval=float(interval),
        min_doc_count=whole(options, "min_doc_count", 0, 0, where),
        subs=subs,
    )


def parse_date_histogram(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    options = known(options, where, "field", "fixed_interval", "calendar_interval", "min_doc_count")
    fixed, calendar = options.get("fixed_interval"), options.get("calendar_interval")
    if (fixed is None) == (calendar is None):
        raise ParsingError(f"[{where}] needs one of [fixed_interval] and [calendar_interval]")
    interval, unit = 0.0, ""
    if calendar is not None:
        if calendar not in CALENDAR:
            raise unsupported(f"calendar_interval: {calendar}", where)
        unit = CALENDAR[calendar]
    else:
        digits = str(fixed).rstrip("mshd")
        scale = FIXED.get(str(fixed)[len(digits) :])
        if not digits.isdigit() or scale is None or int(digits) == 0:
            raise ParsingError(f"[{where}.fixed_interval] is malformed: [{fixed}]")
        interval = float(int(digits) * scale)
    return Agg(
        name,
        "date_histogram",
        field_of(options, where),
        interval=interval,
        calendar=unit,
        min_doc_count=whole(options, "min_doc_count", 0, 0, where),
        subs=subs,
    )


def parse_range(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    options = known(options, where, "field", "ranges", "keyed")
    specs = []
    for each in options.get("ranges") or ():
        each = known(each, f"{where}.ranges", "key", "from", "to")
        low, high = each.get("from"), each.get("to")
        for bound in (low, high):
            if bound is not None and (
                not isinstance(bound, (int, float)) or isinstance(bound, bool)
            ):
                raise ParsingError(f"[{where}.ranges] needs numbers in [from] and [to]")
        default = f"{'*' if low is None else float(low)}-{'*' if high is None else float(high)}"
        specs.append(RangeSpec(str(each.get("key", default)), low, high))
    if not specs:
        raise ParsingError(f"[{where}.ranges] must not be empty")
    if len({spec.key for spec in specs}) != len(specs):
        raise ParsingError(f"[{where}.ranges] has a key twice")
    return Agg(
        name,
        "range",
        field_of(options, where),
        ranges=tuple(specs),
        keyed=bool(options.get("keyed", False)),
        subs=subs,
    )


def parse_filter(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    return Agg(name, "filter", filters=(("", parse_query(options, where), options),), subs=subs)


def parse_filters(name: str, options: Any, where: str, subs: tuple[Agg, ...]) -> Agg:
    given = known(options, where, "filters").get("filters")
    keyed = isinstance(given, dict)
    if isinstance(given, list):
        given = {str(place): each for place, each in enumerate(given)}
    if not isinstance(given, dict) or not given:
        raise ParsingError(f"[{where}.filters] must be an object or a list, not empty")
    pairs = tuple((key, parse_query(each, f"{where}.{key}"), each) for key, each in given.items())
    return Agg(name, "filters", filters=pairs, keyed=keyed, subs=subs)


# --- to a shard


def shard_request(aggs: Sequence[Agg]) -> Result:
    """The `aggs` of one shard's search."""
    return {agg.name: shard_agg(agg) for agg in aggs}


def shard_agg(agg: Agg) -> Result:
    body: Result
    match agg.kind:
        case "avg" | "stats":
            return {"stats": {"field": agg.field}}
        case "cardinality":
            return {"terms": {"field": agg.field, "size": agg.size, "order": {"_key": "asc"}}}
        case "terms":
            order = {"_key" if agg.by_key else "_count": "asc" if agg.ascending else "desc"}
            body = {
                "terms": {
                    "field": agg.field,
                    "size": agg.shard_size,
                    "shard_size": agg.shard_size,
                    "order": order,
                }
            }
        case "histogram":
            body = {"histogram": {"field": agg.field, "interval": agg.interval, "min_doc_count": 1}}
        case "date_histogram":
            step = (
                {"calendar_interval": agg.calendar}
                if agg.calendar
                else {"fixed_interval": f"{int(agg.interval)}ms"}
            )
            body = {"date_histogram": {"field": agg.field, "min_doc_count": 1, **step}}
        case "range":
            ranges = [
                {
                    key: value
                    for key, value in (("key", spec.key), ("from", spec.low), ("to", spec.high))
                    if value is not None
                }
                for spec in agg.ranges
            ]
            body = {"range": {"field": agg.field, "ranges": ranges}}
        case "filter":
            body = {"filter": agg.filters[0][2]}
        case "filters":
            body = {"filters": {"filters": {key: given for key, _, given in agg.filters}}}
        case _:
            return {agg.kind: {"field": agg.field}}
    if agg.subs:
        body["aggs"] = shard_request(agg.subs)
    return body


# --- from the shards


class MergeError(ValueError):
    """A shard's aggregation has not the shape that was asked for."""


class Merger:
    """Adds up shards' answers; `buckets` bounds how many groups there may be in all."""

    def __init__(self, most_buckets: int) -> None:
        self.most, self.made = most_buckets, 0

    def merge(self, aggs: Sequence[Agg], results: Sequence[Result]) -> Result:
        """`results`: the `aggregations` of each shard that answered. Raises MergeError, RequestError."""
        try:
            return {agg.name: self.one(agg, [each[agg.name] for each in results]) for agg in aggs}
        except (KeyError, TypeError, AttributeError, IndexError, ValueError) as error:
            raise MergeError(f"{type(error).__name__}: {error}") from None

    def one(self, agg: Agg, results: list[Result]) -> Result:
        if agg.kind in METRICS:
            return METRIC_MERGES[agg.kind](results)
        if agg.kind == "terms":
            return self.terms(agg, results)
        if agg.kind in ("histogram", "date_histogram"):
            return self.histogram(agg, results)
        if agg.kind == "filter":
            return {
                "doc_count": sum(each["doc_count"] for each in results),
                **self.subs(agg, results),
            }
        return self.named(agg, results)

    def count(self, buckets: int) -> None:
        self.made += buckets
        if self.made > self.most:
            raise RequestError(
                f"the aggregations have over [{self.most}] buckets; ask for fewer",
                "too_many_buckets_exception",
            )

    def subs(self, agg: Agg, results: list[Result]) -> Result:
        return self.merge(agg.subs, results) if agg.subs else {}

    def grouped(self, results: list[Result]) -> dict[Any, list[Result]]:
        groups: dict[Any, list[Result]] = defaultdict(list)
        for result in results:
            for bucket in result["buckets"]:
                groups[bucket["key"]].append(bucket)
        return groups

    def terms(self, agg: Agg, results: list[Result]) -> Result:
        cuts = [shard_error(agg, each) for each in results]
        error, groups = sum(cuts), self.grouped(results)
        counts = {key: sum(each["doc_count"] for each in group) for key, group in groups.items()}
        if agg.by_key:
            order = sorted(counts, reverse=not agg.ascending)
        else:
            order = sorted(counts, key=lambda key: (-counts[key], key))
        order = [key for key in order if counts[key] >= agg.min_doc_count]
        self.count(min(len(order), agg.size))
        buckets = []
        for key in order[: agg.size]:
            bucket: Result = {"key": key}
            if "key_as_string" in groups[key][0]:
                bucket["key_as_string"] = groups[key][0]["key_as_string"]
            buckets.append(bucket | {"doc_count": counts[key]} | self.subs(agg, groups[key]))
        beyond = sum(each["sum_other_doc_count"] for each in results)
        other = beyond + sum(counts[key] for key in order[agg.size :])
        return {
            "doc_count_error_upper_bound": error,
            "sum_other_doc_count": other,
            "buckets": buckets,
        }

    def histogram(self, agg: Agg, results: list[Result]) -> Result:
        groups = self.grouped(results)
        keys = sorted(groups)
        if agg.min_doc_count == 0 and len(keys) > 1:
            if not agg.calendar:
                steps = int(round((keys[-1] - keys[0]) / agg.interval)) + 1
                self.count(steps)
                kind = int if agg.kind == "date_histogram" else float
                keys = sorted(
                    {*keys, *(kind(keys[0] + step * agg.interval) for step in range(steps))}
                )
            else:
                keys = self.calendar_keys(agg.calendar, keys)
        self.count(len(keys))
        buckets = []
        for key in keys:
            group = groups.get(key, [])
            count = sum(each["doc_count"] for each in group)
            if count < agg.min_doc_count:
                continue
            bucket: Result = {"key": key, "doc_count": count}
            if agg.kind == "date_histogram":
                bucket = {"key_as_string": date_string(key), **bucket}
            buckets.append(bucket | self.subs(agg, group))
        return {"buckets": buckets}

    def calendar_keys(self, unit: str, keys: list[int]) -> list[int]:
        filled, at = [], keys[0]
        while at <= keys[-1]:
            filled.append(at)
            at = next_calendar(at, unit)
            if len(filled) > self.most:
                self.count(len(filled))
        return sorted({*filled, *keys})

    def named(self, agg: Agg, results: list[Result]) -> Result:
        """range and filters: the keys are known beforehand."""
        buckets: dict[str, Result] = {}
        for place, key in enumerate(
            [spec.key for spec in agg.ranges] or [each[0] for each in agg.filters]
        ):
            group = [named_bucket(each["buckets"], key) for each in results]
            bucket: Result = {"doc_count": sum(each["doc_count"] for each in group)}
            if agg.kind == "range":
                spec = agg.ranges[place]
                ends = {"from": spec.low, "to": spec.high}
                bucket = {
                    name: float(end) for name, end in ends.items() if end is not None
                } | bucket
            buckets[key] = bucket | self.subs(agg, group)
        self.count(len(buckets))
        if agg.keyed:
            return {"buckets": buckets}
        shown = [
            {"key": key, **bucket} if agg.kind == "range" else bucket
            for key, bucket in buckets.items()
        ]
        return {"buckets": shown}


def named_bucket(buckets: Any, key: str) -> Result:
    if isinstance(buckets, dict):
        return dict(buckets[key])
    return next(dict(each) for each in buckets if each["key"] == key)


def shard_error(agg: Agg, result: Result) -> int:
    """How many documents of a term a shard may hold without having told it."""
    if agg.by_key or not result["sum_other_doc_count"] or not result["buckets"]:
        return 0
    return int(result["buckets"][-1]["doc_count"])


def merge_stats(results: list[Result]) -> Result:
    filled = [each for each in results if each["count"]]
    count, total = sum(each["count"] for each in filled), sum(each["sum"] for each in filled)
    return {
        "count": count,
        "min": min((each["min"] for each in filled), default=None),
        "max": max((each["max"] for each in filled), default=None),
        "avg": total / count if count else None,
        "sum": total,
    }


def merge_cardinality(results: list[Result]) -> Result:
    values = {bucket["key"] for each in results for bucket in each["buckets"]}
    cut = any(each["sum_other_doc_count"] for each in results)
    return {"value": len(values), "lower_bound": True} if cut else {"value": len(values)}


def values_of(results: list[Result]) -> list[Any]:
    return [each["value"] for each in results if each["value"] is not None]


METRIC_MERGES: dict[str, Callable[[list[Result]], Result]] = {
    "min": lambda results: {"value": min(values_of(results), default=None)},
    "max": lambda results: {"value": max(values_of(results), default=None)},
    "sum": lambda results: {"value": float(sum(values_of(results)))},
    "value_count": lambda results: {"value": int(sum(values_of(results)))},
    "avg": lambda results: {"value": merge_stats(results)["avg"]},
    "stats": merge_stats,
    "cardinality": merge_cardinality,
}


# --- dates, as milliseconds since 1970


def date_string(millis: int) -> str:
    from datetime import UTC, datetime

    at = datetime.fromtimestamp(millis / 1000, UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%S.") + f"{int(millis) % 1000:03d}Z"


def floor_calendar(millis: int, unit: str) -> int:
    from datetime import UTC, datetime, timedelta

    at = datetime.fromtimestamp(millis / 1000, UTC).replace(microsecond=0, second=0)
    if unit != "minute":
        at = at.replace(minute=0)
    if unit not in ("minute", "hour"):
        at = at.replace(hour=0)
    if unit == "week":
        at -= timedelta(days=at.weekday())
    elif unit == "month":
        at = at.replace(day=1)
    elif unit == "year":
        at = at.replace(month=1, day=1)
    return int(at.timestamp() * 1000)


def next_calendar(millis: int, unit: str) -> int:
    longest = {
        "minute": 60,
        "hour": 3600,
        "day": 86400,
        "week": 604_800,
        "month": 31 * 86400,
        "year": 366 * 86400,
    }
    return floor_calendar(millis + longest[unit] * 1000, unit)
