"""Admission for operators: the admin answer of `/admission`, made from the controller's state."""

from __future__ import annotations

from collections.abc import Mapping
from itertools import islice

import msgspec

from stepknot.admission.addresses import Address, format_address, format_prefix
from stepknot.admission.controller import AdmissionController
from stepknot.admission.descriptors import DescriptorBudget
from stepknot.admission.model import TrustLevel

MAX_ROWS = 10  # rows per table


class DescriptorRow(msgspec.Struct, frozen=True, rename={"waiting": "lane", "servers": "boxes"}):
    """The allocation of file descriptors."""

    limit: int
    fixed: int
    admin: int
    waiting: int
    servers: int
    clients: int


class ArrivalRow(msgspec.Struct, frozen=True, rename={"per_second": "a_second"}):
    """An address with many new connections."""

    address: str
    per_second: float
    error: float


class RejectionRow(msgspec.Struct, frozen=True, rename={"recent": "of_late"}):
    """An address with many rejections."""

    address: str
    recent: float
    error: float


class ConnectedRow(msgspec.Struct, frozen=True, rename={"trust": "rank"}):
    """An address with many connections."""

    address: str
    connections: int
    trust: str


class PrefixRow(msgspec.Struct, frozen=True):
    """A prefix with many connections."""

    prefix: str
    connections: int


class AdmissionView(
    msgspec.Struct,
    frozen=True,
    rename={
        "descriptors": "budgets",
        "slots": "seats",
        "waiting": "lane",
        "max_queries": "queries_most",
        "reserved_bytes": "bytes",
        "max_bytes": "bytes_most",
        "rejected": "refused",
    },
):
    """The limits and their use, the decisions, and the addresses with the highest counts.

    `rename` has the keys of the answer where they differ from the fields' names.
    """

    descriptors: DescriptorRow
    slots: dict[str, int]  # connection slots in use, by trust level
    waiting: int  # connections in the waiting queue
    reserve: int  # connection slots that unknown clients do not get
    queries: int
    max_queries: int
    reserved_bytes: int
    max_bytes: int
    decisions: dict[str, int]
    silent: dict[str, int]
    arriving: list[ArrivalRow]
    rejected: list[RejectionRow]
    connected: list[ConnectedRow]
    prefixes: list[PrefixRow]
    banned: dict[str, float]
    allowed: dict[str, float]


def make_view(
    now: float,
    controller: AdmissionController,
    descriptors: DescriptorBudget,
    silent: Mapping[str, int],
) -> AdmissionView:
    """The view of the controller's state at time `now`."""
    settings, slots = controller.settings, controller.slots
    return AdmissionView(
        descriptors=DescriptorRow(
            descriptors.limit,
            descriptors.fixed,
            descriptors.admin,
            descriptors.waiting,
            descriptors.servers,
            descriptors.clients,
        ),
        slots={level.label: slots.by_trust[level] for level in TrustLevel},
        waiting=len(controller.queue),
        reserve=slots.capacity - slots.limit(TrustLevel.UNKNOWN),
        queries=controller.queries.taken,
        max_queries=settings.held,
        reserved_bytes=controller.byte_budget.reserved,
        max_bytes=settings.bytes,
        decisions=dict(controller.decisions),
        silent=dict(silent),
        arriving=_arrivals(now, controller),
        rejected=_rejections(now, controller),
        connected=_connected(now, controller),
        prefixes=[
            PrefixRow(format_prefix(key), count)
            for key, count in slots.by_prefix.most_common(MAX_ROWS)
        ],
        banned=controller.lists.banned,
        allowed=controller.lists.allowed,
    )


def _arrivals(now: float, controller: AdmissionController) -> list[ArrivalRow]:
    memory = controller.settings.memory
    return [
        ArrivalRow(format_address(each.key), each.count / memory, each.error / memory)
        for each in controller.arrival_rates.top(now, MAX_ROWS)
    ]


def _rejections(now: float, controller: AdmissionController) -> list[RejectionRow]:
    return [
        RejectionRow(format_address(each.key), each.count, each.error)
        for each in controller.rejections.top(now, MAX_ROWS)
    ]


def _connected(now: float, controller: AdmissionController) -> list[ConnectedRow]:
    by_address = controller.slots.by_address
    return [
        ConnectedRow(
            format_address(key),
            by_address[key],
            controller.trust_level(now, Address(key)).label,
        )
        for key in islice(by_address.descending(), MAX_ROWS)
    ]
