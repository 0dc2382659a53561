"""Tests of packed addresses, prefixes and sets of networks."""

from __future__ import annotations

import pytest

from stepknot.admission.addresses import (
    NetworkSet,
    format_address,
    format_prefix,
    parse_address,
    prefix_keys,
)

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize(
    ("text", "same_as"), [("::ffff:10.0.0.1", "10.0.0.1"), ("fe80::1%eth0", "fe80::1")]
)
def test_addresses_written_differently_are_parsed_the_same(text: str, same_as: str) -> None:
    assert parse_address(text) == parse_address(same_as)


def test_address_is_formatted_as_written() -> None:
    assert format_address(parse_address("fd00::1")) == "fd00::1"


@pytest.mark.parametrize(
    ("address", "prefixes"),
    [
        ("10.1.2.3", ["10.1.2.0/24"]),
        ("fd00:1:2:3ff::9", ["fd00:1:2:3ff::/64", "fd00:1:2:300::/56"]),
    ],
)
def test_address_counts_for_its_prefixes(address: str, prefixes: list[str]) -> None:
    assert [format_prefix(key) for key in prefix_keys(parse_address(address))] == prefixes


@pytest.mark.parametrize(
    ("address", "is_inside"),
    [
        ("10.255.0.1", True),
        ("11.0.0.1", False),
        ("fdff::1", True),
        ("192.168.1.1", True),
        ("192.168.1.2", False),
        ("::a00:1", False),
    ],
)
def test_network_set_contains_the_addresses_of_its_networks(address: str, is_inside: bool) -> None:
    networks = NetworkSet(["10.0.0.0/8", "fd00::/8", "192.168.1.1"])

    assert (parse_address(address) in networks) is is_inside
