"""The processor time of evicting connections to nodes, whatever the size of the fleet."""

from __future__ import annotations

import pytest

from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine
from stepknot.nodes.connection_pool import ConnectionPool
from stepknot.nodes.exchange import Exchange
from tests.costs import LARGE, MAX_RATIO_OF_CONSTANTS, SMALL, processor_time

pytestmark = pytest.mark.measures_time

CONNECTIONS = 50
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"


def serve(link: Link) -> Coroutine:
    while (yield from link.recv(1024)):
        yield from link.send(RESPONSE)


def make_idle_pool(nodes: int) -> ConnectionPool:
    """A pool that knows these nodes, all of whose connections are idle and lead to one of them."""
    loop = Loop()

    def accept(link: Link, _: object) -> None:
        loop.spawn(serve(link))

    listener = loop.listen("127.0.0.1", 0, accept)
    pool = ConnectionPool(loop, CONNECTIONS, 5.0, 0.0, 1024)
    for number in range(nodes):
        pool.authority(f"s-{number}:9200")
    ended: list[bool] = []
    for _ in range(CONNECTIONS):
        exchange = Exchange(REQUEST, lambda *_: ended.append(True))
        pool.start(f"127.0.0.1:{listener.address[1]}", exchange)
    while len(ended) < CONNECTIONS:
        loop.turn()
    listener.close()
    return pool


def evict_all(pool: ConnectionPool) -> None:
    while pool._evict_idle():
        pass


def test_evicting_a_connection_costs_the_same_in_a_fleet_of_any_size() -> None:
    """Each eviction went through all nodes that were ever listed, for the one that was used least recently."""

    def eviction_cost(nodes: int) -> float:
        return processor_time(evict_all, lambda: make_idle_pool(nodes))

    assert eviction_cost(LARGE) < MAX_RATIO_OF_CONSTANTS * eviction_cost(SMALL)


def test_evicted_connections_are_all_that_were_idle() -> None:
    pool = make_idle_pool(SMALL)
    assert pool.opened == CONNECTIONS and pool._open == CONNECTIONS
    evict_all(pool)
    assert pool._open == 0
