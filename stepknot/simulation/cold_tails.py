"""Exact probabilities of what brokers together may send to a cold node: sums of independent shares, by their views."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from stepknot.subsets.slow_start import SlowStartShare, slow_start_share


@dataclass(frozen=True, slots=True)
class View:
    """So many brokers that see so many live nodes, use `quota` of them and count `count` brokers."""

    brokers: int
    quota: int
    live: int
    count: int

    @property
    def share(self) -> SlowStartShare:
        return slow_start_share(self.quota, self.live, self.count)


def pmf(trials: int, chance: float) -> list[float]:
    """Of a binomial count, 0 to `trials`."""
    if chance >= 1.0:
        return [0.0] * trials + [1.0]
    logs = [
        math.lgamma(trials + 1)
        - math.lgamma(count + 1)
        - math.lgamma(trials - count + 1)
        + count * math.log(chance)
        + (trials - count) * math.log1p(-chance)
        for count in range(trials + 1)
    ]
    return [math.exp(each) for each in logs]


def tails(masses: Sequence[float]) -> list[float]:
    """P(count >= k) for k from 0 to one more than there is; summed from the small end."""
    found = [0.0]
    for mass in reversed(masses):
        found.append(found[-1] + mass)
    return found[::-1]


def over(views: Sequence[View], budget: float) -> float:
    """P(sum of shares > budget) of one or two views, exactly."""
    first, *rest = views
    masses = pmf(first.brokers, first.share.fraction)
    if not rest:
        return tails(masses)[
            min(math.floor(budget * first.share.divisor + 1e-9) + 1, first.brokers + 1)
        ]
    (other,) = rest
    others = tails(pmf(other.brokers, other.share.fraction))
    found = 0.0
    for count, mass in enumerate(masses):
        left = budget - count / first.share.divisor
        least = (
            0
            if left < -1e-12
            else min(math.floor(left * other.share.divisor + 1e-9) + 1, other.brokers + 1)
        )
        found += mass * others[least]
    return found


def mean_and_deviation(views: Sequence[View]) -> tuple[float, float]:
    mean = sum(view.brokers * view.share.fraction / view.share.divisor for view in views)
    variance = sum(
        view.brokers * view.share.fraction * (1 - view.share.fraction) / view.share.divisor**2
        for view in views
    )
    return mean, math.sqrt(variance)
