"""Look for violations of the leases' invariants: `python bench/lease_search.py days --seeds 1000`.

`days`: random days on the virtual clock; a failing seed is printed and replays with `--first SEED --seeds 1`. `walks`,
`phases`: the model checker at random, without and with time. `explore`: every order of the first actions. Exit code 1
where a breach was found; the actions that lead there are printed.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Executor, ProcessPoolExecutor

import click

from stepknot.simulation.lease_model import Breach, random_day
from stepknot.simulation.lease_model_checker import Result, explore, phases, story, walk
from stepknot.simulation.lease_model_world import Scope

SCOPES = {
    "clocks astray": Scope(claims=3, writes=2, crashes=2, losses=2),
    "clocks in step": Scope(claims=3, writes=0, crashes=2, losses=1, time=9, lease=3, handovers=1),
}
FIRST = {
    "clocks astray": Scope(claims=1, writes=1, crashes=1, losses=1),
    "clocks in step": Scope(claims=1, writes=0, crashes=1, losses=0, time=3, lease=2, handovers=1),
}
PIECE = 100  # seeds that one process takes at a time


def day(
    seed: int, voters: int, clients: int, jobs: int, astray: float
) -> tuple[int, str, float, int]:
    try:
        fleet = random_day(seed, voters, clients, jobs, astray=astray)
    except Breach as breach:
        return seed, str(breach), 0.0, 0
    return seed, "", fleet.longest, sum(map(len, fleet.committed.values()))


def searched(way: str, scope: Scope, first: int, count: int) -> Result:
    seeds = range(first, first + count)
    return (
        walk(scope, None, seeds, steps=150)
        if way == "walks"
        else phases(scope, None, seeds, count=16)
    )


def pieces(pool: Executor, way: str, scope: Scope, first: int, seeds: int) -> Iterator[Result]:
    """In order, whichever process is done first."""
    futures = [
        pool.submit(searched, way, scope, begin, min(PIECE, first + seeds - begin))
        for begin in range(first, first + seeds, PIECE)
    ]
    for future in futures:
        yield future.result()


def tell(name: str, results: Iterator[Result] | list[Result], since: float) -> bool:
    """Whether there was a breach."""
    steps, found = 0, None
    for result in results:
        steps += result.states
        found = found or (result if result.breach else None)
    click.echo(
        f"{name}: {steps} in {time.monotonic() - since:.0f} s, "
        f"{found.breach if found is not None else 'no breach'}"
    )
    if found is not None:
        click.echo(story(found.trail))
    return found is not None


@click.command()
@click.argument("what", type=click.Choice(["days", "walks", "phases", "explore"]))
@click.option(
    "--seeds", default=200, show_default=True, help="For explore: worlds that are seen at the most."
)
@click.option("--first", default=1, show_default=True)
@click.option("--voters", default=5, show_default=True)
@click.option("--clients", default=7, show_default=True)
@click.option("--jobs", "kinds", default=3, show_default=True, help="Jobs of the fleet.")
@click.option(
    "--astray",
    default=0.0,
    show_default=True,
    help="Clocks' rates differ by so much more than is said.",
)
@click.option("--processes", default=os.cpu_count() or 1, show_default=True)
def main(
    what: str,
    seeds: int,
    first: int,
    voters: int,
    clients: int,
    kinds: int,
    astray: float,
    processes: int,
) -> None:
    """Look for breaches of ownership's invariants by seed."""
    begun, bad = time.monotonic(), False
    with ProcessPoolExecutor(processes) as pool:
        if what == "days":
            plays = [
                pool.submit(day, seed, voters, clients, kinds, astray)
                for seed in range(first, first + seeds)
            ]
            rows = [each.result() for each in plays]
            for seed, breach, _, _ in rows:
                if breach:
                    bad = True
                    click.echo(f"seed {seed}: {breach}")
            click.echo(
                f"{seeds} days in {time.monotonic() - begun:.0f} s, {sum(bool(row[1]) for row in rows)} with a "
                f"breach; {sum(row[3] for row in rows)} records counted; longest without an owner "
                f"{max(row[2] for row in rows):.1f} s (all may be dead)"
            )
        else:
            jobs: dict[str, Callable[[], Iterator[Result] | list[Result]]] = {}
            for name in SCOPES:
                if what == "explore":
                    future = pool.submit(explore, FIRST[name], None, seeds)
                    jobs[name] = lambda future=future: [future.result()]  # type: ignore[misc]
                else:
                    jobs[name] = lambda name=name: pieces(pool, what, SCOPES[name], first, seeds)  # type: ignore[misc]
            for name, results in jobs.items():
                bad |= tell(f"{what}, {name}", results(), begun)
    raise SystemExit(1 if bad else 0)


if __name__ == "__main__":
    main()
