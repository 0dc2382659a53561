"""The endpoint list and the watch for its changes."""

from __future__ import annotations

import pytest

from stepknot.interface import ListKind, ServerState, SetTimer, TimerDue, Watch
from tests.helpers import FLEET, Driver, entry, make_settings

pytestmark = pytest.mark.cpu_only


def test_list_is_watched_from_the_first_turn_and_again_after_a_failure() -> None:
    driver = Driver(make_settings(must_ask=True))
    assert driver.acts == [Watch()]
    driver.list([], ListKind.FAILED)
    (timer,) = [action for action in driver.acts if isinstance(action, SetTimer)]
    assert driver.now < timer.at <= driver.now + driver.settings.rules.ask_within / 4
    driver.query("all", [0])
    assert driver.sends()  # the old list is still used
    driver.end(next(iter(driver.parts[next(iter(driver.kinds))])))
    driver.at(timer.at)
    assert driver.handle(TimerDue(timer.token)) == [Watch()]


def test_restarted_server_has_no_failures_of_its_former_process() -> None:
    driver = Driver(fleet=FLEET[:2])
    busy_server = driver.aggregator.capsules["s0a"]
    for _ in range(4):
        busy_server.failures.append(driver.now + 4.0)
    driver.list([entry("s0a", up_since=driver.now)], ListKind.CHANGES)
    assert driver.aggregator.failures.count(driver.aggregator.capsules["s0a"]) == 0


def test_draining_or_removed_server_gets_nothing_new() -> None:
    driver = Driver()
    driver.list([entry("s0a", state=ServerState.DRAINING)], ListKind.CHANGES)
    driver.list(
        [item for item in FLEET if item.server != "s0b"]
        + [entry("s0a", state=ServerState.DRAINING)]
    )
    for _ in range(6):
        driver.query("all", [0])
        assert [send.server for send in driver.sends()] == ["s0c"]
