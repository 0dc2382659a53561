"""Fixtures shared by the tests of the broker: a small fleet of real processes on loopback, started once."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from stepknot.simulation.fleet import Fleet

DOCUMENTS = 2_000

settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)  # the same verdict every run
settings.load_profile("repeatable")


@pytest.fixture(scope="session")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    """Two brokers, six boxes in three cells and two zones; nobody injects faults here."""
    assert "PYTEST_XDIST_WORKER" not in os.environ, "a test marked cpu_only asks for processes"
    folder: Path = tmp_path_factory.mktemp("fleet")
    fleet = Fleet.plan(folder, brokers=2, boxes=6, documents=DOCUMENTS, cells=3, work_ms=0.5)
    fleet.start(lambda text: None)
    yield fleet
    fleet.stop()
