"""The subset on a loop: sliced work, draining nodes first, the full list after a defect, log events and answers.

The clock advances by a tenth of a millisecond each time it is read, so that work has a duration and runs are
repeatable. Entries come in as the source of a list hands them to `DrainedEndpoints`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from stepknot.broker.subset_change_log import MAX_LOGGED_CELLS
from stepknot.broker.subset_driver import MAX_EVENT_ENTRIES, MAX_SLICE_SECONDS, SubsetDriver
from stepknot.cli.serve import make
from stepknot.config.settings import load
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import (
    InstancesCounted,
    Limits,
    ListKind,
    ListReceived,
    Rules,
    ServerEntry,
    ServerState,
    Settings,
)
from stepknot.net.loop import Loop
from stepknot.simulation.fleet import free_ports, settings_text
from stepknot.subsets.model import SubsetSettings

STEP = 0.0001  # seconds for which each look at the clock takes
COLD_TIME = 5.0
ZONES = "abcde"
TURN = 0.005  # seconds for which queries may wait
FLEET = Settings(100, 40, 1, 16, {}, Rules(1.0, 0.2, COLD_TIME, 4.0, 1.0), Limits(3))
OWN = SubsetSettings("b0", size=3, holders=1.0, zone="a", own=frozenset({"127.0.0.1:9200"}))


@dataclass
class World:
    """A subset between a list and a core; the core's side is what `taken` holds, node by node as it would keep it."""

    settings: SubsetSettings = OWN
    fleet: Settings = FLEET
    now: float = 1000.0
    taken: list[ListReceived] = field(default_factory=list)
    turns: list[int] = field(default_factory=list)  # of the loop, at which each of these came
    told: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    errors: list[BaseException] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.loop = Loop(self.clock, on_error=lambda name, error: self.errors.append(error))
        self.listed = DrainedEndpoints(self.take)
        self.own = SubsetDriver(
            self.loop,
            self.settings,
            self.fleet,
            self.listed,
            self.take,
            lambda event, **fields: self.told.append((event, fields)),
        )
        self.listed.on_list = self.own.on_watch_event

    def clock(self) -> float:
        self.now += STEP
        return self.now

    def take(self, event: ListReceived) -> None:
        self.taken.append(event)
        self.turns.append(self.loop.turns)

    def core(self) -> dict[str, ServerEntry]:
        """What a core holds after all that was handed to it."""
        found: dict[str, ServerEntry] = {}
        for event in self.taken:
            if event.kind is not ListKind.CHANGES:
                found = {}
            for entry in event.entries:
                if entry.state is ServerState.GONE:
                    found.pop(entry.server, None)
                else:
                    found[entry.server] = entry
        return found

    def full(self, entries: Iterable[ServerEntry]) -> None:
        self.listed.receive_list(ListReceived(ListKind.FULL, tuple(entries)))

    def change(self, *entries: ServerEntry) -> None:
        self.listed.receive_list(ListReceived(ListKind.CHANGES, entries))

    def turn(self) -> None:
        self.loop.again = True  # the poll waits by the machine's clock: it need not
        self.loop.turn()

    def until(self, what: Callable[[], bool], within: int = 10_000) -> int:
        """Turns until it is so."""
        for count in range(within):
            if what():
                return count
            self.turn()
        raise AssertionError("it did not come to that")

    def settle(self) -> None:
        self.until(lambda: self.own.slice_timer is None)

    def names(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.told if name == event]


def nodes(cells: int = 40, each: int = 10, up_since: float = 0.0) -> list[ServerEntry]:
    return [
        ServerEntry(
            f"n{cell}.{number}", ZONES[number % 5], cell, ServerState.LIVE, up_since=up_since
        )
        for cell in range(cells)
        for number in range(each)
    ]


def other(each: int = 10) -> list[ServerEntry]:
    """A list that has nothing in common with `nodes`."""
    return [replace(entry, server=f"x{entry.server}") for entry in nodes(each=each)]


@pytest.fixture
def world() -> World:
    found = World()
    found.full(nodes())
    found.turn()
    return found


def test_first_snapshot_is_one_event_before_the_first_turn() -> None:
    world = World()
    world.full(nodes())
    assert world.turns == [0] and world.taken[0].kind is ListKind.FULL
    assert len(world.core()) == 40 * 3 and not world.own.subset.has_work


def test_first_snapshot_after_the_first_turn_is_handed_over_in_slices() -> None:
    world = World()
    world.turn()
    world.full(nodes())
    world.settle()
    assert [event.kind for event in world.taken] == [ListKind.FULL] + [ListKind.CHANGES] * (
        len(world.taken) - 1
    )
    assert len(world.core()) == 40 * 3 and len(world.taken) > 1


