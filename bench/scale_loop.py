"""CPU of a part in the platform's broker from query to answer, as `bench/sockets.py` plays it: real sockets on
loopback, two canned nodes, queries of two parts.

`module` is the time within decisions, `kernel` the process's system time, `loop and codecs` the rest; the kernel counts
both in ticks, so that their split is coarser than their sum. The line against parts a second has the cost of one more
part as its slope.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator

import sockets
from scale_report import BROKERS, QUERIES, SHARDS, Cases, Effort, Finding, Note, percentile

from stepknot.simulation.slopes import Point, Series

PARTS = 2  # of each query of `bench/sockets.py`
RATES = (60.0, 130.0, 260.0)  # queries a second


def measure(effort: Effort) -> Iterator[Finding]:
    cases, points = Cases(), []
    seconds = 1.0 if effort.quick else 2.0
    for rate in RATES:
        found = [sockets.play(rate, seconds) for _ in effort.seeds]
        for each in found:
            add(cases, f"loop, {rate:.0f} queries a second", each, seconds)
        served = (
            statistics.median(each.queries for each in found) * PARTS / seconds
        )  # clients may fall behind
        points.append(Point(served, tuple(each.spent / seconds * 1e3 for each in found)))
    for _ in effort.seeds:
        for name, cost in sockets.stages(sockets.any_service()).items():
            cases.add("loop, stages of a query of 2 parts", name, "us", cost)
    yield Note(
        "loop: the target is the parts/s of one broker if every query goes to all shards; nodes, clients and "
        "the broker share the machine"
    )
    yield Series("loop: CPU", "parts/s", "ms/s", QUERIES * SHARDS / BROKERS, tuple(points))
    yield from cases.figures()


def add(cases: Cases, case: str, found: sockets.Played, seconds: float) -> None:
    parts = found.queries * PARTS
    cases.add(case, "queries served", "queries/s", found.queries / seconds)
    cases.add(case, "CPU a part, all", "us", found.spent / parts * 1e6)
    cases.add(case, "CPU a part, module", "us", found.module / parts * 1e6)
    cases.add(case, "CPU a part, loop and codecs", "us", (found.user - found.module) / parts * 1e6)
    cases.add(case, "CPU a part, kernel", "us", found.system / parts * 1e6)
    for share in (50, 99):
        cases.add(
            case,
            f"an answer's last byte to the module, p{share}",
            "us",
            percentile(found.took, share),
        )
