"""The membership protocol of one member: it takes datagrams and ticks, and returns datagrams and state changes.

`MembershipProtocol` composes the collaborators and does no I/O and reads no clock. The package's docstring lists the
invariants.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from stepknot.membership import counters, wire
from stepknot.membership.anti_entropy import AntiEntropy, Reconnection
from stepknot.membership.dissemination import Dissemination
from stepknot.membership.errors import DatagramError
from stepknot.membership.heartbeats import Heartbeats
from stepknot.membership.indirect_probes import IndirectProbes
from stepknot.membership.isolation import Isolation
from stepknot.membership.join import Join, JoinResponder
from stepknot.membership.local_health import LocalHealth
from stepknot.membership.member_count import MemberCounter
from stepknot.membership.model import (
    Address,
    MemberCount,
    MembershipSettings,
    Record,
    State,
    StateChange,
)
from stepknot.membership.outbox import Outbox
from stepknot.membership.own_member import OwnMember
from stepknot.membership.refutation import Refutation
from stepknot.membership.suspicion import Suspicion
from stepknot.membership.view import MembershipView

Handler = Callable[[float, Record, Any], object]


class MembershipProtocol:
    """Runs the protocol for one member. All times are seconds of one monotonic clock.

    Args:
        settings: Time-outs and limits.
        own: The own record; its state is set to joining.
        seed: Seed of the member's random choices.
    """

    def __init__(self, settings: MembershipSettings, own: Record, seed: int) -> None:
        self.settings = settings
        self.counters: Counter[str] = Counter()
        rng = random.Random(seed)
        self.member = OwnMember(msgspec.structs.replace(own, state=State.JOINING))
        self.view = MembershipView(settings, own.name, rng)
        self.table = self.view.table
        self.outbox = Outbox(settings, self.member, self.counters)
        self.isolation = Isolation(settings, self.member, self.view, self.counters)
        self.health = LocalHealth(settings, self.view, self.isolation, self.counters)
        self.refutation = Refutation(
            self.member, self.view, self.outbox, self.isolation, self.counters
        )
        self.heartbeats = Heartbeats(
            settings, self.view, self.outbox, self.isolation, self.refutation
        )
        self.indirect_probes = IndirectProbes(
            settings, self.view, self.outbox, self.heartbeats, self.isolation, rng
        )
        self.suspicion = Suspicion(settings, self.view, self.isolation, self.health)
        self.dissemination = Dissemination(
            settings, self.member, self.view, self.outbox, self.refutation, rng
        )
        self.join = Join(settings, self.member, self.outbox, self.refutation, rng)
        self.join_responder = JoinResponder(self.member, self.view, self.dissemination, rng)
        self.anti_entropy = AntiEntropy(settings, self.view, self.outbox, self.dissemination, rng)
        self.reconnection = Reconnection(
            settings, self.view, self.outbox, self.heartbeats, self.join.seeds, rng
        )
        self._counter = MemberCounter(
            settings, self.member, self.view, self.isolation, self.health, self.heartbeats
        )
        self._handlers: dict[type, Handler] = {
            wire.Heartbeat: self.heartbeats.on_heartbeat,
            wire.IndirectProbeRequest: self.indirect_probes.on_request,
            wire.IndirectProbeAnswer: self.indirect_probes.on_answer,
            wire.Gossip: self._on_gossip,
            wire.JoinRequest: self._on_join_request,
            wire.AntiEntropyRequest: self.anti_entropy.on_request,
            wire.RecordRequest: self.anti_entropy.on_record_request,
        }
        self.view.merge(-math.inf, self.member.record, "this process started")

    # --- events

    def tick(self, now: float) -> None:
        """Run the periodic steps. The caller calls this every `settings.tick_interval` seconds."""
        self.health.on_event(now)
        if self.member.stepped_aside:
            return
        if self.member.has_left:
            self.dissemination.send_round(now)
            return
        self.join.request(now)
        self.view.refresh_subjects(now)
        self.heartbeats.send_due(now)
        self.isolation.update(now)
        self.indirect_probes.report_unanswered(now)
        self._detect_failures(now)
        self.table.expire(now)
        self.reconnection.contact_absent(now)
        self.anti_entropy.compare(now)
        self.dissemination.send_round(now)

    def receive(self, now: float, data: bytes) -> None:
        """Process one datagram. A datagram that cannot be used is counted by its reason and dropped."""
        self.health.on_event(now)
        if self.member.stepped_aside or self.member.has_left:
            return
        try:
            envelope = wire.decode(data, self.settings.fleet)
        except DatagramError as error:
            self.counters[counters.dropped(error)] += 1
            return
        sender = envelope.sender
        if sender.name == self.member.name:
            self.refutation.on_name_conflict(now, sender)
            return
        if not self._admit(now, sender):
            return
        self.view.record_contact(now, sender)
        self.indirect_probes.on_contact(now, sender)
        self._handlers[type(envelope.message)](now, sender, envelope.message)
        self.dissemination.send_round_if_due(now)

    def leave(self, now: float) -> None:
        """Announce the leave. The caller calls `tick` a few more times, so that the announcement is repeated."""
        if not self.member.stepped_aside and not self.member.has_left:
            self.dissemination.announce_leave(now)

    # --- results

    def take(self) -> tuple[list[tuple[Address, bytes]], list[StateChange]]:
        """Return the datagrams to be sent and the state changes since the last call."""
        return self.outbox.take(), self.table.take_changes()

    def count(self, now: float) -> MemberCount:
        """The bounds of the number of brokers at this time."""
        return self._counter.count(now)

    @property
    def own(self) -> Record:
        """The own record."""
        return self.member.record

    # --- steps

    def _detect_failures(self, now: float) -> None:
        """Ask helpers about unresponsive subjects, and declare subjects suspect or dead."""
        unresponsive = self.suspicion.unresponsive_subjects(now)
        if unresponsive:
            helpers = self.suspicion.possible_helpers(now)
            self.indirect_probes.request(now, unresponsive, helpers)
            self.suspicion.evaluate(now, unresponsive, len(helpers))

    def _admit(self, now: float, sender: Record) -> bool:
        """Merge a sender's record.

        Returns:
            Whether the sender's message is to be handled.
        """
        known = self.table.records.get(sender.name)
        if known is not None and sender.process < known.process:
            self.counters[counters.DROPPED_EARLIER_PROCESS] += 1
            # The newer process's record makes the earlier process give up the name.
            self.outbox.send(now, sender.address, wire.Gossip([known]))
            return False
        if sender != known:
            self.view.merge(now, sender, "the member itself reported this state")
        return sender.name in self.table.records  # a full table rejects new senders

    def _on_join_request(self, now: float, sender: Record, _: wire.JoinRequest) -> None:
        self.join_responder.answer(now, sender)

    def _on_gossip(self, now: float, sender: Record, gossip: wire.Gossip) -> None:
        if self.dissemination.on_gossip(now, sender, gossip):
            self.join.on_admitted(now)
