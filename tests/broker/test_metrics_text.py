"""The names, types and help texts of all metrics must stay as recorded, as dashboards depend on them."""

from __future__ import annotations

import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from pathlib import Path

import pytest

from stepknot.simulation.fleet import Fleet

RECORDED = Path(__file__).parent / "metrics_comments.txt"


@pytest.fixture
def broker_url(tmp_path: Path) -> Iterator[str]:
    """The URL of a broker whose settings have every block that adds metrics."""
    fleet = Fleet.plan(tmp_path, 1, 3, 100, cells=3, work_ms=0.5, with_peers=True)
    fleet.settings = {"admission": "  enabled = true"}
    broker = fleet.brokers[0]
    broker.owners = {"voters": ["b0", "b1", "b2"], "state": "votes-b0"}
    broker.subset = {"size": 3}
    fleet.write_settings()
    command = [sys.executable, "-m", "stepknot", "bootstrap-voter", str(tmp_path / "broker-0.hcl")]
    subprocess.run(command, check=True, capture_output=True, timeout=30)
    try:
        fleet.start(lambda text: None)
        yield broker.url
    finally:
        fleet.stop()


def test_names_types_and_help_texts_of_metrics_are_the_recorded_ones(broker_url: str) -> None:
    with urllib.request.urlopen(f"{broker_url}/metrics", timeout=10) as response:
        lines = response.read().decode().splitlines()
    assert [line for line in lines if line.startswith("#")] == RECORDED.read_text().splitlines()
