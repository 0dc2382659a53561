"""Slow start: the parts that many instances together send to a server that has just started."""

from __future__ import annotations

import pytest

from stepknot.interface import InstancesCounted, ListKind, Send, ServerState
from stepknot.simulation.cold import DEMANDS, play
from tests.helpers import START, Driver, entry, make_settings

pytestmark = pytest.mark.cpu_only


def test_many_instances_together_do_not_overload_a_cold_server() -> None:
    """At least one part from each of 80 instances was twenty times the load that a cold server can sustain."""
    drivers = [
        Driver(make_settings(instances=80), fleet=[entry("s0a", up_since=99.99)], seed=seed)
        for seed in range(80)
    ]
    sent: list[float] = []
    for step in range(40):
        for driver in drivers:
            driver.at(100.0 + step * 0.1)
            driver.query("all", [0])
            for action in driver.acts:
                if isinstance(action, Send):
                    sent.append(driver.now)
                    driver.end(action.part_id, elapsed=0.1)
    for begin in (100.0, 101.0, 102.0):
        able = (
            0.2 + 0.8 * (begin + 1.0 - 99.99) / 10.0
        )  # capacity at the window's end, which allows a little random variation
        work = sum(0.1 for at in sent if begin <= at < begin + 1.0)
        assert work <= 3.0 * able * 1.0, begin
    assert sent  # the server gets some parts


def test_counted_instances_set_the_share_of_a_cold_server() -> None:
    """When brokers joined or left, each still divided a cold server's sustainable load by the old number of brokers."""

    def sent(*counted: int) -> int:
        found = 0
        for seed in range(40):
            driver = Driver(
                make_settings(instances=20), fleet=[entry("s0a", up_since=99.99)], seed=seed
            )
            driver.at(100.0)
            driver.handle(*map(InstancesCounted, counted))
            for step in range(20):
                driver.at(100.0 + step * 0.1)
                driver.query("all", [0])
                for action in driver.acts:
                    if isinstance(action, Send):
                        found += 1
                        driver.end(action.part_id, elapsed=0.1)
        return found

    assert sent() == sent(20) >= 4 * max(sent(400), 1)


def test_rejected_query_spends_no_quota() -> None:
    """Shards with only cold replicas got no parts: queries rejected because of another shard had spent the quota."""
    driver = Driver(make_settings(instances=80), fleet=[entry("s0a", up_since=99.99)])
    driver.at(START + 2.0)  # a new process sends nothing to a cold server at first
    driver.query("all", [0, 1])  # shard 1 has no replica
    driver.aggregator.slow_start.quotas[
        "s0a"
    ].draw = 1.0  # this instance gets the fraction as one part
    driver.query("all", [0, 1])
    assert not driver.sends()
    assert driver.query("all", [0]) not in driver.finals and len(driver.sends()) == 1


def test_restarted_server_is_cold_and_gets_a_fair_share() -> None:
    driver = Driver(fleet=[entry("s0a"), entry("s1a", 1)])
    query = driver.query("all", [1])
    driver.end(next(iter(driver.parts[query])))
    driver.list([entry("s0a", state=ServerState.GONE)], ListKind.CHANGES)
    driver.at(driver.now + 2.0)  # a new process sends nothing to a cold server at first
    driver.list([entry("s0a", up_since=driver.now)], ListKind.CHANGES)
    sent = 0
    for _ in range(10):
        driver.query("all", [0])
        sent += len(driver.sends())
    assert 1 <= sent <= 3  # 3 x 0.2 x 1 s / 0.1 s for two instances


@pytest.mark.parametrize("demand", DEMANDS)
@pytest.mark.parametrize("instances", [1, 3, 20, 30, 200])
def test_no_window_gets_more_than_the_budget_plus_random_variation(
    instances: int, demand: str
) -> None:
    """Three ways to overload a cold server: instances that had saved up a part while idle all sent it at once; a new
    process started with one part; a burst spent the saved quota and, within the same window, the new quota.
    """
    for age in (0.0, 3.0) if instances < 200 else (3.0,):
        for seed in range(4 if instances < 200 else 1):
            found = play(instances, demand, age, seed, seconds=4.5)
            assert found.worst <= 1.0, (age, seed, found)


def test_budget_is_usable() -> None:
    assert (
        play(3, "steady", 0.0, 1).admitted > 0.5
        and play(20, "idle, then a burst", 3.0, 1).used > 0.25
    )


@pytest.mark.parametrize("how", ["another start time", "removed from the list and back"])
def test_changed_entry_gets_no_new_quota(how: str) -> None:
    driver = Driver(make_settings(instances=1), fleet=[])
    driver.at(START + 5.0)
    driver.list([entry("s0a", up_since=START + 4.9)], ListKind.CHANGES)
    sent = 0
    for round_ in range(4):
        for _ in range(20):
            driver.query("all", [0])
            sent += len(driver.sends())
        if how == "removed from the list and back":
            driver.list([], ListKind.FULL)
            driver.list([entry("s0a", up_since=START + 4.9)], ListKind.FULL)
        else:
            driver.list([entry("s0a", up_since=START + 4.9 - round_ / 100)], ListKind.CHANGES)
    assert 1 <= sent <= 8  # of 3 x 0.21 x 1 s / 0.1 s


def test_new_process_sends_nothing_within_the_window_of_its_predecessor() -> None:
    driver = Driver(make_settings(instances=1), fleet=[entry("s0a", up_since=START - 0.5)])
    driver.query("all", [0])
    assert not driver.sends()
    driver.at(START + 1.0)
    driver.query("all", [0])
    assert driver.sends()


def test_quotas_of_removed_servers_are_forgotten_after_the_last_window() -> None:
    """A server that left keeps its quota while its parts count, and no longer: names of servers never end."""
    driver = Driver(make_settings(instances=1), fleet=[])
    driver.at(START + 5.0)
    driver.list([entry("s0a", up_since=START + 4.9), entry("s1a", 1)], ListKind.CHANGES)
    driver.query("all", [0])
    assert driver.sends()
    driver.list([], ListKind.FULL)
    quotas = driver.aggregator.slow_start.quotas
    assert set(quotas) == {"s0a"}
    driver.at(driver.now + driver.settings.rules.fall_time)
    driver.list([], ListKind.CHANGES)
    assert not quotas
