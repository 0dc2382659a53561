"""The aggregator: takes events and returns actions. Settings, events, actions: `stepknot/interface.py`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from stepknot.decisions.answers import AnswerAssembly
from stepknot.decisions.capsule import Throttle
from stepknot.decisions.dispatch import Dispatcher
from stepknot.decisions.endpoint_list import EndpointList
from stepknot.decisions.health import FailureMemory, LoadReports
from stepknot.decisions.hedging import Hedging
from stepknot.decisions.load_shedding import LoadShedding
from stepknot.decisions.outcomes import AttemptOutcomes, OutcomeRecorder
from stepknot.decisions.outlier_detection import OutlierDetection
from stepknot.decisions.records import Attempt, AttemptKey, Capsule, Query
from stepknot.decisions.retries import Retries
from stepknot.decisions.retry_budget import RetryBudget
from stepknot.decisions.selection import ReplicaSelector
from stepknot.decisions.slow_start import SlowStart
from stepknot.decisions.timers import Timers
from stepknot.decisions.turn import Turn
from stepknot.interface import (
    Action,
    AttemptEnded,
    Event,
    InstancesCounted,
    ListReceived,
    Narrow,
    PartArrived,
    ProbeEnded,
    QueryArrived,
    QueryGone,
    Settings,
    TimerDue,
)


class Aggregator:
    """One instance. It shares no state with others, and its only clock is the time passed to `handle`.

    Args:
        settings: The deployment's settings.
        seed: Seed of the random generator, the only source of randomness.
        narrow: The caller's rule that restricts a part's candidates, if there is one.
    """

    def __init__(self, settings: Settings, seed: int, narrow: Narrow | None = None) -> None:
        turn = Turn(settings, seed, narrow)
        timers = Timers(turn)
        throttle = Throttle(turn)
        slow_start = SlowStart(turn, throttle)
        endpoints = EndpointList(turn, timers, slow_start)
        failures = FailureMemory(turn, throttle)
        reports = LoadReports(turn, timers, throttle, endpoints, failures)
        outliers = OutlierDetection(turn, throttle)
        selector = ReplicaSelector(turn, endpoints, throttle, slow_start, failures, outliers)
        hedging = Hedging(turn, timers, throttle, failures, outliers)
        dispatcher = Dispatcher(turn, throttle, slow_start, selector, outliers, hedging)
        budget = RetryBudget(turn)
        retries = Retries(turn, budget, dispatcher)
        hedging.connect(retries.send_again, dispatcher.in_flight)
        answers = AnswerAssembly(turn, timers, throttle, dispatcher, budget)
        recorder = OutcomeRecorder(turn, throttle, slow_start, failures, outliers)
        outcomes = AttemptOutcomes(endpoints, reports, recorder, retries, answers)
        self.turn, self.timers, self.throttle, self.endpoints = turn, timers, throttle, endpoints
        self.slow_start, self.failures, self.reports = slow_start, failures, reports
        self.outliers, self.dispatcher, self.answers = outliers, dispatcher, answers
        self.load_shedding = LoadShedding(turn, endpoints, dispatcher, outliers, answers)
        self._handlers: dict[type, Callable[[Any], None]] = {
            AttemptEnded: outcomes.on_attempt_ended,
            ProbeEnded: reports.on_probe_ended,
            QueryArrived: answers.on_query,
            PartArrived: answers.on_part,
            QueryGone: answers.on_client_gone,
            InstancesCounted: slow_start.on_instances_counted,
        }

    @property
    def capsules(self) -> dict[str, Capsule]:
        """The capsules of the listed servers, by server."""
        return self.endpoints.capsules

    @property
    def queries(self) -> dict[int, Query]:
        """The queries that have no final answer yet, by number."""
        return self.answers.queries

    @property
    def attempts(self) -> dict[AttemptKey, Attempt]:
        """The attempts in flight, by part and number."""
        return self.dispatcher.in_flight

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Process events that happened at time `now`; returns the actions, to be carried out in order."""
        turn = self.turn
        turn.begin(now)
        self.slow_start.began_at = min(self.slow_start.began_at, now)
        self.outliers.shared_faults.begin_turn()
        if turn.number == 1 and turn.settings.must_ask:
            self.endpoints.watch()
        # Timers run last: answers that arrived during a stall of this process must be processed before a
        # timer treats their attempts as unanswered.
        timers_due: list[TimerDue] = []
        others: list[Event] = []
        handlers = self._handlers
        for event in events:
            # The list runs first: a retry that another event causes must not go to a server that drains.
            if type(event) is ListReceived:
                self.endpoints.on_list(event)
            elif type(event) is TimerDue:
                timers_due.append(event)
            else:
                others.append(event)
        for event in others:
            handlers[type(event)](event)
        for timer in timers_due:
            self.timers.on_due(timer)
        if self.answers.unplaced:
            self._place_queries()
        return turn.actions

    def _place_queries(self) -> None:
        unplaced = self.answers.unplaced
        for query in list(unplaced.values()):
            if self.reports.is_ready(query):
                del unplaced[query.number]
                self.load_shedding.place(query)
