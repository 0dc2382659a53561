"""What is decided on an operation before anything is sent: its cost, its shape, its client's budget."""

from __future__ import annotations

import random
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from graphql import GraphQLSyntaxError, Lexer, Source, TokenKind, parse
from hypothesis import example, given, settings
from hypothesis import strategies as st

from stepknot.config.errors import ConfigError
from stepknot.config.graphql import GraphLimits
from stepknot.config.hcl import parse as parse_hcl
from stepknot.config.settings import build, load
from stepknot.frontends.graphql.budget import Budget, Budgets
from stepknot.frontends.graphql.documents import Documents, Invalid
from stepknot.frontends.graphql.limits import Measure, TooMuch, check_shape, scan
from stepknot.frontends.graphql.sdl import date_in, date_out, long_in, subgraph_sdl
from stepknot.frontends.graphql.shape import make_schema
from stepknot.simulation.fleet import settings_text
from tests.broker.scripted import broker
from tests.graphql.asking import Graph

# --- tokens: never fewer than the parser counts

PIECES = st.sampled_from(
    [
        "{",
        "}",
        "a",
        "_b1",
        "...",
        "$x",
        ":",
        "(",
        ")",
        "[",
        "]",
        "!",
        "=",
        "@d",
        "|",
        "&",
        "1",
        "-2",
        "3.5e-7",
        '"text"',
        '"\\"q\\u00e9"',
        '"""block "q" \\""" end"""',
        "# comment\n",
        " ",
        "\n",
        ",",
        "\ufeff",
        "é",
        '"',
        '"""',
        "\\",
        "0",
    ]
)


@given(st.lists(PIECES, max_size=40).map("".join))
@example("1-2 3.5e-7-1")
@settings(max_examples=400, deadline=None, derandomize=True)
def test_tokens_are_never_counted_too_low(text: str) -> None:
    lexer, real = Lexer(Source(text)), 0
    try:
        while lexer.advance().kind is not TokenKind.EOF:
            real += 1
    except GraphQLSyntaxError:
        return  # the parser ends there as well
    assert scan(text, 10_000).tokens >= real


def test_counting_stops_at_the_limit() -> None:
    assert scan("a " * 1_000_000, 50).tokens == 51


SELECTIONS = st.recursive(
    st.sampled_from(
        [
            "a",
            "b: a",
            "on",
            "type @skip(if: true)",
            "x: b(c: {d: [e, {f: g}], on: $h}) @include(if: $i)",
            '...F @k(l: "m { n")',
            "query",
            "# o { p\n q",
        ]
    ),
    lambda inner: st.builds(
        lambda parts, head: f"{head} {{ {' '.join(parts)} }}",
        st.lists(inner, min_size=1, max_size=4),
        st.sampled_from(["a", "z: a", "... on T", "...", "... @skip(if: $b)", "on: on(on: on)"]),
    ),
    max_leaves=25,
)


@given(st.lists(st.lists(SELECTIONS, min_size=1, max_size=4), min_size=1, max_size=3))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_a_look_at_the_text_counts_no_field_or_alias_too_many(operations: list[list[str]]) -> None:
    text = (
        " ".join(
            f"query Q{place}($b: B = {{c: d}}) @e {{ {' '.join(each)} }}"
            for place, each in enumerate(operations)
        )
        + " fragment F on T { a }"
    )
    found, document = scan(text, 100_000), parse(text)
    exact = [Measure(document).selections(each.selection_set) for each in document.definitions]
    # Spread, F adds its one field for each spread; the look at the text leaves that out.
    assert found.fields - 1 <= max(each.fields for each in exact)
    assert found.aliases <= max(each.aliases for each in exact)
    if "..." not in text and len(operations) == 1:
        assert found.fields >= exact[0].fields


# --- shape


def measured(text: str) -> Any:
    return check_shape(parse(text), GraphLimits(depth=100, fields=10**9, aliases=10**9))


def test_fragments_count_as_often_as_they_are_spread() -> None:
    shape = measured("{a{...F} b: a{...F ...G}} fragment F on T{x y{z}} fragment G on T{...F}")
    assert (shape.depth, shape.fields, shape.aliases) == (3, 2 + 3 * 3, 1)


@given(st.integers(1, 60), st.integers(1, 3))
@settings(max_examples=30, deadline=None, derandomize=True)
def test_fragments_that_multiply_are_measured_once(levels: int, times: int) -> None:
    text = "{...F0}" + "".join(
        f"fragment F{n} on Query{{{f'...F{n + 1} ' * times}}}" for n in range(levels)
    )
    text += f"fragment F{levels} on Query{{a}}"
    assert measured(text).fields == min(times**levels, 1_000_000)


