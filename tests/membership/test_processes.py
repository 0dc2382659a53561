"""Tests of seven broker processes with faulty links: one-sided cuts, process pauses, partitions, loss and restarts.

Time-outs are somewhat less than half of the defaults: a pause of 2 s is tolerated, and a member is declared dead after
2.25 s, or after 4.5 s if many fail at once. Queries run all the time, and each of them must be answered.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import orjson
import pytest

from stepknot.cli.admin_client import query_admin
from stepknot.simulation.audit import Records, audit
from stepknot.simulation.day import run_day
from stepknot.simulation.fleet import Fleet
from stepknot.simulation.links import Rule
from stepknot.simulation.script import Script, Step
from tests.processes import Brokers

pytestmark = pytest.mark.event_driven

PERIOD, PAUSE = 0.25, 2.0
DEAD_AFTER = PAUSE + PERIOD
NAMES = [f"b{number}" for number in range(7)]
KEYS = {"period": PERIOD, "pause": PAUSE, "tombstone": 120.0}


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Brokers]:
    fleet = Fleet.plan(
        tmp_path_factory.mktemp("peers"), 7, 4, 400, cells=2, work_ms=0.5, with_peers=True
    )
    links = fleet.relay(seed=3)
    for broker in fleet.brokers:
        broker.peers |= KEYS
    try:
        fleet.start(lambda text: None)
        yield Brokers(fleet, links)
    finally:
        fleet.stop()


@pytest.fixture
def brokers(running: Brokers) -> Brokers:
    running.links.heal()
    running.agree()
    return running


def test_a_member_that_one_other_does_not_receive_stays_alive(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.links.cut(["b1"], ["b2"])
    brokers.links.cut(["b4"], ["b1"])
    brokers.watch(3 * DEAD_AFTER)
    assert not brokers.dead(since)
    (row,) = [row for row in brokers.view("b2")["members"] if row["name"] == "b1"]
    assert (
        row["state"] == "alive"
        and not row["reachable"]
        and row["sign_by"].startswith("received by ")
    )


def test_a_member_that_no_other_receives_is_isolated_and_dead_until_it_is_received_again(
    brokers: Brokers,
) -> None:
    since = brokers.mark()
    others = [name for name in NAMES if name != "b1"]
    brokers.links.cut(["b1"], others)
    brokers.until(lambda: brokers.out({"b1"}) and bool(brokers.view("b1")["isolated"]))
    view = brokers.view("b1")
    assert view["isolated"] and not view["sure"] and view["at_most"] >= 7
    assert brokers.dead(since) == {"b1"}
    brokers.links.heal()
    brokers.agree()


def test_a_member_that_receives_nothing_is_isolated_and_declares_no_death(
    brokers: Brokers,
) -> None:
    since = brokers.mark()
    brokers.links.cut([name for name in NAMES if name != "b1"], ["b1"])
    brokers.until(lambda: bool(brokers.view("b1")["isolated"]))
    brokers.watch(3 * DEAD_AFTER)
    assert not brokers.dead(since)
    assert brokers.alive("b0") == set(NAMES)


def test_a_process_stopped_for_long_is_dead_rejoins_and_declares_no_death(
    brokers: Brokers,
) -> None:
    since = brokers.mark()
    brokers.stop("b3")
    brokers.until(lambda: brokers.out({"b3"}))
    brokers.go_on("b3")
    brokers.agree()
    assert brokers.dead(since) == {"b3"}
    assert brokers.view("b3")["counters"]["stood still"] >= 1


def test_a_process_stopped_for_less_than_the_tolerated_pause_is_not_dead(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.stop("b3")
    brokers.watch(PAUSE - 0.3)
    brokers.go_on("b3")
    brokers.agree()
    assert not brokers.dead(since)


@pytest.mark.parametrize("count", [4, 7])
def test_when_most_or_all_members_pause_no_member_is_declared_dead(
    brokers: Brokers, count: int
) -> None:
    since = brokers.mark()
    brokers.stop(*NAMES[:count])
    brokers.watch(3.5 * DEAD_AFTER)
    brokers.go_on(*NAMES[:count])
    brokers.agree()
    assert not brokers.dead(since)


def test_a_partition_of_four_and_three_heals(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.links.part(NAMES[:3], NAMES[3:])
    brokers.until(lambda: brokers.out(set(NAMES[:3])))
    for name in NAMES[:3]:
        view = brokers.view(name)
        assert view["isolated"] and view["at_most"] >= 7 and view["at_least"] <= 3
    assert brokers.dead(since) == set(NAMES[:3])
    brokers.links.heal()
    brokers.agree()


def test_a_bridge_between_two_groups_keeps_all_members_alive(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.links.part(["b0", "b1", "b2"], ["b4", "b5", "b6"])  # b3 reaches all others
    brokers.watch(3 * DEAD_AFTER)
    assert not brokers.dead(since)
    assert brokers.alive("b0") == brokers.alive("b6") == set(NAMES)


def test_views_agree_after_a_link_flapped(brokers: Brokers) -> None:
    for _ in range(4):
        brokers.links.part(["b0"], NAMES[1:])
        brokers.watch(0.6)
        brokers.links.heal()
        brokers.watch(0.4)
    brokers.agree()


def test_under_loss_a_crash_is_detected_and_no_other_death_declared(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.links.rest = Rule(loss=0.3, copies=0.1, delay=0.05)
    brokers.watch(3 * DEAD_AFTER)
    assert not brokers.dead(since)
    brokers.end("b6")
    brokers.until(lambda: brokers.out({"b6"}))
    assert brokers.dead(since) == {"b6"}
    brokers.start("b6")
    brokers.agree()


def test_a_rolling_restart_causes_no_death(brokers: Brokers) -> None:
    since = brokers.mark()
    for name in NAMES:
        brokers.end(name, by=signal.SIGTERM)
        brokers.start(name)
        brokers.until(lambda name=name: brokers.alive(name) == set(NAMES))
    brokers.agree()
    assert not brokers.dead(since)


def test_five_of_seven_killed_at_once_are_not_declared_dead_and_rejoin(brokers: Brokers) -> None:
    since = brokers.mark()
    brokers.end(*NAMES[:5])
    brokers.until(lambda: brokers.view("b5")["isolated"] and brokers.view("b6")["isolated"])
    brokers.watch(3 * DEAD_AFTER)
    view = brokers.view("b5")
    assert view["at_least"] <= 2 and view["at_most"] >= 7 and not view["sure"]
    brokers.start(*NAMES[:5])
    brokers.agree()
    assert not brokers.dead(since)


def test_an_old_process_that_resumes_after_its_name_was_taken_gives_up_the_name(
    brokers: Brokers, tmp_path: Path
) -> None:
    old, spare = (
        brokers["b2"],
        Fleet.plan(brokers.fleet.folder, 1, 0, 0, with_peers=True).brokers[0],
    )
    brokers.stop("b2")
    brokers.until(lambda: brokers.out({"b2"}))
    spare.number, spare.name, spare.peers = 8, "b2", dict(KEYS.items())
    text = (brokers.fleet.folder / f"broker-{old.number}.hcl").read_text()
    relayed_address = old.peers["advertise"]
    for before, after in (
        (old.port, spare.port),
        (old.admin, spare.admin),
        (old.graph, spare.graph),
        (old.peer, spare.peer),
    ):
        text = text.replace(f'"127.0.0.1:{before}"', f'"127.0.0.1:{after}"')
    text = text.replace(f'advertise = "{relayed_address}"', f'advertise = "127.0.0.1:{spare.peer}"')
    (brokers.fleet.folder / "broker-8.hcl").write_text(text)
    brokers.fleet.start_broker(spare)
    try:
        brokers.fleet.broker_ready(spare)
        brokers.until(lambda: "b2" in brokers.alive("b0"))
        brokers.go_on("b2")
        brokers.until(lambda: bool(brokers.view("b2")["stepped_aside"]))
        assert brokers.logged("b2", b'"name_conflict_lost"')
        assert not query_admin(("127.0.0.1", spare.admin), "/peers")["stepped_aside"]
    finally:
        assert spare.process is not None
        spare.process.terminate()
        spare.process.wait(20)
    brokers.end("b2")
    brokers.start("b2")
    brokers.agree()


def test_the_six_rules_hold_on_a_day_with_crashed_stalled_and_partitioned_brokers(
    tmp_path: Path,
) -> None:
    steps = (
        Step(1.0, "lose_peers", lasts=4.0, share=0.3),
        Step(1.5, "crash", 1, 1.5),
        Step(2.0, "stall_broker", lasts=2.5),
        Step(6.0, "part_peers", 1, 4.0),
        Step(7.0, "crash", 1, 1.5),
        Step(8.0, "kill_broker", lasts=1.0),
        Step(11.0, "drain", 1, 1.5),
    )
    counts = run_day(
        tmp_path,
        Script(15.0, 25.0, steps),
        3,
        8,
        1200,
        4,
        lambda text: None,
        cold_time=2.0,
        peers=KEYS,
    )
    assert [report.breaches for report in audit(Records.load(tmp_path))] == [[]] * 6
    assert sum(counts.values()) > 100
    changes = [
        orjson.loads(line)
        for line in (tmp_path / "broker-0.log").read_bytes().splitlines()
        if b"member_state_changed" in line
    ]
    assert {"alive", "suspect"} <= {row["new_state"] for row in changes}
