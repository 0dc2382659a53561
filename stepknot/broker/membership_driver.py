"""Membership on the broker's loop: its socket, its ticks, and what operators and the module are told of it.

Nothing a query needs waits for this; a turn's share of it is a few datagrams.
"""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.config.membership import Peers
from stepknot.membership.model import MOST_EPOCH, Counts, Record, State
from stepknot.membership.protocol import MembershipProtocol
from stepknot.net.loop import Coroutine, Loop

FAREWELL = 4  # ticks for which a leave is told


class MembershipDriver:
    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        seed: int,
        on_count: Callable[[int], None],
        log: Callable[..., None],
        wall: Callable[[], float] = time.time,
    ) -> None:
        """Raises OSError where the address is taken. `on_count` hears how many brokers there may be, at each change."""
        self.loop, self.on_count, self.log = loop, on_count, log
        self.settings = peers.settings
        self.socket = loop.datagrams(*peers.listen, self.on_datagram)
        host, port = peers.advertise or (peers.listen[0], self.socket.address[1])
        # The wall's clock is a first guess at an epoch above all earlier ones; where it is not, the seeds say so.
        epoch = min(max(int(wall() * 1000), 0), MOST_EPOCH - 1)
        own = Record(peers.name, host, port, epoch, seed & 0xFFFFFFFF, 0, State.JOINING)
        self.protocol = MembershipProtocol(peers.settings, own, seed)
        self.counted: Counts | None = None
        self.apart = False
        self.told_of_self = False
        self.others: dict[
            bytes, Callable[[bytes], None]
        ] = {}  # by a datagram's first byte: others on this socket
        self.addresses: dict[str, tuple[str, int]] = {}  # of members, as last known
        if peers.settings.seeds and not self.protocol.seeds:
            log("peers_only_seed_is_this_broker", address=f"{host}:{port}")
        self.timer = loop.call_later(0.0, self.tick)

    def tick(self) -> None:
        """The clock is asked anew: a turn that was stopped half way must not pass for a moment."""
        self.guarded(self.protocol.tick)
        self.timer = self.loop.call_later(self.settings.step, self.tick)

    def on_datagram(self, source: tuple[Any, ...], data: bytes) -> None:
        other = self.others.get(data[:1])
        if other is not None:
            other(data)
        else:
            self.guarded(lambda now: self.protocol.receive(now, data))

    def send_to(self, name: str, data: bytes) -> bool:
        """To a member, also to one that is held dead or was forgotten. False: it was never heard of."""
        record = self.protocol.table.records.get(name)
        if record is not None:
            self.addresses[name] = record.address
        address = self.addresses.get(name)
        if address is not None:
            self.socket.send(address, data)
        return address is not None

    def guarded(self, what: Callable[[float], None]) -> None:
        """A defect of membership's own is told loudly and costs no query."""
        now = self.loop.clock()
        try:
            what(now)
            self.carry(now)
        except Exception as error:  # noqa: BLE001
            self.loop.on_error("peers", error)

    def carry(self, now: float) -> None:
        """What the decisions want sent and told."""
        protocol = self.protocol
        out, changes = protocol.take()
        for address, data in out:
            self.socket.send(address, data)
        for change in changes:
            self.log(
                "peer_changed",
                version=change.version,
                peer=change.name,
                why=change.why,
                old=change.before.name.lower() if change.before is not None else None,
                new=change.after.name.lower() if change.after is not None else None,
            )
        if protocol.isolated != self.apart:
            self.apart = protocol.isolated
            self.log(
                "peers_isolated" if self.apart else "peers_not_isolated", why=protocol.isolated_why
            )
        if protocol.stepped_aside and not self.told_of_self:
            self.told_of_self = True
            self.log("peers_stepped_aside", why=protocol.isolated_why)
        count = protocol.count(now)
        if count != self.counted:
            if self.counted is None or count.at_most != self.counted.at_most:
                self.on_count(count.at_most)
            self.counted = count

    def leave(self) -> None:
        self.guarded(self.protocol.leave)

    def end(self) -> Coroutine:
        """Tell the leave a few times more, then close."""
        for _ in range(FAREWELL):
            yield from self.loop.sleep(self.settings.step)
        self.timer.cancel()
        self.socket.close()

    # --- operators

    def view(self) -> dict[str, Any]:
        """All there is to know of the members from here; ages in seconds."""
        protocol, now = self.protocol, self.loop.clock()
        table, count = protocol.table, protocol.count(now)
        rows = []
        for name, record in sorted(table.records.items()):
            watched = protocol.watched.get(name)
            since, why = table.why.get(name, (-math.inf, ""))
            rows.append(
                {
                    "name": name,
                    "state": record.state.name.lower(),
                    "address": f"{record.host}:{record.port}",
                    "epoch": record.epoch,
                    "incarnation": record.incarnation,
                    "self": name == protocol.own.name,
                    "since": age(now, since),
                    "why": why,
                    "watched": watched is not None,
                    "heard": age(now, watched.heard) if watched else None,
                    "sign": age(now, watched.sign) if watched else None,
                    "sign_by": watched.sign_by if watched else "",
                    "hears_me": age(now, watched.hears_me) if watched else None,
                    "reachable": watched is not None
                    and now - watched.heard <= self.settings.suspect_after,
                    "reaches_me_by_report": watched is not None
                    and now - watched.hears_me
                    <= self.settings.suspect_after + self.settings.period,
                }
            )
        return {
            "name": protocol.own.name,
            "fleet": self.settings.fleet,
            "version": table.version,
            "digest": f"{table.digest:016x}",
            "joined": protocol.joined,
            "isolated": protocol.isolated,
            "isolated_why": protocol.isolated_why,
            "stepped_aside": protocol.stepped_aside,
            "stood_still": protocol.stood_still,
            "live": protocol.table.counts[State.ALIVE],
            "suspect": protocol.table.counts[State.SUSPECT],
            "at_least": count.at_least,
            "at_most": count.at_most,
            "sure": count.sure,
            "counters": dict(protocol.counters),
            "not_taken": table.refused,
            "members": rows,
        }

    def collect(self) -> list[Metric]:
        protocol = self.protocol
        states = GaugeMetricFamily(
            "stepknot_peers", "Members in this broker's view, by state", labels=["state"]
        )
        for state in State:
            states.add_metric([state.name.lower()], protocol.table.counts[state])
        events = CounterMetricFamily(
            "stepknot_peers_events", "What happened in membership", labels=["what"]
        )
        for what, count in protocol.counters.items():
            events.add_metric([what], count)
        counted = protocol.count(self.loop.clock())
        return [
            states,
            events,
            *(
                GaugeMetricFamily(f"stepknot_peers_{name}", text, value)
                for name, value, text in (
                    ("at_least", counted.at_least, "Brokers proven to be there"),
                    ("at_most", counted.at_most, "No more brokers than this may be there"),
                    ("sure", counted.sure, "Whether that count is sure"),
                    (
                        "isolated",
                        protocol.isolated,
                        "Whether this broker is cut off from most others",
                    ),
                    ("version", protocol.table.version, "Changes of this view so far"),
                )
            ),
        ]


def age(now: float, at: float) -> float | None:
    return round(now - at, 3) if at > -math.inf else None
