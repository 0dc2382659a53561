"""Figures with their spread over repeats, and the line through a series of them: pure functions of what was measured.

A line is fitted by least squares through the medians (`Fit`), and once more through each repeat alone, for the spread
of its slope. How far it holds is told by `r2`, by the worst point's distance from it (`misfit`), and by how many times
the range that was measured goes into the size that is asked about (`Series.factor`).
"""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spread:
    """Of one figure over its repeats."""

    low: float
    median: float
    high: float
    repeats: int


@dataclass(frozen=True, slots=True)
class Figure:
    """A figure of one case, without a size that it would depend on."""

    case: str
    name: str
    unit: str
    spread: Spread


@dataclass(frozen=True, slots=True)
class Point:
    """What the repeats gave at one size, in the repeats' order."""

    x: float
    values: tuple[float, ...]

    @property
    def spread(self) -> Spread:
        return spread(self.values)


@dataclass(frozen=True, slots=True)
class Fit:
    """`intercept + slope * x`. `misfit`: the greatest distance of a median from the line, as a share of that median.
    `power`: of x, that the medians grow with (1: in proportion); none where one of them is not positive."""

    intercept: float
    slope: float
    r2: float
    misfit: float
    power: float | None
    slopes: Spread  # of the lines through each repeat alone
    low: float  # the sizes measured
    high: float

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


@dataclass(frozen=True, slots=True)
class Series:
    """A figure in `unit` against a size `x_name`. `target`: the size that is asked about."""

    name: str
    x_name: str
    unit: str
    target: float
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit | None:
        return fit(self.points) if len({point.x for point in self.points}) > 1 else None

    @property
    def factor(self) -> float:
        """How many times the greatest size measured goes into the target: over 1 the line is extrapolated."""
        return self.target / max(point.x for point in self.points)


def spread(values: Sequence[float]) -> Spread:
    """Raises ValueError where there are none."""
    if not values:
        raise ValueError("no values to take a spread of")
    return Spread(min(values), statistics.median(values), max(values), len(values))


def line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float]:
    """Intercept and slope by least squares. Raises ValueError for fewer than two different x."""
    if len(set(xs)) < 2:
        raise ValueError("a line needs two different sizes")
    x_mean, y_mean = statistics.fmean(xs), statistics.fmean(ys)
    slope = sum((x - x_mean) * (y - y_mean) for x, y in zip(xs, ys, strict=True)) / sum(
        (x - x_mean) ** 2 for x in xs
    )
    return y_mean - slope * x_mean, slope


def fit(points: Sequence[Point]) -> Fit:
    """Raises ValueError for fewer than two different sizes, or a size without values."""
    xs, ys = [point.x for point in points], [point.spread.median for point in points]
    intercept, slope = line(xs, ys)
    errors = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    y_mean = statistics.fmean(ys)
    total = sum((y - y_mean) ** 2 for y in ys)
    r2 = 1 - sum(error**2 for error in errors) / total if total else 1.0
    misfit = max((abs(error / y) for error, y in zip(errors, ys, strict=True) if y), default=0.0)
    return Fit(intercept, slope, r2, misfit, power_of(xs, ys), slopes_of(points), min(xs), max(xs))


def power_of(xs: Sequence[float], ys: Sequence[float]) -> float | None:
    """The slope of the line through the logarithms."""
    if min(*xs, *ys) <= 0:
        return None
    return line([math.log(x) for x in xs], [math.log(y) for y in ys])[1]


def slopes_of(points: Sequence[Point]) -> Spread:
    """Of the lines through each repeat alone. Greater sizes may have fewer repeats: a line goes through those sizes
    that have the repeat, and one with fewer than two is left out."""
    found = []
    for repeat in range(max(len(point.values) for point in points)):
        there = [point for point in points if repeat < len(point.values)]
        if len({point.x for point in there}) > 1:
            found.append(
                line([point.x for point in there], [point.values[repeat] for point in there])[1]
            )
    return spread(found)
