"""The `peers` block: who this broker is among its like, and whom it asks to be let in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from stepknot.config.hcl import Block
from stepknot.config.readers import Bad, Checker, Key, address, count, duration, flag, size, text
from stepknot.membership.model import MembershipSettings

DEFAULT = MembershipSettings()


def name(value: Any) -> str:
    found = text(value)
    if len(found) > 64 or not found.isprintable():
        raise Bad("expected a name of 64 printable characters at the most")
    return found


def addresses(value: Any) -> tuple[tuple[str, int], ...]:
    if not isinstance(value, list):
        raise Bad('expected a list of addresses such as ["10.0.0.4:9600"]')
    found = tuple(map(address, value))
    if any(not port for _, port in found):
        raise Bad("expected a port over 0 in each")
    if len(set(found)) != len(found):
        raise Bad("expected each address once")
    return found


TABLE = {
    "enabled": Key(flag, True),
    "name": Key(name, ""),
    "fleet": Key(name, DEFAULT.fleet),
    "listen": Key(address),
    "advertise": Key(address, None),
    "seeds": Key(addresses, ()),
    "period": Key(duration, DEFAULT.period),
    "pause": Key(duration, DEFAULT.pause),
    "tombstone": Key(duration, DEFAULT.tombstone),
    "most": Key(count(8, 100_000), DEFAULT.most),
    "rate": Key(size, int(DEFAULT.rate)),
    "rings": Key(count(2, 16), DEFAULT.rings),
}


@dataclass(frozen=True, slots=True)
class Peers:
    """`listen`: where datagrams come in; `advertise`: where others send them, where that differs."""

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int] | None
    settings: MembershipSettings


def read_peers(
    checker: Checker, block: Block | None, listen: tuple[str, int] | None, instances: int | None
) -> Peers | None:
    """None where there is no such block, or it is switched off."""
    if block is None:
        return None
    got = checker.read(block, TABLE, "peers.")
    if checker.problems or not got["enabled"]:
        return None

    def wrong(key: str, expected: str) -> None:
        checker.wrong(
            block.values[key].line if key in block.values else block.line, f"peers.{key}", expected
        )

    if not 0.05 <= got["period"] <= 10.0:
        wrong("period", 'expected from "50ms" to "10s"')
    if got["pause"] < 4 * got["period"]:
        wrong(
            "pause",
            "expected four periods or more: whoever stands still is suspect for that long first",
        )
    if got["tombstone"] < 10 * got["pause"]:
        wrong(
            "tombstone",
            "expected ten pauses or more: it tells for how long a cut-off broker may live on",
        )
    if got["advertise"] is not None and not got["advertise"][1]:
        wrong("advertise", "expected a port over 0")
    if got["advertise"] is None and got["listen"][0] in ("0.0.0.0", "::"):
        wrong("advertise", f"missing: others cannot send to {got['listen'][0]}")
    own = got["name"] or (f"{listen[0]}:{listen[1]}" if listen is not None else "broker")
    return Peers(
        own,
        got["listen"],
        got["advertise"],
        MembershipSettings(
            fleet=got["fleet"],
            seeds=got["seeds"],
            configured=instances or 1,
            period=got["period"],
            pause=got["pause"],
            tombstone=got["tombstone"],
            most=got["most"],
            rate=float(got["rate"]),
            burst=8.0 * got["rate"],
            rings=got["rings"],
        ),
    )
