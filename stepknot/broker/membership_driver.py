"""Runs membership on the broker's loop: its socket and ticks, its log events, and the number of brokers.

No query waits for membership. In each iteration of the loop it handles only a few datagrams.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client.metrics_core import Metric

from stepknot.broker.membership_view import membership_metrics, peers_view
from stepknot.config.membership import Peers
from stepknot.membership.model import (
    MAX_EPOCH,
    Address,
    MemberCount,
    Record,
    State,
    StateChange,
)
from stepknot.membership.protocol import MembershipProtocol
from stepknot.net.loop import Loop
from stepknot.net.tasks import Coroutine

LEAVE_TICKS = 4  # ticks for which a leaving broker keeps announcing that it leaves


class MembershipDriver:
    """Runs one `MembershipProtocol`.

    Args:
        loop: The broker's loop.
        peers: The `peers` block of the settings.
        seed: The seed of random choices, and the birth number of this broker's record.
        on_count: Called with the upper bound of the number of brokers whenever it changes.
        log: Writes a log event, given its name and fields.
        wall: The wall clock, in seconds.

    Raises:
        OSError: The address is already in use.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        seed: int,
        on_count: Callable[[int], None],
        log: Callable[..., None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.loop = loop
        self.on_count = on_count
        self.log = log
        self.settings = peers.settings
        self.socket = loop.datagrams(*peers.listen, self.on_datagram)
        address = peers.advertise or (peers.listen[0], self.socket.address[1])
        self.protocol = MembershipProtocol(
            peers.settings, first_record(peers.name, address, wall(), seed), seed
        )
        self.last_count: MemberCount | None = None
        self.was_isolated = False
        self.has_logged_name_conflict = False
        # Handlers of other protocols that share the socket, by the first byte of their datagrams.
        self.other_protocols: dict[bytes, Callable[[bytes], None]] = {}
        self.addresses: dict[str, Address] = {}  # last known address of each member
        if peers.settings.seeds and not self.protocol.join.seeds:
            log("only_own_seed_configured", address=f"{address[0]}:{address[1]}")
        self.timer = loop.call_later(0.0, self.tick)

    # --- events of the loop

    def tick(self) -> None:
        """Run one tick of the protocol and set the timer for the next one."""
        self._run(self.protocol.tick)
        self.timer = self.loop.call_later(self.settings.tick_interval, self.tick)

    def on_datagram(self, source: tuple[Any, ...], data: bytes) -> None:  # noqa: ARG002
        """Pass a datagram to the protocol that its first byte indicates."""
        other = self.other_protocols.get(data[:1])
        if other is not None:
            other(data)
        else:
            self._run(lambda now: self.protocol.receive(now, data))

    def leave(self) -> None:
        """Start announcing that this broker leaves the fleet."""
        self._run(self.protocol.leave)

    def end(self) -> Coroutine:
        """Keep announcing the leave for `LEAVE_TICKS` ticks, then close the socket."""
        for _ in range(LEAVE_TICKS):
            yield from self.loop.sleep(self.settings.tick_interval)
        self.timer.cancel()
        self.socket.close()

    # --- for other protocols

    def send_to(self, name: str, data: bytes) -> bool:
        """Send a datagram to a member, even if it is considered dead or its record was removed.

        Returns:
            Whether the member's address is known.
        """
        record = self.protocol.table.records.get(name)
        if record is not None:
            self.addresses[name] = record.address
        address = self.addresses.get(name)
        if address is not None:
            self.socket.send(address, data)
        return address is not None

    # --- for operators

    def view(self) -> dict[str, Any]:
        """The admin answer for `stepknot members`: a `PeersView` as plain JSON values."""
        view: dict[str, Any] = msgspec.to_builtins(peers_view(self.protocol, self.loop.clock()))
        return view

    def collect(self) -> list[Metric]:
        """The membership metrics."""
        return membership_metrics(self.protocol, self.loop.clock())

    # --- helpers

    def _run(self, event: Callable[[float], None]) -> None:
        """Pass an event to the protocol and carry out the results.

        The clock is read here instead of once per iteration of the loop, so that the protocol notices if the process
        was paused in the middle of an iteration. An error in membership code is reported, and queries are not affected.
        """
        self.loop.run_callback("peers", self._run_unguarded, event, self.loop.clock())

    def _run_unguarded(self, event: Callable[[float], None], now: float) -> None:
        event(now)
        self._carry_out(now)

    def _carry_out(self, now: float) -> None:
        datagrams, changes = self.protocol.take()
        for address, data in datagrams:
            self.socket.send(address, data)
        for change in changes:
            self._log_change(change)
        self._log_own_state()
        self._report_count(now)

    def _log_change(self, change: StateChange) -> None:
        self.log(
            "member_state_changed",
            version=change.version,
            member=change.name,
            reason=change.reason,
            old_state=_state_name(change.old_state),
            new_state=_state_name(change.new_state),
        )

    def _log_own_state(self) -> None:
        isolation = self.protocol.isolation
        if isolation.is_isolated != self.was_isolated:
            self.was_isolated = isolation.is_isolated
            self.log(
                "isolation_began" if self.was_isolated else "isolation_ended",
                reason=isolation.reason,
            )
        if self.protocol.member.stepped_aside and not self.has_logged_name_conflict:
            self.has_logged_name_conflict = True
            self.log("name_conflict_lost", reason=isolation.reason)

    def _report_count(self, now: float) -> None:
        count, last = self.protocol.count(now), self.last_count
        if count == last:
            return
        if last is None or count.upper_bound != last.upper_bound:
            self.on_count(count.upper_bound)
        self.last_count = count


def first_record(name: str, address: Address, wall_seconds: float, seed: int) -> Record:
    """The record with which a process joins the fleet.

    Its epoch should exceed the epochs of all earlier processes of this name. The wall clock's milliseconds are a first
    estimate; if the estimate is too low, the seeds' answers correct it.
    """
    epoch = min(max(int(wall_seconds * 1000), 0), MAX_EPOCH - 1)
    return Record(name, *address, epoch, seed & 0xFFFFFFFF, 0, State.JOINING)


def _state_name(state: State | None) -> str | None:
    return state.name.lower() if state is not None else None
