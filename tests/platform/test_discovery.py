"""The client of discovery, as the sockets show it."""

from __future__ import annotations

import gc
import itertools
import socket
import time
from dataclasses import replace
from typing import Any

import orjson
import pytest

from stepknot.decisions import Aggregator
from stepknot.decisions.endpoint_list import MAX_WATCH_BACKOFF, MAX_WATCH_RETRY
from stepknot.interface import ListKind, ListReceived, ServerEntry, SetTimer
from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.network import READ
from stepknot.net.tasks import Coroutine
from stepknot.platform.config import Address, parse_config
from stepknot.platform.discovery import (
    CALL_TIMEOUT,
    FIRST_EVENT_TIMEOUT,
    MAX_DISCOVERY_DELAY,
    MAX_PROPAGATION_DELAY,
    WATCH_TIMEOUT,
    DiscoveryClient,
)
from stepknot.platform.endpoint_list import MAX_NODES, WatchEvent, parse_watch_event
from stepknot.platform.watch_parser import WatchParser
from tests.broker.scripted import WAIT, until
from tests.net.test_loop import Clock, EndlessSocket, virtual
from tests.platform.discovery_calls import Calls
from tests.platform.test_endpoint_list import LIST
from tests.platform.test_watch_parser import HEAD, chunk
from tests.platform.world import Discovery as StandIn
from tests.platform.world import World, pause, profile, row, world


def live(found: World) -> dict[str, str]:
    return {
        server: capsule.entry.state.value
        for server, capsule in found.service.core.aggregator.capsules.items()
    }


def test_cached_list_serves_until_the_first_event_and_changes_are_followed() -> None:
    with world() as found:
        assert found.ask().status == 200
        until(lambda: found.discovery.asked)
        assert found.discovery.asked == ["/v1/servers?follow=1&since=3"]
        until(lambda: found.service.discovery.version == 10)
        found.discovery.change(found.row(0, "leaving"))
        until(lambda: live(found).get("s-0") == "draining")
        assert found.ask().status == 503  # nothing new goes there
        assert not found.nodes[0].calls[1:]
        found.discovery.change(found.row(0, "left"))
        until(lambda: "s-0" not in live(found))


def send_lines(found: World, *rows: dict[str, Any], end: bytes = b"") -> None:
    """A line for each row, all in one write."""
    watch, lines = found.discovery.watches[-1], []
    for each in rows:
        found.discovery.version += 1
        event = {"version": found.discovery.version, "full": False, "servers": [each]}
        lines.append(chunk(orjson.dumps(event) + b"\n"))
    watch.sendall(b"".join(lines) + end)


def test_node_that_left_and_is_listed_again_in_one_read_serves() -> None:
    """Changes of one read are applied together: the node's address must not be forgotten after the last of them."""
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        send_lines(found, found.row(0, "left"), found.row(0))
        until(lambda: found.service.discovery.version == 12)
        assert found.ask().status == 200


def test_changes_before_a_malformed_line_of_the_same_read_count() -> None:
    """The next watch asks for changes since them, so that they would be lost."""
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        send_lines(found, found.row(0, "leaving"), end=chunk(b"{]\n"))
        until(lambda: live(found).get("s-0") == "draining")
        until(lambda: len(found.discovery.asked) >= 2)
        assert found.discovery.asked[1] == "/v1/servers?follow=1&since=11"


def test_list_received_again_does_not_look_like_a_restart() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        rows = [found.row(0, started_ms=1_700_000_000_123), found.row(1)]
        capsules = []
        for _ in range(2):
            found.discovery.version += 1
            version = found.discovery.version
            found.discovery.say(found.discovery.watches[-1], rows, True)
            until(lambda: found.service.discovery.version == version)  # noqa: B023
            capsules.append(found.call(lambda: found.service.core.aggregator.capsules["s-0"]))
        assert capsules[0] is capsules[1]


