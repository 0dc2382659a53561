"""Tests of join requests to seeds, and of the answers."""

from __future__ import annotations

import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    MembershipSettings,
)
from stepknot.membership.protocol import MembershipProtocol
from tests.membership.protocols import datagram, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_the_own_address_among_the_seeds_gets_no_join_request() -> None:
    protocol = MembershipProtocol(
        MembershipSettings(seeds=(("127.0.0.1", 1),)), record("me", port=1), seed=1
    )
    protocol.tick(0.0)
    assert protocol.member.has_joined and not protocol.take()[0]


def test_unresponsive_seeds_are_asked_again_and_the_configured_number_counts_until_then() -> None:
    protocol = MembershipProtocol(
        MembershipSettings(seeds=(("127.0.0.1", 9),), configured=7), record("me", port=1), seed=1
    )
    requests = 0
    for step in range(600):
        protocol.tick(step / 10)
        requests += len(protocol.take()[0])
    assert (
        20 <= requests <= 100 and not protocol.member.has_joined and protocol.isolation.is_isolated
    )
    count = protocol.count(59.9)
    assert (count.lower_bound, count.upper_bound, count.is_certain) == (1, 7, False)


def test_a_flood_of_join_requests_is_answered_within_the_send_budget() -> None:
    protocol = new_protocol()
    for number in range(5_000):
        protocol.receive(
            0.1 + number / 5000, datagram(record(f"x{number % 50}"), wire.JoinRequest())
        )
    sent = sum(len(data) for _, data in protocol.take()[0])
    assert 0 < sent <= 1.25 * protocol.settings.burst + protocol.settings.rate
    assert protocol.counters["kept back"] > 4_000
