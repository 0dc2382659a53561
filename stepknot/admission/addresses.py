"""Addresses as bytes, their prefixes, and sets of networks."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable

from stepknot.admission.model import Address

V4_24, V6_64, V6_56 = (
    b"4",
    b"6",
    b"5",
)  # the first byte of a prefix's key: two kinds never fall together


def packed(text: str) -> Address:
    """Raises ValueError. A zone index is left out; IPv4 in IPv6 becomes IPv4."""
    found = ipaddress.ip_address(text.partition("%")[0])
    if isinstance(found, ipaddress.IPv6Address) and found.ipv4_mapped is not None:
        found = found.ipv4_mapped
    return found.packed


def shown(address: Address) -> str:
    return str(ipaddress.ip_address(address))


def prefixes(address: Address) -> tuple[bytes, ...]:
    """Keys of the prefixes that an address counts for, each with its kind before it."""
    if len(address) == 4:
        return (V4_24 + address[:3],)
    return (V6_64 + address[:8], V6_56 + address[:7])


def prefix_shown(key: bytes) -> str:
    kind, rest = key[:1], key[1:]
    if kind == V4_24:
        return f"{ipaddress.ip_address(rest + bytes(1))}/24"
    return f"{ipaddress.ip_address(rest + bytes(16 - len(rest)))}/{len(rest) * 8}"


class Networks:
    """Whether an address is in one of some networks; a lookup for each prefix length that occurs."""

    def __init__(self, texts: Iterable[str] = ()) -> None:
        self.by_length: dict[tuple[int, int], set[int]] = {}
        for text in texts:
            self.add(text)

    def add(self, text: str) -> None:
        """Raises ValueError."""
        found = network(text)
        bits = found.max_prefixlen - found.prefixlen
        self.by_length.setdefault((found.max_prefixlen // 8, bits), set()).add(
            int(found.network_address) >> bits
        )

    def __contains__(self, address: object) -> bool:
        if not self.by_length:
            return False
        assert isinstance(address, bytes)
        number = int.from_bytes(address)
        return any(
            width == len(address) and number >> bits in held
            for (width, bits), held in self.by_length.items()
        )


def network(text: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    """Raises ValueError, also where bits beyond the prefix are set."""
    return ipaddress.ip_network(text)
