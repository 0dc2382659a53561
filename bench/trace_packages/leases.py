"""Seeded runs of leases: a fleet on the virtual clock under faults, orders, the model checker, drains, the list."""

from __future__ import annotations

import dataclasses
import random
from hashlib import blake2b

import msgspec

from bench.trace_packages.trace import Trace
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
FLEETS = ((3, 2, 2, 0.0), (5, 3, 2, 0.0), (3, 4, 1, 0.7))  # voters, clients, jobs, clocks astray
SECONDS = 24.0
WITHOUT_TIME = Scope(claims=3, writes=2, crashes=2, losses=2)
WITH_TIME = Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1)


class RecordedFleet(Fleet):
    """Adds each datagram, each save, each record that is applied and each event to the trace."""

    recorded: Trace

    def work(self, job: str, name: str, birth: int) -> JobHandler:
        """The model's job; an operator's order `no` is rejected, `same` changes nothing."""
        plain = super().work(job, name, birth)

        def order(value: bytes, number: str, body: bytes) -> bytes:
            if body == b"no":
                raise ValueError("not accepted")
            if body == b"same":
                return value
            count, _, _ = msgspec.msgpack.decode(value) if value else (0, b"", 0)
            return msgspec.msgpack.encode(
                (count + 1, blake2b(value, digest_size=8).digest(), birth)
            )

        def begin(now: float, value: bytes) -> None:
            self.recorded.add("begun", job, name, now)

        return JobHandler(plain.next_value, order, plain.apply_record, begin)

    def carry(self, process: Process) -> None:
        self.recorded.add(
            *(value for event in process.node.outbox.events for value in dataclasses.astuple(event))
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
    """One fleet under faults and orders drawn from the seed."""
    RecordedFleet.recorded = trace
    chance = random.Random(seed)
    fleet = RecordedFleet(voters, clients, jobs, seed, lease=1.0, astray=astray)
    names = list(fleet.processes)
    lost = [False]  # one voter's memory, once

    def strike(turn: int) -> None:
        name, job = chance.choice(names), chance.choice(fleet.jobs)
        process = fleet.processes[name]
        kind = turn % 10
        if not process.running:
            return
        if kind in (0, 5):
            body = chance.choice((b"go", b"go", b"no", b"same"))
            process.node.submit_command(fleet.clock(process), job, f"n{turn}", body)
            fleet.carry(process)
        elif kind == 1:
            fleet.faults.loss = chance.uniform(0.0, 0.5)
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
            fleet.pause(name, chance.uniform(0.2, 2.5))
        elif kind == 6:
            process.node.leave(fleet.clock(process))
            fleet.carry(process)
            fleet.kill(name)
            fleet.at(fleet.now + 1.0, lambda: fleet.start(name))
        elif kind == 7:
            voter = chance.choice(fleet.settings.voters)
            if fleet.processes[voter].running:
                fleet.kill(voter, disk=lost[0])
                lost[0] = True
                fleet.at(fleet.now + 0.3, lambda: fleet.start(voter))
        else:  # half of the fleet is cut off, then the links are mended
            small = set(chance.sample(names, len(names) // 2)) if kind == 8 else set()
            fleet.faults.cut = lambda source, target: (source in small) != (target in small)

    for turn in range(int(SECONDS)):
        fleet.at(2.0 + turn * 0.9, lambda turn=turn: strike(turn))  # type: ignore[misc]
    fleet.run(SECONDS)
    for name in names:
        node = fleet.processes[name].node
        trace.add(*(str(node.take_command_answer(f"n{turn}")) for turn in range(int(SECONDS))))
        trace.add(*(value for each in sorted(node.counters.items()) for value in each))
    trace.add(fleet.trace, fleet.overlaps, fleet.longest)


def record_walks(trace: Trace, scope: Scope, seeds: range) -> None:
    """Random actions of the model checker: all that was sent, the voters' disks, the records that count."""
    for seed in seeds:
        chance = random.Random(seed)
        world = World(scope, Parts()).begin()
        for _ in range(90):
            actions = world.actions()
            late = [each for each in actions if each[0] != "deliver"]
            sent = [each for each in actions if each[0] == "deliver"][-12:]
            action = chance.choice(sent if sent and chance.random() < 0.75 else late)
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
    """Orders and steps of rolling drains with nodes that come and go; records as bytes, errors as text."""
    orders = [
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
        chance = random.Random(seed)
        value = b""
        for turn in range(60):
            live = {
                f"10.0.0.{number}:1": rolling_drains.DrainNode(
                    "ab"[number % 2], number // 4, chance.random() < 0.9
                )
                for number in range(12)
            }
            state = rolling_drains.decode_state(value)
            try:
                if chance.random() < 0.25:
                    body = msgspec.json.encode(chance.choice(orders))
                    after = rolling_drains.apply_command(
                        state, f"n{turn - chance.randrange(2)}", body, live
                    )
                    trace.add(rolling_drains.begins_drain(state, after))
                else:
                    after = (
                        rolling_drains.next_state(state, live, chance.choice((0.0, 0.05, 0.2)))
                        or state
                    )
                value = rolling_drains.encode_state(after)
                trace.add(value, rolling_drains.seconds_until_next_step(after))
            except CommandRejectedError as error:
                trace.add(str(error))


def record_endpoints(trace: Trace, seed: int) -> None:
    """The list of endpoints as it leaves, with drains set and endpoints that come, drain and go."""

    def forward(event: ListReceived) -> None:
        trace.add(event.kind)
        for each in event.entries:
            trace.add(each.server, each.zone, each.cell, each.state)

    chance, listed = random.Random(seed), DrainedEndpoints(forward)
    names = [f"n{number}" for number in range(8)]
    for turn in range(200):
        if chance.random() < 0.4:
            listed.set_drained(chance.sample(names, chance.randrange(4)))
            continue
        kind = ListKind.FULL if turn % 20 == 5 else ListKind.CHANGES
        some = chance.sample(names, chance.randrange(1, 8))
        states = [chance.choice(list(ServerState)) for _ in some]
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
    """Play all runs."""
    for seed, (voters, clients, jobs, astray) in enumerate(FLEETS, 1):
        record_fleet(trace, seed, voters, clients, jobs, astray)
    record_walks(trace, WITHOUT_TIME, range(40))
    record_walks(trace, WITH_TIME, range(40))
    record_drains(trace, range(30))
    record_endpoints(trace, 1)
