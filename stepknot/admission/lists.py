"""Bans and allowances that operators set, with their ends; and their checked form on disk."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field

from stepknot.admission.addresses import Networks, network
from stepknot.admission.model import Address

MOST = 10_000  # entries of each kind


class Damaged(Exception):
    """A snapshot that is not what was written."""


@dataclass(slots=True)
class Lists:
    """Ends are by the wall's clock, which is handed in; infinity has no end."""

    banned: dict[str, float] = field(default_factory=dict)
    allowed: dict[str, float] = field(default_factory=dict)
    networks: dict[str, Networks] = field(default_factory=dict)

    def put(self, kind: str, text: str, until: float) -> None:
        """`kind`: banned or allowed. Raises ValueError for what is no network, or one too many."""
        name = str(network(text))
        held = self.of(kind)
        if len(held) >= MOST and name not in held:
            raise ValueError(f"{MOST} networks are {kind} already")
        held[name] = until
        self.networks.pop(kind, None)

    def drop(self, kind: str, text: str) -> bool:
        found = self.of(kind).pop(str(network(text)), None) is not None
        self.networks.pop(kind, None)
        return found

    def of(self, kind: str) -> dict[str, float]:
        return {"banned": self.banned, "allowed": self.allowed}[kind]

    def holds(self, kind: str, address: Address) -> bool:
        """An entry whose end has passed counts until `expire` takes it off: that is told the time."""
        found = self.networks.get(kind)
        if found is None:
            found = self.networks[kind] = Networks(self.of(kind))
        return address in found

    def expire(self, wall: float) -> list[str]:
        """Take off what has ended; their names."""
        gone = []
        for kind in ("banned", "allowed"):
            held = self.of(kind)
            for name in [name for name, until in held.items() if until <= wall]:
                del held[name]
                self.networks.pop(kind, None)
                gone.append(name)
        return gone

    # --- on disk

    def dump(self) -> bytes:
        body = json.dumps(
            {"version": 1, "banned": self.banned, "allowed": self.allowed}, sort_keys=True
        )
        return f"{hashlib.sha256(body.encode()).hexdigest()}\n{body}\n".encode()

    @classmethod
    def load(cls, data: bytes) -> Lists:
        """Raises Damaged."""
        head, _, body = data.partition(b"\n")
        body = body.removesuffix(b"\n")
        if hashlib.sha256(body).hexdigest().encode() != head:
            raise Damaged("its checksum does not fit: it is damaged or cut short")
        try:
            found = json.loads(body)
            lists = cls()
            for kind in ("banned", "allowed"):
                for name, until in found[kind].items():
                    lists.put(kind, name, float(until))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise Damaged(f"not a snapshot: {error}") from None
        return lists
