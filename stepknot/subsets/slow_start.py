"""Slow start: how the capacity of a node that has just started is divided among the brokers that may send to it.

A broker is eligible to send to a node in slow start only if the uniform hash of both names is in the highest fraction
q of its range; q is the broker's own, from its own view. Then it takes 1 / D of the capacity, with D = c q + 4 s, where
c is its count of brokers and s^2 = c q (1 - q) the variance of the number of eligible ones. For one node and the B
brokers that there are, with c >= B in all views:

    mean of the sum of quotas  =  sum of q / D  =  sum of (1 - 4 r) / c  <=  1 - 4 mean(r),     r = s / D < 1/4,
    its variance               =  sum of q (1 - q) / D^2  =  sum of r^2 / c  <=  mean(r^2),

    mean + 4 standard deviations  <=  1 + 4 (root mean square of r - mean of r)  <=  1 + max(r)  <  1.25,

as values in [0, R] have a root mean square of R / 4 over their mean at most. Where all views are alike, r is one value
and the bound is 1; for any mix of views, the part of the capacity that the decision library leaves free
(its COLD_UTILIZATION, 1 / 1.25) covers the rest. Where D reaches c, all brokers are eligible and D is c: the
rule of small fleets, exact.

The bound rests on these conditions:
- A view does not depend on the hashes of this node. A node that restarts because many brokers selected it violates
  that: the bound must then hold for the maximum of all nodes' sums, which is why four deviations are kept, and not only
  the mean.
- c counts every broker that can send, also one that was cut off, and an identity that was replaced within the time
  in which a node becomes overloaded (`at_most`, the upper bound that membership gives).
- A view stays as it is for that time. One that goes from (q, D) to (q', D') within it counts as
  max(q, q') / min(D, D').
- Identities differ. Two brokers with one identity have the same hashes: the mean holds, the variance is four times that
  of one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Twice what is selected in the mean: a selected node is in that fraction of the ranking at all but a few brokers.
ELIGIBLE_FACTOR = 2.0
KEPT_DEVIATIONS = 4.0  # standard deviations


@dataclass(frozen=True, slots=True)
class SlowStartShare:
    """`fraction` of the brokers are eligible to send; each of these divides the node's capacity by `divisor`."""

    fraction: float
    divisor: float

    def is_eligible(self, uniform: float) -> bool:
        """Whether a broker with this `uniform_hash` for the node may send to it; the highest hashes rank first."""
        return uniform > 1.0 - self.fraction


def slow_start_share(quota: int, live_count: int, instances: int) -> SlowStartShare:
    """The share for a node of a cell with `live_count` live nodes, of which this broker uses `quota`."""
    fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1))
    mean = instances * fraction
    # One eligible broker takes the capacity once at most, however few are eligible in the mean.
    divisor = max(mean + KEPT_DEVIATIONS * math.sqrt(mean * (1.0 - fraction)), 1.0)
    if divisor >= instances:
        return SlowStartShare(1.0, float(instances))
    return SlowStartShare(fraction, divisor)
