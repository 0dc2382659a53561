"""`stepknot`: the commands and their options.

Exit codes: 0 all well; 1 what was checked or audited is not well; 2 the call or the settings are wrong.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import quote

import click

from stepknot import __version__
from stepknot.cli.logs import make_log
from stepknot.config.hcl import ConfigError
from stepknot.config.readers import Bad, address, duration
from stepknot.config.settings import Config, load

LEVELS = click.Choice(["debug", "info", "error"])
CONFIG = click.Path(exists=True, dir_okay=False, path_type=Path)


def read_config(path: Path) -> Config:
    """Ends the command with exit code 2 and all problems where the settings are wrong."""
    try:
        return load(path)
    except ConfigError as error:
        for problem in error.problems:
            click.echo(f"error: {problem}", err=True)
        raise SystemExit(2) from None


class Address(click.ParamType[tuple[str, int]]):
    name = "address"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, int]:
        try:
            return address(value) if isinstance(value, str) else value
        except Bad as error:
            self.fail(str(error), param, ctx)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__)
def cli() -> None:
    """An aggregator: spreads search queries over shards and merges the answers.

    \b
    Try it:        stepknot demo
    Run it:        stepknot check broker.hcl && stepknot serve broker.hcl
    See it fail:   stepknot day --seconds 30 && stepknot audit day-out
    """


@cli.command()
@click.argument("config", type=CONFIG)
@click.option("--listen", type=Address(), help="Address and port instead of the settings' own.")
@click.option("--log-level", type=LEVELS, default="info", show_default=True)
def serve(config: Path, listen: tuple[str, int] | None, log_level: str) -> None:
    """Run a broker by the settings in CONFIG until SIGTERM or SIGINT.

    It stops accepting then, ends what it holds and exits with 0. SIGHUP reads the graphql block again.

    \b
    Example: stepknot serve deploy/broker.hcl
    """
    from dataclasses import replace

    from stepknot.cli.serve import run

    settings = read_config(config)
    if listen:
        settings = replace(settings, listen=listen)
    sys.exit(
        run(
            settings,
            make_log(log_level, broker=f"{settings.listen[0]}:{settings.listen[1]}"),
            lambda: load(config),
        )
    )


@cli.command()
def platform() -> None:
    """Run a broker on the users' platform, by the JSON file that the variable LB_CONFIG names, until SIGTERM.

    SIGHUP reads the file again and follows discovery's address. Exit code 2 where the file cannot be read. `python -m
    stepknot.platform` is the same with less loaded, for machines that are small.

    \b
    Example: LB_CONFIG=config.json stepknot platform
    """
    from stepknot.platform.__main__ import main as run

    sys.exit(run([]))


@cli.command()
@click.argument("config", type=CONFIG)
@click.option("--json", "as_json", is_flag=True, help="Print problems or a summary as JSON.")
def check(config: Path, as_json: bool) -> None:
    """Check the settings in CONFIG; tell each problem with file, line and key. Exit code 2 where there is one."""
    import orjson

    try:
        settings = load(config)
    except ConfigError as error:
        if as_json:
            rows = [
                {"file": each.file, "line": each.line, "key": each.key, "expected": each.expected}
                for each in error.problems
            ]
            click.echo(orjson.dumps({"ok": False, "problems": rows}))
        else:
            for problem in error.problems:
                click.echo(f"error: {problem}", err=True)
        raise SystemExit(2) from None
    shards = sum(index.shards for index in settings.indices.values())
    summary = {
        "ok": True,
        "classes": sorted(settings.settings.classes),
        "indices": sorted(settings.indices),
        "shards": shards,
        "cells": settings.settings.cells,
        "brokers": settings.settings.instances,
        "subset": subset_summary(settings),
        "box_list": str(settings.list_file),
        "box_list_found": settings.list_file.exists(),
    }
    if as_json:
        click.echo(orjson.dumps(summary))
    else:
        click.echo(
            f"ok: {len(summary['classes'])} classes, {len(summary['indices'])} indices with {shards} shards "  # type: ignore[arg-type]
            f"in {settings.settings.cells} cells, {settings.settings.instances} brokers, "
            + (
                "all nodes used"
                if settings.subset is None
                else f"a subset: {settings.subset.size} replicas a shard, as {settings.subset.identity}"
            )
        )


def subset_summary(settings: Config) -> dict[str, Any] | None:
    """None where all nodes are used."""
    found = settings.subset
    return (
        None
        if found is None
        else {
            "identity": found.identity,
            "size": found.size,
            "holders": found.holders,
            "near": found.near,
            "zone": found.zone,
            "tiers": found.tiers,
        }
    )


@cli.command()
@click.argument("config", type=CONFIG)
@click.option("--json", "as_json", is_flag=True, help="Print the limits and the SDL as JSON.")
def schema(config: Path, as_json: bool) -> None:
    """Print the GraphQL schema that CONFIG makes: the subgraph's SDL, as composition takes it.

    \b
    Example: stepknot schema deploy/broker.hcl > reports.graphql
    """
    from dataclasses import asdict

    import orjson

    from stepknot.frontends.graphql.sdl import subgraph_sdl

    settings = read_config(config)
    if settings.graphql is None:
        click.echo(f"error: {config} has no graphql block", err=True)
        raise SystemExit(2)
    sdl = subgraph_sdl(settings.graphql)
    click.echo(
        orjson.dumps({"sdl": sdl, "limits": asdict(settings.graphql.limits)}) if as_json else sdl,
        nl=as_json,
    )


@cli.command()
@click.argument("config", type=CONFIG)
@click.option("--listen", type=Address(), required=True, help="Where brokers reach it.")
@click.option(
    "--control",
    type=int,
    required=True,
    help="Port of its control socket: faults are commanded there.",
)
@click.option("--cell", type=int, required=True, help="Which shards it holds: those of this cell.")
@click.option("--zone", default="", help="Where it stands.")
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
    "--cold", is_flag=True, help="Start cold: slow at first, and it falls over if sent too much."
)
@click.option("--seed", type=int, default=0)
@click.option(
    "--tap", type=click.Path(path_type=Path), help="Write what its sockets see to this file."
)
def box(
    config: Path,
    listen: tuple[str, int],
    control: int,
    cell: int,
    zone: str,
    documents: int,
    work_ms: float,
    cores: int,
    cold: bool,
    seed: int,
    tap: Path | None,
) -> None:
    """Run a stand-in box: a small search engine that holds the shards of its cell, and fails on command.

    \b
    Faults: POST {"kind": "hang", "seconds": 5} to the control socket; kinds: crash, hang, fail_fast (share),
    slow (factor), pause, reset, cut, garbage, refuse, lost, huge, clear; "agent" limits one to a broker's port.
    """
    from stepknot.simulation.stand_in_node import BoxPlan, run_box

    plan = BoxPlan(
        listen[0],
        listen[1],
        control,
        cell,
        zone,
        documents,
        work_ms / 1000,
        cores,
        cold=cold,
        seed=seed,
        tap=tap,
    )
    sys.exit(
        run_box(
            read_config(config),
            plan,
            lambda each: print(
                f'{{"box": "{each.address}", "documents": {sum(map(len, each.shards.values()))}}}',
                flush=True,
            ),
        )
    )


@cli.command()
@click.option(
    "--port",
    type=int,
    default=9200,
    show_default=True,
    help="First broker's port; 0 takes free ones.",
)
@click.option("--seconds", type=float, help="End after this long; default: at a signal.")
@click.option("--documents", type=int, default=100_000, show_default=True)
@click.option("--brokers", type=int, default=2, show_default=True)
@click.option("--boxes", type=int, default=12, show_default=True)
def demo(port: int, seconds: float | None, documents: int, brokers: int, boxes: int) -> None:
    """Start two brokers and twelve stand-in boxes in two zones with a made-up corpus, and serve.

    Prints one JSON line {"brokers": [urls]} on standard output when all are ready.

    \b
    Example: stepknot demo &
             curl 'localhost:9200/reports/_search?size=3' -H 'content-type: application/json' \\
                  -d '{"query": {"match": {"title": "gambit"}}}'
    """
    from stepknot.simulation.fleet import run_demo

    sys.exit(run_demo(port, seconds, documents, brokers, boxes, progress(), click.echo))


@cli.command()
@click.argument("admin", type=Address())
@click.option("--json", "as_json", is_flag=True, help="Print what the broker says as it is.")
@click.option("--watch", type=float, help="Ask again every so many seconds until interrupted.")
def zones(admin: tuple[str, int], as_json: bool, watch: float | None) -> None:
    """Show how the broker with the admin socket ADMIN sees its zones: state, tier, rates, bound, ramp, and why.

    \b
    Example: stepknot zones 127.0.0.1:9300 --watch 1
    """
    import time

    import orjson

    from stepknot.cli.admin import ask, zone_table

    while True:
        try:
            found = ask(admin, "/zones")
        except OSError as error:
            click.echo(f"error: no broker answers at {admin[0]}:{admin[1]}: {error}", err=True)
            raise SystemExit(2) from None
        click.echo(orjson.dumps(found) if as_json else zone_table(found))
        if not watch:
            return
        time.sleep(watch)


@cli.command()
@click.argument("admin", type=Address())
@click.option("--json", "as_json", is_flag=True, help="Print what the broker says as it is.")
@click.option(
    "--watch",
    type=click.FloatRange(min=0.1),
    help="Ask again every so many seconds until interrupted.",
)
@click.option("--why", metavar="NAME", help="The evidence for this member's state.")
def peers(admin: tuple[str, int], as_json: bool, watch: float | None, why: str | None) -> None:
    """Show whom the broker with the admin socket ADMIN holds to be a member of its fleet, and how sure it is.

    Exit code 1 where it is isolated or stepped aside, 2 where nothing answers or NAME is unknown.

    \b
    Example: stepknot peers 127.0.0.1:9300 --why b2
    """
    import time

    import orjson

    from stepknot.cli.admin import peer_story, peers_table

    while True:
        found = answer_of(admin, "/peers")
        text = peers_table(found)
        if why is not None:
            story = peer_story(found, why)
            if story is None:
                names = ", ".join(row["name"] for row in found["members"])
                click.echo(f"error: no member {why}; known: {names}", err=True)
                raise SystemExit(2)
            text = story
        click.echo(orjson.dumps(found) if as_json else text)
        if not watch:
            raise SystemExit(1 if found["isolated"] or found["stepped_aside"] else 0)
        time.sleep(watch)


@cli.command()
@click.argument("admin", type=Address())
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print what the broker says as it is, with each node in use.",
)
@click.option(
    "--watch",
    type=click.FloatRange(min=0.1),
    help="Ask again every so many seconds until interrupted.",
)
@click.option(
    "--why", metavar="NODE", help="Why this node, by its address on the list, is or is not in use."
)
def subset(admin: tuple[str, int], as_json: bool, watch: float | None, why: str | None) -> None:
    """Show which nodes of the list the broker with the admin socket ADMIN uses, by zone.

    The broker needs a `subset` block; without one it uses all nodes. Of a zone: its tier (0: the broker's own), nodes
    on the list and live ones, and those in use: warm, cold (with a part of their budget), draining.

    Exit code 1 where a defect has put the whole list in the subset's place, 2 where nothing answers, there is no
    subset, or the list does not name NODE.

    \b
    Example: stepknot subset 127.0.0.1:9300
             stepknot subset 127.0.0.1:9300 --why 10.0.0.7:9200
             stepknot subset 127.0.0.1:9300 --json | jq -r '.held[].server'
    """
    import time

    import orjson

    from stepknot.cli.admin import subset_story, subset_table

    path = "/subset" + (f"?why={quote(why)}" if why is not None else "?held=1" if as_json else "")
    while True:
        found = answer_of(admin, path)
        text = subset_story(found) if found.get("why") else subset_table(found)
        click.echo(orjson.dumps(found) if as_json else text)
        if not watch:
            raise SystemExit(1 if found["off"] else 0)
        time.sleep(watch)


@cli.command()
@click.argument("admin", type=Address())
@click.option("--json", "as_json", is_flag=True, help="Print what the broker says as it is.")
@click.option("--why", metavar="JOB", help="The evidence for who owns this job.")
@click.option(
    "--yield", "job", metavar="JOB", help="Have the broker hand this job over to the next in line."
)
def owner(admin: tuple[str, int], as_json: bool, why: str | None, job: str | None) -> None:
    """Show who owns each job of the fleet, as the broker with the admin socket ADMIN knows it.

    Exit code 1 where a job has no owner, this voter does not vote, or there is nothing to yield; 2 where nothing
    answers or JOB is unknown.

    \b
    Example: stepknot owner 127.0.0.1:9300 --why drains
    """
    import orjson

    from stepknot.cli.admin import ask, owner_story, owner_table

    try:
        if job is not None:
            ask(admin, f"/owner/yield?job={quote(job)}", "POST")
        found = ask(admin, "/owner")
    except OSError as error:
        click.echo(f"error: {admin[0]}:{admin[1]}: {error}", err=True)
        raise SystemExit(1 if "not owned here" in str(error) else 2) from None
    text = owner_table(found)
    if why is not None:
        story = owner_story(found, why)
        if story is None:
            click.echo(
                f"error: no job {why}; known: {', '.join(row['job'] for row in found['jobs'])}",
                err=True,
            )
            raise SystemExit(2)
        text = story
    click.echo(orjson.dumps(found) if as_json else text)
    voter = found["voter"]
    well = all(row["owner"] for row in found["jobs"]) and (voter is None or voter["votes"])
    raise SystemExit(0 if well or job is not None else 1)


@cli.command()
@click.argument("config", type=CONFIG)
def found(config: Path) -> None:
    """Begin the memory of a voter that has never voted, in the folder that CONFIG's ownership block names.

    Once for each voter, before the fleet's first start. Never for a voter that lost its folder: it finds its way back
    by itself, and what is begun anew would forget what it promised. Exit code 2 where a state is there already.

    \b
    Example: stepknot found broker.hcl
    """
    from stepknot.broker.voter_store import VoterStore

    settings = read_config(config)
    if settings.owners is None or settings.owners.state is None or settings.peers is None:
        click.echo(
            f"error: {config}: this broker is none of the voters of an ownership block", err=True
        )
        raise SystemExit(2)
    try:
        VoterStore(
            settings.owners.state, settings.owners.settings.fleet, settings.peers.name
        ).found()
    except OSError as error:
        click.echo(f"error: {config}: ownership.state: {error}", err=True)
        raise SystemExit(2) from None
    click.echo(f"{settings.peers.name} may vote; its memory is in {settings.owners.state}")


class Over(click.ParamType[float]):
    name = "failing>SHARE"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        text = value.removeprefix("failing>") if isinstance(value, str) else ""
        try:
            share = float(text.removesuffix("%")) / (100 if text.endswith("%") else 1)
        except ValueError:
            share = -1.0
        if text == value or not 0 <= share <= 1:
            self.fail("expected 'failing>2%' or 'failing>0.02'", param, ctx)
        return share


class Seconds(click.ParamType[float]):
    name = "duration"

    def convert(self, value: Any, param: Any, ctx: Any) -> float:
        try:
            return duration(value)
        except Bad as error:
            self.fail(str(error), param, ctx)


@cli.command()
@click.argument("admin", type=Address())
@click.option("--zone", help="Drain the boxes of this zone, one after the other.")
@click.option(
    "--at-most",
    type=click.IntRange(1, 16),
    default=1,
    show_default=True,
    help="So many out at once.",
)
@click.option(
    "--every", type=Seconds(), default="5s", show_default=True, help="For so long each is out."
)
@click.option("--pause-if", type=Over(), help="Halt while more queries fail, such as 'failing>2%'.")
@click.option("--force", is_flag=True, help="Also where a box is the last one that holds its data.")
@click.option("--stop", is_flag=True, help="No further step; what is out stays out.")
@click.option("--go-on", is_flag=True, help="Go on after --stop.")
@click.option("--undo", is_flag=True, help="Take all back at once, and end it.")
def drain(
    admin: tuple[str, int],
    zone: str | None,
    at_most: int,
    every: float,
    pause_if: float | None,
    force: bool,
    stop: bool,
    go_on: bool,
    undo: bool,
) -> None:
    """Drain the boxes of a zone in steps, by any broker of the fleet: the one that owns the job does it.

    A drained box gets nothing new; after its time it is taken back, and the next one goes. The drain outlives its
    owner: the next one goes on where the ledger says it stood. Without an option: where it stands. Exit code 1 where
    the order is refused, 2 where nothing answers.

    \b
    Example: stepknot drain 127.0.0.1:9300 --zone a --at-most 1 --every 5s --pause-if 'failing>2%'
             stepknot drain 127.0.0.1:9300 --undo
    """
    import os

    import orjson

    from stepknot.cli.admin import ask, drain_line

    said = [each for each in (zone is not None, stop, go_on, undo) if each]
    if len(said) > 1:
        raise click.UsageError("one of --zone, --stop, --go-on, --undo")
    word: dict[str, Any] = {"stop": stop, "go_on": go_on, "undo": undo}
    if zone is not None:
        word["drain"] = {
            "zone": zone,
            "at_most": at_most,
            "every": every,
            "force": force,
            "failing": 1.0 if pause_if is None else pause_if,
        }
    try:
        if said:
            ask(
                admin,
                f"/owner/order?job=drains&number={os.urandom(8).hex()}",
                "POST",
                orjson.dumps(word),
                60.0,
            )
        found = ask(admin, "/owner")
    except OSError as error:
        click.echo(f"error: {admin[0]}:{admin[1]}: {error}", err=True)
        raise SystemExit(1 if "status 409" in str(error) else 2) from None
    click.echo(drain_line(found["drains"]))


@cli.command()
@click.argument("admin", type=Address())
@click.option("--json", "as_json", is_flag=True, help="Print what the broker says as it is.")
@click.option("--ban", metavar="NETWORK", help="Let nobody in from there, such as 203.0.113.0/24.")
@click.option("--unban", metavar="NETWORK")
@click.option("--allow", metavar="NETWORK", help="Count those from there as known.")
@click.option("--disallow", metavar="NETWORK")
@click.option("--seconds", type=float, help="For so long.  [default: until it is taken back]")
def admission(
    admin: tuple[str, int],
    as_json: bool,
    ban: str | None,
    unban: str | None,
    allow: str | None,
    disallow: str | None,
    seconds: float | None,
) -> None:
    """Show whom the broker with the admin socket ADMIN lets in: budgets, decisions and why, and who does most.

    Bans and allowances are kept over a restart where the settings name a `state` file.

    \b
    Example: stepknot admission 127.0.0.1:9300 --ban 203.0.113.0/24 --seconds 600
    """
    from urllib.parse import urlencode

    import orjson

    from stepknot.cli.admin import admission_table, ask

    found: dict[str, Any] = {}
    try:
        for change, network in (
            ("ban", ban),
            ("unban", unban),
            ("allow", allow),
            ("disallow", disallow),
        ):
            if network is not None:
                query = urlencode(
                    {"network": network} | ({"seconds": seconds} if seconds is not None else {})
                )
                found = ask(admin, f"/admission/{change}?{query}", "POST")
        if not found:
            found = ask(admin, "/admission")
    except OSError as error:
        click.echo(f"error: {admin[0]}:{admin[1]}: {error}", err=True)
        raise SystemExit(2) from None
    click.echo(orjson.dumps(found) if as_json or "budgets" not in found else admission_table(found))


@cli.command()
@click.argument("script", type=CONFIG, required=False)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("day-out"),
    show_default=True,
    help="Folder for records, logs and settings.",
)
@click.option("--seconds", type=float, help="Length of the day.  [default: the script's, or 30]")
@click.option("--rate", type=float, help="Queries a second.  [default: the script's, or 40]")
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Of traffic and of who is struck."
)
@click.option("--brokers", type=int, default=2, show_default=True)
@click.option("--boxes", type=int, default=12, show_default=True)
@click.option("--documents", type=int, default=6_000, show_default=True)
@click.option(
    "--journal",
    type=CONFIG,
    help="Replay the kinds of trouble of a bench day from this journal entry.",
)
@click.option("--journal-day", default="", help="Which of its days.  [default: the first]")
@click.option("--json", "as_json", is_flag=True, help="Print the audit as JSON.")
def day(
    script: Path | None,
    out: Path,
    seconds: float | None,
    rate: float | None,
    seed: int,
    brokers: int,
    boxes: int,
    documents: int,
    journal: Path | None,
    journal_day: str,
    as_json: bool,
) -> None:
    """Let a bad day happen to real processes, then audit it. Exit code 1 where a rule was broken.

    SCRIPT is an HCL file of steps; without one, a built-in day in which everything goes wrong once.

    \b
    Example: stepknot day --seconds 20 --rate 60 --out /tmp/day
    """
    from stepknot.simulation import script as scripts
    from stepknot.simulation.day import run_day

    say = progress()
    try:
        if journal is not None:
            plan, left_out = scripts.from_journal(
                journal, journal_day, seconds or scripts.SECONDS, rate or scripts.RATE
            )
            if left_out:
                say(f"not modelled here and left out: {', '.join(left_out)}")
        elif script is not None:
            plan = scripts.read_script(script, seconds, rate)
        else:
            plan = scripts.built_in(seconds or scripts.SECONDS, rate or scripts.RATE)
    except ConfigError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(2) from None
    counts = run_day(out, plan, brokers, boxes, documents, seed, say)
    say("clients saw: " + ", ".join(f"{key} {count}" for key, count in sorted(counts.items())))
    show_audit(out, as_json)


@cli.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print each rule as JSON.")
def audit(folder: Path, as_json: bool) -> None:
    """Decide the six rules from the records of a day in FOLDER. Exit code 1 where one was broken."""
    show_audit(folder, as_json)


@cli.command()
@click.option(
    "--real",
    type=click.IntRange(3, 9),
    default=3,
    show_default=True,
    help="Brokers that are processes.",
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
    help="The longest that it may take; what is not reached by then is reported so.",
)
@click.option(
    "--seed", type=int, default=1, show_default=True, help="Of traffic and of who is struck."
)
@click.option(
    "--rate",
    type=click.FloatRange(min=1.0),
    default=20.0,
    show_default=True,
    help="Queries a second.",
)
@click.option(
    "--period",
    type=Seconds(),
    default="500ms",
    show_default=True,
    help="Of membership's heartbeats.",
)
@click.option(
    "--pause",
    type=Seconds(),
    default="5s",
    show_default=True,
    help="For which a member may stand still.",
)
@click.option(
    "--voters",
    type=click.Choice(["0", "3", "5", "7"]),
    default="0",
    show_default=True,
    help="Of ownership, three of them real brokers; without any there is no ownership.",
)
@click.option(
    "--start-within",
    type=Seconds(),
    default="1s",
    show_default=True,
    help="For all members to start.",
)
@click.option(
    "--send-rate",
    type=click.IntRange(min=500),
    help="Bytes a second that a member may send.  "
    "[default: membership's own, scaled to the period]",
)
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("scale-out"),
    show_default=True,
    help="Folder for records, logs and settings.",
)
@click.option(
    "--json",
    "json_file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="All figures, in this file.",
)
@click.option(
    "--config-extra",
    type=CONFIG,
    help="HCL for the end of each real broker's settings; {name} is its name.",
)
@click.option(
    "--model/--no-model", default=True, show_default=True, help="Run the model beside it."
)
def scale(
    real: int,
    members: int,
    nodes: int,
    shards: int,
    seconds: float,
    seed: int,
    rate: float,
    period: float,
    pause: float,
    voters: str,
    start_within: float,
    send_rate: int | None,
    out: Path,
    json_file: Path | None,
    config_extra: Path | None,
    model: bool,
) -> None:
    """Play troubles on real brokers among simulated members and nodes, and measure what control costs there.

    In their order: start of all, a crash of some members, a stall, a cut, a zone's loss and return, a rolling restart
    of the brokers. Exit code 1 where a rule was broken or a step's end not reached, 2 where there is no room for it.

    \b
    Example: stepknot scale --real 3 --members 200 --json scale.json
    """
    import signal

    import msgspec

    from stepknot.simulation.scale_plan import Machine, ScalePlan, refusal
    from stepknot.simulation.scale_report import table
    from stepknot.simulation.scale_run import run_scale

    plan = ScalePlan(
        out,
        real,
        members,
        nodes,
        shards,
        seconds,
        seed,
        rate,
        period=period,
        pause=pause,
        start_within=start_within,
        voters=int(voters),
        send_rate=send_rate or 0,
        extra=config_extra.read_text() if config_extra is not None else "",
    )
    problem = refusal(plan, Machine.here())
    if problem:
        click.echo(f"error: {problem}", err=True)
        raise SystemExit(2)
    signal.signal(
        signal.SIGTERM, lambda number, frame: sys.exit(128 + number)
    )  # all that was started ends first
    result = run_scale(plan, progress(), model)
    if json_file is not None:
        json_file.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    click.echo(table(result))
    raise SystemExit(0 if result.good else 1)


def show_audit(folder: Path, as_json: bool) -> None:
    import orjson

    from stepknot.simulation.audit import Records
    from stepknot.simulation.audit import audit as decide

    try:
        reports = decide(Records.load(folder))
    except (OSError, StopIteration, ConfigError) as error:
        click.echo(f"error: {folder} holds no whole record of a day: {error}", err=True)
        raise SystemExit(2) from None
    if as_json:
        click.echo(orjson.dumps([each.body() for each in reports]))
    else:
        for each in reports:
            near = "-" if each.nearest is None else f"{each.nearest:.3f} {each.unit}"
            verdict = f"BROKEN {each.broken}x" if each.broken else "kept"
            click.echo(f"{each.rule:<28} {verdict:<12} {each.checks:>8} checks   nearest: {near}")
            for breach in each.breaches:
                click.echo(f"    {breach}")
    raise SystemExit(1 if any(each.broken for each in reports) else 0)


def answer_of(admin: tuple[str, int], path: str) -> dict[str, Any]:
    """What a broker's admin socket says; where nothing answers, the reason on standard error and exit code 2."""
    from stepknot.cli.admin import ask

    try:
        return ask(admin, path)
    except OSError as error:
        click.echo(f"error: {admin[0]}:{admin[1]}: {error}", err=True)
        raise SystemExit(2) from None


def progress() -> Callable[[str], None]:
    """Words about long work, on standard error."""
    return lambda text: click.echo(text, err=True)


if __name__ == "__main__":
    cli()
