"""Shares of the code by non-blank lines: `python bench/shares.py [--since REV]`.

Heart: decisions, routing, membership, state, and the code that carries them out. Stand-ins and auditing: the
laboratory. Tests. The rest: fronts, framing, settings, command line, measurements.
"""

from __future__ import annotations

import subprocess
from collections import Counter

import click

HEART = (
    "stepknot/decisions/",
    "stepknot/interface.py",
    "stepknot/benchlink.py",
    "stepknot/broker/",
    "stepknot/nodes/",
    "stepknot/discovery/",
    "stepknot/search/",
    "stepknot/zones/",
    "stepknot/admission/",
    "stepknot/membership/",
    "stepknot/leases/",
    "stepknot/subsets/",
    "stepknot/net/loop.py",
    "stepknot/platform/connection_pool.py",
    "stepknot/platform/discovery.py",
    "stepknot/platform/endpoint_list.py",
    "stepknot/platform/node_connection.py",
    "stepknot/platform/nodes.py",
    "stepknot/platform/watch_parser.py",
    "stepknot/platform/write_queue.py",
)


def kind(path: str) -> str:
    if path.startswith("tests/"):
        return "tests"
    if path.startswith("stepknot/simulation/"):
        return "stand-ins"
    return "heart" if path.startswith(HEART) else "rest"


@click.command()
@click.option("--since", help="Count lines added since this revision instead of all.")
def main(since: str | None) -> None:
    counts: Counter[str] = Counter()
    if since:
        out = subprocess.run(
            ["git", "diff", "--numstat", since, "--", "*.py"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for line in out.splitlines():
            added, _, path = line.split("\t")
            counts[kind(path)] += int(added)
    else:
        files = subprocess.run(
            ["git", "ls-files", "*.py"], capture_output=True, text=True, check=True
        ).stdout
        for path in files.split():
            with open(path) as file:
                counts[kind(path)] += sum(bool(line.strip()) for line in file)
    total, tests = sum(counts.values()), counts["tests"]
    for name in ("heart", "stand-ins", "rest", "tests"):
        of = total if name in ("tests", "stand-ins") else total - tests
        words = "of all" if of == total else "of what is not tests"
        click.echo(f"{name:<10} {counts[name]:>6} lines  {counts[name] / max(of, 1):>5.0%} {words}")


if __name__ == "__main__":
    main()
