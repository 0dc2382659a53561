"""Capsules: n, the means, the watermarks, the wait of a part and the bypass."""

from __future__ import annotations

import math

import pytest

from stepknot.decisions.capsule import BETA_SHARE
from stepknot.decisions.records import Call
from stepknot.interface import Answer, Outcome, Refuse
from tests.decisions.steps import probe_reply, probing_driver, run_queries, set_means
from tests.helpers import FLEET, START, Driver, entry, make_settings

pytestmark = pytest.mark.cpu_only


def test_parts_to_one_server_in_one_turn_share_a_call_and_count_once() -> None:
    driver = Driver(make_settings(parts_per_call=16))
    driver.query("all", [0, 2, 4])
    assert len({send.server for send in driver.sends()}) == 1
    busy = driver.sends()[0].server
    driver.query("all", [0])
    assert driver.sends()[0].server != busy


def test_outcome_after_the_final_answer_only_lowers_n() -> None:
    driver = Driver(fleet=FLEET[:1])
    query = driver.query("all", [0])
    part = next(iter(driver.parts[query]))
    driver.gone(query)
    assert len(driver.aggregator.capsules["s0a"].calls) == 1
    assert driver.end(part) == []
    assert not driver.aggregator.capsules["s0a"].calls


def test_server_without_responses_has_the_means_of_the_fleet() -> None:
    driver = Driver(fleet=[entry("s0a"), entry("s0b")])
    query = driver.query("all", [0])
    driver.end(next(iter(driver.parts[query])), elapsed=0.3)
    aggregator = driver.aggregator
    means = {
        round(aggregator.throttle.estimate(capsule)[0], 6)
        for capsule in aggregator.capsules.values()
    }
    assert means == {0.3}


def test_query_with_too_little_time_left_is_rejected() -> None:
    driver = Driver()
    query = driver.query("some", [0, 1], deadline=START + 0.03)
    assert not driver.sends() and isinstance(driver.finals[query], Refuse)


def test_light_load_gives_full_waits_and_one_attempt_for_each_part() -> None:
    """Under light load no limit applies: answers are complete, and no attempt is cancelled or counted as a failure."""
    driver = Driver()
    for _ in range(50):
        query = driver.query("some", [0, 1])
        assert {round(send.timeout, 6) for send in driver.sends()} == {0.95}
        driver.at(driver.now + 0.1)
        for part in list(driver.parts[query]):
            driver.end(part)
        assert driver.acts == [Answer(query, True)]
    assert not driver.extras
    assert not any(capsule.failures for capsule in driver.aggregator.capsules.values())


def test_beta_follows_what_a_server_finishes_within_the_base_wait() -> None:
    """With a fixed watermark that was never reached, everything timed out under overload."""
    driver = Driver()
    run_queries(driver, 10, 0.2)
    accepted = 0
    while (
        isinstance(driver.finals.get(query := driver.query("all", [0])), type(None))
        and accepted < 100
    ):
        accepted += 1
    assert isinstance(driver.finals[query], Refuse) and 3 <= accepted <= 20


def test_parts_of_other_aggregators_count_against_beta() -> None:
    """With many aggregators, own counts of 0 and 1 never reached beta, so everything timed out under overload."""
    driver = probing_driver()
    driver.query("all", [0])
    driver.handle(*(probe_reply(server, inflight=500) for server in ("s0a", "s0b", "s0c")))
    assert not driver.sends()
    assert isinstance(driver.finals[next(iter(driver.kinds))], Refuse)


def test_old_mean_does_not_keep_a_server_out_of_use() -> None:
    """All servers were bypassed because their means exceeded the wait; nothing was sent, so no mean could change."""
    driver = Driver()
    run_queries(driver, 10, 0.63)
    driver.at(driver.now + 60.0)
    query = driver.query("some", [0, 1], deadline=driver.now + 0.8)
    assert query not in driver.finals and len(driver.sends()) == 2


