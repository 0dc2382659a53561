"""The packed addresses of sockets' peers, and the networks of trusted proxies."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from stepknot.admission.addresses import Address, NetworkSet, parse_address

MAX_CACHED_ADDRESSES = 4096

Peer = tuple[Any, ...]  # the address of a socket's peer as Python gives it: the host, then the port


class PeerAddresses:
    """Parses and caches the addresses of peers.

    Args:
        trusted: The networks of trusted proxies.
    """

    def __init__(self, trusted: Iterable[str]) -> None:
        self.trusted = NetworkSet(trusted)
        self._cached: dict[str, Address] = {}  # packed address by the host's text

    def address(self, peer: Peer) -> Address:
        """The packed address of a peer."""
        address = self._cached.get(peer[0])
        if address is None:
            if len(self._cached) >= MAX_CACHED_ADDRESSES:
                self._cached.clear()
            address = self._cached[peer[0]] = parse_address(str(peer[0]))
        return address
