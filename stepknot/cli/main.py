"""`stepknot`: the group of all commands.

Exit codes: 0 all well; 1 what was checked or audited is not well; 2 the call or the settings are wrong.
"""

from __future__ import annotations

import click

from stepknot import __version__
from stepknot.cli import admin_commands, broker_commands, scale_command, trial_commands
from stepknot.cli.group import CommandGroup

HELP = """An aggregator: spreads search queries over shards and merges the answers.

\b
Try it:          stepknot demo
Run it:          stepknot check broker.hcl && stepknot serve broker.hcl
Watch it:        stepknot zones 127.0.0.1:9300
Inject faults:   stepknot fault-day --seconds 30 && stepknot audit day-out
"""


@click.group(cls=CommandGroup, help=HELP, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """Begin the command line; all work is done by the commands."""


cli.add_section("Run a broker", broker_commands.COMMANDS, broker_commands.EARLIER_NAMES)
cli.add_section(
    "Show and control a running broker", admin_commands.COMMANDS, admin_commands.EARLIER_NAMES
)
cli.add_section(
    "Trials on one machine",
    (*trial_commands.COMMANDS, *scale_command.COMMANDS),
    trial_commands.EARLIER_NAMES | scale_command.EARLIER_NAMES,
)


if __name__ == "__main__":
    cli()
