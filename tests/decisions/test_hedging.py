"""Hedged requests: overdue parts and unresponsive servers."""

from __future__ import annotations

import pytest

from stepknot.decisions.capsule import BETA_SHARE
from stepknot.decisions.records import Call
from stepknot.interface import Answer, ListKind, Outcome, Refuse, SetTimer, TimerDue
from tests.decisions.steps import next_timer, set_means
from tests.helpers import FLEET, Driver, entry

pytestmark = pytest.mark.cpu_only

WARM_AFTER = 60.0  # seconds after a start; the server then takes any share


def test_overdue_part_is_hedged_at_another_replica() -> None:
    driver = Driver(fleet=FLEET[:2])
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    unresponsive = driver.attempts[part][0][0]
    driver.handle(next_timer(driver))
    (hedge,) = driver.sends()
    assert hedge.server != unresponsive
    driver.end(part, attempt=1)
    assert driver.finals[query] == Answer(query, True)
    driver.query("all", [0])
    assert (
        driver.sends()[0].server == hedge.server
    )  # an overdue attempt counts as a failure before its time-out


def test_overdue_part_is_hedged_though_its_server_answers_others() -> None:
    """An answer may be lost in the network while its server is healthy."""
    driver = Driver(fleet=FLEET[:1])
    lost = driver.query("all", [0])
    (part,) = driver.parts[lost]
    server = driver.attempts[part][0][0]
    due = min(
        (each for each in driver.acts if isinstance(each, SetTimer)), key=lambda each: each.at
    )
    driver.at(driver.now + 0.01)
    later = driver.query("all", [0])
    driver.at(driver.now + 0.01)
    driver.end(next(iter(driver.parts[later])), elapsed=0.01)
    driver.list(FLEET[:2])
    driver.at(due.at)
    driver.handle(TimerDue(due.token))
    assert [send.server != server for send in driver.sends()] == [True]
    assert (
        driver.aggregator.failures.count(driver.aggregator.capsules[server]) == 0
    )  # it does not count as failing


def test_backlog_after_a_stall_does_not_count_as_unanswered() -> None:
    """After a stall of the aggregator, timers were processed before the answers that had arrived during it."""
    driver = Driver(fleet=FLEET[:2])
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    server = driver.attempts[part][0][0]
    due = min((act for act in driver.acts if isinstance(act, SetTimer)), key=lambda act: act.at)
    driver.at(driver.now + 0.9)
    driver.handle(TimerDue(due.token), driver.ended(part, 0, Outcome.SERVED, 0.1))
    assert driver.finals[query] == Answer(query, True) and not driver.sends()
    assert driver.aggregator.failures.count(driver.aggregator.capsules[server]) == 0


def test_unresponsive_server_is_chosen_last_and_its_parts_are_hedged() -> None:
    """Over sockets, three of four late queries had a part at a server that sent nothing for 120 ms or more. With a
    queue the server's mean is long, so a hedge after four means is sent too late.
    """
    driver = Driver(fleet=FLEET[:2])
    set_means(driver, mean=0.2, in_flight=20.0)
    paused = "s0a"
    first = [driver.query("all", [0]) for _ in range(6)]
    unanswered = [part for part, _ in driver.out() if driver.attempts[part][0][0] == paused]
    driver.handle(
        *[
            driver.ended(*key, Outcome.SERVED, 0.02)
            for key in driver.out()
            if key[0] not in unanswered
        ]
    )
    driver.at(driver.now + 0.1)
    driver.fire()
    assert unanswered and all(
        driver.attempts[part][1][0] != paused for part in unanswered
    )  # hedged after half of the server's mean
    later = [driver.query("all", [0]) for _ in range(4)]
    assert {driver.attempts[part][0][0] for query in later for part in driver.parts[query]} == {
        "s0b"
    }
    driver.end(unanswered[0], elapsed=0.1)  # the server answers again
    driver.query("all", [0])
    assert paused in {
        driver.attempts[part][0][0] for part, _ in driver.out() if part not in unanswered
    }
    assert all(not isinstance(driver.finals.get(query), Refuse) for query in first)


def test_hedge_of_an_unresponsive_server_may_go_to_a_busy_replica() -> None:
    """A hedge of an overdue part is sent to idle servers only, to avoid overload. Here the first attempt has done
    little work, so a busier replica is allowed.
    """
    driver = Driver(fleet=FLEET[:2])
    set_means(driver, mean=0.2, in_flight=20.0)
    beta = BETA_SHARE * driver.aggregator.throttle.base_wait / 0.01
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    (other,) = {"s0a", "s0b"} - {driver.attempts[part][0][0]}
    capsule = driver.aggregator.capsules[other]
    capsule.calls |= {Call(0, parts=1, parts_in_flight=1) for _ in range(int(0.35 * beta))}
    driver.at(driver.now + 0.1)
    driver.fire()
    assert [send.server for send in driver.sends()] == [other]


@pytest.mark.parametrize("is_lost", [False, True])
def test_a_restarted_server_is_watched_for_its_new_process_only(is_lost: bool) -> None:
    """The earlier process's timer was set again while the new one had calls: for a time that never comes where its
    last part had been answered, and the simulator's link failed on it; where that was lost, after each threshold.
    """
    driver = Driver(fleet=FLEET[:1])
    set_means(driver)
    earlier = driver.aggregator.capsules["s0a"]
    (part,) = driver.parts[driver.query("all", [0])]
    if not is_lost:
        driver.end(part, elapsed=0.001)
    driver.list([entry("s0a", up_since=driver.now - WARM_AFTER)], ListKind.CHANGES)
    driver.query("all", [0])
    if is_lost:
        driver.end(part, Outcome.RESET)
    new = driver.aggregator.capsules["s0a"]
    assert new is not earlier and new.calls and new.calls is earlier.calls
    assert earlier.has_response_timer
    for _ in range(4):
        driver.at(driver.now + driver.aggregator.outliers.unresponsive.threshold())
        driver.fire()
    assert new.calls and new.has_response_timer
    assert not earlier.has_response_timer
