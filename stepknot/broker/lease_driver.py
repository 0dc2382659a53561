"""Runs leases on the broker's loop: datagrams on membership's socket, ticks, the voter's disk, log events, metrics.

No query waits for leases. A voter's replies are sent only when the state that they depend on is on disk (invariant 2).
"""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.core import Core
from stepknot.broker.lease_views import build_leases_view, is_holder_known
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.broker.metrics.families import counter_by_label
from stepknot.broker.rolling_drains import RollingDrains
from stepknot.broker.voter_store import VoterStateWriter, VoterStore, encode_state
from stepknot.config.leases import LeaseConfig
from stepknot.discovery.drained_endpoints import DrainedEndpoints
from stepknot.leases.job import Job
from stepknot.leases.messages import DATAGRAM_MARK, VoterState
from stepknot.leases.node import LeaseNode
from stepknot.leases.output import LeaseEvent, LeaseLost, OutgoingDatagram
from stepknot.leases.rolling_drains import JOB_NAME
from stepknot.leases.settings import ProcessId
from stepknot.leases.voter import LeaseVoter
from stepknot.membership.model import State
from stepknot.net.loop import Loop

TICK_FRACTION = 0.05  # seconds between two ticks, as a fraction of the lease
MAX_HELD_REPLIES = 1000  # replies that wait for the disk; further replies are dropped
BIRTH_MASK = 2**62 - 1
Log = Callable[..., None]


class HeldReply(NamedTuple):
    """A reply that is sent once the save with number `save_number` is on disk."""

    save_number: int
    receiver: str
    data: bytes


class SaveResult(NamedTuple):
    """The result of a save; the error is empty if the save succeeded."""

    save_number: int
    error: str


@dataclass(frozen=True, slots=True)
class BrokerParts:
    """The parts of the broker that leases need."""

    loop: Loop
    membership: MembershipDriver
    core: Core
    endpoints: DrainedEndpoints
    log: Log


