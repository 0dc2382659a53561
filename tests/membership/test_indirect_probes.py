"""Tests of the selection of helpers for indirect probes, and of a helper's answers."""

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
    """Eight of 60 members observe the subject. If helpers were selected only at random, the confirmations of three
    members that never receive the subject would be enough for a false death.
    """
    protocol = new_protocol()
    for number in range(60):
        protocol.receive(0.1, heartbeat(record(f"m{number}", port=1000 + number)))
    protocol.tick(0.2)
    unresponsive = next(iter(protocol.view.subjects))
    observers = set(protocol.view.rings.neighbours_of(unresponsive, lambda name: False)[0])
    for step in range(3, 40):
        for number in range(60):
            if f"m{number}" != unresponsive:
                protocol.receive(step / 10, heartbeat(record(f"m{number}", port=1000 + number)))
        protocol.tick(step / 10)
        asked = {
            f"m{address[1] - 1000}"
            for address, data in protocol.take()[0]
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest)
        }
        if asked:
            break
    assert len(asked & observers) >= protocol.settings.probe_helpers // 2


def test_with_little_send_budget_repairs_are_sent_and_probe_requests_wait() -> None:
    """One of 30 members is unresponsive, and the views of all members differ from this one."""
    protocol, names = new_protocol(), [f"m{number}" for number in range(30)]
    for name in names:
        protocol.receive(0.1, heartbeat(record(name)))
    protocol.tick(0.2)
    unresponsive = next(iter(protocol.view.subjects))

    def run(since: float, until: float, available: float) -> set[type]:
        kinds: set[type] = set()
        for step in range(int(since * 10), int(until * 10)):
            for name in names:
                if name != unresponsive:
                    protocol.receive(step / 10, heartbeat(record(name)))
            protocol.outbox.budget.available = available
            protocol.tick(step / 10)
            kinds |= sent_kinds(protocol)
        return kinds

    kinds = run(0.3, 6.0, available=2.2 * wire.MAX_DATAGRAM_BYTES)
    assert wire.AntiEntropyRequest in kinds and wire.IndirectProbeRequest not in kinds
    assert wire.IndirectProbeRequest in run(6.0, 8.0, available=protocol.settings.burst)


def sent_by_a_helper(
    available_at_request: float, available_at_report: float
) -> tuple[set[type], set[type]]:
    """The kinds of messages that a helper with these available bytes sends at a request, and a period later."""
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record("y")))
    protocol.receive(0.1, heartbeat(record("z")))
    for step in range(2, 30):
        protocol.tick(step / 10)
    protocol.take()
    protocol.outbox.budget.available, protocol.outbox.budget.updated_at = available_at_request, 3.0
    protocol.receive(3.0, datagram(record("y"), wire.IndirectProbeRequest(["z"])))
    sent_at_request = sent_kinds(protocol)
    protocol.outbox.budget.available, protocol.outbox.budget.updated_at = (
        available_at_report,
        3.0 + protocol.settings.period,
    )
    protocol.indirect_probes.report_unanswered(3.0 + protocol.settings.period)
    return sent_at_request, sent_kinds(protocol)


def test_an_answer_without_a_sign_of_life_borrows_no_budget() -> None:
    burst = MembershipSettings().burst
    assert sent_by_a_helper(burst, burst) == ({wire.Heartbeat}, {wire.IndirectProbeAnswer})
    assert sent_by_a_helper(burst, 0.0) == ({wire.Heartbeat}, set())


def test_a_helper_pings_the_subject_also_without_available_budget() -> None:
    """If only one member still receives the subject, all observers ask it. If it could not send its ping, the subject
    would be declared dead although it is reachable.
    """
    assert sent_by_a_helper(0.0, 0.0)[0] == {wire.Heartbeat}


def test_helpers_are_asked_in_turn_so_that_none_is_left_out_for_long() -> None:
    """If 4 of 40 members were selected at random in each round, some would not be asked for dozens of rounds, and one
    of them may be the only member that reaches the subject.
    """
    protocol, names = new_protocol(), [f"m{number}" for number in range(40)]
    for number, name in enumerate(names):
        protocol.receive(0.1, heartbeat(record(name, port=1000 + number)))
    protocol.tick(0.2)
    unresponsive = next(iter(protocol.view.subjects))
    asked: set[str] = set()
    for step in range(3, 120):
        for number, name in enumerate(names):
            if name != unresponsive:
                protocol.receive(
                    step / 10,
                    datagram(
                        record(name, port=1000 + number), wire.Heartbeat(0, protocol.table.digest)
                    ),
                )
        protocol.tick(step / 10)
        for address, data in protocol.take()[0]:
            if isinstance(wire.decode(data, "stepknot").message, wire.IndirectProbeRequest):
                observation = wire.Observation(unresponsive, *record(unresponsive).process, -1)
                sender = record(names[address[1] - 1000], port=address[1])
                protocol.receive(
                    step / 10, datagram(sender, wire.IndirectProbeAnswer([observation]))
                )
                asked.add(sender.name)
        protocol.outbox.budget.available = protocol.settings.burst
        if protocol.table.records[unresponsive].state is State.DEAD:
            break
    assert len(asked) >= 28  # of 39 members, in the rounds until the subject is declared dead
