"""What is said to a box and what it says back: the engines' public REST protocol.

Several searches of one turn travel as one `_msearch`, each with `preference=_shards:N`; a write travels as a
`_bulk` of its own whose `X-Opaque-Id` names the part, the same for each attempt, so that a box that keeps a
window of them drops repeats. A box's load comes with every response as an ORCA header
(`endpoint-load-metrics: TEXT name=value, ...`). `Codec` is the interface; a binary one may take its place.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple, Protocol

import orjson

from stepknot.interface import Outcome

LOAD_HEADER = "endpoint-load-metrics"
NAMED = "named_metrics."
LOAD_NAMES = {
    "queue": "queue",
    "inflight": "inflight",
    "latency_ms": "latency_ms",
    "qps": "qps",
    "cpu_utilization": "util",
    "rps": "qps",
}
MOST_LOAD_HEADER = 1024


@dataclass(slots=True)
class SearchPart:
    """One shard's search; the body is encoded once for all shards of a query."""

    index: str
    shard: int
    body: bytes
    key: str = ""  # what a box's caches go by


@dataclass(frozen=True, slots=True)
class WritePart:
    index: str
    shard: int
    lines: bytes  # of a _bulk body
    items: int
    token: str  # the same for each attempt
    refresh: bool = False


PartRequest = SearchPart | WritePart


class PartReply(NamedTuple):
    """How one part of a call ended, and what came where it was served."""

    outcome: Outcome
    payload: Any = None
    reason: str = ""


class Codec(Protocol):
    def shares_call(self, part: PartRequest) -> bool:
        """Whether the part may travel with others."""

    def encode(self, parts: Sequence[PartRequest], host: str, call_id: str) -> bytes:
        """One call's bytes."""

    def encode_probe(self, host: str) -> bytes:
        """A question for the load alone."""

    def decode(
        self, parts: Sequence[PartRequest], status: int, headers: dict[str, str], body: bytes
    ) -> list[PartReply]:
        """One reply for each part, whatever came."""

    def load(self, headers: dict[str, str]) -> dict[str, float]:
        """The load report of a response; nothing where there is none or it is malformed."""


class RestCodec:
    """The public search protocol over HTTP/1.1. `agent` tells the boxes who asks."""

    def __init__(self, agent: str = "stepknot") -> None:
        self.agent = agent

    def shares_call(self, part: PartRequest) -> bool:
        return isinstance(part, SearchPart)

    def encode(self, parts: Sequence[PartRequest], host: str, call_id: str) -> bytes:
        first = parts[0]
        if isinstance(first, WritePart):
            path = "/_bulk?refresh=true" if first.refresh else "/_bulk"
            return self.post(path, host, first.lines, first.token)
        lines = []
        for part in parts:
            assert isinstance(part, SearchPart)
            lines += [header_line(part.index, part.shard, part.key), part.body]
        return self.post("/_msearch", host, b"\n".join(lines) + b"\n", call_id)

    def encode_probe(self, host: str) -> bytes:
        return f"HEAD / HTTP/1.1\r\nhost: {host}\r\nuser-agent: {self.agent}\r\n\r\n".encode()

    def post(self, path: str, host: str, body: bytes, opaque: str) -> bytes:
        head = (
            f"POST {path} HTTP/1.1\r\nhost: {host}\r\nuser-agent: {self.agent}\r\n"
            f"content-type: application/x-ndjson\r\nx-opaque-id: {opaque}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    def load(self, headers: dict[str, str]) -> dict[str, float]:
        text = headers.get(LOAD_HEADER, "")
        if not text.startswith("TEXT ") or len(text) > MOST_LOAD_HEADER:
            return {}
        load = {}
        for item in text[5:].split(","):
            name, _, value = item.strip().partition("=")
            known = LOAD_NAMES.get(name.removeprefix(NAMED))
            try:
                if known:
                    load[known] = float(value)
            except ValueError:
                continue
        return load

    def decode(
        self, parts: Sequence[PartRequest], status: int, headers: dict[str, str], body: bytes
    ) -> list[PartReply]:
        if status == 429:
            return [PartReply(Outcome.REJECTED, reason="box says it is full")] * len(parts)
        if status != 200:
            return [PartReply(Outcome.ERROR, reason=f"box answered status {status}")] * len(parts)
        try:
            answer = orjson.loads(body)
            if isinstance(parts[0], WritePart):
                return [self.decode_bulk(parts[0], answer)]
            responses = answer["responses"]
            if len(responses) != len(parts):
                raise ValueError(f"{len(responses)} responses to {len(parts)} searches")
            return [self.decode_search(each) for each in responses]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return [PartReply(Outcome.ERROR, reason=f"malformed reply: {error}")] * len(parts)

    def decode_search(self, response: dict[str, Any]) -> PartReply:
        status = response.get("status", 200)
        if status == 429:
            return PartReply(Outcome.REJECTED, reason="box says it is full")
        if status != 200 or "error" in response:
            return PartReply(Outcome.ERROR, reason=reason_of(response))
        if (
            response["timed_out"]
            or response["_shards"]["failed"]
            or not response["_shards"]["successful"]
        ):
            return PartReply(Outcome.ERROR, reason="box answered without the shard")
        return PartReply(Outcome.SERVED, response)

    def decode_bulk(self, part: WritePart, answer: dict[str, Any]) -> PartReply:
        items = answer["items"]
        if len(items) != part.items:
            raise ValueError(f"{len(items)} items to {part.items} writes")
        statuses = {next(iter(item.values()))["status"] for item in items}
        if statuses == {429}:
            return PartReply(Outcome.REJECTED, reason="box says it is full")
        if any(status >= 500 or status == 429 for status in statuses):
            return PartReply(Outcome.ERROR, reason="box failed some writes")
        return PartReply(Outcome.SERVED, answer)


@lru_cache(maxsize=10_000)
def header_line(index: str, shard: int, key: str) -> bytes:
    header = {"index": index, "preference": f"_shards:{shard}"}
    return orjson.dumps(header | {"routing": key} if key else header)


def reason_of(response: dict[str, Any]) -> str:
    error = response.get("error")
    text = error.get("reason", "") if isinstance(error, dict) else str(error)
    return str(text)[:200]
