"""Tests of the table: the order of records, the maximum size, and the fingerprints."""

from __future__ import annotations

import random

import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    State,
)
from stepknot.membership.table import MemberTable
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_ten_thousand_invented_members_stay_within_max_records_and_evict_no_known_member() -> None:
    protocol = new_protocol(max_records=100)
    protocol.receive(0.1, heartbeat(record("real")))
    for number in range(10_000):
        protocol.receive(0.1, datagram(record("real"), wire.Gossip([record(f"invented{number}")])))
    assert len(protocol.table.records) == 100 and protocol.table.refused > 9_000
    assert {"me", "real"} <= set(protocol.table.records)
    assert sum(len(data) for _, data in protocol.take()[0]) <= 1.5 * protocol.settings.burst


def test_a_record_is_never_replaced_by_a_lesser_one() -> None:
    table = MemberTable(100, 600.0)
    ranks = [
        record(incarnation=incarnation, state=state)
        for incarnation in (0, 1)
        for state in (State.ALIVE, State.SUSPECT, State.DEAD)
    ]
    orders = [random.Random(seed).sample(ranks, len(ranks)) for seed in range(20)]
    for order in orders:
        table = MemberTable(100, 600.0)
        table.put(0.0, ranks[0], "")
        for each in order:
            table.put(0.0, each, "")
        assert table.records["x"] == ranks[-1] and table.digest == 0


def test_comparing_fingerprints_finds_exactly_the_missing_records() -> None:
    one, other = MemberTable(2000, 600.0), MemberTable(2000, 600.0)
    for number in range(700):
        each = record(f"m{number}")
        one.put(0.0, each, "")
        if number % 50:
            other.put(0.0, each, "")
    first, missing, rounds = 0, set(), 0
    while rounds == 0 or first:
        last, fingerprints = other.section(first)
        assert len(fingerprints) <= 4 * wire.MAX_FINGERPRINTS
        missing |= {each.name for each in one.compare(first, last, fingerprints).missing_there}
        first, rounds = (last + 1) % wire.BUCKETS, rounds + 1
    assert missing == {f"m{number}" for number in range(0, 700, 50)} and rounds <= 4
