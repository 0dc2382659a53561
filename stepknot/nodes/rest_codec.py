"""Codec of the engines' public REST protocol over HTTP/1.1.

Several searches of one turn travel as one `_msearch`, each with `preference=_shards:N`. A write travels as a `_bulk`
request of its own. Its `X-Opaque-Id` names the part and is the same for each attempt, so that a node that keeps a
window of them executes no repeat.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Any

import orjson

from stepknot.interface import Outcome
from stepknot.nodes.codec import PartReply, PartRequest, SearchPart, WritePart
from stepknot.nodes.errors import MalformedReplyError
from stepknot.nodes.load_report import LOAD_HEADER, parse_load_report

# Plain integers, as a member of `HTTPStatus` costs more to look up for each part.
OK = 200
TOO_MANY_REQUESTS = 429
INTERNAL_SERVER_ERROR = 500
MAX_REASON_LENGTH = 200  # characters of a node's own reason
REJECTED = PartReply(Outcome.REJECTED, reason="box says it is full")


class RestCodec:
    """Encodes and decodes calls; `agent` identifies this broker to the nodes."""

    def __init__(self, agent: str = "stepknot") -> None:
        self.agent = agent

    def shares_call(self, part: PartRequest) -> bool:
        """Searches share a call, writes do not."""
        return isinstance(part, SearchPart)

    def encode(self, parts: Sequence[PartRequest], host: str, call_id: str) -> bytes:
        """The bytes of a `_bulk` request for one write, or of a `_msearch` request for searches."""
        first = parts[0]
        if isinstance(first, WritePart):
            path = "/_bulk?refresh=true" if first.refresh else "/_bulk"
            return self._encode_post(path, host, first.lines, first.token)
        lines = []
        for part in parts:
            assert isinstance(part, SearchPart)
            lines += [_search_header(part.index, part.shard, part.key), part.body]
        return self._encode_post("/_msearch", host, b"\n".join(lines) + b"\n", call_id)

    def encode_probe(self, host: str) -> bytes:
        """A HEAD request: its response has no body, but a load report."""
        return f"HEAD / HTTP/1.1\r\nhost: {host}\r\nuser-agent: {self.agent}\r\n\r\n".encode()

    def load(self, headers: dict[str, str]) -> dict[str, float]:
        """The load report of a response; empty where there is none or it is malformed."""
        return parse_load_report(headers.get(LOAD_HEADER, ""))

    def decode(
        self,
        parts: Sequence[PartRequest],
        status: int,
        headers: dict[str, str],  # noqa: ARG002 - of the interface
        body: bytes,
    ) -> list[PartReply]:
        """One reply for each part. A malformed response is an error of all parts of the call."""
        if status == TOO_MANY_REQUESTS:
            return [REJECTED] * len(parts)
        if status != OK:
            return [_error(f"box answered status {status}")] * len(parts)
        try:
            answer = orjson.loads(body)
            if isinstance(parts[0], WritePart):
                return [_decode_bulk(parts[0], answer)]
            return _decode_msearch(len(parts), answer)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return [_error(f"malformed reply: {error}")] * len(parts)

    def _encode_post(self, path: str, host: str, body: bytes, opaque_id: str) -> bytes:
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {host}\r\nuser-agent: {self.agent}\r\n"
            f"content-type: application/x-ndjson\r\nx-opaque-id: {opaque_id}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


def _decode_msearch(expected: int, answer: dict[str, Any]) -> list[PartReply]:
    responses = answer["responses"]
    if len(responses) != expected:
        raise MalformedReplyError(f"{len(responses)} responses to {expected} searches")
    return [_decode_search(each) for each in responses]


def _decode_search(response: dict[str, Any]) -> PartReply:
    status = response.get("status", OK)
    if status == TOO_MANY_REQUESTS:
        return REJECTED
    if status != OK or "error" in response:
        return _error(_reason_of(response))
    if (
        response["timed_out"]
        or response["_shards"]["failed"]
        or not response["_shards"]["successful"]
    ):
        return _error("box answered without the shard")
    return PartReply(Outcome.SERVED, response)


def _decode_bulk(part: WritePart, answer: dict[str, Any]) -> PartReply:
    items = answer["items"]
    if len(items) != part.items:
        raise MalformedReplyError(f"{len(items)} items to {part.items} writes")
    statuses = {next(iter(item.values()))["status"] for item in items}
    if statuses == {TOO_MANY_REQUESTS}:
        return REJECTED
    if any(_is_failure(status) for status in statuses):
        return _error("box failed some writes")
    return PartReply(Outcome.SERVED, answer)


def _is_failure(status: int) -> bool:
    """Whether the node did not execute a write; a conflict, such as 409, is an answer to it."""
    return status >= INTERNAL_SERVER_ERROR or status == TOO_MANY_REQUESTS


def _error(reason: str) -> PartReply:
    return PartReply(Outcome.ERROR, reason=reason)


@lru_cache(maxsize=10_000)
def _search_header(index: str, shard: int, key: str) -> bytes:
    """The line before a search's body in a `_msearch` request."""
    header = {"index": index, "preference": f"_shards:{shard}"}
    if key:
        header["routing"] = key
    return orjson.dumps(header)


def _reason_of(response: dict[str, Any]) -> str:
    error = response.get("error")
    text = error.get("reason", "") if isinstance(error, dict) else str(error)
    return str(text)[:MAX_REASON_LENGTH]
