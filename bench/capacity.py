"""The table of docs/CAPACITY.md from the figures that `bench/scale.py all --json docs/scale.json` left.

    python bench/capacity.py docs/scale.json            # prints the table and the query path's arithmetic
    python bench/capacity.py docs/scale.json --write docs/CAPACITY.md   # between the page's markers

A row is a line of a measured series at three sizes, or arithmetic over several; it names its limit, and the multiple of
today's fleet at which it passes it: brokers and nodes grow together, 58 shards stay, so that replicas grow.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
from scale_report import number

BEGIN, END = "<!-- table: python bench/capacity.py docs/scale.json -->", "<!-- end of table -->"
GREATEST = 1000.0  # multiples that are searched
CORE, MEMORY, RATE = (
    0.044,
    32e6,
    3000.0,
)  # of a core, bytes, bytes a second: what control may take at a broker
AIM = 130.0  # ms
FORCE = 13.0  # seconds until a change is in force everywhere
DESCRIPTORS = 20_000  # of a process, on the machine that measured
RESTARTS = 10_000 + 68  # nodes a day that end and start anew
DAY = 86_400.0


@dataclass(frozen=True, slots=True)
class Size:
    brokers: float
    nodes: float
    shards: float

    @property
    def replicas(self) -> float:
        return self.nodes / self.shards


TODAY, FULL = Size(200, 200, 58), Size(6600, 35_960, 580)
TEN = Size(2000, 2000, 58)
QUERIES = 1e6 / FULL.brokers  # a second at a broker, at all sizes


class FitLine(msgspec.Struct):
    intercept: float
    slope: float
    r2: float
    low: float
    high: float


class SeriesLine(msgspec.Struct):
    name: str
    x: str
    unit: str
    fit: FitLine | None


class FigureLine(msgspec.Struct):
    case: str
    name: str
    unit: str
    low: float
    median: float
    high: float


class Scale(msgspec.Struct):
    series: list[SeriesLine]
    figures: list[FigureLine]

    def line(self, name: str) -> FitLine:
        found = next((each.fit for each in self.series if each.name == name), None)
        if found is None:
            raise click.ClickException(f"no line through {name!r}: run bench/scale.py all again")
        return found

    def figure(self, case: str, name: str) -> float:
        return next(each.median for each in self.figures if (each.case, each.name) == (case, name))


@dataclass(frozen=True, slots=True)
class Row:
    """`value` is in `unit`; `sources` are the series that it is worked out from, with the x at the full size."""

    role: str
    what: str
    value: Callable[[Size], float]
    unit: str
    limit: float
    mechanism: str
    sources: tuple[tuple[str, float], ...]


def at(line: FitLine, x: float) -> float:
    return line.intercept + line.slope * x


def multiple(size: float) -> Size:
    return Size(200 * size, 200 * size, 58)


def passes(row: Row) -> float:
    """The multiple of today's fleet at which the limit is passed; infinite where it is not."""
    low, high = 0.001, GREATEST
    if row.value(multiple(low)) > row.limit:
        return 0.0
    if row.value(multiple(high)) <= row.limit:
        return math.inf
    for _ in range(60):
        middle = math.sqrt(low * high)
        low, high = (middle, high) if row.value(multiple(middle)) <= row.limit else (low, middle)
    return low


def source(scale: Scale, name: str, x: float) -> str:
    line = scale.line(name)
    beyond = f", x{x / line.high:.2g} beyond" if x > line.high * 1.01 else ""
    return (
        f"{name}: {number(line.intercept)} + {number(line.slope)} x, R2 {line.r2:.3f}, "
        f"{number(line.low)} to {number(line.high)}{beyond}"
    )


