"""The decision module's size and shape, and what it must not know."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = (ROOT / "stepknot/logic.py").read_text()


def test_the_decision_module_stays_readable() -> None:
    assert len([line for line in MODULE.splitlines() if line.strip()]) <= 610
    for path in (ROOT / "stepknot").glob("*.py"):
        assert max(map(len, path.read_text().splitlines())) <= 110, path
    assert "stepknot/interface.py" in MODULE.split('"""')[1]


def test_the_library_knows_no_deployment() -> None:
    words = (
        "tische|muenchen|gandhinagar|archive|colombo|brettwerk|halle|gnr|ahd|infocity|ranking|lookup|"
        "report|term-report|lecture|history|transfer|statement|wuerfel|narmada|sabarmati|kutch|cairo|regina|nasr|maadi|stock|reserve|"
        "wide-|slot-|book-|saskatoon|brandon|moose|north-|south-|std-|slow-|small-"
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
        assert not re.search(
            r"^\s*(import|from) (time|datetime|os|secrets)\b", text, re.MULTILINE
        ), name
        assert set(re.findall(r"\brandom\.\w+", text)) <= {
            "random.Random",
            "random.choice",
            "random.uniform",
            "random.random",
        }, name


def test_no_other_file_holds_a_tuned_value_or_computes() -> None:
    for name in ("records.py", "interface.py", "benchlink.py"):
        tree = ast.parse((ROOT / "stepknot" / name).read_text())
        numbers = {
            node.value
            for node in ast.walk(tree)
            if isinstance(node, ast.Constant) and type(node.value) in (int, float)
        }
        assert numbers <= {-1, 0, 1, 1_000_000_000}, f"{name}: {numbers}"
    records = ast.parse((ROOT / "stepknot/records.py").read_text())
    assert not any(isinstance(node, ast.FunctionDef) for node in ast.walk(records))
