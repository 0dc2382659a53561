"""Seeded runs of the subsets: what each broker uses, its events, explanations, and the driver's slices."""

from __future__ import annotations

import random
import tempfile
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any

import orjson

from bench.trace_packages.trace import Trace
from stepknot.broker.subset_driver import SubsetDriver
from stepknot.config.errors import ConfigError
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.discovery.endpoint_file import diff_endpoint_lists, read_endpoint_list
from stepknot.interface import (
    Limits,
    ListKind,
    ListReceived,
    Rules,
    ServerEntry,
    ServerState,
    Settings,
)
from stepknot.net.loop import Loop
from stepknot.subsets.explanation import explain
from stepknot.subsets.model import CellLayout, SubsetSettings
from stepknot.subsets.quotas import quota_for_holders, quota_for_shard, quota_for_size
from stepknot.subsets.rendezvous import rendezvous_score, uniform_hash
from stepknot.subsets.slow_start import slow_start_share
from stepknot.subsets.subset import Subset

EXPECTED = "03dd1f0ab67726507ae3811d50c8e8923829bc06aba425368da1657e3e6f0a3a"

BEGAN = 1000.0
COLD_TIME = 8.0
CELLS = 6
ZONES = "abcde"
TIERS = (("b", "c"), ("d",))
STATES = (ServerState.LIVE, ServerState.LIVE, ServerState.DRAINING, ServerState.GONE)
CLOCK_STEP = 0.0001


def record(trace: Trace) -> None:
    """Play all runs."""
    _record_formulas(trace)
    _record_brokers(trace, brokers=200, reach=1, rounds=4)
    _record_brokers(trace, brokers=24, reach=3, rounds=24)
    _record_driver(trace)
    _record_endpoint_files(trace)


def _nodes(chance: random.Random, count: int) -> list[ServerEntry]:
    return [
        ServerEntry(
            f"10.0.{number // 200}.{number % 200}:9200",
            ZONES[number % 5],
            number // 5 % CELLS,
            chance.choice(STATES[:3]) if number % 11 == 0 else ServerState.LIVE,
            chance.choice([0.5, 1.0, 1.0, 4.0]),
            chance.choice([0.0, 0.0, 0.0, BEGAN - 2.0, BEGAN - 30.0]),
        )
        for number in range(count)
    ]


def _add_entry(trace: Trace, entry: ServerEntry) -> None:
    trace.add(*astuple(entry))


def _add_event(trace: Trace, event: ListReceived) -> None:
    trace.add(event.kind, len(event.entries))
    for entry in event.entries:
        _add_entry(trace, entry)


def _record_formulas(trace: Trace) -> None:
    chance = random.Random(1)
    for _ in range(400):
        live = [chance.randrange(0, 70) for _ in range(CELLS)]
        size, reach = chance.randrange(1, 9), chance.randrange(1, 4)
        instances = chance.choice([1, 3, 30, 400, 6600, 10**9])
        quota = quota_for_size(chance.randrange(CELLS), live.__getitem__, CELLS, reach, size)
        share = slow_start_share(quota, live[0], instances)
        trace.add(quota, quota_for_shard(live[:reach], size), share.fraction, share.divisor)
        trace.add(quota_for_holders(live[0], chance.choice([1.0, 64.0, 256.0]), instances, 0.5))
        drawn = uniform_hash(f"b{chance.randrange(400)}", f"n{chance.randrange(4000)}")
        trace.add(
            drawn,
            rendezvous_score(drawn, chance.choice([0.25, 1.0, 16.0])),
            share.is_eligible(drawn),
        )


