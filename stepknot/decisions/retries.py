"""Retries: decides whether a part may be sent again. Types: `stepknot/interface.py`."""

from __future__ import annotations

from stepknot.decisions.answers import reachable_weight
from stepknot.decisions.dispatch import Dispatcher
from stepknot.decisions.records import Part, Query
from stepknot.decisions.retry_budget import RetryBudget
from stepknot.decisions.turn import EPSILON, Turn
from stepknot.interface import Effect


class Retries:
    """Sends further attempts of parts where that is allowed."""

    __slots__ = ("_turn", "budget", "dispatcher")

    def __init__(self, turn: Turn, budget: RetryBudget, dispatcher: Dispatcher) -> None:
        self._turn, self.budget, self.dispatcher = turn, budget, dispatcher

    def send_again(self, query: Query, part: Part, beta_factor: float = 1.0) -> None:
        """Send a part to another replica, if that is allowed.

        It is sent only if the class, the repeat window, the retry budget and the time left permit it, and a
        replica is below beta.

        Args:
            query: The part's query.
            part: The part.
            beta_factor: Factor applied to the replica's beta.
        """
        is_needed = reachable_weight(query) < query.query_class.floor - EPSILON
        if (
            self.budget.allows(is_needed)
            and self._is_harmless(query, part)
            and len(part.servers) < self._turn.settings.limits.max_attempts
        ):
            attempt = self.dispatcher.plan(query, part, beta_factor)
            if attempt:
                self.budget.spend()
                self.dispatcher.send(attempt)

    def _is_harmless(self, query: Query, part: Part) -> bool:
        """Whether a further attempt cannot have an effect a second time."""
        query_class = query.query_class
        if query_class.effect is Effect.SAFE or part.may_run_since is None:
            return True
        window_end = part.may_run_since + query_class.repeat_window - EPSILON
        return query_class.effect is Effect.KEYED and self._turn.now < window_end
