"""Answer assembly: queries from their arrival to the final answer. Types: `stepknot/interface.py`.

At the end of its wait a query is answered from the parts that were served, whether they are complete or not.
A query is rejected only where repeating it is harmless.
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

# Share of the base wait that is reserved for a second step, which has fewer and lighter parts.
SECOND_STEP_SHARE = 0.4
ANSWER_GUARD_TICKS = 4  # ticks between the latest final answer and the client's deadline


def served_weight(query: Query) -> float:
    """The total weight of the current step's parts that were served."""
    return sum([part.weight for part in query.parts if part.is_served])


def reachable_weight(query: Query) -> float:
    """The total weight of the current step's parts that were served or have an attempt in flight."""
    return sum([part.weight for part in query.parts if part.is_served or part.attempts_in_flight])


class AnswerAssembly:
    """Holds each query from its arrival to its final answer, which may also be a rejection or a failure.

    The answer after the first of two steps is not final.
    """

    __slots__ = (
        "_budget",
        "_by_query_id",
        "_dispatcher",
        "_throttle",
        "_timers",
        "_turn",
        "queries",
        "unplaced",
    )

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
        self._by_query_id: dict[int, list[Query]] = {}  # the same queries by their id
        self.unplaced: dict[
            int, Query
        ] = {}  # by number, those with parts that have not been placed

    def on_query(self, event: QueryArrived) -> None:
        """Accept a query; one of an unknown class is rejected, because its effect is unknown."""
        self._budget.record_arrival()
        query_class = self._turn.settings.classes.get(event.class_name)
        if query_class is None:
            self._turn.actions.append(Refuse(event.query_id))
            return
        answer_by = event.deadline - ANSWER_GUARD_TICKS * self._turn.settings.tick
        query = Query(event.query_id, event.number, query_class, self._turn.now, answer_by)
        self.queries[event.number] = self.unplaced[event.number] = query
        self._by_query_id.setdefault(event.query_id, []).append(query)
        self._set_wait(query, 1 - SECOND_STEP_SHARE if query_class.second_step_parts else 1.0)

    def on_part(self, event: PartArrived) -> None:
        """Add a part to its query; the part is placed at the end of the turn."""
        self._budget.record_arrival()
        query = self.queries.get(event.number)
        if query is not None:
            query.parts.append(Part(event.part_id, event.shard, event.weight))
            self.unplaced[event.number] = query
            query.probe_deadline = None

    def on_client_gone(self, event: QueryGone) -> None:
        """End a query whose client has disconnected."""
        for query in list(self._by_query_id.get(event.query_id, ())):
            self._end(query)

    def _set_wait(self, query: Query, share: float) -> None:
        """Set the end of the wait to this share of the base wait, at most to the query's `answer_by`."""
        base_wait = query.query_class.aim * (1 - AIM_MARGIN) * share
        query.wait_end = min(query.arrived_at + base_wait, query.answer_by)
        is_over = query.wait_end <= self._turn.now  # true for a second step after a late first one
        if is_over and query.query_class.late_value:
            query.wait_end = query.answer_by
        self._timers.set(query.wait_end, partial(self._on_wait_end, query))

    def _on_wait_end(self, query: Query) -> None:
        is_waiting = query.number in self.queries and query.number not in self.unplaced
        if not is_waiting or self._turn.now < query.wait_end - EPSILON:
            return
        query_class, floor = query.query_class, query.query_class.floor - EPSILON
        is_late = served_weight(query) < floor <= reachable_weight(query)
        if is_late and query_class.late_value and self._turn.now < query.answer_by - EPSILON:
            # The attempts in flight may still complete a late answer. A client that retried instead would get
            # no better one.
            query.wait_end, query.is_late = query.answer_by, True
            self._timers.set(query.answer_by, partial(self._on_wait_end, query))
        else:
            self.conclude(query)

    def on_part_ended(self, query: Query) -> None:
        """Conclude a query whose outcome is decided.

        That is a query of which each part was served or has no attempt in flight, a late query that has
        reached its floor, or a query that can no longer reach its floor.
        """
        floor = query.query_class.floor - EPSILON
        # Further work for a query that cannot reach its floor would be wasted.
        is_floor_unreachable = reachable_weight(query) < floor
        is_late_but_enough = query.is_late and served_weight(query) >= floor
        if (
            is_floor_unreachable
            or is_late_but_enough
            or all(part.is_served or not part.attempts_in_flight for part in query.parts)
        ):
            self.conclude(query)

    def conclude(self, query: Query) -> None:
        """Answer if the parts served reach the floor; else reject if a repeat is harmless, or fail."""
        query_class = query.query_class
        if query.parts and served_weight(query) >= query_class.floor - EPSILON:
            is_second = bool(query.first_parts)
            need = 1.0 if is_second else query_class.need
            is_complete = query.first_complete and served_weight(query) >= need - EPSILON
            self._turn.actions.append(Answer(query.query_id, is_complete))
            if query_class.second_step_parts and not is_second:
                self._begin_second_step(query, is_complete)
                return
        elif query_class.effect is Effect.SAFE or all(
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
        """Seconds after which the client of a rejected query may retry.

        This is the time in which a server at beta drains to alpha; a client that retried sooner would be
        rejected again. Once the latency objective has passed, a retry only adds load, so the advice is
        `max_retry_after`, the longest time that clients follow.
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
        of_same_id = self._by_query_id.get(query.query_id, [])
        if query in of_same_id:
            of_same_id.remove(query)
        if not of_same_id:
            self._by_query_id.pop(query.query_id, None)

    def _cancel(self, query: Query) -> None:
        """Cancel the attempts in flight of the current step: their answers are of no more use."""
        if self._turn.settings.limits.cancelling:
            in_flight = self._dispatcher.in_flight
            for part in query.parts:
                for number in range(len(part.servers)):
                    if (part.part_id, number) in in_flight:
                        self._turn.actions.append(Cancel(part.part_id, number))
