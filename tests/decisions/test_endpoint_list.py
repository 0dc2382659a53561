"""The endpoint list and the watch for its changes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stepknot.decisions import Aggregator
from stepknot.decisions.endpoint_list import MAX_WATCH_RETRY
from stepknot.interface import (
    AttemptEnded,
    ListKind,
    ListReceived,
    Outcome,
    PartArrived,
    QueryArrived,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    TimerDue,
    Watch,
)
from tests.helpers import FLEET, START, Driver, entry, make_settings

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


@pytest.mark.parametrize("seed", range(8))
def test_change_counts_before_other_events_of_its_turn(seed: int) -> None:
    """A retry went to a server that a later event of the same turn drained."""
    aggregator = Aggregator(make_settings(cells=1), seed)
    fleet = tuple(entry(server) for server in "abc")
    arrivals = [QueryArrived(1, 1, "all", START + 3.0), PartArrived(2, 1, 0, 1.0)]
    actions = aggregator.handle(START, [ListReceived(ListKind.FULL, fleet), *arrivals])
    (first,) = [each.server for each in actions if isinstance(each, Send)]
    draining, staying = sorted(set("abc") - {first})
    ended = AttemptEnded(2, 0, first, Outcome.REJECTED, 0.01)
    change = ListReceived(ListKind.CHANGES, (entry(draining, 0, ServerState.DRAINING),))
    actions = aggregator.handle(START + 0.01, [ended, change])
    assert [each.server for each in actions if isinstance(each, Send)] == [staying]


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


CELLS, REACH = 3, 2
ENTRIES = st.builds(
    entry,
    st.sampled_from("abcdef"),
    st.integers(0, CELLS - 1),
    st.sampled_from(ServerState),
    st.sampled_from((0.0, 50.0)),
)
LISTS = st.builds(
    ListReceived,
    st.sampled_from((ListKind.CHANGES, ListKind.CHANGES, ListKind.FULL)),
    st.lists(ENTRIES, max_size=4, unique_by=lambda each: each.server).map(tuple),
)


def apply_list(listed: dict[str, ServerEntry], received: ListReceived) -> dict[str, ServerEntry]:
    """The entries by server after a list or changes, as the interface defines them."""
    kept = {} if received.kind is ListKind.FULL else listed
    entries = kept | {each.server: each for each in received.entries}
    return {server: each for server, each in entries.items() if each.state is not ServerState.GONE}


@given(st.lists(LISTS, max_size=8))
def test_replicas_are_those_of_the_list_whatever_changes_led_to_it(
    lists: list[ListReceived],
) -> None:
    aggregator = Aggregator(make_settings(cells=CELLS, reach=REACH), 1)
    listed: dict[str, ServerEntry] = {}
    for received in lists:
        aggregator.handle(100.0, [received])
        listed = apply_list(listed, received)
        for shard in range(CELLS):
            cells = [(shard + step) % CELLS for step in range(REACH)]
            replicas = aggregator.endpoints.replicas(shard)
            assert {each.entry.server: each.entry for each in replicas} == {
                server: each
                for server, each in listed.items()
                if each.cell in cells and each.state is ServerState.LIVE
            }
            assert len({each.entry.server for each in replicas}) == len(replicas)
            assert all(aggregator.capsules[each.entry.server] is each for each in replicas)
