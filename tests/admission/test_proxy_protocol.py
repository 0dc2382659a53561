"""Tests of the PROXY header parser with complete, incomplete and malformed headers of both versions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.admission.addresses import parse_address
from stepknot.admission.errors import ProxyHeaderError
from stepknot.admission.proxy_protocol import SIGNATURE, parse_proxy_header

pytestmark = pytest.mark.cpu_only


@given(
    st.binary(max_size=200),
    st.sampled_from([b"", b"PROXY ", b"PROXY TCP4 ", SIGNATURE, SIGNATURE + b"\x21\x11"]),
)
@settings(max_examples=500, deadline=None, derandomize=True)
def test_any_bytes_are_a_header_malformed_or_incomplete(data: bytes, head: bytes) -> None:
    try:
        header = parse_proxy_header(head + data)
    except ProxyHeaderError:
        return
    if header is None:
        assert len(head + data) < 1100
    else:
        address, length = header
        assert length <= len(head + data) and (address is None or len(address) in (4, 16))


def test_header_that_arrives_byte_by_byte_is_parsed_the_same() -> None:
    line = b"PROXY TCP6 2001:db8::1 ::1 5000 9200\r\n"
    for cut in range(len(line)):
        assert parse_proxy_header(line[:cut]) is None
    assert parse_proxy_header(line + b"GET") == (parse_address("2001:db8::1"), len(line))
