"""Leases measured in its model, against two baselines on the same faults: `python bench/leases.py --seeds 20`.

Simulated: 5 voters, 45 clients, links of 0.2 to 2 ms, disks that take up to 5 ms. For each fault of the owner: how long
nobody acts, and how many acts two did at once. The baselines are textbook ones written here: a lock file with a
heartbeat (whoever finds it older than a lease takes it), and "the lowest name alive owns", by what each member heard of
the others within a lease. Acts are one each 50 ms by whoever holds that it owns the job; a process that stood still
acts once as it wakes, as one does that was stopped between its check and its act.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import click
from hdrh.histogram import HdrHistogram

from stepknot.leases.messages import VoterState
from stepknot.simulation.lease_model import Fleet, Process

ACT = 0.05  # seconds between two acts
VOTERS, CLIENTS, LEASE = 5, 45, 2.0
FAULTS = ("crash", "stop", "cut", "hand over")


@dataclass
class Outcome:
    way: str
    fault: str
    gap: float  # seconds without an owner, after the fault
    double: int  # acts carried out while another had done a newer owner's act, or at the same time


@dataclass
class Acts:
    """Taken where acts are carried out: when, by whom, under which epoch. The receiver's fence refuses older epochs."""

    fenced: bool
    newest: int = 0
    owner: str = ""
    last: float = 0.0
    gap: float = 0.0
    double: int = 0
    previous: set[str] = field(default_factory=set)

    def act(self, now: float, name: str, epoch: int) -> None:
        if self.fenced and epoch < self.newest:
            return
        self.newest = max(self.newest, epoch)
        if name in self.previous:  # somebody followed it already
            self.double += 1
            return
        if name != self.owner:
            if self.owner:
                self.previous.add(self.owner)
            self.owner = name
        self.gap = max(self.gap, now - self.last)
        self.last = now


def play(fault: str, seed: int) -> Outcome:
    """The decisions as they ship."""
    fleet = Fleet(VOTERS, CLIENTS, 1, seed, lease=LEASE, period=0.5)
    acts = Acts(fenced=True)
    fleet.run(10.0)
    name = next(
        each
        for each, process in fleet.processes.items()
        if process.node.jobs["job0"].candidate.may_act(fleet.clock(process))
    )
    acts.last, begun = fleet.now, fleet.now
    epochs = {name: fleet.processes[name].node.jobs["job0"].candidate.epoch}
    paused = begun + 4 * LEASE
    if fault == "crash":
        fleet.kill(name)
    elif fault == "stop":
        fleet.pause(name, 4 * LEASE)
    elif fault == "cut":
        fleet.faults.cut = lambda source, target: (
            source == name
        )  # it hears all and is heard by nobody
    else:
        process = fleet.processes[name]
        process.node.hand_over(fleet.clock(process), "job0", "")
        fleet.carry(process)
    while fleet.now < begun + 6 * LEASE:
        fleet.run(fleet.now + (0.005 if fault == "hand over" else ACT))
        if fault == "stop" and fleet.now - ACT < paused <= fleet.now:
            acts.act(fleet.now, name, epochs[name])  # it had checked before it was stopped
        for each, process in fleet.processes.items():
            owner = process.node.jobs["job0"].candidate
            if (
                process.running
                and fleet.now >= process.paused_until
                and owner.may_act(fleet.clock(process))
            ):
                epochs[each] = owner.epoch
                acts.act(fleet.now, each, owner.epoch)
    return Outcome("stepknot", fault, acts.gap, acts.double)


def quiet(jobs: int, every: float) -> tuple[float, float]:
    """Datagrams and saves a second of the whole fleet when nothing is wrong, each job writing its ledger that often."""
    fleet = Fleet(VOTERS, CLIENTS, jobs, 1, lease=LEASE, period=every)
    sent, saves = [0], [0]
    send, on_disk = fleet.send, fleet.on_disk

    def counted(source: Process, to: str, data: bytes) -> None:
        sent[0] += 1
        send(source, to, data)

    def saved(process: Process, state: VoterState) -> None:
        saves[0] += 1
        on_disk(process, state)

    fleet.run(10.0)
    fleet.send, fleet.on_disk = counted, saved  # type: ignore[method-assign]
    fleet.run(20.0)
    return sent[0] / 10.0, saves[0] / 10.0


