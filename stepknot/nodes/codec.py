"""Parts that are sent to a node, their replies, and the interface of a codec between these and bytes.

`rest_codec.RestCodec` is the codec of the public REST protocol; one of a binary protocol may take its place.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple, Protocol

from stepknot.interface import Outcome


@dataclass(slots=True)
class SearchPart:
    """The search of one shard. The body is encoded once for all shards of a query.

    Attributes:
        key: Routing value; a node's caches are selected by it. Empty: none.
    """

    index: str
    shard: int
    body: bytes
    key: str = ""


@dataclass(frozen=True, slots=True)
class WritePart:
    """The writes of one shard.

    Attributes:
        lines: The body of a `_bulk` request.
        items: Number of writes in it.
        token: Idempotency key, the same for each attempt of the part.
        refresh: Whether the writes are visible to searches once they are answered.
    """

    index: str
    shard: int
    lines: bytes
    items: int
    token: str
    refresh: bool = False


PartRequest = SearchPart | WritePart


class PartReply(NamedTuple):
    """How one part of a call ended: its outcome, the payload where it was served, the reason where it was not."""

    outcome: Outcome
    payload: Any = None
    reason: str = ""


class Codec(Protocol):
    """Encodes calls and decodes replies; it does no I/O."""

    def shares_call(self, part: PartRequest) -> bool:
        """Whether the part may travel in one call with others."""

    def encode(self, parts: Sequence[PartRequest], host: str, call_id: str) -> bytes:
        """The bytes of one call; `call_id` names it in the node's logs."""

    def encode_probe(self, host: str) -> bytes:
        """The bytes of a request for the load report alone."""

    def decode(
        self, parts: Sequence[PartRequest], status: int, headers: dict[str, str], body: bytes
    ) -> list[PartReply]:
        """One reply for each part, whatever the response is."""

    def load(self, headers: dict[str, str]) -> dict[str, float]:
        """The load report of a response; empty where there is none or it is malformed."""
