"""The capsule of each server: n, its recent mean response time, the watermarks and the wait of a part.

After "Dependency Capsules: Isolating Dependencies in Thread-Based Multi-Tier Internet Services", section IV.
The base wait t of a class is its aim less a margin. A part waits t, or less once n exceeds alpha; at beta it
is not sent. It is bypassed where its wait is shorter than the server's mean. Types: `stepknot/interface.py`.
"""

from __future__ import annotations

import math

from stepknot.decisions.records import Call, Capsule, Query
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import ServerEntry, ServerState

# Beta is what a server is seen to finish within this share of the shortest base wait of all classes: a queue
# that the most hurried class can bear. The rest is for the spread of work.
BETA_SHARE = 0.65
MIN_BETA = 2.0  # also of a server that was seen to be very slow: with nothing out nothing is learnt
# Of beta. From here on the wait shrinks. Queries that need all parts are rejected from beta on.
ALPHA_SHARE = 0.8
# Means of time left, below which a part is bypassed: clients that give up early waste the work.
MIN_MEANS_LEFT = 1.5
AIM_MARGIN = 0.05  # share of the aim kept for the way to the client; the base wait is the rest
UNKNOWN_MEAN_SHARE = 0.1  # mean time, in shortest base waits, before any server has answered
SERVER_SAMPLE_WEIGHT = 0.2  # of a response in its server's mean
FLEET_SAMPLE_WEIGHT = 0.05  # of a response in the mean of all servers
HALF_LIFE = 5.0  # seconds in which half of a mean is forgotten
REPORT_WEIGHT = 0.5  # of what a load report says: it may be late, noisy, frozen or wrong
REPORT_FRESH_SHARE = 0.5  # of the shortest base wait: so long a load report counts


class Throttle:
    """Computes with capsules: counts what is out, keeps the means, derives watermarks and waits."""

    __slots__ = ("_report_fresh", "_turn", "base_wait", "fleet", "unknown_mean")

    def __init__(self, turn: Turn) -> None:
        self._turn = turn
        classes = turn.settings.classes.values()
        shortest_aim = min((each.aim for each in classes), default=1.0)
        self.base_wait = shortest_aim * (1 - AIM_MARGIN)  # the shortest of all classes, seconds
        self.fleet = Capsule(ServerEntry("", "", 0, ServerState.LIVE))  # means over all servers
        # Taken for a part's mean time, in seconds, before any server has answered.
        self.unknown_mean = self.base_wait * UNKNOWN_MEAN_SHARE
        self._report_fresh = REPORT_FRESH_SHARE * self.base_wait

    def joins_call(self, capsule: Capsule) -> bool:
        """Whether a further part joins a call that was formed in this turn."""
        call = capsule.last_call
        return (
            call.turn == self._turn.number
            and call.parts_out > 0
            and call.parts < self._turn.settings.parts_per_call
        )

    def n(self, capsule: Capsule) -> int:
        """The calls out, less one formed in this turn that a further part joins."""
        return len(capsule.calls) - self.joins_call(capsule)

    def count_out(self, capsule: Capsule) -> Call:
        """Count one more part out; returns the call in which it travels."""
        if self.joins_call(capsule):
            call = capsule.last_call
        else:
            gap = self._turn.now - capsule.last_used_at
            call = capsule.last_call = Call(self._turn.number, gap > self.base_wait)
            capsule.send_gap = max(gap, 0.0)
            capsule.calls.add(call)
        call.parts += 1
        call.parts_out += 1
        return call

    def release(self, capsule: Capsule, call: Call) -> None:
        """Count one part of a call as no longer out."""
        call.parts_out -= 1
        if not call.parts_out:
            capsule.calls.discard(call)

    def confidence(self, capsule: Capsule) -> float:
        """How much is left of the means, 0 to 1: half after each `HALF_LIFE` without a response."""
        if not capsule.responses:
            return 0.0
        return math.exp2((capsule.last_response_at - self._turn.now) / HALF_LIFE)

    def estimate(self, capsule: Capsule) -> tuple[float, float]:
        """A server's recent mean time, and its pace: the mean time for each part that was out.

        A server without responses is taken for the fleet. Less is left of its own mean the longer nothing
        came back: a bypassed server must come into use again.
        """
        mean, out = self._blend(self.fleet, self.unknown_mean, 1.0)
        mean, out = self._blend(capsule, mean, out)
        mean = max(mean, EPSILON)
        return mean, mean / out

    def fleet_pace(self) -> float:
        """The pace of all servers together, in seconds."""
        mean, out = self._blend(self.fleet, self.unknown_mean, 1.0)
        return max(mean, EPSILON) / out

    def _blend(self, capsule: Capsule, mean: float, out: float) -> tuple[float, float]:
        """Move a mean time and a mean number out towards a capsule's, by the confidence in it."""
        if not capsule.responses:
            return mean, out
        weight = self.confidence(capsule)
        return mean + weight * (capsule.mean_time - mean), out + weight * (capsule.mean_out - out)

    def record_response(self, capsule: Capsule, elapsed: float, out: float, weight: float) -> None:
        """Take a response time into the means, by this weight or as one of the first few."""
        capsule.responses += 1
        capsule.last_response_at = self._turn.now
        weight = max(weight, 1 / capsule.responses)
        capsule.mean_time += weight * (elapsed - capsule.mean_time)
        capsule.mean_out += weight * (out - capsule.mean_out)

    def others_out(self, capsule: Capsule) -> float:
        """What other aggregators have out there: by its load report while fresh, else as at others."""
        if self._turn.now - capsule.reported_at < self._report_fresh:
            return REPORT_WEIGHT * capsule.others
        return REPORT_WEIGHT * self.confidence(self.fleet) * self.fleet.others

    def part_wait(
        self, query: Query, capsule: Capsule, share: float = 1.0, is_trial: bool = False
    ) -> float:
        """How long a part may wait for this server: 0 at the bound, and for a part to be bypassed.

        Args:
            query: The part's query.
            capsule: The server's.
            share: Factor on beta.
            is_trial: Whether a server that has been idle may get a part whatever its mean.
        """
        left = query.wait_end - self._turn.now
        if query.first_parts:  # never shed: the work of the first step would be for nothing
            return left
        mean, pace = self.estimate(capsule)
        beta = max(MIN_BETA, BETA_SHARE * self.base_wait / pace * query.priority) * share
        alpha = ALPHA_SHARE * beta
        out = self.n(capsule) + self.others_out(capsule)
        wait = left if out < beta else 0.0
        if out > alpha and not query.query_class.all_parts:
            wait = max(0.0, left * (beta - out) / (beta - alpha))
        # Its mean, or less with less out than at that time: a server that had a queue is not a slow one.
        expected = min(mean, pace * (out + 1))
        if wait >= expected and left >= MIN_MEANS_LEFT * expected:
            return wait
        # A server with nothing out for a shortest base wait has worked off what made it slow.
        is_idle = out < 1 and self._turn.now - capsule.last_used_at >= self.base_wait
        return left if is_trial and is_idle else 0.0
