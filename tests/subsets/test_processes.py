"""Tests of subsets with three broker processes, each of which uses two of five replicas per shard.

Nodes crash, drain and start cold, a zone is lost, a list arrives late, and brokers stop and start again. The tests
check the brokers' admin answers and the nodes' sockets. Queries run throughout, and each gets its answer.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from stepknot.cli.admin_client import query_admin
from stepknot.simulation.audit import Records, audit
from stepknot.simulation.day import run_day
from stepknot.simulation.fleet import Box, Fleet
from stepknot.simulation.script import Script, Step
from stepknot.simulation.socket_recorder import read
from tests.processes import Brokers

pytestmark = pytest.mark.event_driven

CELLS, REPLICAS, SIZE = 2, 5, 2
COLD_TIME = 4.0  # seconds
GRACE = 1.0  # seconds, from the fleet's settings
LIST_TIME = 0.5  # seconds within which a broker reads a new list, even on a busy machine
# A process uses a count below the configured one only when it is as old as a tombstone.
PEERS = {"period": 0.25, "pause": 2.0, "tombstone": 20.0}
# With three brokers, `size` determines a quota of two replicas per cell; with fewer brokers, `holders` gives more.
SUBSET = {"size": SIZE, "holders": 1.0}
LATE = "b2"  # the broker that reads a list file of its own


class Subsets(Brokers):
    """The fleet with access to the brokers' subsets and the nodes' sockets."""

    def __init__(self, fleet: Fleet, links: Any) -> None:
        super().__init__(fleet, links)
        self.late = False  # whether updates of the late broker's list are suspended
        # The subset of each broker for the complete list without cold nodes.
        self.usual: dict[str, set[str]] = {}
        self.fleet.on_list = lambda rows, before: self.copy_list()

    def copy_list(self) -> None:
        """Copy the list to the late broker's file, unless `late` is set."""
        if not self.late:
            own = self.fleet.folder / "late.json"
            own.with_suffix(".new").write_bytes((self.fleet.folder / "boxes.json").read_bytes())
            own.with_suffix(".new").replace(own)

    def subset(self, name: str) -> dict[str, Any]:
        return query_admin(("127.0.0.1", self[name].admin), "/subset?held=1")

    def held(self, name: str, *states: str) -> set[str]:
        return {
            row["server"]
            for row in self.subset(name)["held"]
            if not states or row["state"] in states
        }

    def all_held(self) -> dict[str, set[str]]:
        return {name: self.held(name) for name in self.running()}

    def first_held(self, name: str) -> set[str]:
        """Return the used nodes that rank among the first `SIZE`; these are used even while they are cold."""
        admin = "127.0.0.1", self[name].admin
        return {
            server
            for server in self.held(name)
            if query_admin(admin, f"/subset?why={server}")["why"]["place"] < SIZE
        }

    def per_cell(self, name: str, *states: str) -> dict[int, int]:
        return Counter(
            row["cell"] for row in self.subset(name)["held"] if not states or row["state"] in states
        )

    def live(self, name: str) -> int:
        """Return the number of live nodes in this broker's list."""
        return sum(row["live"] for row in self.subset(name)["zones"])

    def story(self) -> dict[str, Any]:
        return {name: self.subset(name) for name in self.running()}

    def box(self, address: str) -> Box:
        return next(box for box in self.fleet.boxes if box.address == address)

    def calls(self, box: Box, since: float = 0.0, broker: str = "") -> list[float]:
        """Return the times at which the node's socket received parts, from all brokers or from one."""
        path = self.fleet.folder / f"box-{box.number}.tap"
        agent = f"/{self[broker].port}" if broker else ""
        return [
            event["t"]
            for event in read(path)
            if event["what"] == "call" and event["t"] >= since and event["agent"].endswith(agent)
        ]

    def restart(self, *boxes: Box) -> None:
        """Start nodes cold, and list them once they serve."""
        for box in boxes:
            self.fleet.start_box(box, cold=True)
        for box in boxes:
            self.fleet.box_ready(box)
        self.fleet.write_list()

    def crash(self, *boxes: Box) -> None:
        for box in boxes:
            assert box.process is not None
            box.process.kill()
            box.process.wait(20)
            box.listed = False
        self.fleet.write_list()

    def events(self, name: str, event: str) -> list[dict[str, Any]]:
        return self.logged(name, b'"%s"' % event.encode())


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stepknot", *words], capture_output=True, text=True, timeout=60
    )


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Subsets]:
    fleet = Fleet.plan(
        tmp_path_factory.mktemp("subsets"),
        3,
        CELLS * REPLICAS,
        400,
        cells=CELLS,
        work_ms=0.5,
        zones="abc",
        with_peers=True,
        taps=True,
        settings={"cold_time": COLD_TIME, "max_attempts": SIZE},
    )
    links = fleet.relay(seed=11)
    for broker in fleet.brokers:
        broker.peers |= PEERS
        broker.subset |= SUBSET
    subsets = Subsets(fleet, links)
    try:
        fleet.start(lambda text: None)
        path = fleet.folder / f"broker-{subsets[LATE].number}.hcl"
        path.write_text(path.read_text().replace('"boxes.json"', '"late.json"'))
        subsets.end(LATE, by=signal.SIGTERM)
        subsets.start(LATE)
        yield subsets
    finally:
        fleet.stop()