@pytest.mark.parametrize(
    "limit,text",
    [({"depth": 3}, "{a{b{c{d}}}}"), ({"fields": 3}, "{a b c d}"), ({"aliases": 1}, "{x: a y: b}")],
)
def test_what_is_over_a_limit_is_told_with_both_figures(limit: dict[str, int], text: str) -> None:
    limits = replace(GraphLimits(), **limit)  # type: ignore[arg-type]
    with pytest.raises(TooMuch, match=f"at most {next(iter(limit.values()))}"):
        check_shape(parse(text), limits)
    check_shape(parse(text), GraphLimits())


# --- documents kept


def documents(**limits: int) -> Documents:
    front = load_text().graphql
    front = replace(front, limits=replace(front.limits, **limits))  # type: ignore[arg-type]
    return Documents(make_schema(front), front)


def load_text(extra: str = "", **given: Any) -> Any:
    text = settings_text(port=9200, **given)
    return build(parse_hcl(text + extra, "x.hcl"), "x.hcl", Path())


def test_documents_kept_are_bounded_by_number_and_by_tokens() -> None:
    kept = documents(documents=5)
    for number in range(20):
        kept.prepare(f"{{a{number}: __typename}}")
        assert len(kept.kept) <= 5 and kept.tokens == sum(
            each.tokens for each in kept.kept.values()
        )
    assert kept.prepare("{a19: __typename}") and kept.hits == 1
    large = "{" + " ".join(f"b{each}: __typename" for each in range(30)) + "}"
    for number in range(20):
        kept.prepare(large + f"#{number}")
        assert kept.tokens <= 500
    with pytest.raises(Invalid):
        kept.prepare("{nothing}")
    assert "{nothing}" not in kept.kept


# --- budgets


class Waits:
    """Reads a budget as a client does: by what it is allowed."""

    def __init__(self, rate: float, burst: float, most: int) -> None:
        self.budget = Budgets(rate, burst, 0.0, {}, most)
        self.paid: dict[str, list[tuple[float, float]]] = {}

    def ask(self, now: float, who: str, parts: float) -> float:
        wait = self.budget.take(now, who, "", parts)
        if not wait:
            self.paid.setdefault(who, []).append((now, parts))
        return wait


@given(st.integers(0, 10**6))
@settings(max_examples=150, deadline=None, derandomize=True)
def test_no_client_spends_more_than_its_rate_and_burst(seed: int) -> None:
    chance, now = random.Random(seed), 100.0
    rate, burst, most = chance.uniform(1, 50), chance.uniform(5, 100), chance.randrange(1, 6)
    waits = Waits(rate, burst, most)
    for _ in range(300):
        now += chance.choice([0.0, 0.01, 0.3, 2.0, -0.5])
        waits.ask(now, f"c{chance.randrange(8)}", chance.uniform(0, burst))
        assert len(waits.budget.clients.buckets) <= most
    for spent in waits.paid.values():
        for first in range(len(spent)):
            latest = max(at for at, _ in spent[first:])
            begun = min(at for at, _ in spent[first:])
            # the clock steps back at times: what it earned again since cannot be more than all its steps forward
            assert (
                sum(parts for _, parts in spent[first:])
                <= burst + rate * (latest - begun + 0.5 * 300) + 1e-6
            )


@given(st.integers(0, 10**6))
@settings(max_examples=100, deadline=None, derandomize=True)
def test_with_a_clock_that_does_not_step_back_the_bound_is_exact_and_the_wait_is_enough(
    seed: int,
) -> None:
    chance, now = random.Random(seed), 0.0
    rate, burst = chance.uniform(1, 50), chance.uniform(5, 100)
    waits = Waits(rate, burst, 100)
    for _ in range(100):
        now += chance.choice([0.0, 0.01, 0.3, 2.0])
        parts = chance.uniform(0, 1.5 * burst)
        wait = waits.ask(now, "c", parts)
        if wait:
            assert waits.budget.take(now + wait * 0.99, "c", "", parts) > 0
            now += wait + 1e-6
            assert waits.ask(now, "c", parts) == 0.0
    spent = waits.paid["c"]
    for first in range(len(spent)):
        total = sum(parts for _, parts in spent[first:-1])  # the last one may go below empty
        assert total <= burst + rate * (spent[-1][0] - spent[first][0]) + 1e-6 + 0.5 * burst


def test_a_clock_that_steps_back_earns_nothing_and_costs_nothing() -> None:
    budget = Budget(1.0, 10.0, 5)
    budget.spend(100.0, "a", 10.0)
    assert budget.wait(100.0, "a", 5.0) == pytest.approx(5.0)
    assert budget.wait(40.0, "a", 5.0) == pytest.approx(5.0)  # nor does it cost anything
    assert budget.wait(43.0, "a", 5.0) == pytest.approx(2.0)  # and time goes on from there


