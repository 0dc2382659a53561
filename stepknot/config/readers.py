"""Reads blocks by tables: a table says which keys a block has, how each is read and what it is when absent."""

from __future__ import annotations

import hashlib
import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from stepknot.config.errors import Problem, SettingError
from stepknot.config.hcl import Block, Value

REQUIRED = object()
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
SIZES = {"kb": 1024, "mb": 1024**2, "gb": 1024**3, "b": 1}


Read = Callable[[Any], Any]


def text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise SettingError("expected a string that is not empty")
    return value


def duration(value: Any) -> float:
    if isinstance(value, (int, float)) and not isinstance(value, bool) and value >= 0:
        return float(value)
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h)", value) if isinstance(value, str) else None
    if not found:
        raise SettingError('expected a duration such as "250ms", "2s" or a number of seconds')
    return float(found[1]) * UNITS[found[2]]


def size(value: Any) -> int:
    if isinstance(value, int) and not isinstance(value, bool) and value > 0:
        return value
    found = re.fullmatch(r"(\d+)(b|kb|mb|gb)", value.lower()) if isinstance(value, str) else None
    if not found:
        raise SettingError('expected a size such as "64kb", "32mb" or a number of bytes')
    return int(found[1]) * SIZES[found[2]]


def count(least: int = 1, most: int = 1_000_000) -> Read:
    def read(value: Any) -> int:
        if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
            raise SettingError(f"expected a whole number from {least} to {most}")
        return value

    return read


def number(least: float = 0.0, most: float = float("inf")) -> Read:
    def read(value: Any) -> float:
        if (
            not isinstance(value, (int, float))
            or isinstance(value, bool)
            or not least <= value <= most
        ):
            raise SettingError(
                f"expected a number from {least:g} to {most:g}"
                if most < float("inf")
                else f"expected a number of {least:g} or more"
            )
        return float(value)

    return read


def flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise SettingError("expected true or false")
    return value


def one_of(*names: str) -> Read:
    def read(value: Any) -> str:
        if value not in names:
            raise SettingError(f"expected one of {', '.join(names)}")
        return str(value)

    return read


def some_of(*names: str) -> Read:
    def read(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list) or not value or any(each not in names for each in value):
            raise SettingError(f"expected a list of some of {', '.join(names)}")
        return tuple(value)

    return read


def tiers(value: Any) -> tuple[tuple[str, ...], ...]:
    if not isinstance(value, list) or not all(
        isinstance(tier, list) and tier and all(isinstance(name, str) for name in tier)
        for tier in value
    ):
        raise SettingError('expected lists of zones, best first, such as [["a"], ["b", "c"]]')
    names = [name for tier in value for name in tier]
    if len(set(names)) != len(names):
        raise SettingError("expected each zone in one tier")
    return tuple(map(tuple, value))


def address(value: Any) -> tuple[str, int]:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingError(
            'expected an address and port such as "127.0.0.1:9200" or "[::1]:9200"'
        ) from None
    if not port.isdigit() or int(port) > 65535:
        raise SettingError("expected a port from 0 to 65535 after the address")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Key:
    read: Read
    default: Any = REQUIRED


class Checker:
    """Reads blocks by their tables and gathers what is wrong."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []

    def wrong(self, line: int, key: str, expected: str) -> None:
        self.problems.append(Problem(self.file, line, key, expected))

    def read(self, block: Block | None, table: dict[str, Key], where: str) -> dict[str, Any]:
        values = block.values if block else {}
        got = {}
        for name in values.keys() - table.keys():
            near = f"unknown; known here: {', '.join(table)}"
            self.wrong(values[name].line, f"{where}{name}", near)
        for name, key in table.items():
            if name in values:
                got[name] = self.one(values[name], key, where + name)
            elif key.default is REQUIRED:
                self.wrong(block.line if block else 1, where + name, "missing")
                got[name] = None
            else:
                got[name] = key.default
        return got

    def one(self, value: Value, key: Key, name: str) -> Any:
        try:
            return key.read(value.value)
        except SettingError as error:
            self.wrong(value.line, name, f"{error}, not {value.value!r}")
        except (TypeError, ValueError):
            self.wrong(value.line, name, f"not understood: {value.value!r}")
        return None

    def persisted(self, block: Block, name: str, folder: Path) -> dict[str, str]:
        """A manifest of operations: their SHA-256 in hexadecimal to their text, as JSON."""
        if not name:
            return {}
        line = block.values["persisted_file"].line
        try:
            found = orjson.loads((folder / name).read_bytes())
        except (OSError, ValueError) as error:
            self.wrong(line, "graphql.persisted_file", f"not read: {error}")
            return {}
        good = isinstance(found, dict) and all(isinstance(each, str) for each in found.values())
        for key in found if good else ():
            if hashlib.sha256(found[key].encode()).hexdigest() != key:
                self.wrong(
                    line,
                    "graphql.persisted_file",
                    f"{key[:64]} is not the SHA-256 of its operation",
                )
        if not good:
            self.wrong(line, "graphql.persisted_file", "expected an object of SHA-256 to operation")
        return found if good else {}
