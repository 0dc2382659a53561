"""A scale run: real brokers among simulated members and nodes; troubles in their order, while clients ask.

The order: the brokers alone, the start of all members, quiet (what control costs is measured then), a crash of some
members, a stall of a real broker, a cut, a zone's loss and return, a rolling restart of the real brokers. Each step is
over once all views are right again, or the run's time is. Clients, their notes and the audit are the bad day's.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from stepknot.net.tasks import Coroutine, Future, Park
from stepknot.nodes.exchange import Exchange, set_parser
from stepknot.simulation.audit import Records, audit
from stepknot.simulation.day import ADMISSION, Day
from stepknot.simulation.fleet import Broker, readable
from stepknot.simulation.scale_figures import (
    OWNERS,
    BrokerState,
    Cost,
    Sample,
    Times,
    broker_cost,
    member_cost,
    owner_rate,
    read_broker,
    shares,
)
from stepknot.simulation.scale_fleet import (
    DEADLINE,
    MembersProcess,
    NodesHost,
    ScaleFleet,
    Started,
    running,
)
from stepknot.simulation.scale_members import Address, Crash, Cut, MembersState
from stepknot.simulation.scale_model import ModelFigures, ModelSpec
from stepknot.simulation.scale_plan import ZONES, ScalePlan, chance
from stepknot.simulation.script import Script

LOOK = 0.1  # seconds between two looks at whether views are right: how fine the times are
FETCH_WITHIN = 2.0  # seconds for a process to answer such a look
READY_LOOK = 0.05  # seconds between two looks whether a process is up or over
ALONE, CALM = (
    8,
    20,
)  # periods for which the brokers alone, and the whole fleet in quiet, are measured
CRASHED, CUT_OFF = (
    1 / 20,
    1 / 8,
)  # of the simulated members: too few together for a loss that is waited out twice
STALLED = 0.6  # of the pause that membership bears
COLD_TIME = 3.0  # seconds for which a node that came back is cold
MODEL_WITHIN = 900.0  # seconds of this machine for the model
LOST_ZONE = ZONES[-1]


class Rule(msgspec.Struct, frozen=True):
    rule: str
    checks: int
    broken: int
    nearest: float | None
    unit: str
    breaches: list[str]


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of a run; costs are of one member in quiet, none where that was not reached."""

    real: int
    members: int
    nodes: int
    shards: int
    voters: int
    seed: int
    send_rate: int  # bytes a second that a member may send
    start_within: float
    seconds: float
    alone: float  # share of a core that a real broker had without other members; `broker` is beyond that
    broker: Cost | None
    member: Cost | None
    owner_sent: float  # bytes of ownership a second, of a simulated member
    model: ModelFigures | None
    times: Times
    false_deaths: int
    stood_still: int  # times that the stalled broker found that it had
    not_reached: list[str]  # steps whose end the run's time did not see
    answers: dict[str, int]
    rules: list[Rule]

    @property
    def good(self) -> bool:
        return not self.not_reached and not any(each.broken for each in self.rules)


@dataclass(slots=True)
class Measured:
    """What is known so far."""

    times: dict[str, float | None] = field(default_factory=dict)
    broker: Cost | None = None
    member: Cost | None = None
    stood_still: int = 0
    owner_sent: float = 0.0
    deaths: set[str] = field(default_factory=set)  # of members that were there
    struck: Counter[str] = field(default_factory=Counter)  # members, by the trouble that took them


