"""An operation as the queries that it causes: what is asked of which shards, and what is wanted of the answers.

Planning comes before anything is sent, so its `parts` are an upper bound of what boxes are asked (further attempts
aside), and an operation that would cause too many is refused whole. Each root field is one query of the core, a batch
of entities one for each key that its representations use, and a reference's counts one more after its rows are known.
"""

from __future__ import annotations

import base64
import binascii
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson
from graphql import (
    FragmentDefinitionNode,
    GraphQLError,
    GraphQLObjectType,
    GraphQLSchema,
    OperationDefinitionNode,
    OperationType,
)
from graphql.execution.collect_fields import (
    CollectedFields,
    FieldDetailsList,
    FragmentDetails,
    collect_fields,
    collect_subfields,
)
from graphql.execution.values import VariableValues, get_argument_values

from stepknot.config.graphql import (
    ID,
    GraphEntity,
    GraphLimits,
    GraphSettings,
    GraphType,
    Reference,
)
from stepknot.config.settings import Index
from stepknot.frontends.graphql.limits import TooMuch
from stepknot.frontends.graphql.sdl import key_value
from stepknot.search.entities import Bound, Group, Key, Measured, documents_search, groups_search
from stepknot.search.errors import RequestError
from stepknot.search.merge import Target
from stepknot.search.request import Search, parse_search
from stepknot.search.writes import Write

BAD_INPUT = "BAD_USER_INPUT"
META = {"__typename", "__schema", "__type", "_service"}
CALENDAR = {
    "MINUTE": "minute",
    "HOUR": "hour",
    "DAY": "day",
    "WEEK": "week",
    "MONTH": "month",
    "YEAR": "year",
}
WRITES = ("index", "create", "update", "delete")
Body = dict[str, Any]


def bad(text: str, node: Any = None, code: str = BAD_INPUT, **more: Any) -> GraphQLError:
    return GraphQLError(text, node, extensions={"code": code, **more})


# --- what is wanted of the answers


@dataclass(slots=True)
class Linked:
    """A reference that is selected: the entity's counts and metrics wanted of it, and by which key."""

    reference: Reference
    entity: GraphEntity
    key: tuple[str, ...]
    measured: tuple[Measured, ...]
    lacking: dict[str, str]  # metrics that need a value which is not here, and which


@dataclass(slots=True)
class Wanted:
    """Of a type's documents: the fields, and the references."""

    fields: dict[str, None] = field(default_factory=dict)
    links: dict[str, Linked] = field(default_factory=dict)

    def source(self, kind: GraphType) -> list[str]:
        names = {kind.fields[each].source for each in self.fields}
        for link in self.links.values():
            names |= {kind.fields[source].source for _, source in link.reference.values}
        return sorted(names - {"_id"})


@dataclass(slots=True)
class AggregatePlan:
    """One `aggregate` of the selection. Aggregations are named by where they stand in the answer."""

    response: str
    parts: list[AggregatePart] = field(default_factory=list)
    counted: list[str] = field(
        default_factory=list
    )  # where the answer says how many documents there are


@dataclass(slots=True)
class AggregatePart:
    response: str
    kind: str  # the field of the aggregate
    name: str  # of the aggregation that boxes are asked for
    body: Body
    buckets: list[AggregatePlan] = field(default_factory=list)

    def rows(self) -> int:
        """How many buckets are asked for by number, those in buckets too."""
        own = self.body.get("terms", {}).get("size", 1)
        return int(own * (1 + sum(part.rows() for plan in self.buckets for part in plan.parts)))


# --- the queries


@dataclass(slots=True)
class Page:
    """A connection: one search over the shards."""

    response: str
    kind: GraphType
    search: Search
    targets: list[Target]
    first: int
    routing: str
    wanted: Wanted
    order: str  # a mark of the sort, which cursors carry
    cursors: bool  # whether any is asked for
    aggregates: list[AggregatePlan]
    operation: str = "search"
    parts: int = 0
    rows: int = 0


@dataclass(slots=True)
class One:
    response: str
    kind: GraphType
    target: Target
    identity: str
    wanted: Wanted
    operation: str = "get"
    parts: int = 1
    rows: int = 1


