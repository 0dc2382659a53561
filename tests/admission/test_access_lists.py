"""Bans and allowances, and their snapshot on disk."""

from __future__ import annotations

import math

import pytest

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.admission.addresses import parse_address
from stepknot.admission.errors import SnapshotDamagedError

pytestmark = pytest.mark.cpu_only


def test_access_lists_come_back_from_a_snapshot_and_damage_is_detected() -> None:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.0.0/8", 100.0)
    lists.add(AccessList.ALLOWED, "10.1.2.3/32", math.inf)
    data = lists.dump()
    back = AccessLists.load(data)
    assert back.banned == lists.banned and back.contains(
        AccessList.ALLOWED, parse_address("10.1.2.3")
    )
    for damaged in (data[:-10], data.replace(b"10.0", b"11.0"), b"", b"x\n{}", data[1:]):
        with pytest.raises(SnapshotDamagedError):
            AccessLists.load(damaged)
    assert back.remove_expired(101.0) == ["10.0.0.0/8"] and not back.contains(
        AccessList.BANNED, parse_address("10.9.9.9")
    )
    with pytest.raises(ValueError, match="host bits"):
        lists.add(AccessList.BANNED, "10.0.0.1/8", 1.0)