@pytest.fixture
def brokers(running: Subsets) -> Subsets:
    """Restore the initial state: all processes run, all nodes are listed and warm, all subsets are the usual ones."""
    running.late = False
    for name in list(running.stopped):
        running.start(name)
    down = [box for box in running.fleet.boxes if not box.running]
    for box in running.fleet.boxes:
        box.draining = False
    running.restart(*down)
    running.agree()
    running.until(lambda: all(running.live(name) == CELLS * REPLICAS for name in running.names))
    running.usual = running.usual or running.all_held()
    running.until(lambda: running.all_held() == running.usual)
    return running


def test_each_broker_sends_to_its_subset_only_in_two_zones(
    brokers: Subsets,
) -> None:
    since = time.monotonic()
    brokers.watch(2.0)
    for name in brokers.names:
        answer = brokers.subset(name)
        assert (
            answer["identity"] == name and answer["quota_least"] == answer["quota_greatest"] == SIZE
        )
        for cell in range(CELLS):
            zones = {row["zone"] for row in answer["held"] if row["cell"] == cell}
            assert len(zones) == SIZE and brokers[name].zone in zones
        called = [box for box in brokers.fleet.boxes if brokers.calls(box, since, name)]
        assert {box.cell for box in called} == set(range(CELLS))
        assert {box.address for box in called} <= brokers.held(name)


def test_crashed_node_is_replaced_and_returns_after_slow_start(
    brokers: Subsets,
) -> None:
    before = brokers.usual
    box = brokers.box(sorted(brokers.first_held("b0"))[0])
    brokers.crash(box)
    brokers.until(lambda: all(box.address not in held for held in brokers.all_held().values()))
    for name in brokers.names:
        assert brokers.per_cell(name) == dict.fromkeys(range(CELLS), SIZE)
        assert len(brokers.held(name) - before[name]) == (box.address in before[name])
    changed = brokers.events("b0", "subset_changed")[-1]
    assert (
        changed["left"] == [box.address]
        and changed["entered_count"] == 1
        and changed["cause"] == "the list"
    )
    brokers.restart(box)
    brokers.until(lambda: box.address in brokers.held("b0", "cold"))
    (row,) = [row for row in brokers.subset("b0")["held"] if row["server"] == box.address]
    assert row["sharers"] == 3 and brokers.per_cell("b0", "warm")[box.cell] == SIZE
    brokers.until(lambda: brokers.all_held() == before)
    assert box.address in brokers.held("b0", "warm")


def test_draining_nodes_get_nothing_after_the_grace_period_and_are_replaced_before(
    brokers: Subsets,
) -> None:
    before = brokers.usual
    boxes = [box for box in brokers.fleet.boxes if box.cell == 0 and box.address in before["b0"]]
    draining, seen = {box.address for box in boxes}, len(brokers.events("b0", "node_listed"))
    for box in boxes:
        box.draining = True
    brokers.fleet.write_list()
    drained = time.monotonic()
    brokers.until(lambda: brokers.held("b0", "draining") == draining)
    new = [brokers.box(address) for address in brokers.held("b0") - before["b0"]]
    assert len(new) == SIZE and brokers.per_cell("b0", "warm") == dict.fromkeys(range(CELLS), SIZE)
    listed = [row["server"] for row in brokers.events("b0", "node_listed")[seen:]]
    assert set(listed) == draining | {box.address for box in new} and set(listed[:SIZE]) == {
        box.address for box in new
    }
    brokers.until(lambda: any(brokers.calls(box, drained, "b0") for box in new))
    assert (
        min(at for box in new for at in brokers.calls(box, drained, "b0"))
        < drained + GRACE + LIST_TIME
    )
    brokers.watch(GRACE + LIST_TIME)
    assert not any(brokers.calls(box, drained + LIST_TIME + GRACE) for box in boxes)
    for box in boxes:
        box.draining = False
    brokers.fleet.write_list()
    brokers.until(lambda: brokers.all_held() == before)


def test_lost_zone_is_replaced_and_returns_in_slow_start(brokers: Subsets) -> None:
    before = brokers.usual
    lost = [box for box in brokers.fleet.boxes if box.zone == "a"]
    gone = {box.address for box in lost}
    first = {name: brokers.first_held(name) & gone for name in brokers.names}
    brokers.crash(*lost)
    brokers.until(lambda: not any(held & gone for held in brokers.all_held().values()))
    for name in brokers.names:
        assert brokers.per_cell(name) == dict.fromkeys(range(CELLS), SIZE)
    since = time.monotonic()
    brokers.restart(*lost)
    brokers.until(lambda: all(brokers.held(name, "cold") >= first[name] for name in brokers.names))
    for name in brokers.names:
        assert min(brokers.per_cell(name, "warm").values()) >= SIZE
    brokers.until(lambda: brokers.all_held() == before)
    assert time.monotonic() - since >= COLD_TIME - 1.0
    for box in lost:
        assert not any(
            event["what"] == "fell"
            for event in read(brokers.fleet.folder / f"box-{box.number}.tap")
        )