class ScaleRun(Day):
    fleet: ScaleFleet

    def __init__(self, fleet: ScaleFleet, words: Callable[[str], None]) -> None:
        plan = fleet.scale
        super().__init__(fleet, Script(plan.seconds, plan.rate, ()), plan.seed, words)
        self.plan, self.measured = plan, Measured()
        self.chance = chance(plan, "troubles")
        self.quiet = True
        self.size = plan.real  # members that are there now
        self.crashed: list[str] = []
        self.empty_hosts: list[int] = []
        self.alone: list[float] = []
        self.empty_brokers: list[int] = []

    # --- the day's parts that differ

    def one_client(self) -> Coroutine:
        if not self.quiet:
            yield from super().one_client()

    def tend_boxes(self) -> None:
        for host in self.fleet.node_hosts:
            if host.listed and not host.running:
                host.listed = False
                for box in host.boxes:
                    box.listed = False
                self.write_list()
            elif not host.listed and host.running and readable(host.process):
                self.fleet.nodes_ready(host)
                self.write_list()

    def happen(self) -> Coroutine:
        self.end = self.begun + self.plan.seconds
        for step in (
            self.brokers_alone,
            self.start_members,
            partial(self.wait_owner, "owner"),
            self.calm,
            self.crash,
            self.stall,
            self.cut,
            self.lose_zone,
            self.roll,
            partial(self.wait_owner, "owner_again"),
        ):
            if self.loop.clock() < self.end:
                yield from step()
        self.until = self.loop.clock()

    # --- asking

    def fetch(self, address: str, path: str, message: msgspec.Struct | None = None) -> Coroutine:
        """The body of an answer; none where it does not come in time."""
        done, body = Future(), msgspec.json.encode(message) if message is not None else b""
        head = f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nhost: run\r\ncontent-length: {len(body)}\r\n\r\n"
        exchange = Exchange(head.encode() + body, partial(set_parser, done))
        self.pool.start(address, exchange)
        timer = self.loop.call_later(FETCH_WITHIN, done.set)
        parser = yield from done.wait()
        timer.cancel()
        if parser is None:
            exchange.cancel()
            return None
        return parser.body() if parser.status == 200 else None

    def broker_state(self, broker: Broker) -> Generator[Park, Any, BrokerState | None]:
        body = yield from self.fetch(f"127.0.0.1:{broker.port}", "/metrics")
        return read_broker(process_id(broker.process), body.decode()) if body is not None else None

    def host_state(
        self, host: MembersProcess, size: int
    ) -> Generator[Park, Any, MembersState | None]:
        body = yield from self.fetch(host.address, f"/state?size={size}")
        return msgspec.json.decode(body, type=MembersState) if body is not None else None

    def hosts_up(self) -> list[MembersProcess]:
        return [
            each
            for each in self.fleet.member_hosts
            if each.process is not None and each.process.poll() is None
        ]

    def sample(self, size: int) -> Generator[Park, Any, Sample]:
        """All are asked at once."""
        at = self.loop.clock()
        brokers = [self.loop.spawn(self.broker_state(each), "look") for each in self.fleet.brokers]
        hosts = [self.loop.spawn(self.host_state(each, size), "look") for each in self.hosts_up()]
        first, second = [], []
        for each in brokers:
            first.append((yield from each.wait()))
        for each in hosts:
            second.append((yield from each.wait()))
        return Sample(at, first, second)

    def whole_sample(self) -> Generator[Park, Any, Sample]:
        """Raises RuntimeError where somebody does not answer within the run's time."""
        while self.loop.clock() < self.end:
            sample = yield from self.sample(self.size)
            if sample.whole:
                return sample
        raise RuntimeError(
            "a broker, or a host of members, does not answer; its log in the run's folder says why"
        )

    def settle(self, name: str, size: int) -> Coroutine:
        """Until all views hold exactly so many members, or the run's time is over; notes how long it took."""
        begun, found = self.loop.clock(), None
        while self.loop.clock() < self.end:
            sample = yield from self.sample(size)
            if sample.settled(size):
                found = sample.at - begun
                break
            yield from self.loop.sleep(LOOK)
        self.measured.times[name] = found
        self.words(
            f"{self.loop.clock() - self.begun:7.1f} s  {name:<10} "
            + (
                f"{found:.2f} s until {size} members are held"
                if found is not None
                else "not in time"
            )
        )

    def order(
        self,
        path: str,
        message: msgspec.Struct | None = None,
        hosts: list[MembersProcess] | None = None,
    ) -> Coroutine:
        for host in hosts if hosts is not None else self.hosts_up():
            if (yield from self.fetch(host.address, path, message)) is None:
                raise RuntimeError(
                    f"{host.name} does not answer; its log in the run's folder says why"
                )

    # --- the steps

    def brokers_alone(self) -> Coroutine:
        """What real brokers and empty hosts cost before there is a member besides."""
        yield from self.settle("alone", self.plan.real)
        del self.measured.times["alone"]
        before = yield from self.whole_sample()
        yield from self.loop.sleep(ALONE * self.plan.period)
        after = yield from self.whole_sample()
        self.alone = shares(before, after)
        self.empty_brokers = [each.resident for each in after.brokers if each is not None]
        self.empty_hosts = [each.resident for each in after.hosts if each is not None]

    def start_members(self) -> Coroutine:
        self.quiet = False
        self.note_step("start", [self.plan.members])
        yield from self.order("/start")
        self.size = self.plan.size
        yield from self.loop.sleep(self.plan.start_within)
        yield from self.settle("start", self.size)

    def wait_owner(self, name: str) -> Coroutine:
        """With voters: until the job has its owner."""
        begun = self.loop.clock()
        while self.plan.voters and self.loop.clock() < self.end:
            sample = yield from self.sample(self.size)
            if sample.owned():
                self.measured.times[name] = sample.at - begun
                self.words(
                    f"{self.loop.clock() - self.begun:7.1f} s  {name:<10} {sample.at - begun:.2f} s"
                )
                return
            yield from self.loop.sleep(LOOK)

    def calm(self) -> Coroutine:
        self.quiet = True
        while self.open:
            yield from self.loop.sleep(LOOK)
        before = yield from self.whole_sample()
        yield from self.loop.sleep(CALM * self.plan.period)
        after = yield from self.whole_sample()
        self.measured.broker = broker_cost(before, after, self.alone, self.empty_brokers)
        self.measured.member = member_cost(before, after, self.empty_hosts)
        self.measured.owner_sent = owner_rate(before, after)
        self.quiet = False

    def crash(self) -> Coroutine:
        names = self.crashed = self.pick("crash", CRASHED)
        self.note_step("crash", names)
        for host in self.hosts_up():
            own = [name for name in names if name in host.names]
            yield from self.order("/crash", Crash(own), [host])
            host.names = [name for name in host.names if name not in own]
        self.size -= len(names)
        yield from self.settle("crash", self.size)

    def pick(self, trouble: str, share: float) -> list[str]:
        """Simulated members by chance, one at the least."""
        names = [name for host in self.fleet.member_hosts for name in host.names]
        found = self.chance.sample(names, max(1, round(share * len(names))))
        self.measured.struck[trouble] = len(found)
        return found

    def stall(self) -> Coroutine:
        """A real broker stands still for less than membership bears: nobody is to be held dead."""
        broker = self.fleet.brokers[-1]
        number = process_id(broker.process)
        before = yield from self.whole_sample()
        self.note_step("stall", [broker.name])
        self.events.note("broker_down", port=broker.port, stalled=True)
        os.kill(number, signal.SIGSTOP)
        try:
            yield from self.loop.sleep(STALLED * self.plan.pause)
        finally:
            os.kill(number, signal.SIGCONT)
        self.events.note("broker_up", port=broker.port, stalled=True)
        yield from self.settle("stall", self.size)
        after = yield from self.whole_sample()
        self.measured.stood_still = stood_still(after) - stood_still(before)
        yield from self.note_deaths(before, [])

    def cut(self) -> Coroutine:
        before = yield from self.whole_sample()
        names = self.pick("cut", CUT_OFF)
        inside: list[Address] = [
            address
            for host in before.hosts
            if host is not None
            for name, address in host.addresses.items()
            if name in names
        ]
        self.note_step("cut", names)
        yield from self.order("/cut", Cut(inside))
        yield from self.settle("cut", self.size - len(names))
        yield from self.order("/cut", Cut([]))
        yield from self.settle("heal", self.size)
        yield from self.note_deaths(before, names)

    def lose_zone(self) -> Coroutine:
        """The zone's nodes and simulated members: their processes are killed, and started again."""
        before = yield from self.sample(self.size)
        members = [each for each in self.fleet.member_hosts if each.zone == LOST_ZONE]
        nodes = [each for each in self.fleet.node_hosts if each.zone == LOST_ZONE]
        names = [name for host in members for name in host.names]
        self.measured.struck["zone"] = len(names)
        self.note_step("lose_zone", [LOST_ZONE])
        for process in [*(each.process for each in members), *(each.process for each in nodes)]:
            kill(process)
        yield from self.settle("zone_lost", self.size - len(names))
        self.note_step("zone_back", [LOST_ZONE])
        yield from self.zone_back(members, nodes)
        yield from self.settle("zone_back", self.size)
        while not all(each.listed for each in nodes) and self.loop.clock() < self.end:
            yield from self.loop.sleep(LOOK)
        yield from self.note_deaths(before, names)

    def zone_back(self, members: list[MembersProcess], nodes: list[NodesHost]) -> Coroutine:
        for each in nodes:
            self.fleet.start_nodes(each, cold=True)  # listed once it is ready: `tend_boxes`
        for host in members:
            self.fleet.start_members(host)
        for host in members:
            yield from self.wait_ready(host.process)
            self.fleet.members_ready(host)
        yield from self.order("/start", hosts=members)
        yield from self.loop.sleep(self.plan.start_within)

    def wait_ready(self, process: Started | None) -> Coroutine:
        while not readable(process):
            yield from self.loop.sleep(READY_LOOK)

    def roll(self) -> Coroutine:
        """Each real broker in turn: told to stop, over, started again, known to all."""
        before = yield from self.sample(self.size)
        longest = 0.0
        for broker in self.fleet.brokers:
            self.note_step("restart", [broker.name])
            process = broker.process
            assert process is not None
            process.terminate()
            while process.poll() is None:
                yield from self.loop.sleep(READY_LOOK)
            self.events.note("broker_down", port=broker.port)
            if process.stdout is not None:
                process.stdout.close()
            self.fleet.start_broker(broker)
            yield from self.wait_ready(broker.process)
            self.fleet.broker_ready(broker)
            self.events.note("broker_up", port=broker.port)
            yield from self.settle("restart", self.size)
            took = self.measured.times["restart"]
            if took is None:
                return
            longest = max(longest, took)
        self.measured.times["restart"] = longest
        yield from self.note_deaths(before, [])

    # --- notes

    def note_step(self, do: str, who: list[Any]) -> None:
        self.events.note("step", do=do, who=list(map(str, who)), lasts=0.0)
        shown = ", ".join(map(str, who[:8])) + (f" and {len(who) - 8} more" if len(who) > 8 else "")
        self.words(f"{self.loop.clock() - self.begun:7.1f} s  {do:<10} {shown}")

    def note_deaths(self, before: Sample, struck: list[str]) -> Coroutine:
        """Whom any simulated member held dead since then, though it was there and not cut off."""
        now, then = (yield from self.sample(self.size)).deaths(), before.deaths()
        self.measured.deaths |= {
            name
            for name, count in now.items()
            if count > then.get(name, 0) and name not in struck and name not in self.crashed
        }


