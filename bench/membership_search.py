"""Thousands of random days for membership: `python bench/membership_search.py --seeds 2000`.

Exit code 1 where one is wrong.

A seed that failed replays the same way: `python bench/membership_search.py --replay SEED` shows what each came to hold.
"""

from __future__ import annotations

import os
import sys
import time
from concurrent.futures import ProcessPoolExecutor

import click

from stepknot.simulation.membership_search import Day, play


@click.command()
@click.option("--seeds", default=200, show_default=True)
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--most", default=24, show_default=True, help="Members at the most.")
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
@click.option("--replay", type=int, help="Play this seed alone and tell all that happened.")
def main(seeds: int, first: int, most: int, jobs: int, replay: int | None) -> None:
    """Search random days of membership for one on which an invariant breaks."""
    if replay is not None:
        day = Day(replay, most)
        found = day.play()
        for when, at, change in day.model.log:
            click.echo(
                f"{when:8.3f}  {at:<5} {change.name:<5} "
                f"{change.new_state.name.lower() if change.new_state is not None else 'forgotten':<9} {change.reason}"
            )
        click.echo(
            f"seed {replay}: {found.size} members, {', '.join(found.kinds)}: {found.wrong or 'all held'}; "
            f"trace {found.trace}"
        )
        sys.exit(1 if found.wrong else 0)
    begun, bad, longest = time.monotonic(), 0, 0.0
    with ProcessPoolExecutor(jobs) as pool:
        for found in pool.map(play, range(first, first + seeds), [most] * seeds, chunksize=4):
            longest = max(longest, found.seconds)
            if found.wrong:
                bad += 1
                click.echo(
                    f"seed {found.seed}: {found.size} members, {', '.join(found.kinds)}: {found.wrong}"
                )
    click.echo(
        f"{seeds - bad} of {seeds} days held; views were one within {longest:.1f} s; "
        f"{time.monotonic() - begun:.0f} s"
    )
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
