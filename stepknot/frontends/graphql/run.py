"""Carries a plan out on the core and turns what came into the values that the answer is made of.

All fields of an operation share one client and one deadline. A field that was refused, failed or is not whole says so
in its own place; the others are not touched by it.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, replace
from typing import Any

from graphql import GraphQLError

from stepknot.broker.client_query import ClientInfo, Coverage, QueryOutcome
from stepknot.broker.query import QueryResult, QueryStatus
from stepknot.broker.query_group import DisconnectSubscriber, QueryGroup
from stepknot.broker.query_runner import QueryRunner
from stepknot.config.graphql import ID, GraphField, GraphType
from stepknot.frontends.graphql.plan import (
    AggregatePlan,
    Batch,
    ById,
    ByKey,
    Change,
    Counts,
    Entities,
    Linked,
    One,
    Page,
    Plan,
    Planner,
    Root,
    Wanted,
    bad,
    bound_sets,
    cursor,
)
from stepknot.net.tasks import Park
from stepknot.search.entities import Bound, Group, Measured, by_group, by_key
from stepknot.search.errors import RequestError
from stepknot.search.merge import Target

Path = tuple[str | int, ...]  # in the response, from its root
Steps = Generator[Park, Any, Any]
Values = dict[str, Any]
MOST_NAME = 200  # characters of a query's name: an operation's name and a place in it
REFUSED, FAILED, UNKNOWN = "REQUEST_RATE_LIMITED", "SHARDS_UNAVAILABLE", "OUTCOME_UNKNOWN"
LATE, SHARED, LACKING = "DEADLINE_EXCEEDED", "KEY_NOT_UNIQUE", "VALUE_NOT_GIVEN"
WRITE_CODES = {404: "NOT_FOUND", 409: "CONFLICT"}


@dataclass(frozen=True, slots=True)
class Said:
    """How much of one query's shards answered, and for which place of the answer."""

    path: Path
    coverage: Coverage


class ClientGone(Exception):
    """Nobody waits for the answer any more."""


def ended(result: QueryResult, writes: bool) -> GraphQLError:
    """Of a query that was refused or failed."""
    if result.status is QueryStatus.REFUSED:
        more = (
            {"retryAfterMs": int(result.retry_after * 1000 + 0.999)} if result.retry_after else {}
        )
        return bad(
            "refused: nothing of it has taken effect, trying again is harmless",
            code=REFUSED,
            repeatable=True,
            **more,
        )
    if writes:
        return bad("given up: it may or may not have taken effect", code=UNKNOWN, repeatable=False)
    return bad("given up: too few shards answered", code=FAILED, repeatable=True)


def reason_of(error: RequestError) -> GraphQLError:
    return bad(error.reason, code="BAD_USER_INPUT" if error.status < 500 else FAILED)


