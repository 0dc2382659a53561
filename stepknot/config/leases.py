"""The `ownership` block: who votes, where a voter remembers, and for how long an owner owns."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from stepknot.config.hcl import Block
from stepknot.config.membership import Peers, name
from stepknot.config.readers import Bad, Checker, Key, duration, flag, number, text
from stepknot.leases.model import OwnerSettings


def voters(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise Bad('expected a list of names such as ["b0", "b1", "b2"]')
    found = tuple(map(name, value))
    if len(set(found)) != len(found):
        raise Bad("expected each voter once")
    if len(found) not in (3, 5, 7):
        raise Bad(
            "expected 3, 5 or 7 voters: with an even number one more is needed and none more may be lost"
        )
    return found


TABLE = {
    "enabled": Key(flag, True),
    "voters": Key(voters),
    "state": Key(text, ""),
    "lease": Key(duration, 2.0),
    "drift": Key(number(0.0, 0.2), 0.05),
}


@dataclass(frozen=True, slots=True)
class Owners:
    """`state`: the folder in which this broker remembers what it voted; none: it holds no vote."""

    settings: OwnerSettings
    state: Path | None


def read_ownership(
    checker: Checker, block: Block | None, peers: Peers | None, folder: Path
) -> Owners | None:
    """None where there is no such block, or it is switched off."""
    if block is None:
        return None
    got = checker.read(block, TABLE, "ownership.")
    if checker.problems or not got["enabled"]:
        return None

    def wrong(key: str, expected: str) -> None:
        checker.wrong(
            block.values[key].line if key in block.values else block.line,
            f"ownership.{key}",
            expected,
        )

    if peers is None:
        checker.wrong(
            block.line, "ownership", "expected a peers block: its members are who votes and owns"
        )
        return None
    if not 0.2 <= got["lease"] <= 60.0:
        wrong("lease", 'expected from "200ms" to "60s"')
    votes = peers.name in got["voters"]
    if votes and not got["state"]:
        wrong(
            "state",
            f"missing: {peers.name} is a voter, and remembers what it voted in a folder of its own",
        )
    return Owners(
        OwnerSettings(got["voters"], peers.settings.fleet, got["lease"], got["drift"]),
        folder / got["state"] if votes else None,
    )
