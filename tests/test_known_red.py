"""What KNOWN-RED.txt lists is left out of a run; it must exist, and nothing else may be left out."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import parse_known_red, read_known_red

pytestmark = pytest.mark.cpu_only

ROOT = Path(__file__).parent.parent


def test_entries_that_begin_with_a_tests_id_are_read() -> None:
    text = """Faults that a test shows, such as tests/net/test_a.py::test_b: not an entry.

review/1/run.sh: no test of the suite.
tests/net/test_loop.py::test_one: red in 1 of 2 runs.
  tests/net/test_loop.py::test_two: a continued line.
tests/platform/test_nodes.py::test_three[a: b]: red.
"""
    assert parse_known_red(text) == [
        "tests/net/test_loop.py::test_one",
        "tests/platform/test_nodes.py::test_three[a: b]",
    ]


def test_listed_tests_exist() -> None:
    for test in read_known_red():
        path, _, name = test.partition("::")
        function = name.partition("[")[0]
        assert f"def {function}(" in (ROOT / path).read_text(encoding="utf-8")
