"""Whom a request is for, by proxies' headers: only as far as hops are trusted."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.admission.addresses import NetworkSet, format_address, parse_address
from stepknot.admission.errors import ProxyHeaderError
from stepknot.admission.forwarded import client_address
from stepknot.admission.proxy_protocol import SIGNATURE, parse_proxy_header

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
        ),  # what stands before is made up
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
        ),  # hops are bounded
    ],
)
def test_the_client_is_the_nearest_hop_that_is_not_trusted(
    peer: str, headers: dict[str, str], client: str
) -> None:
    assert format_address(client_address(headers, parse_address(peer), TRUSTED)) == client


@given(
    st.binary(max_size=200),
    st.sampled_from([b"", b"PROXY ", b"PROXY TCP4 ", SIGNATURE, SIGNATURE + b"\x21\x11"]),
)
@settings(max_examples=500, deadline=None, derandomize=True)
def test_any_bytes_are_a_header_malformed_or_incomplete(data: bytes, head: bytes) -> None:
    try:
        found = parse_proxy_header(head + data)
    except ProxyHeaderError:
        return
    if found is None:
        assert len(head + data) < 1100
    else:
        address, length = found
        assert length <= len(head + data) and (address is None or len(address) in (4, 16))


def test_header_that_arrives_byte_by_byte_is_parsed_the_same() -> None:
    line = b"PROXY TCP6 2001:db8::1 ::1 5000 9200\r\n"
    for cut in range(len(line)):
        assert parse_proxy_header(line[:cut]) is None
    assert parse_proxy_header(line + b"GET") == (parse_address("2001:db8::1"), len(line))
