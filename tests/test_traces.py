"""Behaviour of the decision packages in seeded runs is what was recorded."""

from __future__ import annotations

import pytest

from bench.traces import package_names, run

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("package", package_names())
def test_a_seeded_run_has_the_recorded_digest(package: str) -> None:
    trace, expected = run(package)
    assert trace.digest() == expected