def test_restarted_broker_has_the_same_subset(brokers: Subsets) -> None:
    before = brokers.usual
    brokers.end("b1")
    brokers.start("b1")
    assert brokers.held("b1") == before["b1"]
    brokers.agree()
    brokers.until(lambda: brokers.all_held() == before)


def test_late_list_affects_only_its_own_broker(brokers: Subsets) -> None:
    before = brokers.usual
    box = brokers.box(sorted(before[LATE])[0])
    brokers.late = True
    brokers.crash(box)
    others = [name for name in brokers.names if name != LATE]
    brokers.until(lambda: all(box.address not in brokers.held(name) for name in others))
    brokers.watch(1.0)
    assert brokers.held(LATE) == before[LATE]
    brokers.late = False
    brokers.copy_list()
    brokers.until(lambda: box.address not in brokers.held(LATE))
    assert brokers.per_cell(LATE) == dict.fromkeys(range(CELLS), SIZE)


def test_subset_grows_with_fewer_brokers_and_shrinks_with_more(brokers: Subsets) -> None:
    before = brokers.usual
    brokers.end("b1", "b2", by=signal.SIGTERM)
    brokers.until(lambda: brokers.per_cell("b0") == dict.fromkeys(range(CELLS), REPLICAS))
    assert brokers.subset("b0")["instances"] == 1 and brokers.held("b0") > before["b0"]
    changes = [
        row
        for row in brokers.events("b0", "subset_changed")
        if row.get("cause") == "the count of brokers"
    ]
    assert changes and not changes[-1]["left"]
    brokers.start("b1", "b2")
    brokers.agree()
    brokers.until(lambda: brokers.all_held() == before)
    assert brokers.subset("b0")["instances"] == 3


def test_command_shows_zones_and_reasons(brokers: Subsets) -> None:
    admin = f"127.0.0.1:{brokers['b0'].admin}"
    table = run("subset", admin)
    assert (
        table.returncode == 0
        and "as b0 in zone a, one of 3 brokers: 2 to 2 warm nodes a cell" in table.stdout
    )
    assert [line.split()[0] for line in table.stdout.splitlines()[3:]] == ["a", "b", "c"]
    held = orjson.loads(run("subset", admin, "--json").stdout)["held"]
    assert {row["server"] for row in held} == brokers.held("b0")
    server = held[0]["server"]
    assert f"{server} is in use by" in run("subset", admin, "--why", server).stdout
    unused = next(
        box.address for box in brokers.fleet.boxes if box.address not in brokers.held("b0")
    )
    output = run("subset", admin, "--why", unused).stdout
    assert "not in use" in output and "enough nodes of its cell rank higher" in output
    unknown = run("subset", admin, "--why", "10.9.9.9:1")
    assert unknown.returncode == 2 and "the list has no node 10.9.9.9:1" in unknown.stderr


def test_broker_on_its_own_list_does_not_use_itself(brokers: Subsets) -> None:
    own = f"127.0.0.1:{brokers['b0'].port}"
    path = brokers.fleet.folder / "boxes.json"
    rows = orjson.loads(path.read_bytes())["boxes"]
    path.with_suffix(".new").write_bytes(
        orjson.dumps({"boxes": [*rows, {"address": own, "zone": "a", "cell": 0}]})
    )
    path.with_suffix(".new").replace(path)
    brokers.until(lambda: bool(brokers.events("b0", "own_address_listed")))
    assert own not in brokers.held("b0") and brokers.subset("b0")["left_out"] >= 1
    brokers.fleet.write_list()


def test_no_broker_logged_a_defect(brokers: Subsets) -> None:
    for name in brokers.names:
        assert not brokers.events(name, "task_failed") and not brokers.events(
            name, "subset_disabled"
        )


def test_six_rules_hold_on_a_fault_day_with_subsets(tmp_path: Path) -> None:
    steps = (
        Step(1.0, "crash", 1, 1.5),
        Step(2.0, "drain", 2, 2.0),
        Step(3.5, "kill_broker", lasts=1.0),
        Step(6.0, "list_late", lasts=1.5),
        Step(6.5, "crash", 1, 1.5),
        Step(9.0, "drain", 1, 1.5),
    )
    counts = run_day(
        tmp_path,
        Script(13.0, 25.0, steps),
        3,
        12,
        1200,
        4,
        lambda text: None,
        cold_time=2.0,
        peers=PEERS,
        subset=SUBSET,
        max_attempts=SIZE,
    )
    assert [report.breaches for report in audit(Records.load(tmp_path))] == [[]] * 6
    assert sum(counts.values()) > 100
    logs = b"".join((tmp_path / f"broker-{number}.log").read_bytes() for number in range(3))
    assert (
        b'"subset_changed"' in logs
        and b'"task_failed"' not in logs
        and b'"subset_disabled"' not in logs
    )
