"""Computations on a server's capsule: n, mean response time, watermarks, the wait of a part.

They follow "Dependency Capsules: Isolating Dependencies in Thread-Based Multi-Tier Internet Services",
section IV. The base wait t of a class is its latency objective (`aim`) minus a margin. A part waits for t, or
for less once n exceeds alpha; at beta it is not sent. A part is bypassed if its wait is shorter than the
server's mean response time. Types: `stepknot/interface.py`.
"""

from __future__ import annotations

import math

from stepknot.decisions.records import Call, Capsule, Query
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import ServerEntry, ServerState

# Beta is the number of calls that a server finishes, at its recent rate, within this fraction of the shortest
# base wait of all classes. A queue of that length is acceptable to the class with the shortest objective; the
# rest of the wait allows for the variation of work between calls.
BETA_SHARE = 0.65
# Lower bound of beta. It lets even a very slow server get a few parts, because only the responses to them
# show whether the server has become faster.
MIN_BETA = 2.0
# Alpha as a fraction of beta. The wait shrinks above alpha. Queries that need all parts keep their full wait
# and are rejected at beta.
ALPHA_SHARE = 0.8
# A part is bypassed if the time left is less than this many mean response times. The margin is for clients
# that give up early, for which the part's work would be wasted.
MIN_TIME_LEFT_IN_MEANS = 1.5
AIM_MARGIN = 0.05  # fraction of `aim` reserved for the way to the client; the base wait is the rest
# Mean response time before any response, as a fraction of the shortest base wait.
INITIAL_MEAN_SHARE = 0.1
SERVER_SAMPLE_WEIGHT = 0.2  # weight of one response in its server's mean
FLEET_SAMPLE_WEIGHT = 0.05  # weight of one response in the mean of all servers
HALF_LIFE = 5.0  # seconds without a response after which a mean has half of its weight
# Weight of the value in a load report, which may be late, noisy, frozen or wrong.
REPORT_WEIGHT = 0.5
MAX_REPORT_AGE_SHARE = 0.5  # maximum age of a load report, as a fraction of the shortest base wait


