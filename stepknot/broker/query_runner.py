"""Runs clients' searches, reads and writes as queries of the core, whichever frontend they came by.

Here an index's shards become parts with their weights, hits become a second step, and a query gets the class and
the time that settings and client give it. No frontend makes parts of its own.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import Any

import orjson

from stepknot.broker.client_query import (
    CLASS_HEADER,
    NAME_HEADER,
    TENANT_HEADER,
    ClientInfo,
    QueryOutcome,
    accepted_name,
)
from stepknot.broker.core import Core
from stepknot.broker.index_catalog import IndexCatalog
from stepknot.broker.query import Query, QueryPart, QueryResult, QueryStatus
from stepknot.broker.query_group import DisconnectSubscriber, QueryGroup, Steps
from stepknot.broker.search_query import SearchQuery, documents_of, documents_reader
from stepknot.broker.shard_targets import shard_targets, target_of
from stepknot.config.settings import Config, Index
from stepknot.nodes.codec import SearchPart, WritePart
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.search.errors import RequestError
from stepknot.search.merge import Target
from stepknot.search.request import Search
from stepknot.search.writes import Write


class QueryRunner:
    """Makes queries from clients' operations and waits for their ends.

    Args:
        config: The broker's settings: classes of operations, tenants, indices.
        core: Runs the queries.
        pool: Connections to nodes, for the catalog of indices.
    """

    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core = config, core
        self.indices = IndexCatalog(config, core, pool)
        # Tokens of this process differ from those of an earlier one.
        self.boot = f"{core.loop.rng.getrandbits(48):012x}"
        self.tokens = 0

    # --- the client and its class

    def client_info(
        self, headers: Mapping[str, str], seconds: float | None, arrived: float | None
    ) -> ClientInfo:
        """The client of a request with these headers, the same for every frontend."""
        self.tokens += 1
        return ClientInfo(
            seconds,
            self._tenant_of(headers),
            accepted_name(headers.get(NAME_HEADER, "")) or f"{self.boot}-q{self.tokens}",
            headers.get(CLASS_HEADER, ""),
            arrived,
        )

    def _tenant_of(self, headers: Mapping[str, str]) -> str:
        """The tenant that the client names; "" for a name that the settings do not have."""
        tenant = headers.get(TENANT_HEADER, "")
        return tenant if tenant in self.config.tenants else ""

    def priority_of(self, operation: str, headers: Mapping[str, str]) -> tuple[int, str]:
        """How many priority weights are above that of the operation's or the client's class; and the tenant."""
        classes = self.core.settings.classes
        named = classes.get(headers.get(CLASS_HEADER, ""))
        query_class = named or classes[self.config.operations[operation]]
        above = {each.worth for each in classes.values() if each.worth > query_class.worth}
        return len(above), self._tenant_of(headers)

    def class_of(self, operation: str, client: ClientInfo) -> str:
        """The name of the query's class: the one that the client names, or the operation's.

        Raises:
            RequestError: There is no such class, or its effect is another than the operation's.
        """
        own = self.config.operations[operation]
        if not client.class_name:
            return own
        classes = self.core.settings.classes
        named = classes.get(client.class_name)
        if named is None:
            raise RequestError(f"unknown query class [{client.class_name}]")
        if named.effect is not classes[own].effect:
            raise RequestError(
                f"class [{client.class_name}] does not fit [{operation}]: its effect differs"
            )
        return client.class_name

    def timeout_of(self, class_name: str, client: ClientInfo) -> float:
        """Seconds that a query of this class may take: the class's deadline or the client's wait, if shorter."""
        deadline = self.core.settings.classes[class_name].deadline
        return deadline if client.seconds is None else min(deadline, client.seconds)

    def new_id(self) -> str:
        """An id for a document that its client did not name."""
        return f"{self.core.loop.rng.getrandbits(120):030x}"

    # --- shards

    def shard(self, index: Index, routing: str) -> Target:
        """The shard that this routing value leads to."""
        return target_of(index, routing)

    def targets(
        self, indices: list[Index], routing: str = "", only: frozenset[int] | None = None
    ) -> list[Target]:
        """All shards, only those of these numbers, or those that the routing values (comma-separated) lead to."""
        return shard_targets(indices, routing, only)

    # --- operations

    def make_group(self, subscribe: DisconnectSubscriber) -> QueryGroup:
        """A group for queries of one client that run side by side."""
        return QueryGroup(self.core.loop, subscribe)

    def run(self, query: Query, subscribe: DisconnectSubscriber) -> Steps:
        """Submit it and wait for its result, None where the client disconnected."""
        self.core.submit(query)
        subscribe(lambda: self.core.on_client_disconnected(query))
        return (yield from query.done.wait())

    def search(
        self,
        search: Search,
        targets: list[Target],
        operation: str,
        client: ClientInfo,
        key: str,
        subscribe: DisconnectSubscriber,
    ) -> Steps:
        """One search over its shards, in one step or two as its class says; ends in a `QueryOutcome`.

        Raises:
            RequestError: The class does not fit, or the page cannot be made.
            MergeError: The shards' answers of a search in one step do not fit together.
        """
        class_name = self.class_of(operation, client)
        has_two_steps = self.core.settings.classes[class_name].second_step_parts > 0
        seconds, begun = self.timeout_of(class_name, client), client.begun(self.core.loop.now)
        wanted = SearchQuery(search, targets, client.name, self.config.buckets)
        query = Query(
            class_name,
            begun + seconds,
            wanted.make_parts(seconds, has_two_steps, key),
            wanted.make_second_step if has_two_steps else None,
            client.tenant,
            key,
            client.name,
        )
        if not targets:
            empty = QueryResult(QueryStatus.ANSWERED, True)
            return QueryOutcome(empty, [], [], 0.0, wanted.merge_page([]))
        result = yield from self.run(query, subscribe)
        outcome = self._outcome_of(query, result, targets, begun)
        if result is None or result.status is not QueryStatus.ANSWERED:
            return outcome
        if has_two_steps:
            self._add_documents(outcome, wanted, query)
        else:
            outcome.merged = wanted.merge_page(query.parts)
        return outcome

    def _add_documents(self, outcome: QueryOutcome, wanted: SearchQuery, query: Query) -> None:
        """The page and documents of a search in two steps."""
        if wanted.page is None and wanted.error is None:
            wanted.make_second_step(query.parts)
        if wanted.error is not None:
            raise wanted.error
        outcome.merged = wanted.page
        outcome.documents = wanted.documents(query.second_parts)
        outcome.lost = wanted.count_lost(outcome.documents)

    def documents(
        self,
        wanted: list[tuple[Target, str]],
        source: Any,
        operation: str,
        client: ClientInfo,
        subscribe: DisconnectSubscriber,
    ) -> Steps:
        """Documents by id, one part for each shard; ends in a `QueryOutcome` with `documents`."""
        class_name = self.class_of(operation, client)
        by_target: dict[Target, list[str]] = defaultdict(list)
        for target, name in wanted:
            if name not in by_target[target]:
                by_target[target].append(name)
        total = sum(map(len, by_target.values()))
        parts = [
            QueryPart(
                target.place,
                len(ids) / total,
                SearchPart(
                    target.index, target.shard, _documents_body(ids, source, client.name), ids[0]
                ),
                documents_reader(ids),
            )
            for target, ids in by_target.items()
        ]
        query = self._one_step_query(class_name, client, parts, wanted[0][1] if wanted else "")
        result = yield from self.run(query, subscribe)
        targets = list(by_target)
        outcome = self._outcome_of(query, result, targets, query.arrived)
        outcome.documents = documents_of(targets, parts)
        return outcome

    def write(
        self,
        writes: list[Write],
        operation: str,
        client: ClientInfo,
        refresh: bool,
        subscribe: DisconnectSubscriber,
    ) -> Steps:
        """Writes, one part for each shard.

        Ends in a `QueryOutcome` whose parts' answers are the nodes' items, and a list with each write's shard
        and its place among that shard's items.
        """
        class_name = self.class_of(operation, client)
        by_target: dict[Target, list[bytes]] = defaultdict(list)
        places = []
        for write in writes:
            places.append((write.target, len(by_target[write.target])))
            by_target[write.target].append(write.lines())
        parts = []
        for target, lines in by_target.items():
            self.tokens += 1
            request = WritePart(
                target.index,
                target.shard,
                b"".join(lines),
                len(lines),
                f"{self.boot}-{self.tokens}.{client.name}",
                refresh,
            )
            parts.append(QueryPart(target.place, len(lines) / len(writes), request, _items_of))
        query = self._one_step_query(class_name, client, parts, "")
        result = yield from self.run(query, subscribe)
        return self._outcome_of(query, result, list(by_target), query.arrived), places

    def _one_step_query(
        self, class_name: str, client: ClientInfo, parts: list[QueryPart], key: str
    ) -> Query:
        """A query without a second step, also where its class has two."""
        deadline = client.begun(self.core.loop.now) + self.timeout_of(class_name, client)
        return Query(class_name, deadline, parts, None, client.tenant, key, client.name)

    def _outcome_of(
        self, query: Query, result: QueryResult | None, targets: list[Target], begun: float
    ) -> QueryOutcome:
        now = self.core.loop.now
        return QueryOutcome(result, query.parts, targets, now - begun, in_time=now < query.deadline)


def _documents_body(ids: list[str], source: Any, name: str) -> bytes:
    return orjson.dumps(
        {
            "stats": [name],
            "query": {"ids": {"values": ids}},
            "size": len(ids),
            "_source": source,
            "version": True,
            "seq_no_primary_term": True,
            "track_total_hits": False,
        }
    )


def _items_of(payload: Any) -> Any:
    return payload["items"]
