"""Reads the `admission` block of the settings."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from stepknot.admission.addresses import parse_network
from stepknot.admission.model import AdmissionSettings
from stepknot.config.errors import SettingError
from stepknot.config.hcl import Block
from stepknot.config.readers import Checker, Key, count, duration, flag, number, size, text

DEFAULT = AdmissionSettings()


def read_networks(value: Any) -> tuple[str, ...]:
    """A list of networks.

    Raises:
        SettingError: It is no list, or an entry is no network.
    """
    if not isinstance(value, list):
        raise SettingError('expected a list of networks, such as ["10.0.0.0/8", "fd00::/8"]')
    for network in value:
        try:
            parse_network(str(network))
        except ValueError as error:
            raise SettingError(f"expected networks such as 10.0.0.0/8: {error}") from None
    return tuple(map(str, value))


def read_key_hash(value: Any) -> str:
    """The SHA-256 of an API key.

    Raises:
        SettingError: It is not 64 hexadecimal digits in lower case.
    """
    if not isinstance(value, str) or not re.fullmatch(r"[0-9a-f]{64}", value):
        raise SettingError(
            "expected the SHA-256 of the key, 64 hexadecimal digits in lower case; never the key itself"
        )
    return value


ADMISSION = {
    "enabled": Key(flag, True),
    "connections": Key(count(0), 0),
    "reserve": Key(number(0, 0.9), DEFAULT.reserve),
    "per_address": Key(count(), DEFAULT.per_address),
    "per_v4_24": Key(count(), DEFAULT.per_v4_24),
    "per_v6_64": Key(count(), DEFAULT.per_v6_64),
    "per_v6_56": Key(count(), DEFAULT.per_v6_56),
    "known_factor": Key(number(1, 1000), DEFAULT.known_factor),
    "rate": Key(number(0.1), DEFAULT.rate),
    "queries": Key(count(), DEFAULT.queries),
    "tenant_queries": Key(count(0), 0),
    "bytes": Key(size, DEFAULT.bytes),
    "lane": Key(count(4), DEFAULT.lane),
    "lane_time": Key(duration, DEFAULT.lane_time),
    "progress": Key(number(), DEFAULT.progress),
    "grace": Key(duration, DEFAULT.grace),
    "idle_least": Key(duration, DEFAULT.idle_least),
    "conduct": Key(number(0), DEFAULT.conduct),
    "conduct_kept": Key(count(), DEFAULT.conduct_kept),
    "tracked": Key(count(16), DEFAULT.tracked),
    "memory": Key(duration, DEFAULT.memory),
    "listed": Key(read_networks, ()),
    "trusted": Key(read_networks, ()),
    "proxy_protocol": Key(flag, False),
    "state": Key(text, ""),
}
API_KEY = {"sha256": Key(read_key_hash)}


def read_admission(
    checker: Checker, block: Block | None, held: int, folder: Path
) -> AdmissionSettings | None:
    """The settings; None where there is no such block, or it is switched off.

    Args:
        checker: Collects the problems.
        block: The `admission` block, if there is one.
        held: Queries in flight in all, of `request.held`.
        folder: Relative paths start there.
    """
    values = checker.read(block, ADMISSION, "admission.")
    keys: dict[str, str] = {}
    for inner in block.blocks if block is not None else ():
        if inner.kind != "key" or len(inner.labels) != 1:
            checker.wrong(
                inner.line, f"admission.{inner.kind}", 'unknown block; known here: key "NAME"'
            )
            continue
        name = inner.labels[0]
        key_hash = checker.read(inner, API_KEY, f"admission.key.{name}.")["sha256"]
        if key_hash in keys or name in keys.values():
            checker.wrong(inner.line, f"admission.key.{name}", "given twice")
        keys[key_hash] = name
    if checker.problems or block is None or not values.pop("enabled"):
        return None
    if values["proxy_protocol"] and not values["trusted"]:
        checker.wrong(block.line, "admission.trusted", "missing: whose PROXY headers are taken")
    state = str(folder / values.pop("state")) if values["state"] else values.pop("state")
    return AdmissionSettings(held=held, keys=keys, state=state, **values)