def rows(scale: Scale) -> list[Row]:
    line = scale.line
    part, probe = (
        line("decide, 58 shards, 6 parts: a part, all"),
        line("decide, probing: first query placed, probes and all"),
    )
    asked = line("connections: opened, with a probe answered, CPU")
    io = carried(scale)
    module_memory = line("decide, 2 replicas, 6 parts: memory with the entries")
    index_memory = line("subset: memory beside the list")
    connection = line("connections: memory with the nodes' own")
    sweep = line("connections: idle, a sweep each 3.0 s")
    record, quiet = (
        line("members: memory of one member's table"),
        line("members: quiet, median member"),
    )
    quiet_cpu = line("members: quiet, CPU of a member")
    settled, returned = (
        line("members: settled after all started within a second"),
        line("members: settled after a zone returned"),
    )
    crash = line("members: all learnt of a crash")
    owner = line("owners, 3 voters, 1 jobs: bytes of the member that sends most")
    owner_cpu = line("owners, 3 voters, 1 jobs: CPU of a member, mean")
    whole, one = (
        line("readers: platform's whole list"),
        line("readers: one change found in the file's entries"),
    )
    change = line("decide, 2 replicas, 6 parts: one change")
    taken, held = line("subset: whole list, longest unit"), 4.0

    def query(size: Size, replicas: float, probes: float) -> float:
        """ms of processor time of one query to all shards."""
        return size.shards * (
            (at(part, replicas) + io) / 1e3 + probes * (probe.slope + asked.slope)
        )

    return [
        Row(
            "query path",
            "a query to all shards, whole list, each replica asked",
            lambda s: query(s, s.replicas, s.replicas),
            "ms",
            AIM,
            "none but `subset` below",
            (
                ("decide, 58 shards, 6 parts: a part, all", FULL.replicas),
                ("decide, probing: first query placed, probes and all", FULL.nodes),
                ("connections: opened, with a probe answered, CPU", FULL.nodes),
            ),
        ),
        Row(
            "query path",
            "the same, nothing asked (`probing = false`)",
            lambda s: query(s, s.replicas, 0.0),
            "ms",
            AIM,
            "`stepknot/decisions`",
            (("decide, 58 shards, 6 parts: a part, all", FULL.replicas),),
        ),
        Row(
            "query path",
            "the same with subsets of 4, each asked",
            lambda s: query(s, held, held),
            "ms",
            AIM,
            "`subsets`; at 580 parts a tree or several cores: none yet",
            (("decide, 58 shards, 6 parts: a part, all", held),),
        ),
        Row(
            "query path",
            "memory of module and entries, whole list",
            lambda s: at(module_memory, s.nodes),
            "bytes",
            MEMORY,
            "`stepknot/decisions`",
            (("decide, 2 replicas, 6 parts: memory with the entries", FULL.nodes),),
        ),
        Row(
            "query path",
            "memory of module and subset, with the entries in use",
            lambda s: at(module_memory, held * s.shards) + at(index_memory, s.nodes),
            "bytes",
            8e6,
            "`subsets`",
            (
                ("subset: memory beside the list", FULL.nodes),
                ("decide, 2 replicas, 6 parts: memory with the entries", held * FULL.shards),
            ),
        ),
        Row(
            "query path",
            "connections to nodes, whole list: descriptors",
            lambda s: s.nodes,
            "",
            DESCRIPTORS,
            "`platform/connection_pool.py`",
            (),
        ),
        Row(
            "query path",
            "their memory",
            lambda s: at(connection, s.nodes),
            "bytes",
            MEMORY,
            "`platform/connection_pool.py`",
            (("connections: memory with the nodes' own", FULL.nodes),),
        ),
        Row(
            "query path",
            "their memory with subsets",
            lambda s: at(connection, held * s.shards),
            "bytes",
            MEMORY,
            "`subsets`",
            (("connections: memory with the nodes' own", held * FULL.shards),),
        ),
        Row(
            "query path",
            "upkeep of idle connections, whole list",
            lambda s: at(sweep, s.nodes) / 1e6,
            "core",
            CORE,
            "`platform/connection_pool.py`",
            (("connections: idle, a sweep each 3.0 s", FULL.nodes),),
        ),
        Row(
            "node",
            "connections from brokers, whole list",
            lambda s: s.brokers,
            "",
            math.inf,
            "none but `subset`",
            (),
        ),
        Row(
            "node",
            "connections from brokers, subsets of 4",
            lambda s: s.brokers * min(1.0, max(held, 256 * s.replicas / s.brokers) / s.replicas),
            "",
            math.inf,
            "`subsets`",
            (),
        ),
        Row(
            "discovery",
            "a whole list read at once: the loop is held (platform)",
            lambda s: at(whole, s.nodes),
            "ms",
            AIM,
            "`platform/endpoint_list.py`",
            (("readers: platform's whole list", FULL.nodes),),
        ),
        Row(
            "discovery",
            "nodes on a list (`MAX_NODES`)",
            lambda s: s.nodes,
            "",
            10_000,
            "`platform/endpoint_list.py`",
            (),
        ),
        Row(
            "discovery",
            "one change found in the file's list: the loop is held",
            lambda s: at(one, s.nodes),
            "ms",
            AIM,
            "`discovery/endpoint_file.py`",
            (("readers: one change found in the file's entries", FULL.nodes),),
        ),
        Row(
            "discovery",
            "one change taken by the module, whole list",
            lambda s: at(change, s.nodes),
            "ms",
            AIM,
            "`stepknot/decisions`",
            (("decide, 2 replicas, 6 parts: one change", FULL.nodes),),
        ),
        Row(
            "discovery",
            "changes of an ordinary day in the module, whole list",
            lambda s: at(change, s.nodes) / 1e3 * 3 * RESTARTS * s.nodes / FULL.nodes / DAY,
            "core",
            CORE,
            "`stepknot/decisions`",
            (("decide, 2 replicas, 6 parts: one change", FULL.nodes),),
        ),
        Row(
            "discovery",
            "longest slice of a list taken in with subsets",
            lambda s: at(taken, s.nodes),
            "ms",
            5.0,
            "`subsets`",
            (("subset: whole list, longest unit", FULL.nodes),),
        ),
        Row(
            "membership",
            "memory of the records",
            lambda s: at(record, s.brokers),
            "bytes",
            MEMORY,
            "`membership/table.py`",
            (("members: memory of one member's table", FULL.brokers),),
        ),
        Row(
            "membership",
            "records kept (`most`, a setting)",
            lambda s: s.brokers,
            "",
            1024,
            "`membership/table.py`",
            (),
        ),
        Row(
            "membership",
            "sent, quiet",
            lambda s: at(quiet, s.brokers),
            "bytes/s",
            RATE,
            "`membership/send_budget.py`",
            (("members: quiet, median member", FULL.brokers),),
        ),
        Row(
            "membership",
            "CPU, quiet",
            lambda s: at(quiet_cpu, s.brokers) / 1e6,
            "core",
            CORE,
            "`membership/protocol.py`",
            (("members: quiet, CPU of a member", FULL.brokers),),
        ),
        Row(
            "membership",
            "all learn of a crash",
            lambda s: at(crash, s.brokers),
            "s",
            FORCE,
            "`membership/gossip.py`",
            (("members: all learnt of a crash", FULL.brokers),),
        ),
        Row(
            "membership",
            "bad hours: settled after all start within a second",
            lambda s: at(settled, s.brokers),
            "s",
            FORCE,
            "`membership/protocol.py`; groups: none yet",
            (("members: settled after all started within a second", FULL.brokers),),
        ),
        Row(
            "membership",
            "bad hours: settled after a zone returned",
            lambda s: at(returned, s.brokers),
            "s",
            FORCE,
            "`membership/protocol.py`; groups: none yet",
            (("members: settled after a zone returned", FULL.brokers),),
        ),
        Row(
            "owner",
            "sent by the owner of one job, lease 2 s",
            lambda s: at(owner, s.brokers),
            "bytes/s",
            RATE,
            "`leases/node.py`; a relay: none yet",
            (("owners, 3 voters, 1 jobs: bytes of the member that sends most", FULL.brokers),),
        ),
        Row(
            "owner",
            "the same, lease 60 s (greatest setting; arithmetic: by 2/60)",
            lambda s: at(owner, s.brokers) / 30,
            "bytes/s",
            RATE,
            "`leases/node.py`; a relay: none yet",
            (("owners, 3 voters, 1 jobs: bytes of the member that sends most", FULL.brokers),),
        ),
        Row(
            "owner",
            "CPU of a member that does not own",
            lambda s: at(owner_cpu, s.brokers) / 1e6,
            "core",
            CORE,
            "`leases/node.py`",
            (("owners, 3 voters, 1 jobs: CPU of a member, mean", FULL.brokers),),
        ),
    ]


