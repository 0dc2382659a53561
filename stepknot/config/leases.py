"""The `ownership` block: the voters, the folder of a voter's state, and the lease."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

from stepknot.config.errors import SettingError
from stepknot.config.hcl import Block
from stepknot.config.membership import Peers, name
from stepknot.config.readers import Checker, Key, duration, flag, number, text
from stepknot.leases.settings import LeaseSettings

VOTER_COUNTS = (3, 5, 7)
MIN_LEASE, MAX_LEASE = 0.2, 60.0  # seconds
MAX_DRIFT = 0.2


def read_voters(value: Any) -> tuple[str, ...]:
    """Read the names of the voters.

    Raises:
        SettingError: They are not a list of 3, 5 or 7 different names.
    """
    if not isinstance(value, list):
        raise SettingError('expected a list of names such as ["b0", "b1", "b2"]')
    found = tuple(map(name, value))
    if len(set(found)) != len(found):
        raise SettingError("expected each voter once")
    if len(found) not in VOTER_COUNTS:
        raise SettingError(
            "expected 3, 5 or 7 voters: with an even number one more is needed and none more may be lost"
        )
    return found


TABLE = {
    "enabled": Key(flag, True),
    "voters": Key(read_voters),
    "state": Key(text, ""),
    "lease": Key(duration, 2.0),
    "drift": Key(number(0.0, MAX_DRIFT), 0.05),
}


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Leases of one broker."""

    settings: LeaseSettings
    state_folder: Path | None  # of this broker's voter; None: it is no voter


def read_ownership(
    checker: Checker, block: Block | None, peers: Peers | None, folder: Path
) -> LeaseConfig | None:
    """Read the block; problems are reported to the checker.

    Returns:
        None where there is no such block, it is switched off, or it has problems.
    """
    if block is None:
        return None
    got = checker.read(block, TABLE, "ownership.")
    if checker.problems or not got["enabled"]:
        return None

    wrong = partial(checker.wrong_key, block, "ownership.")
    if peers is None:
        checker.wrong(
            block.line, "ownership", "expected a peers block: its members are who votes and owns"
        )
        return None
    if not MIN_LEASE <= got["lease"] <= MAX_LEASE:
        wrong("lease", 'expected from "200ms" to "60s"')
    votes = peers.name in got["voters"]
    if votes and not got["state"]:
        wrong(
            "state",
            f"missing: {peers.name} is a voter, and remembers what it voted in a folder of its own",
        )
    return LeaseConfig(
        LeaseSettings(got["voters"], peers.settings.fleet, got["lease"], got["drift"]),
        folder / got["state"] if votes else None,
    )
