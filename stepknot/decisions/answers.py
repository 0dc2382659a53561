"""Answer assembly: queries from their arrival to the final answer. Types: `stepknot/interface.py`.

At the end of its wait a query is answered from what came, complete or not. A rejection is given only where
to repeat the query is harmless.
"""

from __future__ import annotations

from functools import partial

from stepknot.decisions.capsule import AIM_MARGIN, ALPHA_SHARE, BETA_SHARE, Throttle
from stepknot.decisions.dispatch import Dispatcher
from stepknot.decisions.records import Part, Query
from stepknot.decisions.retry_budget import RetryBudget
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import (
    Answer,
    Cancel,
    Effect,
    Fail,
    PartArrived,
    QueryArrived,
    QueryGone,
    Refuse,
)

# Share of the base wait that is kept for a second step, which has fewer and lighter parts.
SECOND_STEP_SHARE = 0.4
ANSWER_GUARD_TICKS = 4  # a final answer is given so many ticks before the client's time is over


def served_weight(query: Query) -> float:
    """The weight of the present step's parts that were served."""
    return sum([part.weight for part in query.parts if part.is_served])


def reachable_weight(query: Query) -> float:
    """The weight of the present step's parts that were served or are out."""
    return sum([part.weight for part in query.parts if part.is_served or part.attempts_out])


class AnswerAssembly:
    """The queries that have no final answer yet."""

    __slots__ = ("_budget", "_dispatcher", "_throttle", "_timers", "_turn", "queries", "unplaced")

    def __init__(
        self,
        turn: Turn,
        timers: Timers,
        throttle: Throttle,
        dispatcher: Dispatcher,
        budget: RetryBudget,
    ) -> None:
        self._turn, self._timers, self._throttle = turn, timers, throttle
        self._dispatcher, self._budget = dispatcher, budget
        self.queries: dict[int, Query] = {}  # by number
        self.unplaced: dict[int, Query] = {}  # those with parts that have not been placed

    def on_query(self, event: QueryArrived) -> None:
        """Take a query; one of an unknown class is rejected, as nothing is known of its effect."""
        self._budget.note_arrival()
        kind = self._turn.settings.classes.get(event.class_name)
        if kind is None:
            self._turn.actions.append(Refuse(event.query_id))
            return
        answer_by = event.deadline - ANSWER_GUARD_TICKS * self._turn.settings.tick
        query = Query(event.query_id, event.number, kind, self._turn.now, answer_by)
        self.queries[event.number] = self.unplaced[event.number] = query
        self._set_wait(query, 1 - SECOND_STEP_SHARE if kind.second_step_parts else 1.0)

    def on_part(self, event: PartArrived) -> None:
        """Take a part of a query; it is placed at the end of the turn."""
        self._budget.note_arrival()
        query = self.queries.get(event.number)
        if query is not None:
            query.parts.append(Part(event.part_id, event.shard, event.weight))
            self.unplaced[event.number] = query
            query.probe_deadline = None

    def on_client_gone(self, event: QueryGone) -> None:
        """End a query whose client has disconnected."""
        for query in [each for each in self.queries.values() if each.query_id == event.query_id]:
            self._end(query)

    def _set_wait(self, query: Query, share: float) -> None:
        """Set the end of the wait to this share of the base wait, never past the time left."""
        base_wait = query.query_class.aim * (1 - AIM_MARGIN) * share
        query.wait_end = min(query.arrived_at + base_wait, query.answer_by)
        is_over = query.wait_end <= self._turn.now  # in the second step after a late first one
        if is_over and query.query_class.late_value:
            query.wait_end = query.answer_by
        self._timers.set(query.wait_end, partial(self._on_wait_end, query))

    def _on_wait_end(self, query: Query) -> None:
        is_waiting = query.number in self.queries and query.number not in self.unplaced
        if not is_waiting or self._turn.now < query.wait_end - EPSILON:
            return
        kind, floor = query.query_class, query.query_class.floor - EPSILON
        is_late = served_weight(query) < floor <= reachable_weight(query)
        if is_late and kind.late_value and self._turn.now < query.answer_by - EPSILON:
            # What is out may still make a late answer; a client that asks again would get no better one.
            query.wait_end, query.is_late = query.answer_by, True
            self._timers.set(query.answer_by, partial(self._on_wait_end, query))
        else:
            self.conclude(query)

    def on_part_ended(self, query: Query) -> None:
        """Conclude a query that is decided: complete, late and good enough, or without hope."""
        floor = query.query_class.floor - EPSILON
        is_hopeless = reachable_weight(query) < floor  # nothing more is spent on it
        is_enough = query.is_late and served_weight(query) >= floor
        if (
            is_hopeless
            or is_enough
            or all(part.is_served or not part.attempts_out for part in query.parts)
        ):
            self.conclude(query)

    def conclude(self, query: Query) -> None:
        """Answer from what came; otherwise reject where that is harmless, or fail."""
        kind = query.query_class
        if query.parts and served_weight(query) >= kind.floor - EPSILON:
            is_second = bool(query.first_parts)
            need = 1.0 if is_second else kind.need
            is_complete = query.first_complete and served_weight(query) >= need - EPSILON
            self._turn.actions.append(Answer(query.query_id, is_complete))
            if kind.second_step_parts and not is_second:
                self._begin_second_step(query, is_complete)
                return
        elif kind.effect is Effect.SAFE or all(
            part.may_run_since is None for part in query.parts + query.first_parts
        ):
            self._turn.actions.append(Refuse(query.query_id, self._retry_after(query)))
        else:
            self._turn.actions.append(Fail(query.query_id))
        self._end(query)

    def _begin_second_step(self, query: Query, is_complete: bool) -> None:
        self._cancel(query)
        query.first_parts, query.parts = query.parts, []
        query.first_complete = is_complete
        self._set_wait(query, 1.0)

    def _retry_after(self, query: Query) -> float:
        """When the client of a rejected query may come back, in seconds.

        By then a server at beta has come down to alpha; a client that is back sooner would be rejected again.
        With the aim over, a client that is back only adds to the load: the longest advice that is followed.
        """
        limits, base_wait = self._turn.settings.limits, self._throttle.base_wait
        if not limits.retry_after:
            return 0.0
        aim_end = query.arrived_at + query.query_class.aim * (1 - AIM_MARGIN)
        if self._turn.now >= aim_end - EPSILON:
            return limits.max_retry_after
        return min(BETA_SHARE * (1 - ALPHA_SHARE) * base_wait, limits.max_retry_after)

    def _end(self, query: Query) -> None:
        self._cancel(query)
        query.parts = []
        self.queries.pop(query.number, None)
        self.unplaced.pop(query.number, None)

    def _cancel(self, query: Query) -> None:
        """Cancel what is still out: its answer would serve nothing."""
        if self._turn.settings.limits.cancelling:
            in_flight = self._dispatcher.in_flight
            for part in query.parts:
                for number in range(len(part.servers)):
                    if (part.part_id, number) in in_flight:
                        self._turn.actions.append(Cancel(part.part_id, number))
