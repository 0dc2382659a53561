"""The processor time of events about one query or one server, whatever else is in flight."""

from __future__ import annotations

import pytest

from stepknot.decisions import Aggregator
from stepknot.interface import (
    ListKind,
    ListReceived,
    PartArrived,
    QueryArrived,
    QueryGone,
    SetTimer,
    TimerDue,
)
from tests.costs import LARGE, MAX_RATIO_IN_PROPORTION, SMALL, processor_time
from tests.helpers import START, entry, limits, make_settings

pytestmark = pytest.mark.measures_time


def make_busy_aggregator(count: int) -> tuple[Aggregator, list[SetTimer]]:
    """An aggregator with so many servers and queries, a part of each query at a server of its own; its timers."""
    settings = make_settings(cells=count, limits=limits(second_copies=False))
    aggregator = Aggregator(settings, 1)
    fleet = tuple(entry(f"s-{number}", number) for number in range(count))
    aggregator.handle(START, [ListReceived(ListKind.FULL, fleet)])
    actions = []
    for number in range(count):
        query = QueryArrived(number, number, "all", START + 3.0)
        actions += aggregator.handle(START, [query, PartArrived(number, number, number, 1.0)])
    assert len(aggregator.attempts) == count
    return aggregator, [action for action in actions if isinstance(action, SetTimer)]


def test_disconnects_of_all_clients_cost_in_proportion_to_their_number() -> None:
    """Each event went through all queries for the one whose client had disconnected."""

    def disconnect_cost(count: int) -> float:
        events = [QueryGone(number) for number in range(count)]
        return processor_time(
            lambda aggregator: aggregator.handle(START, list(events)),
            lambda: make_busy_aggregator(count)[0],
        )

    assert disconnect_cost(LARGE) < MAX_RATIO_IN_PROPORTION * disconnect_cost(SMALL)


def test_unresponsive_servers_cost_in_proportion_to_their_number() -> None:
    """Each timer of an unresponsive server went through all attempts for those at this server."""

    def timers_cost(count: int) -> float:
        def fire(given: tuple[Aggregator, list[SetTimer]]) -> None:
            aggregator, timers = given
            due = [TimerDue(timer.token) for timer in timers if timer.at <= START + 0.9]
            aggregator.handle(START + 0.9, due)  # before the queries' waits end
            assert len(aggregator.attempts) == count

        return processor_time(fire, lambda: make_busy_aggregator(count))

    assert timers_cost(LARGE) < MAX_RATIO_IN_PROPORTION * timers_cost(SMALL)
