"""What the platform tells a broker: `LB_CONFIG` names a JSON file, read at the start and again at SIGHUP."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from stepknot import interface as api
from stepknot.benchlink import EFFECTS, parse_settings, seconds


class Unreadable(Exception):
    """What is wrong, and where."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    memory: int  # bytes
    sockets: int
    known: Any  # the list as last had, in discovery's form, if it can be read
    settings: api.Settings
    pushed: bool  # what discovery has counts as told from the first moment on
    shards: int
    streams: int  # parts that a connection to a node carries at once
    connect_timeout: float
    most_open: int  # queries and parts held


def address(text: Any, where: str) -> tuple[str, int]:
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise Unreadable(f"{where}: expected HOST:PORT, not {text!r}")
    return host.strip("[]"), int(port)


def read_config(data: bytes, where: str) -> Config:
    try:
        given = orjson.loads(data)
    except ValueError as error:
        raise Unreadable(f"{where}: not JSON: {error}") from None
    try:
        settings, limits = given["settings"], given["limits"]
        allowed = settings["allowed"]
        check(settings, limits, where)
        return Config(
            name=str(given["name"]),
            listen=address(given["listen"], f"{where}: listen"),
            discovery=address(given["discovery"], f"{where}: discovery"),
            seed=int(str(given["seed"]), 16),
            memory=int(limits["memory_mb"]) * 1024 * 1024,
            sockets=int(limits["sockets"]),
            known=given.get("known"),
            # Pushed lists come on a watch, too: whoever does not open it is told nothing and held to all.
            settings=replace(parse_settings(settings), must_ask=True),
            pushed=settings["discovery"] == "push",
            shards=int(settings["family-info"]["ranges"]),
            streams=max(int(allowed["streams-per-conn"]), 1),
            connect_timeout=seconds(allowed["connect-timeout-ns"]),
            most_open=int(allowed["open-cap"]),
        )
    except KeyError as error:
        raise Unreadable(f"{where}: {error.args[0]!r} is missing") from None
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise Unreadable(f"{where}: a value is of the wrong kind: {error}") from None


# What settings must hold for their figures to mean anything: path, least value.
LEAST: tuple[tuple[str, float], ...] = (
    ("settings.balancers", 1),
    ("settings.family-info.cells", 1),
    ("settings.family-info.ranges", 1),
    ("settings.family-info.span", 1),
    ("settings.family-info.parts-a-call", 1),
    ("settings.allowed.max-attempts", 1),
    ("settings.allowed.open-cap", 1),
    ("settings.allowed.connect-timeout-ns", 1),
    ("settings.rules.cold-ns", 0),
    ("settings.rules.fall-ns", 1),
    ("settings.rules.tip-multiple", 0),
    ("settings.rules.drain-grace-ns", 0),
    ("limits.memory_mb", 1),
    ("limits.sockets", 32),
)


def check(settings: Any, limits: Any, where: str) -> None:
    """Raises Unreadable with the first place that is wrong, and what is expected there."""
    for path, least in LEAST:
        value: Any = {"settings": settings, "limits": limits}
        for name in path.split("."):
            value = value[name]
        if type(value) not in (int, float) or not least <= value < math.inf:
            raise Unreadable(f"{where}: {path}: expected {least} or more, not {value!r}")
    family, names = settings["family-info"], set()
    for number, lane in enumerate(settings["lanes"]):
        place = f"{where}: settings.lanes[{number}]"
        if lane["name"] in names:
            raise Unreadable(f"{place}.name: {lane['name']!r} is there twice")
        names.add(lane["name"])
        if lane["idempotency"] not in EFFECTS:
            raise Unreadable(
                f"{place}.idempotency: expected one of {', '.join(EFFECTS)}, not {lane['idempotency']!r}"
            )
        for key in ("slo-ns", "deadline-ns"):
            if type(lane[key]) not in (int, float) or not 0 < lane[key] < math.inf:
                raise Unreadable(f"{place}.{key}: expected a time over 0, not {lane[key]!r}")
        for key in ("class-floor", "class-need", "class-fetch", "partial-earns"):
            if len(family[key]) < len(settings["lanes"]):
                raise Unreadable(
                    f"{where}: settings.family-info.{key}: expected one for each of the lanes"
                )


def load(environment: Mapping[str, str]) -> Config:
    path = environment.get("LB_CONFIG", "")
    if not path:
        raise Unreadable(
            "LB_CONFIG: expected the path of a JSON file in this variable of the environment"
        )
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise Unreadable(f"LB_CONFIG: {path}: {error.strerror}") from None
    return read_config(data, path)
