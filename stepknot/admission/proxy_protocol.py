"""Parses the header of the PROXY protocol, versions 1 and 2, which names the client of a proxy's connection.

The module only parses. The caller knows the peer and decides whether to trust the header. Source: HAProxy, "The PROXY
protocol", versions 1 and 2.
"""

from __future__ import annotations

from typing import NamedTuple

from stepknot.admission.addresses import V4_BYTES, V6_BYTES, Address, parse_address
from stepknot.admission.errors import ProxyHeaderError

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"  # start of a version 2 header
LINE_START = b"PROXY "  # start of a version 1 header
MAX_LINE = 107  # maximum length in bytes of a version 1 line, by the specification
# Maximum accepted length in bytes of a version 2 block: addresses and some extensions.
MAX_BLOCK = 1024
MAX_PORT = 65535

LINE_FIELDS = 6  # number of fields of a version 1 line: PROXY, family, two addresses, two ports
FIXED_PART = 16  # length in bytes of a version 2 header before its block
VERSION = 2
LOCAL, PROXIED = 0, 1  # commands of version 2
UNSPECIFIED, INET, INET6, UNIX = 0, 1, 2, 3  # address families of version 2
ADDRESS_BYTES = {INET: V4_BYTES, INET6: V6_BYTES}
PORTS = 2
PORTS_BYTES = 4
MAPPED_PREFIX = bytes(10) + b"\xff\xff"  # prefix of an IPv4-mapped IPv6 address


class ProxyHeader(NamedTuple):
    """A complete header."""

    # Address of the client; None for LOCAL and UNKNOWN: the client is the peer.
    address: Address | None
    length: int  # length of the header in bytes


def parse_proxy_header(data: bytes) -> ProxyHeader | None:
    """Parse the header at the start of `data`; return None while it is incomplete.

    Raises:
        ProxyHeaderError: `data` does not begin with a header of either version.
    """
    if data.startswith(SIGNATURE[: len(data)]) or data.startswith(SIGNATURE):
        return _parse_version_2(data)
    if data.startswith(LINE_START[: len(data)]) or data.startswith(LINE_START):
        return _parse_version_1(data)
    raise ProxyHeaderError("the connection does not begin with a PROXY header")


def _parse_version_1(data: bytes) -> ProxyHeader | None:
    end = data.find(b"\r\n")
    if end < 0 or end + 2 > MAX_LINE:
        if len(data) >= MAX_LINE or end >= 0:
            raise ProxyHeaderError(f"a PROXY line of over {MAX_LINE} bytes")
        return None
    fields = data[:end].split(b" ")
    if fields[1:2] == [b"UNKNOWN"]:
        return ProxyHeader(None, end + 2)
    if len(fields) != LINE_FIELDS or fields[1] not in (b"TCP4", b"TCP6"):
        raise ProxyHeaderError("a PROXY line that is not of its form")
    try:
        source, target = fields[2].decode("ascii"), fields[3].decode("ascii")
        ports = [int(field) for field in fields[4:] if _is_number(field)]
        address = parse_address(source)
        parse_address(target)
    except ValueError:
        raise ProxyHeaderError("a PROXY line with a malformed address") from None
    is_v6 = fields[1] == b"TCP6"
    has_ports = len(ports) == PORTS and max(ports) <= MAX_PORT
    if not has_ports or (":" in source) != is_v6 or (":" in target) != is_v6:
        raise ProxyHeaderError("a PROXY line with a malformed port or address")
    return ProxyHeader(address, end + 2)


def _is_number(field: bytes) -> bool:
    """Return whether a field is a decimal number without leading zeros."""
    return field.isdigit() and (field == b"0" or field[:1] != b"0")


def _parse_version_2(data: bytes) -> ProxyHeader | None:
    if len(data) < FIXED_PART:
        return None
    version, command, family = data[12] >> 4, data[12] & 15, data[13] >> 4
    block_length = int.from_bytes(data[14:16])
    if version != VERSION or command > PROXIED:
        raise ProxyHeaderError("a PROXY block of another version or command")
    if block_length > MAX_BLOCK:
        raise ProxyHeaderError(f"a PROXY block of {block_length} bytes")
    length = FIXED_PART + block_length
    if len(data) < length:
        return None
    if command == LOCAL or family in (UNSPECIFIED, UNIX):
        return ProxyHeader(None, length)
    width = ADDRESS_BYTES.get(family, 0)
    if not width or block_length < 2 * width + PORTS_BYTES:
        raise ProxyHeaderError("a PROXY block whose addresses do not fit its family")
    return ProxyHeader(_unmap(data[FIXED_PART : FIXED_PART + width]), length)


def _unmap(address: bytes) -> Address:
    """Return the address, converted to IPv4 if it is an IPv4-mapped IPv6 address."""
    is_mapped = len(address) == V6_BYTES and address.startswith(MAPPED_PREFIX)
    return Address(address[12:] if is_mapped else address)
