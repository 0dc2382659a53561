"""The file of persisted GraphQL operations."""

from __future__ import annotations

import hashlib
from pathlib import Path

import orjson

from stepknot.config.hcl import Block
from stepknot.config.readers import Checker

KEY = "graphql.persisted_file"


def read_persisted(checker: Checker, block: Block, name: str, folder: Path) -> dict[str, str]:
    """Operations by their SHA-256 in hexadecimal, from a JSON file; none where `name` is empty or the file is wrong."""
    if not name:
        return {}
    line = block.values["persisted_file"].line
    try:
        found = orjson.loads((folder / name).read_bytes())
    except (OSError, ValueError) as error:
        checker.wrong(line, KEY, f"not read: {error}")
        return {}
    if not isinstance(found, dict) or not all(isinstance(each, str) for each in found.values()):
        checker.wrong(line, KEY, "expected an object of SHA-256 to operation")
        return {}
    for key, operation in found.items():
        if hashlib.sha256(operation.encode()).hexdigest() != key:
            checker.wrong(line, KEY, f"{key[:64]} is not the SHA-256 of its operation")
    return found
