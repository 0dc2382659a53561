"""Answers of the admin socket as typed views. The fields' names and order are those of the JSON: do not change them."""

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
    """All zones as one broker sees them."""

    broker: str
    own: str  # the broker's own zone
    spill: float
    disturbed: bool  # whether a zone is not healthy
    shed: int  # queries that were refused because the zones lacked capacity
    zones: list[ZoneView]


@dataclass(frozen=True, slots=True)
class AdmissionListsAnswer:
    """The banned and allowed networks after a change, each with its expiry time."""

    banned: dict[str, Any]
    allowed: dict[str, Any]


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """An order was accepted and is in the ledger under this number."""

    taken: bool
    number: str


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """Why an order was rejected and is not in the ledger."""

    error: str
    number: str


@dataclass(frozen=True, slots=True)
class LeaseYielded:
    """This broker gave up the lease of a job."""

    yielded: bool


@dataclass(frozen=True, slots=True)
class LeaseNotHeld:
    """This broker does not hold the job's lease; `owner` is the last known holder."""

    error: str
    owner: str


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """Why a request failed."""

    error: str


@dataclass(frozen=True, slots=True)
class UnknownPathAnswer:
    """Why a request's path or method is not valid, and the known paths."""

    error: str
    known: list[str]


def json_response(status: HTTPStatus, view: Any) -> Response:
    """A response whose body is the view as JSON."""
    return Response(int(status), orjson.dumps(msgspec.to_builtins(view)))
