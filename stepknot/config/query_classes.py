"""The `class` blocks: query classes, and which class each operation belongs to."""

from __future__ import annotations

from typing import Any

from stepknot import interface as api
from stepknot.config.hcl import Block
from stepknot.config.readers import Checker, Key, count, duration, number, one_of, some_of

OPERATIONS = ("search", "count", "get", "mget", "index", "create", "update", "delete", "bulk")
MORE_OPERATIONS = {"entities": "mget"}  # those that go by another's class where none names them
WRITES = ("index", "create", "update", "delete", "bulk")
MAX_STEPS = 2
CLASS = {
    "aim": Key(duration),
    "deadline": Key(duration),
    "worth": Key(number(), 1.0),
    "late_value": Key(number(0, 1), 0.0),
    "effect": Key(one_of("safe", "keyed", "unsafe"), "safe"),
    "repeat_window": Key(duration, 0.0),
    "need": Key(number(0, 1), 1.0),
    "floor": Key(number(0, 1), 1.0),
    "partial_value": Key(number(0, 1), 0.0),
    "steps": Key(count(1, MAX_STEPS), 1),
    "operations": Key(some_of(*OPERATIONS, *MORE_OPERATIONS), ()),
}


def read_classes(
    checker: Checker, blocks: list[Block]
) -> tuple[dict[str, api.QueryClass], dict[str, str]]:
    """The classes by name, and the class of each operation by the operation's name."""
    classes: dict[str, api.QueryClass] = {}
    operations: dict[str, str] = {}
    for block in blocks:
        name = block.labels[0]
        got = checker.read(block, CLASS, f"class.{name}.")
        if name in classes:
            checker.wrong(block.line, f"class.{name}", "given twice")
        _assign_operations(checker, block, got["operations"] or (), operations)
        if None not in got.values():
            _check_class(checker, block, got)
            classes[name] = _make_class(name, got)
    _check_operations(checker, classes, operations)
    return classes, operations


def _assign_operations(
    checker: Checker, block: Block, names: tuple[str, ...], operations: dict[str, str]
) -> None:
    """Note the class of these operations; each belongs to one class."""
    own = block.labels[0]
    for operation in names:
        if operations.setdefault(operation, own) != own:
            checker.wrong(
                block.values["operations"].line,
                f"class.{own}.operations",
                f"{operation} is already class {operations[operation]}'s",
            )


def _check_class(checker: Checker, block: Block, got: dict[str, Any]) -> None:
    """Values of one class that must fit together."""
    where = f"class.{block.labels[0]}."
    for key, other in (("floor", "need"), ("aim", "deadline")):
        if got[key] > got[other]:
            checker.wrong_key(block, where, key, f"expected {other} ({got[other]:g}) or less")
    if got["effect"] == "keyed" and not got["repeat_window"]:
        checker.wrong(block.line, where + "repeat_window", "missing: a keyed class has one")
    if got["effect"] != "safe" and got["steps"] == MAX_STEPS:
        checker.wrong(block.line, where + "steps", "expected 1: what has an effect has one step")


def _make_class(name: str, got: dict[str, Any]) -> api.QueryClass:
    return api.QueryClass(
        name=name,
        aim=got["aim"],
        deadline=got["deadline"],
        worth=got["worth"],
        late_value=got["late_value"],
        effect=api.Effect(got["effect"]),
        repeat_window=got["repeat_window"],
        need=got["need"],
        floor=got["floor"],
        partial_value=got["partial_value"],
        second_step_parts=got["steps"] - 1,
    )


def _check_operations(
    checker: Checker, classes: dict[str, api.QueryClass], operations: dict[str, str]
) -> None:
    """Each operation has a class, and one that writes a class that says so."""
    for operation in OPERATIONS:
        if operation not in operations:
            checker.wrong(1, "class", f"missing: a class with {operation} among its operations")
    for operation, other in MORE_OPERATIONS.items():
        if other in operations:
            operations.setdefault(operation, operations[other])
    for operation in WRITES:
        query_class = classes.get(operations.get(operation, ""))
        if query_class is not None and query_class.effect is api.Effect.SAFE:
            checker.wrong(
                1,
                f"class.{query_class.name}.effect",
                f"expected keyed or unsafe: {operation} writes",
            )
