"""Seeded runs of the subsets: the nodes that each broker uses, events, explanations, and the driver's slices."""

from __future__ import annotations

import random
import tempfile
from dataclasses import astuple, replace
from pathlib import Path
from typing import Any

import orjson

from bench.trace_packages.trace import Trace, recorded_text
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

EXPECTED = "d5842c0da0a2484db65c0850fb9edea40c244dde65130b37691b7e4c8dab519a"

START_TIME = 1000.0
COLD_TIME = 8.0
CELLS = 6
ZONES = "abcde"
TIERS = (("b", "c"), ("d",))
STATES = (ServerState.LIVE, ServerState.LIVE, ServerState.DRAINING, ServerState.GONE)
CLOCK_STEP = 0.0001

# Sentences of `SelectionReason.word`: the present text, and the text that the recorded digest contains.
RECORDED_WORDS = {
    "the node is draining; its parts in flight end there": "it drains; what it has out ends there",
    "the node is draining and is not in use": "it drains and is not used",
    "the node is in slow start, and this broker is not among those that may send to it": (
        "it is cold, and others than this broker warm it"
    ),
    "enough nodes of its cell rank higher": "enough nodes of the cell are preferred",
    "the node is in slow start and ranks before the last warm node selected": (
        "it is cold and ranks before the last warm node wanted"
    ),
    "the node is among the highest ranked of its cell": "it is among the first by preference",
    "the node replaces a higher ranked one that is unusable now, "
    "or is needed for a second zone or the nearest tier": (
        "it stands in for one that is no use now, or for another zone or tier"
    ),
}

# Problems of endpoint lists: the present text as a pattern, and the replacement that gives the recorded text.
RECORDED_PROBLEMS = (
    (r"\Aexpected at most (\d+) nodes, not \d+\Z", r"expected \1 at the most"),
    (r"\Aexpected each address once, but (\S+) is listed twice\Z", r"\1 is listed twice"),
    (
        r'\Aexpected a JSON object with the list "boxes": (.*)\Z',
        r"expected a JSON list of boxes: \1",
    ),
    (r'\A(.*): "boxes" is not a list\Z', r"\1: boxes is no list"),
    (r"\Aexpected an object, not \w+\Z", r"expected an object"),
    (r"\Aunknown key (\w+); expected keys among (.*)\Z", r"unknown key \1; known: \2"),
    (
        r"\Aexpected cell to be an integer of 0 or more, not (.*)\Z",
        r"expected a cell of 0 or more, not \1",
    ),
    (
        r"\Aexpected up_since as a number of seconds since 1970, not (.*)\Z",
        r"expected up_since in seconds since 1970, not \1",
    ),
)


def recorded_problem(text: str) -> str:
    """Return the text that the recorded digest contains for a problem of an endpoint list."""
    return recorded_text(text, RECORDED_PROBLEMS)


def recorded_reason(reason: dict[str, Any] | None) -> dict[str, Any] | None:
    """Return an explanation with the sentence that the recorded digest contains."""
    if reason is None:
        return None
    return reason | {"word": RECORDED_WORDS[reason["word"]]}


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
            chance.choice([0.0, 0.0, 0.0, START_TIME - 2.0, START_TIME - 30.0]),
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
        uniform = uniform_hash(f"b{chance.randrange(400)}", f"n{chance.randrange(4000)}")
        trace.add(
            uniform,
            rendezvous_score(uniform, chance.choice([0.25, 1.0, 16.0])),
            share.is_eligible(uniform),
        )


class _Broker:
    """One broker's subset; all events and changes that it emits are added to the trace."""

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
        has_more = self.subset.advance(now)
        for event in self.subset.events:
            _add_event(self.trace, event)
        self.subset.events.clear()
        for change in self.subset.changes:
            self.trace.add(change.cell, change.cause, change.quota)
            self.trace.add(len(change.entered), *change.entered, len(change.left), *change.left)
        self.subset.changes.clear()
        self.trace.add(has_more)
        return has_more

    def finish(self, now: float) -> None:
        while self.advance(now):
            pass
        self.trace.add(self.subset.next_warm_up(), self.subset.left_out)

    def explain(self, server: str, now: float) -> None:
        reason = explain(self.subset, server, now)
        if reason is not None:
            reason = replace(reason, word=RECORDED_WORDS[reason.word])
        self.trace.add(*(astuple(reason) if reason is not None else (None,)))


