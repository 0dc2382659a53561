"""A broker's settings, and how an HCL file becomes them.

A table for each block says which keys it has, how each is read and what it is when absent. What is unknown,
missing, twice or out of range is a `Problem` with its line; all of them are told at once.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

from stepknot import interface as api
from stepknot.admission.model import AdmissionSettings
from stepknot.config.admission import read_admission
from stepknot.config.errors import ConfigError
from stepknot.config.graphql import GraphReader, GraphSettings
from stepknot.config.hcl import Block, parse
from stepknot.config.leases import LeaseConfig, read_ownership
from stepknot.config.membership import Peers, read_peers
from stepknot.config.query_classes import read_classes
from stepknot.config.readers import (
    Checker,
    Key,
    address,
    count,
    duration,
    flag,
    number,
    one_of,
    size,
    text,
    tiers,
)
from stepknot.config.subsets import read_subset, surroundings
from stepknot.net.http import HttpLimits
from stepknot.zones.settings import FailoverSettings, ZoneSettings

if TYPE_CHECKING:
    from stepknot.subsets.model import SubsetSettings

FIELD_TYPES = (
    "text",
    "keyword",
    "long",
    "integer",
    "short",
    "byte",
    "double",
    "float",
    "date",
    "boolean",
)
# Blocks without a name.
SINGLE = (
    "fleet",
    "zones",
    "rules",
    "limits",
    "boxes",
    "http",
    "request",
    "graphql",
    "admission",
    "peers",
    "ownership",
    "subset",
)
TOP = {
    "name": Key(text, "stepknot"),
    "zone": Key(text, ""),
    "listen": Key(address, ("127.0.0.1", 9200)),
    "admin": Key(address, None),
    "seed": Key(count(0, 2**63), 0),
    "instances": Key(count()),
    "tick": Key(duration, 0.01),
}
FLEET = {
    "cells": Key(count()),
    "reach": Key(count(), 1),
    "parts_per_call": Key(count(), 16),
    "list": Key(text),
    "list_every": Key(duration, 0.2),
}
RULES = {
    "drain_grace": Key(duration, 2.0),
    "cold_share": Key(number(0.001, 1.0), 0.15),
    "cold_time": Key(duration, 18.0),
    "fall_multiple": Key(number(1.0), 4.0),
    "fall_time": Key(duration, 1.0),
    "extra_window": Key(duration, 0.0),
    "extra_floor": Key(number(), 0.0),
    "extra_share": Key(number(), 0.0),
}
LIMITS = {
    "max_attempts": Key(count(1, 100), 3),
    "cancelling": Key(flag, True),
    "probing": Key(flag, True),
    "second_copies": Key(flag, True),
    "retry_after": Key(flag, True),
    "max_retry_after": Key(duration, 3.0),
    "idle_connection": Key(duration, 30.0),
}
BOXES = {
    "connections": Key(count(), 64),
    "connect_timeout": Key(duration, 1.0),
    "reply": Key(size, 64 * 1024**2),
}
HTTP = {
    "header": Key(size, 16 * 1024),
    "url": Key(size, 4096),
    "body": Key(size, 32 * 1024**2),
    "first_byte": Key(duration, 15.0),
    "body_time": Key(duration, 30.0),
    "idle": Key(duration, 75.0),
    "write": Key(duration, 20.0),
}
REQUEST = {
    "depth": Key(count(2, 200), 32),
    "window": Key(count(), 10_000),
    "buckets": Key(count(), 65_535),
    "held": Key(count(), 4096),
    "bulk": Key(count(), 10_000),
    "searches": Key(count(), 200),
}
INDEX = {"shards": Key(count(1, 1024)), "routing_shards": Key(count(1, 65536), 0)}
ZONES = {
    "enabled": Key(flag, True),
    "tiers": Key(tiers, ()),
    "spill": Key(number(1.0, 10.0), 0.0),
    "near": Key(duration, 0.0),
    "step": Key(duration, 0.0),
    "first": Key(number(0.01, 1.0), 0.0),
    "growth": Key(number(1.05, 4.0), 1.5),
    "history": Key(duration, 20.0),
    "most_steps": Key(number(1.0, 64.0), 8.0),
    "calm": Key(duration, 60.0),
    "trial": Key(duration, 0.25),
    "longest_trial": Key(duration, 4.0),
    "prefer_near": Key(flag, True),
}
TENANT = {"share": Key(number(0, 1))}
FIELD = {"type": Key(one_of(*FIELD_TYPES))}


@dataclass(frozen=True, slots=True)
class Index:
    """An index and where its shards begin among the fleet's: its shard n is the fleet's `first` + n."""

    name: str
    shards: int
    routing_shards: int
    first: int
    fields: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Config:
    """A broker's settings, all times in seconds, sizes in bytes."""

    name: str
    zone: str
    listen: tuple[str, int]
    seed: int
    list_file: Path
    list_every: float
    settings: api.Settings
    operations: dict[str, str]  # operation: class
    indices: dict[str, Index]
    connections: int
    connect_timeout: float
    reply: int
    http: HttpLimits
    depth: int
    window: int
    buckets: int
    held: int
    bulk: int
    searches: int
    admin: tuple[str, int] | None = None  # where operators' commands reach the broker
    # Its bounds are derived once the list says how many zones there are.
    zones: ZoneSettings | None = None
    # The share of the traffic that each tenant was promised.
    tenants: dict[str, float] = field(default_factory=dict)
    admission: AdmissionSettings | None = None  # none: every connection is taken
    peers: Peers | None = None  # none: this broker knows of no other
    owners: LeaseConfig | None = None  # none: no job of the fleet is taken here, and no ledger read
    graphql: GraphSettings | None = None  # the second front; none: it is not served
    subset: SubsetSettings | None = None  # none: all nodes of the list are used


