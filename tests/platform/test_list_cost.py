"""The processor time of following a large endpoint list: in proportion to what is received, whatever its pieces."""

from __future__ import annotations

import orjson
import pytest

from stepknot.decisions import Aggregator
from stepknot.interface import ListKind, ListReceived, ServerState
from stepknot.platform.watch_parser import WatchParser
from tests.costs import (
    LARGE,
    MAX_RATIO_IN_PROPORTION,
    MAX_RATIO_OF_CONSTANTS,
    SMALL,
    processor_time,
)
from tests.helpers import entry, make_settings
from tests.platform.test_endpoint_list import LIST
from tests.platform.test_watch_parser import HEAD, chunk

pytestmark = pytest.mark.measures_time


def list_line(nodes: int) -> bytes:
    rows = [LIST["servers"][0] | {"id": f"s-{number:08x}"} for number in range(nodes)]  # type: ignore[index]
    return orjson.dumps(LIST | {"servers": rows}) + b"\n"


@pytest.mark.parametrize("piece", [1, 4, 16, 64])
def test_line_in_small_chunks_costs_in_proportion_to_its_length(piece: int) -> None:
    """Each chunk copied and searched the whole incomplete line: a long list stopped the loop for seconds."""

    def parse_cost(nodes: int) -> float:
        line = list_line(nodes)
        cuts = range(0, len(line), piece)
        stream = b"".join(chunk(line[place : place + piece]) for place in cuts)

        def parse(parser: WatchParser) -> None:
            found = parser.feed(HEAD)
            for place in range(0, len(stream), 65536):
                found += parser.feed(stream[place : place + 65536])
            assert found == [line[:-1]]

        return processor_time(parse, WatchParser)

    assert parse_cost(LARGE) < MAX_RATIO_IN_PROPORTION * parse_cost(SMALL)


@pytest.mark.parametrize("changes_per_event", [1, 10, SMALL])
def test_changes_cost_the_same_in_a_fleet_of_any_size(changes_per_event: int) -> None:
    """Each event made the index and the quotas of all nodes anew: nodes that drained got parts for seconds."""

    def change_cost(nodes: int) -> float:
        settings = make_settings(cells=SMALL, reach=3)
        aggregator = Aggregator(settings, 1)
        fleet = [entry(f"s-{number:08x}", number % SMALL) for number in range(nodes)]
        aggregator.handle(100.0, [ListReceived(ListKind.FULL, tuple(fleet))])
        draining = [entry(each.server, each.cell, ServerState.DRAINING) for each in fleet[:SMALL]]
        places = range(0, SMALL, changes_per_event)
        batches = [tuple(draining[place : place + changes_per_event]) for place in places]
        events = [ListReceived(ListKind.CHANGES, batch) for batch in batches]
        return processor_time(lambda given: aggregator.handle(101.0, given), events.copy)

    assert change_cost(LARGE) < MAX_RATIO_OF_CONSTANTS * change_cost(SMALL)
