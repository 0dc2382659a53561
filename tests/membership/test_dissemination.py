"""Tests of gossip, anti-entropy, and the contacts with dead members."""

from __future__ import annotations

import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    State,
)
from stepknot.membership.table import MemberTable, identity_of
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_a_known_process_is_spread_as_a_short_update_and_an_unknown_one_is_requested() -> None:
    sender, knows, lacks = new_protocol(), new_protocol(), new_protocol()
    for each in (sender, knows):
        each.receive(0.1, heartbeat(record()))
    sender.tick(0.2)
    sender.take()
    sender.receive(9.0, datagram(record(incarnation=3), wire.Heartbeat(-1, 0)))
    gossip, count = sender.dissemination.pack(9.0, [sender.table.records["x"]])
    assert (
        count == 1
        and not gossip.records
        and [update.incarnation for update in gossip.short_updates] == [3]
    )
    knows.receive(9.1, datagram(record("t"), gossip))
    assert knows.table.records["x"].incarnation == 3
    lacks.receive(9.1, datagram(record("t"), gossip))
    messages = [wire.decode(data, "stepknot").message for _, data in lacks.take()[0]]
    requests = [each for each in messages if isinstance(each, wire.RecordRequest)]
    assert requests and "x" not in lacks.table.records
    sender.receive(9.2, datagram(record("lacks"), requests[0]))
    # All three protocols have the same name, so the answer is delivered under another sender's name.
    for _, data in sender.take()[0]:
        lacks.receive(9.3, datagram(record("t"), wire.decode(data, "stepknot").message))
    assert lacks.table.records["x"].incarnation == 3
    full, _ = sender.dissemination.pack(9.2, [sender.table.records["lacks"]])
    assert full.records and not full.short_updates


def test_a_short_update_of_an_earlier_process_does_not_change_its_successor() -> None:
    protocol, old = new_protocol(), record(epoch=5)
    protocol.receive(0.1, heartbeat(record(epoch=6)))
    protocol.receive(
        0.2,
        datagram(record("t"), wire.Gossip([], [wire.ShortUpdate(identity_of(old), 9, State.DEAD)])),
    )
    assert (
        protocol.table.records["x"].epoch == 6 and protocol.table.records["x"].state is State.ALIVE
    )


def test_anti_entropy_sends_missing_records_and_requests_unknown_ones() -> None:
    protocol = new_protocol()
    for name in ("a", "b"):
        protocol.receive(0.1, heartbeat(record(name)))
    protocol.take()
    protocol.view.gossip.rounds_left.clear()
    other = MemberTable(100, 600.0)
    for each in (record("a"), record("c")):
        other.put(0.0, each, "")
    protocol.receive(
        0.2, datagram(record("t"), wire.AntiEntropyRequest(0, 63, other.section(0)[1]))
    )
    messages = [wire.decode(data, "stepknot").message for _, data in protocol.take()[0]]
    sent = {
        each.name
        for message in messages
        if isinstance(message, wire.Gossip)
        for each in message.records
    }
    (request,) = [message for message in messages if isinstance(message, wire.RecordRequest)]
    assert "b" in sent and "a" not in sent
    assert {each.name for each in other.with_fingerprints(request.fingerprints)} == {"c"}


def test_dead_members_are_contacted_now_and_then() -> None:
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record()))
    protocol.receive(0.2, datagram(record("y"), wire.Gossip([record(state=State.DEAD)])))
    contacts = 0
    for step in range(3, 123):
        protocol.receive(step / 10, heartbeat(record("y")))
        protocol.tick(step / 10)
        contacts += sum(
            1
            for address, data in protocol.take()[0]
            if address == record().address
            and isinstance(message := wire.decode(data, "stepknot").message, wire.Heartbeat)
            and message.suspected_incarnation == 0
            and message.reply_requested
        )
    assert 3 <= contacts <= 8