def test_subset_is_the_same_for_a_snapshot_and_for_single_changes(world: World) -> None:
    bits = World()
    bits.turn()
    for entry in reversed(nodes()):
        bits.change(entry)
    bits.settle()
    assert bits.core() == world.core()


def test_long_list_is_processed_in_slices_within_the_turn_bound(world: World) -> None:
    world.loop.lag_most, fired, since = 0.0, [], world.loop.turns
    world.loop.call_later(3 * MAX_SLICE_SECONDS, lambda: fired.append(world.loop.turns))
    world.change(*(replace(entry, state=ServerState.GONE) for entry in nodes()), *other())
    world.settle()
    assert set(world.core()) < {entry.server for entry in other()} and len(world.core()) == 40 * 3
    assert world.loop.lag_most < TURN and world.own.longest_slice < TURN
    assert world.loop.turns - since > 10 and fired[0] - since < 5
    assert max(len(event.entries) for event in world.taken[1:]) <= MAX_EVENT_ENTRIES
    assert len(set(world.turns)) == len(world.turns), "two events in one turn"


def test_draining_node_is_handed_over_before_a_long_list_is_indexed(
    world: World,
) -> None:
    held = next(iter(world.core().values()))
    world.change(*other(each=200))
    world.turn()
    world.listed.set_drained([held.server])
    turns = world.until(lambda: world.core()[held.server].state is ServerState.DRAINING)
    assert turns <= 4 and len(world.own.subset.intake.pending.unindexed) > 7000, (
        "the long list is hardly begun"
    )
    replacing = [
        entry
        for entry in world.core().values()
        if entry.cell == held.cell and entry.state is ServerState.LIVE
    ]
    assert len(replacing) == 3
    world.settle()


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL])
def test_replacement_is_never_gone_or_draining_by_the_same_list(
    world: World, kind: ListKind
) -> None:
    """A zone is lost: the best replacements of its nodes are of the same zone."""
    lost = {entry.server for entry in nodes() if entry.zone == "a"}
    if kind is ListKind.FULL:
        world.full(entry for entry in nodes() if entry.server not in lost)
    else:
        states = (ServerState.DRAINING, ServerState.GONE)
        world.change(
            *(
                replace(entry, state=states[place % 2])
                for place, entry in enumerate(nodes())
                if entry.server in lost
            )
        )
    world.settle()
    entered = {
        entry.server
        for event in world.taken[1:]
        for entry in event.entries
        if entry.state is ServerState.LIVE
    }
    assert entered and not entered & lost
    assert sum(entry.state is ServerState.LIVE for entry in world.core().values()) == 40 * 3


def test_gone_node_is_handed_over_after_its_replacement(world: World) -> None:
    held = next(iter(world.core().values()))
    world.change(replace(held, state=ServerState.GONE))
    world.settle()
    (event,) = world.taken[1:]
    assert [entry.state for entry in event.entries] == [ServerState.LIVE, ServerState.GONE]
    assert event.entries[1].server == held.server and len(world.core()) == 40 * 3


def test_failed_list_is_handed_over_at_once_and_changes_nothing(world: World) -> None:
    before = world.core()
    world.listed.receive_list(ListReceived(ListKind.FAILED))
    assert world.taken[-1].kind is ListKind.FAILED and world.own.slice_timer is None
    world.taken.pop()
    assert world.core() == before


def test_slow_start_ends_at_its_time_without_a_list(world: World) -> None:
    world.full(replace(entry, up_since=world.now) for entry in nodes())
    world.settle()
    cold = [entry for entry in world.core().values() if entry.sharers]
    assert cold and world.own.warm_up_timer is not None
    world.now += COLD_TIME + 0.1
    world.until(lambda: not any(entry.sharers for entry in world.core().values()))
    world.settle()
    assert len(world.core()) == 40 * 3 and world.own.warm_up_timer is None


def test_count_of_brokers_determines_subset_size(world: World) -> None:
    world = World(replace(OWN, holders=50.0))  # of 100 brokers: half of the list
    world.full(nodes())
    world.turn()
    assert len(world.core()) == 40 * 5
    world.own.set_instances(50)
    world.settle()
    assert len(world.core()) == 40 * 10
    world.own.set_instances(1000)
    world.settle()
    assert len(world.core()) == 40 * 3
    assert {row["cause"] for row in world.names("subset_changed") if "cause" in row} <= {
        "the list",
        "the count of brokers",
    }


