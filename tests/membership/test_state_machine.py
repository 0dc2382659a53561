"""Fleets under any order of cuts, pauses, crashes, restarts and waits, drawn by hypothesis."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from stepknot.membership.model import (
    PRESENT_STATES,
    MembershipSettings,
    State,
)
from stepknot.simulation.membership_model import Model

pytestmark = pytest.mark.cpu_only


class FleetMachine(RuleBasedStateMachine):
    """Any order of cuts, stalls, deaths, restarts, leaves and waits; at each step what must never be; at the end, once
    all faults are over, one view.
    """

    @initialize(seed=st.integers(0, 2**32), size=st.integers(3, 9))
    def begin(self, seed: int, size: int) -> None:
        self.model = Model(size, seed, MembershipSettings(tombstone=3000.0))
        self.size = size
        self.model.run(2.0)
        self.excused: dict[
            str, float
        ] = {}  # who was cut off, stalled or down, until when that may be felt
        self.cuts: set[tuple[str, str]] = set()
        self.model.network.cut = lambda source, target: (source, target) in self.cuts

    def name(self, number: int) -> str:
        return f"b{number % self.size}"

    @rule(one=st.integers(0, 8), other=st.integers(0, 8))
    def cut(self, one: int, other: int) -> None:
        self.cuts.add((self.name(one), self.name(other)))

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        late=st.sampled_from([0.0, 0.2]),
        copies=st.sampled_from([0.0, 0.3]),
    )
    def weather(self, loss: float, late: float, copies: float) -> None:
        network = self.model.network
        network.loss, network.late, network.copies = loss, late, copies

    @rule(number=st.integers(0, 8), seconds=st.floats(0.1, 12.0))
    def pause(self, number: int, seconds: float) -> None:
        process = self.model.processes[self.name(number)]
        if process.running and not process.left:
            self.model.pause(process.name, seconds)
            self.excused[process.name] = self.model.now + seconds + 30.0

    @rule(number=st.integers(0, 8), back=st.booleans(), epoch=st.sampled_from([0, None]))
    def restart(self, number: int, back: bool, epoch: int | None) -> None:
        name = self.name(number)
        if self.model.processes[name].running:
            self.model.kill(name)
        if back:
            self.model.start(name, epoch=epoch)
        self.excused[name] = self.model.now + 30.0

    @rule(seconds=st.floats(0.1, 15.0))
    def wait(self, seconds: float) -> None:
        self.model.run(self.model.now + seconds)

    @rule()
    def heal(self) -> None:
        self.cuts.clear()

    @invariant()
    def what_must_never_be(self) -> None:
        if not hasattr(self, "model"):
            return
        now = self.model.now
        truth = len(self.model.up())
        for each in self.model.up():
            count = each.member.count(now)
            assert 1 <= count.lower_bound <= count.upper_bound
            if now > 2.0 and now >= each.paused_until:
                assert count.upper_bound >= truth, (each.name, count, truth)
            table = each.member.table  # type: ignore[attr-defined]
            assert sum(table.counts) == len(table.records) <= table.max_records
            assert table.present == {
                name: one for name, one in table.records.items() if one.state in PRESENT_STATES
            }
        if not self.cuts:
            return
        clean = [
            name
            for name in self.model.processes
            if not any(name in pair for pair in self.cuts) and self.excused.get(name, 0.0) < now
        ]
        for when, at, change in self.model.log:
            if (
                change.new_state is State.DEAD
                and change.name in clean
                and when > now - 10.0
                and at in clean
                and (2 * len(clean) > self.size)
            ):
                raise AssertionError((when, at, change))

    def teardown(self) -> None:
        if not hasattr(self, "model"):
            return
        self.cuts.clear()
        self.model.network.loss = self.model.network.late = self.model.network.copies = 0.0
        for process in list(self.model.processes.values()):
            if not process.running:
                self.model.start(process.name)
        self.model.run(self.model.now + 15.0)  # the longest pause
        end = self.model.now + 60.0
        for _ in self.model.steps(end, step=1.0):
            if (
                self.model.settled()
                and len(
                    {
                        each.member.table.digest  # type: ignore[attr-defined]
                        for each in self.model.up()
                    }
                )
                == 1
            ):
                return
        raise AssertionError(dict(self.model.views().items()))


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=40,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
