"""Seeded runs of membership: random scenarios, arbitrary and malformed datagrams, operators' views and metrics."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from bench.trace_packages.trace import Trace, recorded_text
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.config.membership import Peers
from stepknot.membership import wire
from stepknot.membership.model import MemberCount, MembershipSettings, Record, State, StateChange
from stepknot.simulation.membership_model import Address, Make, Model, Shipped
from stepknot.simulation.membership_search import Day

EXPECTED = "d42665b18db3c68153d7f951dbbd115864a48d298bfdfcf66f2a03f0ed2d5054"
DAYS = ((20, 8), (112, 9))  # a seed, and the maximum number of members
FLEET = "stepknot"
# The digest was recorded with other texts of the reasons. Each pair has a pattern of the present text and the text as
# it was recorded; `as_recorded` applies all of them in this order. Texts that are not listed are unchanged.
RECORDED_TEXTS = (
    (r"^this process started$", "this process"),
    (r"^gossip from (.*)$", r"\1 says so"),
    (r"^the member itself reported this state$", "its own word"),
    (r"^no seed other than this member is configured$", "there is no seed to ask"),
    (r"^admitted by the fleet$", "let in"),
    (r"^this process is shutting down$", "told to stop"),
    (r"^refuted with a greater incarnation$", "proves itself"),
    (r"^the process has no greater incarnation left$", "its incarnations are spent"),
    (r"^another process that has ended used this name$", "an earlier process had this name"),
    (
        r"^another process uses this name and has precedence: (epoch .*)$",
        r"another process took this name: \1",
    ),
    (r"^no epoch after \d+ is left for this name$", "no epoch is left for this name"),
    (r"^tombstone expired$", "its tombstone's time is over"),
    (r"^evicted because the table is full$", "no room"),
    (r"^no seed has answered the join request$", "no seed has let it in"),
    (
        r"^datagrams arrive here from (\d+) of (\d+) neighbours, "
        r"and this member's own datagrams are known to reach (\d+) of \2 neighbours$",
        r"of \2 neighbours \1 are heard, and \3 hear it",
    ),
    (
        r"^(\d+ of \d+ members are suspect) or were declared dead recently$",
        r"\1 or died lately",
    ),
    # Sources of a sign of life, which are also part of the evidence of a suspicion or a death.
    (r"\breceived here\b", "heard here"),
    (r"\breceived by (\w+)", r"\1 heard it"),
    (r"^no sign of life for (\S+) s \(last: (.*)\); ", r"silent for \1 s (last \2); "),
    (r"^no sign of life for (\S+) s \(none before\); ", r"silent for \1 s (never heard); "),
    (r"; absence of a newer sign confirmed by no helper$", "; nobody had nothing younger"),
    (r"; absence of a newer sign confirmed by (.*)$", r"; \1 had nothing younger"),
)


def as_recorded(reason: str) -> str:
    """A reason in the text with which the digest was recorded."""
    return recorded_text(reason, RECORDED_TEXTS)


def encode_view(view: dict[str, Any]) -> bytes:
    """The operators' view in JSON, with its reasons as recorded."""
    members = [
        row | {"why": as_recorded(row["why"]), "sign_by": as_recorded(row["sign_by"])}
        for row in view["members"]
    ]
    isolated_why = as_recorded(view["isolated_why"])
    return orjson.dumps(view | {"isolated_why": isolated_why, "members": members})


class ManualLoop:
    """A loop whose time the recorder sets. Timers and sent datagrams are added to the trace."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.now = 0.0
        self.address = ("127.0.0.1", 9600)

    def clock(self) -> float:
        return self.now

    def datagrams(self, *given: Any) -> ManualLoop:
        return self

    def call_later(self, delay: float, what: Callable[[], None]) -> None:
        self.trace.add(delay)

    def send(self, address: Address, data: bytes) -> None:
        self.trace.add(*address, data)

    def run_callback(self, name: str, callback: Callable[..., object], *args: object) -> None:
        callback(*args)


def add_changes(trace: Trace, changes: list[StateChange]) -> None:
    """Add the state changes of a view, with their reasons."""
    for change in changes:
        reason = as_recorded(change.reason)
        trace.add(change.version, change.name, change.old_state, change.new_state, reason)


def add_count(trace: Trace, count: MemberCount) -> None:
    """Add the bounds of the number of members."""
    trace.add(count.lower_bound, count.upper_bound, count.is_certain)


def recording(trace: Trace) -> Make:
    """Make members that record what they send, and their state changes and counts."""

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
            trace.add(self.isolation.is_isolated, as_recorded(self.isolation.reason))
            trace.add(self.member.stepped_aside, self.health.last_stall)

    return Recorded


def add_ends(trace: Trace, model: Model) -> None:
    """Add each member's counters and view at the end of a run."""
    for process in model.processes.values():
        member: Any = process.member
        for name, count in sorted(member.counters.items()):
            trace.add(name, count)
        for name, state in sorted(member.states().items()):
            trace.add(name, state)
        trace.add(member.table.digest, member.table.version, member.table.refused)


