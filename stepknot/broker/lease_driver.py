"""Ownership on the broker's loop: its datagrams by membership's socket, its ticks, its voter's disk, its first job.

Nothing a query needs waits for this. A voter's replies leave once what they say is on disk.
"""

from __future__ import annotations

import math
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.core import Core
from stepknot.broker.membership_driver import MembershipDriver
from stepknot.broker.voter_store import VoterStore, Writer, pack
from stepknot.config.leases import Owners
from stepknot.discovery.drained_endpoints import Drained
from stepknot.interface import ServerState
from stepknot.leases import drains
from stepknot.leases.model import MARK, Held
from stepknot.leases.node import JobView, Ownership, Work
from stepknot.leases.owner import Phase
from stepknot.leases.voter import Voter
from stepknot.membership.model import State
from stepknot.net.loop import Loop

TICK = 0.05  # of a lease
WINDOW = 10.0  # seconds over which failing queries are counted
FEW = 20  # queries in it, under which nothing is said of their failing
MOST_HELD_BACK = 1000  # replies that wait for the disk
Log = Callable[..., None]


class Owning:
    def __init__(
        self,
        loop: Loop,
        owners: Owners,
        peering: MembershipDriver,
        core: Core,
        listed: Drained,
        seed: int,
        log: Log,
    ) -> None:
        """Raises OSError and `voterstore.Unfit` where the voter's state cannot be used."""
        self.loop, self.peering, self.core, self.listed, self.log = loop, peering, core, listed, log
        self.settings = owners.settings
        me = peering.protocol.own.name, seed & (2**62 - 1)
        voter = None
        self.writer: Writer | None = None
        self.saves = self.written = 0
        self.held_back: deque[tuple[int, str, bytes]] = deque()  # until that save is on disk
        self.results: deque[tuple[int, str]] = deque()  # of saves, from the writer's thread
        if owners.state is not None:
            store = VoterStore(owners.state, self.settings.fleet, me[0])
            saved, why = store.load()
            if saved is None:
                log("voter_lost_its_memory", why=why, folder=str(owners.state))
            voter = Voter(me[0], self.settings, saved)
            self.inbox = loop.datagrams("127.0.0.1", 0, lambda source, data: self.on_saved())
            self.doorbell = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.writer = Writer(store, self.saved)
        self.next_step = math.inf
        self.counted: deque[tuple[float, int, int]] = deque([(loop.clock(), 0, 0)])
        self.node = Ownership(
            me,
            self.settings,
            voter,
            {
                drains.JOB: Work(
                    self.step_drains, self.order_drains, self.apply_drains, self.begin_drains
                )
            },
            seed,
            self.is_member,
        )
        self.able: bool | None = None
        peering.others[MARK] = self.on_datagram
        self.timer = loop.call_later(0.0, self.tick)

    # --- the loop's side

    def is_member(self, name: str) -> bool:
        record = self.peering.protocol.table.present.get(name)
        return record is not None and record.state is not State.SUSPECT

    def tick(self) -> None:
        members = [
            name
            for name, record in self.peering.protocol.table.present.items()
            if record.state is State.ALIVE
        ]
        self.guarded(lambda now: self.node.tick(now, members))
        self.timer = self.loop.call_later(TICK * self.settings.lease, self.tick)

    def on_datagram(self, data: bytes) -> None:
        self.guarded(lambda now: self.node.receive(now, data))

    def guarded(self, what: Callable[[float], Any]) -> None:
        """The clock is asked anew: a process that stood still half way through a turn must find out here. A defect of
        ownership's own is told loudly and costs no query."""
        try:
            what(self.loop.clock())
            self.carry()
        except Exception as error:  # noqa: BLE001
            self.loop.on_error("ownership", error)

    def carry(self) -> None:
        """What the decisions want written, sent and told, in that order."""
        out, saved, events = self.node.take()
        if saved is not None and self.writer is not None:
            self.saves += 1
            self.writer.save(self.saves, pack(saved))
        for to, data, waits in out:
            if not waits or self.written == self.saves:
                self.send(to, data)
            elif len(self.held_back) < MOST_HELD_BACK:
                self.held_back.append((self.saves, to, data))
        for event, fields in events:
            self.log(event, **fields)
        voter = self.node.voter
        if voter is not None and self.able != (able := voter.way is None and not voter.broken):
            self.able = able
            self.log(
                "voter_votes" if able else "voter_does_not_vote", life=voter.life, why=voter.broken
            )

    def send(self, to: str, data: bytes) -> None:
        if to == self.node.me[0]:
            self.loop.call_later(0.0, lambda: self.on_datagram(data))
        elif not self.peering.send_to(to, data):
            self.node.counters["no address"] += 1

    def saved(self, number: int, error: str) -> None:
        """On the writer's thread."""
        self.results.append((number, error))
        try:
            self.doorbell.sendto(b"", self.inbox.address)
        except OSError:
            pass  # the next tick's datagrams find it

    def on_saved(self) -> None:
        """What waited for the disk may leave; where the disk failed nothing may, from now on."""
        while self.results:
            number, error = self.results.popleft()
            voter = self.node.voter
            if error and voter is not None and not voter.broken:
                voter.broken = f"its state cannot be written: {error}"
                self.held_back.clear()
                self.log("voter_broken", why=voter.broken)
            if voter is not None and voter.broken:
                continue
            self.written = number
            while self.held_back and self.held_back[0][0] <= number:
                _, to, data = self.held_back.popleft()
                self.send(to, data)
        self.guarded(lambda now: None)

    def leave(self) -> None:
        self.guarded(self.node.leave)

    def end(self) -> None:
        self.timer.cancel()
        if self.writer is not None:
            self.writer.end()
            self.inbox.close()
            self.doorbell.close()

    # --- the first job

    def boxes(self) -> dict[str, drains.Box]:
        return {
            server: drains.Box(entry.zone, entry.cell, entry.state is ServerState.LIVE)
            for server, entry in self.listed.entries.items()
        }

    def failing(self, now: float) -> float:
        """The share of queries here that got no answer of late. Of few nothing is said."""
        counts, seen = self.core.counts, self.counted
        bad = counts["refused"] + counts["failed"] + counts["shed"] + counts["over_bound"]
        seen.append((now, bad + counts["answered"], bad))
        while len(seen) > 2 and seen[1][0] <= now - WINDOW:
            seen.popleft()
        total = seen[-1][1] - seen[0][1]
        return (seen[-1][2] - seen[0][2]) / total if total >= FEW else 0.0

    def begin_drains(self, now: float) -> None:
        """A new owner does not know when the last step was: it waits as long as if it had been just now."""
        committed = self.node.jobs[drains.JOB].owner.committed
        assert committed is not None
        self.next_step = now + drains.pause_after(drains.read(committed.value))

    def step_drains(self, now: float, value: bytes) -> bytes | None:
        failing = (
            self.failing(now) if now >= self.counted[-1][0] + 0.1 or now >= self.next_step else 0.0
        )
        if now < self.next_step:
            return None
        before = drains.read(value)
        after = drains.next_step(before, self.boxes(), failing)
        if after is None:
            self.next_step = now + self.settings.renew  # looked at again then
            return None
        given_back = len(after.out) < len(before.out)
        # A box is out for the time that was ordered. What was given back is told to all before the next one goes.
        self.next_step = now + (self.settings.lease if given_back else drains.pause_after(after))
        return drains.pack(after)

    def order_drains(self, value: bytes, number: str, body: bytes) -> bytes:
        before = drains.read(value)
        try:
            after = drains.ordered(before, number, body, self.boxes())
            packed = drains.pack(after)
        except drains.Refused as error:
            raise ValueError(str(error)) from None
        if drains.begins(before, after):
            self.next_step = self.loop.clock() + self.settings.renew
        return packed

    def apply_drains(self, held: Held) -> None:
        try:
            state = drains.read(held.value)
        except msgspec.DecodeError as error:
            self.log(
                "ledger_not_understood",
                job=drains.JOB,
                epoch=held.epoch,
                step=held.step,
                error=str(error),
            )
            return
        self.listed.set_out(state.out)
        self.log(
            "drains_changed",
            epoch=held.epoch,
            step=held.step,
            status=state.status,
            out=state.out,
            why=state.why,
            steps=state.steps,
        )

    # --- operators

    def view(self) -> dict[str, Any]:
        """What this broker knows of each job; times in seconds from now."""
        node, now = self.node, self.loop.clock()
        rows = []
        for name, job in node.jobs.items():
            owner, newest = job.owner, job.fence.newest
            mine = owner.acting(now)
            rows.append(
                {
                    "job": name,
                    "owner": job.owner_name
                    if mine or now - job.heard <= self.settings.lease
                    else "",
                    "last_owner": job.owner_name,
                    "epoch": job.owner_epoch,
                    "here": mine,
                    "phase": owner.phase.value,
                    "heard": age(now, job.heard),
                    "since": age(now, owner.since) if mine else None,
                    "till": round(owner.until - now, 3) if mine else None,
                    "why": owner.why,
                    "known_epoch": owner.known_epoch,
                    "granted_by": list(owner.grants) if owner.phase is not Phase.IDLE else [],
                    "version": list(newest.version) if newest else None,
                    "ready": job.fence.ready,
                    "older_refused": job.fence.refused,
                }
            )
        newest = node.jobs[drains.JOB].fence.newest
        voter = node.voter
        return {
            "name": node.me[0],
            "voters": list(self.settings.voters),
            "lease": self.settings.lease,
            "jobs": rows,
            "drains": as_dict(drains.read(newest.value)) if newest else None,
            "voter": None
            if voter is None
            else {
                "votes": voter.way is None and not voter.broken,
                "life": voter.life,
                "broken": voter.broken,
                "promised": {name: each.promised for name, each in voter.jobs.items()},
                "saves": self.written,
            },
            "counters": dict(node.counters),
        }

    def collect(self) -> list[Metric]:
        node, now = self.node, self.loop.clock()
        found: list[Metric] = []
        gauges: tuple[tuple[str, str, Callable[[JobView], float]], ...] = (
            ("owned", "Whether this broker owns the job", lambda job: job.owner.acting(now)),
            ("epoch", "The epoch of the owner that was heard last", lambda job: job.owner_epoch),
            (
                "known",
                "Whether an owner is heard",
                lambda job: now - job.heard <= self.settings.lease,
            ),
        )
        for name, text, value in gauges:
            gauge = GaugeMetricFamily(f"stepknot_job_{name}", text, labels=["job"])
            for job, view in node.jobs.items():
                gauge.add_metric([job], value(view))
            found.append(gauge)
        events = CounterMetricFamily(
            "stepknot_ownership_events", "What happened in ownership", labels=["what"]
        )
        for what, count in node.counters.items():
            events.add_metric([what], count)
        return [
            *found,
            events,
            CounterMetricFamily("stepknot_voter_saves", "Saves of the voter's state", self.written),
        ]


def as_dict(state: drains.State) -> dict[str, Any]:
    drain = state.drain
    return {
        **msgspec.structs.asdict(state),
        "drain": msgspec.structs.asdict(drain) if drain is not None else None,
    }


def age(now: float, at: float) -> float | None:
    return round(now - at, 3) if at > -math.inf else None
