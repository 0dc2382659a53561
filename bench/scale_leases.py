"""Leases against members, jobs and voters: the decisions as they ship, in their model, when nothing is wrong.

Counted once every job has an owner. The model's own check of who acts at each moment is left out here: it looks at all
members for each tick; `tests/leases` and the search make it. CPU is that of ticks and datagrams.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from scale_report import BROKERS, Effort, Finding, Gathered, Note

from stepknot.leases.messages import MAX_JOBS, VoterState
from stepknot.simulation.lease_model import Fleet, Process

LEASE = 2.0  # seconds
LEDGER = 5.0  # seconds between two records of a job
BEGIN, QUIET = 10.0, 10.0  # virtual seconds until it is counted, and for how long
FEW, MANY = 1, 10  # jobs, where members are looked at
SIZES = {
    FEW: (10, 25, 50, 100, 200),
    MANY: (10, 25, 50, 100),
}  # members, in the time for a whole run


class Counted(Fleet):
    """Counts what is sent and saved, and what decisions take, by member."""

    def __init__(self, *given: Any, **named: Any) -> None:
        self.datagrams: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self.saves: Counter[str] = Counter()
        self.spent = 0.0  # seconds, of all
        super().__init__(*given, **named)

    def start(self, name: str) -> None:
        super().start(name)
        node = self.processes[name].node
        node.tick = self.timed(node.tick)  # type: ignore[method-assign]
        node.receive = self.timed(node.receive)  # type: ignore[method-assign]

    def timed(self, what: Callable[..., None]) -> Callable[..., None]:
        def call(*given: Any) -> None:
            begun = time.thread_time()
            what(*given)
            self.spent += time.thread_time() - begun

        return call

    def send(self, source: Process, to: str, data: bytes) -> None:
        self.datagrams[source.name] += 1
        self.bytes[source.name] += len(data)
        super().send(source, to, data)

    def on_disk(self, process: Process, saved: VoterState) -> None:
        self.saves[process.name] += 1
        super().on_disk(process, saved)

    def look(self) -> None:
        """Who acts is not checked here."""

    def reset(self) -> None:
        for counter in (self.datagrams, self.bytes, self.saves):
            counter.clear()
        self.spent = 0.0

    def jobs_owned(self) -> int:
        return sum(
            any(
                each.node.jobs[job].candidate.may_act(self.clock(each))
                for each in self.processes.values()
            )
            for job in self.jobs
        )


def play(
    gathered: Gathered, x: float, voters: int, members: int, jobs: int, seed: int
) -> Note | None:
    fleet = Counted(voters, members - voters, jobs, seed, lease=LEASE, period=LEDGER)
    fleet.run(BEGIN)
    owned = fleet.jobs_owned()
    fleet.reset()
    fleet.run(BEGIN + QUIET)
    rates = sorted(fleet.bytes[name] / QUIET for name in fleet.processes)
    gathered.add(
        "datagrams of all members", "datagrams/s", x, sum(fleet.datagrams.values()) / QUIET
    )
    gathered.add(
        "datagrams of the member that sends most",
        "datagrams/s",
        x,
        max(fleet.datagrams.values()) / QUIET,
    )
    gathered.add("bytes of the median member", "bytes/s", x, rates[len(rates) // 2])
    gathered.add("bytes of the member that sends most", "bytes/s", x, rates[-1])
    gathered.add("saves of all voters", "saves/s", x, sum(fleet.saves.values()) / QUIET)
    gathered.add("CPU of a member, mean", "us/s", x, fleet.spent / members / QUIET * 1e6)
    return (
        Note(
            f"owners: {voters} voters, {members} members, {jobs} jobs, seed {seed}: {owned} of the jobs have an "
            f"owner after {BEGIN:.0f} s"
        )
        if owned < jobs
        else None
    )


def measure(effort: Effort) -> Iterator[Finding]:
    yield Note(
        f"owners: lease {LEASE:g} s, each job's ledger written about each {LEDGER:g} s; a fleet keeps "
        f"{MAX_JOBS} jobs at the most"
    )
    for voters in (3, 5):
        for jobs in (FEW, MANY):
            gathered = Gathered("members", BROKERS)
            for members in effort.sizes(*SIZES[jobs]):
                for seed in effort.seeds:
                    note = play(gathered, members, voters, members, jobs, seed)
                    if note is not None:
                        yield note
            yield from gathered.series(f"owners, {voters} voters, {jobs} jobs")
        gathered = Gathered("jobs", MAX_JOBS)
        for jobs in (1, 3, 10) if effort.quick else (1, 10, 50):
            for seed in effort.seeds:
                note = play(gathered, jobs, voters, 25, jobs, seed)
                if note is not None:
                    yield note
        yield from gathered.series(f"owners, {voters} voters, 25 members")
