"""Tests of a broker's subset against S1 to S9, with generated lists in any order and slicing, and invalid lists."""

from __future__ import annotations

import math
import sys
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.interface import ListKind, ServerEntry
from stepknot.subsets.explanation import explain
from stepknot.subsets.quotas import cells_of_shard
from stepknot.subsets.rendezvous import uniform_hash
from stepknot.subsets.subset import MAX_EVENT_ENTRIES
from tests.subsets.follower import (
    CHANGES,
    COLD_TIME,
    DRAINING,
    FULL,
    GONE,
    LIVE,
    NOW,
    Follower,
    node,
)

pytestmark = pytest.mark.cpu_only

CELLS = 4
STARTS = st.sampled_from([0.0, 0.0, 0.0, NOW - 1.0, NOW - 5.0, NOW - 50.0])


@st.composite
def entries(
    draw_: st.DrawFn, states: tuple[Any, ...] = (LIVE, LIVE, LIVE, DRAINING)
) -> ServerEntry:
    return node(
        f"n{draw_(st.integers(0, 39))}",
        draw_(st.integers(0, CELLS - 1)),
        draw_(st.sampled_from(states)),
        draw_(st.sampled_from("abc")),
        draw_(st.sampled_from([0.5, 1.0, 4.0])),
        draw_(STARTS),
    )


FLEETS = st.lists(entries(), max_size=40, unique_by=lambda entry: entry.server)
ENTRIES = st.lists(entries((LIVE, LIVE, DRAINING, GONE)), max_size=6)  # may contain a name twice
SHAPES = st.fixed_dictionaries(
    {
        "instances": st.sampled_from([1, 2, 30, 6600]),
        "reach": st.integers(1, 3),
        "size": st.integers(1, 6),
        "holders": st.sampled_from([1.0, 8.0, 1000.0]),
    }
)


def check(follower: Follower) -> None:
    """Check S1 to S3, S8 and S9 for the nodes that were emitted."""
    shape, settings_, count = (
        follower.subset.layout,
        follower.subset.settings,
        follower.subset.instances,
    )
    cells: dict[int, list[ServerEntry]] = {cell: [] for cell in range(shape.cells)}
    for entry in follower.newest.values():
        if entry.state is LIVE:
            cells[entry.cell].append(entry)
    warm = {
        cell: [entry for entry in each if follower.is_warm(entry)] for cell, each in cells.items()
    }
    selected = {
        cell: [follower.view[entry.server] for entry in each if entry.server in follower.view]
        for cell, each in cells.items()
    }
    for shard in range(shape.cells):
        shard_cells = cells_of_shard(shard, shape.cells, shape.reach)
        used = sum(follower.is_warm(entry) for cell in shard_cells for entry in selected[cell])
        assert used >= min(settings_.size, sum(len(warm[cell]) for cell in shard_cells)), "S1"
    tier = follower.subset.index.tier
    for cell, live in cells.items():
        used = [entry for entry in selected[cell] if follower.is_warm(entry)]
        quota = follower.subset.index.cells[cell].quota if live else 0
        assert len({entry.zone for entry in used}) >= min(
            2, len({entry.zone for entry in warm[cell]})
        ), "S2"
        assert not warm[cell] or min(tier(entry.zone) for entry in used) == min(
            tier(entry.zone) for entry in warm[cell]
        ), "S3"
        assert len(used) <= quota and len(selected[cell]) <= 2 * quota, "S9"
        for entry in selected[cell]:
            share = 1.0 if entry.sharers == count else min(1.0, 2.0 * quota / len(live))
            cold = not follower.is_warm(entry)
            assert not cold or uniform_hash(settings_.identity, entry.server) > 1 - share, "S8"
            assert entry.sharers >= count * share * (1 - 1e-9) if cold else entry.sharers == 0, "S8"


