"""One broker's subset, S1 to S9: for lists of any kind, cut and ordered in any way, and for invalid ones."""

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
ANY = st.lists(entries((LIVE, LIVE, DRAINING, GONE)), max_size=6)  # names may stand in it twice
SHAPES = st.fixed_dictionaries(
    {
        "instances": st.sampled_from([1, 2, 30, 6600]),
        "reach": st.integers(1, 3),
        "size": st.integers(1, 6),
        "holders": st.sampled_from([1.0, 8.0, 1000.0]),
    }
)


def check(found: Follower) -> None:
    """S1 to S3, S8 and S9 of the nodes that were emitted."""
    shape, settings_, count = found.subset.layout, found.subset.settings, found.subset.instances
    cells: dict[int, list[ServerEntry]] = {cell: [] for cell in range(shape.cells)}
    for entry in found.truth.values():
        if entry.state is LIVE:
            cells[entry.cell].append(entry)
    warm = {cell: [entry for entry in each if found.warm(entry)] for cell, each in cells.items()}
    held = {
        cell: [found.view[entry.server] for entry in each if entry.server in found.view]
        for cell, each in cells.items()
    }
    for shard in range(shape.cells):
        mine = cells_of_shard(shard, shape.cells, shape.reach)
        used = sum(found.warm(entry) for cell in mine for entry in held[cell])
        assert used >= min(settings_.size, sum(len(warm[cell]) for cell in mine)), "S1"
    tier = found.subset.index.tier
    for cell, live in cells.items():
        used = [entry for entry in held[cell] if found.warm(entry)]
        quota = found.subset.index.cells[cell].quota if live else 0
        assert len({entry.zone for entry in used}) >= min(
            2, len({entry.zone for entry in warm[cell]})
        ), "S2"
        assert not warm[cell] or min(tier(entry.zone) for entry in used) == min(
            tier(entry.zone) for entry in warm[cell]
        ), "S3"
        assert len(used) <= quota and len(held[cell]) <= 2 * quota, "S9"
        for entry in held[cell]:
            share = 1.0 if entry.sharers == count else min(1.0, 2.0 * quota / len(live))
            cold = not found.warm(entry)
            assert not cold or uniform_hash(settings_.identity, entry.server) > 1 - share, "S8"
            assert entry.sharers >= count * share * (1 - 1e-9) if cold else entry.sharers == 0, "S8"


