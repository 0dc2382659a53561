"""Reads and checks the definitions of indices that clients create; it does no I/O."""

from __future__ import annotations

from typing import Any

import mmh3

from stepknot.config.settings import FIELD_TYPES, Index, default_routing_shards
from stepknot.search.errors import ParsingError, RequestError, unsupported

MAX_FIELDS = 1000
MAX_SHARDS = 1024


def make_index(name: str, definition: Any, cells: int) -> Index:
    """The index of this name with this definition, in the form in which nodes keep it.

    The number of its first shard among the fleet's shards follows from a hash of the name.

    Raises:
        KeyError, TypeError, ValueError: The definition does not have the form that `check_definition` returns.
    """
    shards = int(definition["settings"]["index"]["number_of_shards"])
    fields = {
        field: str(each["type"])
        for field, each in definition["mappings"].get("properties", {}).items()
    }
    return Index(
        name, shards, default_routing_shards(shards), mmh3.hash(name, signed=False) % cells, fields
    )


def check_definition(body: Any) -> dict[str, Any]:
    """Check the body of a create request; returns the definition in the form that is sent to nodes.

    Raises:
        RequestError: The body is malformed (`ParsingError`), or has something that is not supported.
    """
    if body is None:
        body = {}
    if not isinstance(body, dict):
        raise ParsingError("the request body must be an object")
    for key in body:
        if key not in ("settings", "mappings"):
            raise unsupported(key, "create index")
    settings: Any = body.get("settings") or {}
    if not isinstance(settings, dict):
        raise ParsingError("[settings] must be an object")
    settings = settings.get("index", settings)
    if not isinstance(settings, dict):
        raise ParsingError("[settings] must be an object")
    for key in settings:
        if key.removeprefix("index.") not in ("number_of_shards", "number_of_replicas"):
            raise unsupported(key, "create index.settings")
    given: Any = settings.get("number_of_shards", settings.get("index.number_of_shards", 1))
    if not str(given).isdigit() or not 1 <= int(given) <= MAX_SHARDS:
        raise RequestError(
            f"Failed to parse value [{given}] for setting [index.number_of_shards] must be 1 to "
            f"{MAX_SHARDS}"
        )
    fields = check_fields(body.get("mappings") or {})
    return {
        "settings": {"index": {"number_of_shards": str(given)}},
        "mappings": {"properties": {name: {"type": kind} for name, kind in fields.items()}},
    }


def check_fields(mappings: Any) -> dict[str, str]:
    """The types of fields by name, from the mappings of a create or mapping request.

    Raises:
        RequestError: The mappings are malformed (`ParsingError`), or have something that is not supported.
    """
    if not isinstance(mappings, dict):
        raise ParsingError("[mappings] must be an object")
    for key in mappings:
        if key != "properties":
            raise unsupported(key, "mappings")
    properties = mappings.get("properties", {})
    if not isinstance(properties, dict) or len(properties) > MAX_FIELDS:
        raise ParsingError(
            f"[mappings.properties] must be an object of {MAX_FIELDS} fields at the most"
        )
    fields = {}
    for name, each in properties.items():
        kind = each.get("type") if isinstance(each, dict) else None
        if kind not in FIELD_TYPES:
            raise RequestError(
                f"No handler for type [{kind}] declared on field [{name}]",
                "mapper_parsing_exception",
            )
        if len(each) > 1:
            raise unsupported(
                next(key for key in each if key != "type"), f"mappings.properties.{name}"
            )
        fields[name] = kind
    return fields
