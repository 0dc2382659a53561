"""Entry point of the installed command; without the broker's libraries it prints what to install."""

from __future__ import annotations

import sys

NEEDED = "the command needs the broker's libraries: pip install 'stepknot[broker]'"


def main() -> None:
    """Run the command line; exit code 2 where a library is missing."""
    try:
        from stepknot.cli.main import cli

        cli(prog_name="stepknot")  # loads what its command alone needs
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] == "stepknot":
            raise
        print(f"error: no module {error.name}; {NEEDED}", file=sys.stderr)
        sys.exit(2)
