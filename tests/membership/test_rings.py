"""Tests of the graph of observers."""

from __future__ import annotations

import random

import pytest

from stepknot.membership.rings import ObserverRings

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("size", [10, 50, 200])
def test_observation_is_mutual_and_every_member_has_observers(size: int) -> None:
    rings = ObserverRings(4)
    for number in range(size):
        rings.add(f"m{number}")
    rng = random.Random(size)
    suspects = {f"m{number}" for number in range(size) if rng.random() < 0.5}
    neighbours = {
        f"m{number}": rings.neighbours_of(f"m{number}", lambda name: name in suspects)
        for number in range(size)
    }
    for name, (nearest, _) in neighbours.items():
        assert all(name in neighbours[other][0] for other in nearest if name not in suspects)
    for name in suspects:  # at least one member that is not suspect still observes each suspect
        assert any(
            name in skipped for other, (_, skipped) in neighbours.items() if other not in suspects
        )