@given(FLEETS, SHAPES)
def test_subset_of_any_fleet_keeps_the_invariants(
    fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    found = Follower(cells=CELLS, **shape).take(FULL, fleet).finish()
    check(found)
    found.at(NOW + 6.0)  # some are warm by now
    check(found)
    check(found.at(NOW + 60.0))
    assert found.subset.next_warm_up() is None
    for entry in fleet:
        reason = explain(found.subset, entry.server, found.now)
        assert reason is not None and reason.held == (entry.server in found.view) and reason.word


@settings(max_examples=200)
@given(st.data(), FLEETS, SHAPES)
def test_subset_is_a_function_of_the_list_for_any_history(
    data: st.DataObject, fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    """S4: as after a restart, however the list came, whatever was on it before and wherever work stopped."""
    straight = Follower(cells=CELLS, **shape).take(FULL, fleet).at(NOW + 7.0)
    found = Follower(cells=CELLS, **shape)
    for _ in range(data.draw(st.integers(0, 4))):
        found.take(data.draw(st.sampled_from([FULL, CHANGES])), data.draw(ANY))
        for _ in range(data.draw(st.integers(0, 8))):
            found.advance()
        if data.draw(st.booleans()):
            found.subset.set_instances(data.draw(st.sampled_from([1, 30, 6600])))
    order = data.draw(st.permutations(fleet))
    cut = data.draw(st.integers(0, len(order)))
    found.now = data.draw(st.sampled_from([NOW, NOW + 7.0]))
    found.subset.set_instances(shape["instances"])
    if data.draw(st.booleans()):
        found.take(FULL, order[:cut])
    else:
        found.take(CHANGES, [replace(entry, state=GONE) for entry in found.truth.values()])
        found.take(CHANGES, order[:cut])
    for _ in range(data.draw(st.integers(0, 4))):
        found.advance()
    found.take(CHANGES, order[cut:]).at(NOW + 7.0)
    # What drains stays with those that held it, until it is gone.
    assert {entry for entry in found.view.values() if entry.state is LIVE} == set(
        straight.view.values()
    )


@settings(max_examples=300)
@given(st.data(), SHAPES)
def test_interleaved_lists_never_restore_an_older_entry(
    data: st.DataObject, shape: dict[str, Any]
) -> None:
    """S7, rule 3: the follower holds every event to the newest list that is read."""
    found = Follower(cells=2, **shape)
    for _ in range(data.draw(st.integers(1, 8))):
        kind = data.draw(st.sampled_from([FULL, CHANGES, CHANGES]))
        found.take(kind, [replace(entry, cell=entry.cell % 2) for entry in data.draw(ANY)])
        for _ in range(data.draw(st.integers(0, 6))):
            found.advance()
        found.now += data.draw(st.sampled_from([0.0, 0.0, 3.0]))
    check(found.finish())


@given(st.data(), FLEETS, SHAPES)
def test_change_of_one_node_affects_only_its_cell_and_those_beside(
    data: st.DataObject, fleet: list[ServerEntry], shape: dict[str, Any]
) -> None:
    """S5. Four cells of four: with a reach of one, one cell."""
    found = Follower(cells=CELLS, **shape).take(FULL, fleet).finish()
    before = dict(found.view)
    one = data.draw(entries((LIVE, DRAINING, GONE)))
    old = found.truth.get(one.server)
    found.take(CHANGES, [one]).finish()
    near = {
        (cell + step) % CELLS
        for cell in {one.cell, old.cell if old else one.cell}
        for step in range(1 - shape["reach"], shape["reach"])
    }
    changed = {entry.cell for entry in set(before.values()) ^ set(found.view.values())}
    assert changed <= near
    assert {each.cell for each in found.subset.changes} >= {
        found.truth[server].cell for server in set(before) ^ set(found.view) if server != one.server
    }


def test_one_broker_less_changes_at_most_two_percent_of_entries() -> None:
    """S5, S6: only by the count, and by it only rounding."""
    fleet = [node(f"n{number}", number % 40, zone="abc"[number % 3]) for number in range(40 * 62)]
    changed = total = 0
    for broker in range(20):
        found = (
            Follower(6600, cells=40, identity=f"b{broker}", holders=700.0)
            .take(FULL, fleet)
            .finish()
        )
        before = found.names()
        found.subset.set_instances(6599)
        changed += len(before ^ found.finish().names())
        total += len(before)
    assert changed <= 0.02 * total


def test_brokers_per_node_are_binomial_around_the_mean() -> None:
    """S6 at 2,000 brokers of one zone and one cell: no node is over 1 + 4.5 / root of the mean."""
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


def drains(entry: ServerEntry) -> ServerEntry:
    return replace(entry, state=DRAINING)


def preferred(found: Follower, cell: int = 0) -> list[str]:
    return [entry.server for entry in found.subset.index.cells[cell].ranked]


def test_draining_node_is_emitted_with_its_replacement_before_a_long_list_is_indexed() -> None:
    found = Follower(cells=580).take(FULL, CELL).finish()
    first = preferred(found)[0]
    found.take(FULL, CELL + [node(f"m{number}", number % 579 + 1) for number in range(36_000)])
    found.advance()
    found.take(CHANGES, [drains(found.truth[first])])
    found.events.clear()
    for _ in range(
        40
    ):  # to read 36 slices of the long list and the short one, to search, and one urgent unit
        found.advance()
    assert found.subset.intake.pending is not None and [
        each.server for each in found.events[0].entries
    ] == [preferred(found)[4], first]
    assert found.view[first].state is DRAINING


@pytest.mark.parametrize("kind", [FULL, CHANGES])
def test_node_that_drains_by_an_unindexed_list_is_no_replacement(kind: ListKind) -> None:
    """It was the next by preference, and its own word was further back in the list than a unit of work goes."""
    found = Follower().take(FULL, CELL).finish()
    first, fifth = preferred(found)[0], preferred(found)[4]
    words = [node(f"m{number}", state=DRAINING) for number in range(100)]
    ends = [drains(found.truth[first]), drains(found.truth[fifth])]
    rest = [entry for entry in CELL if entry.server not in (first, fifth)] if kind is FULL else []
    found.take(kind, words + ends + rest)
    found.events.clear()
    found.finish()
    assert fifth not in {entry.server for event in found.events for entry in event.entries}


def test_restarted_node_is_no_longer_treated_as_warm() -> None:
    """Else it gets a warm node's share until a long list is taken in, while it is cold."""
    found = Follower(cells=580).take(FULL, CELL).finish()
    first = preferred(found)[0]
    found.take(
        FULL,
        [node(f"m{number}", number % 579 + 1) for number in range(36_000)]
        + [replace(entry, up_since=NOW - 0.1 if entry.server == first else 0.0) for entry in CELL],
    )
    while found.subset.intake.has_unread or found.subset.uncompared_cells:
        found.advance()
    found.advance()
    assert found.subset.intake.pending is not None and (
        first not in found.view or found.view[first].sharers > 0
    )
    assert len(found.view) >= 4


@pytest.mark.parametrize(("old", "new"), [(1, 0), (0, 1)])
def test_node_that_moves_to_another_cell_is_not_emitted_as_gone(old: int, new: int) -> None:
    found = Follower(cells=2).take(FULL, [node("x", old), node("y", 0), node("z", 1)]).finish()
    found.take(CHANGES, [node("x", new)]).finish()
    assert found.view["x"].cell == new and len(found.view) == 3


def test_shard_with_one_cell_in_slow_start_is_served_by_its_other_cell() -> None:
    cold = [node(f"c{number}", 0, up_since=NOW - 1.0) for number in range(10)]
    warm = [node(f"w{number}", 1 + number % 2) for number in range(20)]
    found = Follower(cells=3, reach=2).take(FULL, cold + warm).finish()
    assert Counter(entry.cell for entry in found.view.values() if not entry.up_since) == {
        1: 4,
        2: 4,
    }
    found.at(NOW + COLD_TIME)
    assert Counter(entry.cell for entry in found.view.values()) == {0: 2, 1: 2, 2: 2}


def test_nodes_in_slow_start_are_bounded_by_quota_and_rank() -> None:
    """S9. Of 30, eight may be sent to in the mean."""
    cold = [node(f"c{number}", up_since=NOW - 1.0) for number in range(30)]
    for broker in range(30):
        found = Follower(identity=f"b{broker}").take(FULL, cold).finish()
        assert len(found.view) <= 4
        mixed = Follower(identity=f"b{broker}").take(FULL, cold + CELL).finish()
        last = max(
            preferred(mixed).index(server) for server in mixed.view if server.startswith("n")
        )
        assert sum(server.startswith("n") for server in mixed.view) == 4
        assert all(preferred(mixed).index(server) <= last for server in mixed.view)


def test_neighbouring_cell_gives_more_nodes_until_slow_start_ends() -> None:
    fleet = (
        [node(f"c{number}", 0, up_since=NOW - 1.0) for number in range(9)]
        + [node(f"w{number}", 1) for number in range(9)]
        + [node(f"v{number}", 2) for number in range(9)]
    )
    found = Follower(cells=3, reach=2).take(FULL, fleet).finish()
    assert sum(found.warm(entry) and entry.cell == 1 for entry in found.view.values()) == 4
    found.at(NOW + COLD_TIME)
    assert Counter(entry.cell for entry in found.view.values()) == {0: 2, 1: 2, 2: 2}


@pytest.mark.parametrize("fleet", [[], CELL[:1], [drains(entry) for entry in CELL]])
def test_first_list_is_emitted_even_if_nothing_is_selected(fleet: list[ServerEntry]) -> None:
    found = Follower().take(FULL, fleet).finish()
    assert [event.kind for event in found.events] == [FULL]
    assert found.names() == {entry.server for entry in fleet if entry.state is LIVE}
    found.take(FULL, CELL).finish()
    assert len(found.view) == 4 and found.events[-1].kind is CHANGES
    found.take(FULL, []).finish()
    assert not found.view and not found.subset.index.entries


def test_failed_event_is_emitted_at_once_and_changes_nothing() -> None:
    found = Follower().take(FULL, CELL).finish()
    held = found.names()
    found.subset.on_watch_event(type(found.events[0])(ListKind.FAILED))
    assert [event.kind for event in found.subset.events] == [
        ListKind.FAILED
    ] and not found.subset.has_work
    assert found.names() == held


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
    found = Follower(cells=2, own=frozenset({"me"})).take(FULL, fleet).finish()
    assert found.view == {"x": fleet[-1]} and found.subset.left_out == 3
    found.take(CHANGES, [node("x", 9)]).finish()  # an entry that was right before
    assert not found.view


@pytest.mark.parametrize("size", [math.nan, math.inf, -math.inf, 0.0, -3.0, 1e300, 5e-324])
def test_absurd_sizes_and_start_times_are_tolerated(size: float) -> None:
    fleet = [replace(entry, size=size, up_since=size) for entry in CELL[:10]] + CELL[10:]
    found = Follower(holders=8.0).take(FULL, fleet).finish()
    held = found.names()
    assert len(held) >= 4
    found.events.clear()
    for _ in range(3):
        found.take(FULL, list(fleet)).finish()
    assert not found.events and found.names() == held


@pytest.mark.parametrize("count", [-5, 0, 1, 10**9, 10**30])
def test_absurd_counts_of_brokers_are_clamped(count: int) -> None:
    found = (
        Follower(30, holders=8.0)
        .take(FULL, [replace(CELL[0], up_since=NOW - 1.0), *CELL[1:]])
        .finish()
    )
    found.subset.set_instances(count)
    found.finish()
    check(found)
    assert len(found.view) == (20 if count <= 1 else len(found.view)) and len(found.view) >= 4


def test_size_above_the_number_of_nodes_selects_all() -> None:
    found = Follower(cells=3, size=1000).take(FULL, [*CELL, node("one", 2)]).finish()
    assert len(found.view) == 21 and 1 not in found.subset.index.cells


def test_start_times_far_ahead_do_not_grow_the_schedule() -> None:
    """Each of its comings left an entry that never came due."""
    found = Follower(cells=2)
    for round_ in range(200):
        found.take(FULL, [*CELL, node("x", up_since=1e9)] if round_ % 2 else CELL).finish()
    assert len(found.subset.warm_ups) <= 8


# --- bounds


def calls_of_units(found: Follower) -> list[int]:
    """Function calls of each unit of work until all is done: its length without a clock."""
    counts = []

    def count(frame: object, event: str, argument: object) -> None:
        counts[-1] += event in ("call", "c_call")

    more = True
    while more:
        counts.append(0)
        sys.setprofile(count)
        try:
            more = found.subset.advance(found.now)
        finally:
            sys.setprofile(None)
    return counts


def test_unit_of_work_does_not_grow_with_the_list() -> None:
    """36,000 nodes and 100,000 in cells of 62: taken in, the same again, a tenth gone."""
    worst = []
    for nodes in (36_000, 100_000):
        cells = nodes // 62
        fleet = [
            node(f"n{number}", number % cells, zone="abcdefghijklm"[number // cells % 13])
            for number in range(nodes)
        ]
        found = Follower(cells=cells)
        for entries_ in (fleet, list(fleet), fleet[nodes // 10 :]):
            found.take(FULL, entries_)
            worst.append(max(calls_of_units(found)))
            events, found.subset.events = found.subset.events, []
            assert max((len(event.entries) for event in events), default=0) < MAX_EVENT_ENTRIES + 16
    assert max(worst) < 10_000 and max(worst[3:]) < 1.2 * max(worst[:3])
