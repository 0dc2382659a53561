"""How the budget of a node that has just started is divided among the brokers that may send to it.

A broker may send to a cold node only if the draw of both names is in the last share q of its range; q is the broker's
own choice, from its own view. Then it takes 1 / D of the budget, with D = c q + 4 s, where c is its count of brokers
and s^2 = c q (1 - q) the variance of how many may. For one node and the B brokers that there are, with c >= B in all
views:

    mean of the sum of shares  =  sum of q / D  =  sum of (1 - 4 r) / c  <=  1 - 4 mean(r),     r = s / D < 1/4,
    its variance               =  sum of q (1 - q) / D^2  =  sum of r^2 / c  <=  mean(r^2),

    mean + 4 standard deviations  <=  1 + 4 (root mean square of r - mean of r)  <=  1 + max(r)  <  1.25,

as values in [0, R] have a root mean square of R / 4 over their mean at most. Where all views are alike r is one value
and the bound is 1; whatever the mix, the part of the budget that the module leaves free (its COLD_USE, 1 / 1.25) takes
the rest. Where D reaches c, all may, and D is c: the rule of small fleets, which holds without chance.

What this rests on:
- A view does not depend on the draws of this node. A node that restarts because many hold it is such a case: the bound
  must then be over the greatest of all nodes' sums, which is why four deviations are kept, and not the mean alone.
- c counts every broker that can send, also one that was cut off, and an identity that was replaced within the time in
  which a node falls over (peers' `at_most`).
- A view stays as it is for that time. One that goes from (q, D) to (q', D') within it is worth max(q, q') / min(D, D').
- Identities differ. Two brokers of one name draw alike: the mean holds, the variance is four times that of one.
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
    # One that may takes the budget at most, however few may in the mean.
    divisor = max(mean + SPREAD * math.sqrt(mean * (1.0 - share)), 1.0)
    if divisor >= instances:
        return ColdShare(1.0, float(instances))
    return ColdShare(share, divisor)