class Runner:
    """One operation on the core. `said` gathers each query's coverage, `retry_after` the longest advice."""

    def __init__(
        self,
        queries: QueryRunner,
        planner: Planner,
        client: ClientInfo,
        hang_up: DisconnectSubscriber,
        deadline: float,
    ) -> None:
        self.queries, self.planner, self.client, self.deadline = queries, planner, client, deadline
        self.loop = queries.core.loop
        self.party = QueryGroup(self.loop, hang_up)
        self.subscribe = self.party.subscribe
        self.said: list[Said] = []
        self.retry_after = 0.0

    def run(self, plan: Plan) -> Steps:
        """The root fields' values by their names in the answer. Raises ClientGone."""
        if plan.serial:
            results = []
            for root in plan.roots:
                results.append((yield from self.change(root)))
        else:
            for root in plan.roots:
                self.party.start(self.guarded(root))
            results = yield from self.party.wait()
        if self.party.is_disconnected:
            raise ClientGone
        return {root.response: result for root, result in zip(plan.roots, results, strict=True)}

    def guarded(self, root: Root) -> Steps:
        """A root field's value; what ends it early is its own error."""
        try:
            if isinstance(root, Page):
                return (yield from self.page(root))
            if isinstance(root, One):
                return (yield from self.one(root))
            assert isinstance(root, Entities)
            return (yield from self.entities(root))
        except GraphQLError as error:
            return error
        except RequestError as error:
            return reason_of(error)
        except ClientGone:
            return None

    def named(self, path: Path) -> ClientInfo:
        """The client of one of the operation's queries: boxes and logs see the operation's name and the place."""
        return replace(
            self.client, name=f"{self.client.name}~{'.'.join(map(str, path))}"[:MOST_NAME]
        )

    def note(self, outcome: QueryOutcome, path: Path, writes: bool = False) -> GraphQLError | None:
        """Takes down how a query ended; an error where it brought no answer."""
        if outcome.result is None:
            gone = self.party.is_disconnected
            raise ClientGone if gone else bad("ended with the broker", code=FAILED)
        if outcome.result.is_answered:
            self.said.append(Said(path, outcome.coverage()))
            return None if outcome.in_time else bad("its time was over", code=LATE)
        self.retry_after = max(self.retry_after, outcome.result.retry_after)
        return ended(outcome.result, writes)

    # --- searches and documents

    def search(self, wanted: Page | ByKey | Counts, path: Path, key: str = "") -> Steps:
        return self.queries.search(
            wanted.search, wanted.targets, wanted.operation, self.named(path), key, self.subscribe
        )

    def page(self, root: Page) -> Steps:
        outcome: QueryOutcome = yield from self.search(root, (root.response,), root.routing)
        error = self.note(outcome, (root.response,))
        if error is not None:
            return error
        assert outcome.merged is not None
        merged, documents = outcome.merged, outcome.documents or {}
        rows = merged.rows[: root.first]
        nodes: list[Any] = []
        for target, row in rows:
            if root.search.source is False:
                nodes.append(node_of(root.kind, root.wanted, row["_id"], {}))
                continue
            found = documents.get((target, row["_id"])) if outcome.documents is not None else row
            nodes.append(
                bad("its document could not be fetched", code=FAILED, repeatable=True)
                if found is None
                else node_of(root.kind, root.wanted, row["_id"], found.get("_source", {}))
            )
        yield from self.follow(root.wanted, root.kind, nodes, (root.response,))
        cursors = [cursor(root.order, row["sort"]) if root.cursors else None for _, row in rows]
        return {
            "edges": [
                {"cursor": mark, "score": row.get("_score"), "node": node}
                for (_, row), mark, node in zip(rows, cursors, nodes, strict=True)
            ],
            "nodes": nodes,
            "pageInfo": {
                "hasNextPage": len(merged.rows) > root.first,
                "startCursor": cursors[0] if cursors else None,
                "hasPreviousPage": root.search.search_after is not None,
                "endCursor": cursors[-1] if cursors else None,
            },
            "totalCount": merged.total,
            "totalIsExact": merged.exact,
            "aggregate": aggregates_of(root.aggregates, merged.aggregations, merged.total),
        }

    def one(self, root: One) -> Steps:
        outcome: QueryOutcome = yield from self.queries.documents(
            [(root.target, root.identity)],
            root.wanted.source(root.kind),
            root.operation,
            self.named((root.response,)),
            self.subscribe,
        )
        error = self.note(outcome, (root.response,))
        if error is not None:
            return error
        nodes = [self.document(outcome, root.kind, root.wanted, root.target, root.identity)]
        yield from self.follow(root.wanted, root.kind, nodes, (root.response,))
        return nodes[0]

    def document(
        self, outcome: QueryOutcome, kind: GraphType, wanted: Wanted, target: Target, identity: str
    ) -> Any:
        """None where there is none; an error where its shard did not say."""
        assert outcome.documents is not None
        row = outcome.documents.get((target, identity))
        if row is not None:
            return node_of(kind, wanted, identity, row.get("_source", {}))
        served = any(
            part.served
            for part, each in zip(outcome.parts, outcome.targets, strict=True)
            if each == target
        )
        return None if served else bad("its shard did not answer", code=FAILED, repeatable=True)

    # --- entities

    def entities(self, root: Entities) -> Steps:
        values = list(root.given)
        party = [self.loop.spawn(self.batch(each, root, values), "batch") for each in root.batches]
        for task in party:
            yield from task.wait()
        return values

    def batch(self, batch: Batch, root: Entities, values: list[Any]) -> Steps:
        name = batch.entity.name if isinstance(batch, Counts) else batch.kind.name
        path = (root.response, name)
        try:
            if isinstance(batch, ById):
                error = yield from self.by_id(batch, values, path)
            elif isinstance(batch, ByKey):
                error = yield from self.by_key(batch, values, path)
            else:
                found = yield from self.counted(batch, path)
                for group, places in batch.groups.items():
                    for place in places:
                        values[place] |= found[group]
                return
        except RequestError as failure:
            error = reason_of(failure)
        except ClientGone:
            return
        if error is not None:
            for places in (batch.groups if isinstance(batch, Counts) else batch.places).values():
                for place in places:
                    values[place] = error

    def by_id(self, batch: ById, values: list[Any], path: Path) -> Steps:
        outcome: QueryOutcome = yield from self.queries.documents(
            list(batch.places),
            batch.wanted.source(batch.kind),
            batch.operation,
            self.named(path),
            self.subscribe,
        )
        error = self.note(outcome, path)
        if error is not None:
            return error
        nodes = {
            key: self.document(outcome, batch.kind, batch.wanted, *key) for key in batch.places
        }
        yield from self.follow(batch.wanted, batch.kind, list(nodes.values()), path)
        for key, places in batch.places.items():
            for place in places:
                values[place] = nodes[key]
        return None

    def by_key(self, batch: ByKey, values: list[Any], path: Path) -> Steps:
        outcome: QueryOutcome = yield from self.search(batch, path)
        error = self.note(outcome, path)
        if error is not None:
            return error
        assert outcome.merged is not None
        rows = []
        for target, row in outcome.merged.rows:
            found = (
                outcome.documents.get((target, row["_id"]))
                if outcome.documents is not None
                else row
            )
            if found is not None:
                source = found.get("_source", {})
                rows.append((node_of(batch.kind, batch.wanted, row["_id"], source), source))
        found_by_key = by_key(batch.sources, rows, outcome.merged.total)
        yield from self.follow(batch.wanted, batch.kind, list(found_by_key.rows.values()), path)
        whole = outcome.coverage().complete
        for key, places in batch.places.items():
            value: Any = found_by_key.rows.get(key)
            if key in found_by_key.shared:
                value = bad("several documents hold this key", code=SHARED)
            elif value is None and not whole:
                value = bad(
                    "not found where shards answered, and some did not",
                    code=FAILED,
                    repeatable=True,
                )
            elif value is None and found_by_key.cut:
                value = bad(
                    "several documents hold some of these keys: this one's were not reached",
                    code=SHARED,
                )
            for place in places:
                values[place] = value
        return None

    def counted(self, batch: Counts, path: Path) -> Steps:
        """Values by group. From some of the shards there is no count: each metric is an error then."""
        outcome: QueryOutcome = yield from self.search(batch, path)
        error = self.note(outcome, path)
        if error is None and not outcome.coverage().complete:
            error = bad(
                "some shards did not answer, and a count of the others would be too low",
                code=FAILED,
                repeatable=True,
            )
        if error is not None:
            return {group: {each.name: error for each in batch.measured} for group in batch.groups}
        assert outcome.merged is not None
        return by_group(list(batch.groups), batch.measured, outcome.merged)

    # --- references

    def follow(self, wanted: Wanted, kind: GraphType, nodes: list[Any], path: Path) -> Steps:
        """Counts of the entities that these documents lead to: one search for all of them, beside each other."""
        rows = [each for each in nodes if isinstance(each, dict)]
        tasks = [
            self.loop.spawn(self.follow_one(link, bounds, rows, (*path, name)), "reference")
            for name, link in wanted.links.items()
            for bounds in bound_sets(link.entity, link.measured)
        ]
        for task in tasks:
            yield from task.wait()

    def follow_one(
        self,
        link: Linked,
        bounds: tuple[tuple[str, str, str], ...],
        rows: list[Values],
        path: Path,
    ) -> Steps:
        measured = tuple(
            each for each in link.measured if link.entity.metrics[each.name].bounds == bounds
        )
        stubs: dict[Group, list[Values]] = {}
        for row in rows:
            stub = row[link.reference.name]
            if stub is None:
                continue
            missing = [name for _, _, name in bounds if stub.get(name) is None]
            if missing:
                stub |= {each.name: lacking(link, each.name, missing[0]) for each in measured}
                continue
            group = Group(
                tuple(stub[name] for name in link.key),
                tuple(Bound(source, relation, stub[name]) for source, relation, name in bounds),
            )
            stubs.setdefault(group, []).append(stub)
        most = self.planner.limits.keys
        groups = list(stubs)
        for start in range(0, len(groups), most):
            some = groups[start : start + most]
            found = yield from self.linked_counts(link, some, measured, path)
            for group in some:
                for stub in stubs[group]:
                    stub |= found[group]

    def linked_counts(
        self,
        link: Linked,
        groups: list[Group],
        measured: tuple[Measured, ...],
        path: Path,
    ) -> Steps:
        batch = self.planner.counted(
            link.entity, link.key, {group: [] for group in groups}, measured
        )
        try:
            return (yield from self.counted(batch, path))
        except RequestError as error:
            return {group: {each.name: reason_of(error) for each in measured} for group in groups}
        except ClientGone:
            return {group: {} for group in groups}

    # --- writes

    def change(self, root: Root) -> Steps:
        """One write, begun once those before it have ended. Where no time is left it is not begun."""
        assert isinstance(root, Change)
        if self.party.is_disconnected:
            raise ClientGone
        if self.loop.now >= self.deadline:
            return bad("not begun: the operation's time was over", code=LATE, repeatable=True)
        try:
            outcome, _ = yield from self.queries.write(
                [root.write], root.operation, self.named((root.response,)), True, self.subscribe
            )
            error = self.note(outcome, (root.response,), writes=True)
        except RequestError as failure:
            return reason_of(failure)
        if error is not None:
            return error
        item = next(iter(outcome.parts[0].answer[0].values()))
        if "error" in item:
            code = WRITE_CODES.get(
                item["status"], "BAD_USER_INPUT" if item["status"] < 500 else FAILED
            )
            return bad(str(item["error"].get("reason", "")), code=code, status=item["status"])
        if item["status"] == 404:
            return bad("there is no such document", code="NOT_FOUND", status=404)
        return {
            "id": root.write.identity,
            "result": item.get("result", ""),
            "version": item.get("_version", 0),
        }


