"""Calls to discovery whose first event takes longer than the time after which another call is made."""

from __future__ import annotations

import time

import pytest

from stepknot.platform.config import Address
from stepknot.platform.discovery import (
    CALL_TIMEOUT,
    FIRST_EVENT_TIMEOUT,
    MAX_DISCOVERY_DELAY,
    SLOW_CALL,
)
from tests.broker.scripted import until
from tests.platform.discovery_calls import Calls
from tests.platform.test_discovery import live
from tests.platform.world import SLOW_DISCOVERY, pause, world


@pytest.fixture
def calls() -> Calls:
    return Calls()


def test_drain_is_known_in_time_where_each_call_takes_longer_than_the_first_event_timeout() -> None:
    """Each call was given up before its answer, and a draining node got new parts for ever."""
    with world(mood="slow") as found:
        until(lambda: found.service.discovery.version == 10)
        assert FIRST_EVENT_TIMEOUT < SLOW_DISCOVERY < MAX_DISCOVERY_DELAY
        changed_at = time.monotonic()
        found.discovery.version += 1
        found.discovery.say(found.discovery.watches[0], [found.row(0, "leaving")])
        until(lambda: live(found).get("s-0") == "draining")
        assert time.monotonic() - changed_at < 0.5  # by the watch that the slow call became
        pause(FIRST_EVENT_TIMEOUT)
        assert len(found.discovery.asked) <= 2  # the next call was out already, or is not made


def test_answer_of_an_older_call_counts_while_a_newer_one_is_out(calls: Calls) -> None:
    """A newer call began from nothing, and what the older one brought was lost."""
    calls.open()
    calls.advance(FIRST_EVENT_TIMEOUT)
    assert calls.failures == [SLOW_CALL] and calls.is_open(0)
    calls.open()
    assert len(calls.links) == 2
    calls.answer(0)
    assert calls.versions == [7] and calls.is_open(0) and not calls.is_open(1)
    calls.open()  # the module's delay after the failure is over now
    assert len(calls.links) == 2


def test_newer_call_that_is_answered_first_ends_the_slow_one(calls: Calls) -> None:
    calls.open()
    calls.advance(FIRST_EVENT_TIMEOUT)
    calls.open()
    calls.answer(1)
    assert calls.versions == [7] and calls.is_open(1) and not calls.is_open(0)


def test_slow_call_is_reported_once_and_given_up(calls: Calls) -> None:
    calls.open()
    calls.advance(CALL_TIMEOUT + 0.1)
    assert calls.failures == [SLOW_CALL] and not calls.is_open(0)
    calls.open()
    assert len(calls.links) == 2


def test_calls_that_are_never_answered_are_two_at_most(calls: Calls) -> None:
    """Invariant 1: a module that asks again at once must not pile up calls."""
    for number in range(5):
        calls.open()
        assert sum(calls.is_open(call) for call in range(number + 1)) <= 2
        calls.advance(FIRST_EVENT_TIMEOUT - 0.1 * number)
        calls.advance(0.1 * number)
    assert calls.failures == [SLOW_CALL] * 5


def test_address_change_ends_slow_calls(calls: Calls) -> None:
    """The discovery of the old address may have older lists than the new one."""
    calls.open()
    calls.advance(FIRST_EVENT_TIMEOUT)
    calls.open()
    calls.client.change_address(Address("127.0.0.1", 2))
    calls.advance(0.0)
    calls.loop.turn()
    assert [calls.is_open(call) for call in range(3)] == [False, False, True]
