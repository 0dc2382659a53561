"""The processor time of connections to nodes, whatever the size of the fleet."""

from __future__ import annotations

import socket

import pytest

from stepknot.net.loop import Loop
from stepknot.platform.connection_pool import ConnectionPool
from stepknot.platform.endpoint_list import NodeAddress
from tests.costs import LARGE, MAX_RATIO_OF_CONSTANTS, REPEATS, SMALL, processor_time

pytestmark = pytest.mark.measures_time

OPENED = 50  # connections at a time
MAX_CONNECTIONS = REPEATS * OPENED


def make_full_pool(listener: socket.socket, nodes: int) -> ConnectionPool:
    """A pool whose connections are all idle, to nodes that are all at one address."""
    loop = Loop()
    pool = ConnectionPool(loop, 16, 5.0, 0.0, MAX_CONNECTIONS, lambda *_, **__: None)
    host, port = listener.getsockname()
    addresses = [NodeAddress(f"s-{number}", host, port) for number in range(nodes)]
    pool.update_addresses(addresses, is_snapshot=True)
    for address in addresses[:MAX_CONNECTIONS]:
        pool.open(pool.nodes[address.node])
    while not all(each.is_idle for each in pool.connections()):
        loop.turn()
    return pool


def test_opening_a_connection_costs_the_same_in_a_fleet_of_any_size() -> None:
    """Each one that was opened went through all nodes twice: a broker of a large fleet answered too late."""

    def opening_cost(nodes: int) -> float:
        with socket.create_server(("127.0.0.1", 0), backlog=2 * MAX_CONNECTIONS) as listener:
            pool = make_full_pool(listener, nodes)
            node = pool.nodes[f"s-{nodes - 1}"]
            cost = processor_time(
                lambda each: [pool.open(each) for _ in range(OPENED)], lambda: node
            )
            assert pool.count_open() == MAX_CONNECTIONS and not pool.rejected_count
            pool.close()
        return cost

    assert opening_cost(LARGE) < MAX_RATIO_OF_CONSTANTS * opening_cost(SMALL)
