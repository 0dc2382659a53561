"""One fleet of brokers of two versions: `python bench/mixed_fleet.py OTHER_CHECKOUT`.

Brokers with even numbers run this checkout, those with odd numbers the other one. The run checks
that all of them come to one view of the membership and one lease holder, that a rolling drain
takes each node of a zone once whichever version holds the lease, that votes written by one version
are read by the other after a restart, and that the commands of each version work against brokers
of the other. The exit code is 1 where a check fails.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import orjson

sys.path.insert(0, str(Path(__file__).parents[1]))

from stepknot.simulation.fleet import Broker, Fleet

ROOT = Path(__file__).parents[1]
VOTERS = ["b0", "b1", "b2"]
LEASE_SECONDS = 0.8
SETTLE_TIMEOUT = 40.0  # seconds for what takes a few
POLL_INTERVAL = 0.1
COMMAND_TIMEOUT = 30.0
DRAIN_INTERVAL = "2s"  # several polls, each a process, see every step
HANDOVERS = 4
SETTINGS_FOLDER_PREFIX = "stepknot-mixed-"


@dataclass(slots=True)
class MixedFleet(Fleet):
    """A fleet whose odd brokers run another checkout, until `exchanged` holds their numbers."""

    other: Path = field(default_factory=Path)
    exchanged: set[int] = field(default_factory=set)

    def checkout(self, number: int) -> Path:
        """The checkout that the broker with this number runs."""
        odd = number % 2 == 1
        return self.other if odd != (number in self.exchanged) else ROOT

    def start_broker(self, broker: Broker) -> None:
        """Start a broker with the version that its number stands for."""
        settings = str(self.folder / f"broker-{broker.number}.hcl")
        with (self.folder / f"broker-{broker.number}.log").open("ab") as log:
            broker.process = subprocess.Popen(
                [sys.executable, "-m", "stepknot", "serve", settings],
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=self.folder,
                env=environment(self.checkout(broker.number)),
            )


def environment(checkout: Path) -> dict[str, str]:
    """The environment of a process that imports this checkout."""
    return {**os.environ, "PYTHONPATH": str(checkout), "PYTHONHASHSEED": "0"}


def command(checkout: Path, *words: str) -> str:
    """Run `stepknot` of a checkout and return what it prints; exit code 1 is an answer, too.

    Commands and options have their earlier names here: every version knows them.
    """
    done = subprocess.run(
        [sys.executable, "-m", "stepknot", *words],
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT,
        cwd=checkout,
        env=environment(checkout),
    )
    if done.returncode not in (0, 1):
        raise click.ClickException(f"stepknot {' '.join(words)}: {done.returncode}: {done.stderr}")
    return done.stdout


class Checks:
    """Questions to the brokers, each by the commands of both versions in turn."""

    def __init__(self, fleet: MixedFleet) -> None:
        self.fleet = fleet
        self.asked = 0

    def ask(self, broker: Broker, *words: str) -> dict[str, Any]:
        """What a command prints as JSON, asked by either version in turn."""
        self.asked += 1
        checkout = self.fleet.checkout(self.asked)
        name, *rest = words
        found: dict[str, Any] = orjson.loads(
            command(checkout, name, f"127.0.0.1:{broker.admin}", "--json", *rest)
        )
        return found

    def lease_holder(self) -> str:
        """The broker that all name as the holder of the drains' lease, or "" while they differ."""
        named = {self.ask(each, "owner")["jobs"][0]["owner"] for each in self.fleet.brokers}
        return named.pop() if len(named) == 1 else ""

    def one_view(self) -> bool:
        """Whether every broker holds all others to be alive."""
        names = {each.name for each in self.fleet.brokers}
        for broker in self.fleet.brokers:
            members = self.ask(broker, "peers")["members"]
            if {row["name"] for row in members if row["state"] == "alive"} != names:
                return False
        return True

    def drain(self, broker: Broker) -> dict[str, Any]:
        """Where the rolling drain stands by this broker's word."""
        found: dict[str, Any] = self.ask(broker, "owner")["drains"] or {}
        return found

    def drained_in_order(self) -> None:
        """Order a drain of one zone at a random broker and follow it to its end."""
        wanted = sorted(each.address for each in self.fleet.boxes if each.zone == "a")
        first = self.fleet.brokers[self.asked % len(self.fleet.brokers)]
        checkout = self.fleet.checkout(self.asked)
        admin = f"127.0.0.1:{first.admin}"
        command(checkout, "drain", admin, "--zone", "a", "--every", DRAIN_INTERVAL)
        seen: list[str] = []

        def done() -> bool:
            state = self.drain(first)
            for address in state.get("out", []):
                if address not in seen:
                    seen.append(address)
            return state.get("status") == "done"

        wait_until(done, "the drain to end")
        if seen != wanted:
            raise click.ClickException(f"the drain took {seen}, expected {wanted}")


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Poll until the condition holds; raises ClickException after SETTLE_TIMEOUT."""
    until = time.monotonic() + SETTLE_TIMEOUT
    while not condition():
        if time.monotonic() > until:
            raise click.ClickException(f"waited {SETTLE_TIMEOUT:.0f} s for {what}")
        time.sleep(POLL_INTERVAL)


def plan(folder: Path, other: Path) -> MixedFleet:
    """Five brokers, three of them voters, and six stand-in nodes in two zones."""
    fleet = MixedFleet.plan(
        folder, 5, 6, 300, cells=3, work_ms=0.5, with_peers=True, other=other.resolve()
    )
    for broker in fleet.brokers:
        broker.peers |= {"period": 0.25, "pause": 2.0, "tombstone": 120.0}
        broker.owners = {
            "voters": VOTERS,
            "state": f"votes-{broker.name}",
            "lease": LEASE_SECONDS,
        }
    fleet.write_settings()
    for broker in fleet.brokers[: len(VOTERS)]:
        settings = str(folder / f"broker-{broker.number}.hcl")
        command(fleet.checkout(broker.number), "found", settings)
    return fleet


def exchange_versions(fleet: MixedFleet) -> None:
    """Restart every broker with the version that it did not run, one after the other."""
    for broker in fleet.brokers:
        process = broker.process
        assert process is not None
        process.terminate()
        process.wait(SETTLE_TIMEOUT)
        if process.stdout:
            process.stdout.close()
        fleet.exchanged.add(broker.number)
        fleet.start_broker(broker)
        fleet.broker_ready(broker)


def check(fleet: MixedFleet) -> None:
    """All checks on a running fleet; raises ClickException at the first that fails."""
    checks = Checks(fleet)
    held_by: set[int] = set()
    for round_number in range(HANDOVERS):
        wait_until(checks.one_view, "one view of the membership")
        wait_until(lambda: checks.lease_holder() != "", "one lease holder")
        holder = next(each for each in fleet.brokers if each.name == checks.lease_holder())
        held_by.add(holder.number % 2)
        checks.drained_in_order()
        click.echo(f"round {round_number}: {holder.name} held the lease, the drain was in order")
        checkout = fleet.checkout(holder.number + 1)
        command(checkout, "owner", f"127.0.0.1:{holder.admin}", "--yield", "drains")
    exchange_versions(fleet)
    wait_until(checks.one_view, "one view after the versions were exchanged")
    wait_until(lambda: checks.lease_holder() != "", "one lease holder on the exchanged votes")
    holder = next(each for each in fleet.brokers if each.name == checks.lease_holder())
    held_by.add((holder.number + 1) % 2)
    checks.drained_in_order()
    click.echo(f"versions exchanged: the drain was in order; {checks.asked} questions asked")
    versions = " and ".join("the other" if odd else "this" for odd in sorted(held_by))
    click.echo(f"the lease was held by: {versions}")


@click.command()
@click.argument("other", type=click.Path(exists=True, file_okay=False, path_type=Path))
def main(other: Path) -> None:
    """Check a fleet whose odd brokers run the checkout OTHER."""
    with tempfile.TemporaryDirectory(prefix=SETTINGS_FOLDER_PREFIX) as name:
        fleet = plan(Path(name), other)
        try:
            fleet.start(lambda text: click.echo(text, err=True))
            check(fleet)
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
