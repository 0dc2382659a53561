"""Writes as the boxes take them: lines of a `_bulk` body, checked before anything is sent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from stepknot.search.errors import ParsingError, RequestError, unsupported
from stepknot.search.merge import Target

MOST_ID = 512  # bytes, as the engines have it


@dataclass(frozen=True, slots=True)
class Write:
    """One document's change. `action`: index, create, update or delete; `body` is an update's whole body."""

    action: str
    target: Target
    identity: str
    routing: str = ""
    body: Any = None

    def lines(self) -> bytes:
        """Raises RequestError."""
        if not self.identity or len(self.identity.encode()) > MOST_ID:
            raise RequestError(f"an id must have 1 to {MOST_ID} bytes")
        if self.action == "update":
            check_update(self.body)
        elif self.action != "delete" and not isinstance(self.body, dict):
            raise ParsingError("request body is required")
        meta = {"_index": self.target.index, "_id": self.identity} | (
            {"routing": self.routing} if self.routing else {}
        )
        line = orjson.dumps({self.action: meta}) + b"\n"
        return line if self.action == "delete" else line + orjson.dumps(self.body) + b"\n"


def check_update(body: Any) -> None:
    if not isinstance(body, dict):
        raise ParsingError("request body is required")
    for key in body:
        if key not in ("doc", "doc_as_upsert", "upsert"):
            raise unsupported(key, "update")
    if not isinstance(body.get("doc"), dict):
        raise ParsingError("[update] needs [doc]")
