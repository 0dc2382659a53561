"""The settings of the GraphQL front: its limits, and what of the indices its graph shows.

A `type` shows an index: its documents, searches and writes. An `entity` is a type of another subgraph to which
this one adds counts and metrics, keyed by values that documents hold. Names of the graph are checked here, so that
the schema made of them is valid or the file is refused with its line.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from stepknot.config.errors import SettingError
from stepknot.config.hcl import Block
from stepknot.config.persisted import read_persisted
from stepknot.config.readers import Checker, Key, address, count, flag, number, one_of, size, text

FIELD_NAME = re.compile(r"(?!__)[_A-Za-z][_0-9A-Za-z]*")
# What a field of an index is in the graph; whole numbers of over 32 bits have no scalar of GraphQL's own.
SCALARS = {
    "text": "String",
    "keyword": "String",
    "long": "Long",
    "integer": "Int",
    "short": "Int",
    "byte": "Int",
    "double": "Float",
    "float": "Float",
    "date": "DateTime",
    "boolean": "Boolean",
}
KEY_TYPES = ("keyword", "long", "integer", "short", "byte", "date", "boolean")
NUMBERS = ("long", "integer", "short", "byte", "double", "float")
METRICS = ("min", "max", "avg", "sum")
ID = "id"  # a document's id in the graph; `_id` in the index
RESERVED = {
    "Query",
    "Mutation",
    "Subscription",
    "PageInfo",
    "Long",
    "DateTime",
    "SearchStats",
    "SearchDistinct",
    "SortOrder",
    "CalendarUnit",
    "String",
    "Int",
    "Float",
    "Boolean",
    "ID",
    "FieldSet",
    "LinkImport",
    "LinkPurpose",
    *(
        f"{each}Filter"
        for each in ("ID", "Text", "Keyword", "Boolean", "Long", "Int", "Float", "DateTime")
    ),
}
# What is made beside a type `T`: T's connection is `TConnection`.
BESIDE = (
    "Connection",
    "Edge",
    "Aggregate",
    "Bucket",
    "Terms",
    "Filter",
    "Sort",
    "SortField",
    "TermsField",
    "NumberField",
    "DateField",
    "Input",
    "Write",
)


@dataclass(frozen=True, slots=True)
class Marks:
    """Federation's directives on a field or a type."""

    shareable: bool = False
    inaccessible: bool = False
    tags: tuple[str, ...] = ()
    override: str = ""  # the subgraph that a field is taken over from


@dataclass(frozen=True, slots=True)
class GraphField:
    """A field of the index as the graph shows it."""

    name: str
    source: str  # the index's field, "_id" for the document's id
    kind: str  # of the index: a key of SCALARS, or "id"
    many: bool = False  # documents may hold several values
    marks: Marks = Marks()

    @property
    def scalar(self) -> str:
        return "ID" if self.kind == "id" else SCALARS[self.kind]


@dataclass(frozen=True, slots=True)
class Reference:
    """A field that leads to an entity, made of the document's own values: entity's field to field here."""

    name: str
    entity: str
    values: tuple[tuple[str, str], ...]
    provides: tuple[str, ...] = ()
    marks: Marks = Marks()


@dataclass(frozen=True, slots=True)
class GraphType:
    name: str
    index: str
    keys: tuple[tuple[str, ...], ...]
    fields: dict[str, GraphField]
    references: dict[str, Reference]
    one: str  # the query field that gets a document by id
    many: str  # the query field that searches
    writes: bool = False
    marks: Marks = Marks()


@dataclass(frozen=True, slots=True)
class EntityField:
    """A key or a value from elsewhere of an entity. `source`: the field here that holds the same, if any."""

    name: str
    kind: str
    source: str = ""
    external: bool = False
    marks: Marks = Marks()


