"""Indirect probes: asks helpers about unresponsive subjects, and probes members on behalf of other observers."""

from __future__ import annotations

import math
import random

from stepknot.membership import wire
from stepknot.membership.heartbeats import Heartbeats
from stepknot.membership.helper_selection import HelperSelection
from stepknot.membership.isolation import Isolation
from stepknot.membership.model import MembershipSettings, Record
from stepknot.membership.outbox import Outbox
from stepknot.membership.send_budget import ANSWER_BORROW
from stepknot.membership.view import MembershipView

MAX_AGE = 2**20  # seconds; an older observation is reported as never received


class IndirectProbes:
    """Implements both sides of an indirect probe: the observer that asks, and the helper that answers."""

    def __init__(
        self,
        settings: MembershipSettings,
        view: MembershipView,
        outbox: Outbox,
        heartbeats: Heartbeats,
        isolation: Isolation,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._outbox = outbox
        self._heartbeats = heartbeats
        self._isolation = isolation
        self._helpers = HelperSelection(settings, view, rng)
        self._next_request = -math.inf

    # --- observer side

    def request(self, now: float, unresponsive: list[str], others: list[str]) -> None:
        """Ping unresponsive subjects, and ask helpers about them.

        Args:
            now: Seconds.
            unresponsive: Names of the subjects that have been without a sign of life for a while.
            others: Names of the members that may be asked.
        """
        due = [name for name in unresponsive if self._is_due(now, name)]
        if not due or now < self._next_request:
            return
        # Subjects that become due within the next period are sent in one request.
        self._next_request = now + self._settings.period
        subjects = self._view.subjects
        due.sort(key=lambda name: subjects[name].next_probe)
        names = due[: wire.MAX_PROBED]
        for name in names:
            subjects[name].next_probe = now + 2 * self._settings.period
            if name in self._view.neighbours:
                self._heartbeats.ping(now, name)
        request = wire.IndirectProbeRequest(names)
        for name in self._helpers.helpers_for(names, others):
            address = self._view.table.records[name].address
            self._outbox.send(now, address, request, self._outbox.probe_request_borrow)

    def on_answer(self, now: float, sender: Record, answer: wire.IndirectProbeAnswer) -> None:
        """Store a helper's observations of subjects."""
        for observation in answer.observations:
            record = self._view.table.records.get(observation.name)
            subject = self._view.subjects.get(observation.name)
            if record is None or subject is None:
                continue
            if record.process != (observation.epoch, observation.birth):
                continue
            if self._is_fresh(observation):
                subject.last_reporter = sender.name
            if observation.last_received >= 0:
                received_at = now - observation.last_received / 1000
                subject.record_sign_of_life(received_at, f"received by {sender.name}")
            subject.confirmations[sender.name] = now

    def _is_due(self, now: float, name: str) -> bool:
        """Whether to probe this subject now. An isolated member can learn nothing more about suspects."""
        if now < self._view.subjects[name].next_probe:
            return False
        return not (self._isolation.is_isolated and self._view.is_suspect(name))

    # --- helper side

    def on_request(self, now: float, sender: Record, request: wire.IndirectProbeRequest) -> None:
        """Answer at once about the members that sent something within the last period, and probe the others first."""
        records = self._view.table.records
        known = [name for name in request.names if name in records and name != self._view.own_name]
        observations = [self._observe(now, name) for name in known]
        fresh = [each for each in observations if self._is_fresh(each)]
        self._answer(now, sender.name, fresh)
        for each in observations:
            if each in fresh:
                continue
            # Without a probe, a member that sent nothing here is no evidence of a failure.
            if self._view.probe_requests.add(now, sender.name, each.name):
                self._heartbeats.ping(now, each.name)

    def on_contact(self, now: float, sender: Record) -> None:
        """Answer the members that asked about the sender of a received datagram."""
        for requester in self._view.probe_requests.take_answered(sender.name):
            self._answer(now, requester, [wire.Observation(sender.name, *sender.process, 0)])

    def report_unanswered(self, now: float) -> None:
        """Answer the requests about members that did not answer their probe in time."""
        for requester, names in self._view.probe_requests.take_expired(now).items():
            known = [name for name in names if name in self._view.table.records]
            observations = [self._observe(now, name) for name in known[: wire.MAX_PROBED]]
            self._answer(now, requester, observations, borrow=0.0)

    def _observe(self, now: float, name: str) -> wire.Observation:
        """Observe when something was last received from a member of the table."""
        record, subject = self._view.table.records[name], self._view.subjects.get(name)
        age = now - subject.last_received if subject is not None else math.inf
        milliseconds = int(age * 1000) if age < MAX_AGE else wire.NEVER
        return wire.Observation(name, *record.process, milliseconds)

    def _answer(
        self,
        now: float,
        requester: str,
        observations: list[wire.Observation],
        borrow: float = ANSWER_BORROW,
    ) -> None:
        record = self._view.table.records.get(requester)
        if record is not None and observations:
            answer = wire.IndirectProbeAnswer(observations)
            self._outbox.send(now, record.address, answer, borrow)

    def _is_fresh(self, observation: wire.Observation) -> bool:
        return 0 <= observation.last_received <= self._settings.period * 1000
