"""Tests of the subset's driver on a loop: sliced work, draining nodes first, the full list after a defect, log events.

The clock advances by a tenth of a millisecond each time it is read, so that work takes time and runs are repeatable.
Lists enter through `DrainedEndpoints`, as from a real source.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from stepknot.broker.service import Service
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
from stepknot.simulation.fleet import settings_text
from stepknot.simulation.ports import reserve_ports
from stepknot.subsets.model import SubsetSettings

CLOCK_STEP = 0.0001  # seconds by which the clock advances each time it is read
COLD_TIME = 5.0
ZONES = "abcde"
MAX_TURN_SECONDS = 0.005  # maximum time for which queries may wait
FLEET = Settings(100, 40, 1, 16, {}, Rules(1.0, 0.2, COLD_TIME, 4.0, 1.0), Limits(3))
OWN = SubsetSettings("b0", size=3, holders=1.0, zone="a", own=frozenset({"127.0.0.1:9200"}))


@dataclass
class Harness:
    """A subset driver between a source of lists and a core that records what it receives.

    Attributes:
        received: The events that the core received.
        turns: For each of these events, the number of the loop's turn in which it was received.
        logged: The log events and their fields.
    """

    settings: SubsetSettings = OWN
    fleet: Settings = FLEET
    now: float = 1000.0
    received: list[ListReceived] = field(default_factory=list)
    turns: list[int] = field(default_factory=list)
    logged: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    errors: list[BaseException] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.loop = Loop(self.clock, on_error=lambda name, error: self.errors.append(error))
        self.listed = DrainedEndpoints(self.take)
        self.driver = SubsetDriver(
            self.loop,
            self.settings,
            self.fleet,
            self.listed,
            self.take,
            lambda event, **fields: self.logged.append((event, fields)),
        )
        self.listed.on_list = self.driver.on_watch_event

    def clock(self) -> float:
        self.now += CLOCK_STEP
        return self.now

    def take(self, event: ListReceived) -> None:
        self.received.append(event)
        self.turns.append(self.loop.turns)

    def core(self) -> dict[str, ServerEntry]:
        """Return the entries of a core that has received all events."""
        entries: dict[str, ServerEntry] = {}
        for event in self.received:
            if event.kind is not ListKind.CHANGES:
                entries = {}
            for entry in event.entries:
                if entry.state is ServerState.GONE:
                    entries.pop(entry.server, None)
                else:
                    entries[entry.server] = entry
        return entries

    def full(self, entries: Iterable[ServerEntry]) -> None:
        self.listed.receive_list(ListReceived(ListKind.FULL, tuple(entries)))

    def change(self, *entries: ServerEntry) -> None:
        self.listed.receive_list(ListReceived(ListKind.CHANGES, entries))

    def turn(self) -> None:
        self.loop.again = True  # the loop does not wait for the machine's clock
        self.loop.turn()

    def until(self, condition: Callable[[], bool], max_turns: int = 10_000) -> int:
        """Run the loop until the condition holds; return the number of turns."""
        for count in range(max_turns):
            if condition():
                return count
            self.turn()
        raise AssertionError(f"the condition does not hold after {max_turns} turns of the loop")

    def settle(self) -> None:
        self.until(lambda: self.driver.slice_timer is None)

    def log_fields(self, event: str) -> list[dict[str, Any]]:
        return [fields for name, fields in self.logged if name == event]


def nodes(cells: int = 40, each: int = 10, up_since: float = 0.0) -> list[ServerEntry]:
    return [
        ServerEntry(
            f"n{cell}.{number}", ZONES[number % 5], cell, ServerState.LIVE, up_since=up_since
        )
        for cell in range(cells)
        for number in range(each)
    ]


def other_nodes(each: int = 10) -> list[ServerEntry]:
    """Return a list that has no node in common with `nodes`."""
    return [replace(entry, server=f"x{entry.server}") for entry in nodes(each=each)]


@pytest.fixture
def harness() -> Harness:
    harness = Harness()
    harness.full(nodes())
    harness.turn()
    return harness


def test_first_snapshot_is_one_event_before_the_first_turn() -> None:
    harness = Harness()
    harness.full(nodes())
    assert harness.turns == [0] and harness.received[0].kind is ListKind.FULL
    assert len(harness.core()) == 40 * 3 and not harness.driver.subset.has_work


def test_first_snapshot_after_the_first_turn_is_handed_over_in_slices() -> None:
    harness = Harness()
    harness.turn()
    harness.full(nodes())
    harness.settle()
    assert [event.kind for event in harness.received] == [ListKind.FULL] + [ListKind.CHANGES] * (
        len(harness.received) - 1
    )
    assert len(harness.core()) == 40 * 3 and len(harness.received) > 1


def test_subset_is_the_same_for_a_snapshot_and_for_single_changes(harness: Harness) -> None:
    stepwise = Harness()
    stepwise.turn()
    for entry in reversed(nodes()):
        stepwise.change(entry)
    stepwise.settle()
    assert stepwise.core() == harness.core()


def test_long_list_is_processed_in_slices_within_the_turn_bound(harness: Harness) -> None:
    harness.loop.lag_most, fired, since = 0.0, [], harness.loop.turns
    harness.loop.call_later(3 * MAX_SLICE_SECONDS, lambda: fired.append(harness.loop.turns))
    harness.change(*(replace(entry, state=ServerState.GONE) for entry in nodes()), *other_nodes())
    harness.settle()
    assert (
        set(harness.core()) < {entry.server for entry in other_nodes()}
        and len(harness.core()) == 40 * 3
    )
    assert (
        harness.loop.lag_most < MAX_TURN_SECONDS and harness.driver.longest_slice < MAX_TURN_SECONDS
    )
    assert harness.loop.turns - since > 10 and fired[0] - since < 5
    assert max(len(event.entries) for event in harness.received[1:]) <= MAX_EVENT_ENTRIES
    assert len(set(harness.turns)) == len(harness.turns), "two events in one turn"


def test_draining_node_is_handed_over_before_a_long_list_is_indexed(
    harness: Harness,
) -> None:
    held = next(iter(harness.core().values()))
    harness.change(*other_nodes(each=200))
    harness.turn()
    harness.listed.set_drained([held.server])
    turns = harness.until(lambda: harness.core()[held.server].state is ServerState.DRAINING)
    assert turns <= 4 and len(harness.driver.subset.intake.pending.unindexed) > 7000, (
        "most of the long list must still be unindexed"
    )
    live_entries = [
        entry
        for entry in harness.core().values()
        if entry.cell == held.cell and entry.state is ServerState.LIVE
    ]
    assert len(live_entries) == 3
    harness.settle()


@pytest.mark.parametrize("kind", [ListKind.CHANGES, ListKind.FULL])
def test_replacement_is_never_gone_or_draining_by_the_same_list(
    harness: Harness, kind: ListKind
) -> None:
    """When a zone is lost, the highest ranked replacements of its nodes are in the same zone."""
    lost = {entry.server for entry in nodes() if entry.zone == "a"}
    if kind is ListKind.FULL:
        harness.full(entry for entry in nodes() if entry.server not in lost)
    else:
        states = (ServerState.DRAINING, ServerState.GONE)
        harness.change(
            *(
                replace(entry, state=states[index % 2])
                for index, entry in enumerate(nodes())
                if entry.server in lost
            )
        )
    harness.settle()
    entered = {
        entry.server
        for event in harness.received[1:]
        for entry in event.entries
        if entry.state is ServerState.LIVE
    }
    assert entered and not entered & lost
    assert sum(entry.state is ServerState.LIVE for entry in harness.core().values()) == 40 * 3


def test_gone_node_is_handed_over_after_its_replacement(harness: Harness) -> None:
    held = next(iter(harness.core().values()))
    harness.change(replace(held, state=ServerState.GONE))
    harness.settle()
    (event,) = harness.received[1:]
    assert [entry.state for entry in event.entries] == [ServerState.LIVE, ServerState.GONE]
    assert event.entries[1].server == held.server and len(harness.core()) == 40 * 3


def test_failed_list_is_handed_over_at_once_and_changes_nothing(harness: Harness) -> None:
    before = harness.core()
    harness.listed.receive_list(ListReceived(ListKind.FAILED))
    assert harness.received[-1].kind is ListKind.FAILED and harness.driver.slice_timer is None
    harness.received.pop()
    assert harness.core() == before


def test_slow_start_ends_at_its_time_without_a_list(harness: Harness) -> None:
    harness.full(replace(entry, up_since=harness.now) for entry in nodes())
    harness.settle()
    cold = [entry for entry in harness.core().values() if entry.sharers]
    assert cold and harness.driver.warm_up_timer is not None
    harness.now += COLD_TIME + 0.1
    harness.until(lambda: not any(entry.sharers for entry in harness.core().values()))
    harness.settle()
    assert len(harness.core()) == 40 * 3 and harness.driver.warm_up_timer is None


def test_count_of_brokers_determines_subset_size(harness: Harness) -> None:
    harness = Harness(replace(OWN, holders=50.0))  # half of the list, as there are 100 brokers
    harness.full(nodes())
    harness.turn()
    assert len(harness.core()) == 40 * 5
    harness.driver.set_instances(50)
    harness.settle()
    assert len(harness.core()) == 40 * 10
    harness.driver.set_instances(1000)
    harness.settle()
    assert len(harness.core()) == 40 * 3
    assert {row["cause"] for row in harness.log_fields("subset_changed") if "cause" in row} <= {
        "the list",
        "the count of brokers",
    }


@pytest.mark.parametrize("seed", range(6))
def test_random_history_leads_to_the_subset_of_a_fresh_broker(
    seed: int,
) -> None:
    """Changes, snapshots, drains by the ledger and counts of brokers arrive while earlier lists are still processed."""
    chance = random.Random(seed)
    harness = Harness(replace(OWN, holders=30.0))
    harness.full(nodes())
    for _ in range(60):
        harness.turn()
        some = chance.sample(nodes(), chance.choice([1, 5, 100]))
        kind = chance.randrange(5)
        if kind < 2:
            state = chance.choice(
                [ServerState.LIVE, ServerState.LIVE, ServerState.DRAINING, ServerState.GONE]
            )
            since = chance.choice([0.0, harness.now - COLD_TIME / 2, harness.now])
            harness.change(*(replace(entry, state=state, up_since=since) for entry in some))
        elif kind == 2:
            harness.listed.set_drained(entry.server for entry in some)
        elif kind == 3:
            harness.driver.set_instances(chance.choice([40, 100, 300]))
        else:
            harness.full(harness.listed.entries.values())
    harness.driver.set_instances(FLEET.instances)
    harness.settle()
    fresh = Harness(replace(OWN, holders=30.0), now=harness.now)
    fresh.listed.drained = harness.listed.drained
    fresh.full(harness.listed.entries.values())
    assert not harness.driver.fault and live(harness) == live(fresh)
    for each in (harness, fresh):
        each.now += COLD_TIME + 0.1
        each.until(
            lambda each=each: (
                each.driver.slice_timer is None
                and not any(  # type: ignore[misc]
                    entry.sharers for entry in each.core().values()
                )
            )
        )
    assert live(harness) == live(fresh)


def live(harness: Harness) -> dict[str, float]:
    """Return the nodes to which new parts may be sent, with the divisor of each node's budget."""
    return {
        server: entry.sharers
        for server, entry in harness.core().items()
        if entry.state is ServerState.LIVE
    }