# --- values


def node_of(kind: GraphType, wanted: Wanted, identity: str, source: Values) -> Values:
    node: Values = {"__typename": kind.name, ID: identity}
    for name in wanted.fields:
        if name != ID:
            field = kind.fields[name]
            value = source.get(field.source)
            plain = (
                value.__class__ is str or value.__class__ is int
            )  # most of them: no more is to be looked at
            node[name] = value if plain and not field.many else field_value(field, identity, source)
    for name, link in wanted.links.items():
        stub: Values | None = {"__typename": link.entity.name}
        for key, name_here in link.reference.values:
            value = field_value(kind.fields[name_here], identity, source)
            if value is None and key in link.key:
                stub = None  # without its key there is no such entity
                break
            assert stub is not None
            stub[key] = value
        if stub is not None:
            stub |= {
                metric: lacking(link, metric, needed) for metric, needed in link.lacking.items()
            }
        node[name] = stub
    return node


def lacking(link: Linked, metric: str, needed: str) -> GraphQLError:
    return bad(f"{link.entity.name}.{metric} needs {needed}, which is not known here", code=LACKING)


def field_value(field: GraphField, identity: str, source: Values) -> Any:
    """As the schema has it; an error where the document holds something else."""
    if field.kind == "id":
        return identity
    value: Any = source.get(field.source)
    if value is None and "." in field.source:
        value = source
        for step in field.source.split("."):
            value = value.get(step) if isinstance(value, dict) else None
    if field.many:
        return value if value is None or isinstance(value, list) else [value]
    if isinstance(value, list):
        if len(value) > 1:
            return bad(
                f"the document holds {len(value)} values; the settings can say many = true",
                code="SEVERAL_VALUES",
            )
        value = value[0] if value else None
    return value


