"""IP addresses as packed bytes, the prefixes to which their limits apply, and sets of networks."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from typing import NewType

Address = NewType("Address", bytes)  # 4 or 16 packed bytes; IPv4-mapped IPv6 is stored as IPv4
PrefixKey = NewType("PrefixKey", bytes)  # one byte for the kind of prefix, then the prefix's bytes

# The first byte of a prefix key, by the kind of prefix; it keeps keys of different kinds distinct.
V4_24 = b"4"
V6_64 = b"6"
V6_56 = b"5"

V4_BYTES = 4
V6_BYTES = 16


def parse_address(text: str) -> Address:
    """Parse an address; a zone index is ignored, and an IPv4-mapped IPv6 address becomes IPv4.

    Raises:
        ValueError: `text` is not an IP address.
    """
    address = ipaddress.ip_address(text.partition("%")[0])
    if isinstance(address, ipaddress.IPv6Address) and address.ipv4_mapped is not None:
        address = address.ipv4_mapped
    return Address(address.packed)


def format_address(address: bytes) -> str:
    """Return the usual text form of a packed address."""
    return str(ipaddress.ip_address(address))


def prefix_keys(address: Address) -> tuple[PrefixKey, ...]:
    """Return the keys of an address's prefixes: /24 for IPv4, /64 and /56 for IPv6."""
    if len(address) == V4_BYTES:
        return (PrefixKey(V4_24 + address[:3]),)
    return (PrefixKey(V6_64 + address[:8]), PrefixKey(V6_56 + address[:7]))


def format_prefix(key: PrefixKey) -> str:
    """Return the usual text form of a prefix."""
    kind, prefix = key[:1], key[1:]
    if kind == V4_24:
        return f"{ipaddress.ip_address(prefix + bytes(1))}/24"
    padding = bytes(V6_BYTES - len(prefix))
    return f"{ipaddress.ip_address(prefix + padding)}/{len(prefix) * 8}"


def parse_network(text: str) -> ipaddress.IPv4Network | ipaddress.IPv6Network:
    """Parse a network.

    Raises:
        ValueError: `text` is not a network, or host bits beyond its prefix are set.
    """
    return ipaddress.ip_network(text)


class NetworkSet:
    """A set of networks that contains addresses; a membership test takes one lookup per prefix length in the set."""

    def __init__(self, texts: Iterable[str] = ()) -> None:
        # Network numbers by address length in bytes and number of host bits.
        self._numbers: dict[tuple[int, int], set[int]] = {}
        for text in texts:
            self.add(text)

    def add(self, text: str) -> None:
        """Add a network.

        Raises:
            ValueError: `text` is not a network.
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
