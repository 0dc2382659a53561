"""Reading JSON from the wire within bounds."""

from __future__ import annotations

from typing import Any

import orjson

from stepknot.search.errors import ParsingError, RequestError


def too_deep(value: Any, most: int) -> bool:
    level = [value]
    for _ in range(most):
        level = [
            inner
            for each in level
            if isinstance(each, (dict, list))
            for inner in (each.values() if isinstance(each, dict) else each)
            if isinstance(inner, (dict, list))
        ]
        if not level:
            return False
    return True


def read_json(data: bytes, most_depth: int) -> Any:
    """None for an empty body. Raises RequestError."""
    if not data.strip():
        return None
    try:
        value = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise RequestError(f"malformed JSON: {error}", "json_parse_exception") from None
    if too_deep(value, most_depth):
        raise RequestError(f"JSON is nested over {most_depth} deep", "x_content_parse_exception")
    return value


def read_lines(data: bytes, most_depth: int, most_lines: int) -> list[Any]:
    """Newline-delimited JSON, as `_msearch` and `_bulk` take it."""
    if not data.endswith(b"\n"):
        raise RequestError("The request body must be terminated by a newline [\\n]")
    lines = data.split(b"\n")[:-1]
    if len(lines) > most_lines:
        raise RequestError(f"{len(lines)} lines, at most {most_lines} are taken")
    values = []
    for line in lines:
        value = read_json(line, most_depth)
        if value is not None and not isinstance(value, dict):
            raise ParsingError("each line must be an object")
        values.append(value)
    return values
