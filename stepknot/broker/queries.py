"""Queries of the core, made from what a client asks, whichever front it came by.

Here an index's shards become parts with their weights, hits become a second step, and a query gets the class and
the time that settings and client give it. No front builds parts of its own.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Generator, Mapping
from dataclasses import dataclass
from functools import lru_cache, partial
from typing import Any

import orjson

from stepknot.broker.core import Ask, Core, QueryPart, Result, Status
from stepknot.broker.indices import Indices
from stepknot.config.settings import Config, Index
from stepknot.net.loop import Loop
from stepknot.net.tasks import Park, Task
from stepknot.nodes.codec import SearchPart, WritePart
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.search.aggs import MergeError
from stepknot.search.errors import RequestError
from stepknot.search.merge import Merged, ShardHits, Target, merge, read_shard
from stepknot.search.request import Search, fetch_body, shard_body
from stepknot.search.routing import shard_of
from stepknot.search.writes import Write

Steps = Generator[Park, Any, Any]
HangUp = Callable[[Callable[[], None]], None]  # is told whom to call when the client goes
CLASS_HEADER, TENANT_HEADER, NAME_HEADER = "x-query-class", "x-tenant", "x-opaque-id"
MOST_NAME = 128  # characters of a client's own name for a query


@dataclass(frozen=True, slots=True)
class Client:
    """Who asks, and how long it waits: `seconds` from now, none for the class's own."""

    seconds: float | None = None
    tenant: str = ""
    name: str = ""
    class_name: str = ""
    arrived: float | None = None  # by the loop's clock, where the request waited before it was read

    def begun(self, now: float) -> float:
        return now if self.arrived is None else self.arrived


@dataclass(slots=True)
class Outcome:
    """A query's end for a front: the result, its parts beside their shards, the page where it was answered."""

    result: Result | None
    parts: list[QueryPart]
    targets: list[Target]
    took: float
    merged: Merged | None = None
    documents: dict[tuple[Target, str], dict[str, Any]] | None = None
    lost: int = 0  # hits of the page that the second step did not bring
    in_time: bool = True

    @property
    def answered(self) -> bool:
        """Whether there is an answer that its client may still be given."""
        return self.result is not None and self.result.status is Status.ANSWERED and self.in_time

    def coverage(self) -> Coverage:
        missing = tuple(
            target for part, target in zip(self.parts, self.targets, strict=True) if not part.served
        )
        asked = len(self.parts)
        return Coverage(asked, asked - len(missing), not missing and not self.lost, missing)


@dataclass(frozen=True, slots=True)
class Coverage:
    """Of one query: parts asked for in its first step, those that answered, whether nothing is missing, and the
    shards that did not answer."""

    asked: int
    answered: int
    whole: bool
    missing: tuple[Target, ...] = ()


class Party:
    """Queries of one client that run side by side: when it hangs up, all of them are called off."""

    def __init__(self, loop: Loop, hang_up: HangUp) -> None:
        self.loop, self.left = loop, False
        self.goers: list[Callable[[], None]] = []
        self.tasks: list[Task] = []
        hang_up(self.gone)

    def gone(self) -> None:
        self.left, goers, self.goers = True, self.goers, []
        for each in goers:
            each()

    def hang_up(self, gone: Callable[[], None]) -> None:
        """What each of its queries is given in the client's place."""
        if self.left:
            gone()
        else:
            self.goers.append(gone)

    def start(self, steps: Steps) -> Task:
        task = self.loop.spawn(steps, "party")
        self.tasks.append(task)
        return task

    def wait(self) -> Steps:
        """All results, in the order in which they were started."""
        results = []
        for task in self.tasks:
            results.append((yield from task.wait()))
        self.tasks = []
        return results


