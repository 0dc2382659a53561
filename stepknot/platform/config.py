"""What the platform configures a broker with: `LB_CONFIG` names a JSON file, read at the start and at SIGHUP."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from stepknot import interface as api
from stepknot.benchlink import EFFECTS, parse_settings, seconds
from stepknot.platform.errors import ConfigurationError, MalformedInputError

VARIABLE = "LB_CONFIG"  # of the environment: the path of the file
MAX_PORT = 65535
BYTES_PER_MEGABYTE = 1024 * 1024


class Address(NamedTuple):
    """A TCP address."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """One broker's configuration.

    Attributes:
        name: of the broker, unique in its fleet.
        listen_address: where clients connect.
        discovery_address: where the endpoint list is served.
        seed: of the broker's source of random numbers.
        memory_bytes: the process's limit.
        max_descriptors: the process's limit of open files.
        cached_list: the endpoint list last known to the platform, in discovery's form; not validated.
        settings: the decision module's.
        is_list_pushed: changes count as known as soon as discovery has them.
        shard_count: shards have numbers from 0 below this.
        max_parts_per_connection: parts in flight on one connection to a node.
        connect_timeout: seconds for a connection to a node to come up, or to answer a probe.
        max_open: queries and parts in flight.
    """

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    memory_bytes: int
    max_descriptors: int
    cached_list: Any
    settings: api.Settings
    is_list_pushed: bool
    shard_count: int
    max_parts_per_connection: int
    connect_timeout: float
    max_open: int


class Minimum(NamedTuple):
    """The least value of one setting, by its path in the file."""

    path: str
    value: float


# What must hold for the figures of the settings to mean anything.
MINIMUMS = (
    Minimum("settings.balancers", 1),
    Minimum("settings.family-info.cells", 1),
    Minimum("settings.family-info.ranges", 1),
    Minimum("settings.family-info.span", 1),
    Minimum("settings.family-info.parts-a-call", 1),
    Minimum("settings.allowed.max-attempts", 1),
    Minimum("settings.allowed.open-cap", 1),
    Minimum("settings.allowed.connect-timeout-ns", 1),
    Minimum("settings.rules.cold-ns", 0),
    Minimum("settings.rules.fall-ns", 1),
    Minimum("settings.rules.tip-multiple", 0),
    Minimum("settings.rules.drain-grace-ns", 0),
    Minimum("limits.memory_mb", 1),
    Minimum("limits.sockets", 32),
)
CLASS_TIMES = ("slo-ns", "deadline-ns")
VALUES_BY_CLASS = ("class-floor", "class-need", "class-fetch", "partial-earns")


def load_config(environment: Mapping[str, str]) -> Config:
    """Read the file that the environment names.

    Raises:
        MalformedInputError: the variable is missing, the file cannot be read or is malformed.
    """
    path = environment.get(VARIABLE, "")
    if not path:
        raise ConfigurationError(
            f"{VARIABLE}: expected the path of a JSON file in this variable of the environment"
        )
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{VARIABLE}: {path}: {error.strerror}") from error
    return parse_config(data, path)


def parse_config(data: bytes, source: str) -> Config:
    """Decode the file's content.

    Args:
        data: JSON.
        source: the file's name, for messages.

    Raises:
        MalformedInputError: something is missing or wrong; the message names its place.
    """
    try:
        given = orjson.loads(data)
    except ValueError as error:
        raise ConfigurationError(f"{source}: not JSON: {error}") from error
    try:
        settings, limits = given["settings"], given["limits"]
        allowed = settings["allowed"]
        _check_minimums({"settings": settings, "limits": limits}, source)
        _check_classes(settings, source)
        return Config(
            name=str(given["name"]),
            listen_address=parse_address(given["listen"], f"{source}: listen"),
            discovery_address=parse_address(given["discovery"], f"{source}: discovery"),
            seed=int(str(given["seed"]), 16),
            memory_bytes=int(limits["memory_mb"]) * BYTES_PER_MEGABYTE,
            max_descriptors=int(limits["sockets"]),
            cached_list=given.get("known"),
            # Pushed lists come on a watch, too: a broker that does not open it receives nothing and is
            # still expected to know all.
            settings=replace(parse_settings(settings), must_ask=True),
            is_list_pushed=settings["discovery"] == "push",
            shard_count=int(settings["family-info"]["ranges"]),
            max_parts_per_connection=max(int(allowed["streams-per-conn"]), 1),
            connect_timeout=seconds(allowed["connect-timeout-ns"]),
            max_open=int(allowed["open-cap"]),
        )
    except KeyError as error:
        raise ConfigurationError(f"{source}: {error.args[0]!r} is missing") from error
    except (ValueError, TypeError, AttributeError, IndexError) as error:
        raise ConfigurationError(f"{source}: a value is of the wrong kind: {error}") from error


def parse_address(text: Any, place: str) -> Address:
    """Decode HOST:PORT; an IPv6 host may be in brackets.

    Raises:
        MalformedInputError: it is something else; the message begins with `place`.
    """
    host, _, port = str(text).rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise MalformedInputError(f"{place}: expected HOST:PORT, not {text!r}")
    return Address(host.strip("[]"), int(port))


def _check_minimums(given: dict[str, Any], source: str) -> None:
    for path, minimum in MINIMUMS:
        value: Any = given
        for name in path.split("."):
            value = value[name]
        if type(value) not in (int, float) or not minimum <= value < math.inf:
            raise ConfigurationError(f"{source}: {path}: expected {minimum} or more, not {value!r}")


def _check_classes(settings: Any, source: str) -> None:
    """Check the classes of queries; the file calls them lanes."""
    family = settings["family-info"]
    names = set()
    for number, query_class in enumerate(settings["lanes"]):
        place = f"{source}: settings.lanes[{number}]"
        name = query_class["name"]
        if name in names:
            raise ConfigurationError(f"{place}.name: {name!r} is there twice")
        names.add(name)
        _check_class(query_class, place)
        for key in VALUES_BY_CLASS:
            if len(family[key]) < len(settings["lanes"]):
                raise ConfigurationError(
                    f"{source}: settings.family-info.{key}: expected one for each of the lanes"
                )


def _check_class(query_class: Any, place: str) -> None:
    effect = query_class["idempotency"]
    if effect not in EFFECTS:
        raise ConfigurationError(
            f"{place}.idempotency: expected one of {', '.join(EFFECTS)}, not {effect!r}"
        )
    for key in CLASS_TIMES:
        value = query_class[key]
        if type(value) not in (int, float) or not 0 < value < math.inf:
            raise ConfigurationError(f"{place}.{key}: expected a time over 0, not {value!r}")
