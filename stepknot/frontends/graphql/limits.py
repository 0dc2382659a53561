"""What an operation may be, decided on its document alone, before it is validated or anything is sent.

Fragments are counted as often as they are spread, each measured once, so that a document whose fragments double
at every level costs no more to measure than to read. Sums stop at CEILING: they never grow with what was sent.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass

from graphql import (
    DocumentNode,
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    InlineFragmentNode,
    IntValueNode,
    OperationDefinitionNode,
    SelectionSetNode,
)

from stepknot.config.graphql import GraphLimits

# A lexical token, or what is passed over; as the grammar has them, closely enough to count: whatever this does not
# know counts as a token of one character, so that the count is never too low.
TOKEN = re.compile(
    r'[\s,\ufeff]+|#[^\n\r]*|"""(?:[^"\\]|\\.|"(?!""))*"""|"(?:[^"\\\n\r]|\\.)*"|[_A-Za-z][_0-9A-Za-z]*'
    r"|-?[0-9]+(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?|\.\.\.|.",
    re.DOTALL,
)
BLANK = frozenset("\t\n\r\v\f ,#\ufeff")
LONGEST = 16  # characters of text for each token that is allowed
CEILING = 1_000_000
INTROSPECTION = ("__schema", "__type")


@dataclass(frozen=True, slots=True)
class Shape:
    """Of a selection set, its fragments spread out."""

    depth: int = 0
    fields: int = 0
    aliases: int = 0


class TooMuch(Exception):
    """An operation over a limit; `code` and the text say which and by how much."""

    def __init__(self, code: str, reason: str) -> None:
        super().__init__(reason)
        self.code, self.reason = code, reason


@dataclass(slots=True)
class Scan:
    """What a look at the text alone tells. Tokens are never fewer than the parser's; fields and aliases are those
    that stand in the largest definition itself, its fragments not spread: never more than it has."""

    tokens: int = 0
    fields: int = 0
    aliases: int = 0


def scan(text: str, most: int) -> Scan:
    """Stops once there are more than `most` tokens. It takes a tenth of the time that the parser does."""
    found = Scan()
    braces = parentheses = fields = aliases = 0
    last = before = ""
    for match in TOKEN.finditer(text):
        token = match[0]
        if token[0] in BLANK or token.isspace():
            continue
        found.tokens += 1
        if found.tokens > most:
            break
        if token in "(){}":
            parentheses += (token == "(") - (token == ")")
            if not parentheses:
                braces += (token == "{") - (token == "}")
                if not braces:  # a definition ends
                    fields = aliases = 0
        elif braces and not parentheses:
            if token == ":":  # the name before it was an alias
                aliases += 1
                fields -= 1
            elif (
                (token[0] == "_" or token[0].isalpha())
                and last not in ("...", "@")
                and not (last == "on" and before == "...")
            ):
                fields += 1
            found.fields, found.aliases = max(found.fields, fields), max(found.aliases, aliases)
        before, last = last, token
    return found


def check_text(text: str, limits: GraphLimits) -> int:
    """How many tokens it has, counted before it is parsed. Raises TooMuch."""
    if len(text) > limits.tokens * LONGEST:
        raise TooMuch(
            "OPERATION_TOO_LARGE",
            f"The document has {len(text)} characters, at most "
            f"{limits.tokens * LONGEST} are taken.",
        )
    found = scan(text, limits.tokens)
    # An alias is counted as a field until its colon comes: one more than the limit may be such a name.
    for what, got, most in (
        ("tokens", found.tokens, limits.tokens),
        ("fields", found.fields - 1, limits.fields),
        ("aliases", found.aliases, limits.aliases),
    ):
        if got > most:
            raise TooMuch("OPERATION_TOO_LARGE", f"The document has over {most} {what}.")
    return found.tokens


def check_rows(document: DocumentNode, limits: GraphLimits, pages: Collection[str]) -> None:
    """Refuse what states at its root, in figures, more rows than may be had: planning counts the rest. Raises TooMuch.

    `pages`: the query fields that take `first`. What hangs on variables or directives is not counted here.
    """
    for operation in document.definitions:
        if not isinstance(operation, OperationDefinitionNode):
            continue
        rows = 0
        for each in operation.selection_set.selections:
            if (
                isinstance(each, FieldNode)
                and each.name.value in pages
                and not each.directives
                and any(
                    isinstance(inner, FieldNode)
                    and inner.name.value in ("edges", "nodes")
                    and not inner.directives
                    for inner in (each.selection_set.selections if each.selection_set else ())
                )
            ):
                first = next(
                    (given.value for given in each.arguments or () if given.name.value == "first"),
                    None,
                )
                rows += (
                    int(first.value)
                    if isinstance(first, IntValueNode) and len(first.value) < 10
                    else 0
                )
        if rows > limits.rows:
            raise TooMuch(
                "OPERATION_TOO_COSTLY",
                f"The operation would have up to {rows} rows in its lists and more, "
                f"at most {limits.rows} are taken.",
            )


class Measure:
    """Measures the operations of one document."""

    def __init__(self, document: DocumentNode) -> None:
        self.fragments = {
            each.name.value: each
            for each in document.definitions
            if isinstance(each, FragmentDefinitionNode)
        }
        self.known: dict[str, Shape] = {}
        self.open: set[str] = set()  # fragments being measured: one met again is a cycle

    def selections(self, node: SelectionSetNode | None) -> Shape:
        depth = fields = aliases = 0
        for each in node.selections if node is not None else ():
            if isinstance(each, FieldNode):
                inner = self.selections(each.selection_set)
                # Introspection is deep by its nature; a rule of validation's own bounds how deep it may go.
                depth_here = 0 if each.name.value in INTROSPECTION else inner.depth
                inner = Shape(
                    depth_here + 1, inner.fields + 1, inner.aliases + (each.alias is not None)
                )
            elif isinstance(each, InlineFragmentNode):
                inner = self.selections(each.selection_set)
            else:
                assert isinstance(each, FragmentSpreadNode)
                inner = self.fragment(each.name.value)
            depth = max(depth, inner.depth)
            fields, aliases = (
                min(fields + inner.fields, CEILING),
                min(aliases + inner.aliases, CEILING),
            )
        return Shape(depth, fields, aliases)

    def fragment(self, name: str) -> Shape:
        if name in self.open:
            raise TooMuch(
                "GRAPHQL_VALIDATION_FAILED", f"Cannot spread fragment '{name}' within itself."
            )
        if name not in self.known:
            found = self.fragments.get(name)
            self.open.add(name)
            self.known[name] = (
                self.selections(found.selection_set) if found is not None else Shape()
            )
            self.open.discard(name)
        return self.known[name]


def check_shape(document: DocumentNode, limits: GraphLimits) -> Shape:
    """The largest of the document's operations in each regard. Raises TooMuch."""
    measure = Measure(document)
    shapes = [
        measure.selections(each.selection_set)
        for each in document.definitions
        if isinstance(each, OperationDefinitionNode)
    ]
    spread = [
        measure.fragment(name) for name in measure.fragments
    ]  # also those that no operation uses:
    worst = Shape(
        max((each.depth for each in shapes), default=0),  # validation walks them too
        max((each.fields for each in [*shapes, *spread]), default=0),
        max((each.aliases for each in [*shapes, *spread]), default=0),
    )
    for what, got, most in (
        ("depth", worst.depth, limits.depth),
        ("fields", worst.fields, limits.fields),
        ("aliases", worst.aliases, limits.aliases),
    ):
        if got > most:
            said = f"over {CEILING}" if got >= CEILING else str(got)
            raise TooMuch(
                "OPERATION_TOO_LARGE", f"The operation's {what} is {said}, at most {most} is taken."
            )
    return worst
