"""Tests of refutations, epochs and name conflicts (invariant 5)."""

from __future__ import annotations

import msgspec
import pytest

from stepknot.membership import wire
from stepknot.membership.model import (
    MAX_EPOCH,
    MAX_INCARNATION,
    State,
)
from tests.membership.protocols import datagram, heartbeat, new_protocol, record

pytestmark = pytest.mark.cpu_only


def test_an_incarnation_at_its_bound_is_followed_by_a_new_epoch() -> None:
    protocol = new_protocol()
    protocol.receive(
        0.1,
        datagram(
            record(),
            wire.Gossip(
                [
                    msgspec.structs.replace(
                        protocol.own, incarnation=MAX_INCARNATION - 1, state=State.SUSPECT
                    )
                ]
            ),
        ),
    )
    assert (
        protocol.own.epoch == 11
        and protocol.own.incarnation == 0
        and protocol.own.state is State.ALIVE
    )


def test_a_member_gives_up_a_name_without_epochs_left() -> None:
    protocol = new_protocol()
    protocol.receive(
        0.1, datagram(record(), wire.Gossip([record("me", epoch=MAX_EPOCH - 1, state=State.DEAD)]))
    )
    assert protocol.member.stepped_aside and "no epoch" in protocol.isolation.reason


def test_in_a_name_conflict_the_older_process_gives_up_the_name_and_the_newer_keeps_it() -> None:
    older, newer = new_protocol(), new_protocol()
    newer.receive(0.1, heartbeat(record("me", epoch=9, port=2)))
    assert not newer.member.stepped_aside
    older.receive(0.1, heartbeat(record("me", epoch=11, port=2)))
    assert older.member.stepped_aside and "another process" in older.isolation.reason


def test_the_own_death_is_refuted_by_a_greater_incarnation() -> None:
    protocol = new_protocol()
    protocol.receive(0.1, heartbeat(record()))
    protocol.receive(0.2, datagram(record(), wire.Heartbeat(-1, 0, suspected_incarnation=0)))
    assert protocol.own.incarnation == 1 and protocol.own.state is State.ALIVE
