"""Commands that run a broker or check its settings: serve, platform, check, schema, bootstrap-voter."""

from __future__ import annotations

import sys
from dataclasses import asdict, replace
from pathlib import Path

import click
import msgspec
import orjson

from stepknot.cli.group import Command
from stepknot.cli.logs import make_log
from stepknot.cli.options import (
    EXIT_USAGE,
    LOG_LEVELS,
    Address,
    config_argument,
    fail,
    print_problems,
    read_config,
)
from stepknot.config.errors import ConfigError
from stepknot.config.settings import Config, load


@click.command(cls=Command, examples=["stepknot serve deploy/broker.hcl"])
@config_argument
@click.option("--listen", type=Address(), help="Address and port in place of the settings' own.")
@click.option("--log-level", type=LOG_LEVELS, default="info", show_default=True)
def serve(config: Path, listen: tuple[str, int] | None, log_level: str) -> None:
    """Run a broker with the settings in CONFIG until SIGTERM or SIGINT.

    On such a signal it stops accepting, completes the queries in work and exits with 0. SIGHUP reads the graphql
    block again.
    """
    from stepknot.cli.serve import run

    settings = read_config(config)
    if listen:
        settings = replace(settings, listen=listen)
    host, port = settings.listen
    log = make_log(log_level, broker=f"{host}:{port}")
    sys.exit(run(settings, log, lambda: load(config)))


@click.command(cls=Command, examples=["LB_CONFIG=config.json stepknot platform"])
def platform() -> None:
    """Run a broker on the users' platform until SIGTERM.

    The variable LB_CONFIG names its JSON file of settings. SIGHUP reads the file again and follows discovery's address.
    Exit code 2 where the file cannot be read. `python -m stepknot.platform` does the same and loads fewer modules.
    """
    from stepknot.platform.__main__ import main

    sys.exit(main([]))


class SubsetSummary(msgspec.Struct, frozen=True):
    """The `subset` block in the summary of `check`."""

    identity: str
    size: int
    holders: float
    near: float
    zone: str
    tiers: tuple[tuple[str, ...], ...]


class ConfigSummary(msgspec.Struct, frozen=True):
    """What `check` prints of settings that are right."""

    ok: bool
    classes: list[str]
    indices: list[str]
    shards: int
    cells: int
    brokers: int
    subset: SubsetSummary | None  # none: all nodes are used
    box_list: str
    box_list_found: bool

    @classmethod
    def of(cls, config: Config) -> ConfigSummary:
        """Summarize settings."""
        fleet, subset = config.settings, config.subset
        return cls(
            ok=True,
            classes=sorted(fleet.classes),
            indices=sorted(config.indices),
            shards=sum(index.shards for index in config.indices.values()),
            cells=fleet.cells,
            brokers=fleet.instances,
            subset=None
            if subset is None
            else SubsetSummary(
                subset.identity,
                subset.size,
                subset.holders,
                subset.near,
                subset.zone,
                subset.tiers,
            ),
            box_list=str(config.list_file),
            box_list_found=config.list_file.exists(),
        )

    def line(self) -> str:
        """The summary as one line of text."""
        nodes = (
            "all nodes used"
            if self.subset is None
            else f"a subset: {self.subset.size} replicas a shard, as {self.subset.identity}"
        )
        return (
            f"ok: {len(self.classes)} classes, {len(self.indices)} indices with {self.shards} shards "
            f"in {self.cells} cells, {self.brokers} brokers, {nodes}"
        )


@click.command(
    cls=Command,
    examples=["stepknot check deploy/broker.hcl", "stepknot check deploy/broker.hcl --json"],
)
@config_argument
@click.option("--json", "as_json", is_flag=True, help="Print the problems or a summary as JSON.")
def check(config: Path, as_json: bool) -> None:
    """Check the settings in CONFIG and print each problem with file, line and key.

    Exit code 2 where there is a problem.
    """
    try:
        settings = load(config)
    except ConfigError as error:
        if as_json:
            problems = [
                {"file": each.file, "line": each.line, "key": each.key, "expected": each.expected}
                for each in error.problems
            ]
            click.echo(orjson.dumps({"ok": False, "problems": problems}))
        else:
            print_problems(error)
        raise SystemExit(EXIT_USAGE) from None
    summary = ConfigSummary.of(settings)
    click.echo(msgspec.json.encode(summary) if as_json else summary.line())


@click.command(cls=Command, examples=["stepknot schema deploy/broker.hcl > reports.graphql"])
@config_argument
@click.option("--json", "as_json", is_flag=True, help="Print the limits and the SDL as JSON.")
def schema(config: Path, as_json: bool) -> None:
    """Print the GraphQL schema that CONFIG makes: the subgraph's SDL, as a composition takes it."""
    from stepknot.frontends.graphql.sdl import subgraph_sdl

    settings = read_config(config)
    if settings.graphql is None:
        fail(f"{config} has no graphql block")
    sdl = subgraph_sdl(settings.graphql)
    if as_json:
        click.echo(orjson.dumps({"sdl": sdl, "limits": asdict(settings.graphql.limits)}))
    else:
        click.echo(sdl, nl=False)


@click.command("bootstrap-voter", cls=Command, examples=["stepknot bootstrap-voter broker.hcl"])
@config_argument
def bootstrap_voter(config: Path) -> None:
    """Create the state of a lease voter that never voted, in the folder that CONFIG's ownership block names.

    Run it once for each voter, before the fleet's first start. Never run it for a voter that lost its folder: such a
    voter recovers by itself, and a new state would forget what it promised. Exit code 2 where a state is there
    already.
    """
    from stepknot.broker.voter_store import VoterStore

    settings = read_config(config)
    if settings.owners is None or settings.owners.state_folder is None or settings.peers is None:
        fail(f"{config}: this broker is none of the voters of an ownership block")
    name, state = settings.peers.name, settings.owners.state_folder
    try:
        VoterStore(state, settings.owners.settings.fleet, name).bootstrap()
    except OSError as error:
        fail(f"{config}: ownership.state: {error}")
    click.echo(f"{name} may vote; its memory is in {state}")


COMMANDS = (serve, platform, check, schema, bootstrap_voter)
EARLIER_NAMES = {"found": "bootstrap-voter"}
