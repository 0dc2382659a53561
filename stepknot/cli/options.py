"""Types of options, and options that several commands have."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any, NoReturn

import click

from stepknot.config.errors import ConfigError, SettingError
from stepknot.config.readers import address, duration
from stepknot.config.settings import Config, load

EXIT_UNHEALTHY = 1  # what was checked or audited is not well
EXIT_USAGE = 2  # the call or the settings are wrong, or nothing answers

CONFIG_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)
LOG_LEVELS = click.Choice(["debug", "info", "error"])


class Address(click.ParamType[tuple[str, int]]):
    """`HOST:PORT`, or a port alone, as in the settings."""

    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, int]:
        """Read an address; a default is one already."""
        try:
            return address(value) if isinstance(value, str) else value
        except SettingError as error:
            self.fail(str(error), param, ctx)


class Duration(click.ParamType[float]):
    """A time such as `250ms` or `2s`, or a number of seconds."""

    name = "duration"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        """Read a duration into seconds."""
        try:
            return duration(value)
        except SettingError as error:
            self.fail(str(error), param, ctx)


class FailingShare(click.ParamType[float]):
    """A condition such as `failing>2%`: the share of failed queries above which to halt."""

    name = "failing>SHARE"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        """Read the share, between 0 and 1."""
        text = value.removeprefix("failing>") if isinstance(value, str) else ""
        percent = 100
        try:
            share = float(text.removesuffix("%")) / (percent if text.endswith("%") else 1)
        except ValueError:
            share = -1.0
        if text == value or not 0 <= share <= 1:
            self.fail("expected 'failing>2%' or 'failing>0.02'", param, ctx)
        return share


config_argument = click.argument("config", type=CONFIG_FILE)
admin_argument = click.argument("admin", type=Address())
json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print the broker's answer as JSON, unchanged."
)
seed_option = click.option(
    "--seed", type=int, default=1, show_default=True, help="Of the traffic and of who gets a fault."
)


def watch_option(minimum: float | None = 0.1) -> Callable[[Any], Any]:
    """`--watch SECONDS`, at least `minimum`."""
    return click.option(
        "--watch",
        type=click.FloatRange(min=minimum) if minimum is not None else float,
        help="Query again every so many seconds until interrupted.",
    )


def out_option(default: str) -> Callable[[Any], Any]:
    """`--out FOLDER` of a trial."""
    return click.option(
        "--out",
        type=click.Path(path_type=Path),
        default=Path(default),
        show_default=True,
        help="Folder for records, logs and settings.",
    )


def read_config(path: Path) -> Config:
    """Read a settings file; end the command with exit code 2 and all problems where it is wrong."""
    try:
        return load(path)
    except ConfigError as error:
        print_problems(error)
        raise SystemExit(EXIT_USAGE) from None


def print_problems(error: ConfigError) -> None:
    """Print each problem of a settings file with file, line and key on standard error."""
    for problem in error.problems:
        click.echo(f"error: {problem}", err=True)


def fail(text: object, code: int = EXIT_USAGE) -> NoReturn:
    """Print an error on standard error and end the command."""
    click.echo(f"error: {text}", err=True)
    raise SystemExit(code) from None


def print_progress(text: str) -> None:
    """Print a line about long work on standard error."""
    click.echo(text, err=True)
