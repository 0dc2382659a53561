"""`python -m stepknot` is the command line."""

from stepknot.cli.main import cli

cli(prog_name="stepknot")
