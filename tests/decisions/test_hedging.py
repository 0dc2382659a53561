"""Hedged requests: overdue parts and unresponsive servers."""

from __future__ import annotations

import pytest

from stepknot.decisions.capsule import BETA_SHARE
from stepknot.decisions.records import Call
from stepknot.interface import Answer, Outcome, Refuse, SetTimer, TimerDue
from tests.decisions.steps import next_timer, set_known
from tests.helpers import FLEET, Driver

pytestmark = pytest.mark.cpu_only


def test_overdue_part_is_hedged_at_another_replica() -> None:
    driver = Driver(fleet=FLEET[:2])
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    silent = driver.attempts[part][0][0]
    driver.handle(next_timer(driver))
    (copy,) = driver.sends()
    assert copy.server != silent
    driver.end(part, attempt=1)
    assert driver.finals[query] == Answer(query, True)
    driver.query("all", [0])
    assert (
        driver.sends()[0].server == copy.server
    )  # silence counts as a failure before the time-out


def test_overdue_part_is_hedged_though_its_server_answers_others() -> None:
    """Answers lost on the way: the server is well, the part does not come back."""
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
    )  # it is not held to be silent


def test_backlog_after_a_stall_is_not_taken_for_silence() -> None:
    """Timers of a stalled aggregator came before the answers that had arrived meanwhile."""
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
    """Three of four late queries on sockets had a part at a server that answered nothing for 120 ms and more. With a
    queue its mean is long, and a copy after four means comes too late.
    """
    driver = Driver(fleet=FLEET[:2])
    set_known(driver, mean=0.2, out=20.0)
    still = "s0a"
    first = [driver.query("all", [0]) for _ in range(6)]
    stuck = [part for part, _ in driver.out() if driver.attempts[part][0][0] == still]
    driver.handle(
        *[driver.ended(*key, Outcome.SERVED, 0.02) for key in driver.out() if key[0] not in stuck]
    )
    driver.at(driver.now + 0.1)
    driver.fire()
    assert stuck and all(
        driver.attempts[part][1][0] != still for part in stuck
    )  # hedged, at half of its mean
    later = [driver.query("all", [0]) for _ in range(4)]
    assert {driver.attempts[part][0][0] for query in later for part in driver.parts[query]} == {
        "s0b"
    }
    driver.end(stuck[0], elapsed=0.1)  # it goes on
    driver.query("all", [0])
    assert still in {driver.attempts[part][0][0] for part, _ in driver.out() if part not in stuck}
    assert all(not isinstance(driver.finals.get(query), Refuse) for query in first)


def test_hedge_of_an_unresponsive_server_may_go_to_a_busy_replica() -> None:
    """A copy after four means goes to idle servers only, so that it feeds no jam; here the first try hardly ran."""
    driver = Driver(fleet=FLEET[:2])
    set_known(driver, mean=0.2, out=20.0)
    beta = BETA_SHARE * driver.aggregator.throttle.base_wait / 0.01
    query = driver.query("all", [0])
    (part,) = driver.parts[query]
    (other,) = {"s0a", "s0b"} - {driver.attempts[part][0][0]}
    capsule = driver.aggregator.capsules[other]
    capsule.calls |= {Call(0, parts=1, parts_in_flight=1) for _ in range(int(0.35 * beta))}
    driver.at(driver.now + 0.1)
    driver.fire()
    assert [send.server for send in driver.sends()] == [other]