# --- defects of the subset


def invalid_entry(entry: ServerEntry) -> ServerEntry:
    """Return an invalid entry that no source provides, to cause an exception in the subset like a defect would."""
    return replace(entry, server="broken", size="large")  # type: ignore[arg-type]


def full_list(harness: Harness) -> dict[str, ServerEntry]:
    return {
        server: harness.listed.mark_drained(entry)
        for server, entry in harness.listed.entries.items()
    }


def test_core_has_the_full_list_after_a_defect(harness: Harness) -> None:
    harness.change(*(replace(entry, up_since=harness.now) for entry in nodes()[:200]))
    harness.settle()
    assert any(entry.sharers for entry in harness.core().values())
    harness.change(replace(nodes()[3], state=ServerState.DRAINING), invalid_entry(nodes()[0]))
    harness.until(lambda: bool(harness.driver.fault))
    assert (
        harness.received[-1].kind is ListKind.FULL
        and harness.core() == full_list(harness)
        and len(harness.core()) == 401
    )
    assert not any(entry.sharers for entry in harness.core().values())
    assert harness.core()["n0.3"].state is ServerState.DRAINING
    (fields,) = harness.log_fields("subset_disabled")
    assert "TypeError" in fields["reason"] and fields["nodes"] == 401 and len(harness.errors) == 1
    harness.change(*other_nodes(), replace(nodes()[7], state=ServerState.GONE))
    harness.listed.set_drained(["n1.1"])
    harness.driver.set_instances(3)
    for _ in range(10):
        harness.turn()
    assert harness.core() == full_list(harness) and len(harness.core()) == 800
    assert harness.core()["n1.1"].state is ServerState.DRAINING
    assert len(harness.log_fields("subset_disabled")) == 1 and len(harness.errors) == 1


