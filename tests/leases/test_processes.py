"""Five broker processes, three of them voters, under failing links, pauses, kills and lost disks.

The checks use each broker's log of the ledger records that it applied, in order. No record is applied after a newer
one, none differs between two brokers, none drains more nodes than was commanded, and no node is drained twice.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import pytest

from stepknot.cli.admin_client import query_admin
from stepknot.simulation.fleet import Fleet
from tests.processes import Brokers

pytestmark = pytest.mark.event_driven

LEASE = 0.8
VOTERS = ["b0", "b1", "b2"]
ACTIVE = {"running", "halted", "stopped"}  # the statuses of a drain that has not ended
Row = tuple[int, int, tuple[str, ...], str]  # epoch, step, drained nodes, status


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stepknot", *arguments], capture_output=True, text=True, timeout=60
    )


class LeaseBrokers(Brokers):
    def leases_view(self, name: str) -> dict[str, Any]:
        return query_admin(("127.0.0.1", self[name].admin), "/owner")

    def job(self, name: str) -> dict[str, Any]:
        (row,) = self.leases_view(name)["jobs"]
        return row  # type: ignore[no-any-return]

    def state_of_all(self) -> dict[str, Any]:
        return {
            name: (self.job(name), self.leases_view(name)["voter"], self.drains(name))
            for name in self.running()
        }

    def holder(self) -> str:
        """The lease holder that all running brokers report; empty while they do not agree."""
        reported = {self.job(name)["owner"] for name in self.running()}
        holder = reported.pop() if len(reported) == 1 else ""
        return holder if holder and holder not in self.stopped and self.job(holder)["here"] else ""

    def wait_for_holder(self, but: str = "") -> str:
        """Wait until there is a lease holder other than `but`; returns it."""
        holder = [""]

        def is_elected() -> bool:
            holder[0] = self.holder()
            return holder[0] not in ("", but)

        self.until(is_elected)
        return holder[0]

    def is_settled(self) -> bool:
        """Whether every running voter promised the lease holder's epoch to it and no election runs.

        No earlier election can be won any more then. After two simultaneous elections a voter may have promised the
        holder's epoch to the other candidate; the holder then starts another election.
        """
        holder = self.holder()
        if not holder:
            return False
        voters = {
            name: self.leases_view(name)["voter"] for name in self.running() if name in VOTERS
        }
        promised = [each["promised"]["drains"] for each in voters.values()]
        candidates = [
            name for name in self.running() if name != holder and self.job(name)["phase"] != "idle"
        ]
        job = self.job(holder)
        is_promised = set(voters) <= set(job["granted_by"]) and max(promised) <= job["epoch"]
        return is_promised and not candidates and self.holder() == holder

    def drains(self, name: str) -> dict[str, Any]:
        return self.leases_view(name)["drains"] or {"status": "none", "steps": 0, "out": []}

    def wait_all_done(self) -> None:
        self.until(lambda: all(self.drains(name)["status"] == "done" for name in self.running()))

    def run_drain(self, name: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        return run("drain", f"127.0.0.1:{self[name].admin}", *arguments)

    def undo_drain(self, by: str) -> None:
        """Undo a drain that is active, by a command to broker `by`.

        A drain that is not stopped may end between the check and the command, which is then rejected for that reason.
        """
        status = self.drains(by)["status"]
        if status in ACTIVE:
            result = self.run_drain(by, "--undo")
            has_ended = result.returncode == 1 and 'no drain runs: done"' in result.stderr
            assert result.returncode == 0 or (status != "stopped" and has_ended), (
                status,
                result.returncode,
                result.stderr,
            )

    def folder(self, name: str) -> Path:
        return self.fleet.folder / f"votes-{name}"

    def applied_records(self, at_most: int = 1, restarted: tuple[str, ...] = ()) -> list[Row]:
        """All records that any broker applied, in the ledger's order.

        A broker in `restarted` may log records again that it applied before its restart.
        """
        seen: dict[tuple[int, int], Row] = {}
        for name in self.names:
            rows: list[Row] = [
                (row["epoch"], row["step"], tuple(row["drained"]), row["status"])
                for row in self.logged(name, b'"drains_changed"')
            ]
            for row in rows:
                assert seen.setdefault(row[:2], row) == row, (
                    f"{name} applied a record {row[:2]} that differs from another broker's"
                )
                assert len(row[2]) <= at_most
            versions = [row[:2] for row in rows]
            if name not in restarted:
                assert versions == sorted(set(versions)), (
                    f"{name} applied a record after a newer one or twice"
                )
        return [seen[version] for version in sorted(seen)]


def check_one_node_a_step(applied_records: list[Row], nodes: list[str]) -> None:
    """Between successive records at most one node is drained or restored; each node is drained once, in order."""
    all_drained: list[str] = []
    before: tuple[str, ...] = ()
    for _, _, drained, _ in applied_records:
        assert len(set(drained) ^ set(before)) <= 1, (before, drained)
        all_drained += [each for each in drained if each not in before]
        before = drained
    assert all_drained == nodes and not before


def logged_at(row: dict[str, Any]) -> float:
    return datetime.fromisoformat(row["timestamp"]).timestamp()


@pytest.fixture(scope="module")
def started_brokers(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LeaseBrokers]:
    fleet = Fleet.plan(
        tmp_path_factory.mktemp("owners"), 5, 6, 300, cells=3, work_ms=0.5, with_peers=True
    )
    links = fleet.relay(seed=5)
    for broker in fleet.brokers:
        broker.peers |= {"period": 0.25, "pause": 2.0, "tombstone": 120.0}
        broker.owners = {"voters": VOTERS, "state": f"votes-{broker.name}", "lease": LEASE}
    try:
        fleet.write_settings()
        for broker in fleet.brokers[:3]:
            settings = str(fleet.folder / f"broker-{broker.number}.hcl")
            first, again = run("found", settings), run("found", settings)
            assert first.returncode == 0, first.stderr
            assert again.returncode == 2 and "already exists" in again.stderr
        fleet.start(lambda text: None)
        yield LeaseBrokers(fleet, links)
    finally:
        fleet.stop()


@pytest.fixture
def brokers(started_brokers: LeaseBrokers) -> LeaseBrokers:
    """All brokers run, one holds the lease, no drain is active, and the logs are empty."""
    started_brokers.links.heal()
    for name in list(started_brokers.stopped):
        process = started_brokers[name].process
        assert process is not None
        if process.poll() is None:
            started_brokers.go_on(name)
        else:
            started_brokers.start(name)
    started_brokers.agree()
    started_brokers.wait_for_holder()
    started_brokers.undo_drain("b0")
    started_brokers.until(
        lambda: (
            len({tuple(started_brokers.job(name)["version"]) for name in started_brokers.names})
            == 1
            and started_brokers.drains("b0")["status"] not in ACTIVE
            and started_brokers.is_settled()
        )
    )
    for broker in started_brokers.fleet.brokers:
        (started_brokers.fleet.folder / f"broker-{broker.number}.log").write_bytes(b"")
    return started_brokers


def zone_a_nodes(brokers: LeaseBrokers) -> list[str]:
    return sorted(box.address for box in brokers.fleet.boxes if box.zone == "a")


def test_all_brokers_know_one_holder_and_a_drain_takes_each_node_once(
    brokers: LeaseBrokers,
) -> None:
    client = next(name for name in ("b3", "b4") if name != brokers.wait_for_holder())
    result = brokers.run_drain(client, "--zone", "a", "--every", "300ms")
    assert result.returncode == 0, result.stderr
    brokers.wait_all_done()
    check_one_node_a_step(brokers.applied_records(), zone_a_nodes(brokers))


def test_a_killed_holder_is_succeeded_and_the_drain_continues(brokers: LeaseBrokers) -> None:
    first = brokers.wait_for_holder()
    epoch = brokers.job(first)["epoch"]
    assert brokers.run_drain("b3", "--zone", "a", "--every", "400ms").returncode == 0
    brokers.until(lambda: brokers.drains("b4")["steps"] >= 2)
    brokers.end(first)
    since = time.monotonic()
    second = brokers.wait_for_holder(but=first)
    took = time.monotonic() - since
    assert took < 2.5 * LEASE + 1.0, took
    assert brokers.job(second)["epoch"] > epoch
    brokers.wait_all_done()
    check_one_node_a_step(brokers.applied_records(restarted=(first,)), zone_a_nodes(brokers))


def test_a_holder_that_resumes_after_two_successors_changes_nothing(brokers: LeaseBrokers) -> None:
    first = brokers.wait_for_holder()
    observer = next(name for name in ("b3", "b4") if name != first)
    assert brokers.run_drain(first, "--zone", "a", "--every", "400ms").returncode == 0
    brokers.until(lambda: brokers.drains(observer)["steps"] >= 1)
    brokers.stop(first)
    second = brokers.wait_for_holder(but=first)
    assert query_admin(("127.0.0.1", brokers[second].admin), "/owner/yield?job=drains", "POST")[
        "yielded"
    ]
    third = brokers.wait_for_holder(but=second)
    epoch = brokers.job(third)["epoch"]
    brokers.go_on(first)
    brokers.wait_all_done()
    assert brokers.job(first)["epoch"] >= epoch
    check_one_node_a_step(brokers.applied_records(), zone_a_nodes(brokers))


@pytest.mark.measures_time
def test_a_holder_that_stops_at_sigterm_hands_over_at_once(brokers: LeaseBrokers) -> None:
    first = brokers.wait_for_holder()
    brokers.end(first, by=signal.SIGTERM)
    second = brokers.wait_for_holder(but=first)
    (lost,) = brokers.logged(first, b'"lease_lost"')
    acquired = brokers.logged(second, b'"lease_acquired"')[0]
    assert lost["reason"] == "the broker is shutting down"
    assert logged_at(acquired) - logged_at(lost) < LEASE / 2


@pytest.mark.parametrize("can_send", [True, False])
def test_a_holder_cut_off_in_one_direction_loses_the_lease_once(
    brokers: LeaseBrokers, can_send: bool
) -> None:
    first = brokers.wait_for_holder()
    others = [name for name in brokers.names if name != first]
    if can_send:  # the others receive from it, and it receives from none of them
        brokers.links.cut(others, [first])
    else:
        brokers.links.cut([first], others)
    brokers.stopped.add(first)  # its view cannot agree with the others' while it is cut off
    brokers.until(lambda: brokers.is_settled() and brokers.holder() != first)
    second = brokers.wait_for_holder(but=first)
    epoch = brokers.job(second)["epoch"]
    brokers.until(lambda: not brokers.job(first)["here"])
    brokers.watch(4 * LEASE)  # it keeps starting elections, and the job stays with its holder
    assert brokers.job(second)["here"] and brokers.job(second)["epoch"] == epoch
    lost = {name: len(brokers.logged(name, b'"lease_lost"')) for name in brokers.names}
    assert lost == dict.fromkeys(brokers.names, 0) | {first: 1}
    brokers.stopped.discard(first)
    brokers.links.heal()
    brokers.agree()
    brokers.applied_records()


def test_a_holder_in_the_minority_partition_stops_and_the_majority_continues(
    brokers: LeaseBrokers,
) -> None:
    first = brokers.wait_for_holder()
    minority = [first] if first in VOTERS else [first, "b0"]
    majority = [name for name in brokers.names if name not in minority]
    assert brokers.run_drain("b3", "--zone", "a", "--every", "300ms").returncode == 0
    brokers.links.part(minority, majority)
    brokers.stopped |= set(minority)
    brokers.wait_for_holder(but=first)
    brokers.wait_all_done()
    brokers.stopped -= set(minority)
    brokers.until(lambda: not brokers.job(first)["here"])
    brokers.links.heal()
    brokers.agree()
    brokers.wait_all_done()
    check_one_node_a_step(brokers.applied_records(), zone_a_nodes(brokers))


def test_without_a_majority_all_brokers_show_no_holder_until_one_voter_returns(
    brokers: LeaseBrokers,
) -> None:
    epoch = brokers.job("b4")["epoch"]
    brokers.end("b1", "b2")
    brokers.until(lambda: all(brokers.job(name)["owner"] == "" for name in brokers.running()))
    shown = run("owner", f"127.0.0.1:{brokers['b3'].admin}")
    assert shown.returncode == 1 and "NOBODY" in shown.stdout
    brokers.start("b1")
    brokers.wait_for_holder()
    assert brokers.job("b4")["epoch"] > epoch


def test_all_voters_killed_at_once_keep_their_state_and_the_drain_continues(
    brokers: LeaseBrokers,
) -> None:
    assert brokers.run_drain("b3", "--zone", "a", "--every", "400ms").returncode == 0
    brokers.until(lambda: brokers.drains("b4")["steps"] >= 2)
    epoch = brokers.job("b4")["epoch"]
    brokers.end(*VOTERS)
    brokers.start(*VOTERS)
    brokers.wait_all_done()
    assert brokers.job("b4")["epoch"] >= epoch
    check_one_node_a_step(brokers.applied_records(restarted=tuple(VOTERS)), zone_a_nodes(brokers))


@pytest.mark.parametrize("damage", ["empty", "flipped"])
def test_a_voter_that_lost_its_state_recovers_and_votes(brokers: LeaseBrokers, damage: str) -> None:
    incarnation = brokers.leases_view("b1")["voter"]["life"]
    brokers.end("b1")
    if damage == "empty":
        shutil.rmtree(brokers.folder("b1"))
        os.mkdir(brokers.folder("b1"))
    else:
        path = brokers.folder("b1") / "voter.state"
        data = bytearray(path.read_bytes())
        data[len(data) // 2] ^= 1
        path.write_bytes(data)
    brokers.start("b1")
    (lost,) = brokers.logged("b1", b'"voter_state_lost"')
    assert lost["reason"] == (
        "the state file does not exist"
        if damage == "empty"
        else "the checksum of the state file is wrong"
    )
    brokers.until(lambda: bool(brokers.leases_view("b1")["voter"]["votes"]))
    assert brokers.leases_view("b1")["voter"]["life"] == incarnation + 1
    brokers.wait_for_holder()
    brokers.end("b0")  # now b1's vote is needed for a majority, also to elect the next holder
    second = brokers.wait_for_holder(but="b0")
    assert query_admin(("127.0.0.1", brokers[second].admin), "/owner/yield?job=drains", "POST")[
        "yielded"
    ]
    brokers.wait_for_holder(but=second)


def test_a_voter_whose_disk_fails_stops_voting_and_the_others_continue(
    brokers: LeaseBrokers,
) -> None:
    os.rename(brokers.folder("b2"), brokers.folder("moved"))
    try:
        assert brokers.run_drain("b3", "--zone", "a", "--every", "300ms").returncode == 0
        brokers.until(lambda: "cannot be written" in brokers.leases_view("b2")["voter"]["broken"])
        brokers.wait_all_done()
        shown = run("owner", f"127.0.0.1:{brokers['b2'].admin}")
        assert shown.returncode == 1 and "DOES NOT VOTE" in shown.stdout
        brokers.end("b2")
    finally:
        os.rename(brokers.folder("moved"), brokers.folder("b2"))
    brokers.start("b2")
    brokers.until(lambda: bool(brokers.leases_view("b2")["voter"]["votes"]))
    check_one_node_a_step(brokers.applied_records(restarted=("b2",)), zone_a_nodes(brokers))


def test_a_drain_continues_through_a_rolling_restart_of_all_brokers(brokers: LeaseBrokers) -> None:
    assert brokers.run_drain("b3", "--zone", "a", "--every", "500ms").returncode == 0
    for name in brokers.names:
        brokers.end(name, by=signal.SIGTERM)
        brokers.start(name)
        brokers.wait_for_holder()
    brokers.wait_all_done()
    check_one_node_a_step(
        brokers.applied_records(restarted=tuple(brokers.names)), zone_a_nodes(brokers)
    )


def test_commands_that_cannot_be_taken_are_rejected_with_the_reason_and_change_nothing(
    brokers: LeaseBrokers,
) -> None:
    before = brokers.job("b3")["version"]
    removed = [box for box in brokers.fleet.boxes if box.zone == "b" and box.cell == 0]
    for arguments, reason in (
        (["--zone", "nowhere"], "no box in zone nowhere"),
        (["--undo"], "no drain runs"),
    ):
        result = brokers.run_drain("b3", *arguments)
        assert result.returncode == 1 and reason in result.stderr, result.stderr
    for box in removed:
        box.listed = False
    brokers.fleet.write_list()
    try:
        holder = brokers.wait_for_holder()

        def is_removal_known() -> bool:  # to the lease holder
            return len(
                [row for row in brokers.logged(holder, b'"node_listed"') if row["state"] == "gone"]
            ) >= len(removed)

        brokers.until(is_removal_known)
        result = brokers.run_drain("b3", "--zone", "a")
        assert (
            result.returncode == 1 and "is the last box of cell 0: with force only" in result.stderr
        ), result.stderr
    finally:
        for box in removed:
            box.listed = True
        brokers.fleet.write_list()
    assert brokers.job("b3")["version"] == before


def test_a_drain_can_be_paused_resumed_and_undone(brokers: LeaseBrokers) -> None:
    assert (
        brokers.run_drain("b3", "--zone", "a", "--every", "30s", "--at-most", "2").returncode == 0
    )
    brokers.until(lambda: len(brokers.drains("b0")["out"]) == 1)
    assert brokers.run_drain("b1", "--stop").returncode == 0
    second = brokers.run_drain("b3", "--zone", "b")
    assert second.returncode == 1 and "a drain of zone a is stopped" in second.stderr
    assert brokers.run_drain("b4", "--go-on").returncode == 0
    assert brokers.run_drain("b2", "--undo").returncode == 0
    brokers.until(
        lambda: all(
            brokers.drains(name)["status"] == "undone" and not brokers.drains(name)["out"]
            for name in brokers.names
        )
    )
