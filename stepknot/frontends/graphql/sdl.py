"""The graph's schema, made of the settings: the same text from the same settings, whatever the run.

`subgraph_sdl` is what `_service { sdl }` says (Apollo Federation's subgraph specification 2, without federation's
own definitions); `executable` adds those and is what operations are held against.
"""

from __future__ import annotations

import datetime
import math
from collections.abc import Callable
from typing import Any

from graphql import (
    GraphQLError,
    GraphQLScalarType,
    GraphQLSchema,
    GraphQLUnionType,
    build_schema,
    print_ast,
)
from graphql.language import IntValueNode, StringValueNode

from stepknot.config.graphql import (
    ID,
    KEY_TYPES,
    NUMBERS,
    SCALARS,
    GraphEntity,
    GraphField,
    GraphSettings,
    GraphType,
    Marks,
    Metric,
)

FEDERATION = "https://specs.apollo.dev/federation/v2.3"
IMPORTS = (
    "key",
    "shareable",
    "external",
    "requires",
    "provides",
    "override",
    "inaccessible",
    "tag",
)
TERM_TYPES = ("keyword", "boolean", "long", "integer", "short", "byte", "date")
FILTERS = {
    "text": "TextFilter",
    "keyword": "KeywordFilter",
    "boolean": "BooleanFilter",
    "date": "DateTimeFilter",
    "long": "LongFilter",
    "integer": "IntFilter",
    "short": "IntFilter",
    "byte": "IntFilter",
    "double": "FloatFilter",
    "float": "FloatFilter",
    "id": "IDFilter",
}

DIRECTIVES = """\
directive @key(fields: FieldSet!, resolvable: Boolean = true) repeatable on OBJECT | INTERFACE
directive @shareable repeatable on OBJECT | FIELD_DEFINITION
directive @external on OBJECT | FIELD_DEFINITION
directive @requires(fields: FieldSet!) on FIELD_DEFINITION
directive @provides(fields: FieldSet!) on FIELD_DEFINITION
directive @override(from: String!) on FIELD_DEFINITION
directive @inaccessible on FIELD_DEFINITION | OBJECT | INTERFACE | UNION | ARGUMENT_DEFINITION | SCALAR | ENUM | \
ENUM_VALUE | INPUT_OBJECT | INPUT_FIELD_DEFINITION
directive @tag(name: String!) repeatable on FIELD_DEFINITION | OBJECT | INTERFACE | UNION | ARGUMENT_DEFINITION | \
SCALAR | ENUM | ENUM_VALUE | INPUT_OBJECT | INPUT_FIELD_DEFINITION
directive @link(url: String!, as: String, import: [LinkImport], for: LinkPurpose) repeatable on SCHEMA
scalar FieldSet
scalar LinkImport
enum LinkPurpose { SECURITY EXECUTION }
scalar _Any
type _Service { sdl: String! }
"""

COMMON = '''\
"""A whole number of up to 64 bits."""
scalar Long

"""A moment in ISO 8601, in UTC; milliseconds since 1970 are taken too."""
scalar DateTime

enum SortOrder {
  ASC
  DESC
}

enum CalendarUnit {
  MINUTE
  HOUR
  DAY
  WEEK
  MONTH
  YEAR
}

type PageInfo @shareable {
  hasNextPage: Boolean!
  hasPreviousPage: Boolean!
  startCursor: String
  endCursor: String
}

"""Of a field's values over the documents; all but count are null where there are none."""
type SearchStats @shareable {
  count: Long!
  min: Float
  max: Float
  avg: Float
  sum: Float
}

"""How many values there are. With lowerBound there may be more."""
type SearchDistinct @shareable {
  value: Long!
  lowerBound: Boolean!
}
'''