def _record_brokers(trace: Trace, brokers: int, reach: int, rounds: int) -> None:
    """Play lists, changes, drains, cold starts, moves and counts for many brokers with the same list."""
    chance = random.Random(brokers)
    fleet = _nodes(chance, 90)
    all_brokers = [_Broker(trace, number, brokers, reach) for number in range(brokers)]
    now = START_TIME
    for broker in all_brokers:
        broker.take(ListKind.FULL, fleet)
        broker.finish(now)
    for round_ in range(rounds):
        now += chance.choice([0.5, 3.0, COLD_TIME])
        kind, entries = _change_fleet(chance, fleet, now)
        for number, broker in enumerate(all_brokers):
            broker.take(kind, entries)
            if chance.random() < 0.5:
                for _ in range(chance.randrange(4)):
                    broker.advance(now)
                broker.take(ListKind.CHANGES, chance.sample(fleet, 3))
            if number % 5 == round_ % 5:
                broker.count(chance.choice([1, brokers // 2, brokers - 1, 2 * brokers]))
            broker.finish(now)
            if number % 6 == round_ % 6:
                broker.explain(chance.choice(fleet).server, now)
    for broker in all_brokers:
        broker.take(ListKind.FAILED, [])
        broker.finish(now + 100.0)
        broker.take(ListKind.FULL, [])
        broker.finish(now + 100.0)


def _change_fleet(
    chance: random.Random, fleet: list[ServerEntry], now: float
) -> tuple[ListKind, list[ServerEntry]]:
    """Change random nodes of `fleet`; return the kind and the entries of a watch event."""
    for _ in range(chance.choice([1, 4, 20])):
        index = chance.randrange(len(fleet))
        entry = replace(
            fleet[index],
            state=chance.choice(STATES),
            up_since=chance.choice([0.0, now, now - COLD_TIME / 2]),
        )
        if chance.random() < 0.1:
            entry = replace(entry, cell=chance.randrange(-1, CELLS + 1))
        if chance.random() < 0.05:
            entry = replace(entry, size=float("nan"))
        fleet[index] = entry
    kind = chance.choice([ListKind.FULL, ListKind.CHANGES, ListKind.CHANGES, ListKind.CACHED])
    if kind is ListKind.CHANGES:
        return kind, chance.sample(fleet, 30)
    return kind, [entry for entry in fleet if entry.state is not ServerState.GONE]


class _DriverRun:
    """The driver on a loop whose clock advances by a fixed step each time that it is read."""

    def __init__(self, trace: Trace) -> None:
        self.trace, self.now = trace, START_TIME
        self.loop = Loop(self._clock, on_error=lambda name, error: trace.add(name, str(error)))
        fleet = Settings(60, CELLS, 1, 16, {}, Rules(1.0, 0.2, COLD_TIME, 4.0, 1.0), Limits(3))
        own = SubsetSettings("b0", 3, 8.0, zone="a", tiers=TIERS, own=frozenset({"me:1"}))
        self.listed = DrainedEndpoints(self._on_event)
        self.driver = SubsetDriver(
            self.loop,
            own,
            fleet,
            self.listed,
            self._on_event,
            lambda _, **fields: self._log(fields),
        )
        self.listed.on_list = self.driver.on_watch_event

    def _clock(self) -> float:
        self.now += CLOCK_STEP
        return self.now

    def _on_event(self, event: ListReceived) -> None:
        self.trace.add(self.loop.turns)
        _add_event(self.trace, event)

    def _log(self, fields: dict[str, Any]) -> None:
        """Add only the values; the names of events and fields are not part of the trace."""
        self.trace.add(*(orjson.dumps(value) for value in fields.values()))

    def take(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        self.listed.receive_list(ListReceived(kind, tuple(entries)))

    def count(self, brokers: int) -> None:
        self.driver.set_instances(brokers)

    def turns(self, count: int) -> None:
        for _ in range(count):
            self.loop.again = True  # the loop does not wait for the machine's clock
            self.loop.turn()

    def report(self, server: str) -> None:
        """Add admin answers and metrics."""
        task = self.loop.spawn(self.driver.report(True))
        while not task.done:
            self.turns(1)
        reason = recorded_reason(self.driver.explain(server))
        self.trace.add(orjson.dumps(task.result), orjson.dumps(reason))
        for metric in self.driver.collect():
            self.trace.add(metric.name, metric.documentation)
            for sample in metric.samples:
                self.trace.add(sample.name, *sample.labels.values(), float(sample.value))

    def break_down(self) -> None:
        """Let the driver fall back as after a defect of the subset."""
        self.driver.fall_back(RuntimeError("planted"))


def _record_driver(trace: Trace) -> None:
    chance = random.Random(9)
    run = _DriverRun(trace)
    fleet = _nodes(chance, 600)
    run.take(ListKind.FULL, fleet)
    run.turns(1)
    for round_ in range(12):
        kind, entries = _change_fleet(chance, fleet, run.now)
        run.take(kind, entries)
        run.turns(chance.randrange(3))
        run.listed.set_drained(entry.server for entry in chance.sample(fleet, 8))
        if round_ % 3 == 0:
            run.count(chance.choice([1, 30, 90]))
        run.turns(chance.choice([2, 60]))
        run.report(fleet[round_].server)
    run.take(ListKind.CHANGES, [replace(fleet[0], server="me:1")])
    run.turns(20)
    run.now += 3 * COLD_TIME
    run.turns(60)
    run.report(fleet[1].server)
    run.take(ListKind.FULL, fleet[:50])
    run.break_down()
    run.take(ListKind.CHANGES, fleet[50:60])
    run.take(ListKind.FAILED, [])
    run.turns(5)
    run.report(fleet[1].server)


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
    rows = [
        {"address": f"10.0.0.{n}:9300", "zone": ZONES[n % 5], "cell": n % 3, "up_since": n % 2 * n}
        for n in range(20)
    ]
    with tempfile.TemporaryDirectory() as folder:
        first = _read(trace, Path(folder, "a.json"), orjson.dumps({"boxes": rows}).decode(), 5.0)
        for row in rows[:3]:
            row["state"] = "draining"
        rest = orjson.dumps({"boxes": rows[:15]}).decode()
        second = _read(trace, Path(folder, "a.json"), rest, 5.0004)
        for entry in diff_endpoint_lists(first, second):
            _add_entry(trace, entry)
        _read(trace, Path(folder, "a.hcl"), 'box "h:1" {\n  zone = "a"\n  kind = "k"\n}\n', 0.0)
        for name, text in BAD_LISTS:
            _read(trace, Path(folder, name), text, 0.0)


def _read(trace: Trace, path: Path, text: str, offset: float) -> dict[str, ServerEntry]:
    path.write_text(text)
    try:
        entries = read_endpoint_list(path, offset)
    except ConfigError as error:
        trace.add(
            *(
                f"{each.line} {each.key} {recorded_problem(each.expected)}"
                for each in error.problems
            )
        )
        return {}
    for entry in entries.values():
        _add_entry(trace, entry)
    return entries
