"""Retries and their budget."""

from __future__ import annotations

import math

import pytest

from stepknot.decisions.retry_budget import RetryBudget
from stepknot.decisions.turn import Turn
from stepknot.interface import Answer, Outcome
from tests.helpers import Driver, make_settings, rules

pytestmark = pytest.mark.cpu_only


def test_failed_part_is_retried_at_another_replica() -> None:
    driver = Driver()
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    driver.end(part, Outcome.NOT_CONNECTED)
    driver.end(part, Outcome.ERROR, attempt=1)
    assert len({server for server, _, _ in driver.attempts[part]}) == 3
    driver.end(part, attempt=2)
    assert driver.finals[query] == Answer(query, True)


def test_retries_stop_at_the_budget() -> None:
    driver = Driver(make_settings(rules=rules(extra_window=5.0, extra_floor=2.0, extra_share=0.0)))
    for _ in range(5):
        query = driver.query("all", [0])
        (part,) = driver.parts[query]
        driver.end(part, Outcome.ERROR)
    assert len(driver.extras) == 2
    for part, number in driver.out():
        driver.end(part, attempt=number)
    driver.at(driver.now + 5.1)
    query = driver.query("all", [0])
    driver.end(next(iter(driver.parts[query])), Outcome.ERROR)
    assert len(driver.extras) == 3


def test_half_of_the_budget_is_reserved_for_parts_that_their_query_needs() -> None:
    """Queries that could be answered without a part spent the budget, and queries that needed all parts failed."""
    driver = Driver(make_settings(rules=rules(extra_window=5.0, extra_floor=4.0, extra_share=0.0)))
    for _ in range(5):
        query = driver.query("some", [0, 1, 0, 1])
        driver.end(next(iter(driver.parts[query])), Outcome.ERROR)
    assert len(driver.extras) == 2
    for _ in range(5):
        query = driver.query("all", [0])
        driver.end(next(iter(driver.parts[query])), Outcome.ERROR)
    assert len(driver.extras) == 4


@pytest.mark.parametrize(("failed_after", "retries"), [(0.3, 1), (0.6, 0)])
def test_keyed_part_is_retried_within_its_repeat_window_only(
    failed_after: float, retries: int
) -> None:
    driver = Driver()
    query = driver.query("keyed", [0])
    (part,) = driver.parts[query]
    driver.at(driver.now + failed_after)
    driver.end(part, Outcome.ERROR, failed_after)
    assert len(driver.sends()) == retries


@pytest.mark.parametrize(("kind", "window"), [("keyed", 0.5), ("all", math.inf)])
def test_first_attempt_is_not_written_after_its_repeat_window(kind: str, window: float) -> None:
    """Its connection came up late, after a hedge had run: the part ran again after its window."""
    driver = Driver()
    driver.query(kind, [0])
    (send,) = driver.sends()
    assert send.not_after == pytest.approx(driver.now + window)


@pytest.mark.parametrize("window", [0.0, 5.0])
def test_retry_budget_keeps_the_arrivals_of_its_window_only(window: float) -> None:
    """They were dropped when a retry was considered: without failures memory grew with each query and part."""
    turn = Turn(make_settings(rules=rules(extra_window=window, extra_share=0.2)), 1, None)
    budget = RetryBudget(turn)
    for number in range(10_000):
        turn.begin(number * 0.01)
        budget.record_arrival()
    assert len(budget.arrivals) <= window / 0.01 + 1
    assert budget.allows(is_needed=True)
