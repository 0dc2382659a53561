"""A search over its shards: the first step's parts, the merged page, and the documents of the second step."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

import orjson

from stepknot.broker.query import QueryPart
from stepknot.nodes.codec import SearchPart
from stepknot.search.aggs import MergeError
from stepknot.search.errors import RequestError
from stepknot.search.merge import Merged, ShardHits, Target, merge, read_shard
from stepknot.search.request import Search, fetch_body, shard_body

Row = dict[str, Any]


class SearchQuery:
    """A search over its shards, in one step or two.

    Args:
        search: The parsed search request.
        targets: The shards to search.
        name: The query's name at the nodes.
        buckets: The maximum number of groups of all aggregations together.
    """

    def __init__(self, search: Search, targets: list[Target], name: str, buckets: int) -> None:
        self.search, self.targets, self.name, self.buckets = search, targets, name, buckets
        self.page: Merged | None = None  # merged after the first of two steps
        self.error: RequestError | None = None  # why the page could not be merged
        self.document_targets: list[Target] = []  # shards of the second step's parts

    def make_parts(self, seconds: float, has_two_steps: bool, key: str) -> list[QueryPart]:
        """Make the first step's parts. The body is encoded once for all shards."""
        body = orjson.dumps(shard_body(self.search, seconds, not has_two_steps, self.name))
        weight = 1 / max(len(self.targets), 1)
        return [
            QueryPart(
                target.place,
                weight,
                SearchPart(target.index, target.shard, body, key),
                partial(read_shard, target, self.search),
            )
            for target in self.targets
        ]

    def merge_page(self, parts: list[QueryPart]) -> Merged:
        """Merge the page from the parts that were served.

        Raises:
            MergeError: The shards' answers contradict each other.
            RequestError: The page cannot be made from the answers.
        """
        answers: list[ShardHits] = [each.answer for each in parts if each.served]
        return merge(self.search, answers, len(answers) < len(parts), self.buckets)

    def make_second_step(self, parts: list[QueryPart]) -> list[QueryPart]:
        """Merge the page and make the parts that fetch its documents; no parts if merging failed (see `error`)."""
        try:
            self.page = self.merge_page(parts)
        except RequestError as error:
            self.error = error
        except MergeError as error:
            self.error = RequestError(
                f"shards' answers do not fit together: {error}",
                "search_phase_execution_exception",
                503,
            )
        return self._make_fetches(self.page) if self.page is not None else []

    def _make_fetches(self, page: Merged) -> list[QueryPart]:
        by_target = ids_by_shard(self.search, page.rows)
        self.document_targets = list(by_target)
        fetches = []
        for target, ids in by_target.items():
            body = orjson.dumps(fetch_body(self.search, ids, self.name))
            request = SearchPart(target.index, target.shard, body)
            weight = len(ids) / len(page.rows)
            fetches.append(QueryPart(target.place, weight, request, documents_reader(ids)))
        return fetches

    def documents(self, fetches: list[QueryPart]) -> dict[tuple[Target, str], Row]:
        """Documents that the second step fetched, by shard and id."""
        return documents_of(self.document_targets, fetches)

    def count_lost(self, documents: dict[tuple[Target, str], Row]) -> int:
        """Count the hits of the page whose documents the second step did not fetch."""
        if self.page is None or self.search.source is False:
            return 0
        return len(self.page.rows) - len(documents)


def ids_by_shard(search: Search, rows: list[tuple[Target, Row]]) -> dict[Target, list[str]]:
    """The ids that the second step fetches, by shard; empty if the search asks for no documents."""
    by_target: dict[Target, list[str]] = defaultdict(list)
    if search.source is not False:
        for target, row in rows:
            by_target[target].append(row["_id"])
    return by_target


def documents_of(targets: list[Target], parts: list[QueryPart]) -> dict[tuple[Target, str], Row]:
    """The documents of the parts that were served, by shard and id."""
    return {
        (target, row["_id"]): row
        for target, part in zip(targets, parts, strict=True)
        if part.served
        for row in part.answer
    }


def documents_reader(ids: list[str]) -> Callable[[Any], list[Row]]:
    """A decoder of an answer's documents.

    It raises ValueError if a document was not requested or occurs twice.
    """
    requested = frozenset(ids)

    def read(payload: Any) -> list[Row]:
        try:
            rows = payload["hits"]["hits"]
            names = [row["_id"] for row in rows]
        except (KeyError, TypeError) as error:
            raise ValueError(str(error)) from error
        if len(set(names)) != len(names) or not requested.issuperset(names):
            raise ValueError("other documents than were asked for")
        return list(rows)

    return read
