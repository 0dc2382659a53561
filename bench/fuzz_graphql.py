"""Looks for requests that the GraphQL front does not turn down in its own words: `python bench/fuzz_graphql.py`.

Bodies go the way of the wire: JSON, text, scan, parser, shape, validation, variables, plan; nothing is sent. Anything
but the front's own errors is a finding, as is a decision of over a second. With `--atheris` (pip install
atheris==3.0.0) coverage leads the search; without, mutations of sound operations by chance.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import click
import orjson
from graphql import GraphQLError
from graphql.execution.values import get_variable_values

from stepknot.config.settings import load
from stepknot.frontends.graphql.app import Graph
from stepknot.frontends.graphql.documents import Invalid
from stepknot.frontends.graphql.limits import Measure, TooMuch, check_rows, check_text, scan
from stepknot.frontends.graphql.plan import Planner, read_cursor
from stepknot.frontends.jsonbody import read_json
from stepknot.search.errors import RequestError
from stepknot.search.merge import Target

SLOWEST = 1.0  # seconds for a decision
SEEDS = [
    {
        "query": '{reports(first: 3, search: "a", sort: [{by: rating, order: DESC}]) {edges{cursor node{id title}}}}'
    },
    {
        "query": "query Q($f: ReportFilter, $n: Int = 2) {reports(where: $f, first: $n) {totalCount aggregate {count "
        "t: terms(field: game, first: 2) {buckets {key aggregate {s: stats(field: rating) {max}}}}}}}",
        "variables": {
            "f": {"or": [{"game": {"in": ["go"]}}, {"not": {"played": {"gte": "2024-01-01"}}}]},
            "n": 4,
        },
    },
    {
        "query": "query($k: [_Any!]!) {_entities(representations: $k) {__typename ...F ... on Club {name reportCount}}}"
        " fragment F on Report {id home {bestRating}}",
        "variables": {
            "k": [
                {"__typename": "Report", "id": "1"},
                {"__typename": "Club", "name": "a", "founded": 5},
                {"__typename": "Report", "player": "p", "played": 3},
            ]
        },
    },
    {
        "query": 'mutation {createReport(document: {title: "x", rating: 3}) {id} updateReport(id: "a", document: '
        "{moves: 1}, upsert: true) {version}}",
        "operationName": None,
    },
    {
        "query": "{__schema {types {name fields {name args {name}}}} report(id: 5) @include(if: true) {id}}"
    },
]
PIECES = [
    b"{",
    b"}",
    b"(",
    b")",
    b"[",
    b"]",
    b":",
    b"$",
    b"@",
    b"...",
    b"!",
    b"null",
    b"true",
    b"-1",
    b"1e999",
    b'\\"',
    b"\\u0000",
    b"\xff",
    b"first",
    b"reports",
    b"_entities",
    b"on",
    b"fragment",
    b"#",
    b"\\n",
    b"99999999999999999999",
    b'\\"\\"\\"',
    b",",
    b"{" * 50,
    b"a " * 200,
    b"__typename",
    b'{"__typename":"Report"}',
]


class Front:
    """The front's way from a body to a plan."""

    def __init__(self, config: Path) -> None:
        self.config = load(config)
        assert self.config.graphql is not None
        self.graph = Graph.of(self.config.graphql)
        self.came: Counter[str] = Counter()
        self.slowest = 0.0

    def take(self, data: bytes) -> None:
        begun = time.perf_counter()
        try:
            self.came[self.decide(data)] += 1
        except (RequestError, Invalid, TooMuch, GraphQLError) as error:
            self.came[type(error).__name__] += 1
        self.slowest = max(self.slowest, time.perf_counter() - begun)
        assert self.slowest < SLOWEST, f"a decision took {self.slowest:.2f} s"

    def decide(self, data: bytes) -> str:
        given = read_json(data, self.config.depth)
        if not isinstance(given, dict) or not isinstance(given.get("query"), str):
            return "no query"
        variables = given.get("variables")
        name = given.get("operationName")
        if not isinstance(variables, dict | None) or not isinstance(name, str | None):
            return "no query"
        prepared = self.graph.documents.make(given["query"])
        chosen = prepared.operation(name)
        values = get_variable_values(
            self.graph.schema, chosen.variable_definitions or (), variables or {}, 20
        )
        if isinstance(values, list):
            return "variables"
        planner = Planner(
            self.graph.settings,
            self.graph.schema,
            chosen,
            prepared.fragments,
            values,
            self.config.indices,
            lambda indices, routing: [Target("reports", shard, shard) for shard in range(12)],
            lambda index, routing: Target("reports", len(routing) % 12, 0),
            lambda name: 2,
            self.config.window,
            lambda: "x",
            prepared.selections,
        )
        plan = planner.plan()
        limits = self.graph.settings.limits
        assert plan.parts <= limits.parts and plan.rows <= limits.rows
        return "planned"


def mutated(rng: random.Random) -> bytes:
    data = bytearray(orjson.dumps(rng.choice(SEEDS)))
    for _ in range(rng.choice((0, 1, 1, 2, 3, 8))):
        at = rng.randrange(len(data) + 1)
        match rng.randrange(4):
            case 0:
                data[at:at] = rng.choice(PIECES)
            case 1:
                del data[at : at + rng.randrange(1, 12)]
            case 2:
                data[at:at] = data[rng.randrange(len(data) + 1) :][: rng.randrange(1, 60)]
            case _:
                data[at : at + 1] = bytes([rng.randrange(256)])
        data = data or bytearray(b"{")
    return bytes(data)


@click.command()
@click.option(
    "--config", type=click.Path(exists=True, path_type=Path), default=Path("deploy/broker.hcl")
)
@click.option("--seconds", type=int, default=20, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--atheris", "led", is_flag=True, help="Let coverage lead.")
def main(config: Path, seconds: int, seed: int, led: bool) -> None:
    front = Front(config)
    if led:
        fuzz(front, seconds)
    rng, until = random.Random(seed), time.monotonic() + seconds
    while time.monotonic() < until:
        data = mutated(rng)
        try:
            front.take(data)
        except Exception:
            click.echo(f"finding: {data!r}", err=True)
            raise
    total = sum(front.came.values())
    click.echo(
        f"{total} bodies, slowest {1000 * front.slowest:.1f} ms: "
        + ", ".join(f"{name} {count}" for name, count in front.came.most_common())
    )


def fuzz(front: Front, seconds: int) -> Any:
    """Ends the process."""
    import tempfile

    import atheris

    with tempfile.TemporaryDirectory() as name:
        for place, each in enumerate(SEEDS):
            (Path(name) / str(place)).write_bytes(orjson.dumps(each))
        for function in (
            scan,
            check_text,
            check_rows,
            Measure.selections,
            Measure.fragment,
            Planner.plan,
            Planner.root,
            Planner.page,
            Planner.wanted,
            Planner.where,
            Planner.field_filter,
            Planner.entities,
            Planner.representation,
            Planner.counts,
            Planner.change,
            read_cursor,
            Front.decide,
        ):
            atheris.instrument_func(
                function
            )  # the front's own: instrumenting the libraries as well takes minutes
        atheris.Setup(
            [sys.argv[0], name, f"-max_total_time={seconds}", "-max_len=4096", "-timeout=5"],
            front.take,
        )
        atheris.Fuzz()


if __name__ == "__main__":
    main()