@dataclass(slots=True)
class ById:
    """Representations known by their id: where each document's places in the answer are."""

    kind: GraphType
    wanted: Wanted
    places: dict[tuple[Target, str], list[int]]
    operation: str = "entities"
    parts: int = 0


@dataclass(slots=True)
class ByKey:
    """Representations known by values of their document."""

    kind: GraphType
    wanted: Wanted
    sources: tuple[str, ...]
    places: dict[Key, list[int]]
    search: Search
    targets: list[Target]
    operation: str = "search"
    parts: int = 0


@dataclass(slots=True)
class Counts:
    """Counts and metrics of an entity, all groups in one search; `groups` has each one's places in the answer."""

    entity: GraphEntity
    groups: dict[Group, list[int]]
    measured: tuple[Measured, ...]
    search: Search
    targets: list[Target]
    operation: str = "search"
    parts: int = 0


Batch = ById | ByKey | Counts


@dataclass(slots=True)
class Entities:
    response: str
    batches: list[Batch]
    given: list[
        Any
    ]  # an error for each representation that is not understood, a stub for what needs no query
    parts: int = 0
    operation: str = "entities"

    @property
    def rows(self) -> int:
        return len(self.given)


@dataclass(slots=True)
class Change:
    response: str
    kind: GraphType
    write: Write
    parts: int = 1
    rows: int = 1

    @property
    def operation(self) -> str:
        return self.write.action


Root = Page | One | Entities | Change


@dataclass(slots=True)
class Plan:
    roots: list[Root]
    serial: bool  # a mutation's fields run one after the other
    parts: int
    rows: int  # in its lists, at the most