class Queries:
    def __init__(self, config: Config, core: Core, pool: ConnectionPool) -> None:
        self.config, self.core = config, core
        self.indices = Indices(config, core, pool)
        self.boot = f"{core.loop.rng.getrandbits(48):012x}"  # tokens of this process differ from an earlier one's
        self.tokens = 0

    # --- who asks

    def client(
        self, headers: Mapping[str, str], seconds: float | None, arrived: float | None
    ) -> Client:
        """From a request's headers, the same for every front."""
        name = headers.get(NAME_HEADER, "")[:MOST_NAME]
        if not name.isascii() or not name.isprintable():
            name = ""
        self.tokens += 1
        tenant = headers.get(TENANT_HEADER, "")
        return Client(
            seconds,
            tenant if tenant in self.config.tenants else "",  # a name that is not ours says nothing
            name or f"{self.boot}-q{self.tokens}",
            headers.get(CLASS_HEADER, ""),
            arrived,
        )

    def level(self, operation: str, headers: Mapping[str, str]) -> tuple[int, str]:
        """How many classes are worth more than this operation's, or the one that its client names; and the tenant."""
        classes = self.core.settings.classes
        named = classes.get(headers.get(CLASS_HEADER, ""))
        kind = named or classes[self.config.operations[operation]]
        tenant = headers.get(TENANT_HEADER, "")
        return (
            len({each.worth for each in classes.values() if each.worth > kind.worth}),
            tenant if tenant in self.config.tenants else "",
        )

    def new_id(self) -> str:
        return f"{self.core.loop.rng.getrandbits(120):030x}"

    # --- indices and shards

    def shard(self, index: Index, routing: str) -> Target:
        shard = shard_of(routing, index.shards, index.routing_shards)
        return Target(index.name, shard, index.first + shard)

    def targets(
        self, indices: list[Index], routing: str = "", only: frozenset[int] | None = None
    ) -> list[Target]:
        """All shards, or those that the routing values (comma-separated) lead to."""
        if routing:
            return list(
                dict.fromkeys(
                    self.shard(index, each) for index in indices for each in routing.split(",")
                )
            )
        if only is None and len(indices) == 1:
            return all_shards(indices[0].name, indices[0].shards, indices[0].first)
        return [
            target
            for index in indices
            for target in all_shards(index.name, index.shards, index.first)
            if only is None or target.shard in only
        ]

    # --- asking

    def class_of(self, operation: str, client: Client) -> str:
        if not client.class_name:
            return self.config.operations[operation]
        kind = self.core.settings.classes.get(client.class_name)
        if kind is None:
            raise RequestError(f"unknown query class [{client.class_name}]")
        if kind.effect is not self.core.settings.classes[self.config.operations[operation]].effect:
            raise RequestError(
                f"class [{client.class_name}] does not fit [{operation}]: its effect differs"
            )
        return client.class_name

    def time_left(self, class_name: str, client: Client) -> float:
        deadline = self.core.settings.classes[class_name].deadline
        return deadline if client.seconds is None else min(deadline, client.seconds)

    def run(self, ask: Ask, hang_up: Any) -> Steps:
        """Hand it in and wait for its end; `hang_up` is told whom to call when the client goes."""
        self.core.ask(ask)
        hang_up(lambda: self.core.gone(ask))
        return (yield from ask.done.wait())

    def search(
        self,
        search: Search,
        targets: list[Target],
        operation: str,
        client: Client,
        key: str,
        hang_up: Any,
    ) -> Steps:
        """One search over its shards, in one step or two as its class says; ends in an `Outcome`."""
        class_name = self.class_of(operation, client)
        kind = self.core.settings.classes[class_name]
        seconds, begun = self.time_left(class_name, client), client.begun(self.core.loop.now)
        two = kind.second_step_parts > 0
        body = orjson.dumps(shard_body(search, seconds, not two, client.name))
        share = 1 / max(len(targets), 1)

        def page(parts: list[QueryPart]) -> Merged:
            found: list[ShardHits] = [each.answer for each in parts if each.served]
            return merge(search, found, len(found) < len(parts), self.config.buckets)

        merged: list[Merged | RequestError] = []
        owners: list[Target] = []  # of the second step's parts

        def second(parts: list[QueryPart]) -> list[QueryPart]:
            try:
                merged.append(page(parts))
            except (MergeError, RequestError) as error:
                merged.append(
                    error
                    if isinstance(error, RequestError)
                    else RequestError(
                        f"shards' answers do not fit together: {error}",
                        "search_phase_execution_exception",
                        503,
                    )
                )
                return []
            if not isinstance(merged[0], Merged):
                return []
            owned = hits_by_shard(search, merged[0].rows)
            owners.extend(owned)
            fetches = [
                (target, ids, orjson.dumps(fetch_body(search, ids, client.name)))
                for target, ids in owned.items()
            ]
            return [
                QueryPart(
                    target.place,
                    len(ids) / len(merged[0].rows),
                    SearchPart(target.index, target.shard, body),
                    documents_of(ids),
                )
                for target, ids, body in fetches
            ]

        parts = [
            QueryPart(
                target.place,
                share,
                SearchPart(target.index, target.shard, body, key),
                partial(read_shard, target, search),
            )
            for target in targets
        ]
        ask = Ask(
            class_name,
            begun + seconds,
            parts,
            second if two else None,
            client.tenant,
            key,
            client.name,
        )
        if not targets:
            return Outcome(Result(Status.ANSWERED, True), [], [], 0.0, page([]))
        result = yield from self.run(ask, hang_up)
        outcome = Outcome(
            result,
            ask.first,
            targets,
            self.core.loop.now - begun,
            in_time=self.core.loop.now < begun + seconds,
        )
        if result is None or result.status is not Status.ANSWERED:
            return outcome
        if not two:
            outcome.merged = page(ask.first)
            return outcome
        if not merged:
            second(ask.first)
        if isinstance(merged[0], RequestError):
            raise merged[0]
        outcome.merged = merged[0]
        outcome.documents = {
            (target, row["_id"]): row
            for target, each in zip(owners, ask.fetch, strict=True)
            if each.served
            for row in each.answer
        }
        outcome.lost = (
            len(merged[0].rows) - len(outcome.documents) if search.source is not False else 0
        )
        return outcome

    def documents(
        self,
        wanted: list[tuple[Target, str]],
        source: Any,
        operation: str,
        client: Client,
        hang_up: Any,
    ) -> Steps:
        """Documents by id, one part a shard however many there are; ends in (Ask, found by target and id)."""
        class_name = self.class_of(operation, client)
        by_target: dict[Target, list[str]] = defaultdict(list)
        for target, name in wanted:
            if name not in by_target[target]:
                by_target[target].append(name)
        parts = []
        for target, ids in by_target.items():
            body = {
                "stats": [client.name],
                "query": {"ids": {"values": ids}},
                "size": len(ids),
                "_source": source,
                "version": True,
                "seq_no_primary_term": True,
                "track_total_hits": False,
            }
            parts.append(
                QueryPart(
                    target.place,
                    len(ids) / sum(map(len, by_target.values())),
                    SearchPart(target.index, target.shard, orjson.dumps(body), ids[0]),
                    documents_of(ids),
                )
            )
        seconds = self.time_left(class_name, client)
        # Documents come in one step: a class with two is told by an empty second one.
        ask = Ask(
            class_name,
            client.begun(self.core.loop.now) + seconds,
            parts,
            None,
            client.tenant,
            wanted[0][1] if wanted else "",
            client.name,
        )
        result = yield from self.run(ask, hang_up)
        targets = list(by_target)
        found = {
            (target, row["_id"]): row
            for part, target in zip(parts, targets, strict=True)
            if part.served
            for row in part.answer
        }
        return Outcome(
            result,
            parts,
            targets,
            self.core.loop.now - ask.arrived,
            documents=found,
            in_time=self.core.loop.now < ask.deadline,
        )

    def write(
        self, writes: list[Write], operation: str, client: Client, refresh: bool, hang_up: Any
    ) -> Steps:
        """One part a shard; ends in an Outcome whose parts' answers are the boxes' items, and whose part a
        write went to and its place there (`places`)."""
        class_name = self.class_of(operation, client)
        by_target: dict[Target, list[bytes]] = defaultdict(list)
        places = []
        for write in writes:
            places.append((write.target, len(by_target[write.target])))
            by_target[write.target].append(write.lines())
        parts = []
        for target, each in by_target.items():
            self.tokens += 1
            request = WritePart(
                target.index,
                target.shard,
                b"".join(each),
                len(each),
                f"{self.boot}-{self.tokens}.{client.name}",
                refresh,
            )
            parts.append(
                QueryPart(
                    target.place, len(each) / len(writes), request, lambda payload: payload["items"]
                )
            )
        seconds = self.time_left(class_name, client)
        ask = Ask(
            class_name,
            client.begun(self.core.loop.now) + seconds,
            parts,
            None,
            client.tenant,
            "",
            client.name,
        )
        result = yield from self.run(ask, hang_up)
        outcome = Outcome(
            result,
            parts,
            list(by_target),
            self.core.loop.now - ask.arrived,
            in_time=self.core.loop.now < ask.deadline,
        )
        return outcome, places


@lru_cache(maxsize=1000)
def all_shards(name: str, shards: int, first: int) -> list[Target]:
    """Shared: not to be changed."""
    return [Target(name, shard, first + shard) for shard in range(shards)]


def hits_by_shard(
    search: Search, rows: list[tuple[Target, dict[str, Any]]]
) -> dict[Target, list[str]]:
    """What the second step asks of each shard that owns hits of the page; nothing where no documents are wanted."""
    owned: dict[Target, list[str]] = defaultdict(list)
    if search.source is not False:
        for target, row in rows:
            owned[target].append(row["_id"])
    return owned


def documents_of(ids: list[str]) -> Any:
    wanted = frozenset(ids)

    def accept(payload: Any) -> list[dict[str, Any]]:
        try:
            rows = payload["hits"]["hits"]
            names = [row["_id"] for row in rows]
        except (KeyError, TypeError) as error:
            raise ValueError(str(error)) from None
        if len(set(names)) != len(names) or not wanted.issuperset(names):
            raise ValueError("other documents than were asked for")
        return list(rows)

    return accept
