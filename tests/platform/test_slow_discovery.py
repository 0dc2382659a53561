"""Calls to discovery whose first event takes longer than the time after which another call is made."""

from __future__ import annotations

import socket
import time

import orjson
import pytest

from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.network import READ
from stepknot.net.tasks import Coroutine
from stepknot.platform.config import Address
from stepknot.platform.discovery import (
    CALL_TIMEOUT,
    FIRST_EVENT_TIMEOUT,
    MAX_DISCOVERY_DELAY,
    SLOW_CALL,
    DiscoveryClient,
)
from stepknot.platform.endpoint_list import WatchEvent
from tests.broker.scripted import until
from tests.net.test_loop import virtual
from tests.platform.test_discovery import live
from tests.platform.test_watch_parser import HEAD, chunk
from tests.platform.world import SLOW_DISCOVERY, pause, world

EMPTY_LIST = {"version": 7, "full": True, "servers": []}
MAX_STEPS = 1000  # of a virtual loop, in one wait


class Calls:
    """A client of discovery on a virtual clock, and the far ends of its calls."""

    def __init__(self) -> None:
        self.loop: Loop = virtual()
        self.loop.connect = self.connect  # type: ignore[assignment]
        self.client = DiscoveryClient(self.loop, Address("127.0.0.1", 1), "n0", None, 0.0, self)
        self.links: list[Link] = []
        self.peers: list[socket.socket] = []
        self.versions: list[int] = []
        self.failures: list[str] = []

    def connect(self, *_: object) -> Coroutine:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        self.links.append(Link(self.loop, ours))
        self.peers.append(theirs)
        yield from ()
        return self.links[-1]

    def on_watch_event(self, event: WatchEvent) -> None:
        self.versions.append(event.version)

    def on_watch_failure(self, reason: str) -> None:
        self.failures.append(reason)

    def advance(self, seconds: float) -> None:
        """Run the loop until so much time of its clock has passed."""
        end = self.loop.now + seconds
        self.loop.call_at(end, lambda: None)
        for _ in range(MAX_STEPS):
            if self.loop.now >= end:
                return
            self.loop.turn()
        raise AssertionError("the loop's clock stands still")

    def open(self) -> None:
        self.client.open_watch()
        self.advance(0.0)
        self.loop.turn()

    def answer(self, call: int) -> None:
        """Send a list as this call's first event."""
        self.peers[call].sendall(HEAD + chunk(orjson.dumps(EMPTY_LIST) + b"\n"))
        self.links[call].on_event(READ)
        self.loop.turn()

    def is_open(self, call: int) -> bool:
        """Whether the client has not ended this call."""
        self.peers[call].setblocking(False)
        try:
            while self.peers[call].recv(65536):
                pass
        except BlockingIOError:
            return True
        return False


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
