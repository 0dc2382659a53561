"""The processor time of following a large endpoint list: in proportion to what is received, whatever its pieces."""

from __future__ import annotations

from collections.abc import Iterator

import orjson
import pytest

from stepknot.decisions import Aggregator
from stepknot.interface import ListKind, ListReceived, ServerState
from stepknot.platform.config import parse_config
from stepknot.platform.discovery import READ_BYTES
from stepknot.platform.endpoint_list import parse_watch_event
from stepknot.platform.service import Service
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
from tests.platform.world import free_port, profile

pytestmark = pytest.mark.measures_time

REPLACED = 0.6  # of the nodes of a fleet
DRAIN_GRACE = 0.25  # seconds, of an archive's deployment


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


class PushedList:
    """A broker with a large fleet, and discovery's stream that replaces six in ten of the nodes, a line a change."""

    def __init__(self) -> None:
        self.rows = [self._row(f"s-{number:08x}", "active") for number in range(LARGE)]
        given = {
            "name": "n0",
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": "127.0.0.1:1",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 1, "full": True, "servers": self.rows},
            "settings": profile(),
        }
        config = parse_config(orjson.dumps(given), "test")
        self.service = Service(config, lambda *_, **__: None, lambda: config)
        self.service.server.close()
        self.parser = WatchParser()
        self.parser.feed(HEAD)
        self.stream = b"".join(chunk(orjson.dumps(line) + b"\n") for line in self._lines())

    def _row(self, node: str, state: str) -> dict[str, object]:
        return {"id": node, "addr": "127.0.0.1:1", "zone": "a", "cell": 0, "state": state}

    def _lines(self) -> Iterator[dict[str, object]]:
        version = 1
        for number in range(int(LARGE * REPLACED)):
            for row in (
                self._row(f"n-{number:08x}", "active"),
                self._row(f"s-{number:08x}", "leaving"),
            ):
                version += 1
                yield {"version": version, "full": False, "servers": [row]}

    def follow(self) -> None:
        """Take the stream as a watch does, with a turn of the loop after each read."""
        for place in range(0, len(self.stream), READ_BYTES):
            for message in self.parser.feed(self.stream[place : place + READ_BYTES]):
                self.service.on_watch_event(parse_watch_event(orjson.loads(message), 0.0))
            self.service.loop.turn()


def test_replacement_of_a_large_fleet_line_by_line_is_known_within_the_drain_grace() -> None:
    """3,840 lines took over eight seconds, in which nodes that drained got parts."""
    assert processor_time(PushedList.follow, PushedList) < DRAIN_GRACE
