"""The answer of an operation from its values: graphql-core's execution, with nothing left to wait for."""

from __future__ import annotations

from typing import Any

from graphql import (
    ExecutionResult,
    GraphQLObjectType,
    GraphQLResolveInfo,
    GraphQLSchema,
    execute_sync,
)

from stepknot.config.graphql import GraphSettings
from stepknot.frontends.graphql.documents import Prepared
from stepknot.frontends.graphql.sdl import executable, subgraph_sdl

Values = dict[str, Any]


def by_name(source: Values, info: GraphQLResolveInfo[Any], **arguments: Any) -> Any:
    return source.get(info.field_name)


def by_place(source: Values, info: GraphQLResolveInfo[Any], **arguments: Any) -> Any:
    """Where one field may be asked for in several ways: by its name in the answer."""
    return source[str(info.path.key)]


def aggregate(source: Values, info: GraphQLResolveInfo[Any], **arguments: Any) -> Any:
    return source["aggregate"][info.path.key]


def make_schema(settings: GraphSettings) -> GraphQLSchema:
    """The executable schema with its resolvers. Raises GraphQLError, TypeError."""
    schema = executable(settings)
    sdl = {"sdl": subgraph_sdl(settings)}
    for root in (schema.query_type, schema.mutation_type):
        for name, field in (root.fields if root is not None else {}).items():
            field.resolve = (
                (lambda source, info, **arguments: sdl) if name == "_service" else by_place
            )
    for kind in settings.types:
        for under in ("Connection", "Bucket"):
            type_ = schema.type_map[kind + under]
            assert isinstance(type_, GraphQLObjectType)
            type_.fields["aggregate"].resolve = aggregate
        type_ = schema.type_map[kind + "Aggregate"]
        assert isinstance(type_, GraphQLObjectType)
        for field in type_.fields.values():
            field.resolve = by_place
    return schema


def shape(
    schema: GraphQLSchema, prepared: Prepared, name: str | None, variables: Values, values: Values
) -> ExecutionResult:
    return execute_sync(schema, prepared.document, values, None, variables, name, by_name)
