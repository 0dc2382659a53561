"""Runs clients' searches, reads and writes as queries of the core, for all frontends.

This module makes a query's parts from the shards of its indices, makes the second step from the first step's hits,
and determines the query's class and deadline from the settings and the client. Frontends make no parts themselves.
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
    """Makes queries from clients' operations and waits for their results.

    Args:
        config: The broker's settings, of which it uses the operations' classes, the tenants and the indices.
        core: Runs the queries.
        pool: Connections to the nodes, for the catalog of indices.
    """

    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core = config, core
        self.indices = IndexCatalog(config, core, pool)
        # The random prefix makes this process's tokens differ from those of an earlier process.
        self.token_prefix = f"{core.loop.rng.getrandbits(48):012x}"
        self.tokens = 0  # number of tokens made so far

    # --- the client and its class

    def client_info(
        self, headers: Mapping[str, str], seconds: float | None, arrived: float | None
    ) -> ClientInfo:
        """The client that sent a request with these headers; all frontends use the same headers.

        Args:
            headers: The request's headers.
            seconds: The client's own timeout, None if it gave none.
            arrived: When the request arrived, by the loop's clock, if it waited before it was read.
        """
        self.tokens += 1
        return ClientInfo(
            seconds,
            self._tenant_of(headers),
            accepted_name(headers.get(NAME_HEADER, "")) or f"{self.token_prefix}-q{self.tokens}",
            headers.get(CLASS_HEADER, ""),
            arrived,
        )

    def _tenant_of(self, headers: Mapping[str, str]) -> str:
        """The tenant that the client names; "" if the settings have no such tenant."""
        tenant = headers.get(TENANT_HEADER, "")
        return tenant if tenant in self.config.tenants else ""

    def priority_of(self, operation: str, headers: Mapping[str, str]) -> tuple[int, str]:
        """The request's priority level and its tenant.

        The level is the number of different priority weights above that of the request's class, so 0 is the highest.
        """
        classes = self.core.settings.classes
        named = classes.get(headers.get(CLASS_HEADER, ""))
        query_class = named or classes[self.config.operations[operation]]
        higher_weights = {each.worth for each in classes.values() if each.worth > query_class.worth}
        return len(higher_weights), self._tenant_of(headers)

    def class_of(self, operation: str, client: ClientInfo) -> str:
        """The name of the query's class: the class that the client names, by default the operation's class.

        Raises:
            RequestError: The client's class does not exist, or its effect differs from that of the operation's class.
        """
        default = self.config.operations[operation]
        if not client.class_name:
            return default
        classes = self.core.settings.classes
        named = classes.get(client.class_name)
        if named is None:
            raise RequestError(f"unknown query class [{client.class_name}]")
        if named.effect is not classes[default].effect:
            raise RequestError(
                f"class [{client.class_name}] does not fit [{operation}]: its effect differs"
            )
        return client.class_name

    def timeout_of(self, class_name: str, client: ClientInfo) -> float:
        """Seconds that a query of this class may take: the shorter of the class's deadline and the client's timeout."""
        deadline = self.core.settings.classes[class_name].deadline
        return deadline if client.seconds is None else min(deadline, client.seconds)

    def new_id(self) -> str:
        """A random id for a document that the client sent without an id."""
        return f"{self.core.loop.rng.getrandbits(120):030x}"

    # --- shards

    def shard(self, index: Index, routing: str) -> Target:
        """The shard that holds documents with this routing value."""
        return target_of(index, routing)

    def targets(
        self, indices: list[Index], routing: str = "", only: frozenset[int] | None = None
    ) -> list[Target]:
        """The shards of the indices: all, only those with the given numbers, or those of the routing values.

        Args:
            indices: The indices to search.
            routing: Routing values, separated by commas; "" for no routing.
            only: Numbers of shards within their index; None for all.
        """
        return shard_targets(indices, routing, only)

    # --- operations

    def make_group(self, subscribe: DisconnectSubscriber) -> QueryGroup:
        """A group of concurrent queries of one client."""
        return QueryGroup(self.core.loop, subscribe)

    def run(self, query: Query, subscribe: DisconnectSubscriber) -> Steps:
        """Submit a query and wait for its result, which is None if the client disconnected."""
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
        """Run one search over its shards, in one or two steps according to its class; returns a `QueryOutcome`.

        Raises:
            RequestError: The client's class cannot be used, or the page cannot be made.
            MergeError: The shards' answers to a search in one step cannot be merged.
        """
        class_name = self.class_of(operation, client)
        has_two_steps = self.core.settings.classes[class_name].second_step_parts > 0
        seconds, started = self.timeout_of(class_name, client), client.started(self.core.loop.now)
        search_query = SearchQuery(search, targets, client.name, self.config.buckets)
        query = Query(
            class_name,
            started + seconds,
            search_query.make_parts(seconds, has_two_steps, key),
            search_query.make_second_step if has_two_steps else None,
            client.tenant,
            key,
            client.name,
        )
        if not targets:
            empty = QueryResult(QueryStatus.ANSWERED, True)
            return QueryOutcome(empty, [], [], 0.0, search_query.merge_page([]))
        result = yield from self.run(query, subscribe)
        outcome = self._outcome_of(query, result, targets, started)
        if result is None or result.status is not QueryStatus.ANSWERED:
            return outcome
        if has_two_steps:
            self._add_documents(outcome, search_query, query)
        else:
            outcome.merged = search_query.merge_page(query.parts)
        return outcome

    def _add_documents(
        self, outcome: QueryOutcome, search_query: SearchQuery, query: Query
    ) -> None:
        """Set the page and the documents of a search in two steps."""
        if search_query.page is None and search_query.error is None:
            search_query.make_second_step(query.parts)
        if search_query.error is not None:
            raise search_query.error
        outcome.merged = search_query.page
        outcome.documents = search_query.documents(query.second_parts)
        outcome.lost = search_query.count_lost(outcome.documents)

    def documents(
        self,
        wanted: list[tuple[Target, str]],
        source: Any,
        operation: str,
        client: ClientInfo,
        subscribe: DisconnectSubscriber,
    ) -> Steps:
        """Read documents by id, with one part for each shard; returns a `QueryOutcome` with `documents`."""
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
        """Carry out writes, with one part for each shard.

        Returns:
            A `QueryOutcome` whose parts' answers are the nodes' items, and a list with each write's shard and its
            position among that shard's items.
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
                f"{self.token_prefix}-{self.tokens}.{client.name}",
                refresh,
            )
            parts.append(QueryPart(target.place, len(lines) / len(writes), request, _items_of))
        query = self._one_step_query(class_name, client, parts, "")
        result = yield from self.run(query, subscribe)
        return self._outcome_of(query, result, list(by_target), query.arrived), places

    def _one_step_query(
        self, class_name: str, client: ClientInfo, parts: list[QueryPart], key: str
    ) -> Query:
        """A query without a second step, even if its class has two steps."""
        deadline = client.started(self.core.loop.now) + self.timeout_of(class_name, client)
        return Query(class_name, deadline, parts, None, client.tenant, key, client.name)

    def _outcome_of(
        self, query: Query, result: QueryResult | None, targets: list[Target], started: float
    ) -> QueryOutcome:
        now = self.core.loop.now
        return QueryOutcome(
            result, query.parts, targets, now - started, in_time=now < query.deadline
        )


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