class LeaseDriver:
    """Runs the lease node and carries out its output."""

    def __init__(self, config: LeaseConfig, broker: BrokerParts, seed: int) -> None:
        """Load the voter's state and start the ticks.

        Raises:
            OSError: The voter's state cannot be read.
            VoterStateMismatchError: The state belongs to another voter or fleet, or has another format version.
        """
        self.settings = config.settings
        self._loop = broker.loop
        self._membership = broker.membership
        self._log = broker.log
        self._writer: VoterStateWriter | None = None
        self._save_count = 0  # number of the last save that was started
        self._saved_count = 0  # number of the last save that is on disk
        self._held_replies: deque[HeldReply] = deque()
        self._save_results: deque[SaveResult] = deque()  # filled by the writer's thread
        self._was_voting: bool | None = None  # the state that was logged last
        process = ProcessId(broker.membership.protocol.own.name, seed & BIRTH_MASK)
        voter = self._open_voter(process.name, config) if config.state_folder is not None else None
        drains = RollingDrains(
            broker.loop.clock, self.settings, broker.core.counts, broker.endpoints, broker.log
        )
        self.node = LeaseNode(
            process, self.settings, voter, {JOB_NAME: drains.handler()}, seed, self._is_member
        )
        broker.membership.other_protocols[DATAGRAM_MARK] = self._on_datagram
        self._timer = broker.loop.call_later(0.0, self._tick)

    # For the broker

    def run_step(self, step: Callable[[float], object]) -> None:
        """Run one step of the node and carry out its output.

        The clock is read here instead of once per iteration of the loop, so that the node notices if the process was
        paused in the middle of an iteration. An error in the code of leases is reported, and queries are not affected.
        """
        self._loop.run_callback("ownership", self._run_unguarded, step)

    def _run_unguarded(self, step: Callable[[float], object]) -> None:
        step(self._loop.clock())
        self.carry_out()

    def leave(self) -> None:
        """Shut down gracefully: hand over all jobs."""
        self.run_step(self.node.leave)

    def close(self) -> None:
        """Stop the timer and the writer."""
        self._timer.cancel()
        if self._writer is not None:
            self._writer.close()
            self._save_inbox.close()
            self._save_signal.close()

    def view(self) -> dict[str, Any]:
        """The admin answer of `/owner`."""
        return build_leases_view(self.node, self._loop.clock(), self._saved_count)

    def collect(self) -> list[Metric]:
        """The metrics of leases."""
        node, now = self.node, self._loop.clock()
        metrics: list[Metric] = []
        gauges: tuple[tuple[str, str, Callable[[Job], float]], ...] = (
            ("owned", "Whether this broker owns the job", lambda job: job.candidate.may_act(now)),
            (
                "epoch",
                "The epoch of the owner that was heard last",
                lambda job: job.holder_epoch,
            ),
            ("known", "Whether an owner is heard", lambda job: is_holder_known(job, now)),
        )
        for name, text, value in gauges:
            gauge = GaugeMetricFamily(f"stepknot_job_{name}", text, labels=["job"])
            for job in node.jobs.values():
                gauge.add_metric([job.name], value(job))
            metrics.append(gauge)
        events = counter_by_label(
            "stepknot_ownership_events", "What happened in ownership", "what", node.counters
        )
        saves = CounterMetricFamily(
            "stepknot_voter_saves", "Saves of the voter's state", self._saved_count
        )
        return [*metrics, events, saves]

    # The loop

    def _is_member(self, name: str) -> bool:
        record = self._membership.protocol.table.present.get(name)
        return record is not None and record.state is not State.SUSPECT

    def _tick(self) -> None:
        members = [
            name
            for name, record in self._membership.protocol.table.present.items()
            if record.state is State.ALIVE
        ]
        self.run_step(lambda now: self.node.tick(now, members))
        tick_seconds = TICK_FRACTION * self.settings.lease_seconds
        self._timer = self._loop.call_later(tick_seconds, self._tick)

    def _on_datagram(self, data: bytes) -> None:
        self.run_step(lambda now: self.node.receive(now, data))

    def carry_out(self) -> None:
        """Carry out the node's output: start the save, then send the datagrams, then log the events."""
        output = self.node.take_output()
        if output.voter_state is not None and self._writer is not None:
            self._begin_save(self._writer, output.voter_state)
        for datagram in output.datagrams:
            self._send_or_hold(datagram)
        for event in output.events:
            self._log_event(event)
        self._log_voting()

    def _send_or_hold(self, datagram: OutgoingDatagram) -> None:
        if not datagram.after_save or self._saved_count == self._save_count:
            self._send(datagram.receiver, datagram.data)
        elif len(self._held_replies) < MAX_HELD_REPLIES:
            held = HeldReply(self._save_count, datagram.receiver, datagram.data)
            self._held_replies.append(held)

    def _send(self, receiver: str, data: bytes) -> None:
        if receiver == self.node.process.name:
            self._loop.call_later(0.0, lambda: self._on_datagram(data))
        elif not self._membership.send_to(receiver, data):
            self.node.counters["no address"] += 1

    def _log_event(self, event: LeaseEvent) -> None:
        if isinstance(event, LeaseLost):
            self._log("lease_lost", job=event.job, epoch=event.epoch, reason=event.reason)
        else:
            self._log("lease_acquired", job=event.job, epoch=event.epoch)

    def _log_voting(self) -> None:
        """Log when this broker's voter starts or stops voting."""
        voter = self.node.voter
        if voter is None or voter.is_voting == self._was_voting:
            return
        self._was_voting = voter.is_voting
        self._log(
            "voter_enabled" if voter.is_voting else "voter_disabled",
            incarnation=voter.incarnation,
            failure=voter.failure,
        )

    # The voter's disk

    def _open_voter(self, name: str, config: LeaseConfig) -> LeaseVoter:
        assert config.state_folder is not None
        store = VoterStore(config.state_folder, self.settings.fleet, name)
        loaded = store.load()
        if loaded.state is None:
            folder = str(config.state_folder)
            self._log("voter_state_lost", reason=loaded.loss_reason, folder=folder)
        self._save_inbox = self._loop.datagrams("127.0.0.1", 0, self._on_save_signal)
        self._save_signal = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._writer = VoterStateWriter(store, self._on_saved)
        return LeaseVoter(name, self.settings, loaded.state)

    def _begin_save(self, writer: VoterStateWriter, state: VoterState) -> None:
        self._save_count += 1
        writer.save(self._save_count, encode_state(state))

    def _on_saved(self, number: int, error: str) -> None:
        """Store the result of a save and wake the loop. Called on the writer's thread."""
        self._save_results.append(SaveResult(number, error))
        with contextlib.suppress(OSError):  # the datagram of the next save wakes the loop as well
            self._save_signal.sendto(b"", self._save_inbox.address)

    def _on_save_signal(self, source: object, data: bytes) -> None:
        """Take the writer's results."""
        del source, data
        self._take_save_results()
        self.run_step(_do_nothing)

    def _take_save_results(self) -> None:
        """Send the replies whose save is on disk; after a failed save no reply that depends on a save is sent."""
        while self._save_results:
            result = self._save_results.popleft()
            voter = self.node.voter
            assert voter is not None
            if result.error and not voter.failure:
                voter.failure = f"the voter's state cannot be written: {result.error}"
                self._held_replies.clear()
                self._log("voter_state_save_failed", reason=voter.failure)
            if voter.failure:
                continue
            self._saved_count = result.save_number
            while self._held_replies and self._held_replies[0].save_number <= result.save_number:
                reply = self._held_replies.popleft()
                self._send(reply.receiver, reply.data)


def _do_nothing(now: float) -> None:
    """A step that does nothing: running it carries out the output that the node already has."""
    del now
