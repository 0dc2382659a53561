"""What the GraphQL front costs beside the search front: `python bench/fronts.py [--seconds N] [--json FILE]`.

The same search by both fronts on one broker with canned boxes; 500 entities in one call and in 500; what each stage of
a front takes; how soon hostile operations are refused, and what memory they leave. All figures are of stand-in boxes
on loopback; rates are for each second of the broker's own CPU time, and ratios are within one run.
"""

from __future__ import annotations

import select
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import orjson
from graphql.execution.values import get_argument_values, get_variable_values
from harness import cpu_of, memory_of, processes

from stepknot.config.settings import Config, load
from stepknot.frontends.graphql.app import Graph
from stepknot.frontends.graphql.documents import Invalid
from stepknot.frontends.graphql.limits import TooMuch
from stepknot.frontends.graphql.plan import Planner
from stepknot.frontends.graphql.run import cursor, node_of
from stepknot.frontends.graphql.shape import shape
from stepknot.frontends.jsonbody import read_json
from stepknot.frontends.search import replies
from stepknot.net.http import HttpLimits, ServerParser
from stepknot.search.merge import Merged, Target
from stepknot.search.request import parse_search
from stepknot.simulation.fleet import settings_text
from stepknot.simulation.ports import reserve_ports

FOLDER = Path(__file__).parent
BOXES = CELLS = 6
SHARDS, CLIENTS, KEYS = 12, 8, 500
SORT = [{"_score": {"order": "desc"}}, {"_id": {"order": "asc"}}]
BODY = {
    "query": {"multi_match": {"query": "go", "fields": ["title"]}},
    "size": 10,
    "_source": ["title", "rating"],
    "sort": SORT,
    "track_total_hits": True,
}
PAGE = """query Page($text: String!, $first: Int!) { rows(search: $text, first: $first) {
    totalCount edges { node { id title rating } } } }"""
VARIABLES = {
    "text": "go",
    "first": 9,
}  # one more is asked for, to know of a next page: ten rows, as the body above
ENTITIES = (
    "query($keys: [_Any!]!) { _entities(representations: $keys) { ... on Row { id title } } }"
)
ONE = "query($id: ID!) { row(id: $id) { id title } }"
GRAPH = """
index "p12" {
  shards = 12
  field "title" {
    type = "text"
  }
  field "rating" {
    type = "integer"
  }
}

graphql {
  listen = "127.0.0.1:%d"
  type "Row" {
    index = "p12"
  }
}
"""


def settings(folder: Path, port: int, graph: int) -> Path:
    head, _, _ = settings_text(port=port, instances=1, cells=CELLS).partition('index "')
    path = folder / "broker.hcl"
    path.write_text(head + GRAPH % graph)
    return path


