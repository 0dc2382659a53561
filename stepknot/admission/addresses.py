"""IP addresses as packed bytes, the prefixes that they count for, and sets of networks."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from typing import NewType

Address = NewType("Address", bytes)  # 4 or 16 bytes, packed; IPv4 mapped in IPv6 is kept as IPv4
PrefixKey = NewType("PrefixKey", bytes)  # the kind of a prefix in one byte, then its bytes

# The kinds, so that keys of two kinds are never equal.
V4_24 = b"4"
V6_64 = b"6"
V6_56 = b"5"

V4_BYTES = 4
V6_BYTES = 16


def parse_address(text: str) -> Address:
    """Pack an address; a zone index is ignored, IPv4 mapped in IPv6 becomes IPv4.

    Raises:
        ValueError: `text` is no IP address.
    """
    address = ipaddress.ip_address(text.partition("%")[0])
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped is not None:
        address = address.ipv4_mapped
    return Address(address.packed)


def format_address(address: bytes) -> str:
    """The usual text of a packed address."""
    return str(ipaddress.ip_address(address))


def prefix_keys(address: Address) -> tuple[PrefixKey, ...]:
    """Keys of the prefixes that an address counts for: /24 of IPv4, /64 and /56 of IPv6."""
    if len(address) == V4_BYTES:
        return (PrefixKey(V4_24 + address[:3]),)
    return (PrefixKey(V6_64 + address[:8]), PrefixKey(V6_56 + address[:7]))


def format_prefix(key: PrefixKey) -> str:
    """The usual text of a prefix."""
    kind, prefix = key[:1], key[1:]
    if kind == V4_24:
        return f"{ipaddress.ip_address(prefix + bytes(1))}/24"
    padding = bytes(V6_BYTES - len(prefix))
    return f"{ipaddress.ip_address(prefix + padding)}/{len(prefix) * 8}"


def parse_network(text: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    """Parse a network.

    Raises:
        ValueError: `text` is no network, or bits beyond its prefix are set.
    """
    return ipaddress.ip_network(text)


class NetworkSet:
    """Tells whether an address is in one of some networks, by one lookup for each prefix length that occurs."""

    def __init__(self, texts: Iterable[str] = ()) -> None:
        # Of each address length in bytes and number of host bits: the network numbers.
        self._numbers: dict[tuple[int, int], set[int]] = {}
        for text in texts:
            self.add(text)

    def add(self, text: str) -> None:
        """Add a network.

        Raises:
            ValueError: `text` is no network.
        """
        network = parse_network(text)
        host_bits = network.max_prefixlen - network.prefixlen
        numbers = self._numbers.setdefault((network.max_prefixlen // 8, host_bits), set())
        numbers.add(int(network.network_address) >> host_bits)

    def __contains__(self, address: Address) -> bool:
        if not self._numbers:
            return False
        number = int.from_bytes(address)
        return any(
            length == len(address) and number >> host_bits in numbers
            for (length, host_bits), numbers in self._numbers.items()
        )