def test_a_flood_of_clients_shares_one_bucket_and_memory_stays() -> None:
    budget = Budget(1.0, 10.0, 100)
    allowed = 0
    for number in range(100_000):
        if not budget.wait(0.0, f"c{number}", 5.0):
            budget.spend(0.0, f"c{number}", 5.0)
            allowed += 1
    assert len(budget.buckets) == 100 and allowed == 100 + 2
    assert not budget.wait(
        60.0, "late", 5.0
    )  # those who spent are forgotten once they are full again
    budget.spend(60.0, "late", 5.0)
    assert "late" in budget.buckets


def test_a_tenant_pays_beside_its_client() -> None:
    budgets = Budgets(0.0, 0.0, 10.0, {"a": 0.5, "b": 0.1}, 10)
    assert budgets.take(0.0, "x", "a", 50) == 0.0
    assert budgets.take(0.0, "y", "a", 10) == pytest.approx(2.0)
    assert budgets.take(0.0, "y", "b", 10) == 0.0 and budgets.take(0.0, "y", "", 1e9) == 0.0


# --- cost: never under what is sent

FIELDS = [
    "id",
    "title",
    "game",
    "home{name}",
    "home{reportCount}",
    "home{bestRating reportCount}",
    "rating",
]
ROOTS = st.one_of(
    st.builds(
        lambda first, fields, edges: (
            f"reports(first: {first}){{{'edges{node' if edges else 'nodes'}"
            f"{{{' '.join(fields)}}}{'}' if edges else ''}}}"
        ),
        st.integers(0, 9),
        st.lists(st.sampled_from(FIELDS), min_size=1, max_size=4),
        st.booleans(),
    ),
    st.builds(lambda first: f"reports(first: {first}){{totalCount}}", st.integers(0, 3)),
    st.builds(
        lambda fields, name: f'report(id: "k{name}"){{{" ".join(fields)}}}',
        st.lists(st.sampled_from(FIELDS), min_size=1, max_size=4),
        st.integers(0, 50),
    ),
    st.builds(
        lambda names, clubs, fields: (
            "_entities(representations: ["
            + " ".join(f'{{__typename: "Report", id: "k{name}"}}' for name in names)
            + " ".join(f'{{__typename: "Club", name: "c{name}", founded: 5}}' for name in clubs)
            + f"]){{... on Report{{{' '.join(fields)}}} ... on Club{{reportCount reportsSinceFounded}}}}"
        ),
        st.lists(st.integers(0, 30), max_size=20),
        st.lists(st.integers(0, 5), max_size=5),
        st.lists(st.sampled_from(FIELDS), min_size=1, max_size=3),
    ),
)


@pytest.fixture(scope="module")
def parts_sent(tmp_path_factory: pytest.TempPathFactory) -> Any:
    with broker(tmp_path_factory.mktemp("cost"), [0, 1, 2], shards=5) as run:
        graph = Graph.at(run)

        def ask(query: str) -> tuple[Any, int]:
            before = run.call(lambda: run.service.core.counts["parts"])
            answer = graph(query)
            return answer, run.call(lambda: run.service.core.counts["parts"]) - before

        yield ask


@given(st.lists(ROOTS, min_size=1, max_size=4))
@example(["reports(first: 9){nodes{title home{reportCount}}}"])
@settings(max_examples=120, deadline=None, derandomize=True)
def test_an_operations_cost_is_never_under_the_parts_it_causes(
    parts_sent: Any, roots: list[str]
) -> None:
    query = "{" + " ".join(f"r{place}: {root}" for place, root in enumerate(roots)) + "}"
    answer, sent = parts_sent(query)
    assert answer.status == 200, answer.body
    assert sent <= answer.body["extensions"]["cost"] <= max(4 * sent, 12 * len(roots))


# --- schema and settings


def test_the_schema_is_the_same_text_from_run_to_run() -> None:
    first, second = load_text().graphql, load_text().graphql
    assert subgraph_sdl(first) == subgraph_sdl(second)
    assert subgraph_sdl(first) == subgraph_sdl(
        replace(
            first,
            types=dict(reversed(first.types.items())),
            entities=dict(reversed(first.entities.items())),
        )
    )


