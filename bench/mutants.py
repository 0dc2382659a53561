"""Plant one defect at a time in a copy of the code and check that its tests fail.

`python bench/mutants.py` plants all of them, `--only` those of some files. The defects are in
`bench/planted_defects`, a module for each package. The checkout is not changed. The exit code is 1
where a defect was not detected.
"""

from __future__ import annotations

import importlib
import os
import pkgutil
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import click

ROOT = Path(__file__).parents[1]
sys.path.insert(0, str(ROOT))

from bench import planted_defects  # noqa: E402
from bench.planted_defects.defect import PlantedDefect  # noqa: E402

TEST_TIMEOUT = 120.0  # seconds for the tests of one defect
DETECTED = "seen"
VERDICTS = {0: "unseen", 1: DETECTED}  # by pytest's exit code


def load_defects() -> list[PlantedDefect]:
    """All defects of all packages, in the order of the packages' names."""
    defects: list[PlantedDefect] = []
    for module in sorted(each.name for each in pkgutil.iter_modules(planted_defects.__path__)):
        if module != "defect":
            defects += importlib.import_module(f"bench.planted_defects.{module}").DEFECTS
    return defects


def plant(defect: PlantedDefect, root: Path) -> str:
    """Replace the defect's piece of code below `root`; returns why it could not be done, or ""."""
    path = root / defect.path
    text = path.read_text()
    found = text.count(defect.original)
    if found != 1:
        return f"its place was found {found} times"
    path.write_text(text.replace(defect.original, defect.replacement))
    return ""


def run_tests(defect: PlantedDefect, root: Path) -> str:
    """Run the defect's tests below `root`; returns the verdict."""
    command = [sys.executable, "-m", "pytest", "-q", "-x", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTHONPATH": str(root)}
    try:
        run = subprocess.run(
            [*command, *defect.tests],
            cwd=root,
            env=environment,
            capture_output=True,
            timeout=TEST_TIMEOUT,
        )
    except subprocess.TimeoutExpired:
        return "pytest did not end"
    return VERDICTS.get(run.returncode, f"pytest ended with {run.returncode}")


def verdict_of(defect: PlantedDefect) -> str:
    """Plant one defect in a temporary copy of the checkout and run its tests there."""
    with tempfile.TemporaryDirectory() as name:
        copy = Path(name)
        for folder in ("stepknot", "tests", "deploy", "bench"):
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / folder, copy / folder, ignore=ignored)
        for file in ("pyproject.toml", "KNOWN-RED.txt"):
            shutil.copy(ROOT / file, copy)
        return plant(defect, copy) or run_tests(defect, copy)


@click.command()
@click.option("--only", default="", help="Only files whose path begins so, such as stepknot/net/.")
@click.option("--jobs", default=4, show_default=True, help="How many at once.")
def main(only: str, jobs: int) -> None:
    """Plant defects and report those that no test detects."""
    defects = [each for each in load_defects() if each.path.startswith(only)]
    detected = 0
    with ThreadPoolExecutor(jobs) as pool:
        for defect, verdict in zip(defects, pool.map(verdict_of, defects), strict=True):
            detected += verdict == DETECTED
            piece = defect.original.strip().splitlines()[0]
            tests = ", ".join(each.rpartition("::")[2] for each in defect.tests)
            click.echo(f"{verdict:<8} {defect.path}: {piece}  ({tests})")
    click.echo(f"{detected} of {len(defects)} defects were seen by their tests")
    sys.exit(0 if detected == len(defects) else 1)


if __name__ == "__main__":
    main()
