"""What operators see of membership: the answer to `stepknot peers`, and the metrics. Keys and labels are stable."""

from __future__ import annotations

import math

import msgspec
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.metrics_core import Metric

from stepknot.broker.ages import age
from stepknot.broker.metrics.families import counter_by_label
from stepknot.membership.model import Record, State
from stepknot.membership.protocol import MembershipProtocol
from stepknot.membership.subject import Subject


class MemberRow(msgspec.Struct, frozen=True):
    """One member; ages in seconds, none: never, or not observed here."""

    name: str
    state: str
    address: str
    epoch: int
    incarnation: int
    is_self: bool = msgspec.field(name="self")
    since: float | None  # the last change of its state
    why: str
    watched: bool  # whether this member observes it
    heard: float | None
    sign: float | None
    sign_by: str
    hears_me: float | None
    reachable: bool
    reaches_me_by_report: bool


class PeersView(msgspec.Struct, frozen=True):
    """One broker's view of its fleet."""

    name: str
    fleet: str
    version: int
    digest: str
    joined: bool
    isolated: bool
    isolated_why: str
    stepped_aside: bool
    stood_still: float  # seconds, the last time
    live: int
    suspect: int
    at_least: int
    at_most: int
    sure: bool
    counters: dict[str, int]
    not_taken: int
    members: list[MemberRow]


def peers_view(protocol: MembershipProtocol, now: float) -> PeersView:
    """All that this member knows of the fleet."""
    table, count = protocol.table, protocol.count(now)
    return PeersView(
        name=protocol.own.name,
        fleet=protocol.settings.fleet,
        version=table.version,
        digest=f"{table.digest:016x}",
        joined=protocol.member.has_joined,
        isolated=protocol.isolation.is_isolated,
        isolated_why=protocol.isolation.reason,
        stepped_aside=protocol.member.stepped_aside,
        stood_still=protocol.health.last_stall,
        live=table.counts[State.ALIVE],
        suspect=table.counts[State.SUSPECT],
        at_least=count.lower_bound,
        at_most=count.upper_bound,
        sure=count.is_certain,
        counters=dict(protocol.counters),
        not_taken=table.refused,
        members=[_member_row(protocol, now, record) for _, record in sorted(table.records.items())],
    )


def _member_row(protocol: MembershipProtocol, now: float, record: Record) -> MemberRow:
    change = protocol.table.last_changes.get(record.name)
    is_observed = record.name in protocol.view.subjects
    subject = protocol.view.subjects.get(record.name, Subject(now))
    settings = protocol.settings
    receives_me_after = settings.suspect_after + settings.period
    return MemberRow(
        name=record.name,
        state=record.state.name.lower(),
        address=f"{record.host}:{record.port}",
        epoch=record.epoch,
        incarnation=record.incarnation,
        is_self=record.name == protocol.own.name,
        since=age(now, change.at if change is not None else -math.inf),
        why=change.reason if change is not None else "",
        watched=is_observed,
        heard=age(now, subject.last_received),
        sign=age(now, subject.last_sign),
        sign_by=subject.last_sign_source,
        hears_me=age(now, subject.last_received_by_it),
        reachable=now - subject.last_received <= settings.suspect_after,
        reaches_me_by_report=now - subject.last_received_by_it <= receives_me_after,
    )


def membership_metrics(protocol: MembershipProtocol, now: float) -> list[Metric]:
    """Members by state, events, the count's bounds and this member's own state."""
    count = protocol.count(now)
    gauges = (
        ("at_least", count.lower_bound, "Brokers proven to be there"),
        ("at_most", count.upper_bound, "No more brokers than this may be there"),
        ("sure", count.is_certain, "Whether that count is sure"),
        (
            "isolated",
            protocol.isolation.is_isolated,
            "Whether this broker is cut off from most others",
        ),
        ("version", protocol.table.version, "Changes of this view so far"),
    )
    return [
        _states_metric(protocol),
        counter_by_label(
            "stepknot_peers_events", "What happened in membership", "what", protocol.counters
        ),
        *(GaugeMetricFamily(f"stepknot_peers_{name}", text, value) for name, value, text in gauges),
    ]


def _states_metric(protocol: MembershipProtocol) -> Metric:
    states = GaugeMetricFamily(
        "stepknot_peers", "Members in this broker's view, by state", labels=["state"]
    )
    for state in State:
        states.add_metric([state.name.lower()], protocol.table.counts[state])
    return states
