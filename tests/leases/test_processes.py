"""Five processes of the program, three of them voters, with links that fail, stalls, kills and lost disks.

What is checked is taken where the ledger's records are applied: each broker logs which record it applied, in order. No
record is applied after a newer one, none differs between two brokers, none drains more nodes than was commanded, and
no node is drained twice.
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
ACTIVE = {"running", "halted", "stopped"}  # of a drain that has not ended
Row = tuple[int, int, tuple[str, ...], str]  # epoch, step, what is out, status


def run(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "stepknot", *words], capture_output=True, text=True, timeout=60
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
        """The one that all running ones name; empty while they do not agree."""
        named = {self.job(name)["owner"] for name in self.running()}
        found = named.pop() if len(named) == 1 else ""
        return found if found and found not in self.stopped and self.job(found)["here"] else ""

    def wait_for_holder(self, but: str = "") -> str:
        found = [""]

        def there() -> bool:
            found[0] = self.holder()
            return found[0] not in ("", but)

        self.until(there)
        return found[0]

    def steady(self) -> bool:
        """One owner that every voter that runs granted its epoch: no claim of before can be granted any more. After two
        claimed at once, one voter may have promised the owner's epoch to the other; the owner then claims once more.
        """
        owner = self.holder()
        if not owner:
            return False
        voters = {
            name: self.leases_view(name)["voter"] for name in self.running() if name in VOTERS
        }
        promised = [each["promised"]["drains"] for each in voters.values()]
        claiming = [
            name for name in self.running() if name != owner and self.job(name)["phase"] != "idle"
        ]
        held = self.job(owner)
        granted = set(voters) <= set(held["granted_by"]) and max(promised) <= held["epoch"]
        return granted and not claiming and self.holder() == owner

    def drains(self, name: str) -> dict[str, Any]:
        return self.leases_view(name)["drains"] or {"status": "none", "steps": 0, "out": []}

    def wait_all_done(self) -> None:
        self.until(lambda: all(self.drains(name)["status"] == "done" for name in self.running()))

    def run_drain(self, name: str, *words: str) -> subprocess.CompletedProcess[str]:
        return run("drain", f"127.0.0.1:{self[name].admin}", *words)

    def undo_drain(self, by: str) -> None:
        """No drain is left. One that is stopped waits for an operator; another may end between the look and the order,
        and then the order is refused for just that reason.
        """
        status = self.drains(by)["status"]
        if status in ACTIVE:
            said = self.run_drain(by, "--undo")
            ended = said.returncode == 1 and 'no drain runs: done"' in said.stderr
            assert said.returncode == 0 or (status != "stopped" and ended), (
                status,
                said.returncode,
                said.stderr,
            )

    def folder(self, name: str) -> Path:
        return self.fleet.folder / f"votes-{name}"

    def applied_records(self, at_most: int = 1, restarted: tuple[str, ...] = ()) -> list[Row]:
        """All records that anybody carried out, in the ledger's order; a process that starts again begins anew."""
        seen: dict[tuple[int, int], Row] = {}
        for name in self.names:
            rows: list[Row] = [
                (row["epoch"], row["step"], tuple(row["drained"]), row["status"])
                for row in self.logged(name, b'"drains_changed"')
            ]
            for row in rows:
                assert seen.setdefault(row[:2], row) == row, f"{name} took another {row[:2]}"
                assert len(row[2]) <= at_most
            versions = [row[:2] for row in rows]
            if name not in restarted:
                assert versions == sorted(set(versions)), (
                    f"{name} took an older record after a newer one"
                )
        return [seen[version] for version in sorted(seen)]


def check_one_node_a_step(applied_records: list[Row], boxes: list[str]) -> None:
    """From one record to the next one box goes or comes, each of them once, in order."""
    gone: list[str] = []
    before: tuple[str, ...] = ()
    for _, _, out, _ in applied_records:
        assert len(set(out) ^ set(before)) <= 1, (before, out)
        gone += [each for each in out if each not in before]
        before = out
    assert gone == boxes and not before


def logged_at(row: dict[str, Any]) -> float:
    return datetime.fromisoformat(row["timestamp"]).timestamp()


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LeaseBrokers]:
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
def brokers(running: LeaseBrokers) -> LeaseBrokers:
    """All up, one owner, no drain."""
    running.links.heal()
    for name in list(running.stopped):
        process = running[name].process
        assert process is not None
        if process.poll() is None:
            running.go_on(name)
        else:
            running.start(name)
    running.agree()
    running.wait_for_holder()
    running.undo_drain("b0")
    running.until(
        lambda: (
            len({tuple(running.job(name)["version"]) for name in running.names}) == 1
            and running.drains("b0")["status"] not in ACTIVE
            and running.steady()
        )
    )
    for broker in running.fleet.brokers:
        (running.fleet.folder / f"broker-{broker.number}.log").write_bytes(b"")
    return running