FILTER_INPUTS: dict[str, list[str]] = {
    "IDFilter": ["in: [ID!]"],
    "TextFilter": ["match: String", "matchAll: String", "exists: Boolean"],
    "KeywordFilter": ["eq: String", "in: [String!]", "prefix: String", "exists: Boolean"],
    "BooleanFilter": ["eq: Boolean", "exists: Boolean"],
    **{
        f"{scalar}Filter": [
            f"eq: {scalar}",
            f"in: [{scalar}!]",
            f"gt: {scalar}",
            f"gte: {scalar}",
            f"lt: {scalar}",
            f"lte: {scalar}",
            "exists: Boolean",
        ]
        for scalar in ("Long", "Int", "Float", "DateTime")
    },
}


def quoted(text: str) -> str:
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


def marks_text(marks: Marks) -> str:
    text = " @shareable" * marks.shareable + " @inaccessible" * marks.inaccessible
    text += "".join(f" @tag(name: {quoted(tag)})" for tag in marks.tags)
    return text + (f" @override(from: {quoted(marks.override)})" if marks.override else "")


def keys_text(keys: tuple[tuple[str, ...], ...]) -> str:
    return "".join(f" @key(fields: {quoted(' '.join(key))})" for key in keys)


def block(head: str, lines: list[str]) -> str:
    return head + " {\n" + "".join(f"  {line}\n" for line in lines) + "}\n"


def by_kind(kind: GraphType, kinds: tuple[str, ...]) -> list[GraphField]:
    return [each for each in kind.fields.values() if each.kind in kinds]


def enum_name(name: str) -> str:
    """A field's name as an enum's value: the name itself, so that two never fall together."""
    return {"true": "true_", "false": "false_", "null": "null_"}.get(name, name)


def field_enum(name: str, fields: list[GraphField], extra: tuple[str, ...] = ()) -> str:
    return block(f"enum {name}", [*extra, *(enum_name(each.name) for each in fields)])


def field_type(each: GraphField) -> str:
    if each.name == ID:
        return "ID!"
    return f"[{each.scalar}!]" if each.many else each.scalar


def type_text(kind: GraphType) -> list[str]:
    """A type's own definitions: itself, its connection, its filter and sort, its aggregations and writes."""
    name = kind.name
    lines = [
        f"{each.name}: {field_type(each)}{marks_text(each.marks)}" for each in kind.fields.values()
    ]
    lines += [
        f"{each.name}: {each.entity}"
        + (f" @provides(fields: {quoted(' '.join(each.provides))})" if each.provides else "")
        + marks_text(each.marks)
        for each in kind.references.values()
    ]
    terms, numbers, dates = (
        by_kind(kind, TERM_TYPES),
        by_kind(kind, NUMBERS),
        by_kind(kind, ("date",)),
    )
    sortable = [each for each in kind.fields.values() if each.kind not in ("text", "id")]
    aggregate = ["count: Long!"]
    if terms:
        aggregate += [
            f"terms(field: {name}TermsField!, first: Int = 10): {name}Terms!",
            f"distinct(field: {name}TermsField!, precision: Int = 3000): SearchDistinct!",
        ]
    if numbers or dates:
        aggregate += [
            f"stats(field: {name}NumberField!): SearchStats!",
            f"histogram(field: {name}NumberField!, interval: Float!): [{name}Bucket!]!",
        ]
    if dates:
        aggregate.append(
            f"dateHistogram(field: {name}DateField!, calendar: CalendarUnit, fixed: String): "
            f"[{name}Bucket!]!"
        )
    made = [
        block(f"type {name}{keys_text(kind.keys)}{marks_text(kind.marks)}", lines),
        block(
            f"type {name}Connection",
            [
                f"edges: [{name}Edge!]!",
                f"nodes: [{name}]!",
                "pageInfo: PageInfo!",
                "totalCount: Long!",
                "totalIsExact: Boolean!",
                f"aggregate: {name}Aggregate!",
            ],
        ),
        block(f"type {name}Edge", ["cursor: String!", "score: Float", f"node: {name}"]),
        block(f"type {name}Aggregate", aggregate),
        block(
            f"type {name}Bucket", ["key: String!", "count: Long!", f"aggregate: {name}Aggregate!"]
        ),
        block(
            f"input {name}Filter",
            [
                f"and: [{name}Filter!]",
                f"or: [{name}Filter!]",
                f"not: {name}Filter",
                *(
                    f"{each.name}: {FILTERS[each.kind]}"
                    for each in kind.fields.values()
                    if each.name not in ("and", "or", "not")
                ),
            ],
        ),
        field_enum(f"{name}SortField", sortable, ("RELEVANCE", "ID")),
        block(
            f"input {name}Sort",
            [f"by: {name}SortField!", "order: SortOrder = ASC", "missingFirst: Boolean = false"],
        ),
    ]
    if terms:
        made += [
            field_enum(f"{name}TermsField", terms),
            block(
                f"type {name}Terms",
                [f"buckets: [{name}Bucket!]!", "errorUpperBound: Long!", "otherCount: Long!"],
            ),
        ]
    if numbers or dates:
        made.append(field_enum(f"{name}NumberField", [*numbers, *dates]))
    if dates:
        made.append(field_enum(f"{name}DateField", dates))
    if kind.writes:
        made += [
            block(
                f"input {name}Input",
                [
                    f"{each.name}: {'[' + each.scalar + '!]' if each.many else each.scalar}"
                    for each in kind.fields.values()
                    if each.kind != "id"
                ],
            ),
            block(f"type {name}Write", ["id: ID!", "result: String!", "version: Long!"]),
        ]
    return made