@dataclass(frozen=True, slots=True)
class Metric:
    """What is added to an entity: a count (`kind` "count") or a metric of a field over the documents of its key.

    `bounds`: narrow the documents by values from elsewhere: (field here, "gte" or "lte" or "eq", entity's field).
    """

    name: str
    kind: str
    source: str = ""
    source_kind: str = ""
    bounds: tuple[tuple[str, str, str], ...] = ()
    marks: Marks = Marks()

    @property
    def requires(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(name for _, _, name in self.bounds))


@dataclass(frozen=True, slots=True)
class GraphEntity:
    name: str
    index: str
    keys: tuple[tuple[str, ...], ...]
    fields: dict[str, EntityField]
    metrics: dict[str, Metric]
    marks: Marks = Marks()


@dataclass(frozen=True, slots=True)
class GraphLimits:
    """What an operation may be; all are checked before anything is sent."""

    body: int = 1024 * 1024  # bytes of a request
    tokens: int = 500  # of a document: what reading it takes grows with them
    depth: int = 12
    fields: int = 400  # of an operation, its fragments spread out
    aliases: int = 30
    parts: int = 2000  # that an operation may cause at boxes
    rows: int = (
        5000  # in all its lists: rows, representations, and buckets that are asked for by number
    )
    page: int = 500  # the most that `first` may be
    keys: int = 1000  # representations, and values of a filter's `in`
    rate: float = 0.0  # parts a second for each client over time; 0: not bounded
    burst: float = 0.0  # parts at once; 0: as many as in ten seconds
    tenant_rate: float = 0.0  # the same for each tenant of the settings, by its share
    clients: int = 10_000  # whose spending is kept apart
    documents: int = 1000  # parsed and validated ones kept, of 100 tokens each on average


@dataclass(frozen=True, slots=True)
class GraphSettings:
    listen: tuple[str, int]
    limits: GraphLimits
    introspection: bool = True
    persisted: str = "accept"  # or "only": what is in `persisted_file` and nothing else; "off"
    persisted_queries: dict[str, str] = field(default_factory=dict)
    types: dict[str, GraphType] = field(default_factory=dict)
    entities: dict[str, GraphEntity] = field(default_factory=dict)


def words(text: str) -> tuple[str, ...]:
    """The fields of a key, as federation writes a field set; flat ones only."""
    return tuple(text.split())


def plural(name: str) -> str:
    head = name[:1].lower() + name[1:]
    return head + ("es" if head.endswith(("s", "x", "z", "ch", "sh")) else "s")


