"""A large fleet is replaced at one moment, as the sockets of a broker's process show it."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.platform.replaced_fleet import ReplacedFleet

pytestmark = pytest.mark.measures_time

DRAIN_GRACE = 0.25 + 0.05  # seconds, of an archive's deployment, and the allowance of sockets


@pytest.mark.parametrize("lines", [True, False], ids=["a line a change", "one line"])
def test_nodes_that_leave_get_no_part_later_than_the_drain_grace(
    tmp_path: Path, lines: bool
) -> None:
    """New queries were decided on between the reads of the list, and went to nodes that the rest of it drains."""
    fleet = ReplacedFleet(tmp_path, lines)
    try:
        late = fleet.replace()
    finally:
        fleet.close()
    assert max(late, default=0.0) <= DRAIN_GRACE