def stood_still(sample: Sample) -> int:
    """At the broker that is stalled: the last one."""
    state = sample.brokers[-1]
    return state.stood_still if state is not None else 0


def process_id(process: Started | None) -> int:
    assert process is not None
    return process.pid


def kill(process: Started | None) -> None:
    assert process is not None
    process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()


# --- the whole


def run_scale(plan: ScalePlan, words: Callable[[str], None], with_model: bool = True) -> Result:
    """Play it, end all processes, audit what was seen, and run the model at the same size."""
    plan.folder.mkdir(parents=True, exist_ok=True)
    for old in plan.folder.glob("*.tap"):
        old.unlink()
    fleet = ScaleFleet.of(plan)
    fleet.settings |= {"cold_time": COLD_TIME, "deadline": DEADLINE, "admission": ADMISSION}
    run = ScaleRun(fleet, words)
    with running(fleet, words):
        run.run()
    return result_of(run, run_model(plan, run.measured.struck, words) if with_model else None)


def result_of(run: ScaleRun, model: ModelFigures | None) -> Result:
    plan, found = run.plan, run.measured
    return Result(
        real=plan.real,
        members=plan.members,
        nodes=plan.nodes,
        shards=plan.shards,
        voters=plan.voters,
        seed=plan.seed,
        send_rate=plan.member_rate,
        start_within=plan.start_within,
        seconds=run.until - run.begun,
        alone=sum(run.alone) / plan.real,
        broker=found.broker,
        member=found.member,
        owner_sent=found.owner_sent,
        model=model,
        times=Times(**found.times),
        false_deaths=len(found.deaths),
        stood_still=found.stood_still,
        not_reached=[
            name
            for name in Times.__struct_fields__
            if found.times.get(name) is None and (plan.voters or name not in OWNERS)
        ],
        answers=dict(run.counts),
        rules=[msgspec.convert(each.body(), Rule) for each in audit(Records.load(plan.folder))],
    )


def run_model(plan: ScalePlan, struck: Counter[str], words: Callable[[str], None]) -> ModelFigures:
    """In a process of its own. `struck`: how many members each trouble took in the run."""
    words(f"the model with {plan.size} members")
    spec = ModelSpec(
        plan.size,
        plan.seed,
        plan.period,
        plan.pause,
        plan.tombstone,
        plan.member_rate,
        plan.seconds,
        plan.real,
        ALONE * plan.period,
        plan.start_within,
        CALM * plan.period,
        struck["crash"],
        STALLED * plan.pause,
        struck["cut"],
        struck["zone"],
    )
    path = plan.folder / "model.json"
    path.write_bytes(msgspec.json.encode(spec))
    found = subprocess.run(
        [sys.executable, "-m", "stepknot.simulation.scale_model", str(path)],
        stdout=subprocess.PIPE,
        check=True,
        timeout=MODEL_WITHIN,
    )
    return msgspec.json.decode(found.stdout, type=ModelFigures)
