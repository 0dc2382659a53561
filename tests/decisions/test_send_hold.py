"""How long new attempts wait for changes of the endpoint list."""

from __future__ import annotations

import pytest

from stepknot.decisions.send_hold import MAX_DECISION_HOLD, MAX_WRITE_HOLD, SendHold

pytestmark = pytest.mark.cpu_only

ALLOWANCE = 0.05  # seconds by which the platform extends its time limits
TURN = 0.025  # seconds, after which a turn of the platform's loop ends
DRAIN_GRACE = 0.25  # seconds, the shortest of the platform's deployments
HOLD = 1 / 16  # seconds


def test_attempts_wait_while_changes_are_unread() -> None:
    hold = SendHold(HOLD)
    waits = [
        hold.should_wait(turn, 10.0, unread) for turn, unread in enumerate((True, True, False))
    ]
    assert waits == [True, True, False]


def test_hold_ends_for_a_turn_within_the_allowance_and_begins_again() -> None:
    """Changes without end must not stop the instance."""
    hold = SendHold(HOLD)
    step = HOLD / 4
    waits = [hold.should_wait(turn, 10.0 + turn * step, True) for turn in range(10)]
    assert waits == [True] * 4 + [False] + [True] * 4 + [False]
    assert MAX_DECISION_HOLD + TURN <= ALLOWANCE and MAX_WRITE_HOLD < DRAIN_GRACE


def test_time_without_unread_changes_does_not_count() -> None:
    hold = SendHold(HOLD)
    assert hold.should_wait(1, 10.0, True)
    assert not hold.should_wait(2, 10.0 + HOLD / 2, False)
    assert hold.should_wait(3, 10.0 + HOLD, True)


def test_turn_without_a_question_ends_a_hold() -> None:
    """The hold went on while nothing was to be sent: the next one was over at once."""
    hold = SendHold(HOLD)
    assert hold.should_wait(1, 10.0, True)
    assert hold.should_wait(3, 10.0 + 2 * HOLD, True)
