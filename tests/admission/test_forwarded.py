"""Tests of finding a request's client in the headers of trusted proxies."""

from __future__ import annotations

import pytest

from stepknot.admission.addresses import NetworkSet, format_address, parse_address
from stepknot.admission.forwarded import client_address

pytestmark = pytest.mark.cpu_only

TRUSTED = NetworkSet(["10.0.0.0/8"])


@pytest.mark.parametrize(
    "peer,headers,client",
    [
        ("10.0.0.1", {"x-forwarded-for": "203.0.113.7"}, "203.0.113.7"),
        (
            "10.0.0.1",
            {"x-forwarded-for": "1.1.1.1, 203.0.113.7, 10.0.0.2"},
            "203.0.113.7",
        ),  # entries before the first untrusted hop may be forged
        ("10.0.0.1", {"x-forwarded-for": "10.0.0.9, 10.0.0.2"}, "10.0.0.9"),
        ("203.0.113.9", {"x-forwarded-for": "10.0.0.9"}, "203.0.113.9"),
        (
            "10.0.0.1",
            {"forwarded": 'for="[2001:db8::1]:4711";proto=https, for=10.0.0.5'},
            "2001:db8::1",
        ),
        (
            "10.0.0.1",
            {"forwarded": "For=203.0.113.7:80", "x-forwarded-for": "1.1.1.1"},
            "203.0.113.7",
        ),
        ("10.0.0.1", {"forwarded": "for=unknown, for=10.0.0.5"}, "10.0.0.5"),
        ("10.0.0.1", {"x-forwarded-for": "nonsense"}, "10.0.0.1"),
        ("10.0.0.1", {}, "10.0.0.1"),
        (
            "10.0.0.1",
            {"x-forwarded-for": ", ".join(["1.1.1.1"] + ["10.0.0.2"] * 40)},
            "10.0.0.2",
        ),  # at most MAX_HOPS hops are read
    ],
)
def test_the_client_is_the_nearest_hop_that_is_not_trusted(
    peer: str, headers: dict[str, str], client: str
) -> None:
    assert format_address(client_address(headers, parse_address(peer), TRUSTED)) == client
