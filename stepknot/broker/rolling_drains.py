"""The rolling drains job on a broker: its steps with the broker's endpoint list, clock and count of failed queries."""

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
MIN_SAMPLES = 2  # that are kept
MIN_QUERIES = 20  # in the window; of fewer no failing fraction is derived
FAILED_COUNTS = ("refused", "failed", "shed", "over_bound")
Log = Callable[..., None]


class QuerySample(NamedTuple):
    """The broker's counts at one time, since its start."""

    taken_at: float
    total: int
    failed: int


class FailureMeter:
    """The fraction of this broker's queries that failed in the last `FAILURE_WINDOW` seconds."""

    def __init__(self, now: float, counts: Mapping[str, int]) -> None:
        """`counts` are the broker's counts of queries by outcome."""
        self._counts = counts
        self._samples = deque([QuerySample(now, 0, 0)])

    def is_sample_due(self, now: float) -> bool:
        """Whether the last sample is old enough for another one."""
        return now >= self._samples[-1].taken_at + FAILURE_SAMPLE_INTERVAL

    def failing_fraction(self, now: float) -> float:
        """Take a sample; returns the fraction, or 0 of fewer than `MIN_QUERIES` queries."""
        samples = self._samples
        failed = sum(self._counts[name] for name in FAILED_COUNTS)
        samples.append(QuerySample(now, failed + self._counts["answered"], failed))
        while len(samples) > MIN_SAMPLES and samples[1].taken_at <= now - FAILURE_WINDOW:
            samples.popleft()
        first, last = samples[0], samples[-1]
        total = last.total - first.total
        return (last.failed - first.failed) / total if total >= MIN_QUERIES else 0.0


class RollingDrains:
    """Carries out the job's decisions (`stepknot.leases.rolling_drains`) and applies its records to the list."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: LeaseSettings,
        counts: Mapping[str, int],
        endpoints: DrainedEndpoints,
        log: Log,
    ) -> None:
        """Take the parts of the broker that the job needs.

        Args:
            clock: The broker's clock.
            settings: The lease, which bounds how fast steps follow each other.
            counts: The broker's counts of queries by outcome.
            endpoints: The endpoint list that drains are applied to.
            log: Writes a log event.
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
        """A new lease holder does not know when the last step was: it waits as long as after a step."""
        state = rolling_drains.decode_state(value)
        self._next_step_at = now + rolling_drains.seconds_until_next_step(state)

    def next_value(self, now: float, value: bytes) -> bytes | None:
        """The record after the next step, if it is due and changes something."""
        is_step_due = now >= self._next_step_at
        failing = 0.0
        if is_step_due or self._meter.is_sample_due(now):
            failing = self._meter.failing_fraction(now)
        if not is_step_due:
            return None
        before = rolling_drains.decode_state(value)
        after = rolling_drains.next_state(before, self._nodes(), failing)
        if after is None:
            self._next_step_at = now + self._settings.renewal_interval  # the next look
            return None
        # A node is drained for the time that was commanded. A node that was given back is announced
        # to all members for a lease before the next one is drained.
        is_given_back = len(after.drained) < len(before.drained)
        pause = rolling_drains.seconds_until_next_step(after)
        self._next_step_at = now + (self._settings.lease_seconds if is_given_back else pause)
        return rolling_drains.encode_state(after)

    def apply_command(self, value: bytes, number: str, body: bytes) -> bytes:
        """The record after an operator's command.

        Raises:
            CommandRejectedError: The command cannot be taken.
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
