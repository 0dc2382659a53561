"""What many instances together send to a cold server: `python bench/cold.py [--seeds N]`."""

from __future__ import annotations

import click

from stepknot.lab.cold import DEMANDS, play

AGES = (0.0, 2.0, 5.0)


@click.command()
@click.option("--seeds", default=3, help="Plays of each kind and age.")
@click.option("--only", default=0, help="This number of instances alone.")
def main(seeds: int, only: int) -> None:
    click.echo("instances  demand               worst, in chances  used of the budget  admitted")
    for instances in [only] if only else [1, 3, 20, 30, 200]:
        for demand in DEMANDS:
            found = [play(instances, demand, age, seed) for age in AGES for seed in range(seeds)]
            click.echo(f"{instances:>9}  {demand:<20} {max(each.worst for each in found):>18.2f}"
                       f"{sum(each.used for each in found) / len(found):>20.2f}"
                       f"{sum(each.admitted for each in found) / len(found):>10.2f}")


if __name__ == "__main__":
    main()