def test_changed_address_keeps_what_is_known_of_its_node() -> None:
    with world(nodes=4) as found:
        until(lambda: found.service.discovery.version == 10)
        capsule = found.call(lambda: found.service.core.aggregator.capsules["s-0"])
        found.discovery.change(found.row(0, addr=f"127.0.0.1:{found.nodes[2].port}"))
        found.discovery.change(found.row(2, "left"))
        until(lambda: "s-2" not in live(found))
        assert found.call(lambda: found.service.core.aggregator.capsules["s-0"]) is capsule
        assert found.ask().status == 200 and len(found.nodes[2].calls) == 1


@pytest.mark.parametrize("trouble", ["ends", "503", "no JSON", "goes back"])
def test_failed_watch_is_opened_again_and_the_known_list_serves(trouble: str) -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        sock = found.discovery.watches[-1]
        if trouble == "503":
            found.discovery.mood = "refuse"
        if trouble in ("ends", "503"):
            sock.sendall(b"0\r\n\r\n")
        elif trouble == "no JSON":
            found.discovery.say_line(sock, b"{\n")
        else:
            found.discovery.version = 4
            found.discovery.say(sock, [])
        until(lambda: len(found.discovery.asked) >= 2)
        since = 0 if trouble == "goes back" else 10
        assert found.discovery.asked[1] == f"/v1/servers?follow=1&since={since}"
        assert found.ask().status == 200
        if trouble == "503":
            until(lambda: len(found.discovery.asked) >= 3)  # and again, at the module's pace


def test_silent_watch_is_replaced() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        until(lambda: len(found.discovery.asked) >= 2)  # the stand-in sends no empty lines
        assert found.events("discovery_failed") == [{"reason": "silent"}]


