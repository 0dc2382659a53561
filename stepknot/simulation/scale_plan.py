"""What a scale run is to be, and whether this machine has room for it: decided before anything is started."""

from __future__ import annotations

import os
import random
import resource
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from stepknot.membership.model import MembershipSettings

Item = TypeVar("Item")
DEFAULT = MembershipSettings()
ZONES = "abc"
REAL_VOTERS = 3
CELLS = 4
MEMBERS_A_PROCESS = (
    60  # simulated members on one loop: about a quarter of a core's time when nothing is wrong
)
NODES_A_PROCESS = 20
MEMORY_SHARE = 0.5  # of the machine's memory, that a run stays under

# Bytes, measured and rounded up: what a process takes before it has anything to do, and what comes on top.
BROKER_BYTES, PROCESS_BYTES = 90_000_000, 50_000_000
MEMBER_BYTES, RECORD_BYTES = 200_000, 1_500  # a member, and each record of another one in its table
NODE_BYTES, DOCUMENT_BYTES = 1_500_000, 6_000

# Descriptors: a process's own, and those of each node: two listeners with a spare each, a tap, connections.
PROCESS_FILES, NODE_FILES = 40, 8
CONNECTIONS = 16  # between one broker and one node, at once
CLIENT_SECONDS = 4.0  # for which a client's connection may be open


@dataclass(frozen=True, slots=True)
class ScalePlan:
    """Times in seconds. `extra`: HCL for the end of each real broker's settings; `{name}` in it is the broker's name.
    `seconds` bounds the whole run: what is not reached by then is reported so."""

    folder: Path
    real: int = 3
    members: int = 100
    nodes: int = 24
    shards: int = 12
    seconds: float = 180.0
    seed: int = 1
    rate: float = 20.0  # queries a second, over all real brokers
    documents: int = 2_400
    period: float = 0.5
    pause: float = 5.0
    tombstone: float = 600.0
    start_within: float = 1.0  # over which the simulated members start
    send_rate: int = (
        0  # bytes a second that a member may send; 0: the default, scaled to the period
    )
    voters: int = 0  # of ownership: 3, 5 or 7, of them 3 real brokers; 0: there is no ownership
    extra: str = ""

    @property
    def voter_names(self) -> list[str]:
        """Simulated ones only from zones that are not lost: a voter that lost its memory may not begin anew."""
        if not self.voters:
            return []
        kept = [f"m{number}" for number in range(self.members) if zone_of(number) != ZONES[-1]]
        return [f"b{number}" for number in range(REAL_VOTERS)] + kept[: self.voters - REAL_VOTERS]

    @property
    def member_rate(self) -> int:
        return self.send_rate or round(DEFAULT.rate * DEFAULT.period / self.period)

    @property
    def size(self) -> int:
        """All members of the fleet."""
        return self.real + self.members

    def members_of(self, zone: str) -> list[list[str]]:
        """The simulated members of a zone, a list for each process."""
        return chunks(
            [f"m{number}" for number in range(self.members) if zone_of(number) == zone],
            MEMBERS_A_PROCESS,
        )

    def nodes_of(self, zone: str) -> list[list[int]]:
        """The nodes of a zone, a list for each process: each cell's are spread over the zones."""
        return chunks(
            [number for number in range(self.nodes) if zone_of(number // CELLS) == zone],
            NODES_A_PROCESS,
        )


def zone_of(number: int) -> str:
    return ZONES[number % len(ZONES)]


def chunks(items: Sequence[Item], most: int) -> list[list[Item]]:
    return [list(items[begin : begin + most]) for begin in range(0, len(items), most)]


def chance(plan: ScalePlan, what: str) -> random.Random:
    """A source of chance for one purpose, the same for the same plan."""
    return random.Random(f"{plan.seed}:{what}")


# --- room


@dataclass(frozen=True, slots=True)
class Needs:
    memory: int  # bytes, of all processes together
    descriptors: int  # of the process that needs most


def needs(plan: ScalePlan) -> Needs:
    processes = 1 + sum(len(plan.members_of(zone)) + len(plan.nodes_of(zone)) for zone in ZONES)
    memory = (
        plan.real * (BROKER_BYTES + plan.size * RECORD_BYTES)
        + processes * PROCESS_BYTES
        + plan.members * (MEMBER_BYTES + plan.size * RECORD_BYTES)
        + plan.nodes * (NODE_BYTES + plan.documents // CELLS * DOCUMENT_BYTES)
    )
    cell = -(-plan.nodes // CELLS)
    return Needs(
        memory,
        PROCESS_FILES
        + max(
            min(plan.members, MEMBERS_A_PROCESS),
            min(plan.nodes, NODES_A_PROCESS) * (NODE_FILES + CONNECTIONS * plan.real + 2 * cell),
            CONNECTIONS * plan.nodes
            + int(plan.rate * CLIENT_SECONDS),  # a real broker; the clients
        ),
    )


@dataclass(frozen=True, slots=True)
class Machine:
    memory: int  # bytes
    descriptors: int  # that a process may have

    @classmethod
    def here(cls) -> Machine:
        return cls(
            os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES"),
            resource.getrlimit(resource.RLIMIT_NOFILE)[0],
        )


def refusal(plan: ScalePlan, machine: Machine) -> str:
    """Why the run may not start here; empty where it may."""
    needed, allowed = needs(plan), int(machine.memory * MEMORY_SHARE)
    if needed.memory > allowed:
        return (
            f"not enough memory: {plan.size} members and {plan.nodes} nodes need about "
            f"{needed.memory / 1e9:.2f} GB, and half of this machine's is {allowed / 1e9:.2f} GB"
        )
    if needed.descriptors > machine.descriptors:
        return (
            f"not enough descriptors: a process of this run needs up to {needed.descriptors}, and RLIMIT_NOFILE "
            f"is {machine.descriptors}"
        )
    return ""
