"""Commands that show or change a running broker by its admin socket."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import click
import msgspec
import orjson

from stepknot.cli import tables
from stepknot.cli.admin_client import ORDER_TIMEOUT, as_view, query_admin
from stepknot.cli.errors import AdminRequestError
from stepknot.cli.group import Command, RenamedOption, takes_options
from stepknot.cli.options import (
    EXIT_UNHEALTHY,
    EXIT_USAGE,
    Duration,
    FailingShare,
    admin_argument,
    fail,
    json_option,
    watch_option,
)
from stepknot.cli.views import AdmissionView, LeasesView, MembersView, SubsetView, ZonesView

Address = tuple[str, int]
Answer = dict[str, Any]
CONFLICT = 409  # the order or the transfer was rejected


def query_or_exit(admin: Address, path: str) -> Answer:
    """Query the admin socket; where nothing answers, print why and end with exit code 2."""
    try:
        return query_admin(admin, path)
    except OSError as error:
        fail(f"{admin[0]}:{admin[1]}: {error}")


def show(admin: Address, path: str, as_json: bool, render: Callable[[Answer], str]) -> Answer:
    """Print one answer as it is or as text, and return it."""
    answer = query_or_exit(admin, path)
    try:
        text = render(answer)
    except AdminRequestError as error:
        fail(f"{admin[0]}:{admin[1]}: {error}")
    click.echo(orjson.dumps(answer) if as_json else text)
    return answer


def repeat(show_once: Callable[[], Answer], watch: float | None) -> Answer:
    """Show an answer, again and again with `watch` seconds between; without `watch` once, and return it."""
    while True:
        answer = show_once()
        if not watch:
            return answer
        time.sleep(watch)


@click.command(cls=Command, examples=["stepknot zones 127.0.0.1:9300 --watch 1"])
@admin_argument
@json_option
@watch_option(minimum=None)
def zones(admin: Address, as_json: bool, watch: float | None) -> None:
    """Show the zones as the broker with the admin socket ADMIN sees them.

    Of each zone: its state, tier, rates, bound, recovery ramp, and why.
    """

    def show_once() -> Answer:
        try:
            answer = query_admin(admin, "/zones")
            text = tables.zones_table(as_view(answer, ZonesView))
        except OSError as error:
            fail(f"no broker answers at {admin[0]}:{admin[1]}: {error}")
        click.echo(orjson.dumps(answer) if as_json else text)
        return answer

    repeat(show_once, watch)


@click.command(cls=Command, examples=["stepknot members 127.0.0.1:9300 --why b2"])
@admin_argument
@json_option
@watch_option()
@click.option("--why", metavar="NAME", help="Show the evidence for this member's state.")
def members(admin: Address, as_json: bool, watch: float | None, why: str | None) -> None:
    """Show the members of the fleet as the broker with the admin socket ADMIN sees them.

    Exit code 1 where this broker is isolated or stepped aside, 2 where nothing answers or NAME is unknown.
    """

    def render(answer: Answer) -> str:
        view = as_view(answer, MembersView)
        if why is None:
            return tables.members_table(view)
        evidence = tables.explain_member(view, why)
        if evidence is None:
            known = ", ".join(row.name for row in view.members)
            fail(f"no member {why}; known: {known}")
        return evidence

    answer = repeat(lambda: show(admin, "/peers", as_json, render), watch)
    unwell = answer["isolated"] or answer["stepped_aside"]
    raise SystemExit(EXIT_UNHEALTHY if unwell else 0)


@click.command(
    cls=Command,
    examples=[
        "stepknot subset 127.0.0.1:9300",
        "stepknot subset 127.0.0.1:9300 --why 10.0.0.7:9200",
        "stepknot subset 127.0.0.1:9300 --json | jq -r '.held[].server'",
    ],
)
@admin_argument
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print the broker's answer as JSON, unchanged, with each node in use.",
)
@watch_option()
@click.option(
    "--why",
    metavar="NODE",
    help="Show why this node, by its address on the list, is in use or not.",
)
def subset(admin: Address, as_json: bool, watch: float | None, why: str | None) -> None:
    """Show which nodes of the list the broker with the admin socket ADMIN uses, by zone.

    The broker needs a `subset` block; without one it uses all nodes. Of a zone: its tier (0: the broker's own), nodes
    on the list and live ones, and those in use: warm, cold (with a part of their budget), draining.

    Exit code 1 where a defect has put the whole list in the subset's place, 2 where nothing answers, there is no
    subset, or the list does not name NODE.
    """

    def render(answer: Answer) -> str:
        view = as_view(answer, SubsetView)
        return tables.explain_node(view) or tables.subset_table(view)

    path = "/subset"
    if why is not None:
        path += f"?why={quote(why)}"
    elif as_json:
        path += "?held=1"
    answer = repeat(lambda: show(admin, path, as_json, render), watch)
    raise SystemExit(EXIT_UNHEALTHY if answer["off"] else 0)


@click.command(cls=Command, examples=["stepknot leases 127.0.0.1:9300 --why drains"])
@admin_argument
@json_option
@click.option("--why", metavar="JOB", help="Show the evidence for who holds this job's lease.")
@click.option(
    "--transfer",
    cls=RenamedOption,
    earlier=["--yield"],
    metavar="JOB",
    help="Have the broker hand this job's lease over to the next in line.",
)
def leases(admin: Address, as_json: bool, why: str | None, transfer: str | None) -> None:
    """Show who holds the lease of each job, as the broker with the admin socket ADMIN knows it.

    Exit code 1 where a job has no holder, this voter does not vote, or there is nothing to transfer; 2 where nothing
    answers or JOB is unknown.
    """
    try:
        if transfer is not None:
            query_admin(admin, f"/owner/yield?job={quote(transfer)}", "POST")
        answer = query_admin(admin, "/owner")
        view = as_view(answer, LeasesView)
    except OSError as error:
        rejected = isinstance(error, AdminRequestError) and "not owned here" in error.reason
        fail(f"{admin[0]}:{admin[1]}: {error}", EXIT_UNHEALTHY if rejected else EXIT_USAGE)
    text = tables.leases_table(view)
    if why is not None:
        evidence = tables.explain_lease(view, why)
        if evidence is None:
            fail(f"no job {why}; known: {', '.join(row.job for row in view.jobs)}")
        text = evidence
    click.echo(orjson.dumps(answer) if as_json else text)
    voting = view.voter is None or view.voter.votes
    healthy = voting and all(row.owner for row in view.jobs)
    raise SystemExit(0 if healthy or transfer is not None else EXIT_UNHEALTHY)


class DrainRequest(msgspec.Struct, frozen=True):
    """A rolling drain as the lease holder takes it: `every` in seconds, `failing` a share of queries."""

    zone: str
    at_most: int
    every: float
    force: bool
    failing: float


class OperatorOrder(msgspec.Struct, frozen=True):
    """An order for the lease holder of the job `drains`: one of these."""

    stop: bool
    go_on: bool
    undo: bool
    drain: DrainRequest | msgspec.UnsetType


@dataclass(frozen=True, slots=True)
class DrainOptions:
    """Arguments and options of `drain`."""

    admin: Address
    zone: str | None
    max_draining: int
    drain_time: float
    pause_if: float | None
    force: bool
    pause: bool
    resume: bool
    undo: bool

    def order(self) -> bytes | None:
        """The order for the lease holder; none where nothing is ordered.

        Raises:
            click.UsageError: More than one of the options that order something is given.
        """
        given = (self.zone is not None, self.pause, self.resume, self.undo)
        if sum(given) > 1:
            raise click.UsageError("one of --zone, --pause, --resume, --undo")
        if not any(given):
            return None
        drain = (
            DrainRequest(
                zone=self.zone,
                at_most=self.max_draining,
                every=self.drain_time,
                force=self.force,
                failing=1.0 if self.pause_if is None else self.pause_if,
            )
            if self.zone is not None
            else msgspec.UNSET
        )
        return msgspec.json.encode(OperatorOrder(self.pause, self.resume, self.undo, drain))


@click.command(
    cls=Command,
    examples=[
        "stepknot drain 127.0.0.1:9300 --zone a --max-draining 1 --drain-time 5s --pause-if 'failing>2%'",
        "stepknot drain 127.0.0.1:9300 --undo",
    ],
)
@admin_argument
@click.option("--zone", help="Drain the nodes of this zone, one after the other.")
@click.option(
    "--max-draining",
    cls=RenamedOption,
    earlier=["--at-most"],
    type=click.IntRange(1, 16),
    default=1,
    show_default=True,
    help="Nodes that are drained at the same time.",
)
@click.option(
    "--drain-time",
    cls=RenamedOption,
    earlier=["--every"],
    type=Duration(),
    default="5s",
    show_default=True,
    help="How long each node stays drained.",
)
@click.option(
    "--pause-if", type=FailingShare(), help="Halt while more queries fail, such as 'failing>2%'."
)
@click.option(
    "--force", is_flag=True, help="Also drain a node that is the last live one of its data."
)
@click.option(
    "--pause",
    cls=RenamedOption,
    earlier=["--stop"],
    is_flag=True,
    help="Take no further step; drained nodes stay drained.",
)
@click.option(
    "--resume",
    cls=RenamedOption,
    earlier=["--go-on"],
    is_flag=True,
    help="Continue after --pause.",
)
@click.option("--undo", is_flag=True, help="Give all nodes back at once and end the drain.")
@takes_options(DrainOptions)
def drain(options: DrainOptions) -> None:
    """Drain the nodes of a zone in steps, through any broker of the fleet.

    The holder of the job's lease carries the order out. A drained node gets no new work; after its time it is given
    back and the next one is drained. The drain outlives its lease holder: the next holder continues from the ledger.
    Without an option the command shows how far the drain is. Exit code 1 where the order is rejected, 2 where nothing
    answers.
    """
    admin, order = options.admin, options.order()
    number = os.urandom(8).hex()
    try:
        if order is not None:
            path = f"/owner/order?job=drains&number={number}"
            query_admin(admin, path, "POST", order, ORDER_TIMEOUT)
        view = as_view(query_admin(admin, "/owner"), LeasesView)
    except OSError as error:
        rejected = isinstance(error, AdminRequestError) and error.status == CONFLICT
        fail(f"{admin[0]}:{admin[1]}: {error}", EXIT_UNHEALTHY if rejected else EXIT_USAGE)
    click.echo(tables.drain_line(view.drains))


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Arguments and options of `admission`."""

    admin: Address
    as_json: bool
    ban: str | None
    unban: str | None
    allow: str | None
    disallow: str | None
    seconds: float | None

    def paths(self) -> list[str]:
        """Paths of the changes that are ordered, in the order in which they are made."""
        changes = {
            "ban": self.ban,
            "unban": self.unban,
            "allow": self.allow,
            "disallow": self.disallow,
        }
        limit = {} if self.seconds is None else {"seconds": self.seconds}
        return [
            f"/admission/{change}?{urlencode({'network': network, **limit})}"
            for change, network in changes.items()
            if network is not None
        ]


@click.command(
    cls=Command,
    examples=["stepknot admission 127.0.0.1:9300 --ban 203.0.113.0/24 --seconds 600"],
)
@admin_argument
@json_option
@click.option("--ban", metavar="NETWORK", help="Admit nobody from there, such as 203.0.113.0/24.")
@click.option("--unban", metavar="NETWORK", help="End a ban.")
@click.option("--allow", metavar="NETWORK", help="Treat clients from there as known.")
@click.option("--disallow", metavar="NETWORK", help="End an allowance.")
@click.option(
    "--seconds", type=float, help="How long the change lasts.  [default: until it is taken back]"
)
@takes_options(AdmissionOptions)
def admission(options: AdmissionOptions) -> None:
    """Show whom the broker with the admin socket ADMIN admits: budgets, decisions, busiest addresses.

    Bans and allowances outlive a restart where the settings name a `state` file.
    """
    admin = options.admin
    answer: Answer = {}
    try:
        for path in options.paths():
            answer = query_admin(admin, path, "POST")
        if not answer:
            answer = query_admin(admin, "/admission")
        text = (
            orjson.dumps(answer)
            if options.as_json or "budgets" not in answer
            else tables.admission_table(as_view(answer, AdmissionView))
        )
    except OSError as error:
        fail(f"{admin[0]}:{admin[1]}: {error}")
    click.echo(text)


COMMANDS = (zones, members, subset, leases, drain, admission)
EARLIER_NAMES = {"peers": "members", "owner": "leases"}
