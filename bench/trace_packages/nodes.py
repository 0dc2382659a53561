"""Seeded runs of the nodes' protocol: the bytes that are written, and what is read from replies."""

from __future__ import annotations

import random

import orjson

from bench.trace_packages.trace import Trace
from stepknot.nodes.codec import PartReply, SearchPart, WritePart
from stepknot.nodes.rest_codec import RestCodec

EXPECTED = "a1578432f87097497381277ec2ebe166cf0bfe2ca3e0ff3cf7a37ab32a21aeca"

SEARCHED = {"status": 200, "timed_out": False, "_shards": {"failed": 0, "successful": 1}, "hits": 3}
RESPONSES: tuple[object, ...] = (
    SEARCHED,
    SEARCHED | {"timed_out": True},
    SEARCHED | {"_shards": {"failed": 1, "successful": 1}},
    SEARCHED | {"_shards": {"failed": 0, "successful": 0}},
    {"status": 429},
    {"status": 500, "error": {"reason": "r" * 300}},
    {"status": 404, "error": "text"},
    {"error": None},
    {"status": 200},
    [],
    None,
)
LOADS = (
    "",
    "TEXT ",
    "JSON queue=1",
    "TEXT named_metrics.queue=3, cpu_utilization=0.5, rps=7, named_metrics.latency_ms=1.5",
    "TEXT qps=1,rps=2,inflight=x,other=3,named_metrics.inflight=4",
    "TEXT queue",
    "TEXT queue=nan,inflight=inf",
    "TEXT queue=1," + "x=1," * 400,
)


def record(trace: Trace) -> None:
    """Play all runs."""
    codec = RestCodec("stepknot/trace")
    _record_requests(trace, codec)
    _record_replies(trace, codec)
    for text in LOADS:
        load = codec.load({"endpoint-load-metrics": text})
        trace.add(len(load), *(str(item) for item in load.items()))
    trace.add(len(codec.load({})))


def _record_requests(trace: Trace, codec: RestCodec) -> None:
    chance = random.Random(3)
    for number in range(300):
        parts = [
            SearchPart(
                f"index-{chance.randrange(9)}",
                chance.randrange(40),
                orjson.dumps({"query": chance.randrange(10**9)}),
                chance.choice(["", "tenant", '\u00e4"\n']),
            )
            for _ in range(chance.randrange(1, 20))
        ]
        trace.add(codec.encode(parts, f"10.0.0.{number}:9200", f"query-{number}"))
        trace.add(codec.shares_call(parts[0]))
        write = WritePart(
            "index", number, b'{"index":{}}\n{}\n', 1, f"token-{number}", bool(number % 2)
        )
        trace.add(codec.encode([write], "[::1]:9200", "unused"), codec.shares_call(write))
        trace.add(codec.encode_probe(f"host-{number}:1"))


def _record_replies(trace: Trace, codec: RestCodec) -> None:
    chance = random.Random(4)
    searches = [SearchPart("index", shard, b"{}") for shard in range(4)]
    for status in (200, 200, 200, 200, 200, 429, 500, 404):
        for _ in range(40):
            responses = [chance.choice(RESPONSES) for _ in range(chance.choice([4, 4, 4, 3, 5]))]
            body = orjson.dumps({"responses": responses})
            _add_replies(trace, codec.decode(searches, status, {}, body))
    for body in (b"", b"[]", b"{}", b"null", b'{"responses": 4}', b'{"responses": null}', b'{"a'):
        _add_replies(trace, codec.decode(searches, 200, {}, body))
    write = WritePart("index", 0, b"", 3, "token")
    for _ in range(60):
        items = [
            {"index": {"status": chance.choice([200, 201, 429, 429, 429, 500, 409])}}
            for _ in range(chance.choice([3, 3, 3, 2]))
        ]
        body = orjson.dumps({"items": items})
        _add_replies(trace, codec.decode([write], chance.choice([200, 200, 429, 503]), {}, body))
    for body in (b"{}", b'{"items": [1, 2, 3]}', b'{"items": 3}'):
        _add_replies(trace, codec.decode([write], 200, {}, body))


def _add_replies(trace: Trace, replies: list[PartReply]) -> None:
    trace.add(len(replies))
    for reply in replies:
        trace.add(reply.outcome, reply.reason, orjson.dumps(reply.payload))
