"""The graph of observers."""

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
    chance = random.Random(size)
    lost = {f"m{number}" for number in range(size) if chance.random() < 0.5}
    near = {
        f"m{number}": rings.neighbours_of(f"m{number}", lambda name: name in lost)
        for number in range(size)
    }
    for name, (nearest, _) in near.items():
        assert all(name in near[other][0] for other in nearest if name not in lost)
    for name in lost:  # whoever is lost is seen to be by somebody who is not
        assert any(name in between for other, (_, between) in near.items() if other not in lost)
