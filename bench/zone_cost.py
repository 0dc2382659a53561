"""What the zones' rules cost a decision: `python bench/zone_cost.py [--boxes N] [--brokers N]`.

The decision module alone, at the size of a large fleet, without the rules and with them: all healthy, one zone
unavailable, one recovering. Each part's choice, its send and its end are counted; CPU time of this process,
alternating runs.
"""

from __future__ import annotations

import random
import statistics
import time
from collections.abc import Callable
from typing import Any

import click

from stepknot import interface as api
from stepknot.decisions import Aggregator
from stepknot.zones.failover import ZoneFailover
from stepknot.zones.model import ZoneState
from stepknot.zones.settings import ZoneSettings

ZONES, PARTS, RATE = "abc", 12, 200.0
CLASS = api.QueryClass("search", 1.0, 3.0, 1.0, floor=0.5, partial_value=0.9)
COLD = (0.2, 10.0)


def settings(boxes: int, brokers: int) -> api.Settings:
    rules = api.Rules(1.0, COLD[0], COLD[1], 4.0, 1.0, 0.0, 10.0, 1e9, 1.0)
    limits = api.Limits(3, cancelling=True, retry_after=True, max_retry_after=2.0)
    return api.Settings(brokers, boxes // 6, 1, 16, {"search": CLASS}, rules, limits)


def run(boxes: int, brokers: int, queries: int, state: ZoneState | None, seed: int) -> float:
    """CPU seconds a part. `state`: of zone c; None: without the rules."""
    given, rng = settings(boxes, brokers), random.Random(seed)
    entries = tuple(
        api.ServerEntry(f"b{each}", ZONES[each % 3], each % given.cells, api.ServerState.LIVE)
        for each in range(boxes)
    )
    zones = (
        ZoneFailover(ZoneSettings("a", prefer_near=False), *COLD, 1.0, seed)
        if state is not None
        else None
    )
    module, now = Aggregator(given, seed, zones.narrow if zones else None), 100.0
    module.handle(now, [api.ListReceived(api.ListKind.FULL, entries)])
    if zones is not None:
        zones.update_endpoints(now, entries)
    spent = 0.0

    def one(number: int, measured: bool) -> None:
        nonlocal now, spent
        now += rng.expovariate(RATE)
        events: list[Any] = [api.QueryArrived(number, number, "search", now + 3.0)]
        events += [
            api.PartArrived(number + 1 + each, number, rng.randrange(given.cells), 1 / PARTS)
            for each in range(PARTS)
        ]
        begun = time.process_time()
        if zones is not None:
            zones.admit(now, 1.0, PARTS, False)
        sends = [each for each in module.handle(now, events) if type(each) is api.Send]
        if zones is not None:
            for each in sends:
                zones.on_attempt_sent(now, each.server)
            zones.end_turn()
        now += 0.002
        if zones is not None:
            for each in sends:
                zones.on_attempt_ended(now, each.server, api.Outcome.SERVED, 0.002)
        module.handle(
            now,
            [
                api.AttemptEnded(each.part_id, 0, each.server, api.Outcome.SERVED, 0.002)
                for each in sends
            ],
        )
        module.handle(now, [api.QueryGone(number)])
        if measured:
            spent += time.process_time() - begun

    for number in range(300):
        one((number + 1) * 100, False)
    if zones is not None and state is not ZoneState.HEALTHY:
        health = zones.zone("c").health
        health.mark_unavailable(now, "planted")
        if state is ZoneState.RECOVERING:
            health.start_recovery(now, "planted")
        health.trials.next_at = health.ramp.step_end = now + 1e6  # it stays so
        zones.record_changes()
    for number in range(queries):
        one((number + 1000) * 100, True)
    assert zones is None or zones.zone("c").health.state is state
    return spent / (queries * PARTS)


@click.command()
@click.option("--boxes", default=170, show_default=True)
@click.option("--brokers", default=50, show_default=True)
@click.option("--queries", default=2000, show_default=True)
@click.option("--runs", default=5, show_default=True)
def main(boxes: int, brokers: int, queries: int, runs: int) -> None:
    cases: dict[str, ZoneState | None] = {
        "module alone": None,
        "all healthy": ZoneState.HEALTHY,
        "one unavailable": ZoneState.UNAVAILABLE,
        "one recovering": ZoneState.RECOVERING,
    }
    took: dict[str, list[float]] = {name: [] for name in cases}
    for seed in range(runs):
        for name, state in cases.items():
            took[name].append(run(boxes, brokers, queries, state, seed))
    alone = statistics.median(took["module alone"])
    say: Callable[[str], None] = click.echo
    for name, times in took.items():
        median = statistics.median(times)
        say(
            f"{name:<14} {1e6 * median:6.1f} us a part ({1e6 * min(times):.1f} to {1e6 * max(times):.1f}), "
            f"{median / alone - 1:+.0%}"
        )


if __name__ == "__main__":
    main()
