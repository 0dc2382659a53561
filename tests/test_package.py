"""The built package's word on what it needs is what the program imports."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
import tomllib
from importlib.metadata import packages_distributions
from pathlib import Path

ROOT = Path(__file__).parent.parent
NOT_SHIPPED = {"stepknot"}


def plain(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


def imported() -> set[str]:
    found: set[str] = set()
    for path in (ROOT / "stepknot").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module and not node.level:
                found.add(node.module.partition(".")[0])
            elif isinstance(node, ast.Import):
                found |= {each.name.partition(".")[0] for each in node.names}
    return found - set(sys.stdlib_module_names) - NOT_SHIPPED


def test_the_extra_names_just_what_the_program_imports_and_each_is_pinned() -> None:
    extra = {
        plain(name)
        for name in tomllib.loads((ROOT / "pyproject.toml").read_text())["project"][
            "optional-dependencies"
        ]["broker"]
    }
    owners = packages_distributions()
    brought = {"lark": "python-hcl2"}  # by another one, and used as that one's way to tell errors
    needed = {plain(brought.get(name, owners[name][0])) for name in imported()}
    assert extra == needed
    pinned = {
        plain(line.partition("==")[0])
        for line in (ROOT / "requirements-broker.txt").read_text().splitlines()
        if "==" in line
    }
    assert extra <= pinned


def test_without_its_libraries_the_command_says_what_to_install() -> None:
    code = (
        "import sys; sys.modules['click'] = None; sys.argv = ['stepknot', 'demo']; "
        "from stepknot.cli.entry import main; main()"
    )
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30, cwd=ROOT
    )
    assert (
        run.returncode == 2 and "stepknot[broker]" in run.stderr and "Traceback" not in run.stderr
    )