class Recorded:
    """A listener that keeps when failures were reported."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.failed_at: list[float] = []

    def on_watch_event(self, event: WatchEvent) -> None:
        raise AssertionError(event)

    def on_watch_failure(self, reason: str) -> None:
        self.failed_at.append(self.loop.now)


def test_failed_watch_is_reported_once_and_not_opened_again_by_itself() -> None:
    loop = virtual()
    listener = Recorded(loop)
    discovery = DiscoveryClient(loop, Address("127.0.0.1", 1), "n0", None, 0.0, listener)
    discovery.open_watch()
    while not listener.failed_at:
        loop.turn()
    for _ in range(50):
        loop.turn()
    assert len(listener.failed_at) == 1


def moved(found: World, version: int) -> StandIn:
    """Where discovery is from now on: it was asked, and says nothing yet."""
    other = StandIn([row(node, number) for number, node in enumerate(found.nodes)], version)
    other.mood = "silent"
    found.given["discovery"] = f"127.0.0.1:{other.port}"
    found.call(found.service.reload)
    until(lambda: other.asked)
    return other


def test_watch_at_the_old_address_counts_until_the_new_one_receives_an_event() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        other = moved(found, 20)
        found.discovery.change(found.row(1, "leaving"))  # the old one still speaks
        until(lambda: live(found).get("s-1") == "draining")
        other.mood = "serve"
        until(lambda: found.service.discovery.version == 20)
        old = found.discovery.watches[-1]
        old.settimeout(WAIT)
        assert old.recv(1) == b""  # the broker ended it
        asked = len(other.asked)
        other.watches[-1].sendall(b"0\r\n\r\n")
        until(lambda: len(other.asked) > asked)  # the new one counts: its end is told
        assert live(found) == {"s-0": "live", "s-1": "live"}
        other.close()


def test_malformed_configuration_at_reload_changes_nothing() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        kept, found.given["discovery"] = found.given["discovery"], "nowhere"
        found.call(found.service.reload)
        assert found.events("reload_rejected")
        found.given["discovery"] = kept
        assert found.ask().status == 200 and len(found.discovery.asked) == 1


def test_timeouts_of_the_watch_add_up_to_less_than_the_propagation_delay() -> None:
    """Each part of the way was bounded by itself, and together they took up to nine seconds."""
    assert FIRST_EVENT_TIMEOUT < MAX_DISCOVERY_DELAY < CALL_TIMEOUT
    assert (
        WATCH_TIMEOUT + MAX_WATCH_RETRY + MAX_DISCOVERY_DELAY < MAX_PROPAGATION_DELAY
        and FIRST_EVENT_TIMEOUT + MAX_WATCH_RETRY + MAX_DISCOVERY_DELAY <= 4.0
    )
    max_backoff = MAX_WATCH_BACKOFF * MAX_WATCH_RETRY
    assert FIRST_EVENT_TIMEOUT + max_backoff + MAX_DISCOVERY_DELAY < MAX_PROPAGATION_DELAY
    settings = parse_config(orjson.dumps(config_of(profile())), "test").settings
    for ask_within in (0.0, 1.0, 600.0):
        module = Aggregator(
            replace(settings, rules=replace(settings.rules, ask_within=ask_within)), 1
        )
        module.handle(5.0, [])
        for _ in range(50):  # each failure is the first one since the last changes
            (timer,) = module.handle(
                5.0, [ListReceived(ListKind.CHANGES), ListReceived(ListKind.FAILED)]
            )
            assert isinstance(timer, SetTimer) and 5.0 < timer.at <= 5.0 + MAX_WATCH_RETRY
        for _ in range(50):  # failures in a row
            (timer,) = module.handle(5.0, [ListReceived(ListKind.FAILED)])
            assert isinstance(timer, SetTimer) and 5.0 < timer.at <= 5.0 + max_backoff


def test_address_change_ends_the_backoff() -> None:
    """The new discovery had nothing to do with the failures: a call there that failed was repeated too late."""
    with world(mood="refuse") as found:
        until(lambda: len(found.events("discovery_failed")) >= 4)
        other = StandIn([row(node, number) for number, node in enumerate(found.nodes)], 11)
        other.mood = "refuse"
        found.given["discovery"] = f"127.0.0.1:{other.port}"
        found.call(found.service.reload)
        until(lambda: len(other.asked) >= 2)
        assert other.asked_at[1] - other.asked_at[0] < MAX_WATCH_RETRY + 0.3
        other.close()


def config_of(settings: dict[str, Any]) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:1",
        "seed": "8c",
        "known": None,
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "settings": settings,
    }


@pytest.mark.parametrize("mood", ["silent", "half", "empty", "refuse", "lost"])
def test_change_is_known_in_time_whatever_call_failed(mood: str) -> None:
    """The watch falls silent, the next call comes to nothing, the one after it is served: a drain that discovery had
    from the first moment on.
    """
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        quiet = time.monotonic()  # from here on the open watch says nothing
        found.discovery.rows = [found.row(0, "leaving"), found.row(1)]
        found.discovery.version, found.discovery.mood = 11, mood
        until(lambda: len(found.discovery.asked) >= 2)
        found.discovery.mood = "serve"
        until(lambda: live(found).get("s-0") == "draining")
        assert time.monotonic() - quiet < MAX_PROPAGATION_DELAY
        if mood in (
            "silent",
            "half",
            "empty",
        ):  # it says no whole line, also where bytes keep coming
            assert (
                found.discovery.asked_at[2] - found.discovery.asked_at[1]
                <= FIRST_EVENT_TIMEOUT + MAX_WATCH_RETRY + 0.2
            )


def test_half_a_line_just_before_the_deadline_does_not_extend_it() -> None:
    loop = virtual()
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    link = Link(loop, ours)
    theirs.sendall(HEAD)

    def connect(*_: object) -> Coroutine:
        yield from ()
        return link

    def send_half_a_line() -> None:
        theirs.sendall(chunk(b" "))
        link.on_event(READ)

    loop.connect = connect  # type: ignore[assignment]
    listener = Recorded(loop)
    discovery = DiscoveryClient(loop, Address("127.0.0.1", 1), "n0", None, 0.0, listener)
    began = loop.now
    discovery.open_watch()
    for deadline in (FIRST_EVENT_TIMEOUT, CALL_TIMEOUT):
        loop.call_later(deadline - 0.1, send_half_a_line)
    while not listener.failed_at:
        loop.turn()
    assert listener.failed_at[0] - began < FIRST_EVENT_TIMEOUT + 0.1
    while discovery.slow_watch is not None:
        loop.turn()
    assert loop.now - began < CALL_TIMEOUT + 0.1
    theirs.close()


def test_watch_that_sends_without_a_pause_but_no_event_is_given_up_in_time() -> None:
    """Its time-out counted only while nothing was there to be read, and the loop read on in one step."""
    loop = virtual()
    clock = loop.clock
    assert isinstance(clock, Clock)
    ours, theirs = socket.socketpair()
    endless = EndlessSocket(loop, ours, HEAD, chunk(b"\n") * 1000)
    endless.on_read = lambda: setattr(clock, "now", clock.now + 0.01)

    def connect(*_: object) -> Coroutine:
        yield from ()
        return Link(loop, endless)

    loop.connect = connect  # type: ignore[assignment]
    listener = Recorded(loop)
    discovery = DiscoveryClient(loop, Address("127.0.0.1", 1), "n0", None, 0.0, listener)
    began = loop.now
    discovery.open_watch()
    while not listener.failed_at:
        loop.turn()
        assert loop.now < began + WAIT
    assert listener.failed_at[0] - began < FIRST_EVENT_TIMEOUT + 0.1
    while discovery.slow_watch is not None:
        loop.turn()
        assert loop.now < began + WAIT
    assert loop.now - began < CALL_TIMEOUT + 0.1
    theirs.close()


def test_incomplete_line_does_not_keep_a_watch_open_and_empty_lines_do() -> None:
    with world(mood="beats") as found:
        until(lambda: found.service.discovery.version == 10)
        pause(WATCH_TIMEOUT + 0.5)
        assert len(found.discovery.asked) == 1
        found.discovery.mood = "half"  # on the open watch
        begun = time.monotonic()
        until(lambda: len(found.discovery.asked) >= 2)
        assert time.monotonic() - begun < WATCH_TIMEOUT + MAX_WATCH_RETRY + 0.5


def test_pushed_list_is_watched_from_the_first_turn_on() -> None:
    """Nobody opened a watch where the settings say that lists are pushed, and every drain was missed."""
    rules = {key: value for key, value in profile()["rules"].items() if key != "ask-within-ns"}
    with world(settings={"discovery": "push", "rules": rules}) as found:
        until(lambda: found.service.discovery.version == 10)
        found.discovery.change(found.row(0, "leaving"))
        until(lambda: live(found).get("s-0") == "draining")
        found.discovery.mood = "refuse"
        found.discovery.watches[-1].sendall(b"0\r\n\r\n")
        until(lambda: len(found.discovery.asked) >= 4)
        gaps = [
            after - before for before, after in itertools.pairwise(found.discovery.asked_at[1:])
        ]
        assert (
            min(gaps) > MAX_WATCH_RETRY / 2 - 0.05
        )  # with no time for asking in the settings it asked without a pause


BAD_LISTS = {
    "a node twice": lambda rows: {"version": 12, "full": True, "servers": [rows[0], rows[0]]},
    "an unknown state": lambda rows: {
        "version": 12,
        "full": True,
        "servers": [rows[0] | {"state": "odd"}],
    },
    "a negative version": lambda rows: {"version": -1, "full": True, "servers": rows},
    "too many nodes": lambda rows: {
        "version": 12,
        "full": True,
        "servers": [rows[0] | {"id": f"x-{number}"} for number in range(MAX_NODES + 1)],
    },
}


@pytest.mark.parametrize("name", BAD_LISTS)
def test_malformed_list_is_reported_and_the_known_list_holds(name: str) -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        bad = orjson.dumps(BAD_LISTS[name](found.discovery.rows))
        found.discovery.say_line(found.discovery.watches[-1], bad + b"\n")
        until(lambda: found.events("discovery_failed"))
        assert found.ask("list", (0, 1)).status == 200 and set(live(found)) == {"s-0", "s-1"}
        until(lambda: len(found.discovery.asked) >= 2)


def test_address_changes_while_nothing_answers_leave_two_watches_at_most() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        others = [StandIn([]) for _ in range(5)]
        for other in others:
            other.mood = "silent"
            found.given["discovery"] = f"127.0.0.1:{other.port}"
            found.call(found.service.reload)
            until(lambda: other.asked)  # noqa: B023
            assert len([each for each in found.service.loop.tasks if each.name == "discovery"]) == 2
        found.discovery.change(found.row(1, "leaving"))  # the first one still speaks
        until(lambda: live(found).get("s-1") == "draining")
        for other in others:
            other.close()


def test_versions_of_another_numbering_after_an_address_change_lead_to_a_snapshot() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        other = moved(found, 2)
        other.watches[-1].sendall(HEAD)
        other.say(
            other.watches[-1], [found.row(0, "left")]
        )  # changes up to its version 2, said to be since 10
        other.mood = "serve"
        until(lambda: len(other.asked) >= 2 and found.service.discovery.version == 2)
        assert other.asked == ["/v1/servers?follow=1&since=10", "/v1/servers?follow=1&since=0"]
        assert set(live(found)) == {"s-0", "s-1"}
        other.close()


def test_changes_that_another_watch_overtook_change_nothing() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        other = moved(found, 11)
        found.discovery.version = 11
        found.discovery.change(found.row(1, "leaving"))  # version 12, on the old watch
        until(lambda: live(found).get("s-1") == "draining")
        other.watches[-1].sendall(HEAD)
        other.say(other.watches[-1], [found.row(1)])  # version 11 had it active
        other.version = 13
        other.say(other.watches[-1], [found.row(0, "leaving")])
        until(lambda: live(found).get("s-0") == "draining")  # what came before it is applied
        assert live(found)["s-1"] == "draining"
        other.close()


def test_half_written_file_is_read_again_and_the_address_change_is_not_lost() -> None:
    with world() as found:
        until(lambda: found.service.discovery.version == 10)
        other = StandIn([row(node, number) for number, node in enumerate(found.nodes)], version=20)
        kept, found.given["discovery"] = found.given["discovery"], "127.0.0."
        found.call(found.service.reload)
        assert found.events("reload_rejected") and found.given["discovery"] != kept
        found.given["discovery"] = (
            f"127.0.0.1:{other.port}"  # written to its end meanwhile; no second signal
        )
        until(lambda: found.service.discovery.version == 20)
        other.close()


def test_ten_thousand_indented_nodes_are_parsed_within_the_first_event_timeout() -> None:
    rows = [LIST["servers"][0] | {"id": f"s-{number}"} for number in range(MAX_NODES)]  # type: ignore[index]
    data = chunk(orjson.dumps(LIST | {"servers": rows}, option=orjson.OPT_INDENT_2) + b"\n")
    parser = WatchParser()
    begun = time.thread_time()
    found: list[bytes] = parser.feed(HEAD)
    for place in range(0, len(data), 65536):
        found += parser.feed(data[place : place + 65536])
    (message,) = found
    assert len(parse_watch_event(orjson.loads(message), 0.0).entries) == MAX_NODES
    assert time.thread_time() - begun < FIRST_EVENT_TIMEOUT


def test_list_that_was_applied_is_not_kept_until_the_next_read() -> None:
    """The watch's task held the message and its entries while it waited for more: a broker's memory was exceeded."""
    calls = Calls()
    calls.open()
    cell = 49_771  # of no other test
    calls.answer(0, LIST | {"servers": [LIST["servers"][0] | {"cell": cell}]})  # type: ignore[index]
    gc.collect()
    assert calls.versions == [41]
    assert not [
        each for each in gc.get_objects() if type(each) is ServerEntry and each.cell == cell
    ]
