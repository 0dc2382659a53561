"""A box for measurements: sound answers made beforehand, so that it never is what is measured.

Runs as a process of its own: `python bench/canned.py PORT DELAY_MS`.
"""

from __future__ import annotations

import sys

import orjson

from stepknot.net.errors import WaitTimeoutError
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

ROWS = 10
CACHE: dict[tuple[bytes, bool], bytes] = {}
SOURCE = {"title": "an opening of go", "rating": 1700}


def response(head: bytes, body: bytes) -> bytes:
    if b'"ids"' in body:
        return documents(head, body)
    by_sort = b'"sort"' in body
    made = CACHE.get((head, by_sort))
    if made is None:
        asked = orjson.loads(head)
        shard = int(asked["preference"].partition(":")[2])
        rows = [
            {
                "_index": asked["index"],
                "_id": f"s{shard}-{place}",
                "_score": 9.0 - place - shard / 100,
            }
            for place in range(ROWS)
        ]
        for row in rows if by_sort else ():
            row["sort"] = [row["_score"], row["_id"]]
        made = CACHE[head, by_sort] = orjson.dumps(
            {
                "took": 1,
                "timed_out": False,
                "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
                "status": 200,
                "hits": {
                    "total": {"value": 1000, "relation": "eq"},
                    "max_score": 9.0,
                    "hits": rows,
                },
            }
        )
    return made


def documents(head: bytes, body: bytes) -> bytes:
    """Of the ids asked for, all of them: they are known for having been asked."""
    index, names = orjson.loads(head)["index"], orjson.loads(body)["query"]["ids"]["values"]
    return orjson.dumps(
        {
            "took": 1,
            "timed_out": False,
            "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
            "status": 200,
            "hits": {
                "total": {"value": len(names), "relation": "eq"},
                "max_score": 1.0,
                "hits": [
                    {"_index": index, "_id": name, "_score": 1.0, "_source": SOURCE}
                    for name in names
                ],
            },
        }
    )


def converse(loop: Loop, link: Link, delay: float) -> Coroutine:
    data = b""
    try:
        while True:
            while b"\r\n\r\n" not in data:
                chunk = yield from link.recv(65536)
                if not chunk:
                    return
                data += chunk
            head, _, data = data.partition(b"\r\n\r\n")
            length = 0
            if head.startswith(b"POST"):
                at = head.index(b"content-length: ") + 16
                length = int(head[at:].partition(b"\r\n")[0])
            while len(data) < length:
                data += yield from link.recv(65536)
            lines, data = data[:length].split(b"\n"), data[length:]
            if delay:
                yield from loop.sleep(delay)
            answers = b",".join(map(response, lines[:-1:2], lines[1::2]))
            body = b'{"took":1,"responses":[' + answers + b"]}" if length else b""
            yield from link.send(
                b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                b"endpoint-load-metrics: TEXT cpu_utilization=0.1,named_metrics.queue=0\r\n"
                b"content-length: %d\r\n\r\n" % len(body) + body
            )
    except (OSError, WaitTimeoutError):
        pass
    finally:
        link.close()


def main(port: int, delay: float) -> None:
    loop = Loop()
    loop.listen("127.0.0.1", port, lambda link, peer: void(loop.spawn(converse(loop, link, delay))))
    print("ready", flush=True)
    loop.run()


def void(_: object) -> None:
    return None


if __name__ == "__main__":
    main(int(sys.argv[1]), float(sys.argv[2]) / 1000)
