"""Which shard a document belongs to: the engines' public rule, murmur3 over the routing value as UTF-16."""

from __future__ import annotations

import mmh3


def shard_of(routing: str, shards: int, routing_shards: int) -> int:
    """`routing` is the document's id where none is given; the result is 0 .. shards - 1."""
    value: int = mmh3.hash(routing.encode("utf-16-le", "surrogatepass"), 0, signed=True)
    return value % routing_shards // (routing_shards // shards)
