"""Ids of clients' requests: which come again, and for how long that matters."""

from __future__ import annotations

import pytest

from stepknot.decisions.request_ids import MAX_REMEMBERED, RequestIds

pytestmark = pytest.mark.cpu_only


def test_open_id_is_rejected_and_free_once_it_ended_unsent() -> None:
    ids = RequestIds(10.0)
    assert ids.begin(0.0, "a")
    assert not ids.begin(1.0, "a")
    ids.end(2.0, "a", may_have_run=False)
    assert ids.begin(2.0, "a")


def test_id_that_may_have_run_is_rejected_for_the_retention() -> None:
    ids = RequestIds(10.0)
    assert ids.begin(0.0, "a")
    ids.end(2.0, "a", may_have_run=True)
    assert not ids.begin(2.0, "a") and not ids.begin(11.9, "a")
    assert ids.begin(12.0, "a")


def test_memory_is_bounded_however_many_ids_come() -> None:
    """A client at full speed sends each request under a new id."""
    ids = RequestIds(1e9)
    for number in range(3 * MAX_REMEMBERED):
        assert ids.begin(number, f"r{number}")
        ids.end(number, f"r{number}", may_have_run=True)
    last = 3 * MAX_REMEMBERED
    remembered = [number for number in range(last) if not ids.begin(last, f"r{number}")]
    assert remembered == list(range(last - MAX_REMEMBERED, last))
