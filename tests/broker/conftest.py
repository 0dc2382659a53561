"""One broker over scripted nodes, and a client of it."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.broker.scripted import Client, Running, broker


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Running]:
    """One broker; shards 0 and 1, each held by two nodes (0 and 1; 2 and 3)."""
    with broker(tmp_path, [0, 0, 1, 1]) as running:
        yield running


@pytest.fixture
def client(run: Running) -> Client:
    """A client on a connection of its own."""
    return Client(run.connect())
