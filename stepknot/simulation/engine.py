"""The stand-in box's index: one shard held in memory, searched by the query language of `stepknot.search`.

Inverted lists for text (BM25) and for exact values, columns for sorting and aggregations. Documents are never
moved: a new version takes a new number, the old one is marked dead.
"""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from heapq import nsmallest
from typing import Any

from stepknot.search import dsl
from stepknot.search.aggs import Agg, date_string, floor_calendar
from stepknot.search.merge import sort_rank
from stepknot.search.request import Search, SortKey, Source

TOKEN = re.compile(r"\w+")
K1, B = 1.2, 0.75
Row = dict[str, Any]
ISO = re.compile(
    r"(\d{4})-(\d{2})(?:-(\d{2}))?(?:T(\d{2}):(\d{2})(?::(\d{2})(?:\.(\d{1,3}))?)?Z?)?$"
)


def tokens(text: Any) -> list[str]:
    return TOKEN.findall(str(text).lower())


def millis(value: Any) -> Any:
    """A date as milliseconds since 1970; what is no date stays as it is."""
    if isinstance(value, str) and (found := ISO.match(value)):
        from datetime import UTC, datetime

        year, month, day, hour, minute, second, fraction = found.groups()
        at = datetime(
            int(year),
            int(month),
            int(day or 1),
            int(hour or 0),
            int(minute or 0),
            int(second or 0),
            tzinfo=UTC,
        )
        return int(at.timestamp() * 1000) + int((fraction or "0").ljust(3, "0"))
    return value


