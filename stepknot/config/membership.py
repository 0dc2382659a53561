"""The `peers` block: this broker as a member of its fleet, the seeds, and the membership settings."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from typing import Any

from stepknot.config.errors import SettingError
from stepknot.config.hcl import Block
from stepknot.config.readers import Checker, Key, address, count, duration, flag, size, text
from stepknot.membership.model import MembershipSettings

DEFAULT = MembershipSettings()
MAX_NAME_LENGTH = 64  # characters
MIN_PERIOD, MAX_PERIOD = 0.05, 10.0  # seconds
MIN_PAUSE_PERIODS = 4
MIN_TOMBSTONE_PAUSES = 10


def name(value: Any) -> str:
    """Read a member's or a fleet's name.

    Raises:
        SettingError: It is too long, or not printable.
    """
    found = text(value)
    if len(found) > MAX_NAME_LENGTH or not found.isprintable():
        raise SettingError("expected a name of 64 printable characters at the most")
    return found


def addresses(value: Any) -> tuple[tuple[str, int], ...]:
    """Read the seeds' addresses.

    Raises:
        SettingError: They are no list of different addresses with ports.
    """
    if not isinstance(value, list):
        raise SettingError('expected a list of addresses such as ["10.0.0.4:9600"]')
    found = tuple(map(address, value))
    if any(not port for _, port in found):
        raise SettingError("expected a port over 0 in each")
    if len(set(found)) != len(found):
        raise SettingError("expected each address once")
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
    "most": Key(count(8, 100_000), DEFAULT.max_records),
    "rate": Key(size, int(DEFAULT.rate)),
    "rings": Key(count(2, 16), DEFAULT.rings),
}


@dataclass(frozen=True, slots=True)
class Peers:
    """The `peers` block of a broker.

    `listen` is the address where datagrams come in, and `advertise` the one where others send them, if that differs.
    """

    name: str
    listen: tuple[str, int]
    advertise: tuple[str, int] | None
    settings: MembershipSettings


def read_peers(
    checker: Checker, block: Block | None, listen: tuple[str, int] | None, instances: int | None
) -> Peers | None:
    """Read the `peers` block; problems go to the checker.

    Args:
        checker: Of the settings file.
        block: The block, or none where the file has none.
        listen: The broker's address for queries: its name where the block has none.
        instances: How many brokers the settings name.

    Returns:
        None where there is no such block, where it is switched off, or where it has problems.
    """
    if block is None:
        return None
    got = checker.read(block, TABLE, "peers.")
    if checker.problems or not got["enabled"]:
        return None

    wrong = partial(checker.wrong_key, block, "peers.")
    if not MIN_PERIOD <= got["period"] <= MAX_PERIOD:
        wrong("period", 'expected from "50ms" to "10s"')
    if got["pause"] < MIN_PAUSE_PERIODS * got["period"]:
        wrong(
            "pause",
            "expected four periods or more: whoever stands still is suspect for that long first",
        )
    if got["tombstone"] < MIN_TOMBSTONE_PAUSES * got["pause"]:
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
            max_records=got["most"],
            rate=float(got["rate"]),
            burst=8.0 * got["rate"],
            rings=got["rings"],
        ),
    )