def test_defect_on_the_first_or_a_later_list_falls_back_to_the_full_list() -> None:
    harness = Harness()
    harness.full([*nodes(), invalid_entry(nodes()[0])])
    assert harness.driver.fault and harness.core() == full_list(harness) and harness.turns == [0]
    harness = Harness()
    harness.full(nodes())
    harness.turn()
    harness.driver.subset.intake = None  # type: ignore[assignment]
    harness.change(replace(next(iter(harness.core().values())), state=ServerState.DRAINING))
    assert (
        harness.driver.fault and harness.core() == full_list(harness) and len(harness.core()) == 400
    )


def test_pending_events_are_dropped_after_falling_back(
    harness: Harness,
) -> None:
    harness.change(
        *(replace(entry, state=ServerState.GONE) for entry in nodes()[100:]), *other_nodes()
    )
    harness.until(lambda: len(harness.driver.outgoing) > 1)
    harness.driver.fall_back(RuntimeError("planted"))
    for _ in range(50):
        harness.turn()
    assert harness.core() == full_list(harness) and harness.received[-1].kind is ListKind.FULL


def test_defect_is_shown_in_answer_and_metrics(harness: Harness) -> None:
    assert {metric.name for metric in harness.driver.collect()} >= {
        "stepknot_subset_held",
        "stepknot_subset_off",
    }
    harness.driver.fall_back(RuntimeError("planted"))
    (off,) = harness.driver.collect()
    assert off.samples[0].value == 1
    assert (
        report(harness)["off"] == "RuntimeError: planted" and harness.driver.explain("n0.0") is None
    )


