"""The query language: a body's `query` as a tree of typed nodes.

What is not known is a `ParsingError` that names it, never passed over: an answer to another question is
worse than none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stepknot.search.errors import ParsingError, unsupported

Scalar = str | int | float | bool
MOST_CLAUSES = 1024
MOST_TERMS = 65_536


@dataclass(frozen=True, slots=True)
class MatchAll:
    boost: float = 1.0


@dataclass(frozen=True, slots=True)
class MatchNone:
    pass


@dataclass(frozen=True, slots=True)
class Match:
    field: str
    text: str
    all_terms: bool = False
    boost: float = 1.0


@dataclass(frozen=True, slots=True)
class MultiMatch:
    fields: tuple[tuple[str, float], ...]
    text: str
    all_terms: bool
    most: bool  # most_fields adds up, best_fields takes the best


@dataclass(frozen=True, slots=True)
class Terms:
    """term and terms."""

    field: str
    values: tuple[Scalar, ...]
    boost: float = 1.0


@dataclass(frozen=True, slots=True)
class Range:
    field: str
    low: Scalar | None
    high: Scalar | None
    low_in: bool
    high_in: bool
    boost: float = 1.0


@dataclass(frozen=True, slots=True)
class Prefix:
    field: str
    value: str
    boost: float = 1.0


@dataclass(frozen=True, slots=True)
class Exists:
    field: str


@dataclass(frozen=True, slots=True)
class Ids:
    values: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Bool:
    must: tuple[Node, ...]
    filter: tuple[Node, ...]
    should: tuple[Node, ...]
    must_not: tuple[Node, ...]
    least: int
    boost: float = 1.0


Node = MatchAll | MatchNone | Match | MultiMatch | Terms | Range | Prefix | Exists | Ids | Bool


def parse_query(body: Any, where: str = "query") -> Node:
    """Raises ParsingError. The depth of the body has been checked when its JSON was read."""
    if not isinstance(body, dict) or len(body) != 1:
        raise ParsingError(f"[{where}] must be an object with exactly one query")
    ((name, inner),) = body.items()
    parser = PARSERS.get(name)
    if parser is None:
        raise ParsingError(
            f"unknown query [{name}] in [{where}]; known: {', '.join(sorted(PARSERS))}"
        )
    return parser(inner, f"{where}.{name}")


def known(inner: Any, where: str, *names: str) -> dict[str, Any]:
    if not isinstance(inner, dict):
        raise ParsingError(f"[{where}] must be an object")
    for name in inner:
        if name not in names:
            raise unsupported(name, where)
    return inner


def number(value: Any, where: str) -> float:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ParsingError(f"[{where}] must be a number")
    return float(value)


def scalar(value: Any, where: str) -> Scalar:
    if not isinstance(value, (str, int, float, bool)):
        raise ParsingError(f"[{where}] must be a string, number or boolean")
    return value


def one_field(inner: Any, where: str, short: str, *names: str) -> tuple[str, dict[str, Any]]:
    """`{field: value}` or `{field: {short: value, ...}}`."""
    if not isinstance(inner, dict) or len(inner) != 1:
        raise ParsingError(f"[{where}] must name exactly one field")
    ((field, value),) = inner.items()
    if not isinstance(value, dict):
        return field, {short: value}
    options = known(value, f"{where}.{field}", short, "boost", *names)
    if short and short not in options:
        raise ParsingError(f"[{where}.{field}] needs [{short}]")
    return field, options


def boost_of(options: dict[str, Any], where: str) -> float:
    return number(options.get("boost", 1.0), f"{where}.boost")


def all_terms(options: dict[str, Any], where: str) -> bool:
    operator = str(options.get("operator", "or")).lower()
    if operator not in ("or", "and"):
        raise ParsingError(f"[{where}.operator] must be [or] or [and]")
    return operator == "and"


def parse_match(inner: Any, where: str) -> Node:
    field, options = one_field(inner, where, "query", "operator")
    text = str(scalar(options["query"], where))
    return Match(field, text, all_terms(options, where), boost_of(options, where))


def parse_multi_match(inner: Any, where: str) -> Node:
    options = known(inner, where, "query", "fields", "type", "operator")
    fields = options.get("fields")
    if (
        not isinstance(fields, list)
        or not fields
        or not all(isinstance(each, str) for each in fields)
    ):
        raise ParsingError(f"[{where}.fields] must be a list of field names")
    kind = options.get("type", "best_fields")
    if kind not in ("best_fields", "most_fields"):
        raise unsupported(f"type: {kind}", where)
    if "query" not in options:
        raise ParsingError(f"[{where}] needs [query]")
    pairs = []
    for each in fields:
        name, _, boost = each.partition("^")
        try:
            pairs.append((name, float(boost or 1)))
        except ValueError:
            raise ParsingError(f"[{where}.fields] has a malformed boost: [{each}]") from None
    return MultiMatch(
        tuple(pairs),
        str(scalar(options["query"], where)),
        all_terms(options, where),
        kind == "most_fields",
    )


def parse_term(inner: Any, where: str) -> Node:
    field, options = one_field(inner, where, "value")
    return Terms(field, (scalar(options["value"], where),), boost_of(options, where))


def parse_terms(inner: Any, where: str) -> Node:
    if not isinstance(inner, dict):
        raise ParsingError(f"[{where}] must be an object")
    rest = {name: value for name, value in inner.items() if name != "boost"}
    if len(rest) != 1:
        raise ParsingError(f"[{where}] must name exactly one field")
    ((field, values),) = rest.items()
    if not isinstance(values, list):
        raise ParsingError(f"[{where}.{field}] must be a list")
    if len(values) > MOST_TERMS:
        raise ParsingError(
            f"[{where}.{field}] has {len(values)} terms, at most {MOST_TERMS} are taken"
        )
    return Terms(field, tuple(scalar(each, where) for each in values), boost_of(inner, where))


def parse_range(inner: Any, where: str) -> Node:
    field, options = one_field(inner, where, "", "gt", "gte", "lt", "lte")
    bounds = {
        name: scalar(options[name], f"{where}.{name}")
        for name in ("gt", "gte", "lt", "lte")
        if options.get(name) is not None
    }
    if "gt" in bounds and "gte" in bounds or "lt" in bounds and "lte" in bounds:
        raise ParsingError(f"[{where}.{field}] has two bounds on one side")
    return Range(
        field,
        bounds.get("gt", bounds.get("gte")),
        bounds.get("lt", bounds.get("lte")),
        "gt" not in bounds,
        "lt" not in bounds,
        boost_of(options, where),
    )


def parse_prefix(inner: Any, where: str) -> Node:
    field, options = one_field(inner, where, "value")
    return Prefix(field, str(scalar(options["value"], where)), boost_of(options, where))


def parse_exists(inner: Any, where: str) -> Node:
    options = known(inner, where, "field")
    return Exists(str(scalar(options.get("field"), where)))


def parse_ids(inner: Any, where: str) -> Node:
    values = known(inner, where, "values").get("values")
    if not isinstance(values, list):
        raise ParsingError(f"[{where}.values] must be a list")
    return Ids(tuple(str(scalar(each, where)) for each in values))


def parse_bool(inner: Any, where: str) -> Node:
    options = known(
        inner, where, "must", "filter", "should", "must_not", "minimum_should_match", "boost"
    )
    clauses = {}
    for name in ("must", "filter", "should", "must_not"):
        given = options.get(name, [])
        listed = given if isinstance(given, list) else [given]
        if len(listed) > MOST_CLAUSES:
            raise ParsingError(f"[{where}.{name}] has more than {MOST_CLAUSES} clauses")
        clauses[name] = tuple(parse_query(each, f"{where}.{name}") for each in listed)
    default = 0 if clauses["must"] or clauses["filter"] or not clauses["should"] else 1
    least = options.get("minimum_should_match", default)
    if isinstance(least, str) and least.lstrip("-").isdigit():
        least = int(least)
    if not isinstance(least, int) or isinstance(least, bool):
        raise unsupported(f"minimum_should_match: {least}", where)
    if least < 0:
        least = max(0, len(clauses["should"]) + least)
    return Bool(**clauses, least=least, boost=boost_of(options, where))


PARSERS: dict[str, Callable[[Any, str], Node]] = {
    "match_all": lambda inner, where: MatchAll(boost_of(known(inner, where, "boost"), where)),
    "match_none": lambda inner, where: MatchNone() if known(inner, where) == {} else MatchNone(),
    "match": parse_match,
    "multi_match": parse_multi_match,
    "term": parse_term,
    "terms": parse_terms,
    "range": parse_range,
    "prefix": parse_prefix,
    "exists": parse_exists,
    "ids": parse_ids,
    "bool": parse_bool,
}
