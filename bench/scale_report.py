"""What the measurements of `bench/scale.py` share: how much is measured, and the timing of one thing."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from stepknot.simulation.slopes import Figure, Point, Series, spread

BROKERS, NODES, SHARDS, REPLICAS = 6_600, 36_000, 580, 62  # the size that is asked about
QUERIES = 1_000_000  # a second, of all brokers
AIM = 0.130  # seconds
NANOSECONDS, LONGEST = 1e9, 60_000_000  # the histogram's range: microseconds of a minute


FEWEST = 3  # sizes: a line through two says nothing of how well it fits


@dataclass(frozen=True, slots=True)
class Note:
    """What a reader of the figures must know: a limit that was met or raised, something left out."""

    text: str


Made = TypeVar("Made")
Finding = Series | Figure | Note


@dataclass(frozen=True, slots=True)
class Effort:
    repeats: int
    quick: bool

    def sizes(self, *sizes: int) -> tuple[int, ...]:
        """All, or without the greatest ones."""
        return sizes[: max(FEWEST, len(sizes) // 2)] if self.quick else sizes

    @property
    def seeds(self) -> range:
        return range(1, self.repeats + 1)


class Gathered:
    """Values by series and size in the order in which they come, made into series at the end."""

    def __init__(self, x_name: str, target: float) -> None:
        self.x_name, self.target = x_name, target
        self.values: dict[tuple[str, str], dict[float, list[float]]] = {}

    def add(self, name: str, unit: str, x: float, value: float) -> None:
        self.values.setdefault((name, unit), {}).setdefault(x, []).append(value)

    def series(self, case: str) -> list[Series]:
        return [
            Series(
                f"{case}: {name}",
                self.x_name,
                unit,
                self.target,
                tuple(Point(x, tuple(each)) for x, each in sorted(points.items())),
            )
            for (name, unit), points in self.values.items()
        ]


class Cases:
    """Values by case and name, made into figures at the end."""

    def __init__(self) -> None:
        self.values: dict[tuple[str, str, str], list[float]] = {}

    def add(self, case: str, name: str, unit: str, value: float) -> None:
        self.values.setdefault((case, name, unit), []).append(value)

    def figures(self) -> list[Figure]:
        return [Figure(*key, spread(values)) for key, values in self.values.items()]


def number(value: float) -> str:
    """As the tables have it."""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def seconds_of(what: Callable[[], object]) -> float:
    """Processor time."""
    gc.collect()
    begun = time.process_time_ns()
    what()
    return (time.process_time_ns() - begun) / NANOSECONDS


def bytes_of(what: Callable[[], Made]) -> tuple[int, Made]:
    """What is held by what it returns, and that."""
    gc.collect()
    tracemalloc.start()
    try:
        made = what()
        gc.collect()
        return tracemalloc.get_traced_memory()[0], made
    finally:
        tracemalloc.stop()


def percentile(seconds: Sequence[float], share: float) -> float:
    """In microseconds."""
    histogram = HdrHistogram(1, LONGEST, 3)
    for each in seconds:
        histogram.record_value(max(round(each * 1e6), 1))
    return float(histogram.get_value_at_percentile(share))
