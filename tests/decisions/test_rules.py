"""The six invariants under generated event sequences; the driver in `helpers` checks each action."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stepknot.interface import (
    AttemptEnded,
    ListKind,
    Outcome,
    Probe,
    ProbeEnded,
    QueryGone,
    ServerState,
    SetTimer,
    TimerDue,
)
from tests.helpers import FLEET, SLACK, Driver, entry, limits, make_settings, rules

pytestmark = pytest.mark.cpu_only

CLASS_NAMES = ["all", "some", "keyed", "unsafe", "steps", "need", "late"]


ENDINGS = list(Outcome)


STEP = st.one_of(
    st.tuples(
        st.just("query"),
        st.sampled_from(CLASS_NAMES),
        st.lists(st.integers(0, 5), min_size=1, max_size=5),
        st.sampled_from([0.0, 0.05, 0.8, 3.0]),
    ),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(ENDINGS), st.floats(0.0, 2.0)),
    st.tuples(st.just("wait"), st.floats(0.0, 1.5)),
    st.tuples(st.just("gone"), st.integers(0, 20)),
    st.tuples(
        st.just("list"), st.integers(0, 5), st.sampled_from(list(ServerState)), st.booleans()
    ),
    st.tuples(st.just("full"), st.sets(st.integers(0, 5))),
    st.tuples(st.just("stale"), st.integers(0, 10_000)),
    st.tuples(st.just("failed")),
    st.tuples(
        st.just("probe"),
        st.integers(0, 20),
        st.sampled_from(ENDINGS),
        st.sampled_from(
            [
                {},
                {"inflight": 3.0},
                {"queue": 900.0, "util": 1.0},
                {"queue": 3.0, "qps": 9.0},
                {"inflight": math.nan},
            ]
        ),
    ),
)


class Player:
    """Plays steps against a driver; timers fire in order as the clock passes them."""

    def __init__(self, **changes: object) -> None:
        self.driver = Driver(make_settings(**changes))
        self.timers: list[SetTimer] = []
        self.probes: list[str] = []
        self.collect()

    def collect(self) -> None:
        driver = self.driver
        self.timers += [action for action in driver.acts if isinstance(action, SetTimer)]
        self.probes += [action.server for action in driver.acts if isinstance(action, Probe)]
        # A first answer is followed by the parts of the second step.
        for query, _ in list(driver.first_whole.items()):
            if query not in driver.finals and all(
                part in driver.over for part in driver.parts[query]
            ):
                driver.handle(*driver.part_events(query, [0, 1]))
                self.collect()

    def wait(self, span: float) -> None:
        driver, end = self.driver, self.driver.now + span
        while True:
            due = min((timer for timer in self.timers), key=lambda timer: timer.at, default=None)
            if due is None or due.at > end:
                break
            self.timers.remove(due)
            driver.at(due.at + 0.004)
            driver.handle(TimerDue(due.token))
            self.collect()
        driver.at(end)
        driver.handle()

    def step(self, step: tuple[object, ...]) -> None:
        driver = self.driver
        match step:
            case ("query", str(kind), list(shards), float(time_left)):
                driver.query(kind, shards, deadline=driver.now + time_left)
            case ("end", int(index), Outcome() as outcome, float(elapsed)):
                in_flight = driver.out()
                if in_flight:
                    part, number = in_flight[index % len(in_flight)]
                    driver.end(part, outcome, elapsed, number)
            case ("wait", float(span)):
                self.wait(span)
            case ("gone", int(index)):
                unanswered = [query for query in driver.kinds if query not in driver.finals]
                if unanswered:
                    driver.gone(unanswered[index % len(unanswered)])
            case ("list", int(index), ServerState() as state, bool(cold)):
                old = FLEET[index]
                up = driver.now if cold and state is ServerState.LIVE else 0.0
                driver.list([entry(old.server, old.cell, state, up)], ListKind.CHANGES)
            case ("full", set(named)):
                driver.list([FLEET[index] for index in sorted(named)])
            case ("probe", int(index), Outcome() as outcome, dict(load)):
                if self.probes:
                    server = self.probes.pop(index % len(self.probes))
                    driver.handle(ProbeEnded(server, outcome, 0.01, load))
            case ("failed",):
                driver.list([], ListKind.FAILED)
            case ("stale", int(number)):
                driver.handle(
                    TimerDue(number),
                    QueryGone(number + 90_000),
                    AttemptEnded(number + 90_000, 0, "s0a", Outcome.SERVED, 0.1),
                )
        self.collect()


def play(steps: list[tuple[object, ...]], **changes: object) -> None:
    player = Player(**changes)
    for step in steps:
        player.step(step)
    player.wait(4.0)
    driver = player.driver
    for query, (_, deadline) in driver.kinds.items():
        assert query in driver.finals, f"query {query} has no final answer by {deadline + SLACK}"
    for part, number in driver.out():
        driver.end(part, Outcome.CANCELLED, 0.5, number)
    assert not any(capsule.calls for capsule in driver.aggregator.capsules.values())
    assert not driver.aggregator.attempts and not driver.aggregator.queries


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40))
def test_rules_hold_for_any_events(steps: list[tuple[object, ...]]) -> None:
    play(steps)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40))
def test_rules_hold_with_a_budget_a_ring_and_a_watched_list(
    steps: list[tuple[object, ...]],
) -> None:
    play(
        steps,
        cells=2,
        reach=2,
        must_ask=True,
        rules=rules(extra_window=5.0, extra_floor=2.0, extra_share=0.2),
    )


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40))
def test_rules_hold_where_parts_share_calls(steps: list[tuple[object, ...]]) -> None:
    play(steps, parts_per_call=4)


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40))
def test_rules_hold_where_replicas_are_probed(steps: list[tuple[object, ...]]) -> None:
    play(steps, limits=limits(probing=True))


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40), st.booleans())
def test_rules_hold_without_hedges_and_with_a_small_budget(
    steps: list[tuple[object, ...]], retry_after: bool
) -> None:
    """There are never two attempts of a part at once, also around time-outs, cancellations and lost parts."""
    play(
        steps,
        instances=80,
        rules=rules(
            drain_grace=1.0, fall_multiple=4.0, extra_window=5.0, extra_floor=1.0, extra_share=0.2
        ),
        limits=limits(
            max_attempts=4,
            second_copies=False,
            retry_after=retry_after,
            probing=False,
            idle_connection=30.0,
        ),
    )


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40))
def test_rules_hold_with_shared_calls_hedges_and_a_long_budget_window(
    steps: list[tuple[object, ...]],
) -> None:
    play(
        steps,
        instances=80,
        parts_per_call=4,
        rules=rules(fall_time=3.0, extra_window=10.0, extra_floor=2.0, extra_share=0.2),
        limits=limits(max_attempts=3, idle_connection=1.0),
    )


@settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.lists(STEP, max_size=40), st.sampled_from([1, 300]))
def test_rules_hold_for_one_instance_and_for_hundreds(
    steps: list[tuple[object, ...]], instances: int
) -> None:
    play(steps, instances=instances, limits=limits(probing=True))


def test_clock_jump_and_a_backlog_of_thousands_break_no_rule() -> None:
    driver = Driver(make_settings(limits=limits(probing=True)))
    driver.queries(*[("some", [0, 1], None, None) for _ in range(700)])
    for query in list(driver.kinds):
        driver.kinds.pop(
            query
        )  # the aggregator was stalled past every deadline: the clients have disconnected
    unanswered = [(part, number) for part, number in driver.out()]
    driver.aggregator.handle(driver.now, [])
    driver.at(driver.now + 40.0)
    events = [driver.ended(part, number, Outcome.TIMED_OUT, 40.0) for part, number in unanswered]
    finals = driver.aggregator.handle(
        driver.now, [*events, *(TimerDue(token) for token in range(1, 3000))]
    )
    assert len({act.query_id for act in finals if hasattr(act, "query_id")}) == 700
    assert not driver.aggregator.queries and not driver.aggregator.attempts
