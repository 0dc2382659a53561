"""How long new attempts wait for changes of the endpoint list."""

from __future__ import annotations

import pytest

from stepknot.decisions.send_hold import MAX_HOLD, SendHold

pytestmark = pytest.mark.cpu_only

ALLOWANCE = 0.05  # seconds by which the platform extends its time limits


def test_attempts_wait_while_changes_are_unread() -> None:
    hold = SendHold()
    assert [hold.should_wait(10.0, unread) for unread in (True, True, False)] == [True, True, False]


def test_hold_ends_for_a_turn_within_the_allowance_and_begins_again() -> None:
    """Changes without end must not stop the instance."""
    hold = SendHold()
    step = MAX_HOLD / 4
    waits = [hold.should_wait(10.0 + turn * step, True) for turn in range(10)]
    assert waits == [True] * 4 + [False] + [True] * 4 + [False]
    assert MAX_HOLD <= ALLOWANCE


def test_time_without_unread_changes_does_not_count() -> None:
    hold = SendHold()
    assert hold.should_wait(10.0, True)
    assert not hold.should_wait(10.0 + MAX_HOLD / 2, False)
    assert hold.should_wait(10.0 + MAX_HOLD, True)