# --- admin answers, log events and metrics


def report(harness: Harness, with_held: bool = False) -> dict[str, Any]:
    task = harness.loop.spawn(harness.driver.report(with_held))
    harness.until(lambda: task.done)
    assert task.error is None
    answer: dict[str, Any] = task.result
    return answer


def test_few_changes_are_logged_one_by_one_and_many_in_one_event(harness: Harness) -> None:
    (first,) = harness.log_fields("subset_changed")
    assert (
        first["cells"] == 40
        and first["causes"] == {"the list": 40}
        and first["entered_count"] == 120
    )
    assert len(first["first_cells"]) == MAX_LOGGED_CELLS
    harness.logged.clear()
    held = next(iter(harness.core().values()))
    harness.change(replace(held, state=ServerState.GONE))
    harness.settle()
    (fields,) = harness.log_fields("subset_changed")
    assert (
        fields["cell"] == held.cell
        and fields["cause"] == "the list"
        and fields["left"] == [held.server]
    )
    assert fields["entered_count"] == fields["left_count"] == 1 and fields["quota"] == 3
    harness.logged.clear()
    harness.change(*(replace(entry, state=ServerState.GONE) for entry in harness.core().values()))
    harness.settle()
    (fields,) = harness.log_fields("subset_changed")
    assert fields["cells"] == 40 and fields["left_count"] == 120


def test_own_address_on_the_list_is_logged_once_and_ignored(harness: Harness) -> None:
    own_entry = ServerEntry("127.0.0.1:9200", "a", 0, ServerState.LIVE)
    harness.change(own_entry)
    harness.change(replace(own_entry, zone="b"))
    harness.settle()
    (fields,) = harness.log_fields("own_address_listed")
    assert fields["addresses"] == ["127.0.0.1:9200"] and harness.driver.subset.left_out == 2
    assert "127.0.0.1:9200" not in harness.core()
    harness.driver.fall_back(RuntimeError("planted"))
    assert "127.0.0.1:9200" not in harness.core()


