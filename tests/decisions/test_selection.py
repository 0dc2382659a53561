"""Replica selection."""

from __future__ import annotations

from collections import Counter

import pytest

from stepknot.decisions.records import Call
from stepknot.interface import Outcome
from tests.decisions.steps import run_queries
from tests.helpers import FLEET, Driver

pytestmark = pytest.mark.cpu_only


def test_part_goes_to_the_replica_with_the_fewest_calls_in_flight() -> None:
    driver = Driver()
    for _ in range(9):
        driver.query("all", [0])
    counts = Counter(tries[0][0] for tries in driver.attempts.values())
    assert counts == {"s0a": 3, "s0b": 3, "s0c": 3}


def test_ties_are_broken_by_the_seed() -> None:
    chosen = set()
    for seed in range(20):
        driver = Driver(seed=seed)
        driver.query("all", [0])
        chosen.add(driver.sends()[0].server)
    assert chosen == {"s0a", "s0b", "s0c"}


def test_same_events_give_the_same_actions() -> None:
    def play() -> list[object]:
        driver = Driver(seed=7)
        driver.query("some", [0, 1, 0, 1])
        return list(driver.acts)

    assert play() == play()


def test_server_that_was_paused_does_not_cause_rejections() -> None:
    """After a pause a server is idle but its mean exceeds a query's wait; the shard's other replicas must be chosen."""
    driver = Driver()
    run_queries(driver, 20, 0.05)
    driver.query("all", [0])
    (paused_server,) = {send.server for send in driver.sends()}
    paused = driver.settings.classes["all"].aim * 0.9
    driver.at(driver.now + paused)
    driver.handle(*[driver.ended(*key, Outcome.SERVED, paused) for key in driver.out()])
    capsule = driver.aggregator.capsules[paused_server]
    capsule.mean_time = paused  # as if all parts in flight there had been served that late
    finals = [driver.finals.get(driver.query("all", [0, 1])) for _ in range(12)]
    assert finals == [None] * 12
    assert paused_server not in {driver.attempts[part][0][0] for part, _ in driver.out()}


def test_slow_server_at_beta_ranks_behind_a_quick_one_with_more_in_flight() -> None:
    """The beta of a slow server is two parts, so it can be at beta with fewer parts in flight than a quick server."""
    driver = Driver(fleet=FLEET[:2])
    slow, quick = (driver.aggregator.capsules[entry.server] for entry in FLEET[:2])
    for capsule, mean in ((slow, 0.5), (quick, 0.02)):
        capsule.responses, capsule.last_response_at, capsule.mean_time, capsule.mean_in_flight = (
            50,
            driver.now,
            mean,
            1.0,
        )
    driver.query("all", [0])
    driver.query("all", [0])
    slow.calls = {Call(0, parts=1, parts_in_flight=1), Call(0, parts=1, parts_in_flight=1)}
    quick.calls = {Call(0, parts=1, parts_in_flight=1) for _ in range(5)}
    assert driver.finals.get(driver.query("all", [0])) is None
    assert driver.sends()[0].server == quick.entry.server