class _Broker:
    """One broker's subset; whatever it emits goes into the trace."""

    def __init__(self, trace: Trace, number: int, brokers: int, reach: int) -> None:
        self.trace = trace
        settings = SubsetSettings(
            f"broker-{number}",
            size=2 + number % 4,
            holders=(1.0, 16.0, 64.0)[number % 3],
            near=(1.0, 4.0)[number % 2],
            zone=ZONES[number % 5],
            tiers=TIERS,
            own=frozenset({f"10.0.0.{number}:9200"} if number % 7 == 0 else ()),
        )
        self.subset = Subset(settings, CellLayout(CELLS, reach, COLD_TIME), brokers)

    def take(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        self.subset.on_watch_event(ListReceived(kind, tuple(entries)))

    def count(self, brokers: int) -> None:
        self.subset.set_instances(brokers)

    def advance(self, now: float) -> bool:
        more = self.subset.advance(now)
        for event in self.subset.events:
            _add_event(self.trace, event)
        self.subset.events.clear()
        for change in self.subset.changes:
            self.trace.add(change.cell, change.cause, change.quota)
            self.trace.add(len(change.entered), *change.entered, len(change.left), *change.left)
        self.subset.changes.clear()
        self.trace.add(more)
        return more

    def finish(self, now: float) -> None:
        while self.advance(now):
            pass
        self.trace.add(self.subset.next_warm_up(), self.subset.left_out)

    def explain(self, server: str, now: float) -> None:
        found = explain(self.subset, server, now)
        self.trace.add(*(astuple(found) if found is not None else (None,)))


def _record_brokers(trace: Trace, brokers: int, reach: int, rounds: int) -> None:
    """Lists, changes, drains, cold starts, moves and counts for many brokers with one list."""
    chance = random.Random(brokers)
    fleet = _nodes(chance, 90)
    each = [_Broker(trace, number, brokers, reach) for number in range(brokers)]
    now = BEGAN
    for broker in each:
        broker.take(ListKind.FULL, fleet)
        broker.finish(now)
    for round_ in range(rounds):
        now += chance.choice([0.5, 3.0, COLD_TIME])
        kind, news = _news(chance, fleet, now)
        for place, broker in enumerate(each):
            broker.take(kind, news)
            if chance.random() < 0.5:
                for _ in range(chance.randrange(4)):
                    broker.advance(now)
                broker.take(ListKind.CHANGES, chance.sample(fleet, 3))
            if place % 5 == round_ % 5:
                broker.count(chance.choice([1, brokers // 2, brokers - 1, 2 * brokers]))
            broker.finish(now)
            if place % 6 == round_ % 6:
                broker.explain(chance.choice(fleet).server, now)
    for broker in each:
        broker.take(ListKind.FAILED, [])
        broker.finish(now + 100.0)
        broker.take(ListKind.FULL, [])
        broker.finish(now + 100.0)


def _news(
    chance: random.Random, fleet: list[ServerEntry], now: float
) -> tuple[ListKind, list[ServerEntry]]:
    """A change of the list; `fleet` follows it."""
    for _ in range(chance.choice([1, 4, 20])):
        place = chance.randrange(len(fleet))
        entry = replace(
            fleet[place],
            state=chance.choice(STATES),
            up_since=chance.choice([0.0, now, now - COLD_TIME / 2]),
        )
        if chance.random() < 0.1:
            entry = replace(entry, cell=chance.randrange(-1, CELLS + 1))
        if chance.random() < 0.05:
            entry = replace(entry, size=float("nan"))
        fleet[place] = entry
    kind = chance.choice([ListKind.FULL, ListKind.CHANGES, ListKind.CHANGES, ListKind.CACHED])
    if kind is ListKind.CHANGES:
        return kind, chance.sample(fleet, 30)
    return kind, [entry for entry in fleet if entry.state is not ServerState.GONE]


class _Driven:
    """The driver on a loop whose clock goes on by a fixed step each time that it is read."""

    def __init__(self, trace: Trace) -> None:
        self.trace, self.now = trace, BEGAN
        self.loop = Loop(self._clock, on_error=lambda name, error: trace.add(name, str(error)))
        fleet = Settings(60, CELLS, 1, 16, {}, Rules(1.0, 0.2, COLD_TIME, 4.0, 1.0), Limits(3))
        own = SubsetSettings("b0", 3, 8.0, zone="a", tiers=TIERS, own=frozenset({"me:1"}))
        self.listed = DrainedEndpoints(self._handed)
        self.driver = SubsetDriver(
            self.loop, own, fleet, self.listed, self._handed, lambda _, **fields: self._log(fields)
        )
        self.listed.on_list = self.driver.on_watch_event

    def _clock(self) -> float:
        self.now += CLOCK_STEP
        return self.now

    def _handed(self, event: ListReceived) -> None:
        self.trace.add(self.loop.turns)
        _add_event(self.trace, event)

    def _log(self, fields: dict[str, Any]) -> None:
        """Values alone: names of events and fields are no part of the trace."""
        self.trace.add(*(orjson.dumps(value) for value in fields.values()))

    def take(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        self.listed.receive_list(ListReceived(kind, tuple(entries)))

    def count(self, brokers: int) -> None:
        self.driver.set_instances(brokers)

    def turns(self, count: int) -> None:
        for _ in range(count):
            self.loop.again = True  # the poll does not wait by the machine's clock
            self.loop.turn()

    def report(self, server: str) -> None:
        """Admin answers and metrics."""
        task = self.loop.spawn(self.driver.report(True))
        while not task.done:
            self.turns(1)
        self.trace.add(orjson.dumps(task.result), orjson.dumps(self.driver.explain(server)))
        for metric in self.driver.collect():
            self.trace.add(metric.name, metric.documentation)
            for sample in metric.samples:
                self.trace.add(sample.name, *sample.labels.values(), float(sample.value))

    def break_down(self) -> None:
        """As after a defect of the subset."""
        self.driver.fall_back(RuntimeError("planted"))


def _record_driver(trace: Trace) -> None:
    chance = random.Random(9)
    driven = _Driven(trace)
    fleet = _nodes(chance, 600)
    driven.take(ListKind.FULL, fleet)
    driven.turns(1)
    for round_ in range(12):
        kind, news = _news(chance, fleet, driven.now)
        driven.take(kind, news)
        driven.turns(chance.randrange(3))
        driven.listed.set_drained(entry.server for entry in chance.sample(fleet, 8))
        if round_ % 3 == 0:
            driven.count(chance.choice([1, 30, 90]))
        driven.turns(chance.choice([2, 60]))
        driven.report(fleet[round_].server)
    driven.take(ListKind.CHANGES, [replace(fleet[0], server="me:1")])
    driven.turns(20)
    driven.now += 3 * COLD_TIME
    driven.turns(60)
    driven.report(fleet[1].server)
    driven.take(ListKind.FULL, fleet[:50])
    driven.break_down()
    driven.take(ListKind.CHANGES, fleet[50:60])
    driven.take(ListKind.FAILED, [])
    driven.turns(5)
    driven.report(fleet[1].server)


BAD_LISTS: tuple[tuple[str, str], ...] = (
    ("a.json", "{}"),
    ("a.json", "no JSON"),
    ("a.json", '{"boxes": {}}'),
    ("a.json", '{"boxes": [1, {"address": "h:1", "x": 2}, {"address": "h"}, {}]}'),
    ("a.json", '{"boxes": [{"address": "h:1", "state": "gone"}, {"address": "h:1", "cell": -1}]}'),
    ("a.json", '{"boxes": [{"address": "h:1", "up_since": "x"}, {"address": "h:1", "size": []}]}'),
    ("a.json", '{"boxes": [{"address": "h:1"}, {"address": "h:1"}]}'),
    ("a.json", f'{{"boxes": [{",".join(["0"] * 100_001)}]}}'),
    ("a.hcl", 'box "h:1" {\n  cell = "x"\n}\n'),
    ("a.hcl", "box {"),
)


def _record_endpoint_files(trace: Trace) -> None:
    good = [
        {"address": f"10.0.0.{n}:9300", "zone": ZONES[n % 5], "cell": n % 3, "up_since": n % 2 * n}
        for n in range(20)
    ]
    with tempfile.TemporaryDirectory() as folder:
        first = _read(trace, Path(folder, "a.json"), orjson.dumps({"boxes": good}).decode(), 5.0)
        for row in good[:3]:
            row["state"] = "draining"
        rest = orjson.dumps({"boxes": good[:15]}).decode()
        second = _read(trace, Path(folder, "a.json"), rest, 5.0004)
        for entry in diff_endpoint_lists(first, second):
            _add_entry(trace, entry)
        _read(trace, Path(folder, "a.hcl"), 'box "h:1" {\n  zone = "a"\n  kind = "k"\n}\n', 0.0)
        for name, text in BAD_LISTS:
            _read(trace, Path(folder, name), text, 0.0)


def _read(trace: Trace, path: Path, text: str, offset: float) -> dict[str, ServerEntry]:
    path.write_text(text)
    try:
        found = read_endpoint_list(path, offset)
    except ConfigError as error:
        trace.add(*(f"{each.line} {each.key} {each.expected}" for each in error.problems))
        return {}
    for entry in found.values():
        _add_entry(trace, entry)
    return found
