"""How the budget of a node that has just started is divided among the brokers that may send to it.

A broker may send to a cold node only if the draw of both names is in the last share q of its range; q is the broker's
own choice, from its own view. Then it takes 1 / D of the budget with D >= count x q. For one node, with the draws of B
brokers independent, any mix of views gives an expected sum of B brokers' shares

    sum over brokers of  P(draw in q) / D  =  sum of q / D  <=  sum of 1 / count  <=  1,   count >= B,

whatever each one's q. D is raised by `SPREAD` standard deviations of the count of those that may, so that the sum
itself, not only its mean, stays under the budget. Where that reaches the count of brokers, all may, and D is the count:
the rule of small fleets, which holds without chance.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Twice what is held in the mean: a node that is held ranks under that share at all but a few brokers.
ELIGIBLE = 2.0
SPREAD = 4.0  # standard deviations


@dataclass(frozen=True, slots=True)
class ColdShare:
    """`share` of the brokers may send to the cold node; each divides its budget by `divisor`."""

    share: float
    divisor: float

    def may_send(self, drawn: float) -> bool:
        """`drawn` as `choice.draw` has it: the greatest draws rank first."""
        return drawn > 1.0 - self.share


def cold_share(quota: int, live: int, instances: int) -> ColdShare:
    """For a cell of so many live nodes, of which this broker uses `quota`."""
    share = min(1.0, ELIGIBLE * quota / max(live, 1))
    mean = instances * share
    divisor = mean + SPREAD * math.sqrt(mean * (1.0 - share))
    if divisor >= instances:
        return ColdShare(1.0, float(instances))
    return ColdShare(share, divisor)