class Throttle:
    """Counts the calls in flight to each server, updates the means, and derives watermarks and waits."""

    __slots__ = ("_max_report_age", "_turn", "base_wait", "fleet", "initial_mean")

    def __init__(self, turn: Turn) -> None:
        self._turn = turn
        classes = turn.settings.classes.values()
        shortest_aim = min((each.aim for each in classes), default=1.0)
        self.base_wait = shortest_aim * (1 - AIM_MARGIN)  # the shortest of all classes, in seconds
        self.fleet = Capsule(ServerEntry("", "", 0, ServerState.LIVE))  # means over all servers
        # The assumed mean response time before any server has answered, in seconds.
        self.initial_mean = self.base_wait * INITIAL_MEAN_SHARE
        self._max_report_age = MAX_REPORT_AGE_SHARE * self.base_wait

    def joins_call(self, capsule: Capsule) -> bool:
        """Whether a further part joins a call that was created in this turn."""
        call = capsule.last_call
        return (
            call.turn == self._turn.number
            and call.parts_in_flight > 0
            and call.parts < self._turn.settings.parts_per_call
        )

    def n(self, capsule: Capsule) -> int:
        """The number of calls in flight, without a call of this turn that a further part would join."""
        return len(capsule.calls) - self.joins_call(capsule)

    def add_part(self, capsule: Capsule) -> Call:
        """Count one more part as in flight; returns the call that carries it."""
        if self.joins_call(capsule):
            call = capsule.last_call
        else:
            gap = self._turn.now - capsule.last_used_at
            call = capsule.last_call = Call(self._turn.number, gap > self.base_wait)
            capsule.send_gap = max(gap, 0.0)
            capsule.calls.add(call)
        call.parts += 1
        call.parts_in_flight += 1
        return call

    def release(self, capsule: Capsule, call: Call) -> None:
        """Count one part of a call as no longer in flight."""
        call.parts_in_flight -= 1
        if not call.parts_in_flight:
            capsule.calls.discard(call)

    def confidence(self, capsule: Capsule) -> float:
        """The weight of a capsule's means, 0 to 1: it halves with each `HALF_LIFE` without a response."""
        if not capsule.responses:
            return 0.0
        return math.exp2((capsule.last_response_at - self._turn.now) / HALF_LIFE)

    def estimate(self, capsule: Capsule) -> tuple[float, float]:
        """A server's recent mean response time and its response interval.

        The response interval is the mean time between two responses of the server: the mean response time
        divided by the mean number of parts in flight. A server without responses has the means of the fleet.
        Its own means lose weight while it sends no responses, so that a bypassed server is used again.
        """
        mean, in_flight = self._blend(self.fleet, self.initial_mean, 1.0)
        mean, in_flight = self._blend(capsule, mean, in_flight)
        mean = max(mean, EPSILON)
        return mean, mean / in_flight

    def fleet_response_interval(self) -> float:
        """The response interval by the means of all servers, in seconds."""
        mean, in_flight = self._blend(self.fleet, self.initial_mean, 1.0)
        return max(mean, EPSILON) / in_flight

    def _blend(self, capsule: Capsule, mean: float, in_flight: float) -> tuple[float, float]:
        """Move a mean time and a mean number in flight towards those of a capsule, by their confidence."""
        if not capsule.responses:
            return mean, in_flight
        weight = self.confidence(capsule)
        return mean + weight * (capsule.mean_time - mean), in_flight + weight * (
            capsule.mean_in_flight - in_flight
        )

    def record_response(
        self, capsule: Capsule, elapsed: float, in_flight: float, weight: float
    ) -> None:
        """Update a capsule's moving averages with a response time and the calls in flight at the send.

        The n-th response has the weight 1/n, or the given weight if that is greater. The average is therefore
        a plain mean of the first responses, and an exponential moving average later.
        """
        capsule.responses += 1
        capsule.last_response_at = self._turn.now
        weight = max(weight, 1 / capsule.responses)
        capsule.mean_time += weight * (elapsed - capsule.mean_time)
        capsule.mean_in_flight += weight * (in_flight - capsule.mean_in_flight)

    def others_in_flight(self, capsule: Capsule) -> float:
        """The number of parts that other aggregators have in flight at a server, as far as it is counted.

        It comes from the server's load report while that is recent, else from the mean of all servers.
        """
        if self._turn.now - capsule.reported_at < self._max_report_age:
            return REPORT_WEIGHT * capsule.reported_others
        return REPORT_WEIGHT * self.confidence(self.fleet) * self.fleet.reported_others

    def part_wait(
        self, query: Query, capsule: Capsule, beta_factor: float = 1.0, is_trial: bool = False
    ) -> float:
        """Seconds for which a part may wait for this server; 0 if the server is at beta or is bypassed.

        Args:
            query: The part's query.
            capsule: The server's capsule.
            beta_factor: Factor applied to beta.
            is_trial: Whether an idle server may get a part whatever its mean response time.
        """
        time_left = query.wait_end - self._turn.now
        if query.first_parts:  # a second step is never shed: the first step's work would be wasted
            return time_left
        mean, response_interval = self.estimate(capsule)
        beta = (
            max(MIN_BETA, BETA_SHARE * self.base_wait / response_interval * query.priority)
            * beta_factor
        )
        alpha = ALPHA_SHARE * beta
        in_flight = self.n(capsule) + self.others_in_flight(capsule)
        wait = time_left if in_flight < beta else 0.0
        if in_flight > alpha and not query.query_class.all_parts:
            wait = max(0.0, time_left * (beta - in_flight) / (beta - alpha))
        # The expected response time is below the mean if fewer parts are in flight now than when the mean was
        # measured: a server that had a queue is not a slow server.
        expected = min(mean, response_interval * (in_flight + 1))
        if wait >= expected and time_left >= MIN_TIME_LEFT_IN_MEANS * expected:
            return wait
        # A server that has been idle for the shortest base wait has emptied the queue that made it slow.
        is_idle = in_flight < 1 and self._turn.now - capsule.last_used_at >= self.base_wait
        return time_left if is_trial and is_idle else 0.0
