"""Runs the rolling drains job on a broker, with the broker's endpoint list, clock and counts of failed queries."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.interface import ServerState
from stepknot.leases import rolling_drains
from stepknot.leases.job import JobHandler
from stepknot.leases.messages import LedgerRecord
from stepknot.leases.settings import LeaseSettings

FAILURE_WINDOW = 10.0  # seconds over which failed queries are counted
FAILURE_SAMPLE_INTERVAL = 0.1  # seconds
MIN_SAMPLES = 2  # samples that are kept even if they are older than the window
MIN_QUERIES = 20  # with fewer queries in the window, the failing fraction counts as 0
FAILED_COUNTS = ("refused", "failed", "shed", "over_bound")
Log = Callable[..., None]


class QuerySample(NamedTuple):
    """The broker's counts of queries since its start, at one point in time."""

    taken_at: float
    total: int
    failed: int


class FailureMeter:
    """The fraction of this broker's queries that failed in the last `FAILURE_WINDOW` seconds."""

    def __init__(self, now: float, counts: Mapping[str, int]) -> None:
        """Start with no queries counted; `counts` are the broker's counts of queries by outcome."""
        self._counts = counts
        self._samples = deque([QuerySample(now, 0, 0)])

    def is_sample_due(self, now: float) -> bool:
        """Whether `FAILURE_SAMPLE_INTERVAL` has passed since the last sample."""
        return now >= self._samples[-1].taken_at + FAILURE_SAMPLE_INTERVAL

    def failing_fraction(self, now: float) -> float:
        """Take a sample; returns the failing fraction, or 0 if there were fewer than `MIN_QUERIES` queries."""
        samples = self._samples
        failed = sum(self._counts[name] for name in FAILED_COUNTS)
        samples.append(QuerySample(now, failed + self._counts["answered"], failed))
        while len(samples) > MIN_SAMPLES and samples[1].taken_at <= now - FAILURE_WINDOW:
            samples.popleft()
        first, last = samples[0], samples[-1]
        total = last.total - first.total
        return (last.failed - first.failed) / total if total >= MIN_QUERIES else 0.0


class RollingDrains:
    """Carries out the decisions of the job (`stepknot.leases.rolling_drains`), and applies its records to the list."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: LeaseSettings,
        counts: Mapping[str, int],
        endpoints: DrainedEndpoints,
        log: Log,
    ) -> None:
        """Start without a scheduled step; `on_lease_acquired` schedules the first one.

        Args:
            clock: The broker's clock.
            settings: The settings of leases; the lease duration limits how fast the steps follow each other.
            counts: The broker's counts of queries by outcome.
            endpoints: The endpoint list to which drains are applied.
            log: Writes a log event, given its name and fields.
        """
        self._clock = clock
        self._settings = settings
        self._meter = FailureMeter(clock(), counts)
        self._endpoints = endpoints
        self._log = log
        self._next_step_at = math.inf

    def handler(self) -> JobHandler:
        """The callbacks for the lease node."""
        return JobHandler(
            next_value=self.next_value,
            apply_command=self.apply_command,
            apply_record=self.apply_record,
            on_lease_acquired=self.on_lease_acquired,
        )

    def on_lease_acquired(self, now: float, value: bytes) -> None:
        """Schedule the first step.

        A new holder does not know when the previous holder made its last step, so it waits as long as after a step.
        """
        state = rolling_drains.decode_state(value)
        self._next_step_at = now + rolling_drains.seconds_until_next_step(state)

    def next_value(self, now: float, value: bytes) -> bytes | None:
        """The record after the next step; None if no step is due or the step changes nothing."""
        is_step_due = now >= self._next_step_at
        failing = 0.0
        if is_step_due or self._meter.is_sample_due(now):
            failing = self._meter.failing_fraction(now)
        if not is_step_due:
            return None
        before = rolling_drains.decode_state(value)
        after = rolling_drains.next_state(before, self._nodes(), failing)
        if after is None:
            self._next_step_at = now + self._settings.renewal_interval  # checks again then
            return None
        # A node stays drained for the time that the command specifies. After a node is returned to service, the next
        # node is drained only after a lease, in which all members learn of the return.
        is_returned = len(after.drained) < len(before.drained)
        pause = rolling_drains.seconds_until_next_step(after)
        self._next_step_at = now + (self._settings.lease_seconds if is_returned else pause)
        return rolling_drains.encode_state(after)

    def apply_command(self, value: bytes, number: str, body: bytes) -> bytes:
        """The record after an operator's command.

        Raises:
            CommandRejectedError: The command is not valid in the job's present state.
        """
        before = rolling_drains.decode_state(value)
        after = rolling_drains.apply_command(before, number, body, self._nodes())
        new_value = rolling_drains.encode_state(after)
        if rolling_drains.begins_drain(before, after):
            self._next_step_at = self._clock() + self._settings.renewal_interval
        return new_value

    def apply_record(self, record: LedgerRecord) -> None:
        """Apply a committed record to the endpoint list."""
        try:
            state = rolling_drains.decode_state(record.value)
        except msgspec.DecodeError as error:
            self._log(
                "ledger_record_rejected",
                job=rolling_drains.JOB_NAME,
                epoch=record.epoch,
                step=record.step,
                error=str(error),
            )
            return
        self._endpoints.set_drained(state.drained)
        self._log(
            "drains_changed",
            epoch=record.epoch,
            step=record.step,
            status=state.status,
            drained=state.drained,
            reason=state.reason,
            step_count=state.step_count,
        )

    def _nodes(self) -> dict[str, rolling_drains.DrainNode]:
        return {
            server: rolling_drains.DrainNode(
                entry.zone, entry.cell, entry.state is ServerState.LIVE
            )
            for server, entry in self._endpoints.entries.items()
        }
