"""Builds protocols, records and datagrams for the tests of membership."""

from __future__ import annotations

from typing import Any

from stepknot.membership import wire
from stepknot.membership.model import (
    MembershipSettings,
    Record,
    State,
)
from stepknot.membership.protocol import MembershipProtocol


def record(
    name: str = "x",
    epoch: int = 5,
    birth: int = 1,
    incarnation: int = 0,
    state: State = State.ALIVE,
    port: int = 77,
) -> Record:
    return Record(name, "127.0.0.1", port, epoch, birth, incarnation, state)


def new_protocol(**given: Any) -> MembershipProtocol:
    protocol = MembershipProtocol(
        MembershipSettings(**given), record("me", epoch=10, port=1), seed=1
    )
    protocol.tick(0.0)
    protocol.take()
    return protocol


def datagram(sender: Record, message: wire.Message, fleet: str = "stepknot") -> bytes:
    return wire.encode(fleet, sender, message)


def heartbeat(sender: Record) -> bytes:
    return datagram(sender, wire.Heartbeat(-1, 0))