@pytest.mark.parametrize("seed", range(6))
def test_random_history_leads_to_the_subset_of_a_fresh_broker(
    seed: int,
) -> None:
    """Lists of changes, whole ones, drains by the ledger and counts come while others are still taken in."""
    chance = random.Random(seed)
    world = World(replace(OWN, holders=30.0))
    world.full(nodes())
    for _ in range(60):
        world.turn()
        some = chance.sample(nodes(), chance.choice([1, 5, 100]))
        what = chance.randrange(5)
        if what < 2:
            state = chance.choice(
                [ServerState.LIVE, ServerState.LIVE, ServerState.DRAINING, ServerState.GONE]
            )
            since = chance.choice([0.0, world.now - COLD_TIME / 2, world.now])
            world.change(*(replace(entry, state=state, up_since=since) for entry in some))
        elif what == 2:
            world.listed.set_drained(entry.server for entry in some)
        elif what == 3:
            world.own.set_instances(chance.choice([40, 100, 300]))
        else:
            world.full(world.listed.entries.values())
    world.own.set_instances(FLEET.instances)
    world.settle()
    fresh = World(replace(OWN, holders=30.0), now=world.now)
    fresh.listed.drained = world.listed.drained
    fresh.full(world.listed.entries.values())
    assert not world.own.fault and live(world) == live(fresh)
    for each in (world, fresh):
        each.now += COLD_TIME + 0.1
        each.until(
            lambda each=each: (
                each.own.slice_timer is None
                and not any(  # type: ignore[misc]
                    entry.sharers for entry in each.core().values()
                )
            )
        )
    assert live(world) == live(fresh)


def live(world: World) -> dict[str, float]:
    """The nodes that new parts may go to, and by how many brokers the budget of each is divided."""
    return {
        server: entry.sharers
        for server, entry in world.core().items()
        if entry.state is ServerState.LIVE
    }


# --- a defect of the subset's own


def broken(entry: ServerEntry) -> ServerEntry:
    """No source hands out such a thing; it stands for a defect at any place behind."""
    return replace(entry, server="broken", size="large")  # type: ignore[arg-type]


def everything(world: World) -> dict[str, ServerEntry]:
    return {
        server: world.listed.mark_drained(entry) for server, entry in world.listed.entries.items()
    }


def test_core_has_the_full_list_after_a_defect(world: World) -> None:
    world.change(*(replace(entry, up_since=world.now) for entry in nodes()[:200]))
    world.settle()
    assert any(entry.sharers for entry in world.core().values())
    world.change(replace(nodes()[3], state=ServerState.DRAINING), broken(nodes()[0]))
    world.until(lambda: bool(world.own.fault))
    assert (
        world.taken[-1].kind is ListKind.FULL
        and world.core() == everything(world)
        and len(world.core()) == 401
    )
    assert not any(entry.sharers for entry in world.core().values())
    assert world.core()["n0.3"].state is ServerState.DRAINING
    (told,) = world.names("subset_disabled")
    assert "TypeError" in told["reason"] and told["nodes"] == 401 and len(world.errors) == 1
    world.change(*other(), replace(nodes()[7], state=ServerState.GONE))
    world.listed.set_drained(["n1.1"])
    world.own.set_instances(3)
    for _ in range(10):
        world.turn()
    assert world.core() == everything(world) and len(world.core()) == 800
    assert world.core()["n1.1"].state is ServerState.DRAINING
    assert len(world.names("subset_disabled")) == 1 and len(world.errors) == 1


def test_defect_on_the_first_or_a_later_list_falls_back_to_the_full_list() -> None:
    world = World()
    world.full([*nodes(), broken(nodes()[0])])
    assert world.own.fault and world.core() == everything(world) and world.turns == [0]
    world = World()
    world.full(nodes())
    world.turn()
    world.own.subset.intake = None  # type: ignore[assignment]
    world.change(replace(next(iter(world.core().values())), state=ServerState.DRAINING))
    assert world.own.fault and world.core() == everything(world) and len(world.core()) == 400


def test_pending_events_are_dropped_after_falling_back(
    world: World,
) -> None:
    world.change(*(replace(entry, state=ServerState.GONE) for entry in nodes()[100:]), *other())
    world.until(lambda: len(world.own.outgoing) > 1)
    world.own.fall_back(RuntimeError("planted"))
    for _ in range(50):
        world.turn()
    assert world.core() == everything(world) and world.taken[-1].kind is ListKind.FULL


def test_defect_is_shown_in_answer_and_metrics(world: World) -> None:
    assert {metric.name for metric in world.own.collect()} >= {
        "stepknot_subset_held",
        "stepknot_subset_off",
    }
    world.own.fall_back(RuntimeError("planted"))
    (off,) = world.own.collect()
    assert off.samples[0].value == 1
    assert survey(world)["off"] == "RuntimeError: planted" and world.own.explain("n0.0") is None


# --- what is told


