"""The model of what a subset costs: the same by seed, its queries and lists as the rules have them."""

from __future__ import annotations

import pytest

from stepknot.decisions import Aggregator
from stepknot.decisions.records import Capsule
from stepknot.interface import ListKind, ListReceived, ServerState
from stepknot.simulation.subset_cost import BEGAN, SCENARIOS, Fleet, Variant, World, play

pytestmark = pytest.mark.cpu_only

SMALL = Fleet(
    brokers=6, shards=4, replicas=8, seconds=3.6
)  # drained nodes are told of at 2.0 s and gone at 3.5 s
WHOLE, SUBSET = Variant(0), Variant(3, near=8.0)


def live_by_cell(module: Aggregator) -> dict[int, list[Capsule]]:
    """What a module selects from; each shard is held by one cell here."""
    found: dict[int, list[Capsule]] = {}
    for capsule in module.capsules.values():
        if capsule.entry.state is ServerState.LIVE:
            found.setdefault(capsule.entry.cell, []).append(capsule)
    for cell, capsules in found.items():
        assert module.endpoints.replicas(cell) == capsules
    return found


@pytest.mark.parametrize("variant", [WHOLE, SUBSET], ids=lambda each: each.name)
def test_a_seed_gives_the_same_run_and_another_seed_another(variant: Variant) -> None:
    small = Fleet(brokers=4, shards=4, replicas=6, seconds=0.5)
    first = play("zone lost", variant, 1, small)
    assert first == play("zone lost", variant, 1, small)
    assert first != play("zone lost", variant, 2, small)


def test_all_lists_get_the_same_queries_with_the_same_work() -> None:
    small = Fleet(brokers=4, shards=4, replicas=6, seconds=0.5)
    worlds = [World("burst", variant, 1, small) for variant in (WHOLE, SUBSET)]
    for world in worlds:
        world.run()
    one, other = (
        [(part.query.arrived, part.query.kind.name, part.work) for part in world.parts.values()]
        for world in worlds
    )
    assert one == other and len(one) > 100


@pytest.mark.parametrize("variant", [WHOLE, SUBSET], ids=lambda each: each.name)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_every_query_gets_one_final_answer_and_no_part_goes_where_it_must_not(
    scenario: str, variant: Variant
) -> None:
    world = World(scenario, variant, 1, SMALL)
    world.run()
    assert {query.finals for query in world.queries.values()} == {1}
    assert world.counts.late_sends == 0
    assert not any(broker.jobs for broker in world.brokers)
    assert (
        world.counts.answered + world.counts.refused + world.counts.failed
        == world.counts.queries
        > 1000
    )


def test_a_subset_holds_exactly_its_size_of_each_shard_and_told_the_module_no_more() -> None:
    world = World("calm", SUBSET, 1, SMALL)
    world.now = BEGAN
    entries = tuple(node.entry for node in world.nodes.values())
    for broker in world.brokers:
        broker.take_list(ListReceived(ListKind.FULL, entries))
        assert {cell: len(each) for cell, each in live_by_cell(broker.module).items()} == {
            0: 3,
            1: 3,
            2: 3,
            3: 3,
        }


def test_a_cold_node_that_gets_more_than_it_bears_falls_and_one_that_gets_less_does_not() -> None:
    for sent, falls in ((5, 0), (7, 1)):  # of 0.1 s, where 3 x 0.2 s within a second is borne
        world = World("calm", WHOLE, 1, SMALL)
        node = world.nodes["n0-0"]
        world.bring_back([node])
        for _ in range(sent):
            node.check_fall(0.1)
        assert (world.counts.falls, node.up) == (falls, not falls)
        assert node.entry.state is ServerState.LIVE  # the list tells of it later


def test_a_lost_zone_is_told_of_and_comes_back_cold_on_every_list() -> None:
    """Its nodes leave each subset within detection and spread; once they are warm each list is as it was."""
    world = World("zone lost", SUBSET, 1, SMALL)
    lost = {server for server, node in world.nodes.items() if node.entry.zone == "z1"}
    cells = {}
    for passed in (0.9, 1.65, 6.25):  # before, gone for 0.65 s, warm for 0.25 s
        world.end = world.begin + passed - 0.8  # a run goes on for two deadlines past its end
        world.run()
        cells[passed] = [
            {
                capsule.entry.server
                for each in live_by_cell(broker.module).values()
                for capsule in each
            }
            for broker in world.brokers
        ]
    assert all(each & lost for each in cells[0.9]) and not any(each & lost for each in cells[1.65])
    assert cells[6.25] == cells[0.9]
    assert all(
        capsule.entry.sharers == 0.0
        for broker in world.brokers
        for each in live_by_cell(broker.module).values()
        for capsule in each
    )
