"""Record seeded runs of each decision package and compare their digests: `python bench/traces.py`.

A digest covers what leaves a package: bytes on the wire, actions with their values, state on disk.
It does not contain names of types or fields, so it stays the same while the code is rewritten and
changes where behaviour does. The exit code is 1 where a digest differs from the expected one.
"""

from __future__ import annotations

import importlib
import pkgutil
import sys
import time
from pathlib import Path

import click

sys.path.insert(0, str(Path(__file__).parents[1]))

from bench import trace_packages
from bench.trace_packages.trace import Trace


def package_names() -> list[str]:
    """The packages that have a recorded run."""
    names = (each.name for each in pkgutil.iter_modules(trace_packages.__path__))
    return sorted(name for name in names if name != "trace")


def run(package: str) -> tuple[Trace, str]:
    """Play one package's run; returns its trace and the expected digest."""
    module = importlib.import_module(f"bench.trace_packages.{package}")
    trace = Trace()
    module.record(trace)
    return trace, module.EXPECTED


@click.command()
@click.option("--only", default="", help="Only this package.")
def main(only: str) -> None:
    """Print each package's digest and whether it is the expected one."""
    differing = 0
    for package in package_names():
        if only not in ("", package):
            continue
        began = time.monotonic()
        trace, expected = run(package)
        digest = trace.digest()
        differing += digest != expected
        verdict = "equal" if digest == expected else f"differs from {expected}"
        seconds = time.monotonic() - began
        click.echo(f"{package:<12} {trace.count:>9} values {seconds:6.1f} s  {digest}  {verdict}")
    sys.exit(1 if differing else 0)


if __name__ == "__main__":
    main()
