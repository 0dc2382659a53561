"""Commands for trials on one machine: demo, stand-in-node, fault-day, audit."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

import click
import orjson

from stepknot.cli.group import Command, RenamedOption, takes_options
from stepknot.cli.options import (
    CONFIG_FILE,
    EXIT_UNHEALTHY,
    Address,
    config_argument,
    fail,
    out_option,
    print_progress,
    read_config,
    seed_option,
)
from stepknot.config.errors import ConfigError

BROKERS = click.option("--brokers", type=int, default=2, show_default=True)
NODES = click.option(
    "--nodes",
    cls=RenamedOption,
    earlier=["--boxes"],
    type=int,
    default=12,
    show_default=True,
    help="Stand-in nodes.",
)


@dataclass(frozen=True, slots=True)
class StandInNodeOptions:
    """Arguments and options of `stand-in-node`."""

    config: Path
    listen: tuple[str, int]
    control: int
    cell: int
    zone: str
    documents: int
    work_ms: float
    cores: int
    cold: bool
    seed: int
    record: Path | None


@click.command("stand-in-node", cls=Command)
@config_argument
@click.option("--listen", type=Address(), required=True, help="Where brokers reach it.")
@click.option(
    "--control", type=int, required=True, help="Port of its control socket, which takes faults."
)
@click.option("--cell", type=int, required=True, help="The cell whose shards it holds.")
@click.option("--zone", default="", help="The zone that it is in.")
@click.option(
    "--documents",
    type=int,
    default=100_000,
    show_default=True,
    help="Documents of the whole corpus.",
)
@click.option(
    "--work-ms", type=float, default=4.0, show_default=True, help="Modelled work of a part."
)
@click.option("--cores", type=int, default=2, show_default=True)
@click.option(
    "--cold", is_flag=True, help="Start cold: slow at first, and it fails under too much load."
)
@click.option("--seed", type=int, default=0)
@click.option(
    "--record",
    cls=RenamedOption,
    earlier=["--tap"],
    type=click.Path(path_type=Path),
    help="Record what its sockets receive and send in this file.",
)
@takes_options(StandInNodeOptions)
def stand_in_node(options: StandInNodeOptions) -> None:
    """Run a stand-in node: a small search engine that holds the shards of its cell and fails on command.

    Faults: POST {"kind": "hang", "seconds": 5} to the control socket. Kinds: crash, hang, fail_fast (share), slow
    (factor), pause, reset, cut, garbage, refuse, lost, huge, clear; "agent" limits a fault to one broker's port.
    """
    from stepknot.simulation.stand_in_node import BoxPlan, run_box

    plan = BoxPlan(
        options.listen[0],
        options.listen[1],
        options.control,
        options.cell,
        options.zone,
        options.documents,
        options.work_ms / 1000,
        options.cores,
        cold=options.cold,
        seed=options.seed,
        tap=options.record,
    )
    code = run_box(
        read_config(options.config),
        plan,
        lambda each: print(
            f'{{"box": "{each.address}", "documents": {sum(map(len, each.shards.values()))}}}',
            flush=True,
        ),
    )
    sys.exit(code)


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """Options of `demo`."""

    port: int
    seconds: float | None
    documents: int
    brokers: int
    nodes: int


@click.command(
    cls=Command,
    examples=[
        "stepknot demo &",
        "curl 'localhost:9200/reports/_search?size=3' -H 'content-type: application/json' \\",
        """     -d '{"query": {"match": {"title": "gambit"}}}'""",
    ],
)
@click.option(
    "--port",
    type=int,
    default=9200,
    show_default=True,
    help="First broker's port; 0 takes free ones.",
)
@click.option("--seconds", type=float, help="End after this long; default: at a signal.")
@click.option("--documents", type=int, default=100_000, show_default=True)
@BROKERS
@NODES
@takes_options(DemoOptions)
def demo(options: DemoOptions) -> None:
    """Start two brokers and twelve stand-in nodes in two zones with a made-up corpus, and serve.

    Prints one JSON line {"brokers": [urls]} on standard output when all are ready.
    """
    from stepknot.simulation.fleet import run_demo

    code = run_demo(
        options.port,
        options.seconds,
        options.documents,
        options.brokers,
        options.nodes,
        print_progress,
        click.echo,
    )
    sys.exit(code)


@dataclass(frozen=True, slots=True)
class FaultDayOptions:
    """Arguments and options of `fault-day`."""

    script: Path | None
    out: Path
    seconds: float | None
    rate: float | None
    seed: int
    brokers: int
    nodes: int
    documents: int
    journal: Path | None
    journal_day: str
    as_json: bool


@click.command(
    "fault-day", cls=Command, examples=["stepknot fault-day --seconds 20 --rate 60 --out /tmp/day"]
)
@click.argument("script", type=CONFIG_FILE, required=False)
@out_option("day-out")
@click.option("--seconds", type=float, help="Length of the day.  [default: the script's, or 30]")
@click.option("--rate", type=float, help="Queries a second.  [default: the script's, or 40]")
@seed_option
@BROKERS
@NODES
@click.option("--documents", type=int, default=6_000, show_default=True)
@click.option(
    "--journal", type=CONFIG_FILE, help="Replay the faults of a bench day from this journal entry."
)
@click.option("--journal-day", default="", help="Which of its days.  [default: the first]")
@click.option("--json", "as_json", is_flag=True, help="Print the audit as JSON.")
@takes_options(FaultDayOptions)
def fault_day(options: FaultDayOptions) -> None:
    """Inject faults into real processes under traffic, then audit the day.

    SCRIPT is an HCL file of steps; without one, a built-in day has every fault once. Exit code 1 where a rule was
    broken, 2 where the script is wrong.
    """
    from stepknot.simulation import script as scripts
    from stepknot.simulation.day import run_day

    seconds, rate = options.seconds or scripts.SECONDS, options.rate or scripts.RATE
    try:
        if options.journal is not None:
            plan, left_out = scripts.from_journal(
                options.journal, options.journal_day, seconds, rate
            )
            if left_out:
                print_progress(f"not modelled here and left out: {', '.join(left_out)}")
        elif options.script is not None:
            plan = scripts.read_script(options.script, options.seconds, options.rate)
        else:
            plan = scripts.built_in(seconds, rate)
    except ConfigError as error:
        fail(error)
    counts = run_day(
        options.out,
        plan,
        options.brokers,
        options.nodes,
        options.documents,
        options.seed,
        print_progress,
    )
    seen = ", ".join(f"{key} {count}" for key, count in sorted(counts.items()))
    print_progress(f"clients saw: {seen}")
    print_audit(options.out, options.as_json)


@click.command(cls=Command, examples=["stepknot audit day-out"])
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print each rule as JSON.")
def audit(folder: Path, as_json: bool) -> None:
    """Audit the six rules from the records of a fault day in FOLDER.

    Exit code 1 where a rule was broken, 2 where FOLDER has no complete record of a day.
    """
    print_audit(folder, as_json)


def print_audit(folder: Path, as_json: bool) -> None:
    """Audit a day's records, print each rule, and end the command."""
    from stepknot.simulation.audit import Records
    from stepknot.simulation.audit import audit as audit_records

    try:
        reports = audit_records(Records.load(folder))
    except (OSError, StopIteration, ConfigError) as error:
        fail(f"{folder} holds no whole record of a day: {error}")
    if as_json:
        click.echo(orjson.dumps([each.body() for each in reports]))
    else:
        for each in reports:
            near = "-" if each.nearest is None else f"{each.nearest:.3f} {each.unit}"
            verdict = f"BROKEN {each.broken}x" if each.broken else "kept"
            click.echo(f"{each.rule:<28} {verdict:<12} {each.checks:>8} checks   nearest: {near}")
            for breach in each.breaches:
                click.echo(f"    {breach}")
    raise SystemExit(EXIT_UNHEALTHY if any(each.broken for each in reports) else 0)


COMMANDS = (demo, stand_in_node, fault_day, audit)
EARLIER_NAMES = {"box": "stand-in-node", "day": "fault-day"}