def readers() -> dict[str, dict[str, Key]]:
    """The tables of this front's blocks."""

    def name(value: Any) -> str:
        if not isinstance(value, str) or not FIELD_NAME.fullmatch(value):
            raise SettingError(
                "expected a GraphQL name: letters, digits and _, not beginning with __ or a digit"
            )
        return value

    def texts(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list) or not all(
            isinstance(each, str) and each.strip() for each in value
        ):
            raise SettingError("expected a list of strings")
        return tuple(value)

    def pairs(value: Any) -> dict[str, str]:
        if not isinstance(value, dict) or not all(isinstance(each, str) for each in value.values()):
            raise SettingError('expected an object of strings, such as { name = "club" }')
        return {str(key): each for key, each in value.items()}

    limits = GraphLimits()
    marks = {
        "shareable": Key(flag, False),
        "inaccessible": Key(flag, False),
        "tags": Key(texts, ()),
    }
    return {
        "graphql": {
            "listen": Key(address),
            "introspection": Key(flag, True),
            "persisted": Key(one_of("accept", "only", "off"), "accept"),
            "persisted_file": Key(text, ""),
            "body": Key(size, limits.body),
            "tokens": Key(count(), limits.tokens),
            "depth": Key(count(1, 100), limits.depth),
            "fields": Key(count(), limits.fields),
            "aliases": Key(count(0), limits.aliases),
            "parts": Key(count(), limits.parts),
            "rows": Key(count(), limits.rows),
            "page": Key(count(), limits.page),
            "keys": Key(count(1, 1024), limits.keys),
            "rate": Key(number(), 0.0),
            "burst": Key(number(), 0.0),
            "tenant_rate": Key(number(), 0.0),
            "clients": Key(count(), limits.clients),
            "documents": Key(count(), limits.documents),
        },
        "type": {
            "index": Key(text),
            "keys": Key(texts, ("id",)),
            "one": Key(name, ""),
            "many": Key(name, ""),
            "fields": Key(texts, ()),
            "writes": Key(flag, False),
            **marks,
        },
        "type.field": {
            "from": Key(text, ""),
            "many": Key(flag, False),
            "override": Key(text, ""),
            **marks,
        },
        "type.reference": {
            "entity": Key(text),
            "from": Key(pairs),
            "provides": Key(text, ""),
            **marks,
        },
        "entity": {"index": Key(text), "keys": Key(texts), **marks},
        "entity.field": {
            "type": Key(one_of(*SCALARS), "keyword"),
            "from": Key(text, ""),
            "external": Key(flag, False),
            **marks,
        },
        "entity.count": {
            "at_least": Key(pairs, {}),
            "at_most": Key(pairs, {}),
            "equal": Key(pairs, {}),
            "override": Key(text, ""),
            **marks,
        },
        "entity.metric": {
            "kind": Key(one_of(*METRICS)),
            "field": Key(text),
            "at_least": Key(pairs, {}),
            "at_most": Key(pairs, {}),
            "equal": Key(pairs, {}),
            "override": Key(text, ""),
            **marks,
        },
    }


def marks_of(got: dict[str, Any]) -> Marks:
    return Marks(
        bool(got["shareable"]),
        bool(got["inaccessible"]),
        tuple(got["tags"] or ()),
        got.get("override") or "",
    )


