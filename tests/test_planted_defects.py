"""The planted defects of `bench/planted_defects` can be planted; none may be lost unseen."""

from __future__ import annotations

from pathlib import Path

import pytest

from bench.mutants import load_defects
from bench.planted_defects.defect import PlantedDefect

ROOT = Path(__file__).parent.parent
MIN_DEFECTS = 254

pytestmark = pytest.mark.cpu_only


def test_no_planted_defect_is_lost() -> None:
    assert len(load_defects()) >= MIN_DEFECTS


@pytest.mark.parametrize("defect", load_defects(), ids=lambda defect: defect.path)
def test_a_planted_defect_finds_its_place_once(defect: PlantedDefect) -> None:
    assert (ROOT / defect.path).read_text().count(defect.original) == 1


@pytest.mark.parametrize("defect", load_defects(), ids=lambda defect: defect.path)
def test_a_planted_defects_tests_exist(defect: PlantedDefect) -> None:
    for test in defect.tests:
        path, _, function = test.partition("::")
        assert (ROOT / path).exists()
        assert not function or f"def {function}(" in (ROOT / path).read_text()