class Shard:
    def __init__(self, index: str, fields: dict[str, str]) -> None:
        self.index, self.fields = index, dict(fields)
        self.names: list[str] = []
        self.sources: list[Row] = []
        self.versions: list[tuple[int, int]] = []  # version, sequence number
        self.dead: set[int] = set()
        self.where: dict[str, int] = {}
        self.text: dict[str, dict[str, dict[int, int]]] = defaultdict(lambda: defaultdict(dict))
        self.lengths: dict[str, dict[int, int]] = defaultdict(dict)
        self.exact: dict[str, dict[Any, set[int]]] = defaultdict(lambda: defaultdict(set))
        self.sequence = 0
        self.tombs: dict[str, int] = {}

    # --- writing

    def put(self, name: str, source: Row, sequence: int | None = None) -> tuple[int, int]:
        """Index a document; its new version and sequence number."""
        old = self.where.get(name)
        version = 1
        if old is not None:
            version = self.versions[old][0] + 1
            self.dead.add(old)
        self.sequence = self.sequence + 1 if sequence is None else max(self.sequence, sequence)
        number = len(self.names)
        self.names.append(name)
        self.sources.append(source)
        self.versions.append((version, self.sequence))
        self.where[name] = number
        for field, value in source.items():
            self.add(number, field, value)
        return self.versions[number]

    def add(self, number: int, field: str, value: Any) -> None:
        for each in value if isinstance(value, list) else [value]:
            if each is None or isinstance(each, dict):
                continue
            kind = self.fields.setdefault(field, "text" if isinstance(each, str) else "double")
            if kind == "text":
                words = tokens(each)
                self.lengths[field][number] = self.lengths[field].get(number, 0) + len(words)
                for word, count in Counter(words).items():
                    postings = self.text[field][word]
                    postings[number] = postings.get(number, 0) + count
            else:
                self.exact[field][self.normal(field, each)].add(number)

    def delete(self, name: str) -> tuple[int, int] | None:
        number = self.where.pop(name, None)
        if number is None:
            return None
        self.dead.add(number)
        self.sequence += 1
        self.tombs[name] = self.sequence
        return self.versions[number][0] + 1, self.sequence

    def get(self, name: str) -> Row | None:
        number = self.where.get(name)
        return None if number is None else self.sources[number]

    def __len__(self) -> int:
        return len(self.where)

    def live(self) -> set[int]:
        return set(self.where.values())

    # --- matching

    def normal(self, field: str, value: Any) -> Any:
        kind = self.fields.get(field)
        if kind == "date":
            return millis(value)
        if kind == "boolean":
            return value in (True, "true")
        if kind == "keyword":
            return str(value)
        if kind in ("integer", "long", "short", "byte", "double", "float") and isinstance(
            value, str
        ):
            try:
                return float(value)
            except ValueError:
                return value
        return value

    def scores(self, node: dsl.Node) -> dict[int, float]:
        """The live documents that match, and how well."""
        found = self.raw(node)
        if self.dead:
            found = {number: score for number, score in found.items() if number not in self.dead}
        return found

    def raw(self, node: dsl.Node) -> dict[int, float]:
        match node:
            case dsl.MatchAll():
                return dict.fromkeys(self.live(), node.boost)
            case dsl.MatchNone():
                return {}
            case dsl.Match():
                return self.match(node.field, node.text, node.all_terms, node.boost)
            case dsl.MultiMatch():
                return self.multi(node)
            case dsl.Terms():
                if self.fields.get(node.field) == "text":
                    return merged(
                        max,
                        (
                            self.word(node.field, str(each).lower(), node.boost)
                            for each in node.values
                        ),
                    )
                numbers: set[int] = set()
                for each in node.values:
                    numbers |= self.exact[node.field].get(self.normal(node.field, each), set())
                return dict.fromkeys(numbers, node.boost)
            case dsl.Range():
                return self.range(node)
            case dsl.Prefix():
                return self.prefix(node)
            case dsl.Exists():
                numbers = set(self.lengths[node.field])
                return dict.fromkeys(numbers.union(*self.exact[node.field].values()), 1.0)
            case dsl.Ids():
                return {self.where[name]: 1.0 for name in node.values if name in self.where}
            case dsl.Bool():
                return self.bool(node)

    def word(self, field: str, word: str, boost: float) -> dict[int, float]:
        postings, lengths = self.text[field].get(word, {}), self.lengths[field]
        if not postings:
            return {}
        total = max(len(lengths), 1)
        mean = sum(lengths.values()) / total if total < 1000 else self.mean_length(field)
        idf = math.log(1 + (total - len(postings) + 0.5) / (len(postings) + 0.5))
        return {
            number: boost
            * idf
            * count
            * (K1 + 1)
            / (count + K1 * (1 - B + B * lengths[number] / mean))
            for number, count in postings.items()
        }

    def mean_length(self, field: str) -> float:
        lengths = self.lengths[field]
        sample = list(lengths.values())[:1000]
        return sum(sample) / len(sample)

    def match(self, field: str, text: str, all_terms: bool, boost: float) -> dict[int, float]:
        if self.fields.get(field) != "text":
            numbers = self.exact[field].get(self.normal(field, text), set())
            return dict.fromkeys(numbers, boost)
        runs = [self.word(field, word, boost) for word in tokens(text)]
        if all_terms and runs:
            common = set(runs[0]).intersection(*runs[1:])
            runs = [{number: run[number] for number in common} for run in runs]
        return merged(lambda one, two: one + two, runs)

    def multi(self, node: dsl.MultiMatch) -> dict[int, float]:
        runs = [self.match(field, node.text, node.all_terms, boost) for field, boost in node.fields]
        return merged((lambda one, two: one + two) if node.most else max, runs)

    def range(self, node: dsl.Range) -> dict[int, float]:
        low, high = (
            None if each is None else self.normal(node.field, each)
            for each in (node.low, node.high)
        )
        numbers: set[int] = set()
        for value, holders in self.exact[node.field].items():
            try:
                under = low is not None and (value < low or value == low and not node.low_in)
                over = high is not None and (value > high or value == high and not node.high_in)
            except TypeError:
                continue
            if not under and not over:
                numbers |= holders
        return dict.fromkeys(numbers, node.boost)

    def prefix(self, node: dsl.Prefix) -> dict[int, float]:
        numbers: set[int] = set()
        source: Any = self.text if self.fields.get(node.field) == "text" else self.exact
        for value, holders in source[node.field].items():
            if isinstance(value, str) and value.startswith(node.value):
                numbers |= set(holders)
        return dict.fromkeys(numbers, node.boost)

    def bool(self, node: dsl.Bool) -> dict[int, float]:
        found: dict[int, float] | None = None
        for clause in node.filter:
            matching = self.raw(clause)
            found = dict.fromkeys(
                matching if found is None else found.keys() & matching.keys(), 0.0
            )
        for clause in node.must:
            scored = self.raw(clause)
            if found is None:
                found = dict(scored)
            else:
                found = {
                    number: found[number] + scored[number]
                    for number in found.keys() & scored.keys()
                }
        counts: Counter[int] = Counter()
        extra: dict[int, float] = defaultdict(float)
        for clause in node.should:
            for number, score in self.raw(clause).items():
                counts[number] += 1
                extra[number] += score
        if found is None:
            found = dict.fromkeys(extra if node.least else self.live(), 0.0)
        if node.least:
            found = {
                number: score for number, score in found.items() if counts[number] >= node.least
            }
        found = {
            number: (score + extra.get(number, 0.0)) * node.boost for number, score in found.items()
        }
        for clause in node.must_not:
            for number in self.raw(clause):
                found.pop(number, None)
        return found

    # --- searching

    def value(self, number: int, field: str) -> Any:
        if field == "_id":
            return self.names[number]
        if field == "_doc":
            return number
        value = self.sources[number].get(field)
        if isinstance(value, list):
            value = min((each for each in value if each is not None), default=None)
        return None if value is None else self.normal(field, value)

    def search(self, search: Search, extra: Row) -> Row:
        """The `hits` and `aggregations` of the answer. `extra`: `version`, `seq_no_primary_term`."""
        found = self.scores(search.query)
        rows: Any = self.order(search, found)
        hits = [self.hit(search, extra, number, score, values) for number, score, values in rows]
        total, relation = len(found), "eq"
        if search.total is not True and search.total is not False and total > search.total:
            total, relation = search.total, "gte"
        best = max(found.values(), default=None) if not search.sort else None
        body: Row = {"hits": {"max_score": best, "hits": hits}}
        if search.total is not False:
            body["hits"]["total"] = {"value": total, "relation": relation}
        if search.aggs:
            body["aggregations"] = self.aggregate(search.aggs, set(found))
        return body

    def order(
        self, search: Search, found: dict[int, float]
    ) -> Iterable[tuple[int, float, list[Any]]]:
        most = search.start + search.size
        if not search.sort:
            best = nsmallest(most, found.items(), key=lambda item: (-item[1], self.names[item[0]]))
            return [(number, score, []) for number, score in best][search.start :]

        def values(number: int) -> list[Any]:
            return [
                found[number] if key.field == "_score" else self.value(number, key.field)
                for key in search.sort
            ]

        rows = [
            (sort_rank(search.sort, row), self.names[number], number, row)
            for number in found
            for row in [values(number)]
        ]
        if search.search_after is not None:
            after = sort_rank(
                search.sort,
                [
                    self.cursor(key, value)
                    for key, value in zip(search.sort, search.search_after, strict=True)
                ],
            )
            rows = [row for row in rows if after < row[0]]
        best_rows = nsmallest(most, rows, key=lambda row: row[:2])[search.start :]
        return [(number, found[number], values) for _, _, number, values in best_rows]

    def cursor(self, key: SortKey, value: Any) -> Any:
        return (
            value if key.field.startswith("_") or value is None else self.normal(key.field, value)
        )

    def hit(self, search: Search, extra: Row, number: int, score: float, values: list[Any]) -> Row:
        row: Row = {
            "_index": self.index,
            "_id": self.names[number],
            "_score": None if search.sort else score,
        }
        if search.track_scores:
            row["_score"] = score
        if extra.get("version"):
            row["_version"] = self.versions[number][0]
        if extra.get("seq_no_primary_term"):
            row |= {"_seq_no": self.versions[number][1], "_primary_term": 1}
        if search.source is not False:
            row["_source"] = picked(self.sources[number], search.source)
        if search.sort:
            row["sort"] = values
        return row

    # --- aggregations

    def aggregate(self, aggs: Iterable[Agg], numbers: set[int]) -> Row:
        return {agg.name: self.one(agg, numbers) for agg in aggs}

    def one(self, agg: Agg, numbers: set[int]) -> Row:
        if agg.kind in ("filter", "filters"):
            return self.filters(agg, numbers)
        pairs = [
            (number, value)
            for number in numbers
            if (value := self.value(number, agg.field)) is not None
        ]
        if agg.kind in ("terms", "histogram", "date_histogram"):
            return self.grouped(agg, pairs)
        if agg.kind == "range":
            buckets = []
            for spec in agg.ranges:
                inside = {
                    number
                    for number, value in pairs
                    if (spec.low is None or value >= spec.low)
                    and (spec.high is None or value < spec.high)
                }
                buckets.append({"key": spec.key} | self.bucket(agg, inside))
            return {"buckets": buckets}
        return metric(agg.kind, [value for _, value in pairs])

    def bucket(self, agg: Agg, numbers: set[int]) -> Row:
        return {"doc_count": len(numbers), **self.aggregate(agg.subs, numbers)}

    def filters(self, agg: Agg, numbers: set[int]) -> Row:
        groups = {key: numbers & self.scores(node).keys() for key, node, _ in agg.filters}
        if agg.kind == "filter":
            return self.bucket(agg, groups[""])
        return {"buckets": {key: self.bucket(agg, group) for key, group in groups.items()}}

    def grouped(self, agg: Agg, pairs: list[tuple[int, Any]]) -> Row:
        groups: dict[Any, set[int]] = defaultdict(set)
        key_of = self.keyer(agg)
        for number, value in pairs:
            groups[key_of(value)].add(number)
        keys = sorted(groups)
        if agg.kind != "terms":
            rows = [
                {"key": key}
                | ({"key_as_string": date_string(key)} if agg.kind == "date_histogram" else {})
                | self.bucket(agg, groups[key])
                for key in keys
            ]
            return {"buckets": rows}
        if agg.by_key:
            keys = keys if agg.ascending else keys[::-1]
        else:
            keys.sort(key=lambda key: -len(groups[key]))
        kept = keys[: agg.size]
        rows = []
        for key in kept:
            row: Row = (
                {"key": int(key), "key_as_string": str(key).lower()}
                if isinstance(key, bool)
                else {"key": key}
            )
            rows.append(row | self.bucket(agg, groups[key]))
        return {
            "doc_count_error_upper_bound": 0,
            "buckets": rows,
            "sum_other_doc_count": sum(len(groups[key]) for key in keys[agg.size :]),
        }

    def keyer(self, agg: Agg) -> Callable[[Any], Any]:
        if agg.kind == "terms":
            return lambda value: value
        if agg.calendar:
            return lambda value: floor_calendar(value, agg.calendar)
        if agg.kind == "date_histogram":
            return lambda value: int(value // agg.interval * agg.interval)
        return lambda value: value // agg.interval * agg.interval


def metric(kind: str, values: list[Any]) -> Row:
    if kind == "value_count":
        return {"value": len(values)}
    if kind == "cardinality":
        return {"value": len(set(values))}
    total, count = float(sum(values)), len(values)
    least, most = (float(min(values)), float(max(values))) if values else (None, None)
    stats = {
        "count": count,
        "min": least,
        "max": most,
        "avg": total / count if count else None,
        "sum": total,
    }
    return stats if kind == "stats" else {"value": stats[kind]}


def merged(
    join: Callable[[float, float], float], runs: Iterable[dict[int, float]]
) -> dict[int, float]:
    into: dict[int, float] = {}
    for run in runs:
        for number, score in run.items():
            into[number] = join(into[number], score) if number in into else score
    return into


def picked(source: Row, wanted: Source) -> Row:
    if isinstance(wanted, bool):
        return source
    inside, outside = wanted
    return {
        key: value
        for key, value in source.items()
        if (not inside or any(fits(key, each) for each in inside))
        and not any(fits(key, each) for each in outside)
    }


def fits(key: str, pattern: str) -> bool:
    return (
        key == pattern or pattern.endswith("*") and key.startswith(pattern[:-1]) or pattern == "*"
    )
