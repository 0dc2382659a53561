"""Queries from their arrival to the final answer."""

from __future__ import annotations

import pytest

from stepknot.interface import Answer, Cancel, Outcome, Refuse, Send, SetTimer, TimerDue
from tests.decisions.steps import fire_timers
from tests.helpers import FLEET, START, Driver, limits, make_settings

pytestmark = pytest.mark.cpu_only


def test_query_is_answered_complete_as_soon_as_all_parts_are_served() -> None:
    driver = Driver()
    query = driver.query("all", [0, 1])
    first, second = driver.parts[query]
    assert not driver.end(first)
    assert driver.end(second) == [Answer(query, True)]


def test_query_is_answered_from_the_parts_served_at_the_end_of_its_wait() -> None:
    driver = Driver()
    query = driver.query("some", [0, 1])
    first, second = driver.parts[query]
    timer = max(
        (action for action in driver.acts if isinstance(action, SetTimer)), key=lambda each: each.at
    )
    assert START + 0.5 < timer.at <= START + 1.0
    driver.end(first)
    driver.at(timer.at)
    acts = driver.handle(TimerDue(timer.token))
    assert acts == [Answer(query, False), Cancel(second, 0)]


@pytest.mark.parametrize(("served", "is_complete"), [(0.5, False), (0.69, False), (0.7, True)])
def test_answer_is_partial_under_need_and_complete_over_it(
    served: float, is_complete: bool
) -> None:
    driver = Driver()
    query = driver.query("need", [0, 1], [served, 1 - served])
    first, second = driver.parts[query]
    driver.end(first)
    for number in range(3):
        driver.end(second, Outcome.ERROR, attempt=number)
    assert driver.finals[query] == Answer(query, is_complete)


def test_second_step_follows_a_first_answer_and_needs_all_parts() -> None:
    driver = Driver()
    query = driver.query("steps", [0, 1])
    for part in list(driver.parts[query]):
        driver.end(part)
    assert driver.acts[0] == Answer(query, True)
    driver.handle(*driver.part_events(query, [0, 1]))
    assert len(driver.sends()) == 2
    for part in list(driver.parts[query]):
        driver.end(part)
    assert driver.finals[query] == Answer(query, True)


def test_unusual_queries_get_a_final_answer_at_once() -> None:
    driver = Driver()
    for kind, shards, deadline in [
        ("all", [], None),
        ("no such", [0], None),
        ("all", [0], START - 1.0),
    ]:
        query = driver.query(kind, shards, deadline=deadline)
        assert isinstance(driver.finals[query], Refuse)
    empty = Driver(fleet=[])
    assert isinstance(empty.finals[empty.query("all", [0])], Refuse)
    half = Driver(fleet=FLEET[:3])
    assert isinstance(half.finals[half.query("all", [0, 1])], Refuse)
    assert half.query("some", [0, 1]) and any(isinstance(action, Send) for action in half.acts)


def test_query_that_cannot_reach_its_floor_ends_at_once() -> None:
    driver = Driver()
    query = driver.query("all", [0, 1])
    first, _ = driver.parts[query]
    for number in range(3):
        driver.end(first, Outcome.ERROR, attempt=number)
    assert isinstance(driver.finals[query], Refuse)


def test_rejection_advises_when_to_retry_where_that_is_allowed() -> None:
    advised = Driver(fleet=[])
    rejection = advised.finals[advised.query("all", [0])]
    assert (
        isinstance(rejection, Refuse)
        and 0 < rejection.retry_after <= advised.settings.limits.max_retry_after
    )
    plain = Driver(make_settings(limits=limits(retry_after=False)), fleet=[])
    assert plain.finals[plain.query("all", [0])] == Refuse(2, 0.0)


def test_query_worth_a_late_answer_waits_for_attempts_in_flight() -> None:
    """A query that ended at its latency objective was retried by its client, so the fleet did its work twice."""
    driver = Driver()
    query = driver.query("late", [0, 1])
    assert all(send.timeout > 2.9 for send in driver.sends())
    first, second = driver.parts[query]
    fire_timers(driver, START + 1.5)
    driver.end(first, elapsed=1.0)
    assert query not in driver.finals
    driver.at(START + 1.4)
    driver.end(second, elapsed=1.4)
    assert driver.acts[0] == Answer(query, True)
    driver.handle(*driver.part_events(query, [0]))
    driver.at(START + 2.0)
    driver.end(next(iter(driver.parts[query])), elapsed=0.6)
    assert driver.finals[query] == Answer(query, True)


def test_rejection_after_the_aim_advises_the_longest_retry_after() -> None:
    driver = Driver()
    query = driver.query("all", [0])
    driver.at(START + 0.96)
    driver.end(next(iter(driver.parts[query])), Outcome.TIMED_OUT, 0.96)
    assert driver.finals[query] == Refuse(query, driver.settings.limits.max_retry_after)


def test_unsafe_query_that_may_have_run_is_failed_not_rejected() -> None:
    driver = Driver()
    query = driver.query("unsafe", [0])
    driver.end(next(iter(driver.parts[query])), Outcome.ERROR)
    assert type(driver.finals[query]).__name__ == "Fail"
    assert len(driver.attempts[next(iter(driver.parts[query]))]) == 1
