"""The decision module's size and shape, and what it must not know."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = (ROOT / "stepknot/logic.py").read_text()


def test_the_decision_module_stays_readable() -> None:
    assert len([line for line in MODULE.splitlines() if line.strip()]) <= 400
    for path in (ROOT / "stepknot").glob("*.py"):
        assert max(map(len, path.read_text().splitlines())) <= 110, path
    assert "stepknot/interface.py" in MODULE.split('"""')[1]


def test_the_library_knows_no_deployment() -> None:
    words = (
        "tische|muenchen|gandhinagar|archive|colombo|brettwerk|halle|gnr|ahd|infocity|ranking|lookup|"
        "report|term-report|lecture|history|transfer|statement|wuerfel|narmada|sabarmati|kutch"
    )
    for path in (ROOT / "stepknot").glob("*.py"):
        found = set(re.findall(rf"['\"](?:{words})[^'\"]*['\"]", path.read_text()))
        assert not found, f"{path}: {found}"


def test_the_adapter_is_the_only_file_with_the_wire_in_it() -> None:
    for name in ("logic.py", "interface.py"):
        text = (ROOT / "stepknot" / name).read_text()
        assert not re.search(r"-ns\b|RELAY|ASSEMBLE|NOT_NOW|deduplicated|at_most_once", text), name


def test_no_second_clock_and_no_second_source_of_chance() -> None:
    for name in ("logic.py", "interface.py"):
        text = (ROOT / "stepknot" / name).read_text()
        assert not re.search(r"^\s*(import|from) (time|datetime|os|secrets)\b", text, re.MULTILINE), name
        assert set(re.findall(r"\brandom\.\w+", text)) <= {
            "random.Random",
            "random.choice",
            "random.uniform",
            "random.random",
        }, name
