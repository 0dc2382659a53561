"""Other ways to treat a zone's return, for bench/zone_loss.py: `python bench/baselines.py NAME serve CONFIG ...`.

Each takes the place of the zones' rules in an otherwise unchanged broker. They are the plain forms of what proxies do:
slow start by time, outlier ejection with a panic threshold, and a random replica.
"""

from __future__ import annotations

import random
import sys
from collections import defaultdict
from collections.abc import Sequence
from typing import Any

from stepknot.broker import service
from stepknot.cli.main import cli
from stepknot.interface import Outcome, ServerEntry
from stepknot.zones.failover import ZoneFailover

LEAST_WEIGHT = 0.1  # of a host that has just started
EJECT_AFTER, EJECT_FOR, PANIC = (
    5,
    3.0,
    0.5,
)  # failures in a row, seconds, share of hosts left under which all count


class Plain(ZoneFailover):
    """Nothing is shed; nothing is bounded."""

    def admit(self, now: float, priority: float, parts: int, over_quota: bool) -> float | None:
        super().admit(now, priority, parts, over_quota)
        return None

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        self.advance(now)
        return list(range(len(entries)))


class SlowStart(Plain):
    """A host's weight grows with its age until it is warm."""

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        places = super().narrow(now, entries, safe, owed)
        warm = self.warm_up.seconds
        left = [
            place
            for place in places
            if entries[place].up_since <= 0
            or self.rng.random() < max(LEAST_WEIGHT, (now - entries[place].up_since) / warm)
        ]
        return left or places


class Panic(Plain):
    """Hosts that fail in a row are ejected for a while; where too few are left, all count again."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.row: dict[str, int] = defaultdict(int)
        self.until: dict[str, float] = defaultdict(float)
        self.times: dict[str, int] = defaultdict(int)

    def on_attempt_ended(self, now: float, server: str, outcome: Outcome, seconds: float) -> None:
        super().on_attempt_ended(now, server, outcome, seconds)
        if outcome is Outcome.SERVED:
            self.row[server] = 0
        elif outcome is not Outcome.CANCELLED:
            self.row[server] += 1
            if self.row[server] >= EJECT_AFTER:
                self.times[server] += 1
                self.row[server], self.until[server] = 0, now + EJECT_FOR * self.times[server]

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        places = super().narrow(now, entries, safe, owed)
        left = [place for place in places if self.until[entries[place].server] <= now]
        ejected = sum(self.until[server] > now for server in self.zone_of_server)
        return (
            left
            if len(self.zone_of_server) - ejected >= PANIC * len(self.zone_of_server) and left
            else places
        )


class Random(Plain):
    """Any replica; the module has no choice left."""

    def narrow(
        self, now: float, entries: Sequence[ServerEntry], safe: bool, owed: bool = False
    ) -> list[int]:
        return [self.rng.randrange(len(entries))] if entries else []


KINDS: dict[str, type[ZoneFailover]] = {"slow-start": SlowStart, "panic": Panic, "random": Random}

if __name__ == "__main__":
    service.ZoneFailover = KINDS[sys.argv.pop(1)]  # type: ignore[misc]
    random.seed(0)
    cli()
