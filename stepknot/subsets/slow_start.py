"""Slow start: divides the capacity of a node that has just started among the brokers that may send to it.

A broker is eligible to send to a node in slow start only if the uniform hash of both names is in the highest fraction
q of its range; each broker derives q from its own view. An eligible broker takes 1 / D of the capacity, with
D = c q + 4 s, where c is its count of brokers and s^2 = c q (1 - q) is the variance of the number of eligible brokers.
For one node and the actual number of brokers B, with c >= B in all views:

    mean of the sum of quotas  =  sum of q / D  =  sum of (1 - 4 r) / c  <=  1 - 4 mean(r),     r = s / D < 1/4,
    its variance               =  sum of q (1 - q) / D^2  =  sum of r^2 / c  <=  mean(r^2),

    mean + 4 standard deviations  <=  1 + 4 (root mean square of r - mean of r)  <=  1 + max(r)  <  1.25,

because the root mean square of values in [0, R] exceeds their mean by at most R / 4. If all views are equal, r has a
single value and the bound is 1. For any mix of views, the excess is covered by the part of the capacity that the
decision library leaves free (its COLD_UTILIZATION is 1 / 1.25). If D reaches c, all brokers are eligible and D is c,
which is exact and applies to small fleets.

The bound holds under these conditions:
- A view does not depend on the hashes of this node. A node that restarts because many brokers selected it violates this
  condition: the bound must then hold for the maximum over all nodes' sums. This is why D includes a margin of four
  standard deviations and not only the mean.
- c counts every broker that can send, including one that was cut off, and an identity that was replaced within the time
  in which a node becomes overloaded (`at_most`, the upper bound that membership provides).
- A view does not change during that time. A view that changes from (q, D) to (q', D') within it counts as
  max(q, q') / min(D, D').
- Identities are unique. Two brokers with the same identity have the same hashes: the mean holds, but their variance is
  four times that of a single broker.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# The eligible fraction is twice the fraction of nodes that is selected on average; at nearly all brokers the selected
# nodes rank within it.
ELIGIBLE_FACTOR = 2.0
# Standard deviations by which the divisor exceeds the mean number of eligible brokers.
MARGIN_DEVIATIONS = 4.0


@dataclass(frozen=True, slots=True)
class SlowStartShare:
    """The fraction of brokers that are eligible to send, and the divisor by which each divides the node's capacity."""

    fraction: float
    divisor: float

    def is_eligible(self, uniform: float) -> bool:
        """Return whether a broker may send to the node, given the `uniform_hash` of the broker's and the node's names.

        It may if the hash is in the highest `fraction` of its range.
        """
        return uniform > 1.0 - self.fraction


def slow_start_share(quota: int, live_count: int, instances: int) -> SlowStartShare:
    """Return the share for a node of a cell with `live_count` live nodes, of which this broker uses `quota`."""
    fraction = min(1.0, ELIGIBLE_FACTOR * quota / max(live_count, 1))
    mean = instances * fraction
    # A single eligible broker takes at most the full capacity, even if the mean number of eligible brokers is below 1.
    divisor = max(mean + MARGIN_DEVIATIONS * math.sqrt(mean * (1.0 - fraction)), 1.0)
    if divisor >= instances:
        return SlowStartShare(1.0, float(instances))
    return SlowStartShare(fraction, divisor)
