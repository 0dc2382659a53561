"""The command `scale-test`: faults on real brokers among simulated members and nodes."""

from __future__ import annotations

import signal
import sys
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from stepknot.cli.group import Command, RenamedOption, takes_options
from stepknot.cli.options import (
    CONFIG_FILE,
    EXIT_UNHEALTHY,
    Duration,
    fail,
    out_option,
    print_progress,
    seed_option,
)


@dataclass(frozen=True, slots=True)
class ScaleTestOptions:
    """Options of `scale-test`."""

    brokers: int
    members: int
    nodes: int
    shards: int
    seconds: float
    seed: int
    rate: float
    heartbeat_interval: float
    max_pause: float
    voters: str
    start_within: float
    send_rate: int | None
    out: Path
    json_file: Path | None
    config_extra: Path | None
    model: bool


@click.command(
    "scale-test",
    cls=Command,
    examples=["stepknot scale-test --brokers 3 --members 200 --json scale.json"],
)
@click.option(
    "--brokers",
    cls=RenamedOption,
    earlier=["--real"],
    type=click.IntRange(3, 9),
    default=3,
    show_default=True,
    help="Real brokers, a process each.",
)
@click.option(
    "--members",
    type=click.IntRange(12, 1000),
    default=100,
    show_default=True,
    help="Simulated members.",
)
@click.option("--nodes", type=click.IntRange(12, 400), default=24, show_default=True)
@click.option("--shards", type=click.IntRange(4, 1024), default=12, show_default=True)
@click.option(
    "--seconds",
    type=click.FloatRange(min=5.0),
    default=180.0,
    show_default=True,
    help="Bound on the whole run; what is not reached by then is reported so.",
)
@seed_option
@click.option(
    "--rate",
    type=click.FloatRange(min=1.0),
    default=20.0,
    show_default=True,
    help="Queries a second.",
)
@click.option(
    "--heartbeat-interval",
    cls=RenamedOption,
    earlier=["--period"],
    type=Duration(),
    default="500ms",
    show_default=True,
    help="Interval of membership's heartbeats.",
)
@click.option(
    "--max-pause",
    cls=RenamedOption,
    earlier=["--pause"],
    type=Duration(),
    default="5s",
    show_default=True,
    help="How long a member may stall and stay a member.",
)
@click.option(
    "--voters",
    type=click.Choice(["0", "3", "5", "7"]),
    default="0",
    show_default=True,
    help="Lease voters, three of them real brokers; 0 switches leases off.",
)
@click.option(
    "--start-within",
    type=Duration(),
    default="1s",
    show_default=True,
    help="Time over which all members start.",
)
@click.option(
    "--send-rate",
    type=click.IntRange(min=500),
    help="Bytes a second that a member may send.  "
    "[default: membership's own, scaled to the heartbeat interval]",
)
@out_option("scale-out")
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write all figures to this file.",
)
@click.option(
    "--config-extra",
    type=CONFIG_FILE,
    help="HCL for the end of each real broker's settings; {name} is its name.",
)
@click.option(
    "--model/--no-model", default=True, show_default=True, help="Run the model beside it."
)
@takes_options(ScaleTestOptions)
def scale_test(options: ScaleTestOptions) -> None:
    """Inject faults into real brokers among simulated members and nodes, and measure the control traffic.

    Steps: start of all, a crash of some members, a stall, a network cut, a zone's loss and return, a rolling restart
    of the brokers. Exit code 1 where a rule was broken or a step's end not reached, 2 where the machine has too
    little memory or descriptors.
    """
    from stepknot.simulation.scale_plan import Machine, ScalePlan, refusal
    from stepknot.simulation.scale_report import table
    from stepknot.simulation.scale_run import run_scale

    plan = ScalePlan(
        options.out,
        options.brokers,
        options.members,
        options.nodes,
        options.shards,
        options.seconds,
        options.seed,
        options.rate,
        period=options.heartbeat_interval,
        pause=options.max_pause,
        start_within=options.start_within,
        voters=int(options.voters),
        send_rate=options.send_rate or 0,
        extra=options.config_extra.read_text() if options.config_extra is not None else "",
    )
    problem = refusal(plan, Machine.here())
    if problem:
        fail(problem)
    signal.signal(signal.SIGTERM, exit_by_signal)
    result = run_scale(plan, print_progress, options.model)
    if options.json_file is not None:
        text = msgspec.json.format(msgspec.json.encode(result), indent=1)
        options.json_file.write_bytes(text + b"\n")
    click.echo(table(result))
    raise SystemExit(0 if result.good else EXIT_UNHEALTHY)


def exit_by_signal(number: int, _frame: object) -> None:
    """Leave by an exception, so that the processes that were started are ended first."""
    sys.exit(128 + number)


COMMANDS = (scale_test,)
EARLIER_NAMES = {"scale": "scale-test"}
