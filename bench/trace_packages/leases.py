"""Seeded runs of leases: simulated fleets under faults and commands, the model checker, rolling drains, the list.

`EXPECTED` was recorded with earlier texts of some messages; `RECORDED_TEXTS` translates the present texts back to them.
"""

from __future__ import annotations

import dataclasses
import random
from hashlib import blake2b

import msgspec

from bench.trace_packages.trace import Trace, Value, recorded_text
from stepknot.broker.voter_store import encode_state
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import ListKind, ListReceived, ServerEntry, ServerState
from stepknot.leases import messages, rolling_drains
from stepknot.leases.errors import CommandRejectedError
from stepknot.leases.job import JobHandler
from stepknot.simulation.lease_model import Fleet, Process
from stepknot.simulation.lease_model_messages import encode
from stepknot.simulation.lease_model_world import Parts, Scope, World

EXPECTED = "9d3ded450570e7cda3cfe1f03f34df8fde5103f173aa8f870f64f38b42a4d828"
# Voters, clients, jobs, and the difference of clock rates beyond the configured drift.
FLEETS = ((3, 2, 2, 0.0), (5, 3, 2, 0.0), (3, 4, 1, 0.7))
SECONDS = 24.0
WITHOUT_TIME = Scope(claims=3, writes=2, crashes=2, losses=2)
WITH_TIME = Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1)

# A message as it is now, as a pattern for the whole text, and the text as it was when `EXPECTED` was recorded.
RECORDED_TEXTS = (
    (
        r"\Athe lease expired before a majority of voters renewed it\Z",
        "its lease ran out before a majority renewed it",
    ),
    (r"\Athe broker is shutting down\Z", "told to stop"),
    (
        r"\A(\w+) holds a later record \(by epoch and step\) than the one that this epoch continues from\Z",
        r"\1 holds a later record than this epoch began with",
    ),
)


def as_recorded(value: Value) -> Value:
    """The value as it was recorded: a reworded message is translated, any other value is unchanged."""
    return recorded_text(value, RECORDED_TEXTS) if isinstance(value, str) else value


class RecordedFleet(Fleet):
    """Adds each datagram, each save, each record that is applied and each event to the trace."""

    recorded: Trace

    def work(self, job: str, name: str, birth: int) -> JobHandler:
        """The model's job; an operator's command `no` is rejected, `same` changes nothing."""
        plain = super().work(job, name, birth)

        def apply_command(value: bytes, number: str, body: bytes) -> bytes:
            if body == b"no":
                raise ValueError("not accepted")
            if body == b"same":
                return value
            count, _, _ = msgspec.msgpack.decode(value) if value else (0, b"", 0)
            return msgspec.msgpack.encode(
                (count + 1, blake2b(value, digest_size=8).digest(), birth)
            )

        def on_lease_acquired(now: float, value: bytes) -> None:
            self.recorded.add("begun", job, name, now)

        return JobHandler(plain.next_value, apply_command, plain.apply_record, on_lease_acquired)

    def carry(self, process: Process) -> None:
        self.recorded.add(
            *(
                as_recorded(value)
                for event in process.node.outbox.events
                for value in dataclasses.astuple(event)
            )
        )
        super().carry(process)

    def send(self, source: Process, to: str, data: bytes) -> None:
        self.recorded.add(self.now, source.name, to, data)
        super().send(source, to, data)

    def on_disk(self, process: Process, saved: messages.VoterState) -> None:
        self.recorded.add(self.now, process.name, encode_state(saved))
        super().on_disk(process, saved)

    def carry_out(self, job: str, name: str, birth: int, held: messages.LedgerRecord) -> None:
        self.recorded.add("applied", job, name, held.epoch, held.step, held.value)
        super().carry_out(job, name, birth, held)


