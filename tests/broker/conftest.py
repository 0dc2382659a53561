"""Fixtures: a broker with scripted nodes, and a client of the broker."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.broker.scripted import Client, Running, broker


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Running]:
    """A broker with two shards: nodes 0 and 1 hold shard 0, nodes 2 and 3 hold shard 1."""
    with broker(tmp_path, [0, 0, 1, 1]) as running:
        yield running


@pytest.fixture
def client(run: Running) -> Client:
    """A client with its own connection."""
    return Client(run.connect())
