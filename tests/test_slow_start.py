"""What many instances together send to a server that has just started."""

from __future__ import annotations

import pytest

from stepknot.interface import ListKind
from stepknot.simulation.cold import DEMANDS, play
from tests.helpers import START, Driver, entry, make_settings

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("demand", DEMANDS)
@pytest.mark.parametrize("instances", [1, 3, 20, 30, 200])
def test_no_window_gets_more_than_the_budget_and_chance(instances: int, demand: str) -> None:
    """Each instance saved a part up while it was idle, and all sent it at once; a new process began with one; a burst
    took what was saved and, within the same window, what came in anew.
    """
    for age in (0.0, 3.0) if instances < 200 else (3.0,):
        for seed in range(4 if instances < 200 else 1):
            found = play(instances, demand, age, seed, seconds=4.5)
            assert found.worst <= 1.0, (age, seed, found)


def test_the_budget_stays_usable() -> None:
    assert (
        play(3, "steady", 0.0, 1).admitted > 0.5
        and play(20, "idle, then a burst", 3.0, 1).used > 0.25
    )


@pytest.mark.parametrize("how", ["a start that is told otherwise", "gone from the list and back"])
def test_an_entry_that_changes_brings_no_fresh_share(how: str) -> None:
    driver = Driver(make_settings(instances=1), fleet=[])
    driver.at(START + 5.0)
    driver.list([entry("s0a", up_since=START + 4.9)], ListKind.CHANGES)
    sent = 0
    for round_ in range(4):
        for _ in range(20):
            driver.query("all", [0])
            sent += len(driver.sends())
        if how == "gone from the list and back":
            driver.list([], ListKind.FULL)
            driver.list([entry("s0a", up_since=START + 4.9)], ListKind.FULL)
        else:
            driver.list([entry("s0a", up_since=START + 4.9 - round_ / 100)], ListKind.CHANGES)
    assert 1 <= sent <= 8  # of 3 x 0.21 x 1 s / 0.1 s


def test_a_process_that_just_began_leaves_the_share_to_the_one_before() -> None:
    driver = Driver(make_settings(instances=1), fleet=[entry("s0a", up_since=START - 0.5)])
    driver.query("all", [0])
    assert not driver.sends()
    driver.at(START + 1.0)
    driver.query("all", [0])
    assert driver.sends()
