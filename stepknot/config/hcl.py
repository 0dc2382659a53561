"""HCL text to blocks that know their lines. The grammar is python-hcl2's; only literals are understood here."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedInput

from stepknot.config.errors import ConfigError, Problem

LITERAL = "a literal: string, number, true, false, list or object"  # what was expected
WORDS = {"true": True, "false": False, "null": None}


@dataclass(slots=True)
class Value:
    """An attribute's value and its line."""

    line: int
    value: Any  # str, int, float, bool, None, list of these, dict of these


@dataclass(slots=True)
class Block:
    """A block with its attributes and inner blocks. The file itself is one without kind or labels."""

    kind: str
    labels: list[str]
    line: int
    values: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)


def parse(text: str, file: str) -> Block:
    """The file as one block. Raises ConfigError."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as error:
        context = error.get_context(text, 30).strip().split("\n")[0]
        expected = f"not HCL, near: {context}"
        raise ConfigError(
            [Problem(file, max(getattr(error, "line", 0), 0), "", expected)]
        ) from error
    return Reader(file).read_body(tree.children[0], Block("", [], 1))


class Reader:
    """Turns the parser's trees into blocks."""

    def __init__(self, file: str) -> None:
        self.file = file

    def _fail(self, line: int, key: str, expected: str) -> ConfigError:
        return ConfigError([Problem(self.file, line, key, expected)])

    def read_body(self, tree: Any, into: Block) -> Block:
        """Add the attributes and blocks of a body. Raises `ConfigError`."""
        for node in tree.children:
            if not isinstance(node, Tree):
                continue
            if node.data == "attribute":
                key, line = str(node.children[0].children[0]), node.meta.line
                if key in into.values:
                    raise self._fail(
                        line, key, f"given twice, first in line {into.values[key].line}"
                    )
                into.values[key] = Value(line, self._value(node.children[-1], key))
            elif node.data == "block":
                into.blocks.append(self._block(node))
        return into

    def _block(self, node: Any) -> Block:
        trees = [each for each in node.children if isinstance(each, Tree)]
        kind = str(trees[0].children[0])
        labels = [self._label(each) for each in trees[1:] if each.data in ("string", "identifier")]
        block = Block(kind, labels, node.meta.line)
        for each in trees[1:]:
            if each.data == "body":
                self.read_body(each, block)
        return block

    def _label(self, node: Any) -> str:
        return (
            str(node.children[0]) if node.data == "identifier" else str(self._string(node, "label"))
        )

    def _value(self, node: Any, key: str) -> Any:
        """A literal: a scalar, or a list or object of literals."""
        if isinstance(node, Token):
            raise self._fail(node.line or 0, key, LITERAL)
        children = [
            each
            for each in node.children
            if isinstance(each, Tree) and each.data != "new_line_or_comment"
        ]
        match node.data:
            case "expr_term" if len(children) == 1:
                return self._value(children[0], key)
            case "tuple":
                return [self._value(each, key) for each in children]
            case "object":
                return self._object(children, key)
        return self._scalar(node, children, key)

    def _scalar(self, node: Any, children: list[Any], key: str) -> Any:
        match node.data:
            case "string":
                return self._string(node, key)
            case "int_lit":
                return int(node.children[0])
            case "float_lit":
                return float(node.children[0])
            case "literal_value" | "identifier" if str(node.children[0]) in WORDS:
                return WORDS[str(node.children[0])]
            case "unary_op":
                inner = self._value(children[-1], key)
                if str(node.children[0]).strip() == "-" and isinstance(inner, (int, float)):
                    return -inner
        raise self._fail(node.meta.line if not node.meta.empty else 0, key, LITERAL)

    def _object(self, children: list[Any], key: str) -> dict[str, Any]:
        pairs = [[part for part in each.children if isinstance(part, Tree)] for each in children]
        return {self._object_key(pair[0]): self._value(pair[-1], key) for pair in pairs}

    def _object_key(self, node: Any) -> str:
        while isinstance(node, Tree):
            if node.data == "string":
                return str(self._string(node, "key"))
            node = node.children[0]
        return str(node)

    def _string(self, node: Any, key: str) -> str:
        text = ""
        for each in node.children:
            if isinstance(each, Tree):
                if any(isinstance(part, Tree) for part in each.children):
                    raise self._fail(node.meta.line, key, "a plain string, without ${...}")
                text += "".join(map(str, each.children))
        return text.replace('\\"', '"').replace("\\n", "\n").replace("\\\\", "\\")
