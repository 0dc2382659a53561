"""The model of bounded subsets and the other ways, at a size that a test bears."""

from __future__ import annotations

from collections import Counter

import pytest

from stepknot.simulation.subset_baselines import WAYS, rendezvous
from stepknot.simulation.subset_model import (
    ONE_BACK,
    ONE_GOES,
    Fleet,
    cold_cell,
    measure,
    troubles,
    views,
)

pytestmark = pytest.mark.cpu_only

NAMES = [f"n{number}" for number in range(62)]


@pytest.mark.parametrize("name", WAYS)
def test_each_way_gives_a_subset_of_its_size_and_the_same_again(name: str) -> None:
    way = WAYS[name]
    found = [way(broker, 620, NAMES, 4) for broker in range(620)]
    wanted = {"whole list": {62}, "aperture": {4, 5}}.get(name, {4})
    assert {len(each) for each in found} <= wanted
    assert found == [way(broker, 620, NAMES, 4) for broker in range(620)]
    counts = Counter(server for each in found for server in each)
    assert len(counts) >= 60 and max(counts.values()) < 2 * 620 * max(wanted) / 62


def test_the_shipped_choice_with_no_zones_is_plain_rendezvous() -> None:
    """But for the one of another zone, which a fleet of one zone has not."""
    fleet = Fleet(brokers=40, holders=1.0, near=1.0, regions=((0,),))
    names = [entry.server for entry in fleet.entries(3)]
    assert views(fleet.subsets(3)) == [rendezvous(broker, 40, names, 4) for broker in range(40)]


def test_zones_stand_evenly_and_a_node_that_comes_back_is_held_by_those_that_held_it() -> None:
    fleet = Fleet(brokers=300, holders=24.0, cells=4)
    entries = [entry for cell in range(4) for entry in fleet.entries(cell)]
    of_zone = Counter(entry.zone for entry in entries)
    assert (
        max(of_zone.values()) - min(of_zone.values()) <= 1
        and len({entry.server for entry in entries}) == 248
    )
    found = troubles(fleet, 1)
    assert found.changes[ONE_GOES] == found.changes[ONE_BACK] < 4 * 24
    held = measure(fleet.entries(1), fleet.subsets(1))
    assert (
        sum(held.counts.values()) == held.total == sum(held.near)
        and abs(sum(held.loads.values()) - 300) < 1e-6
    )


@pytest.mark.parametrize("mixed", [False, True])
def test_what_is_used_of_a_cold_nodes_budget_is_less_than_what_may_be(mixed: bool) -> None:
    found = cold_cell(Fleet(brokers=600, holders=24.0), 5, all_=True, mixed=mixed)
    assert all(0 < used <= may < 1.25 for used, may in zip(found.used, found.may, strict=True))
    assert sum(found.used) > 1.5 * sum(found.by_all)
