"""Seeded runs of zone failover: losses, partial losses, recoveries, relapses, endpoint lists, overload, clock steps."""

from __future__ import annotations

import random
from dataclasses import replace

from bench.trace_packages.trace import Trace, recorded_text
from stepknot.interface import Outcome, ServerEntry, ServerState
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.settings import FailoverSettings, WarmUp, ZoneSettings, derive_settings

EXPECTED = "6072d0c567a429c6113e9e846aadb24f514f82c84910c4caa1b2a233a929f249"
SEEDS = range(10)
PHASES = 14
TICK = 0.05
OTHER_OUTCOMES = (Outcome.CANCELLED, Outcome.REJECTED, Outcome.TIMED_OUT, Outcome.ERROR)
SETTINGS = (
    ZoneSettings(""),
    ZoneSettings("a"),
    ZoneSettings("a", (("a", "b"),)),
    ZoneSettings("b", prefer_near=False),
    ZoneSettings(
        "a", failover=FailoverSettings(spill=1.2, step=0.8, first=0.1, calm=4.0, trial=0.5)
    ),
)

# Reasons of state changes: the present text as a pattern, and the text that the recorded digest contains.
RECORDED_REASONS = (
    (r"\Ainitial state: no part has failed yet\Z", "nothing was seen yet"),
    (r"\Athe zone served a trial part\Z", "a trial was served"),
    (
        r"\Aparts failed again while the zone was recovering\Z",
        "it failed again on its way back",
    ),
    (r"\Athe zone gets its full baseline again\Z", "all of what it had is back"),
)


def recorded_reason(reason: str) -> str:
    """Return the text that the recorded digest contains for a reason."""
    return recorded_text(reason, RECORDED_REASONS)


def record(trace: Trace) -> None:
    """Play all runs."""
    for seed in SEEDS:
        _Run(trace, seed).play()
    for zones in (1, 2, 3, 10, 50):
        derived = derive_settings(FailoverSettings(), zones, WarmUp(0.1, 8.0), 1.0)
        trace.add(derived.spill, derived.near, derived.step, derived.first)


class _Run:
    """One broker with zones that are lost and recover."""

    def __init__(self, trace: Trace, seed: int) -> None:
        self.trace, self.rng = trace, random.Random(seed)
        self.names = "abc" if seed % 2 else "ab"
        settings = SETTINGS[seed % len(SETTINGS)]
        self.zones = ZoneFailover(settings, 0.1, 8.0, 1.0, seed)
        self.now = 100.0
        self.entries = [
            ServerEntry(f"{name}{number}", name, 0, ServerState.LIVE)
            for name in self.names
            for number in range(5)
        ]
        self.down: set[str] = set()
        self.faulty: set[str] = set()
        self.zones.update_endpoints(self.now, self.entries)

    def play(self) -> None:
        """Run without faults at first, then through phases with random faults, then without faults again."""
        self.run(8.0, 100)
        for _ in range(PHASES):
            self.disturb()
            self.run(self.rng.uniform(1.0, 4.0), self.rng.choice([40, 100, 100, 250]))
        self.down.clear()
        self.faulty.clear()
        self.zones.update_endpoints(self.now, self.entries)
        self.run(6.0, 60)

    def disturb(self) -> None:
        """Change which zones or servers are down, listed or faulty, or step the clock."""
        rng, name = self.rng, self.rng.choice(self.names)
        match rng.randrange(10):
            case 0 | 1 | 2:
                self.down.add(name)
            case 3 | 4:
                self.down.discard(name)
            case 5:
                self.down ^= {f"{name}{number}" for number in range(rng.randrange(1, 5))}
            case 6:
                listed = [each for each in self.entries if each.zone != name]
                self.zones.update_endpoints(self.now, listed)
            case 7:
                self.down.discard(name)
                self.entries = [
                    replace(each, up_since=self.now) if each.zone == name else each
                    for each in self.entries
                ]
                self.zones.update_endpoints(self.now, self.entries)
            case 8:
                self.faulty ^= {name}
            case 9:
                self.now += rng.choice([-5.0, 30.0])

    def run(self, seconds: float, rate: float) -> None:
        """Play queries of several priorities at this rate."""
        rng = self.rng
        until = self.now + seconds
        while self.now < until:
            self.now += TICK
            for _ in range(int(rate * TICK)):
                parts = rng.choice([1, 1, 1, 4])
                priority = rng.choice([1.0, 4.0, 16.0])
                retry_after = self.zones.admit(self.now, priority, parts, rng.random() < 0.2)
                self.trace.add(retry_after)
                if retry_after is None or rng.random() < 0.3:
                    for _ in range(parts):
                        self.part()
            if rng.random() < 0.2:
                self.check_health()
            self.changes()
        self.views()

    def part(self) -> None:
        """Send one part to a random candidate and end its attempt."""
        rng = self.rng
        replica_zones = rng.choice([self.names, self.names, self.names, "b", "ba"])
        candidates = [each for each in self.entries if each.zone in replica_zones]
        indices = self.zones.narrow(self.now, candidates, rng.random() < 0.8, rng.random() < 0.1)
        self.trace.add(len(indices), *indices)
        if not indices:
            return
        entry = candidates[rng.choice(indices)]
        self.zones.on_attempt_sent(self.now, entry.server)
        self.zones.end_turn()
        outcome, elapsed = Outcome.SERVED, rng.uniform(0.005, 0.02)
        if entry.zone in self.down or entry.server in self.down:
            outcome = rng.choice([Outcome.NOT_CONNECTED, Outcome.CANCELLED, Outcome.TIMED_OUT])
            elapsed = rng.choice([0.001, 0.5])
        elif entry.zone in self.faulty and rng.random() < 0.5:
            outcome, elapsed = rng.choice(OTHER_OUTCOMES), rng.choice([0.01, 0.3])
        self.zones.on_attempt_ended(self.now, entry.server, outcome, elapsed)

    def check_health(self) -> None:
        """Play a health check of a random server, or of one that is not listed."""
        rng = self.rng
        server = rng.choice([*(each.server for each in self.entries), "unknown"])
        round_trip = {"a": 0.001, "b": 0.01, "c": 0.1}.get(server[0], 1.0)
        self.zones.on_health_check(
            self.now, server, round_trip * rng.uniform(0.8, 2.0), rng.random() < 0.9
        )

    def changes(self) -> None:
        """Add the changes of state, as they are logged."""
        for change in self.zones.take_changes():
            self.trace.add(change.zone, change.old, change.new, recorded_reason(change.reason))
            evidence = change.evidence
            self.trace.add(evidence.failing_fraction, evidence.samples, evidence.servers)
            self.trace.add(evidence.relapses, evidence.recovery_fraction)

    def views(self) -> None:
        """Add the views that operators get."""
        self.trace.add(
            self.zones.has_unhealthy_zone(), self.zones.derived.spill, self.zones.shedder.shed_parts
        )
        for view in self.zones.views(self.now):
            self.trace.add(
                view.zone, view.state, view.tier, view.servers, view.rate, view.baseline_rate
            )
            self.trace.add(
                view.allowed_rate,
                view.recovery_fraction,
                view.failing_fraction,
                view.relapses,
                recorded_reason(view.reason),
            )
