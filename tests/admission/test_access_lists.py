"""Tests of bans and allowances, and of their snapshot on disk."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest

from stepknot.admission.access_lists import MAX_ENTRIES, AccessList, AccessLists
from stepknot.admission.addresses import parse_address
from stepknot.admission.errors import AccessListError, SnapshotDamagedError

pytestmark = pytest.mark.cpu_only


@pytest.fixture
def lists() -> AccessLists:
    lists = AccessLists()
    lists.add(AccessList.BANNED, "10.0.0.0/8", 100.0)
    lists.add(AccessList.ALLOWED, "10.1.2.3/32", math.inf)
    return lists


def test_snapshot_restores_both_lists(lists: AccessLists) -> None:
    restored = AccessLists.load(lists.dump())

    assert (restored.banned, restored.allowed) == (lists.banned, lists.allowed)
    assert restored.contains(AccessList.ALLOWED, parse_address("10.1.2.3"))


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data[:-10],
        lambda data: data.replace(b"10.0", b"11.0"),
        lambda data: b"",
        lambda data: b"x\n{}",
        lambda data: data[1:],
    ],
    ids=["cut short", "changed", "empty", "wrong checksum", "checksum cut"],
)
def test_damaged_snapshot_is_rejected(lists: AccessLists, damage: Callable[[bytes], bytes]) -> None:
    damaged = damage(lists.dump())

    with pytest.raises(SnapshotDamagedError):
        AccessLists.load(damaged)


def test_expired_entries_are_removed(lists: AccessLists) -> None:
    assert lists.contains(AccessList.BANNED, parse_address("10.9.9.9"))

    assert lists.remove_expired(101.0) == ["10.0.0.0/8"]

    assert not lists.contains(AccessList.BANNED, parse_address("10.9.9.9"))
    assert lists.contains(AccessList.ALLOWED, parse_address("10.1.2.3"))


def test_network_with_host_bits_is_rejected(lists: AccessLists) -> None:
    with pytest.raises(ValueError, match="host bits"):
        lists.add(AccessList.BANNED, "10.0.0.1/8", 1.0)


def test_entry_beyond_the_limit_is_rejected() -> None:
    lists = AccessLists()
    for number in range(MAX_ENTRIES):
        lists.add(AccessList.BANNED, f"10.{number >> 8}.{number & 255}.0/24", math.inf)

    with pytest.raises(
        AccessListError,
        match=r"cannot add 192\.0\.2\.0/24 to the list of banned networks: "
        r"it already has the maximum of 10000 entries",
    ):
        lists.add(AccessList.BANNED, "192.0.2.0/24", math.inf)
    lists.add(AccessList.BANNED, "10.0.0.0/24", 5.0)  # an existing entry can still be changed

    assert lists.banned["10.0.0.0/24"] == 5.0
