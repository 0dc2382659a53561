"""The memory that clients' requests may hold together."""

from __future__ import annotations

import random

import pytest

from stepknot.decisions.memory_budget import (
    MIN_REQUEST_MEMORY,
    SMALL_REQUEST_BYTES,
    MemoryBudget,
    request_memory,
)

pytestmark = pytest.mark.cpu_only

LIMIT = 1_000_000


def test_connections_together_never_hold_more_than_the_limit() -> None:
    """Each was within its bound, and nothing bounded their sum."""
    rng = random.Random(1)
    budget = MemoryBudget(LIMIT)
    held = [0] * 300
    for _ in range(20_000):
        owner, size = rng.randrange(300), rng.choice((0, 500, 5000, 70_000))
        if budget.resize(owner, size):
            held[owner] = size
        counted = sum(max(size - SMALL_REQUEST_BYTES, 0) for size in held)
        assert budget.held == counted <= LIMIT
    for owner in range(300):
        assert budget.resize(owner, 0)
    assert budget.held == 0


def test_small_request_fits_though_nothing_is_left() -> None:
    budget = MemoryBudget(0)
    assert budget.resize("a", SMALL_REQUEST_BYTES)
    assert not budget.resize("a", SMALL_REQUEST_BYTES + 1)


def test_one_connection_leaves_as_much_as_it_holds() -> None:
    budget = MemoryBudget(LIMIT)
    size = SMALL_REQUEST_BYTES
    while budget.resize("greedy", size):
        size += 10_000
    assert budget.held <= LIMIT / 2 + 10_000
    assert budget.resize("other", 65_536)


def test_refused_growth_changes_nothing_and_less_is_always_allowed() -> None:
    budget = MemoryBudget(20_000)
    assert budget.resize("a", 12_000)
    assert not budget.resize("a", 40_000)
    assert budget.held == 12_000 - SMALL_REQUEST_BYTES
    assert budget.resize("b", 9_000)
    assert budget.resize("a", 11_000)  # more than is free, and less than it holds


@pytest.mark.parametrize("used_share", [0.1, 0.6, 0.99, 1.5])
def test_requests_get_a_share_of_the_memory_that_is_left(used_share: float) -> None:
    limit = 192 << 20
    used = int(limit * used_share)
    found = request_memory(limit, used)
    assert found >= MIN_REQUEST_MEMORY
    assert found <= max((limit - used) / 2, MIN_REQUEST_MEMORY)