def play_days(trace: Trace) -> None:
    """Run random scenarios with loss, pauses, crashes and partitions."""
    for seed, size in DAYS:
        day = Day(seed, size)
        day.model.make = recording(trace)
        trace.add(day.play().wrong)
        add_ends(trace, day.model)


def play_fleet(trace: Trace) -> None:
    """Run twelve members, which observe only their ring neighbours, with a crash, a leave, a pause, a partition and a
    name that another process takes over.
    """
    model = Model(12, 5, MembershipSettings(tombstone=30.0), recording(trace))
    model.run(12.0)
    model.kill("b1")
    model.leave("b2")
    model.pause("b4", 12.0)
    model.run(19.0)
    model.start("b4", address=("127.0.0.1", 999))
    model.run(28.0)
    minority = {"b5", "b6", "b7"}
    model.network.cut = lambda source, target: (source in minority) != (target in minority)
    model.run(45.0)
    model.network.cut = lambda source, target: False
    model.run(60.0)
    add_ends(trace, model)


def any_record(rng: random.Random) -> Record:
    """A valid record with arbitrary values, sometimes of the own name."""
    return Record(
        rng.choice(["me", *"abcdefghijklmnop"]),
        "127.0.0.1",
        rng.randrange(1, 9),
        rng.randrange(12),
        rng.randrange(3),
        rng.randrange(3),
        State(rng.randrange(5)),
    )


def any_message(rng: random.Random, identities: list[int]) -> wire.Message:
    """A message of any kind with arbitrary values."""
    kind = rng.randrange(7)
    if kind == 0:
        numbers = rng.randrange(-1, 5000), rng.randrange(2**62), rng.randrange(-1, 3)
        return wire.Heartbeat(*numbers, rng.random() < 0.5, rng.random() < 0.5)
    if kind == 1:
        return wire.IndirectProbeRequest([any_record(rng).name for _ in range(rng.randrange(5))])
    if kind == 2:
        subject = any_record(rng)
        return wire.IndirectProbeAnswer(
            [wire.Observation(subject.name, *subject.process, rng.randrange(-1, 9000))]
        )
    if kind == 3:
        return wire.JoinRequest()
    if kind == 4:
        return wire.Gossip(
            [any_record(rng) for _ in range(rng.randrange(9))],
            [
                wire.ShortUpdate(rng.choice(identities), rng.randrange(3), State(rng.randrange(5)))
                for _ in range(rng.randrange(4))
            ],
        )
    if kind == 5:
        return wire.RecordRequest([rng.choice(identities)], rng.randbytes(rng.randrange(60)))
    return wire.AntiEntropyRequest(
        rng.randrange(64), rng.randrange(64), rng.randbytes(rng.randrange(60))
    )


def play_arbitrary(trace: Trace) -> None:
    """Send arbitrary well-formed and malformed messages to the broker's driver, and add its view and metrics."""

    def log(event: str, **fields: Any) -> None:
        if "reason" in fields:
            fields["reason"] = as_recorded(fields["reason"])
        trace.add(*fields.values())

    for seed in range(9):
        rng, loop = random.Random(seed), ManualLoop(trace)
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
            log,
            wall=lambda: 0.011,
        )
        for number in range(300):
            loop.now += rng.choice([0.0, 0.05, 0.05, 0.1, 0.3, 4.0])
            identities = [*driver.protocol.table.identities, 7]
            message = any_message(rng, identities)
            data = wire.encode(FLEET if rng.random() < 0.99 else "x", any_record(rng), message)
            if rng.random() < 0.02:
                data = data[: rng.randrange(len(data))] + rng.randbytes(rng.choice([1, 1200]))
            driver.on_datagram((), data)
            driver.tick()
            if number % 60 == 0:
                trace.add(encode_view(driver.view()))
        for metric in driver.collect():
            for sample in metric.samples:
                trace.add(sample.name, *sample.labels.values(), float(sample.value))
        driver.leave()
        for _ in range(4):
            loop.now += 0.1
            driver.tick()
        trace.add(encode_view(driver.view()), driver.send_to("a", b"data"))


def record(trace: Trace) -> None:
    """Run all scenarios."""
    play_days(trace)
    play_fleet(trace)
    play_arbitrary(trace)