def entity_text(entity: GraphEntity) -> str:
    key_fields = {name for key in entity.keys for name in key}
    lines = [
        f"{each.name}: {SCALARS[each.kind]}{'!' if each.name in key_fields else ''}"
        f"{' @external' if each.external else ''}{marks_text(each.marks)}"
        for each in entity.fields.values()
    ]
    for metric in entity.metrics.values():
        requires = (
            f" @requires(fields: {quoted(' '.join(metric.requires))})" if metric.requires else ""
        )
        lines.append(f"{metric.name}: {metric_type(metric)}{requires}{marks_text(metric.marks)}")
    return block(f"type {entity.name}{keys_text(entity.keys)}{marks_text(entity.marks)}", lines)


def metric_type(metric: Metric) -> str:
    if metric.kind == "count":
        return "Long"
    return "DateTime" if metric.source_kind == "date" and metric.kind in ("min", "max") else "Float"


def query_lines(kind: GraphType) -> list[str]:
    return [
        f"{kind.many}(first: Int = 10, after: String, search: String, where: {kind.name}Filter, "
        f"sort: [{kind.name}Sort!], routing: String): {kind.name}Connection",
        f"{kind.one}(id: ID!, routing: String): {kind.name}",
    ]


def mutation_lines(kind: GraphType) -> list[str]:
    name = kind.name
    return [
        f"index{name}(id: ID!, document: {name}Input!, routing: String): {name}Write",
        f"create{name}(id: ID, document: {name}Input!, routing: String): {name}Write",
        f"update{name}(id: ID!, document: {name}Input!, upsert: Boolean = false, routing: String): {name}Write",
        f"delete{name}(id: ID!, routing: String): {name}Write",
    ]


def subgraph_sdl(settings: GraphSettings) -> str:
    imports = ", ".join(quoted(f"@{each}") for each in IMPORTS)
    text = [f"extend schema @link(url: {quoted(FEDERATION)}, import: [{imports}])\n", COMMON]
    used = {FILTERS[each.kind] for kind in settings.types.values() for each in kind.fields.values()}
    text += [block(f"input {name}", FILTER_INPUTS[name]) for name in FILTER_INPUTS if name in used]
    for name in sorted(settings.types):
        text += type_text(settings.types[name])
    text += [entity_text(settings.entities[name]) for name in sorted(settings.entities)]
    kinds = [settings.types[name] for name in sorted(settings.types)]
    text.append(block("type Query", [line for kind in kinds for line in query_lines(kind)]))
    writable = [line for kind in kinds if kind.writes for line in mutation_lines(kind)]
    if writable:
        text.append(block("type Mutation", writable))
    return "\n".join(text)


