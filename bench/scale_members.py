"""Membership against the number of members: the decisions as they ship, on the model's virtual clock and links.

CPU is that of one member's ticks and datagrams in a virtual second; what the model itself takes is left out.
Two runs for each size: one where all start within a second, until views are right; and one that begins with views that
are right, is quiet, loses one member, and then a zone (one member in 13), which returns. What takes longer than its cap
is told and is in no series. Rate and records are limited as shipped.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable, Iterator, Sequence

from scale_report import BROKERS, Effort, Finding, Gathered, Note, bytes_of

from stepknot.membership.model import MembershipSettings, Record, State
from stepknot.membership.protocol import MembershipProtocol
from stepknot.simulation.membership_model import Make, Model, Shipped
from stepknot.simulation.slopes import Series

ZONES = 13
SETTLE = 60.0  # virtual seconds for views to become right at the most
CALM, QUIET = 3.0, 10.0  # virtual seconds before what is quiet is measured, and for how long
LEARN = 30.0  # for a crash to be known to all
CUT = 20.0
LOOK = 0.25  # between two looks at the views
# Members, and how often it is repeated at the most: what the machine does in the time for a whole run.
STARTS = ((25, 9), (50, 9), (100, 9), (200, 9), (350, 1))
SETTLED = ((50, 9), (100, 9), (200, 9), (350, 1), (500, 1), (1000, 1))
CUTS_UP_TO = 350  # members, for the same reason
QUICK = ((25, 9), (50, 9), (100, 1))
ROOM = 8192  # records, where more than ship are kept
UP = (State.JOINING, State.ALIVE, State.SUSPECT)


class Timed(Shipped):
    """Keeps what its decisions took."""

    spent = 0.0  # seconds

    def tick(self, now: float) -> None:
        begun = time.thread_time()
        super().tick(now)
        self.spent += time.thread_time() - begun

    def receive(self, now: float, data: bytes) -> None:
        begun = time.thread_time()
        super().receive(now, data)
        self.spent += time.thread_time() - begun


def members(model: Model) -> list[Timed]:
    return [each.member for each in model.up() if isinstance(each.member, Timed)]


def settled(model: Model) -> bool:
    """As `Model.settled`, which compares all names, after a look at the counts alone."""
    count = len(model.up())
    return all(
        each.table.counts[State.ALIVE] == count == len(each.table.present)
        for each in members(model)
    ) and (model.settled())


def passed(model: Model, limit: float, done: Callable[[], bool]) -> float | None:
    """Virtual seconds until it is so; none where the limit comes first."""
    since = model.now
    for now in model.steps(since + limit, LOOK):
        if done():
            return now - since
    return None


class Run:
    """One fleet's story. `late`: what took longer than its cap."""

    def __init__(self, gathered: Gathered, size: int, model: Model) -> None:
        self.gathered, self.size, self.model = gathered, size, model
        self.late: list[str] = []

    def add(self, name: str, unit: str, value: float) -> None:
        self.gathered.add(name, unit, self.size, value)

    def wait(self, name: str, limit: float, done: Callable[[], bool]) -> None:
        took = passed(self.model, limit, done)
        if took is None:
            self.late.append(f"{name}: not within {limit:.0f} s")
        else:
            self.add(name, "virtual s", took)

    def start(self) -> None:
        """All begin knowing nobody but the seeds."""
        model = self.model
        model.run(1.0)
        self.wait("settled after all started within a second", SETTLE, lambda: settled(model))
        self.add(
            "start until settled or the cap, member that sent most",
            "bytes/s",
            max(each.sent for each in model.up()) / model.now,
        )
        self.add(
            "start until settled or the cap, CPU of a member",
            "us/s",
            self.spent() / self.size / model.now * 1e6,
        )
        self.add(
            "start until settled or the cap, kept back by the rate, all members",
            "datagrams",
            self.kept_back(),
        )

    def quiet(self) -> None:
        model = self.model
        model.run(model.now + CALM)
        sent, spent, kept = (
            {each.name: each.sent for each in model.up()},
            self.spent(),
            self.kept_back(),
        )
        model.run(model.now + QUIET)
        rates = sorted((each.sent - sent[each.name]) / QUIET for each in model.up())
        self.add("quiet, median member", "bytes/s", rates[len(rates) // 2])
        self.add("quiet, member that sends most", "bytes/s", rates[-1])
        self.add("quiet, CPU of a member", "us/s", (self.spent() - spent) / self.size / QUIET * 1e6)
        self.add(
            "quiet, kept back by the rate, all members",
            "datagrams/s",
            (self.kept_back() - kept) / QUIET,
        )

    def crash(self) -> None:
        model, kept = self.model, self.kept_back()
        victim = f"b{self.size - 1}"
        model.kill(victim)
        self.wait(
            "all learnt of a crash",
            LEARN,
            lambda: all(each.table.records[victim].state is State.DEAD for each in members(model)),
        )
        self.add("crash, kept back by the rate, all members", "datagrams", self.kept_back() - kept)

    def cut(self) -> None:
        model = self.model
        zone = {f"b{number}" for number in range(0, self.size, ZONES)}
        spent, begun, kept = self.spent(), model.now, self.kept_back()
        model.network.cut = lambda source, target: (source in zone) != (target in zone)
        model.run(model.now + CUT)
        model.network.cut = lambda source, target: False
        self.wait("settled after a zone returned", SETTLE, lambda: settled(model))
        self.add(
            "zone's cut and return, kept back by the rate, all members",
            "datagrams",
            self.kept_back() - kept,
        )
        self.add(
            "zone's cut and return, CPU of a member",
            "us/s",
            (self.spent() - spent) / self.size / (model.now - begun) * 1e6,
        )

    def notes(self, seed: int) -> Iterator[Note]:
        for text in self.late:
            yield Note(f"members: {self.size} members, seed {seed}: {text}")
        refused = sum(each.table.refused for each in self.everyone())
        if refused:
            yield Note(
                f"members: {self.size} members, seed {seed}: {refused} records refused for want of room"
            )

    def everyone(self) -> list[Timed]:
        """Those that died too."""
        return [
            each.member for each in self.model.processes.values() if isinstance(each.member, Timed)
        ]

    def spent(self) -> float:
        return sum(each.spent for each in self.everyone())

    def kept_back(self) -> int:
        return sum(each.counters["kept back"] for each in self.everyone())


def record(number: int, state: State = State.ALIVE) -> Record:
    birth = random.Random(number).getrandbits(32)  # as long on the wire as a real one
    return Record(f"b{number}", "127.0.0.1", 1 + number, 1000 + number, birth, 0, state)


def make_settled(size: int) -> Make:
    """Members that hold each other to be alive from the start, with nothing left to tell."""
    records = [record(number) for number in range(size)]

    def make(settings: MembershipSettings, own: Record, seed: int) -> Timed:
        member = Timed(settings, record(int(own.name[1:]), State.JOINING), seed)
        member.member.has_joined = True
        member.refutation.set_state(-math.inf, State.ALIVE, "it is settled")
        for each in records:
            member.view.merge(-math.inf, each, "it is settled")
        member.view.gossip.rounds_left.clear()
        member.take()
        return member

    return make


def play_start(gathered: Gathered, size: int, seed: int) -> Iterator[Note]:
    run = Run(gathered, size, Model(size, seed, MembershipSettings(), Timed))
    run.start()
    yield from run.notes(seed)


def play_settled(gathered: Gathered, size: int, seed: int) -> Iterator[Note]:
    run = Run(gathered, size, Model(size, seed, MembershipSettings(), make_settled(size)))
    run.quiet()
    run.crash()
    if size <= CUTS_UP_TO:
        run.cut()
    yield from run.notes(seed)


def against_records(effort: Effort) -> Iterator[Finding]:
    """What one member keeps of so many others."""
    gathered = Gathered("records", BROKERS)
    for count in effort.sizes(50, 200, 1000, 3000, BROKERS):
        for _ in effort.seeds:
            size, _ = bytes_of(lambda count=count: table_of(count))  # type: ignore[misc]
            gathered.add("memory of one member's table", "bytes", count, size)
    yield from gathered.series("members")
    kept = len(table_of(BROKERS, MembershipSettings().most).table.records)
    yield Note(
        f"members: as shipped a table keeps {kept} records of {BROKERS} members ({MembershipSettings().most}, those "
        f"that died within {MembershipSettings().tombstone:.0f} s among them); its memory is measured with {ROOM}"
    )


def table_of(count: int, most: int = ROOM) -> MembershipProtocol:
    made = MembershipProtocol(MembershipSettings(max_records=most), record(0, State.JOINING), 1)
    for number in range(1, count):
        made.view.merge(1.0, record(number), "told")
    return made


def binding(found: Sequence[Series]) -> Iterator[Note]:
    """From which size on the rate held anything back."""
    for series in found:
        if "kept back" in series.name:
            sizes = [point.x for point in series.points if point.spread.median > 0]
            yield Note(
                f"{series.name}: "
                + (f"from {min(sizes):.0f} members on" if sizes else "nothing at any size")
            )


def measure(effort: Effort) -> Iterator[Finding]:
    yield from against_records(effort)
    gathered = Gathered("members", BROKERS)
    for play, plan in ((play_start, STARTS), (play_settled, SETTLED)):
        for size, repeats in QUICK if effort.quick else plan:
            for seed in effort.seeds[:repeats]:
                yield from play(gathered, size, seed)
    found = gathered.series("members")
    yield from found
    yield from binding(found)
