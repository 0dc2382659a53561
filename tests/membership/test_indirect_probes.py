"""Which helpers are asked for indirect probes, and what a helper does."""

from __future__ import annotations

import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    MembershipSettings,
    State,
)
from stepknot.membership.protocol import MembershipProtocol
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def sent_kinds(protocol: MembershipProtocol) -> set[type]:
    return {type(wire.decode(data, "stepknot").message) for _, data in protocol.take()[0]}


def test_observers_of_the_unresponsive_subject_are_asked_first() -> None:
    """Of 60 members eight watch it. Asked at random, three that never heard it would do for a false death."""
    protocol = new_protocol()
    for number in range(60):
        protocol.receive(0.1, heartbeat(record(f"m{number}", port=1000 + number)))
    protocol.tick(0.2)
    silent = next(iter(protocol.view.subjects))
    watchers = set(protocol.view.rings.neighbours_of(silent, lambda name: False)[0])
    for step in range(3, 40):
        for number in range(60):
            if f"m{number}" != silent:
                protocol.receive(step / 10, heartbeat(record(f"m{number}", port=1000 + number)))
        protocol.tick(step / 10)
        asked = {
            f"m{address[1] - 1000}"
            for address, data in protocol.take()[0]
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest)
        }
        if asked:
            break
    assert len(asked & watchers) >= protocol.settings.probe_helpers // 2


def test_with_little_send_budget_repairs_are_sent_and_probe_requests_wait() -> None:
    """One of 30 is silent, and all views differ from this one."""
    protocol, names = new_protocol(), [f"m{number}" for number in range(30)]
    for name in names:
        protocol.receive(0.1, heartbeat(record(name)))
    protocol.tick(0.2)
    silent = next(iter(protocol.view.subjects))

    def go_on(since: float, until: float, left: float) -> set[type]:
        kinds: set[type] = set()
        for step in range(int(since * 10), int(until * 10)):
            for name in names:
                if name != silent:
                    protocol.receive(step / 10, heartbeat(record(name)))
            protocol.outbox.budget.saved = left
            protocol.tick(step / 10)
            kinds |= sent_kinds(protocol)
        return kinds

    little = go_on(0.3, 6.0, left=2.2 * wire.MAX_DATAGRAM_BYTES)
    assert wire.AntiEntropyRequest in little and wire.IndirectProbeRequest not in little
    assert wire.IndirectProbeRequest in go_on(6.0, 8.0, left=protocol.settings.burst)


def sent_by_a_helper(when_asked: float, when_told: float) -> tuple[set[type], set[type]]:
    """What a member with so much left of its rate sends when it is asked, and a period later."""
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record("y")))
    protocol.receive(0.1, heartbeat(record("z")))
    for step in range(2, 30):
        protocol.tick(step / 10)
    protocol.take()
    protocol.outbox.budget.saved, protocol.outbox.budget.updated_at = when_asked, 3.0
    protocol.receive(3.0, datagram(record("y"), wire.IndirectProbeRequest(["z"])))
    asked = sent_kinds(protocol)
    protocol.outbox.budget.saved, protocol.outbox.budget.updated_at = (
        when_told,
        3.0 + protocol.settings.period,
    )
    protocol.indirect_probes.report_unanswered(3.0 + protocol.settings.period)
    return asked, sent_kinds(protocol)


def test_an_answer_without_a_sign_of_life_borrows_no_budget() -> None:
    burst = MembershipSettings().burst
    assert sent_by_a_helper(burst, burst) == ({wire.Heartbeat}, {wire.IndirectProbeAnswer})
    assert sent_by_a_helper(burst, 0.0) == ({wire.Heartbeat}, set())


def test_a_helper_pings_the_subject_also_without_saved_budget() -> None:
    """The one member that hears it is asked by all: a ping that is kept back makes a way round look like a death."""
    assert sent_by_a_helper(0.0, 0.0)[0] == {wire.Heartbeat}


def test_helpers_are_asked_in_turn_so_that_none_is_left_out_for_long() -> None:
    """Of 40 others, 4 a round at random would leave some out for dozens of rounds; one of them may be the way round."""
    protocol, names = new_protocol(), [f"m{number}" for number in range(40)]
    for number, name in enumerate(names):
        protocol.receive(0.1, heartbeat(record(name, port=1000 + number)))
    protocol.tick(0.2)
    silent = next(iter(protocol.view.subjects))
    asked: set[str] = set()
    for step in range(3, 120):
        for number, name in enumerate(names):
            if name != silent:
                protocol.receive(
                    step / 10,
                    datagram(
                        record(name, port=1000 + number), wire.Heartbeat(0, protocol.table.digest)
                    ),
                )
        protocol.tick(step / 10)
        for address, data in protocol.take()[0]:
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest):
                sign = wire.Observation(silent, *record(silent).process, -1)
                sender = record(names[address[1] - 1000], port=address[1])
                protocol.receive(step / 10, datagram(sender, wire.IndirectProbeAnswer([sign])))
                asked.add(sender.name)
        protocol.outbox.budget.saved = protocol.settings.burst
        if protocol.table.records[silent].state is State.DEAD:
            break
    assert len(asked) >= 28  # of 39, in the rounds until it is dead