def record_fleet(
    trace: Trace, seed: int, voters: int, clients: int, jobs: int, astray: float
) -> None:
    """One fleet under faults and commands drawn from the seed."""
    RecordedFleet.recorded = trace
    rng = random.Random(seed)
    fleet = RecordedFleet(voters, clients, jobs, seed, lease=1.0, astray=astray)
    names = list(fleet.processes)
    has_lost_state = [False]  # whether a voter has lost its state; one voter loses it once

    def inject(number: int) -> None:
        """A fault or command whose kind depends on its number."""
        name, job = rng.choice(names), rng.choice(fleet.jobs)
        process = fleet.processes[name]
        kind = number % 10
        if not process.running:
            return
        if kind in (0, 5):
            body = rng.choice((b"go", b"go", b"no", b"same"))
            process.node.submit_command(fleet.clock(process), job, f"n{number}", body)
            fleet.carry(process)
        elif kind == 1:
            fleet.faults.loss = rng.uniform(0.0, 0.5)
            fleet.at(fleet.now + 1.5, lambda: setattr(fleet.faults, "loss", 0.0))
        elif kind == 2:
            fleet.faults.copies, fleet.faults.late = 0.3, 0.2
            fleet.at(fleet.now + 1.5, lambda: setattr(fleet.faults, "late", 0.0))
        elif kind == 3:
            for each in names:
                node = fleet.processes[each].node
                if fleet.processes[each].running:
                    node.hand_over(fleet.clock(fleet.processes[each]), job, "by an operator")
                    fleet.carry(fleet.processes[each])
        elif kind == 4:
            fleet.pause(name, rng.uniform(0.2, 2.5))
        elif kind == 6:
            process.node.leave(fleet.clock(process))
            fleet.carry(process)
            fleet.kill(name)
            fleet.at(fleet.now + 1.0, lambda: fleet.start(name))
        elif kind == 7:
            voter = rng.choice(fleet.settings.voters)
            if fleet.processes[voter].running:
                fleet.kill(voter, disk=has_lost_state[0])
                has_lost_state[0] = True
                fleet.at(fleet.now + 0.3, lambda: fleet.start(voter))
        else:  # kind 8 cuts half of the fleet off, kind 9 restores all links
            cut_off = set(rng.sample(names, len(names) // 2)) if kind == 8 else set()
            fleet.faults.cut = lambda source, target: (source in cut_off) != (target in cut_off)

    for number in range(int(SECONDS)):
        fleet.at(2.0 + number * 0.9, lambda number=number: inject(number))  # type: ignore[misc]
    fleet.run(SECONDS)
    for name in names:
        node = fleet.processes[name].node
        trace.add(*(str(node.take_command_answer(f"n{number}")) for number in range(int(SECONDS))))
        trace.add(*(value for each in sorted(node.counters.items()) for value in each))
    trace.add(fleet.trace, fleet.overlaps, fleet.longest)


def record_walks(trace: Trace, scope: Scope, seeds: range) -> None:
    """Random actions of the model checker: all messages, the voters' states and disks, the committed records."""
    for seed in seeds:
        rng = random.Random(seed)
        world = World(scope, Parts()).begin()
        for _ in range(90):
            actions = world.actions()
            others = [each for each in actions if each[0] != "deliver"]
            deliveries = [each for each in actions if each[0] == "deliver"][-12:]
            action = rng.choice(deliveries if deliveries and rng.random() < 0.75 else others)
            world.do(action)
            trace.add(*(str(part) for part in action[:3]))
        for to, source, data in world.sent:
            trace.add(to, source, data)
        for name, voter in world.voters.items():
            disk = world.disks[name]
            trace.add(name, encode(voter.state()), encode(disk) if disk is not None else None)
        for version, value in world.counted.items():
            trace.add(*version, value)


def record_drains(trace: Trace, seeds: range) -> None:
    """Commands and steps of rolling drains with nodes that come and go; records as bytes, errors as text."""
    commands = [
        {"drain": {"zone": "a", "at_most": 2}},
        {"drain": {"zone": "b", "failing": 0.1, "every": 2.5}},
        {"drain": {"zone": "a", "force": True, "at_most": 3}},
        {"drain": {"zone": "c"}},
        {"drain": {"zone": "a", "at_most": 0}},
        {"stop": True},
        {"go_on": True},
        {"undo": True},
        {},
    ]
    for seed in seeds:
        rng = random.Random(seed)
        value = b""
        for step in range(60):
            live = {
                f"10.0.0.{number}:1": rolling_drains.DrainNode(
                    "ab"[number % 2], number // 4, rng.random() < 0.9
                )
                for number in range(12)
            }
            state = rolling_drains.decode_state(value)
            try:
                if rng.random() < 0.25:
                    body = msgspec.json.encode(rng.choice(commands))
                    after = rolling_drains.apply_command(
                        state, f"n{step - rng.randrange(2)}", body, live
                    )
                    trace.add(rolling_drains.begins_drain(state, after))
                else:
                    after = (
                        rolling_drains.next_state(state, live, rng.choice((0.0, 0.05, 0.2)))
                        or state
                    )
                value = rolling_drains.encode_state(after)
                trace.add(value, rolling_drains.seconds_until_next_step(after))
            except CommandRejectedError as error:
                trace.add(str(error))


def record_endpoints(trace: Trace, seed: int) -> None:
    """The endpoint list after drains are marked in it, while drains change and endpoints come, drain and go."""

    def forward(event: ListReceived) -> None:
        trace.add(event.kind)
        for each in event.entries:
            trace.add(each.server, each.zone, each.cell, each.state)

    rng, listed = random.Random(seed), DrainedEndpoints(forward)
    names = [f"n{number}" for number in range(8)]
    for step in range(200):
        if rng.random() < 0.4:
            listed.set_drained(rng.sample(names, rng.randrange(4)))
            continue
        kind = ListKind.FULL if step % 20 == 5 else ListKind.CHANGES
        some = rng.sample(names, rng.randrange(1, 8))
        states = [rng.choice(list(ServerState)) for _ in some]
        listed.receive_list(
            ListReceived(
                kind,
                tuple(
                    ServerEntry(name, "a", 0, state)
                    for name, state in zip(some, states, strict=True)
                ),
            )
        )


def record(trace: Trace) -> None:
    """Add all runs to the trace."""
    for seed, (voters, clients, jobs, astray) in enumerate(FLEETS, 1):
        record_fleet(trace, seed, voters, clients, jobs, astray)
    record_walks(trace, WITHOUT_TIME, range(40))
    record_walks(trace, WITH_TIME, range(40))
    record_drains(trace, range(30))
    record_endpoints(trace, 1)
