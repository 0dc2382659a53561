"""Packed addresses, prefixes and sets of networks."""

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


def test_addresses_prefixes_and_networks_are_parsed() -> None:
    assert parse_address("::ffff:10.0.0.1") == parse_address("10.0.0.1") and parse_address(
        "fe80::1%eth0"
    ) == parse_address("fe80::1")
    assert [format_prefix(each) for each in prefix_keys(parse_address("10.1.2.3"))] == [
        "10.1.2.0/24"
    ]
    assert [format_prefix(each) for each in prefix_keys(parse_address("fd00:1:2:3ff::9"))] == [
        "fd00:1:2:3ff::/64",
        "fd00:1:2:300::/56",
    ]
    found = NetworkSet(["10.0.0.0/8", "fd00::/8", "192.168.1.1"])
    for text, held in (
        ("10.255.0.1", True),
        ("11.0.0.1", False),
        ("fdff::1", True),
        ("192.168.1.1", True),
        ("192.168.1.2", False),
        ("::a00:1", False),
    ):
        assert (parse_address(text) in found) is held
    assert format_address(parse_address("fd00::1")) == "fd00::1"
