"""A short soak: some seeds of `tests.platform.soak`, whose long run is started by hand."""

from __future__ import annotations

import pytest

from tests.platform.soak import run_seed

pytestmark = pytest.mark.measures_time

# With a crowd at each broker, with large crowds, without one, and with three brokers.
SEEDS = (1, 6, 9, 11, 12)


@pytest.mark.parametrize("seed", SEEDS)
def test_fleet_keeps_the_rules_through_signals_faults_and_crowds(seed: int) -> None:
    report = run_seed(seed)
    assert report.counts["answered 200"] > 300
    assert not report.faults
