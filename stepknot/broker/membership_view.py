"""Membership for operators: the admin answer for `stepknot members`, and the metrics.

The keys of the answer and the labels of the metrics must not change.
"""

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
    """One member. Ages are in seconds; an age is None if the event never happened or is not observed by this broker."""

    name: str
    state: str
    address: str
    epoch: int
    incarnation: int
    is_self: bool = msgspec.field(name="self")
    state_age: float | None = msgspec.field(name="since")  # of the last change of its state
    state_reason: str = msgspec.field(name="why")
    is_observed: bool = msgspec.field(name="watched")  # whether this broker observes the member
    received_age: float | None = msgspec.field(name="heard")  # of the last datagram from the member
    sign_age: float | None = msgspec.field(name="sign")  # of the newest sign of life
    sign_source: str = msgspec.field(name="sign_by")  # the member that received or reported it
    received_by_it_age: float | None = msgspec.field(name="hears_me")
    reachable: bool
    reaches_me_by_report: bool


class PeersView(msgspec.Struct, frozen=True):
    """One broker's view of its fleet."""

    name: str
    fleet: str
    version: int
    digest: str
    has_joined: bool = msgspec.field(name="joined")
    is_isolated: bool = msgspec.field(name="isolated")
    isolation_reason: str = msgspec.field(name="isolated_why")
    lost_name_conflict: bool = msgspec.field(name="stepped_aside")
    last_stall: float = msgspec.field(name="stood_still")  # seconds of the process's last pause
    live: int
    suspect: int
    lower_bound: int = msgspec.field(name="at_least")  # bounds of the number of brokers
    upper_bound: int = msgspec.field(name="at_most")
    is_certain: bool = msgspec.field(name="sure")
    counters: dict[str, int]
    rejected_records: int = msgspec.field(name="not_taken")
    members: list[MemberRow]


def peers_view(protocol: MembershipProtocol, now: float) -> PeersView:
    """Everything that this broker knows about the fleet."""
    table, count = protocol.table, protocol.count(now)
    return PeersView(
        name=protocol.own.name,
        fleet=protocol.settings.fleet,
        version=table.version,
        digest=f"{table.digest:016x}",
        has_joined=protocol.member.has_joined,
        is_isolated=protocol.isolation.is_isolated,
        isolation_reason=protocol.isolation.reason,
        lost_name_conflict=protocol.member.stepped_aside,
        last_stall=protocol.health.last_stall,
        live=table.counts[State.ALIVE],
        suspect=table.counts[State.SUSPECT],
        lower_bound=count.lower_bound,
        upper_bound=count.upper_bound,
        is_certain=count.is_certain,
        counters=dict(protocol.counters),
        rejected_records=table.refused,
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
        state_age=age(now, change.at if change is not None else -math.inf),
        state_reason=change.reason if change is not None else "",
        is_observed=is_observed,
        received_age=age(now, subject.last_received),
        sign_age=age(now, subject.last_sign),
        sign_source=subject.last_sign_source,
        received_by_it_age=age(now, subject.last_received_by_it),
        reachable=now - subject.last_received <= settings.suspect_after,
        reaches_me_by_report=now - subject.last_received_by_it <= receives_me_after,
    )


def membership_metrics(protocol: MembershipProtocol, now: float) -> list[Metric]:
    """Metrics of members by state, events, the bounds of the number of brokers, and this broker's isolation."""
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