class Planner:
    """Plans one operation. `targets` and `shard` lead to an index's shards, `steps` says how many an operation has."""

    def __init__(
        self,
        settings: GraphSettings,
        schema: GraphQLSchema,
        operation: OperationDefinitionNode,
        fragments: dict[str, FragmentDefinitionNode],
        variables: VariableValues,
        indices: dict[str, Index],
        targets: Callable[[list[Index], str], list[Target]],
        shard: Callable[[Index, str], Target],
        steps: Callable[[str], int],
        window: int,
        new_id: Callable[[], str],
        known: dict[Any, CollectedFields] | None = None,
    ) -> None:
        self.settings, self.schema, self.operation = settings, schema, operation
        self.limits: GraphLimits = settings.limits
        self.fragments = {name: FragmentDetails(each) for name, each in fragments.items()}
        self.variables, self.indices = variables, indices
        self.targets, self.shard, self.steps, self.window = targets, shard, steps, window
        self.new_id = new_id
        self.known = (
            known  # the document's selections, collected before: none where they hang on variables
        )
        self.by_many = {each.many: each for each in settings.types.values()}
        self.by_one = {each.one: each for each in settings.types.values()}
        self.by_write = {
            f"{action}{each.name}": (action, each)
            for each in settings.types.values()
            if each.writes
            for action in WRITES
        }

    def plan(self) -> Plan:
        """Raises GraphQLError where an argument is wrong, TooMuch where it would cause too much."""
        mutation = self.operation.operation is OperationType.MUTATION
        root = self.schema.mutation_type if mutation else self.schema.query_type
        assert root is not None
        fields = self.collected(
            (root.name, id(self.operation)),
            lambda: collect_fields(
                self.schema, self.fragments, self.variables, root, self.operation
            ),
        )
        roots: list[Root] = []
        for response, details in fields.grouped_field_set.items():
            name = details[0].node.name.value
            if name in META:
                continue
            arguments = get_argument_values(root.fields[name], details[0].node, self.variables)
            try:
                roots.append(self.root(name, response, details, arguments))
            except RequestError as error:
                raise bad(error.reason, details[0].node) from None
        parts, rows = sum(each.parts for each in roots), sum(each.rows for each in roots)
        for got, most, what in (
            (parts, self.limits.parts, "cause {} parts at boxes"),
            (rows, self.limits.rows, "have up to {} rows in its lists"),
        ):
            if got > most:
                raise TooMuch(
                    "OPERATION_TOO_COSTLY",
                    f"The operation would {what.format(got)}, at most {most} are taken.",
                )
        return Plan(roots, mutation, parts, rows)

    def root(self, name: str, response: str, details: FieldDetailsList, arguments: Body) -> Root:
        if name == "_entities":
            return self.entities(response, details, arguments["representations"])
        if name in self.by_many:
            return self.page(self.by_many[name], response, details, arguments)
        if name in self.by_one:
            kind = self.by_one[name]
            routing = arguments.get("routing") or arguments["id"]
            wanted = self.wanted(kind, details)
            return One(
                response,
                kind,
                self.shard(self.index(kind), routing),
                arguments["id"],
                wanted,
                parts=1 + self.linked_parts(wanted, 1),
            )
        action, kind = self.by_write[name]
        return self.change(action, kind, response, arguments)

    def index(self, kind: GraphType | GraphEntity) -> Index:
        return self.indices[kind.index]

    def subfields(self, kind: str, details: FieldDetailsList) -> CollectedFields:
        type_ = self.schema.type_map[kind]
        assert isinstance(type_, GraphQLObjectType)
        # A list of details is known by its identity: what is kept here keeps it.
        return self.collected(
            (kind, id(details)),
            lambda: collect_subfields(
                self.schema, self.fragments, self.variables, self.operation, type_, details
            ),
        )

    def collected(self, key: Any, collect: Callable[[], CollectedFields]) -> CollectedFields:
        if self.known is None:
            return collect()
        found = self.known.get(key)
        if found is None:
            found = self.known[key] = collect()
        return found

    def arguments(self, kind: str, details: FieldDetailsList) -> Body:
        type_ = self.schema.type_map[kind]
        assert isinstance(type_, GraphQLObjectType)
        node = details[0].node
        return get_argument_values(type_.fields[node.name.value], node, self.variables)

    # --- documents

    def wanted(
        self, kind: GraphType, *selections: FieldDetailsList, into: Wanted | None = None
    ) -> Wanted:
        wanted = into or Wanted()
        for details in selections:
            for inner in self.subfields(kind.name, details).grouped_field_set.values():
                name = inner[0].node.name.value
                if name in kind.fields:
                    wanted.fields[name] = None
                elif name in kind.references:
                    self.link(kind, kind.references[name], inner, wanted)
        return wanted

    def link(
        self, kind: GraphType, reference: Reference, details: FieldDetailsList, wanted: Wanted
    ) -> None:
        entity = self.settings.entities[reference.entity]
        given = {name for name, _ in reference.values}
        key = next(each for each in entity.keys if set(each) <= given)
        names = [
            inner[0].node.name.value
            for inner in self.subfields(entity.name, details).grouped_field_set.values()
        ]
        measured, lacking = self.measured(entity, names, given)
        had = wanted.links.get(reference.name)
        if had is not None:  # the same reference under two names
            measured = tuple(dict.fromkeys([*had.measured, *measured]))
            lacking = had.lacking | lacking
        wanted.links[reference.name] = Linked(reference, entity, key, measured, lacking)

    def measured(
        self, entity: GraphEntity, names: Sequence[str], given: set[str]
    ) -> tuple[tuple[Measured, ...], dict[str, str]]:
        """The metrics among `names`, and those that need what is not given."""
        found, lacking = [], {}
        for name in dict.fromkeys(names):
            metric = entity.metrics.get(name)
            if metric is not None:
                missing = [each for each in metric.requires if each not in given]
                if missing:
                    lacking[name] = missing[0]
                else:
                    found.append(Measured(name, metric.kind, metric.source))
        return tuple(found), lacking

    def linked_parts(self, wanted: Wanted, rows: int) -> int:
        """What references cause once the rows are known: a search over the shards for each set of bounds."""
        parts = 0
        for link in wanted.links.values():
            chunks = -(-rows // self.limits.keys)
            parts += (
                chunks
                * len(bound_sets(link.entity, link.measured))
                * self.index(link.entity).shards
            )
        return parts

    # --- connections

    def page(
        self, kind: GraphType, response: str, details: FieldDetailsList, arguments: Body
    ) -> Page:
        first, node = arguments["first"], details[0].node
        if first is None:
            first = 10
        if not 0 <= first <= self.limits.page:
            raise bad(f"first must be from 0 to {self.limits.page}, not {first}", node)
        wanted, aggregates, rows, counted, scores, cursors = (
            Wanted(),
            [],
            False,
            False,
            False,
            False,
        )
        for key, inner in self.subfields(
            f"{kind.name}Connection", details
        ).grouped_field_set.items():
            match inner[0].node.name.value:
                case "edges":
                    rows = True
                    for under in self.subfields(
                        f"{kind.name}Edge", inner
                    ).grouped_field_set.values():
                        name = under[0].node.name.value
                        scores, cursors = scores or name == "score", cursors or name == "cursor"
                        if name == "node":
                            self.wanted(kind, under, into=wanted)
                case "nodes":
                    rows = True
                    self.wanted(kind, inner, into=wanted)
                case "pageInfo":
                    rows = cursors = True
                case "totalCount" | "totalIsExact":
                    counted = True
                case "aggregate":
                    aggregates.append(self.aggregate(kind, key, inner))
                    counted = counted or bool(aggregates[-1].counted)
        sort, order = self.sort(kind, arguments)
        size = min(first + 1, self.window) if rows else 0
        body: Body = {
            "query": self.query(kind, arguments),
            "size": size,
            "sort": sort,
            "track_total_hits": counted,
            "_source": wanted.source(kind) or False,
            "track_scores": scores,
        }
        aggs = aggs_body(aggregates)
        if aggs:
            body["aggs"] = aggs
        after = arguments.get("after")
        if after is not None:
            body["search_after"] = read_cursor(after, order, len(sort), node)
        search = parse_search(body, {}, self.window)
        routing = arguments.get("routing") or ""
        targets = self.targets([self.index(kind)], routing)
        page = Page(
            response, kind, search, targets, first, routing, wanted, order, cursors, aggregates
        )
        page.parts = self.search_parts(page, size) + self.linked_parts(wanted, first)
        page.rows = (first if rows else 0) + sum(
            part.rows() for plan in aggregates for part in plan.parts
        )
        return page

    def search_parts(self, query: Page | ByKey | Counts, rows: int) -> int:
        """Of a search: one a shard, and in the second step one for each shard that may own rows."""
        two = self.steps(query.operation) == 2 and query.search.source is not False
        return len(query.targets) + (min(len(query.targets), rows) if two else 0)

    def sort(self, kind: GraphType, arguments: Body) -> tuple[list[Any], str]:
        """With the id last, so that every row has its place: pages then neither overlap nor leave one out."""
        keys: list[Any] = []
        seen = set()
        given = arguments.get("sort")
        if given is None:
            given = (
                [{"by": "RELEVANCE", "order": "DESC"}]
                if arguments.get("search") is not None
                else []
            )
        for each in given:
            direction = (each.get("order") or "ASC").lower()
            name = {"RELEVANCE": "_score", "ID": "_id"}.get(each["by"]) or kind.fields[
                unescaped(each["by"])
            ].source
            if name in seen:
                raise bad(f"sort has {each['by']} twice")
            seen.add(name)
            keys.append(
                {
                    name: {"order": direction}
                    | (
                        {}
                        if name.startswith("_")
                        else {"missing": "_first" if each.get("missingFirst") else "_last"}
                    )
                }
            )
        if "_id" not in seen:
            keys.append({"_id": {"order": "asc"}})
        return keys, f"{zlib.crc32(orjson.dumps(keys)):08x}"

    def query(self, kind: GraphType, arguments: Body) -> Body:
        clauses: list[Body] = []
        text = arguments.get("search")
        if text is not None:
            fields = [each.source for each in kind.fields.values() if each.kind == "text"]
            if not fields:
                raise bad(f"{kind.name} has no text to search in")
            clauses.append({"multi_match": {"query": text, "fields": fields}})
        if arguments.get("where") is not None:
            inner = self.where(kind, arguments["where"])
            if text is None:
                return {"bool": {"filter": [inner]}}
            return {"bool": {"must": clauses, "filter": [inner]}}
        return clauses[0] if clauses else {"match_all": {}}

    def where(self, kind: GraphType, given: Body) -> Body:
        clauses: list[Body] = []
        for name, value in given.items():
            if value is None:
                raise bad(f"where.{name} is null: leave it out, or ask for exists: false")
            if name == "and" and "and" not in kind.fields:
                clauses.append({"bool": {"filter": [self.where(kind, each) for each in value]}})
            elif name == "or" and "or" not in kind.fields:
                clauses.append(
                    {
                        "bool": {
                            "should": [self.where(kind, each) for each in value],
                            "minimum_should_match": 1,
                        }
                    }
                    if value
                    else NONE
                )
            elif name == "not" and "not" not in kind.fields:
                clauses.append({"bool": {"must_not": [self.where(kind, value)]}})
            else:
                clauses += self.field_filter(kind.fields[name].source, f"where.{name}", value)
        return (
            clauses[0]
            if len(clauses) == 1
            else {"bool": {"filter": clauses}}
            if clauses
            else {"match_all": {}}
        )

    def field_filter(self, source: str, where: str, given: Body) -> list[Body]:
        clauses: list[Body] = []
        bounds = {}
        for relation, value in given.items():
            if value is None:
                raise bad(f"{where}.{relation} is null: leave it out, or ask for exists: false")
            match relation:
                case "eq":
                    clauses.append({"term": {source: value}})
                case "in":
                    if len(value) > self.limits.keys:
                        raise bad(
                            f"{where}.in has {len(value)} values, at most {self.limits.keys} are taken"
                        )
                    clauses.append(
                        NONE
                        if not value
                        else {"ids": {"values": value}}
                        if source == "_id"
                        else {"terms": {source: value}}
                    )
                case "prefix":
                    clauses.append({"prefix": {source: value}})
                case "match":
                    clauses.append({"match": {source: value}})
                case "matchAll":
                    clauses.append({"match": {source: {"query": value, "operator": "and"}}})
                case "exists":
                    found = {"exists": {"field": source}}
                    clauses.append(found if value else {"bool": {"must_not": [found]}})
                case _:
                    bounds[relation] = value
        if bounds:
            clauses.append({"range": {source: bounds}})
        return clauses

    # --- aggregations

    def aggregate(self, kind: GraphType, response: str, details: FieldDetailsList) -> AggregatePlan:
        plan = AggregatePlan(response)
        for key, inner in self.subfields(
            f"{kind.name}Aggregate", details
        ).grouped_field_set.items():
            name = inner[0].node.name.value
            if name == "count":
                plan.counted.append(key)
            if name in META or name == "count":
                continue
            part = AggregatePart(
                key,
                name,
                f"{response}:{key}",
                self.agg_body(kind, name, self.arguments(f"{kind.name}Aggregate", inner)),
            )
            bucket = f"{kind.name}Bucket"
            selections = [inner]
            if name == "terms":
                selections = [
                    under
                    for under in self.subfields(
                        f"{kind.name}Terms", inner
                    ).grouped_field_set.values()
                    if under[0].node.name.value == "buckets"
                ]
            if name in ("terms", "histogram", "dateHistogram"):
                for each in selections:
                    part.buckets += [
                        self.aggregate(kind, inner_key, under)
                        for inner_key, under in self.subfields(
                            bucket, each
                        ).grouped_field_set.items()
                        if under[0].node.name.value == "aggregate"
                    ]
            plan.parts.append(part)
        return plan

    def agg_body(self, kind: GraphType, name: str, arguments: Body) -> Body:
        source = kind.fields[unescaped(arguments["field"])].source
        match name:
            case "terms":
                return {"terms": {"field": source, "size": arguments["first"]}}
            case "distinct":
                return {
                    "cardinality": {"field": source, "precision_threshold": arguments["precision"]}
                }
            case "stats":
                return {"stats": {"field": source}}
            case "histogram":
                return {
                    "histogram": {
                        "field": source,
                        "interval": arguments["interval"],
                        "min_doc_count": 1,
                    }
                }
        calendar, fixed = arguments.get("calendar"), arguments.get("fixed")
        if (calendar is None) == (fixed is None):
            raise bad('dateHistogram takes one of calendar and fixed, such as fixed: "30d"')
        step = {"calendar_interval": CALENDAR[calendar]} if calendar else {"fixed_interval": fixed}
        return {"date_histogram": {"field": source, "min_doc_count": 1, **step}}

    # --- entities

    def entities(
        self, response: str, details: FieldDetailsList, representations: list[Any]
    ) -> Entities:
        if len(representations) > self.limits.keys:
            raise TooMuch(
                "OPERATION_TOO_COSTLY",
                f"_entities has {len(representations)} representations, "
                f"at most {self.limits.keys} are taken.",
            )
        given: list[Any] = [None] * len(representations)
        ids: dict[str, dict[tuple[Target, str], list[int]]] = {}
        keys: dict[tuple[str, tuple[str, ...]], dict[Key, list[int]]] = {}
        stubs: dict[tuple[str, tuple[str, ...]], dict[int, Body]] = {}
        for place, each in enumerate(representations):
            try:
                name, key, values = self.representation(each)
            except GraphQLError as error:
                given[place] = error
                continue
            if name in self.settings.entities:
                stubs.setdefault((name, key), {})[place] = values
            elif key == (ID,):
                kind = self.settings.types[name]
                target = self.shard(self.index(kind), values[ID])
                ids.setdefault(name, {}).setdefault((target, values[ID]), []).append(place)
            else:
                keys.setdefault((name, key), {}).setdefault(
                    tuple(values[part] for part in key), []
                ).append(place)
        batches: list[Batch] = []
        for name, by_id in ids.items():
            kind = self.settings.types[name]
            wanted = self.wanted(kind, details)
            shards = len({target for target, _ in by_id})
            batches.append(
                ById(kind, wanted, by_id, parts=shards + self.linked_parts(wanted, len(by_id)))
            )
        for (name, key), by_value in keys.items():
            batches.append(self.by_key(self.settings.types[name], key, by_value, details))
        for (name, key), values_at in stubs.items():
            batches += self.counts(self.settings.entities[name], key, values_at, details, given)
        return Entities(response, batches, given, sum(each.parts for each in batches))

    def representation(self, given: Any) -> tuple[str, tuple[str, ...], Body]:
        """Its type, the key that it holds, and its values as the index has them. Raises GraphQLError."""
        if not isinstance(given, dict):
            raise bad("a representation must be an object")
        name = given.get("__typename")
        if not isinstance(name, str):
            raise bad("a representation must have a __typename")
        kind = self.settings.types.get(name)
        entity = self.settings.entities.get(name)
        own = kind or entity
        if own is None or not own.keys:
            raise bad(f"{name[:100]} is not an entity of this subgraph")
        key = next(
            (each for each in own.keys if all(given.get(part) is not None for part in each)), None
        )
        if key is None:
            held = ", ".join(" ".join(each) for each in own.keys)
            raise bad(f"a representation of {name} must hold one of its keys: {held}")
        fields: dict[str, Any] = dict(own.fields)
        values = {}
        for part in fields:
            if given.get(part) is not None and (
                part in key or getattr(fields[part], "external", False)
            ):
                try:
                    values[part] = key_value(fields[part].kind, given[part])
                except GraphQLError as error:
                    raise bad(f"{name}.{part}: {error.message}") from None
        return name, key, values

    def by_key(
        self,
        kind: GraphType,
        key: tuple[str, ...],
        places: dict[Key, list[int]],
        details: FieldDetailsList,
    ) -> ByKey:
        wanted = self.wanted(kind, details)
        sources = tuple(kind.fields[part].source for part in key)
        body = documents_search(sources, list(places), wanted.source(kind), self.window)
        batch = ByKey(
            kind,
            wanted,
            sources,
            places,
            parse_search(body, {}, self.window),
            self.targets([self.index(kind)], ""),
        )
        batch.parts = self.search_parts(batch, batch.search.size) + self.linked_parts(
            wanted, len(places)
        )
        return batch

    def counts(
        self,
        entity: GraphEntity,
        key: tuple[str, ...],
        values_at: dict[int, Body],
        details: FieldDetailsList,
        given: list[Any],
    ) -> list[Batch]:
        """One batch for each set of bounds that metrics have; `given` gets what is known without asking."""
        names = [
            inner[0].node.name.value
            for inner in self.subfields(entity.name, details).grouped_field_set.values()
        ]
        for place, values in values_at.items():
            given[place] = {"__typename": entity.name, **values}
        batches: list[Batch] = []
        for bounds in bound_sets(entity, self.measured(entity, names, set(entity.fields))[0]):
            required = {name for _, _, name in bounds}
            measured = tuple(
                Measured(name, entity.metrics[name].kind, entity.metrics[name].source)
                for name in dict.fromkeys(names)
                if name in entity.metrics and entity.metrics[name].bounds == bounds
            )
            groups: dict[Group, list[int]] = {}
            for place, values in values_at.items():
                missing = sorted(required - values.keys())
                if missing:
                    for each in measured:
                        given[place][each.name] = bad(
                            f"{entity.name}.{each.name} needs {missing[0]}, which the "
                            "representation does not hold"
                        )
                    continue
                group = Group(
                    tuple(values[part] for part in key),
                    tuple(
                        Bound(source, relation, values[name]) for source, relation, name in bounds
                    ),
                )
                groups.setdefault(group, []).append(place)
            if groups:
                batches.append(self.counted(entity, key, groups, measured))
        return batches

    def counted(
        self,
        entity: GraphEntity,
        key: tuple[str, ...],
        groups: dict[Group, list[int]],
        measured: tuple[Measured, ...],
    ) -> Counts:
        sources = tuple(entity.fields[part].source for part in key)
        search = parse_search(groups_search(sources, list(groups), measured), {}, self.window)
        batch = Counts(entity, groups, measured, search, self.targets([self.index(entity)], ""))
        batch.parts = self.search_parts(batch, 0)
        return batch

    # --- writes

    def change(self, action: str, kind: GraphType, response: str, arguments: Body) -> Change:
        identity = arguments.get("id")
        if identity is None:
            identity = self.new_id()
        routing = arguments.get("routing") or ""
        body: Any = None
        if "document" in arguments:
            body = {
                kind.fields[name].source: value for name, value in arguments["document"].items()
            }
        if action == "update":
            body = {"doc": body} | ({"doc_as_upsert": True} if arguments.get("upsert") else {})
        write = Write(
            action, self.shard(self.index(kind), routing or identity), identity, routing, body
        )
        write.lines()  # what is wrong with it is told before anything is sent
        return Change(response, kind, write)


NONE: Body = {"bool": {"must_not": [{"match_all": {}}]}}


def bound_sets(
    entity: GraphEntity, measured: Sequence[Measured]
) -> list[tuple[tuple[str, str, str], ...]]:
    """The different ways in which these metrics narrow their documents: a search each."""
    return list(dict.fromkeys(entity.metrics[each.name].bounds for each in measured))


def unescaped(name: str) -> str:
    return name.removesuffix("_") if name in ("true_", "false_", "null_") else name


def cursor(order: str, values: list[Any]) -> str:
    """Where a row stands in its order; not to be read by clients."""
    return base64.urlsafe_b64encode(orjson.dumps([order, *values])).decode().rstrip("=")


def read_cursor(text: str, order: str, width: int, node: Any) -> list[Any]:
    """The sort values to go on after. Raises GraphQLError."""
    try:
        found = orjson.loads(base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)))
    except (ValueError, binascii.Error):
        found = None
    if (
        not isinstance(found, list)
        or len(found) != width + 1
        or any(isinstance(each, (list, dict)) for each in found)
    ):
        raise bad("after is not a cursor of this field", node)
    if found[0] != order:
        raise bad("after is a cursor of another sort", node)
    return found[1:]


def aggs_body(plans: list[AggregatePlan]) -> Body:
    body: Body = {}
    for plan in plans:
        for part in plan.parts:
            inner = aggs_body(part.buckets)
            body[part.name] = part.body | ({"aggs": inner} if inner else {})
    return body
