"""Tests of the division of the descriptor limit among its uses."""

from __future__ import annotations

import pytest

from stepknot.admission.descriptors import FIXED_DESCRIPTORS, allocate_descriptors
from stepknot.admission.errors import DescriptorLimitError

pytestmark = pytest.mark.cpu_only


@pytest.mark.parametrize("max_slots", [0, 10, 5000])
@pytest.mark.parametrize("servers", [0, 6, 500, 100_000])
@pytest.mark.parametrize("limit", [64, 128, 256, 1024, 65536, 1_000_000])
def test_descriptor_budgets_never_exceed_the_limit(
    limit: int, servers: int, max_slots: int
) -> None:
    budget = allocate_descriptors(limit, servers, 128, max_slots)
    assert budget.total() <= limit
    assert min(budget.clients, budget.waiting) >= 4 and budget.fixed == FIXED_DESCRIPTORS
    assert budget.servers == servers or budget.servers >= 8


def test_descriptor_limit_too_low_is_rejected() -> None:
    with pytest.raises(DescriptorLimitError, match="at least 52"):
        allocate_descriptors(40, 10, 10)
    assert issubclass(DescriptorLimitError, ValueError)
