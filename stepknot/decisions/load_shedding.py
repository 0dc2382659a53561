"""Load shedding: places a query's parts, or rejects it before any send. Types: `stepknot/interface.py`."""

from __future__ import annotations

import math

from stepknot.decisions.answers import AnswerAssembly
from stepknot.decisions.dispatch import Dispatcher
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, Query
from stepknot.decisions.turn import EPSILON, Turn

# Near beta, queries with a higher worth per part are preferred: beta is multiplied by the square root of the
# ratio of the query's worth per part to the recent mean. The factor is bounded, so that no class starves.
MIN_PRIORITY = 0.6
MAX_PRIORITY = 1.5
WORTH_SAMPLE_WEIGHT = 0.02  # weight of one query in the mean worth


class LoadShedding:
    """Places queries as long as servers are below beta, and concludes the others without a send."""

    __slots__ = ("_answers", "_dispatcher", "_endpoints", "_outage", "_turn", "mean_worth")

    def __init__(
        self,
        turn: Turn,
        endpoints: EndpointList,
        dispatcher: Dispatcher,
        outliers: OutlierDetection,
        answers: AnswerAssembly,
    ) -> None:
        self._turn, self._endpoints, self._dispatcher = turn, endpoints, dispatcher
        self._outage, self._answers = outliers.outage, answers
        self.mean_worth = 0.0  # moving average of the worth per part

    def place(self, query: Query) -> None:
        """Choose a server and a wait for each part and send them, or conclude the query.

        After an outage of all servers, their means would cause every query to be rejected until they decay,
        and no response could correct them in that time. During an outage, a query that would be rejected is
        therefore sent to idle servers as a trial.
        """
        if not query.first_parts:
            self._set_priority(query)
        if self._try_to_place(query):
            return
        is_outage = self._outage.is_present(len(self._endpoints.capsules))
        if not (is_outage and self._try_to_place(query, is_trial=True)):
            self._answers.conclude(query)

    def _set_priority(self, query: Query) -> None:
        """Set the query's factor for beta from its worth per part."""
        by_work = self._turn.settings.worth_by_work
        worth = query.query_class.worth / (1 if by_work else max(len(query.parts), 1))
        weight = WORTH_SAMPLE_WEIGHT if self.mean_worth else 1.0
        self.mean_worth += weight * (worth - self.mean_worth)
        priority = math.sqrt(worth / max(self.mean_worth, EPSILON))
        query.priority = min(MAX_PRIORITY, max(MIN_PRIORITY, priority))

    def _try_to_place(self, query: Query, is_trial: bool = False) -> bool:
        """Send all parts that can be sent; send none if their total weight is below the floor."""
        dispatcher = self._dispatcher
        plan: list[Attempt] = []
        for part in query.parts:
            attempt = dispatcher.plan(query, part, 1.0, is_trial)
            if attempt:
                plan.append(attempt)
        floor = max(query.query_class.floor - EPSILON, EPSILON)
        if sum([attempt.part.weight for attempt in plan]) >= floor:
            for attempt in plan:
                dispatcher.send(attempt)
            return True
        for attempt in plan:
            dispatcher.withdraw(attempt)
        return False