def carried(scale: Scale) -> float:
    """Microseconds of a part in the loop, the codecs and the kernel, at the highest rate that was measured."""
    case = "loop, 260 queries a second"
    return scale.figure(case, "CPU a part, loop and codecs") + scale.figure(
        case, "CPU a part, kernel"
    )


def limit_text(row: Row) -> str:
    return "-" if row.limit == math.inf else f"{number(row.limit)} {row.unit}".strip()


def passed_text(row: Row) -> str:
    found, over = passes(row), row.value(FULL) > row.limit
    if row.limit == math.inf:
        return "no limit is named"
    if found <= FULL.brokers / TODAY.brokers or over and found <= FULL.nodes / TODAY.nodes:
        return f"x{number(found)}" + ("" if over else " with 58 shards; not at the full size")
    return "at the full width of 580 shards" if over else "not by the full size"


def order(row: Row) -> tuple[float, bool]:
    """The smallest multiple first, then what is passed at the full width alone."""
    return min(passes(row), FULL.nodes / TODAY.nodes), row.value(FULL) <= row.limit


def table(scale: Scale) -> str:
    lines = [
        "| role | what | today | x10 | full | unit | limit | carried by | from | passes its limit at |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in sorted(rows(scale), key=order):
        values = " | ".join(number(max(row.value(size), 0.0)) for size in (TODAY, TEN, FULL))
        sources = "; ".join(source(scale, *each) for each in row.sources) or "arithmetic"
        cells = (
            row.role,
            row.what,
            values,
            row.unit or "-",
            limit_text(row),
            row.mechanism,
            sources,
            passed_text(row),
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def width(scale: Scale) -> str:
    """One query of 580 parts: processor time against the aim, cores of the fleet, and the tail it needs."""
    part, io = at(scale.line("decide, 58 shards, 6 parts: a part, all"), 4.0), carried(scale)
    query = FULL.shards * (part + io) / 1e3
    cores = QUERIES * query / 1e3
    late = 1 - 0.99 ** (1 / FULL.shards)
    root, leaves = 24, 25  # of a tree of two levels: 24 x 25 covers 580
    return "\n".join(
        [
            f"- a part: {part:.0f} us in the module with 4 replicas a shard, {io:.0f} us in loop, codecs and kernel; a "
            f"query of 580 parts {query:.0f} ms of one core, against 130 ms",
            f"- {QUERIES:.0f} queries a second at each of 6,600 brokers: {QUERIES * FULL.shards:,.0f} parts a second, "
            f"{cores:.1f} cores a broker, {cores * FULL.brokers:,.0f} in the fleet",
            f"- a tree of two levels, {root} inner calls of {leaves} parts: the root and one inner broker "
            f"{(root + leaves) * (part + io) / 1e3:.0f} ms one after the other; all of it "
            f"{(FULL.shards + root) / FULL.shards:.2f} times the processor time of one level",
            f"- all 580 in time for 99 in 100 queries: one part in {1 / late:,.0f} may be late; with a copy of each "
            f"late part on an independent node one in {1 / math.sqrt(late):.0f}",
        ]
    )


@click.command(help=__doc__)
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--write",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Put it into this page.",
)
def main(file: Path, write: Path | None) -> None:
    scale = msgspec.json.decode(file.read_bytes(), type=Scale)
    text = f"{BEGIN}\n{table(scale)}\n\n{width(scale)}\n{END}"
    if write is None:
        click.echo(text)
        return
    page = write.read_text()
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    write.write_text(before + text + after)


if __name__ == "__main__":
    main()
