"""The endpoint list and the watch for its changes."""

from __future__ import annotations

import pytest

from stepknot.decisions.endpoint_list import MAX_WATCH_RETRY
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


def test_watch_is_retried_with_backoff_until_a_list_is_received() -> None:
    """Refused calls were repeated at one pace: a crowd of them kept the registry from serving anybody."""
    driver = Driver(make_settings(must_ask=True))
    first = min(driver.settings.rules.ask_within / 4, MAX_WATCH_RETRY)

    def delay_after_failure() -> float:
        driver.list([], ListKind.FAILED)
        (timer,) = [action for action in driver.acts if isinstance(action, SetTimer)]
        return timer.at - driver.now

    for factor in (1, 1, 2, 4, 4, 4):
        assert factor * first / 2 <= delay_after_failure() <= factor * first
    driver.list([], ListKind.CHANGES)
    assert delay_after_failure() <= first


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
