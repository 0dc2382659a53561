"""Seeded runs of membership: random days, arbitrary and malformed datagrams, operators' views and metrics."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from bench.trace_packages.trace import Trace
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.config.membership import Peers
from stepknot.membership import wire
from stepknot.membership.model import MemberCount, MembershipSettings, Record, State, StateChange
from stepknot.simulation.membership_model import Address, Make, Model, Shipped
from stepknot.simulation.membership_search import Day

EXPECTED = "d42665b18db3c68153d7f951dbbd115864a48d298bfdfcf66f2a03f0ed2d5054"
DAYS = ((20, 8), (112, 9))  # a seed, and the upper bound of the size
FLEET = "stepknot"


class StillLoop:
    """A loop whose time the recorder sets; its socket keeps what is sent."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.now = 0.0
        self.address = ("127.0.0.1", 9600)

    def clock(self) -> float:
        return self.now

    def datagrams(self, *given: Any) -> StillLoop:
        return self

    def call_later(self, delay: float, what: Callable[[], None]) -> None:
        self.trace.add(delay)

    def send(self, address: Address, data: bytes) -> None:
        self.trace.add(*address, data)

    def on_error(self, where: str, error: BaseException) -> None:
        raise error


def add_changes(trace: Trace, changes: list[StateChange]) -> None:
    """Changes of a view, with their evidence."""
    for change in changes:
        trace.add(change.version, change.name, change.old_state, change.new_state, change.reason)


def add_count(trace: Trace, count: MemberCount) -> None:
    """How many members there are."""
    trace.add(count.lower_bound, count.upper_bound, count.is_certain)


def recording(trace: Trace) -> Make:
    """Members that record what they send, change and count."""

    class Recorded(Shipped):
        def take(self) -> tuple[list[tuple[Address, bytes]], list[StateChange]]:
            out, changes = super().take()
            for address, data in out:
                trace.add(*address, data)
            add_changes(trace, changes)
            return out, changes

        def tick(self, now: float) -> None:
            super().tick(now)
            add_count(trace, self.count(now))
            trace.add(self.isolation.is_isolated, self.isolation.reason)
            trace.add(self.member.stepped_aside, self.health.last_stall)

    return Recorded


def add_ends(trace: Trace, model: Model) -> None:
    """Each member's counters and view at a run's end."""
    for process in model.processes.values():
        member: Any = process.member
        for name, count in sorted(member.counters.items()):
            trace.add(name, count)
        for name, state in sorted(member.states().items()):
            trace.add(name, state)
        trace.add(member.table.digest, member.table.version, member.table.refused)


def play_days(trace: Trace) -> None:
    """Random days with loss, pauses, crashes and cuts."""
    for seed, size in DAYS:
        day = Day(seed, size)
        day.model.make = recording(trace)
        trace.add(day.play().wrong)
        add_ends(trace, day.model)


def play_fleet(trace: Trace) -> None:
    """Twelve members: the rings name some; a crash, a leave, a pause, a split, a name that is taken over."""
    model = Model(12, 5, MembershipSettings(tombstone=30.0), recording(trace))
    model.run(12.0)
    model.kill("b1")
    model.leave("b2")
    model.pause("b4", 12.0)
    model.run(19.0)
    model.start("b4", address=("127.0.0.1", 999))
    model.run(28.0)
    small = {"b5", "b6", "b7"}
    model.network.cut = lambda source, target: (source in small) != (target in small)
    model.run(45.0)
    model.network.cut = lambda source, target: False
    model.run(60.0)
    add_ends(trace, model)


def any_record(chance: random.Random) -> Record:
    """A record that may make no sense, of the own name at times."""
    return Record(
        chance.choice(["me", *"abcdefghijklmnop"]),
        "127.0.0.1",
        chance.randrange(1, 9),
        chance.randrange(12),
        chance.randrange(3),
        chance.randrange(3),
        State(chance.randrange(5)),
    )


def any_message(chance: random.Random, identities: list[int]) -> wire.Message:
    """A message of any kind, with any content of its types."""
    kind = chance.randrange(7)
    if kind == 0:
        numbers = chance.randrange(-1, 5000), chance.randrange(2**62), chance.randrange(-1, 3)
        return wire.Heartbeat(*numbers, chance.random() < 0.5, chance.random() < 0.5)
    if kind == 1:
        return wire.IndirectProbeRequest(
            [any_record(chance).name for _ in range(chance.randrange(5))]
        )
    if kind == 2:
        sign = any_record(chance)
        return wire.IndirectProbeAnswer(
            [wire.Observation(sign.name, *sign.process, chance.randrange(-1, 9000))]
        )
    if kind == 3:
        return wire.JoinRequest()
    if kind == 4:
        return wire.Gossip(
            [any_record(chance) for _ in range(chance.randrange(9))],
            [
                wire.ShortUpdate(
                    chance.choice(identities), chance.randrange(3), State(chance.randrange(5))
                )
                for _ in range(chance.randrange(4))
            ],
        )
    if kind == 5:
        return wire.RecordRequest(
            [chance.choice(identities)], chance.randbytes(chance.randrange(60))
        )
    return wire.AntiEntropyRequest(
        chance.randrange(64), chance.randrange(64), chance.randbytes(chance.randrange(60))
    )


def play_arbitrary(trace: Trace) -> None:
    """Well-formed messages without sense, and malformed ones, to the broker's driver; its view and metrics."""
    for seed in range(9):
        chance, loop = random.Random(seed), StillLoop(trace)
        settings = MembershipSettings(
            max_records=12, tombstone=60.0, configured=5, seeds=(("127.0.0.1", 1), ("127.0.0.1", 2))
        )
        peers = Peers(
            "me", ("127.0.0.1", 9600), None, settings if seed % 3 else MembershipSettings()
        )
        driver: Any = MembershipDriver(
            loop,  # type: ignore[arg-type]
            peers,
            seed,
            trace.add,
            lambda event, **fields: trace.add(*fields.values()),
            wall=lambda: 0.011,
        )
        for number in range(300):
            loop.now += chance.choice([0.0, 0.05, 0.05, 0.1, 0.3, 4.0])
            identities = [*driver.protocol.table.identities, 7]
            message = any_message(chance, identities)
            data = wire.encode(
                FLEET if chance.random() < 0.99 else "x", any_record(chance), message
            )
            if chance.random() < 0.02:
                data = data[: chance.randrange(len(data))] + chance.randbytes(
                    chance.choice([1, 1200])
                )
            driver.on_datagram((), data)
            driver.tick()
            if number % 60 == 0:
                trace.add(orjson.dumps(driver.view()))
        for metric in driver.collect():
            for sample in metric.samples:
                trace.add(sample.name, *sample.labels.values(), float(sample.value))
        driver.leave()
        for _ in range(4):
            loop.now += 0.1
            driver.tick()
        trace.add(orjson.dumps(driver.view()), driver.send_to("a", b"data"))


def record(trace: Trace) -> None:
    """All of it."""
    play_days(trace)
    play_fleet(trace)
    play_arbitrary(trace)
