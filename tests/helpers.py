"""Settings, fleets and a checked driver for the tests. Names and figures are made up."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from stepknot import Aggregator
from stepknot.interface import (
    Action,
    Answer,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    Limits,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    QueryArrived,
    QueryClass,
    QueryGone,
    Refuse,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
)

START = 100.0
SLACK = 0.02
TICK = 0.005

CLASSES = {
    "all": QueryClass("all", aim=1.0, deadline=3.0, worth=1.0),
    "some": QueryClass("some", aim=1.0, deadline=3.0, worth=2.0, floor=0.5, partial_value=0.9),
    "keyed": QueryClass("keyed", 1.0, 3.0, 2.0, effect=Effect.KEYED, repeat_window=0.5),
    "unsafe": QueryClass("unsafe", 1.0, 3.0, 2.0, effect=Effect.UNSAFE),
    "steps": QueryClass("steps", 1.0, 3.0, 3.0, floor=0.5, partial_value=0.8, second_step_parts=2),
    "late": QueryClass("late", 1.0, 3.0, 3.0, late_value=0.3, floor=0.6, second_step_parts=1),
    "need": QueryClass("need", 1.0, 3.0, 3.0, floor=0.4, need=0.7, partial_value=0.8),
}


def rules(**changes: Any) -> Rules:
    values: dict[str, Any] = {
        "drain_grace": 0.5,
        "cold_share": 0.2,
        "cold_time": 10.0,
        "fall_multiple": 3.0,
        "fall_time": 1.0,
        "ask_within": 10.0,
    }
    return Rules(**(values | changes))


def limits(**changes: Any) -> Limits:
    values: dict[str, Any] = {
        "max_attempts": 3,
        "cancelling": True,
        "probing": False,
        "second_copies": True,
        "retry_after": True,
        "max_retry_after": 1.0,
    }
    return Limits(**(values | changes))


def make_settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "instances": 2,
        "cells": 2,
        "reach": 1,
        "parts_per_call": 1,
        "classes": CLASSES,
        "rules": rules(),
        "limits": limits(),
        "tick": TICK,
    }
    return Settings(**(values | changes))


def entry(
    server: str,
    cell: int = 0,
    state: ServerState = ServerState.LIVE,
    up_since: float = 0.0,
    kind: str = "",
) -> ServerEntry:
    return ServerEntry(server, "east", cell, state, 1.0, up_since, kind)


FLEET = tuple(entry(f"s{cell}{letter}", cell) for cell in range(2) for letter in "abc")


class Driver:
    """Feeds one aggregator and holds every reply to the six rules; `acts` are the last reply's actions."""

    def __init__(
        self, settings: Settings | None = None, fleet: Iterable[ServerEntry] = FLEET, seed: int = 1
    ) -> None:
        self.settings = settings or make_settings()
        self.aggregator = Aggregator(self.settings, seed)
        self.now = START
        self.next_id = 1
        self.kinds: dict[int, tuple[QueryClass, float]] = {}  # open queries: class, deadline
        self.query_of: dict[int, int] = {}  # part -> query
        self.number_of: dict[int, int] = {}
        self.parts: dict[int, dict[int, float]] = defaultdict(
            dict
        )  # query -> present step's weights
        self.first_whole: dict[int, bool] = {}
        self.finals: dict[int, Action] = {}
        self.attempts: dict[int, list[tuple[str, float, Outcome | None]]] = defaultdict(list)
        self.over: set[int] = set()
        self.barred: dict[str, float] = {}
        self.entries: dict[str, ServerEntry] = {}
        self.taken: list[float] = []
        self.extras: list[float] = []
        self.cold_sends: dict[str, list[float]] = defaultdict(list)
        self.acts: list[Action] = []
        self.list(fleet, ListKind.CACHED)

    # --- feeding

    def at(self, now: float) -> None:
        self.now = max(self.now, now)

    def handle(self, *events: Event) -> list[Action]:
        self.acts = self.aggregator.handle(self.now, list(events))
        for action in self.acts:
            self.check(action)
        for query, (_, deadline) in self.kinds.items():
            assert query in self.finals or self.now <= deadline + SLACK, "a query was lost"
        return self.acts

    def kind_of(self, part_id: int) -> str:
        return self.kinds[self.query_of[part_id]][0].name

    def fire(self) -> None:
        """All timers that are due by now."""
        timers = [
            token for token, (at, _) in self.aggregator.timers.pending.items() if at <= self.now
        ]
        self.handle(*map(TimerDue, timers))

    def list(self, entries: Iterable[ServerEntry], kind: ListKind = ListKind.FULL) -> list[Action]:
        entries = tuple(entries)
        if kind not in (ListKind.CHANGES, ListKind.FAILED):
            named = {item.server for item in entries}
            for server in self.entries:
                if server not in named:
                    self.barred.setdefault(server, self.now)
        for item in entries:
            self.entries[item.server] = item
            if item.state is ServerState.LIVE:
                self.barred.pop(item.server, None)
            else:
                self.barred.setdefault(item.server, self.now)
        return self.handle(ListReceived(kind, entries))

    def query(
        self,
        kind: str,
        shards: Iterable[int],
        weights: Iterable[float] | None = None,
        deadline: float | None = None,
    ) -> int:
        return self.queries((kind, shards, weights, deadline))[0]

    def queries(
        self, *wanted: tuple[str, Iterable[int], Iterable[float] | None, float | None]
    ) -> list[int]:
        events: list[Event] = []
        ids = []
        for kind, shards, weights, deadline in wanted:
            shards = list(shards)
            query_id = self.new_id()
            spec = self.settings.classes.get(kind, CLASSES["all"])
            until = self.now + spec.deadline if deadline is None else deadline
            self.kinds[query_id] = (spec, until)
            self.number_of[query_id] = query_id + 5000
            self.taken.append(self.now)
            events.append(QueryArrived(query_id, query_id + 5000, kind, until))
            events += self.part_events(query_id, shards, weights)
            ids.append(query_id)
        self.handle(*events)
        return ids

    def part_events(
        self, query_id: int, shards: Iterable[int], weights: Iterable[float] | None = None
    ) -> list[Event]:
        shards = list(shards)
        shares = list(weights) if weights else [1 / len(shards) for _ in shards]
        self.parts[query_id] = {}
        events: list[Event] = []
        for shard, weight in zip(shards, shares, strict=True):
            part_id = self.new_id()
            self.parts[query_id][part_id] = weight
            self.query_of[part_id] = query_id
            self.taken.append(self.now)
            events.append(PartArrived(part_id, self.number_of[query_id], shard, weight))
        return events

    def new_id(self) -> int:
        self.next_id += 1
        return self.next_id

    def ended(self, part_id: int, attempt: int, outcome: Outcome, elapsed: float = 0.1) -> Event:
        server, sent, _ = self.attempts[part_id][attempt]
        self.attempts[part_id][attempt] = (server, sent, outcome)
        if outcome is Outcome.SERVED:
            self.over.add(part_id)
        return AttemptEnded(part_id, attempt, server, outcome, elapsed, outcome is Outcome.SERVED)

    def end(
        self,
        part_id: int,
        outcome: Outcome = Outcome.SERVED,
        elapsed: float = 0.1,
        attempt: int = 0,
    ) -> list[Action]:
        return self.handle(self.ended(part_id, attempt, outcome, elapsed))

    def gone(self, query_id: int) -> list[Action]:
        self.kinds.pop(query_id, None)
        self.over |= set(self.parts[query_id])
        return self.handle(QueryGone(query_id))

    def out(self) -> list[tuple[int, int]]:
        """Attempts with no outcome yet."""
        return [
            (part, number)
            for part, tries in self.attempts.items()
            for number, (_, _, outcome) in enumerate(tries)
            if outcome is None
        ]

    def sends(self) -> list[Send]:
        return [action for action in self.acts if isinstance(action, Send)]

    # --- the six rules

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            assert math.isfinite(action.at), "a timer that is never due"
        elif isinstance(action, Send):
            self.check_send(action)
        elif isinstance(action, Answer):
            self.check_answer(action)
        elif isinstance(action, Refuse | Fail):
            self.check_final(action.query_id, action)
            kind = self.kinds[action.query_id][0]
            if isinstance(action, Refuse) and kind.effect is Effect.UNSAFE:
                for part, query in self.query_of.items():
                    if query == action.query_id:
                        assert all(
                            end is not None and end.never_ran for _, _, end in self.attempts[part]
                        ), "an unsafe query was rejected though a part may have run"

    def check_final(self, query_id: int, action: Action) -> None:
        assert query_id in self.kinds, "a final answer for a query not held"
        assert query_id not in self.finals, "two final answers"
        self.finals[query_id] = action
        self.over |= set(self.parts[query_id])

    def check_send(self, action: Send) -> None:
        query_id = self.query_of[action.part_id]
        kind, _deadline = self.kinds[query_id]
        assert query_id not in self.finals and action.part_id not in self.over, "sent after its end"
        tries = self.attempts[action.part_id]
        assert action.attempt == len(tries), "attempts are numbered in the order of their sends"
        if tries:
            self.extras.append(self.now)
            if not self.settings.limits.second_copies:
                assert all(end is not None for _, _, end in tries), "two attempts of a part at once"
            if kind.effect is Effect.UNSAFE:
                assert all(end is not None and end.never_ran for _, _, end in tries), (
                    "an unsafe part again"
                )
            if kind.effect is Effect.KEYED:
                ran = [sent for _, sent, end in tries if end is None or not end.never_ran]
                assert not ran or self.now <= ran[0] + kind.repeat_window, (
                    "a keyed part after its window"
                )
                latest = min(
                    (sent for _, sent, end in tries if end is None or not end.never_ran),
                    default=math.inf,
                )
                assert action.not_after <= latest + kind.repeat_window, (
                    "it may reach the wire after its window"
                )
            assert len(tries) < self.settings.limits.max_attempts
            window = self.settings.rules.extra_window
            if window:
                taken = sum(1 for time in self.taken if time >= self.now - window)
                extra = sum(1 for time in self.extras if time >= self.now - window)
                cap = self.settings.rules.extra_floor + self.settings.rules.extra_share * taken
                assert extra <= cap, "the attempt budget is spent"
        told = self.barred.get(action.server)
        assert told is None or self.now <= told + self.settings.rules.drain_grace, (
            "sent to a server not live"
        )
        tries.append((action.server, self.now, None))
        up = self.entries[action.server].up_since
        if up > 0 and self.now - up < self.settings.rules.cold_time:
            self.check_cold(action.server, self.now - up)
        assert action.timeout >= 0

    def check_cold(self, server: str, age: float) -> None:
        """A part takes 0.1 s of one core here and servers have one core: the least that is promised."""
        limit = self.settings.rules
        sends = self.cold_sends[server]
        sends.append(self.now)
        recent = [time for time in sends if time > self.now - limit.fall_time]
        able = limit.cold_share + (1 - limit.cold_share) * max(age, 0.0) / limit.cold_time
        fair = limit.fall_multiple * able * limit.fall_time / 0.1 / self.settings.instances
        assert len(recent) <= max(fair, 1.0) + 1e-6, "a cold server was sent too much"

    def check_answer(self, action: Answer) -> None:
        query_id = action.query_id
        kind = self.kinds[query_id][0]
        served = sum(
            weight
            for part, weight in self.parts[query_id].items()
            if any(end is Outcome.SERVED for _, _, end in self.attempts[part])
        )
        second = query_id in self.first_whole
        assert served >= kind.floor - 1e-4, "answered from too little"
        if action.whole:
            assert served >= (1.0 if second else kind.need) - 1e-4, "marked whole from too little"
            assert self.first_whole.get(query_id, True), "whole after a first step that was not"
        if kind.second_step_parts and not second:
            self.first_whole[query_id] = action.whole
            self.over |= set(self.parts[query_id])
        else:
            self.check_final(query_id, action)
