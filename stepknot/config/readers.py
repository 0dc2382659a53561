"""Reads blocks by tables: a table says which keys a block has, how each is read and what it is when absent."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from stepknot.config.errors import Problem, SettingError
from stepknot.config.hcl import Block, Value

REQUIRED = object()
UNITS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}  # seconds
SIZES = {"kb": 1024, "mb": 1024**2, "gb": 1024**3, "b": 1}  # bytes
MAX_PORT = 65535
Read = Callable[[Any], Any]  # raises SettingError


# --- readers: each takes a value as the file has it, and raises SettingError with what was expected


def text(value: Any) -> str:
    """A string that is not empty."""
    if not isinstance(value, str) or not value:
        raise SettingError("expected a string that is not empty")
    return value


def duration(value: Any) -> float:
    """Seconds, as a number or as a string with a unit."""
    if _is_number(value) and value >= 0:
        return float(value)
    found = _match(r"(\d+(?:\.\d+)?)(ms|s|m|h)", value)
    if not found:
        raise SettingError('expected a duration such as "250ms", "2s" or a number of seconds')
    return float(found[1]) * UNITS[found[2]]


def size(value: Any) -> int:
    """Bytes, as a number or as a string with a unit in any case."""
    if _is_whole(value) and value > 0:
        return int(value)
    found = _match(r"(\d+)(b|kb|mb|gb)", value.lower() if isinstance(value, str) else value)
    if not found:
        raise SettingError('expected a size such as "64kb", "32mb" or a number of bytes')
    return int(found[1]) * SIZES[found[2]]


def count(least: int = 1, most: int = 1_000_000) -> Read:
    """Reads a whole number within these bounds."""

    def read(value: Any) -> int:
        if not _is_whole(value) or not least <= value <= most:
            raise SettingError(f"expected a whole number from {least} to {most}")
        return int(value)

    return read


def number(least: float = 0.0, most: float = float("inf")) -> Read:
    """Reads a number within these bounds."""
    expected = (
        f"expected a number from {least:g} to {most:g}"
        if most < float("inf")
        else f"expected a number of {least:g} or more"
    )

    def read(value: Any) -> float:
        if not _is_number(value) or not least <= value <= most:
            raise SettingError(expected)
        return float(value)

    return read


def flag(value: Any) -> bool:
    """True or false."""
    if not isinstance(value, bool):
        raise SettingError("expected true or false")
    return value


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)


def _is_number(value: Any) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _match(pattern: str, value: Any) -> re.Match[str] | None:
    return re.fullmatch(pattern, value) if isinstance(value, str) else None


def one_of(*names: str) -> Read:
    """Reads one of these names."""

    def read(value: Any) -> str:
        if value not in names:
            raise SettingError(f"expected one of {', '.join(names)}")
        return str(value)

    return read


def some_of(*names: str) -> Read:
    """Reads a list of some of these names."""

    def read(value: Any) -> tuple[str, ...]:
        if not isinstance(value, list) or not value or any(each not in names for each in value):
            raise SettingError(f"expected a list of some of {', '.join(names)}")
        return tuple(value)

    return read


def tiers(value: Any) -> tuple[tuple[str, ...], ...]:
    """Lists of zones, best first."""
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
    """An IP address and a port."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        raise SettingError(
            'expected an address and port such as "127.0.0.1:9200" or "[::1]:9200"'
        ) from None
    if not port.isdigit() or int(port) > MAX_PORT:
        raise SettingError("expected a port from 0 to 65535 after the address")
    return host.strip("[]"), int(port)


@dataclass(frozen=True, slots=True)
class Key:
    """A key of a block: how it is read, and its value where it is absent."""

    read: Read
    default: Any = REQUIRED


class Checker:
    """Reads blocks by their tables and collects what is wrong."""

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[Problem] = []

    def wrong(self, line: int, key: str, expected: str) -> None:
        """Note a problem."""
        self.problems.append(Problem(self.file, line, key, expected))

    def wrong_key(self, block: Block, where: str, key: str, expected: str) -> None:
        """Note a problem of a block's key, on its line, or on the block's where the key is absent.

        Args:
            block: The block.
            where: Goes before the key's name.
            key: The key's name.
            expected: What was expected.
        """
        line = block.values[key].line if key in block.values else block.line
        self.wrong(line, where + key, expected)

    def read(self, block: Block | None, table: dict[str, Key], where: str) -> dict[str, Any]:
        """The values of a block, None where one is wrong.

        Args:
            block: The block, None where the file has none.
            table: Its keys.
            where: Goes before a key's name in a problem.
        """
        values = block.values if block else {}
        got = {}
        for name in values.keys() - table.keys():
            near = f"unknown; known here: {', '.join(table)}"
            self.wrong(values[name].line, f"{where}{name}", near)
        for name, key in table.items():
            if name in values:
                got[name] = self._read_value(values[name], key, where + name)
            elif key.default is REQUIRED:
                self.wrong(block.line if block else 1, where + name, "missing")
                got[name] = None
            else:
                got[name] = key.default
        return got

    def _read_value(self, value: Value, key: Key, name: str) -> Any:
        try:
            return key.read(value.value)
        except SettingError as error:
            self.wrong(value.line, name, f"{error}, not {value.value!r}")
        except (TypeError, ValueError):
            self.wrong(value.line, name, f"not understood: {value.value!r}")
        return None
