"""Bans and allowances set by operators, with their expiry, and their checksummed snapshot format."""

from __future__ import annotations

import hashlib
import json
from enum import Enum

from stepknot.admission.addresses import Address, NetworkSet, parse_network
from stepknot.admission.errors import AccessListError, SnapshotDamagedError

MAX_ENTRIES = 10_000  # maximum number of networks in each list
FORMAT_VERSION = 1


class AccessList(Enum):
    """The two lists; the values are keys on disk and in admin answers."""

    BANNED = "banned"
    ALLOWED = "allowed"


class AccessLists:
    """Holds the networks of both lists; an expiry is in seconds of the wall clock, and infinite for no expiry."""

    def __init__(self) -> None:
        self._expiry: dict[AccessList, dict[str, float]] = {each: {} for each in AccessList}
        # Removed when the list changes and rebuilt by the next look-up of an address.
        self._networks: dict[AccessList, NetworkSet] = {}

    @property
    def banned(self) -> dict[str, float]:
        """Expiry of each banned network."""
        return self._expiry[AccessList.BANNED]

    @property
    def allowed(self) -> dict[str, float]:
        """Expiry of each allowed network."""
        return self._expiry[AccessList.ALLOWED]

    def add(self, access_list: AccessList, network: str, expires_at: float) -> None:
        """Add a network, or change its expiry.

        Raises:
            ValueError: `network` is not a valid network.
            AccessListError: The list is full.
        """
        name = str(parse_network(network))
        entries = self._expiry[access_list]
        if len(entries) >= MAX_ENTRIES and name not in entries:
            raise AccessListError(
                f"cannot add {name} to the list of {access_list.value} networks: "
                f"it already has the maximum of {MAX_ENTRIES} entries"
            )
        entries[name] = expires_at
        self._networks.pop(access_list, None)

    def remove(self, access_list: AccessList, network: str) -> bool:
        """Remove a network; return whether it was in the list.

        Raises:
            ValueError: `network` is not a valid network.
        """
        removed = self._expiry[access_list].pop(str(parse_network(network)), None)
        self._networks.pop(access_list, None)
        return removed is not None

    def contains(self, access_list: AccessList, address: Address) -> bool:
        """Return whether an address is in a list; an expired entry counts until `remove_expired` removes it."""
        networks = self._networks.get(access_list)
        if networks is None:
            networks = self._networks[access_list] = NetworkSet(self._expiry[access_list])
        return address in networks

    def remove_expired(self, wall_time: float) -> list[str]:
        """Remove the networks whose expiry has passed; return them."""
        removed = []
        for access_list, entries in self._expiry.items():
            expired = [name for name, expires_at in entries.items() if expires_at <= wall_time]
            for name in expired:
                del entries[name]
                self._networks.pop(access_list, None)
            removed += expired
        return removed

    def dump(self) -> bytes:
        """Return a snapshot of two lines: the SHA-256 of the second line, and the lists as JSON."""
        body = json.dumps(
            {"version": FORMAT_VERSION, "banned": self.banned, "allowed": self.allowed},
            sort_keys=True,
        )
        return f"{_checksum(body.encode())}\n{body}\n".encode()

    @classmethod
    def load(cls, data: bytes) -> AccessLists:
        """Read the lists from a snapshot.

        Raises:
            SnapshotDamagedError: `data` is not a complete snapshot.
        """
        checksum, _, body = data.partition(b"\n")
        body = body.removesuffix(b"\n")
        if _checksum(body).encode() != checksum:
            raise SnapshotDamagedError(
                "the access list snapshot is damaged or truncated: "
                "the checksum in its first line does not match its second line"
            )
        lists = cls()
        try:
            content = json.loads(body)
            for access_list in AccessList:
                for name, expires_at in content[access_list.value].items():
                    lists.add(access_list, name, float(expires_at))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise SnapshotDamagedError(
                f"the access list snapshot has invalid content: {error}"
            ) from error
        return lists


def _checksum(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()