def aggregates_of(plans: list[AggregatePlan], found: Values, count: int) -> Values:
    """By the names in the answer, since one field may be asked for in several ways."""
    made: Values = {}
    for plan in plans:
        inner: Values = dict.fromkeys(plan.counted, count)
        for part in plan.parts:
            result = found[part.name]
            match part.kind:
                case "stats":
                    empty = not result["count"]
                    inner[part.response] = {
                        name: None if empty and name != "count" else result[name]
                        for name in ("count", "min", "max", "avg", "sum")
                    }
                case "distinct":
                    inner[part.response] = {
                        "value": result["value"],
                        "lowerBound": bool(result.get("lower_bound", False)),
                    }
                case "terms":
                    inner[part.response] = {
                        "buckets": buckets_of(part.buckets, result["buckets"]),
                        "errorUpperBound": result["doc_count_error_upper_bound"],
                        "otherCount": result["sum_other_doc_count"],
                    }
                case _:
                    inner[part.response] = buckets_of(part.buckets, result["buckets"])
        made[plan.response] = inner
    return made


def buckets_of(plans: list[AggregatePlan], buckets: list[Values]) -> list[Values]:
    return [
        {
            "key": str(each.get("key_as_string", each["key"])),
            "count": each["doc_count"],
            "aggregate": aggregates_of(plans, each, each["doc_count"]),
        }
        for each in buckets
    ]
