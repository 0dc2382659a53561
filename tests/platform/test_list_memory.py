"""The memory of a large fleet's endpoint list, in transit and kept."""

from __future__ import annotations

import gc
import tracemalloc

import orjson

from stepknot.decisions import Aggregator
from stepknot.interface import ListKind
from stepknot.platform.config import parse_config
from stepknot.platform.endpoint_list import parse_watch_event_slices, to_list_event
from stepknot.platform.list_slices import decode_in_slices
from tests.platform.test_discovery import config_of
from tests.platform.test_endpoint_list import LIST
from tests.platform.test_list_slices import NODES, rows
from tests.platform.world import profile

KIB = 1024
# A broker with a limit of 32 MiB needs 20 MiB without a fleet. Half of the rest is for the list.
MAX_KEPT = 1.2 * KIB  # bytes for a listed node
MAX_IN_TRANSIT = 0.6 * KIB  # bytes for a node while a list is decoded, beside what is kept


def test_memory_for_a_listed_node_is_bounded() -> None:
    """Each node kept an empty deque, which has 0.7 KiB, and a list in transit took 1.6 KiB a node."""
    module = Aggregator(parse_config(orjson.dumps(config_of(profile())), "test").settings, 1)
    message = orjson.dumps(LIST | {"servers": rows(NODES)})
    module.handle(5.0, [])
    tracemalloc.start()
    try:
        event = parse_watch_event_slices(decode_in_slices(message), 0.0)
        decoded, peak = tracemalloc.get_traced_memory()
        module.handle(5.0, [to_list_event(event, ListKind.FULL)])
        del event
        gc.collect()
        kept = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert len(module.capsules) == NODES
    assert (peak - decoded) / NODES < MAX_IN_TRANSIT and kept / NODES < MAX_KEPT