def survey(world: World, with_held: bool = False) -> dict[str, Any]:
    task = world.loop.spawn(world.own.report(with_held))
    world.until(lambda: task.done)
    assert task.error is None
    found: dict[str, Any] = task.result
    return found


def test_few_changes_are_logged_one_by_one_and_many_in_one_event(world: World) -> None:
    (first,) = world.names("subset_changed")
    assert (
        first["cells"] == 40
        and first["causes"] == {"the list": 40}
        and first["entered_count"] == 120
    )
    assert len(first["first_cells"]) == MAX_LOGGED_CELLS
    world.told.clear()
    held = next(iter(world.core().values()))
    world.change(replace(held, state=ServerState.GONE))
    world.settle()
    (told,) = world.names("subset_changed")
    assert (
        told["cell"] == held.cell and told["cause"] == "the list" and told["left"] == [held.server]
    )
    assert told["entered_count"] == told["left_count"] == 1 and told["quota"] == 3
    world.told.clear()
    world.change(*(replace(entry, state=ServerState.GONE) for entry in world.core().values()))
    world.settle()
    (told,) = world.names("subset_changed")
    assert told["cells"] == 40 and told["left_count"] == 120


def test_own_address_on_the_list_is_logged_once_and_ignored(world: World) -> None:
    own = ServerEntry("127.0.0.1:9200", "a", 0, ServerState.LIVE)
    world.change(own)
    world.change(replace(own, zone="b"))
    world.settle()
    (told,) = world.names("own_address_listed")
    assert told["addresses"] == ["127.0.0.1:9200"] and world.own.subset.left_out == 2
    assert "127.0.0.1:9200" not in world.core()
    world.own.fall_back(RuntimeError("planted"))
    assert "127.0.0.1:9200" not in world.core()


def test_answer_shows_zones_quotas_nodes_and_reasons(world: World) -> None:
    world.change(*(replace(entry, up_since=world.now) for entry in nodes() if entry.zone == "b"))
    world.settle()
    found = survey(world, with_held=True)
    assert [(row.zone, row.tier, row.listed) for row in found["zones"]] == [
        (zone, int(zone != "a"), 80) for zone in ZONES
    ]
    assert {row.server for row in found["held"]} == set(world.core()) and found[
        "quota_greatest"
    ] == 3
    assert sum(row.warm for row in found["zones"]) == 40 * 3
    assert sum(row.cold for row in found["zones"]) == sum(
        entry.sharers > 0 for entry in world.core().values()
    )
    why = world.own.explain(next(iter(world.core())))
    assert why is not None and why["held"] and world.own.explain("nobody") is None
    assert "held" not in survey(world)


def test_metrics_have_bounded_labels_and_correct_counts(world: World) -> None:
    rows = {
        (sample.name, *sample.labels.values()): sample.value
        for metric in world.own.collect()
        for sample in metric.samples
    }
    assert rows["stepknot_subset_listed",] == rows["stepknot_subset_live",] == 400
    assert rows["stepknot_subset_held", "warm"] == 120 and rows["stepknot_subset_cells",] == 40
    assert rows["stepknot_subset_changes_total", "list"] == 40 and len(rows) < 30


# --- in a broker


def test_broker_has_its_subset_before_the_first_turn_and_follows_the_count(
    tmp_path: Path,
) -> None:
    """`holders` 2 of 4 brokers: half of ten replicas; of one broker all."""
    own, admin, graph = free_ports(3)
    rows = [
        {"address": f"10.0.{cell}.{number}:9200", "zone": ZONES[number % 5], "cell": cell}
        for cell in range(4)
        for number in range(10)
    ] + [{"address": f"127.0.0.1:{port}", "zone": "a", "cell": 0} for port in (own, admin, graph)]
    (tmp_path / "boxes.json").write_bytes(orjson.dumps({"boxes": rows}))
    (tmp_path / "broker.hcl").write_text(
        settings_text(
            port=own,
            admin=admin,
            graph=graph,
            instances=4,
            subset='subset {\n  identity = "b0"\n  holders = 2\n}\n',
        )
    )
    told: list[str] = []
    service = make(load(tmp_path / "broker.hcl"), lambda event, **fields: told.append(event))
    assert service.loop.turns == 0 and len(service.core.servers) == 4 * 5
    assert told.count("own_address_listed") == 1 and len(service.endpoints.entries) == 43
    service.loop.again = True
    service.loop.turn()
    service.set_instance_count(1)
    assert InstancesCounted(1) in service.core.pending_events
    while service.subsets is not None and service.subsets.slice_timer is not None:
        service.loop.turn()
    assert len(service.core.servers) == 40 and b"stepknot_subset_held" in service.metrics()
    for server in (service.server, service.graphql_server, service.admin):
        if server is not None:
            server.close()