MARKED = """
index "marked" {
  shards = 2
  field "club" {
    type = "keyword"
  }
  field "city" {
    type = "keyword"
  }
  field "tags" {
    type = "keyword"
  }
}
"""
GRAPH = """graphql {
  listen = "127.0.0.1:0"
  type "Marked" {
    index     = "marked"
    keys      = ["id", "club city"]
    shareable = true
    many      = "allMarked"
    field "town" {
      from     = "city"
      override = "towns"
      tags     = ["public", "a\\"b"]
    }
    field "tags" {
      many         = true
      inaccessible = true
    }
    reference "home" {
      entity   = "Club"
      from     = { name = "club", city = "city" }
      provides = "city"
    }
  }
  entity "Club" {
    index = "marked"
    keys  = ["name"]
    field "name" {
      from = "club"
    }
    field "city" {
      external = true
    }
    count "marked" {
      equal = { city = "city" }
    }
  }
}
"""


def load_marked(graph: str = GRAPH) -> Any:
    text = settings_text(port=9200).partition("# The second front")[0] + MARKED + graph
    return build(parse_hcl(text, "x.hcl"), "x.hcl", Path())


def test_every_federation_directive_comes_from_the_settings() -> None:
    front = load_marked().graphql
    sdl = subgraph_sdl(front)
    for piece in (
        '@key(fields: "id") @key(fields: "club city") @shareable',
        '@override(from: "towns")',
        '@tag(name: "public") @tag(name: "a\\"b")',
        "tags: [String!] @inaccessible",
        "city: String @external",
        'home: Club @provides(fields: "city")',
        'marked: Long @requires(fields: "city")',
        "https://specs.apollo.dev/federation/v2.",
    ):
        assert piece in sdl, piece
    make_schema(front)


MISTAKES = [
    (
        'index     = "marked"',
        'index     = "other"',
        "graphql.type.Marked.index",
        "expected an index of this file",
    ),
    ('"club city"]', '"club nothing"]', "graphql.type.Marked.keys", "not 'nothing'"),
    (
        'from     = "city"',
        'from     = "nowhere"',
        "graphql.type.Marked.town.from",
        "expected a field of index marked",
    ),
    (
        'entity   = "Club"',
        'entity   = "Clubs"',
        "graphql.type.Marked.home.entity",
        "expected an entity",
    ),
    (
        'provides = "city"',
        'provides = "name"',
        "graphql.type.Marked.home.provides",
        "expected external fields",
    ),
    (
        'equal = { city = "city" }',
        'equal = { city = "town" }',
        "graphql.entity.Club.marked",
        "external = true",
    ),
    (
        'from = "club"',
        'from = "tagz"',
        "graphql.entity.Club.name.from",
        "expected a field of index marked",
    ),
    ('type "Marked"', 'type "Query"', "graphql.type.Query", "expected a GraphQL name that is free"),
    ('type "Marked"', 'type "2x"', "graphql.type.2x", "expected a GraphQL name that is free"),
    ('many      = "allMarked"', 'many      = "marked"', "graphql.type.Marked", "is taken"),
    ('listen = "127.0.0.1:0"', 'listen = "localhost:0"', "graphql.listen", "expected an address"),
    (
        'listen = "127.0.0.1:0"',
        'listen = "127.0.0.1:0"\n  dpeth = 3',
        "graphql.dpeth",
        "unknown; known here",
    ),
    (
        "shareable = true",
        'shareable = "yes"',
        "graphql.type.Marked.shareable",
        "expected true or false",
    ),
    (
        'listen = "127.0.0.1:0"',
        'listen = "127.0.0.1:0"\n  persisted_file = "none.json"',
        "graphql.persisted_file",
        "not read",
    ),
]


@pytest.mark.parametrize(
    "good,wrong,key,expected", MISTAKES, ids=[f"{each[2]} {each[1][:20]}" for each in MISTAKES]
)
def test_a_mistake_names_its_line_and_key(good: str, wrong: str, key: str, expected: str) -> None:
    assert good in GRAPH
    with pytest.raises(ConfigError) as caught:
        load_marked(GRAPH.replace(good, wrong, 1))
    problems = [
        each for each in caught.value.problems if each.key == key and expected in each.expected
    ]
    assert problems and problems[0].line > 100, caught.value.problems


def test_the_example_of_deploy_makes_a_schema() -> None:
    make_schema(load(Path("deploy/broker.hcl")).graphql)  # type: ignore[arg-type]


# --- scalars


@given(st.integers(-62_135_596_800_000, 253_402_300_799_999))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_moments_come_back_as_they_were(milliseconds: int) -> None:
    assert date_in(date_out(milliseconds)) == milliseconds


def test_whole_numbers_of_64_bits() -> None:
    assert long_in(2**63 - 1) == long_in(str(2**63 - 1)) == 2**63 - 1
    for wrong in (2**63, 1.5, True, "x", None, "9" * 40):
        with pytest.raises(Exception, match="64 bits"):
            long_in(wrong)