def load(path: Path) -> Config:
    """The settings of a file.

    Raises:
        ConfigError: All that is wrong with them.
        OSError: The file cannot be read.
    """
    return build(parse(path.read_text(), str(path)), str(path), path.parent)


def build(top: Block, file: str, folder: Path) -> Config:
    """The settings of a parsed file; paths in it are relative to `folder`. Raises `ConfigError`."""
    checker = Checker(file)
    single, named = _sort_blocks(checker, top)
    plain = checker.read(top, TOP, "")
    fleet = checker.read(single.get("fleet"), FLEET, "fleet.")
    rules = checker.read(single.get("rules"), RULES, "rules.")
    limits = checker.read(single.get("limits"), LIMITS, "limits.")
    boxes = checker.read(single.get("boxes"), BOXES, "boxes.")
    http = checker.read(single.get("http"), HTTP, "http.")
    request = checker.read(single.get("request"), REQUEST, "request.")
    zones = checker.read(single.get("zones"), ZONES, "zones.")
    classes, operations = read_classes(checker, named["class"])
    indices = read_indices(checker, named["index"])
    tenants = {
        block.labels[0]: checker.read(block, TENANT, f"tenant.{block.labels[0]}.")["share"]
        for block in named["tenant"]
    }
    if sum(share or 0.0 for share in tenants.values()) > 1 + 1e-9:
        checker.wrong(
            named["tenant"][-1].line, "tenant", "expected shares that add up to 1 at the most"
        )
    graphql = (
        GraphReader(checker, indices).read(single["graphql"], folder)
        if "graphql" in single
        else None
    )
    admission = read_admission(checker, single.get("admission"), request["held"] or 1, folder)
    peers = read_peers(checker, single.get("peers"), plain["listen"], plain["instances"])
    owners = read_ownership(checker, single.get("ownership"), peers, folder)
    subset = read_subset(
        checker,
        single.get("subset"),
        surroundings(plain["zone"], zones, limits, single.get("peers")),
    )
    if checker.problems:
        raise ConfigError(sorted(checker.problems, key=lambda each: each.line))
    settings = api.Settings(
        instances=plain["instances"],
        cells=fleet["cells"],
        reach=fleet["reach"],
        parts_per_call=fleet["parts_per_call"],
        classes=classes,
        rules=api.Rules(**rules),
        limits=api.Limits(**limits),
        tick=plain["tick"],
    )
    return Config(
        name=plain["name"],
        zone=plain["zone"],
        listen=plain["listen"],
        seed=plain["seed"],
        list_file=folder / fleet["list"],
        list_every=fleet["list_every"],
        settings=settings,
        operations=operations,
        indices=indices,
        connections=boxes["connections"],
        connect_timeout=boxes["connect_timeout"],
        reply=boxes["reply"],
        http=HttpLimits(**http),
        tenants=tenants,
        admin=plain["admin"],
        zones=zone_settings(plain["zone"], zones),
        graphql=graphql,
        admission=admission,
        peers=peers,
        owners=owners,
        subset=subset,
        **request,
    )


def _sort_blocks(checker: Checker, top: Block) -> tuple[dict[str, Block], dict[str, list[Block]]]:
    """Blocks without a name by their kind, and those that have one in their order."""
    single: dict[str, Block] = {}
    named: dict[str, list[Block]] = {"class": [], "index": [], "tenant": []}
    for block in top.blocks:
        if block.kind in named and len(block.labels) == 1:
            named[block.kind].append(block)
        elif block.kind in SINGLE and not block.labels:
            if block.kind in single:
                checker.wrong(block.line, block.kind, "given twice")
            single[block.kind] = block
        else:
            known = f'{", ".join(SINGLE)}, class "NAME", index "NAME", tenant "NAME"'
            checker.wrong(
                block.line, " ".join([block.kind, *block.labels]), f"unknown block; known: {known}"
            )
    return single, named


def zone_settings(own: str, got: dict[str, Any]) -> ZoneSettings | None:
    """None where they are switched off."""
    if not got.pop("enabled"):
        return None
    tiers_, prefer = got.pop("tiers"), got.pop("prefer_near")
    return ZoneSettings(own, tiers_, FailoverSettings(**got), prefer)


def read_indices(checker: Checker, blocks: list[Block]) -> dict[str, Index]:
    """The `index` blocks by name, one after the other in the fleet's shards."""
    indices: dict[str, Index] = {}
    first = 0
    for block in blocks:
        name, where = block.labels[0], f"index.{block.labels[0]}."
        got = checker.read(block, INDEX, where)
        if name in indices:
            checker.wrong(block.line, f"index.{name}", "given twice")
        if not re.fullmatch(r"[a-z0-9][a-z0-9_.-]{0,254}", name):
            checker.wrong(
                block.line,
                f"index.{name}",
                "expected a name in lower case, as the engines have them",
            )
        fields = {}
        for inner in block.blocks:
            if inner.kind != "field" or len(inner.labels) != 1:
                checker.wrong(
                    inner.line, where + inner.kind, 'unknown block; known here: field "NAME"'
                )
                continue
            fields[inner.labels[0]] = checker.read(inner, FIELD, f"{where}{inner.labels[0]}.")[
                "type"
            ]
        shards = got["shards"] or 1
        indices[name] = Index(
            name, shards, got["routing_shards"] or default_routing_shards(shards), first, fields
        )
        first += shards
    if not indices:
        checker.wrong(1, "index", 'missing: at least one index "NAME" { shards = N }')
    return indices


def default_routing_shards(shards: int) -> int:
    """As the engines choose it: room for splits by two up to 1024 shards, one split at the least."""
    splits = max(1, 10 - (shards - 1).bit_length())
    return shards << splits