def executable(settings: GraphSettings) -> GraphQLSchema:
    """The schema that operations run against. Raises GraphQLError, TypeError where the settings make none."""
    sdl = subgraph_sdl(settings).partition("\n")[2]  # its first line is for composition
    entities = [
        *sorted(name for name, kind in settings.types.items() if kind.keys),
        *sorted(settings.entities),
    ]
    more = "extend type Query { _service: _Service! }\n"
    if entities:
        more += (
            f"union _Entity = {' | '.join(entities)}\n"
            "extend type Query { _entities(representations: [_Any!]!): [_Entity]! }\n"
        )
    schema = build_schema(sdl + DIRECTIVES + more)
    for name, (serialize, parse) in SCALAR_CODECS.items():
        scalar = schema.type_map.get(name)
        if isinstance(scalar, GraphQLScalarType):
            scalar.coerce_output_value, scalar.coerce_input_value = serialize, parse
            scalar.coerce_input_literal = literal(parse)
    union = schema.type_map.get("_Entity")
    if isinstance(union, GraphQLUnionType):
        union.resolve_type = lambda value, info, kind: value["__typename"]
    return schema


# --- scalars


def literal(parse: Callable[[Any], Any]) -> Callable[..., Any]:
    def read(node: Any, variables: Any = None) -> Any:
        if isinstance(node, IntValueNode):
            return parse(int(node.value))
        if isinstance(node, StringValueNode):
            return parse(node.value)
        raise GraphQLError(f"not understood: {print_ast(node)[:100]}", node)

    return read


def long_out(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != int(value):
        raise GraphQLError(f"not a whole number: {str(value)[:100]}")
    return int(value)


def long_in(value: Any) -> int:
    if isinstance(value, str) and value.lstrip("-").isdecimal() and len(value) <= 20:
        value = int(value)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if not isinstance(value, int) or isinstance(value, bool) or not -(2**63) <= value < 2**63:
        raise GraphQLError("expected a whole number of up to 64 bits")
    return value


def date_out(value: Any) -> str:
    """Documents hold milliseconds since 1970, or the text that they were written with."""
    if isinstance(value, str):
        return value
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise GraphQLError(f"not a date: {str(value)[:100]}")
    try:
        moment = datetime.datetime.fromtimestamp(value // 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        raise GraphQLError(f"not a date of this calendar: {value}") from None
    return moment.replace(tzinfo=None).isoformat(timespec="seconds") + f".{int(value % 1000):03d}Z"


def date_in(value: Any) -> int:
    """Milliseconds since 1970."""
    if isinstance(value, int) and not isinstance(value, bool) and abs(value) < 2**63:
        return value
    if isinstance(value, str) and len(value) <= 40:
        try:
            moment = datetime.datetime.fromisoformat(value)
        except ValueError:
            pass
        else:
            moment = moment if moment.tzinfo else moment.replace(tzinfo=datetime.UTC)
            epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
            return (moment - epoch) // datetime.timedelta(milliseconds=1)
    raise GraphQLError(
        "expected a moment in ISO 8601, such as 2026-01-31T12:00:00Z, or milliseconds since 1970"
    )


SCALAR_CODECS: dict[str, tuple[Callable[[Any], Any], Callable[[Any], Any]]] = {
    "Long": (long_out, long_in),
    "DateTime": (date_out, date_in),
}


def key_value(kind: str, value: Any) -> Any:
    """A representation's value as the index holds it. Raises GraphQLError where it is of another type."""
    if kind == "date":
        return date_in(value)
    if kind in ("long", "integer", "short", "byte"):
        return long_in(value)
    if kind == "boolean":
        if not isinstance(value, bool):
            raise GraphQLError("expected true or false")
        return value
    if kind == "id" and isinstance(value, int) and not isinstance(value, bool):
        return str(value)
    if (
        kind in ("double", "float")
        and isinstance(value, (int, float))
        and not isinstance(value, bool)
    ):
        return float(value)
    if not isinstance(value, str) or kind not in (*KEY_TYPES, "id", "text"):
        raise GraphQLError("expected a string")
    return value
