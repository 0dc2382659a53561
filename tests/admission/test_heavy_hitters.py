"""Tests of the decaying Space-Saving counters against exact counts."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest

from stepknot.admission.heavy_hitters import HeavyHitters

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("seed", range(6))
def test_counts_are_never_too_low_and_lower_bounds_never_too_high(seed: int) -> None:
    rng, counters, exact, now = random.Random(seed), HeavyHitters(20, 5.0), Counter[bytes](), 50.0
    total = 0.0
    for _ in range(3000):
        passed = rng.choice([0.0, 0.01, 0.2])
        now += passed
        decay = math.exp(-passed / 5.0)
        for key in exact:
            exact[key] *= decay  # type: ignore[assignment]
        total = total * decay + 1
        key = b"k%d" % min(int(rng.expovariate(0.05)), 200)
        counters.add(now, key)
        exact[key] += 1
    for key, count in exact.items():
        assert counters.lower_bound(now, key) <= count + 1e-6
        if count > total / 20:
            assert key in counters
    for top in counters.top(now, 5):
        assert top.count - top.error - 1e-6 <= exact[top.key] <= top.count + 1e-6


def test_weights_that_grow_are_scaled_down() -> None:
    counters = HeavyHitters(4, 1.0)
    for second in range(2000):
        counters.add(float(second), b"a")
    assert 1.0 < counters.lower_bound(1999.0, b"a") < 2.0
    counters.add(1e9, b"b")
    assert counters.lower_bound(1e9, b"a") < 1e-9 and counters.lower_bound(
        1e9, b"b"
    ) == pytest.approx(1.0)