def test_answer_shows_zones_quotas_nodes_and_reasons(harness: Harness) -> None:
    harness.change(
        *(replace(entry, up_since=harness.now) for entry in nodes() if entry.zone == "b")
    )
    harness.settle()
    answer = report(harness, with_held=True)
    assert [(row.zone, row.tier, row.listed) for row in answer["zones"]] == [
        (zone, int(zone != "a"), 80) for zone in ZONES
    ]
    assert {row.server for row in answer["held"]} == set(harness.core()) and answer[
        "quota_greatest"
    ] == 3
    assert sum(row.warm for row in answer["zones"]) == 40 * 3
    assert sum(row.cold for row in answer["zones"]) == sum(
        entry.sharers > 0 for entry in harness.core().values()
    )
    why = harness.driver.explain(next(iter(harness.core())))
    assert why is not None and why["held"] and harness.driver.explain("unlisted") is None
    assert "held" not in report(harness)


def test_metrics_have_bounded_labels_and_correct_counts(harness: Harness) -> None:
    rows = {
        (sample.name, *sample.labels.values()): sample.value
        for metric in harness.driver.collect()
        for sample in metric.samples
    }
    assert rows["stepknot_subset_listed",] == rows["stepknot_subset_live",] == 400
    assert rows["stepknot_subset_held", "warm"] == 120 and rows["stepknot_subset_cells",] == 40
    assert rows["stepknot_subset_changes_total", "list"] == 40 and len(rows) < 30


# --- in a broker


@contextmanager
def broker_with_subset(folder: Path, logged: list[str]) -> Iterator[Service]:
    """A broker with a subset of 40 nodes in 4 cells; its own addresses are listed, too."""
    port, admin, graph = reserve_ports(3)
    rows = [
        {"address": f"10.0.{cell}.{number}:9200", "zone": ZONES[number % 5], "cell": cell}
        for cell in range(4)
        for number in range(10)
    ] + [{"address": f"127.0.0.1:{each}", "zone": "a", "cell": 0} for each in (port, admin, graph)]
    (folder / "boxes.json").write_bytes(orjson.dumps({"boxes": rows}))
    (folder / "broker.hcl").write_text(
        settings_text(
            port=port,
            admin=admin,
            graph=graph,
            instances=4,
            subset='subset {\n  identity = "b0"\n  holders = 2\n}\n',
        )
    )
    service = make(load(folder / "broker.hcl"), lambda event, **fields: logged.append(event))
    yield service
    for server in (service.server, service.graphql_server, service.admin):
        if server is not None:
            server.close()


def test_broker_has_its_subset_before_the_first_turn_and_follows_the_count(
    tmp_path: Path,
) -> None:
    """With `holders` = 2, one of 4 brokers uses half of ten replicas, and a single broker uses all."""
    logged: list[str] = []
    with broker_with_subset(tmp_path, logged) as service:
        assert service.loop.turns == 0 and len(service.core.servers) == 4 * 5
        assert logged.count("own_address_listed") == 1 and len(service.endpoints.entries) == 43
        service.loop.again = True
        service.loop.turn()
        service.set_instance_count(1)
        assert InstancesCounted(1) in service.core.pending_events
        while service.subsets is not None and service.subsets.slice_timer is not None:
            service.loop.turn()
        assert len(service.core.servers) == 40 and b"stepknot_subset_held" in service.metrics()


def test_broker_decides_on_nothing_before_drains_in_its_subset_are_passed_on(
    tmp_path: Path,
) -> None:
    """A list is processed in slices: new queries went to nodes whose drains were in a later one."""
    with broker_with_subset(tmp_path, []) as service:
        service.loop.clock = Harness(now=service.loop.now).clock
        turn = service.loop.turn
        turn()
        held = list(service.core.servers.values())
        draining = [replace(entry, state=ServerState.DRAINING) for entry in held]
        long_list = [replace(entry, server=f"x{entry.server}") for entry in held * 20]
        service.endpoints.receive_list(ListReceived(ListKind.CHANGES, (*long_list, *draining)))
        waiting = InstancesCounted(4)
        service.core.post(waiting)
        turns = 0
        while waiting in service.core.pending_events:
            turn()
            turns += 1
        states = {service.core.servers[entry.server].state for entry in held}
        assert turns > 1 and states == {ServerState.DRAINING}