def test_query_with_too_few_mean_times_left_is_rejected() -> None:
    """Clients that gave up early and retried at once wasted all the work of their queries."""
    driver = Driver()
    run_queries(driver, 10, 0.2)
    assert driver.query("some", [0, 1], deadline=driver.now + 0.28) in driver.finals
    assert driver.query("some", [0, 1], deadline=driver.now + 0.40) not in driver.finals


def test_lost_part_counts_in_the_mean_with_no_more_than_the_aim() -> None:
    """When lost answers counted with the full wait of a late answer, three quarters of all queries were rejected."""
    driver = Driver(fleet=FLEET[:1])
    query = driver.query("late", [0])
    driver.at(START + 2.9)
    driver.end(next(iter(driver.parts[query])), Outcome.TIMED_OUT, 2.9)
    assert driver.aggregator.capsules["s0a"].mean_time <= driver.settings.classes["late"].aim


def test_server_slow_because_of_a_queue_is_used_once_it_is_idle() -> None:
    """After a pause of all replicas with many parts in flight, their means are long although they are idle again."""
    driver = Driver()
    for capsule in driver.aggregator.capsules.values():
        capsule.responses, capsule.last_response_at = 50, driver.now
        capsule.mean_time, capsule.mean_in_flight = 0.8 * driver.settings.classes["all"].aim, 20.0
    assert [driver.finals.get(driver.query("all", [0, 1])) for _ in range(3)] == [None] * 3


def test_server_slow_with_one_part_in_flight_is_bypassed() -> None:
    driver = Driver()
    for capsule in driver.aggregator.capsules.values():
        capsule.responses, capsule.last_response_at = 50, driver.now
        capsule.mean_time, capsule.mean_in_flight = 0.8 * driver.settings.classes["all"].aim, 1.0
    assert isinstance(driver.finals.get(driver.query("all", [0, 1])), Refuse)


def test_beta_leaves_a_third_of_the_wait_for_the_variation_of_work() -> None:
    """Over sockets, half of the parts sent to a server just below a higher beta were late, like their whole queries."""
    driver = Driver(fleet=FLEET[:1])
    set_means(driver, mean=0.2, in_flight=20.0)
    accepted = 0
    while driver.finals.get(driver.query("all", [0])) is None:
        accepted += 1
    wait = driver.settings.classes["all"].aim * 0.95
    assert 0.6 * wait < 0.01 * accepted < 0.7 * wait


@pytest.mark.parametrize(
    ("in_flight_in_betas", "wait_in_base_waits"),
    [(0.5, 1.0), (0.85, 0.75), (0.9, 0.5), (0.95, 0.25)],
)
def test_wait_shrinks_from_alpha_to_beta(
    in_flight_in_betas: float, wait_in_base_waits: float
) -> None:
    driver = Driver(fleet=FLEET[:1])
    set_means(driver, mean=0.02, in_flight=20.0)  # gives a beta of several hundred calls
    base_wait = driver.aggregator.throttle.base_wait
    beta = BETA_SHARE * base_wait / 0.001
    capsule = driver.aggregator.capsules["s0a"]
    capsule.calls |= {
        Call(0, parts=1, parts_in_flight=1) for _ in range(round(in_flight_in_betas * beta))
    }
    driver.query("some", [0])
    (send,) = driver.sends()
    assert send.timeout == pytest.approx(wait_in_base_waits * base_wait, abs=0.01)


def test_query_that_needs_all_parts_waits_in_full_below_beta_and_is_rejected_at_it() -> None:
    driver = Driver(fleet=FLEET[:1])
    set_means(driver, mean=0.02, in_flight=20.0)
    base_wait = driver.aggregator.throttle.base_wait
    beta = math.floor(BETA_SHARE * base_wait / 0.001)
    capsule = driver.aggregator.capsules["s0a"]
    capsule.calls |= {Call(0, parts=1, parts_in_flight=1) for _ in range(beta)}
    driver.query("all", [0])
    assert [send.timeout for send in driver.sends()] == [pytest.approx(base_wait)]
    assert isinstance(driver.finals.get(driver.query("all", [0])), Refuse)
