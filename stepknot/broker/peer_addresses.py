"""Packed addresses of sockets' peers, and which of the peers are trusted proxies."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from stepknot.admission.addresses import Address, NetworkSet, parse_address

MAX_CACHED_ADDRESSES = 4096  # whose packed form is cached

Peer = tuple[Any, ...]  # a socket's peer, the address first


class PeerAddresses:
    """Parses and caches the addresses of peers.

    Args:
        trusted: Networks of the trusted proxies.
    """

    def __init__(self, trusted: Iterable[str]) -> None:
        self.trusted = NetworkSet(trusted)
        self._cached: dict[str, Address] = {}  # by the socket's text

    def address(self, peer: Peer) -> Address:
        """The packed address of a peer."""
        address = self._cached.get(peer[0])
        if address is None:
            if len(self._cached) >= MAX_CACHED_ADDRESSES:
                self._cached.clear()
            address = self._cached[peer[0]] = parse_address(str(peer[0]))
        return address
