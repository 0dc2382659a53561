"""Whom a connection or a request is for, by the word of a proxy: PROXY protocol 1 and 2, Forwarded, X-Forwarded-For.

Parsing only; whether the word is taken is for the caller, who knows the peer. Nothing is trusted further than the first
hop that is not itself trusted: what stands before it was written by whoever sent the request.
"""

from __future__ import annotations

from collections.abc import Mapping

from stepknot.admission.addresses import Networks, packed
from stepknot.admission.model import Address

SIGNATURE = b"\r\n\r\n\0\r\nQUIT\n"
LONGEST_LINE = 107  # bytes of a version 1 line, by its specification
LONGEST_BLOCK = 1024  # bytes of a version 2 block that are taken: addresses and some extensions
MOST_HOPS = 32


class Malformed(Exception):
    """What is not the protocol's."""


def read_proxy(data: bytes) -> tuple[Address | None, int] | None:
    """The client's address and how many bytes the header takes; None while it is not whole.

    The address is None for LOCAL and UNKNOWN: the connection speaks for itself. Raises Malformed.
    """
    if data.startswith(SIGNATURE[: len(data)]) or data.startswith(SIGNATURE):
        return read_version_2(data)
    if data.startswith(b"PROXY "[: len(data)]) or data.startswith(b"PROXY "):
        return read_version_1(data)
    raise Malformed("the connection does not begin with a PROXY header")


def read_version_1(data: bytes) -> tuple[Address | None, int] | None:
    end = data.find(b"\r\n")
    if end < 0 or end + 2 > LONGEST_LINE:
        if len(data) >= LONGEST_LINE or end >= 0:
            raise Malformed(f"a PROXY line of over {LONGEST_LINE} bytes")
        return None
    words = data[:end].split(b" ")
    if words[1:2] == [b"UNKNOWN"]:
        return None, end + 2
    if len(words) != 6 or words[1] not in (b"TCP4", b"TCP6"):
        raise Malformed("a PROXY line that is not of its form")
    try:
        source, target = words[2].decode("ascii"), words[3].decode("ascii")
        ports = [
            int(word) for word in words[4:] if word.isdigit() and (word == b"0" or word[:1] != b"0")
        ]
        addresses = [packed(source), packed(target)]
    except ValueError:
        raise Malformed("a PROXY line with a malformed address") from None
    colon = words[1] == b"TCP6"
    if (
        len(ports) != 2
        or max(ports) > 65535
        or (":" in source) != colon
        or (":" in target) != colon
    ):
        raise Malformed("a PROXY line with a malformed port or address")
    return addresses[0], end + 2


def read_version_2(data: bytes) -> tuple[Address | None, int] | None:
    if len(data) < 16:
        return None
    version, command, family = data[12] >> 4, data[12] & 15, data[13] >> 4
    length = int.from_bytes(data[14:16])
    if version != 2 or command > 1:
        raise Malformed("a PROXY block of another version or command")
    if length > LONGEST_BLOCK:
        raise Malformed(f"a PROXY block of {length} bytes")
    if len(data) < 16 + length:
        return None
    if command == 0 or family in (0, 3):
        return None, 16 + length
    width = {1: 4, 2: 16}.get(family, 0)
    if not width or length < 2 * width + 4:
        raise Malformed("a PROXY block whose addresses do not fit its family")
    return mapped(data[16 : 16 + width]), 16 + length


def mapped(address: bytes) -> Address:
    return (
        address[12:] if len(address) == 16 and address[:12] == bytes(10) + b"\xff\xff" else address
    )


def client_of(headers: Mapping[str, str], peer: Address, trusted: Networks) -> Address:
    """The client by the headers, from the nearest hop outwards, as far as hops are trusted."""
    if peer not in trusted:
        return peer
    found = peer
    for text in reversed(hops(headers)):
        try:
            found = packed(text)
        except ValueError:
            return found  # "unknown", a made-up name, or nonsense: the hop that wrote it is the last that is known
        if found not in trusted:
            return found
    return found


def hops(headers: Mapping[str, str]) -> list[str]:
    """Addresses as written, the nearest last. `Forwarded` is the standard's; the other is read where it is missing."""
    if "forwarded" in headers:
        found = []
        for element in headers["forwarded"].split(",")[-MOST_HOPS:]:
            pairs = (pair.partition("=") for pair in element.split(";"))
            found.append(
                next((bare(value) for name, _, value in pairs if name.strip().lower() == "for"), "")
            )
        return found
    return [
        bare(each)
        for each in headers.get("x-forwarded-for", "").split(",")[-MOST_HOPS:]
        if each.strip()
    ]


def bare(text: str) -> str:
    """Without quotes, brackets and port."""
    text = text.strip().strip('"')
    if text.startswith("["):
        return text[1:].partition("]")[0]
    return text.partition(":")[0] if text.count(":") == 1 else text
