"""Answers of the admin socket as typed views. Field names and their order are the JSON's and must not change."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import msgspec
import orjson

from stepknot.net.http import Response
from stepknot.zones.model import ZoneView


@dataclass(frozen=True, slots=True)
class ZonesAnswer:
    """All zones of one broker."""

    broker: str
    own: str  # where the broker stands
    spill: float
    disturbed: bool
    shed: int  # queries
    zones: list[ZoneView]


@dataclass(frozen=True, slots=True)
class AdmissionListsAnswer:
    """Banned and allowed networks after a change, each with the time until which it holds."""

    banned: dict[str, Any]
    allowed: dict[str, Any]


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """An order is in the ledger under this number."""

    taken: bool
    number: str


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """An order is not in the ledger, and why."""

    error: str
    number: str


@dataclass(frozen=True, slots=True)
class LeaseYielded:
    """The lease of a job was given up."""

    yielded: bool


@dataclass(frozen=True, slots=True)
class LeaseNotHeld:
    """The job's lease is not held here; who holds it, as far as known."""

    error: str
    owner: str


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """What was wrong with a request."""

    error: str


@dataclass(frozen=True, slots=True)
class UnknownPathAnswer:
    """What was wrong with a request's path or method, and the paths there are."""

    error: str
    known: list[str]


def json_response(status: HTTPStatus, view: Any) -> Response:
    """A response with this view as JSON."""
    return Response(int(status), orjson.dumps(msgspec.to_builtins(view)))