@contextmanager
def running() -> Iterator[tuple[int, int, int]]:
    """A broker and its boxes: its two ports and its process id."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        port, graph, *ports = reserve_ports(2 + BOXES)
        path = settings(folder, port, graph)
        rows = [
            {"address": f"127.0.0.1:{each}", "cell": place % CELLS}
            for place, each in enumerate(ports)
        ]
        (folder / "boxes.json").write_bytes(orjson.dumps({"boxes": rows}))
        words = [sys.executable, "-m", "stepknot", "serve", str(path), "--log-level", "error"]
        with processes(words, ports) as pid:
            yield port, graph, pid


def post(path: str, body: Any) -> bytes:
    data = orjson.dumps(body)
    return (
        f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    ).encode() + data


def operation(query: str, variables: Any = None) -> bytes:
    return post("/graphql", {"query": query, "variables": variables})


def reply_at(sock: socket.socket) -> tuple[int, bytes]:
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(1 << 18)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0])
    while len(body) < length:
        body += sock.recv(1 << 18)
    return int(head[9:12]), body


def drive(
    port: int, pid: int, data: bytes, seconds: float, good: Callable[[int, bytes], bool]
) -> dict[str, float]:
    """Closed loop on CLIENTS connections: answers for each second of the broker's CPU, and latency."""
    socks = {
        sock.fileno(): sock
        for sock in (socket.create_connection(("127.0.0.1", port)) for _ in range(CLIENTS))
    }
    poll, begun, took = select.epoll(), {}, []
    for number, sock in socks.items():
        poll.register(number, select.EPOLLIN)
        begun[number] = time.perf_counter()
        sock.sendall(data)
    cpu, until = cpu_of(pid), time.monotonic() + seconds
    while time.monotonic() < until:
        for number, _ in poll.poll(1):
            status, body = reply_at(socks[number])
            if not good(status, body):
                raise SystemExit(f"not the answer that was expected: {status} {body[:300]!r}")
            took.append(time.perf_counter() - begun[number])
            begun[number] = time.perf_counter()
            socks[number].sendall(data)
    cpu = cpu_of(pid) - cpu
    for sock in socks.values():
        sock.close()
    took.sort()
    return {
        "answers_a_cpu_second": len(took) / cpu,
        "p50_ms": 1000 * took[len(took) // 2],
        "p99_ms": 1000 * took[int(len(took) * 0.99)],
    }


def timed(what: Callable[[], Any], times: int = 400) -> float:
    """Microseconds, the median of five rounds."""
    rounds = []
    for _ in range(5):
        begun = time.perf_counter()
        for _ in range(times // 5):
            what()
        rounds.append((time.perf_counter() - begun) / (times // 5) * 1e6)
    return statistics.median(rounds)


def stages() -> dict[str, dict[str, float]]:
    """What a front itself takes of one search with ten hits, without the core: microseconds by stage."""
    with tempfile.TemporaryDirectory() as name:
        config = load(settings(Path(name), 0, 0))
    assert config.graphql is not None
    graph = Graph.of(config.graphql)
    target = Target("p12", 0, 0)
    rows = [
        (
            target,
            {
                "_index": "p12",
                "_id": f"s{place}",
                "_score": 9.0,
                "sort": [9.0, f"s{place}"],
                "_source": {"title": "an opening of go", "rating": 1700},
            },
        )
        for place in range(10)
    ]
    merged = Merged(rows, 1000, True, 9.0, {})
    search_data, graph_data = post("/p12/_search", BODY), operation(PAGE, VARIABLES)
    search_body, graph_body = (
        orjson.dumps(BODY),
        orjson.dumps({"query": PAGE, "variables": VARIABLES}),
    )
    search = parse_search(BODY, {}, config.window)
    documents = {(each, row["_id"]): row for each, row in rows}
    shards = {"total": 12, "successful": 12, "skipped": 0, "failed": 0}
    prepared = graph.documents.prepare(PAGE)
    chosen = prepared.operation(None)
    variables = get_variable_values(graph.schema, chosen.variable_definitions or (), VARIABLES)
    assert not isinstance(variables, list)

    def planner() -> Planner:
        return make_planner(config, graph, chosen, variables, prepared.selections)

    (root,) = planner().plan().roots
    values = page_values(root, merged)
    return {
        "search": {
            "http": timed(lambda: feed(search_data)),
            "parse": timed(
                lambda: parse_search(read_json(search_body, config.depth), {}, config.window)
            ),
            "answer": timed(
                lambda: orjson.dumps(
                    replies.search_body(search, merged, 0.01, shards, True, documents, 0)
                )
            ),
        },
        "graphql": {
            "http": timed(lambda: feed(graph_data)),
            "json and cached document": timed(
                lambda: graph.documents.prepare(read_json(graph_body, config.depth)["query"])
            ),
            "variables (graphql-core)": timed(
                lambda: get_variable_values(
                    graph.schema, chosen.variable_definitions or (), VARIABLES
                )
            ),
            "plan": timed(lambda: planner().plan()),
            "of it, as the search front parses": timed(
                lambda: parse_search(BODY, {}, config.window)
            ),
            "of it, arguments (graphql-core)": timed(
                lambda: get_argument_values(
                    graph.schema.query_type.fields["rows"],
                    chosen.selection_set.selections[0],
                    variables,
                )
            ),
            "values": timed(lambda: page_values(root, merged)),
            "execution (graphql-core)": timed(
                lambda: shape(graph.schema, prepared, None, VARIABLES, values)
            ),
            "json": timed(lambda: orjson.dumps({"data": values})),
            "not cached: parse and validate": timed(lambda: graph.documents.make(PAGE), 50),
        },
    }


def feed(data: bytes) -> None:
    ServerParser(HttpLimits()).feed(data)


def make_planner(
    config: Config, graph: Graph, chosen: Any, variables: Any, known: Any = None
) -> Planner:
    targets = [Target("p12", shard, shard) for shard in range(SHARDS)]
    return Planner(
        graph.settings,
        graph.schema,
        chosen,
        {},
        variables,
        config.indices,
        lambda indices, routing: targets,
        lambda index, routing: targets[0],
        lambda name: 2,
        config.window,
        lambda: "x",
        known,
    )


def page_values(root: Any, merged: Merged) -> dict[str, Any]:
    nodes = [node_of(root.kind, root.wanted, row["_id"], row["_source"]) for _, row in merged.rows]
    return {
        "rows": {
            "totalCount": merged.total,
            "edges": [
                {
                    "cursor": cursor(root.order, row["sort"]) if root.cursors else None,
                    "score": row["_score"],
                    "node": node,
                }
                for (_, row), node in zip(merged.rows, nodes, strict=True)
            ],
        }
    }


HOSTILE: dict[str, str] = {
    "aliased copies of a costly field": "{"
    + " ".join(f"a{each}: rows(first: 500) {{ nodes {{ title }} }}" for each in range(30))
    + "}",
    "doubling fragments": "{...F0}"
    + "".join(f"fragment F{n} on Query{{...F{n + 1} ...F{n + 1}}}" for n in range(60))
    + "fragment F60 on Query{__typename}",
    "a cycle of fragments": "{...A} fragment A on Query {...B} fragment B on Query {...A}",
    "490 fields": "{" + "a " * 490 + "}",
    "100,000 tokens": "{" + "a " * 100_000 + "}",
    "a comment of 500 KB": "#" * 500_000,
    "300 deep": "{a" * 300 + "}" * 300,
    "40 fields that conflict": "{"
    + "".join(f"...on Query{{x: rows(first: {n}){{totalCount}}}}" for n in range(40))
    + "}",
    "nested buckets": "{rows{aggregate{terms(field: rating, first: 100){buckets{aggregate{terms(field: rating, "
    "first: 100){buckets{key}}}}}}}}",
}


def refusals(graph: int, pid: int, times: int) -> dict[str, Any]:
    """Each hostile operation, every time with another text, so that nothing is cached: milliseconds to the refusal."""
    sock = socket.create_connection(("127.0.0.1", graph))
    found: dict[str, Any] = {}
    before = memory_of(pid)
    for name, text in HOSTILE.items():
        took, cpu = [], cpu_of(pid)
        for number in range(times):
            data = operation(f"# {number}\n{text}")
            begun = time.perf_counter()
            sock.sendall(data)
            status, body = reply_at(sock)
            took.append(1000 * (time.perf_counter() - begun))
            if status not in (400, 413):
                raise SystemExit(f"{name} was not refused: {status} {body[:200]!r}")
        took.sort()
        found[name] = {
            "p50_ms": took[len(took) // 2],
            "p99_ms": took[int(len(took) * 0.99)],
            "cpu_ms": 1000 * (cpu_of(pid) - cpu) / times,
        }
    found["memory_grown_kb"] = (memory_of(pid) - before) // 1024
    sock.close()
    return found


def decided() -> dict[str, float]:
    """The same in this process: milliseconds of the decision alone, from text to refusal."""
    with tempfile.TemporaryDirectory() as name:
        config = load(settings(Path(name), 0, 0))
    assert config.graphql is not None
    graph = Graph.of(config.graphql)
    found = {}
    for name, text in HOSTILE.items():
        begun = time.perf_counter()
        for number in range(20):
            try:
                prepared = graph.documents.make(f"# {number}\n{text}")
                chosen = prepared.operation(None)
                make_planner(
                    config, graph, chosen, get_variable_values(graph.schema, (), {})
                ).plan()
            except (Invalid, TooMuch):
                continue
            raise SystemExit(f"{name} was not refused")
        found[name] = (time.perf_counter() - begun) / 20 * 1000
    return found


@click.command()
@click.option("--seconds", type=float, default=3.0, show_default=True, help="For each rate.")
@click.option(
    "--json", "out", type=click.Path(path_type=Path), help="Write the figures here as well."
)
def main(seconds: float, out: Path | None) -> None:
    found: dict[str, Any] = {"stages_us": stages(), "decision_ms": decided()}
    keys = [{"__typename": "Row", "id": f"k{number}"} for number in range(KEYS)]

    def whole(status: int, body: bytes) -> bool:
        return status == 200 and b'"errors"' not in body and b'"failed":1' not in body

    with running() as (port, graph, pid):
        for name, at, data in (
            ("search", port, post("/p12/_search", BODY)),
            ("graphql", graph, operation(PAGE, VARIABLES)),
            ("500 entities in a call", graph, operation(ENTITIES, {"keys": keys})),
            ("one document in a call", graph, operation(ONE, {"id": "k1"})),
        ):
            drive(at, pid, data, 0.5, whole)
            found[name] = drive(at, pid, data, seconds, whole)
        found["refusals"] = refusals(graph, pid, 100)
    show(found)
    if out is not None:
        out.write_bytes(orjson.dumps(found, option=orjson.OPT_INDENT_2))


def show(found: dict[str, Any]) -> None:
    for name in ("search", "graphql", "500 entities in a call", "one document in a call"):
        row = found[name]
        click.echo(
            f"{name:<26} {row['answers_a_cpu_second']:8.0f} a CPU second   p50 {row['p50_ms']:6.1f} ms   "
            f"p99 {row['p99_ms']:6.1f} ms"
        )
    ratio = found["graphql"]["answers_a_cpu_second"] / found["search"]["answers_a_cpu_second"]
    batch = (
        KEYS
        * found["500 entities in a call"]["answers_a_cpu_second"]
        / (found["one document in a call"]["answers_a_cpu_second"])
    )
    click.echo(
        f"graphql beside search {ratio:.2f}; 500 entities in one call beside 500 calls: {batch:.0f} times the "
        "keys for the same CPU"
    )
    for front, rows in found["stages_us"].items():
        for stage, took in rows.items():
            click.echo(f"{front:<8} {stage:<32} {took:8.0f} us")
    rows = found["stages_us"]["graphql"]
    core = sum(took for stage, took in rows.items() if "graphql-core" in stage)
    own = (
        sum(
            took
            for stage, took in rows.items()
            if "graphql-core" not in stage and not stage.startswith(("not", "of it"))
        )
        - rows["of it, arguments (graphql-core)"]
    )
    limit = sum(found["stages_us"]["search"][stage] for stage in ("http", "parse")) + core
    click.echo(
        f"front without graphql-core {own:.0f} us, with it {own + core:.0f} us; aim: at most {limit:.0f} us "
        f"(search's parsing and graphql-core's own): {(own + core) / limit:.2f}"
    )
    for name in HOSTILE:
        row = found["refusals"][name]
        click.echo(
            f"refused: {name:<34} decided in {found['decision_ms'][name]:6.2f} ms   at the socket p50 "
            f"{row['p50_ms']:6.1f}   p99 {row['p99_ms']:6.1f} ms   CPU {row['cpu_ms']:5.1f} ms"
        )
    click.echo(
        f"memory grown by {100 * len(HOSTILE)} hostile operations: {found['refusals']['memory_grown_kb']} KB"
    )


if __name__ == "__main__":
    main()
