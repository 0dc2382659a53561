"""Fixtures shared by the tests of the broker: a small fleet of real processes on loopback, started once."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from stepknot.lab.fleet import Fleet

DOCUMENTS = 2_000


@pytest.fixture(scope="session")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Two brokers, six boxes in three cells and two zones; nobody injects faults here."""
    folder: Path = tmp_path_factory.mktemp("fleet")
    fleet = Fleet.plan(folder, brokers=2, boxes=6, documents=DOCUMENTS, cells=3, work_ms=0.5)
    fleet.start(lambda text: None)
    yield fleet
    fleet.stop()