@given(FLEETS, SHAPES)
def test_subset_of_any_fleet_keeps_the_invariants(
    fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    follower = Follower(cells=CELLS, **shape).take(FULL, fleet).finish()
    check(follower)
    follower.at(NOW + 6.0)  # some nodes are warm now
    check(follower)
    check(follower.at(NOW + 60.0))
    assert follower.subset.next_warm_up() is None
    for entry in fleet:
        reason = explain(follower.subset, entry.server, follower.now)
        assert reason is not None and reason.held == (entry.server in follower.view) and reason.word


@settings(max_examples=200)
@given(st.data(), FLEETS, SHAPES)
def test_subset_is_a_function_of_the_list_for_any_history(
    data: st.DataObject, fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    """S4: the subset equals that of a restarted broker, whatever the earlier lists and the progress of the work."""
    restarted = Follower(cells=CELLS, **shape).take(FULL, fleet).at(NOW + 7.0)
    follower = Follower(cells=CELLS, **shape)
    for _ in range(data.draw(st.integers(0, 4))):
        follower.take(data.draw(st.sampled_from([FULL, CHANGES])), data.draw(ENTRIES))
        for _ in range(data.draw(st.integers(0, 8))):
            follower.advance()
        if data.draw(st.booleans()):
            follower.subset.set_instances(data.draw(st.sampled_from([1, 30, 6600])))
    order = data.draw(st.permutations(fleet))
    cut = data.draw(st.integers(0, len(order)))
    follower.now = data.draw(st.sampled_from([NOW, NOW + 7.0]))
    follower.subset.set_instances(shape["instances"])
    if data.draw(st.booleans()):
        follower.take(FULL, order[:cut])
    else:
        follower.take(CHANGES, [replace(entry, state=GONE) for entry in follower.newest.values()])
        follower.take(CHANGES, order[:cut])
    for _ in range(data.draw(st.integers(0, 4))):
        follower.advance()
    follower.take(CHANGES, order[cut:]).at(NOW + 7.0)
    # A draining node stays in a subset that had selected it until it is gone.
    assert {entry for entry in follower.view.values() if entry.state is LIVE} == set(
        restarted.view.values()
    )


@settings(max_examples=300)
@given(st.data(), SHAPES)
def test_interleaved_lists_never_restore_an_older_entry(
    data: st.DataObject, shape: dict[str, Any]
) -> None:
    """S7: the follower checks every event against the newest list that was read."""
    follower = Follower(cells=2, **shape)
    for _ in range(data.draw(st.integers(1, 8))):
        kind = data.draw(st.sampled_from([FULL, CHANGES, CHANGES]))
        follower.take(kind, [replace(entry, cell=entry.cell % 2) for entry in data.draw(ENTRIES)])
        for _ in range(data.draw(st.integers(0, 6))):
            follower.advance()
        follower.now += data.draw(st.sampled_from([0.0, 0.0, 3.0]))
    check(follower.finish())


@given(st.data(), FLEETS, SHAPES)
def test_change_of_one_node_affects_only_its_cell_and_those_beside(
    data: st.DataObject, fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    """S5: with a reach of 1 only the node's own cell may change; with the maximum reach all four cells may."""
    follower = Follower(cells=CELLS, **shape).take(FULL, fleet).finish()
    before = dict(follower.view)
    new = data.draw(entries((LIVE, DRAINING, GONE)))
    old = follower.newest.get(new.server)
    follower.take(CHANGES, [new]).finish()
    affected = {
        (cell + step) % CELLS
        for cell in {new.cell, old.cell if old else new.cell}
        for step in range(1 - shape["reach"], shape["reach"])
    }
    changed = {entry.cell for entry in set(before.values()) ^ set(follower.view.values())}
    assert changed <= affected
    assert {each.cell for each in follower.subset.changes} >= {
        follower.newest[server].cell
        for server in set(before) ^ set(follower.view)
        if server != new.server
    }


def test_one_broker_less_changes_at_most_two_percent_of_entries() -> None:
    """S5, S6: another broker's end has an effect only through the count of brokers, which changes only rounding."""
    fleet = [node(f"n{number}", number % 40, zone="abc"[number % 3]) for number in range(40 * 62)]
    changed = total = 0
    for broker in range(20):
        follower = (
            Follower(6600, cells=40, identity=f"b{broker}", holders=700.0)
            .take(FULL, fleet)
            .finish()
        )
        before = follower.names()
        follower.subset.set_instances(6599)
        changed += len(before ^ follower.finish().names())
        total += len(before)
    assert changed <= 0.02 * total


def test_brokers_per_node_are_binomial_around_the_mean() -> None:
    """S6 with 2,000 brokers in one zone and one cell: no node exceeds the mean by a factor of 1 + 4.5 / sqrt(mean)."""
    fleet = [node(f"n{number}", zone="abc"[number % 3]) for number in range(60)]
    counts = Counter(
        server
        for broker in range(2000)
        for server in Follower(2000, identity=f"b{broker}", holders=256.0, near=1.0)
        .take(FULL, fleet)
        .finish()
        .view
    )
    mean = sum(counts.values()) / 60
    assert abs(mean - 256) < 8
    assert (
        max(counts.values()) < mean * (1 + 4.5 / math.sqrt(mean))
        and min(counts.values()) > 0.7 * mean
    )


# --- single cases

CELL = [node(f"n{number}") for number in range(20)]


def draining(entry: ServerEntry) -> ServerEntry:
    return replace(entry, state=DRAINING)


def ranked_servers(follower: Follower, cell: int = 0) -> list[str]:
    return [entry.server for entry in follower.subset.index.cells[cell].ranked]


def test_draining_node_is_emitted_with_its_replacement_before_a_long_list_is_indexed() -> None:
    follower = Follower(cells=580).take(FULL, CELL).finish()
    first = ranked_servers(follower)[0]
    follower.take(FULL, CELL + [node(f"m{number}", number % 579 + 1) for number in range(36_000)])
    follower.advance()
    follower.take(CHANGES, [draining(follower.newest[first])])
    follower.events.clear()
    # The units read 36 slices of the long list and the short list, compare the cells, and select one urgent cell.
    for _ in range(40):
        follower.advance()
    assert follower.subset.intake.pending is not None and [
        each.server for each in follower.events[0].entries
    ] == [ranked_servers(follower)[4], first]
    assert follower.view[first].state is DRAINING


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_node_that_drains_by_an_unindexed_list_is_no_replacement(kind: ListKind) -> None:
    """The node is next by rank, and its draining entry is further back in the list than one unit of work indexes."""
    follower = Follower().take(FULL, CELL).finish()
    first, fifth = ranked_servers(follower)[0], ranked_servers(follower)[4]
    others = [node(f"m{number}", state=DRAINING) for number in range(100)]
    both = [draining(follower.newest[first]), draining(follower.newest[fifth])]
    rest = [entry for entry in CELL if entry.server not in (first, fifth)] if kind is FULL else []
    follower.take(kind, others + both + rest)
    follower.events.clear()
    follower.finish()
    assert fifth not in {entry.server for event in follower.events for entry in event.entries}


def test_restarted_node_is_no_longer_treated_as_warm() -> None:
    """Otherwise the cold node would get the share of a warm one until a long list is indexed."""
    follower = Follower(cells=580).take(FULL, CELL).finish()
    first = ranked_servers(follower)[0]
    follower.take(
        FULL,
        [node(f"m{number}", number % 579 + 1) for number in range(36_000)]
        + [replace(entry, up_since=NOW - 0.1 if entry.server == first else 0.0) for entry in CELL],
    )
    while follower.subset.intake.has_unread or follower.subset.uncompared_cells:
        follower.advance()
    follower.advance()
    assert follower.subset.intake.pending is not None and (
        first not in follower.view or follower.view[first].sharers > 0
    )
    assert len(follower.view) >= 4


@pytest.mark.parametrize(("old", "new"), [(1, 0), (0, 1)])
def test_node_that_moves_to_another_cell_is_not_emitted_as_gone(old: int, new: int) -> None:
    follower = Follower(cells=2).take(FULL, [node("x", old), node("y", 0), node("z", 1)]).finish()
    follower.take(CHANGES, [node("x", new)]).finish()
    assert follower.view["x"].cell == new and len(follower.view) == 3


def test_shard_with_one_cell_in_slow_start_is_served_by_its_other_cell() -> None:
    cold = [node(f"c{number}", 0, up_since=NOW - 1.0) for number in range(10)]
    warm = [node(f"w{number}", 1 + number % 2) for number in range(20)]
    follower = Follower(cells=3, reach=2).take(FULL, cold + warm).finish()
    assert Counter(entry.cell for entry in follower.view.values() if not entry.up_since) == {
        1: 4,
        2: 4,
    }
    follower.at(NOW + COLD_TIME)
    assert Counter(entry.cell for entry in follower.view.values()) == {0: 2, 1: 2, 2: 2}


def test_nodes_in_slow_start_are_bounded_by_quota_and_rank() -> None:
    """S9: on average, eight of the 30 cold nodes are eligible for a broker."""
    cold = [node(f"c{number}", up_since=NOW - 1.0) for number in range(30)]
    for broker in range(30):
        follower = Follower(identity=f"b{broker}").take(FULL, cold).finish()
        assert len(follower.view) <= 4
        mixed = Follower(identity=f"b{broker}").take(FULL, cold + CELL).finish()
        last = max(
            ranked_servers(mixed).index(server) for server in mixed.view if server.startswith("n")
        )
        assert sum(server.startswith("n") for server in mixed.view) == 4
        assert all(ranked_servers(mixed).index(server) <= last for server in mixed.view)


def test_neighbouring_cell_gives_more_nodes_until_slow_start_ends() -> None:
    fleet = (
        [node(f"c{number}", 0, up_since=NOW - 1.0) for number in range(9)]
        + [node(f"w{number}", 1) for number in range(9)]
        + [node(f"v{number}", 2) for number in range(9)]
    )
    follower = Follower(cells=3, reach=2).take(FULL, fleet).finish()
    assert sum(follower.is_warm(entry) and entry.cell == 1 for entry in follower.view.values()) == 4
    follower.at(NOW + COLD_TIME)
    assert Counter(entry.cell for entry in follower.view.values()) == {0: 2, 1: 2, 2: 2}


@pytest.mark.parametrize("fleet", [[], CELL[:1], [draining(entry) for entry in CELL]])
def test_first_list_is_emitted_even_if_nothing_is_selected(fleet: list[ServerEntry]) -> None:
    follower = Follower().take(FULL, fleet).finish()
    assert [event.kind for event in follower.events] == [FULL]
    assert follower.names() == {entry.server for entry in fleet if entry.state is LIVE}
    follower.take(FULL, CELL).finish()
    assert len(follower.view) == 4 and follower.events[-1].kind is CHANGES
    follower.take(FULL, []).finish()
    assert not follower.view and not follower.subset.index.entries


def test_failed_event_is_emitted_at_once_and_changes_nothing() -> None:
    follower = Follower().take(FULL, CELL).finish()
    before = follower.names()
    follower.subset.on_watch_event(type(follower.events[0])(ListKind.FAILED))
    assert [event.kind for event in follower.subset.events] == [
        ListKind.FAILED
    ] and not follower.subset.has_work
    assert follower.names() == before


# --- invalid input


def test_own_address_unknown_cell_and_duplicate_name_are_handled() -> None:
    fleet = [
        node("me"),
        node("far", 7),
        node("below", -1),
        node("x", 0),
        node("x", 1),
        node("x", 1, size=2.0),
    ]
    follower = Follower(cells=2, own=frozenset({"me"})).take(FULL, fleet).finish()
    assert follower.view == {"x": fleet[-1]} and follower.subset.left_out == 3
    follower.take(CHANGES, [node("x", 9)]).finish()  # the entry was valid before
    assert not follower.view


@pytest.mark.parametrize("size", [math.nan, math.inf, -math.inf, 0.0, -3.0, 1e300, 5e-324])
def test_extreme_sizes_and_start_times_are_tolerated(size: float) -> None:
    fleet = [replace(entry, size=size, up_since=size) for entry in CELL[:10]] + CELL[10:]
    follower = Follower(holders=8.0).take(FULL, fleet).finish()
    before = follower.names()
    assert len(before) >= 4
    follower.events.clear()
    for _ in range(3):
        follower.take(FULL, list(fleet)).finish()
    assert not follower.events and follower.names() == before


@pytest.mark.parametrize("count", [-5, 0, 1, 10**9, 10**30])
def test_extreme_counts_of_brokers_are_clamped(count: int) -> None:
    follower = (
        Follower(30, holders=8.0)
        .take(FULL, [replace(CELL[0], up_since=NOW - 1.0), *CELL[1:]])
        .finish()
    )
    follower.subset.set_instances(count)
    follower.finish()
    check(follower)
    assert (
        len(follower.view) == (20 if count <= 1 else len(follower.view)) and len(follower.view) >= 4
    )


def test_size_above_the_number_of_nodes_selects_all() -> None:
    follower = Follower(cells=3, size=1000).take(FULL, [*CELL, node("one", 2)]).finish()
    assert len(follower.view) == 21 and 1 not in follower.subset.index.cells


def test_start_times_far_ahead_do_not_grow_the_schedule() -> None:
    """Each listing of the node adds a time that does not become due; outdated times must be removed."""
    follower = Follower(cells=2)
    for round_ in range(200):
        follower.take(FULL, [*CELL, node("x", up_since=1e9)] if round_ % 2 else CELL).finish()
    assert len(follower.subset.warm_ups) <= 8


# --- bounds


def calls_of_units(follower: Follower) -> list[int]:
    """Do all work; return the number of function calls of each unit, as a measure of its length without a clock."""
    counts = []

    def count(frame: object, event: str, argument: object) -> None:
        counts[-1] += event in ("call", "c_call")

    has_more = True
    while has_more:
        counts.append(0)
        sys.setprofile(count)
        try:
            has_more = follower.subset.advance(follower.now)
        finally:
            sys.setprofile(None)
    return counts


def test_unit_of_work_does_not_grow_with_the_list() -> None:
    """Process 36,000 and 100,000 nodes in cells of 62: a first list, the same list again, and one without a tenth."""
    max_calls = []
    for nodes in (36_000, 100_000):
        cells = nodes // 62
        fleet = [
            node(f"n{number}", number % cells, zone="abcdefghijklm"[number // cells % 13])
            for number in range(nodes)
        ]
        follower = Follower(cells=cells)
        for entries_ in (fleet, list(fleet), fleet[nodes // 10 :]):
            follower.take(FULL, entries_)
            max_calls.append(max(calls_of_units(follower)))
            events, follower.subset.events = follower.subset.events, []
            assert max((len(event.entries) for event in events), default=0) < MAX_EVENT_ENTRIES + 16
    assert max(max_calls) < 10_000 and max(max_calls[3:]) < 1.2 * max(max_calls[:3])