class GraphReader:
    """Reads the `graphql` block by the tables; what is wrong goes to the checker with its line."""

    def __init__(self, checker: Checker, indices: dict[str, Any]) -> None:
        self.checker, self.indices, self.tables = checker, indices, readers()

    def read(self, block: Block, folder: Path) -> GraphSettings | None:
        got = self.checker.read(block, self.tables["graphql"], "graphql.")
        types: dict[str, GraphType] = {}
        entities: dict[str, GraphEntity] = {}
        for inner in block.blocks:
            if inner.kind not in ("type", "entity") or len(inner.labels) != 1:
                self.checker.wrong(
                    inner.line,
                    f"graphql.{inner.kind}",
                    'unknown block; known here: type "NAME", entity "NAME"',
                )
                continue
            name = inner.labels[0]
            if not FIELD_NAME.fullmatch(name) or name in RESERVED or name.startswith("_"):
                self.checker.wrong(
                    inner.line,
                    f"graphql.{inner.kind}.{name}",
                    "expected a GraphQL name that is free",
                )
            elif name in types or name in entities:
                self.checker.wrong(inner.line, f"graphql.{inner.kind}.{name}", "given twice")
            elif inner.kind == "type":
                made = self.type(inner, name)
                if made is not None:
                    types[name] = made
            else:
                entity = self.entity(inner, name)
                if entity is not None:
                    entities[name] = entity
        if not types and not self.checker.problems:
            self.checker.wrong(
                block.line, "graphql.type", 'missing: at least one type "NAME" { index = "..." }'
            )
        self.references(block, types, entities)
        self.roots(block, types, entities)
        if self.checker.problems:
            return None
        listen, introspection, mode, file = (
            got.pop(key) for key in ("listen", "introspection", "persisted", "persisted_file")
        )
        queries = read_persisted(self.checker, block, file, folder)
        return GraphSettings(
            listen, GraphLimits(**got), introspection, mode, queries, types, entities
        )

    def index(self, block: Block, got: dict[str, Any], where: str) -> Any:
        index = self.indices.get(got["index"])
        if index is None and got["index"] is not None:
            self.checker.wrong(
                block.line,
                f"{where}.index",
                f"expected an index of this file, not {got['index']!r}",
            )
        return index

    def source(self, block: Block, index: Any, name: str, where: str) -> str:
        """The kind of an index's field; "" and a problem where it has none."""
        if name == "_id":
            return "id"
        kind = index.fields.get(name, "")
        if not kind:
            self.checker.wrong(
                block.line, where, f"expected a field of index {index.name}, not {name!r}"
            )
        return str(kind)

    def type(self, block: Block, name: str) -> GraphType | None:
        where = f"graphql.type.{name}"
        got = self.checker.read(block, self.tables["type"], where + ".")
        index = self.index(block, got, where)
        if index is None:
            return None
        shown = got["fields"] or tuple(
            each for each in index.fields if FIELD_NAME.fullmatch(each) and each != ID
        )
        fields = {ID: GraphField(ID, "_id", "id")}
        for each in shown:
            fields[each] = GraphField(
                each, each, self.source(block, index, each, f"{where}.fields")
            )
        references: dict[str, Reference] = {}
        for inner in block.blocks:
            label = inner.labels[0] if len(inner.labels) == 1 else ""
            here = f"{where}.{label}"
            if inner.kind not in ("field", "reference") or not FIELD_NAME.fullmatch(label):
                self.checker.wrong(
                    inner.line,
                    f"{where}.{inner.kind}",
                    'unknown block; known here: field "NAME", reference "NAME"',
                )
            elif inner.kind == "field":
                own = self.checker.read(inner, self.tables["type.field"], here + ".")
                source = own["from"] or (fields[label].source if label in fields else label)
                fields[label] = GraphField(
                    label,
                    source,
                    self.source(inner, index, source, f"{here}.from"),
                    bool(own["many"]),
                    marks_of(own),
                )
            else:
                own = self.checker.read(inner, self.tables["type.reference"], here + ".")
                references[label] = Reference(
                    label,
                    own["entity"] or "",
                    tuple((own["from"] or {}).items()),
                    words(own["provides"] or ""),
                    marks_of(own),
                )
        for label in references.keys() & fields.keys():
            self.checker.wrong(block.line, f"{where}.{label}", "both a field and a reference")
        keys = tuple(words(each) for each in got["keys"] or ())
        for key in keys:
            for each in key:
                if (
                    each not in fields
                    or fields[each].kind not in (*KEY_TYPES, "id")
                    or fields[each].many
                    or (each == ID and len(key) > 1)
                ):
                    self.checker.wrong(
                        block.line,
                        f"{where}.keys",
                        f"expected id, or fields of one value that are "
                        f"{', '.join(KEY_TYPES)}, not {each!r}",
                    )
        many = got["many"] or plural(name)
        return GraphType(
            name,
            index.name,
            keys,
            fields,
            references,
            got["one"] or name[:1].lower() + name[1:],
            many,
            bool(got["writes"]),
            marks_of(got),
        )

    def entity(self, block: Block, name: str) -> GraphEntity | None:
        where = f"graphql.entity.{name}"
        got = self.checker.read(block, self.tables["entity"], where + ".")
        index = self.index(block, got, where)
        if index is None:
            return None
        fields: dict[str, EntityField] = {}
        metrics: dict[str, Metric] = {}
        for inner in block.blocks:
            label = inner.labels[0] if len(inner.labels) == 1 else ""
            here = f"{where}.{label}"
            if inner.kind not in ("field", "count", "metric") or not FIELD_NAME.fullmatch(label):
                self.checker.wrong(
                    inner.line,
                    f"{where}.{inner.kind}",
                    'unknown block; known here: field "NAME", count "NAME", metric "NAME"',
                )
                continue
            if label in fields or label in metrics:
                self.checker.wrong(inner.line, here, "given twice")
            own = self.checker.read(inner, self.tables[f"entity.{inner.kind}"], here + ".")
            if inner.kind == "field":
                if own["from"]:
                    kind = self.source(inner, index, own["from"], f"{here}.from")
                    own["type"] = kind if kind != "id" else own["type"]
                fields[label] = EntityField(
                    label,
                    own["type"] or "keyword",
                    own["from"] or "",
                    bool(own["external"]),
                    marks_of(own),
                )
                continue
            source = own.get("field") or ""
            kind = self.source(inner, index, source, f"{here}.field") if source else ""
            if source and kind not in (*NUMBERS, "date"):
                self.checker.wrong(
                    inner.line, f"{here}.field", f"expected a number or a date, {source} is {kind}"
                )
            bounds = []
            for option, relation in (("at_least", "gte"), ("at_most", "lte"), ("equal", "eq")):
                for field_here, other in (own[option] or {}).items():
                    self.source(inner, index, field_here, f"{here}.{option}")
                    bounds.append((field_here, relation, other))
            metrics[label] = Metric(
                label, own.get("kind") or "count", source, kind, tuple(bounds), marks_of(own)
            )
        keys = tuple(words(each) for each in got["keys"] or ())
        for each in {each for key in keys for each in key}:
            if each not in fields or not fields[each].source or fields[each].kind not in KEY_TYPES:
                self.checker.wrong(
                    block.line,
                    f"{where}.keys",
                    f"expected fields of the entity that have a `from` of {', '.join(KEY_TYPES)}, "
                    f"not {each!r}",
                )
        for metric in metrics.values():
            for each in metric.requires:
                if each not in fields or not fields[each].external:
                    self.checker.wrong(
                        block.line,
                        f"{where}.{metric.name}",
                        f"expected a field with external = true, not {each!r}",
                    )
        if not keys or not metrics:
            self.checker.wrong(
                block.line, where, "expected at least one key, and a count or a metric"
            )
        return GraphEntity(name, index.name, keys, fields, metrics, marks_of(got))

    def references(
        self, block: Block, types: dict[str, GraphType], entities: dict[str, GraphEntity]
    ) -> None:
        for kind in types.values():
            for each in kind.references.values():
                where, entity = f"graphql.type.{kind.name}.{each.name}", entities.get(each.entity)
                if entity is None:
                    self.checker.wrong(
                        block.line, f"{where}.entity", f"expected an entity, not {each.entity!r}"
                    )
                    continue
                given = {name for name, _ in each.values}
                if not any(set(key) <= given for key in entity.keys):
                    self.checker.wrong(
                        block.line,
                        f"{where}.from",
                        f"expected the fields of a key of {entity.name}",
                    )
                for name, source in each.values:
                    if name not in entity.fields or source not in kind.fields:
                        self.checker.wrong(
                            block.line,
                            f"{where}.from",
                            f"expected a field of {entity.name} = a field of {kind.name}, "
                            f"not {name} = {source}",
                        )
                for name in each.provides:
                    if (
                        name not in given
                        or name not in entity.fields
                        or not entity.fields[name].external
                    ):
                        self.checker.wrong(
                            block.line,
                            f"{where}.provides",
                            f"expected external fields of {entity.name} that are in `from`",
                        )

    def roots(
        self, block: Block, types: dict[str, GraphType], entities: dict[str, GraphEntity]
    ) -> None:
        seen: set[str] = set()
        for name in types:
            for made in (name + each for each in BESIDE):
                if made in types or made in entities:
                    self.checker.wrong(
                        block.line, f"graphql.{made}", f"the name is that of a part of {name}"
                    )
        for kind in types.values():
            for name in (kind.one, kind.many):
                if name in seen or name.startswith("_"):
                    self.checker.wrong(
                        block.line,
                        f"graphql.type.{kind.name}",
                        f"its query field {name} is taken; `one` and `many` name others",
                    )
                seen.add(name)