def zone_a_nodes(brokers: LeaseBrokers) -> list[str]:
    return sorted(box.address for box in brokers.fleet.boxes if box.zone == "a")


def test_all_brokers_know_one_holder_and_a_drain_takes_each_node_once(
    brokers: LeaseBrokers,
) -> None:
    client = next(name for name in ("b3", "b4") if name != brokers.wait_for_holder())
    said = brokers.run_drain(client, "--zone", "a", "--every", "300ms")
    assert said.returncode == 0, said.stderr
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
    watching = next(name for name in ("b3", "b4") if name != first)
    assert brokers.run_drain(first, "--zone", "a", "--every", "400ms").returncode == 0
    brokers.until(lambda: brokers.drains(watching)["steps"] >= 1)
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
    owned = brokers.logged(second, b'"lease_acquired"')[0]
    assert lost["reason"] == "told to stop"
    assert logged_at(owned) - logged_at(lost) < LEASE / 2


@pytest.mark.parametrize("heard", [True, False])
def test_a_holder_cut_off_in_one_direction_loses_the_lease_once(
    brokers: LeaseBrokers, heard: bool
) -> None:
    first = brokers.wait_for_holder()
    others = [name for name in brokers.names if name != first]
    if heard:  # the others hear it, it hears nobody
        brokers.links.cut(others, [first])
    else:
        brokers.links.cut([first], others)
    brokers.stopped.add(first)  # it cannot agree with the others now
    brokers.until(lambda: brokers.steady() and brokers.holder() != first)
    second = brokers.wait_for_holder(but=first)
    epoch = brokers.job(second)["epoch"]
    brokers.until(lambda: not brokers.job(first)["here"])
    brokers.watch(4 * LEASE)  # it goes on trying, and does not make the job flap
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
    small = [first] if first in VOTERS else [first, "b0"]
    great = [name for name in brokers.names if name not in small]
    assert brokers.run_drain("b3", "--zone", "a", "--every", "300ms").returncode == 0
    brokers.links.part(small, great)
    brokers.stopped |= set(small)
    brokers.wait_for_holder(but=first)
    brokers.wait_all_done()
    brokers.stopped -= set(small)
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


@pytest.mark.parametrize("trouble", ["empty", "flipped"])
def test_a_voter_that_lost_its_state_recovers_and_votes(
    brokers: LeaseBrokers, trouble: str
) -> None:
    life = brokers.leases_view("b1")["voter"]["life"]
    brokers.end("b1")
    if trouble == "empty":
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
        if trouble == "empty"
        else "the checksum of the state file is wrong"
    )
    brokers.until(lambda: bool(brokers.leases_view("b1")["voter"]["votes"]))
    assert brokers.leases_view("b1")["voter"]["life"] == life + 1
    brokers.wait_for_holder()
    brokers.end("b0")  # now its vote is needed, also for the next owner
    second = brokers.wait_for_holder(but="b0")
    assert query_admin(("127.0.0.1", brokers[second].admin), "/owner/yield?job=drains", "POST")[
        "yielded"
    ]
    brokers.wait_for_holder(but=second)


def test_a_voter_whose_disk_fails_stops_voting_and_the_others_continue(
    brokers: LeaseBrokers,
) -> None:
    os.rename(brokers.folder("b2"), brokers.folder("aside"))
    try:
        assert brokers.run_drain("b3", "--zone", "a", "--every", "300ms").returncode == 0
        brokers.until(lambda: "cannot be written" in brokers.leases_view("b2")["voter"]["broken"])
        brokers.wait_all_done()
        shown = run("owner", f"127.0.0.1:{brokers['b2'].admin}")
        assert shown.returncode == 1 and "DOES NOT VOTE" in shown.stdout
        brokers.end("b2")
    finally:
        os.rename(brokers.folder("aside"), brokers.folder("b2"))
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
    gone = [box for box in brokers.fleet.boxes if box.zone == "b" and box.cell == 0]
    for words, reason in (
        (["--zone", "nowhere"], "no box in zone nowhere"),
        (["--undo"], "no drain runs"),
    ):
        said = brokers.run_drain("b3", *words)
        assert said.returncode == 1 and reason in said.stderr, said.stderr
    for box in gone:
        box.listed = False
    brokers.fleet.write_list()
    try:
        owner = brokers.wait_for_holder()

        def known() -> bool:  # to the owner
            return len(
                [row for row in brokers.logged(owner, b'"node_listed"') if row["state"] == "gone"]
            ) >= len(gone)

        brokers.until(known)
        said = brokers.run_drain("b3", "--zone", "a")
        assert (
            said.returncode == 1 and "is the last box of cell 0: with force only" in said.stderr
        ), said.stderr
    finally:
        for box in gone:
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
