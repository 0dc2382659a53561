"""Tests of when a subject is declared suspect or dead (invariants 1 to 4)."""

from __future__ import annotations

import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    State,
)
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_the_own_pause_is_not_counted_as_unresponsive_time_of_subjects() -> None:
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record()))
    for step in range(1, 12):
        protocol.tick(step / 10)
    before = protocol.view.subjects["x"].unresponsive_time(1.1)
    protocol.tick(9.0)
    assert protocol.view.subjects["x"].unresponsive_time(9.0) == pytest.approx(
        before
    ) and not protocol.health.is_healthy(9.0)
    assert protocol.counters["stood still"] == 1 and not protocol.count(9.0).is_certain


@pytest.mark.parametrize("received_by_others", [True, False])
def test_a_suspicion_takes_three_confirmations_and_a_death_a_member_that_is_not_isolated(
    received_by_others: bool,
) -> None:
    protocol, others = new_protocol(), [record(f"y{number}") for number in range(4)]
    protocol.receive(0.1, heartbeat(record()))

    def run(since: float, until: float, helpers: int) -> State:
        for step in range(int(since * 10), int(until * 10)):
            for number, other in enumerate(others):
                protocol.receive(
                    step / 10, datagram(other, wire.Heartbeat(0 if received_by_others else -1, 0))
                )
                if number < helpers:
                    observation = wire.Observation("x", *record().process, -1)
                    protocol.receive(
                        step / 10, datagram(other, wire.IndirectProbeAnswer([observation]))
                    )
            protocol.tick(step / 10)
        return protocol.table.records["x"].state

    assert run(0.2, 10.0, helpers=0) is State.ALIVE
    assert run(10.0, 12.0, helpers=2) is State.ALIVE
    # The suspect has time for a refutation, even if it has been unresponsive for long.
    assert run(12.0, 13.9, helpers=3) is State.SUSPECT
    assert run(13.9, 26.0, helpers=3) is (State.DEAD if received_by_others else State.SUSPECT)
    assert protocol.isolation.is_isolated is not received_by_others


@pytest.mark.parametrize("helpers", [3, 11, 12])
def test_when_many_fail_at_once_a_death_takes_more_confirmations(helpers: int) -> None:
    protocol = new_protocol()
    lost, remaining = [f"x{number}" for number in range(6)], [f"y{number}" for number in range(14)]
    for name in lost + remaining:
        protocol.receive(0.1, heartbeat(record(name)))
    suspects = wire.Gossip([record(name, state=State.SUSPECT) for name in lost])
    for step in range(2, 260):
        now = step / 10
        if step == 40:
            protocol.receive(now, datagram(record(remaining[0]), suspects))
        for number, name in enumerate(remaining):
            protocol.receive(now, datagram(record(name), wire.Heartbeat(0, protocol.table.digest)))
            if number < helpers:
                observations = [wire.Observation(each, *record(each).process, -1) for each in lost]
                protocol.receive(
                    now, datagram(record(name), wire.IndirectProbeAnswer(observations))
                )
        protocol.tick(now)
    observed = [
        name
        for name in lost
        if name in protocol.view.subjects or protocol.table.records[name].state is State.DEAD
    ]
    states = {protocol.table.records[name].state for name in observed}
    assert states == {State.DEAD if helpers >= 12 else State.SUSPECT}
    assert not protocol.isolation.is_isolated