def lock_file(fault: str, seed: int) -> Outcome:
    """Whoever holds the lock touches it each quarter of a lease; whoever finds it older than a lease takes it."""
    import random

    chance = random.Random(seed)
    acts, begun, holder, touched = Acts(fenced=False), 10.0, "b0", 10.0
    acts.last = begun
    now, awake_at, looks = (
        begun,
        begun + 4 * LEASE,
        {f"b{n}": chance.uniform(0, LEASE / 4) for n in range(1, 50)},
    )
    believes = {"b0"}
    while now < begun + 6 * LEASE:
        now += ACT
        if fault == "hand over" and holder == "b0":
            believes, touched = set(), -LEASE  # it removes the file
        able = {"crash": False, "stop": now >= awake_at, "cut": True, "hand over": False}[fault]
        if fault == "cut" and holder == "b0":
            touched = begun  # it cannot reach the file, and does not learn of that
        for name, offset in looks.items():
            if (now + offset) % (LEASE / 4) < ACT and now - touched > LEASE:
                holder, touched = name, now
                believes.add(name)
        if holder != "b0":
            touched = now
        for name in sorted(believes):
            if name != "b0" or able:
                acts.act(now, name, 0)
        if fault == "stop" and now >= awake_at + ACT:
            believes.discard("b0")  # its next heartbeat finds another's name
    return Outcome("lock file", fault, acts.gap, acts.double)


def lowest_name(fault: str, seed: int) -> Outcome:
    """Each member counts those as alive that it heard within a lease; the lowest name owns."""
    import random

    chance = random.Random(seed)
    acts, begun = Acts(fenced=False), 10.0
    acts.last = now = begun
    awake_at = begun + 4 * LEASE
    heard = {f"b{n}": begun - chance.uniform(0, LEASE / 4) for n in range(1, 50)}  # of b0, at each
    while now < begun + 6 * LEASE:
        now += ACT
        first = {"crash": False, "stop": now >= awake_at, "cut": True, "hand over": False}[fault]
        if fault == "stop" and now >= awake_at + LEASE / 4:
            heard = dict.fromkeys(heard, now)
        if fault == "hand over":
            heard = dict.fromkeys(heard, -LEASE)
        if first:
            acts.act(now, "b0", 0)
        if heard["b1"] < now - LEASE:  # b1 is the lowest that is left
            acts.act(now, "b1", 0)
    return Outcome("lowest name", fault, acts.gap, acts.double)


WAYS: dict[str, Callable[[str, int], Outcome]] = {
    "stepknot": play,
    "lock file": lock_file,
    "lowest name": lowest_name,
}


def percentile(values: list[float], share: float) -> float:
    histogram = HdrHistogram(1, 3_600_000, 3)
    for value in values:
        histogram.record_value(max(int(value * 1000), 1))
    return float(histogram.get_value_at_percentile(share)) / 1000


@click.command()
@click.option("--seeds", default=20, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
def main(seeds: int, jobs: int) -> None:
    """Time without an owner and acts by two at once, by fault of the owner."""
    with ProcessPoolExecutor(jobs) as pool:
        futures = {
            (way, fault): [pool.submit(play, fault, seed) for seed in range(1, seeds + 1)]
            for way, play in WAYS.items()
            for fault in FAULTS
        }
        click.echo(
            f"{'':<12} {'fault':<10} {'nobody acts, s: p50':>20} {'p99':>7} {'acts by two':>12}"
        )
        for (way, fault), each in futures.items():
            found = [future.result() for future in each]
            gaps = [one.gap for one in found]
            click.echo(
                f"{way:<12} {fault:<10} {percentile(gaps, 50):>20.3f} {percentile(gaps, 99):>7.3f} "
                f"{sum(one.double for one in found):>12}"
            )
        for count, every in ((1, 0.5), (50, 5.0)):
            datagrams, saves = quiet(count, every)
            click.echo(
                f"quiet, {count} jobs, a record each {every:g} s: {datagrams:.0f} datagrams and {saves:.0f} "
                f"saves a second by all {VOTERS + CLIENTS}"
            )


if __name__ == "__main__":
    main()
