"""Operations' texts made ready to run: counted, parsed, measured and validated once, and kept within bounds.

Persisted queries are known by the SHA-256 of their text: from a file of the operator's, or sent along once by a
client (automatic persisted queries, as Apollo's clients and routers speak them).
"""

from __future__ import annotations

import hashlib
import re
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from graphql import (
    DocumentNode,
    FragmentDefinitionNode,
    GraphQLError,
    GraphQLSchema,
    NoSchemaIntrospectionCustomRule,
    OperationDefinitionNode,
    parse,
    specified_rules,
    validate,
)
from graphql.execution.collect_fields import CollectedFields

from stepknot.config.graphql import GraphSettings
from stepknot.frontends.graphql.limits import LONGEST, TooMuch, check_rows, check_shape, check_text

# A directive, however it is spaced.
CONDITION = re.compile(r"@[\s,\ufeff]*(?:#[^\n\r]*[\s,\ufeff]*)*(?:skip|include)\b")
TOKENS_EACH = (
    100  # of a kept document on average: what all may hold is this times how many are kept
)
MOST_ERRORS = 20


@dataclass(slots=True)
class Prepared:
    """A document that is valid for the schema in force."""

    text: str
    tokens: int
    document: DocumentNode
    operations: dict[str, OperationDefinitionNode]
    fragments: dict[str, FragmentDefinitionNode] = field(default_factory=dict)
    # Its selections as they were collected, by type and place; none where @skip or @include make them differ.
    selections: dict[Any, CollectedFields] | None = None

    def operation(self, name: str | None) -> OperationDefinitionNode:
        """Raises GraphQLError where it is not said which, or there is none of that name."""
        if name is None and len(self.operations) == 1:
            return next(iter(self.operations.values()))
        if name in self.operations:
            return self.operations[name]
        raise GraphQLError(
            "Must provide operation name if query contains multiple operations."
            if name is None
            else f"Unknown operation named '{name[:100]}'.",
            extensions={"code": "OPERATION_RESOLUTION_FAILURE"},
        )


class Invalid(Exception):
    """A document that cannot be run; `errors` say why."""

    def __init__(self, errors: list[GraphQLError], code: str) -> None:
        super().__init__(errors[0].message if errors else code)
        for error in errors:
            error.extensions = {"code": code, **(error.extensions or {})}
        self.errors, self.code = errors, code


class Documents:
    """Keeps prepared documents, those used last; and the texts of persisted queries."""

    def __init__(self, schema: GraphQLSchema, settings: GraphSettings) -> None:
        self.schema, self.settings = schema, settings
        self.pages = {each.many for each in settings.types.values()}
        self.rules = [*specified_rules] + (
            [] if settings.introspection else [NoSchemaIntrospectionCustomRule]
        )
        self.kept: OrderedDict[str, Prepared] = OrderedDict()
        self.persisted: OrderedDict[str, str] = OrderedDict()  # sent along by clients
        self.persisted_size = 0
        self.tokens = self.hits = self.misses = 0

    # --- ready to run

    def prepare(self, text: str) -> Prepared:
        """Raises Invalid, TooMuch. A text that is turned down is not kept."""
        found = self.kept.get(text)
        if found is not None:
            self.kept.move_to_end(text)
            self.hits += 1
            return found
        self.misses += 1
        made = self.make(text)
        self.kept[text] = made
        self.tokens += made.tokens
        while self.tokens > self.settings.limits.documents * TOKENS_EACH or (
            len(self.kept) > self.settings.limits.documents
        ):
            self.tokens -= self.kept.popitem(last=False)[1].tokens
        return made

    def make(self, text: str) -> Prepared:
        limits = self.settings.limits
        tokens = check_text(text, limits)
        try:
            document = parse(text, max_tokens=limits.tokens, allow_empty_selection_sets=False)
            check_shape(document, limits)
            check_rows(document, limits, self.pages)
            errors = validate(self.schema, document, self.rules, max_errors=MOST_ERRORS)
        except GraphQLError as error:
            raise Invalid([error], "GRAPHQL_PARSE_FAILED") from None
        except RecursionError:
            raise TooMuch("OPERATION_TOO_LARGE", "The document is nested too deeply.") from None
        if errors:
            raise Invalid(errors, "GRAPHQL_VALIDATION_FAILED")
        operations = {
            each.name.value if each.name else "": each
            for each in document.definitions
            if isinstance(each, OperationDefinitionNode)
        }
        return Prepared(
            text,
            tokens,
            document,
            operations,
            {
                each.name.value: each
                for each in document.definitions
                if isinstance(each, FragmentDefinitionNode)
            },
            None if CONDITION.search(text) else {},
        )

    # --- persisted

    def text_of(self, text: str | None, digest: str | None) -> str:
        """The text to run, of the text sent, the hash sent, or both. Raises Invalid."""
        mode = self.settings.persisted
        if digest is None:
            if text is None:
                raise Invalid([GraphQLError("Must provide a query string.")], "BAD_REQUEST")
            if mode == "only" and hash_of(text) not in self.settings.persisted_queries:
                raise Invalid(
                    [GraphQLError("Only persisted queries are taken.")], "PERSISTED_QUERY_REQUIRED"
                )
            return text
        if mode == "off":
            raise Invalid(
                [GraphQLError("PersistedQueryNotSupported")], "PERSISTED_QUERY_NOT_SUPPORTED"
            )
        known = self.settings.persisted_queries.get(digest) or self.persisted.get(digest)
        if known is not None:
            if digest in self.persisted:
                self.persisted.move_to_end(digest)
            return known
        if text is None or mode == "only":
            raise Invalid([GraphQLError("PersistedQueryNotFound")], "PERSISTED_QUERY_NOT_FOUND")
        if hash_of(text) != digest:
            raise Invalid([GraphQLError("provided sha does not match query")], "BAD_REQUEST")
        return text

    def keep(self, text: str, digest: str | None) -> None:
        """Remember what a client sent along with its hash, once it has turned out to be valid."""
        if digest is None or digest in self.persisted or digest in self.settings.persisted_queries:
            return
        self.persisted[digest] = text
        self.persisted_size += len(text)
        limits = self.settings.limits
        while (
            len(self.persisted) > limits.documents
            or self.persisted_size > limits.documents * TOKENS_EACH * LONGEST
        ):
            self.persisted_size -= len(self.persisted.popitem(last=False)[1])


def hash_of(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
