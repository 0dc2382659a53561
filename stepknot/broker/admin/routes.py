"""The paths of the admin socket and their answers."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Protocol

import msgspec

from stepknot.broker.admin.admission_commands import CHANGES, AdmissionCommands
from stepknot.broker.admin.views import (
    ErrorAnswer,
    UnknownPathAnswer,
    ZonesAnswer,
    json_response,
)
from stepknot.broker.core import Core
from stepknot.net.connection import Connection
from stepknot.net.http import Request
from stepknot.net.tasks import Coroutine
from stepknot.zones.failover import ZoneFailover

PATHS = ["/zones", "/admission", "/peers", "/owner", "/subset", *CHANGES]
Route = Callable[[Request], Coroutine]


class ViewableSubsystem(Protocol):
    """A subsystem with a view that can be encoded as JSON."""

    def view(self) -> Any:
        """The subsystem's state for operators."""


class ViewableSubsets(Protocol):
    """The part of the subset driver that the admin socket uses."""

    fault: str

    def report(self, with_nodes: bool) -> Coroutine:
        """The subset's state for operators, with each node of the subset if `with_nodes` is set."""

    def explain(self, server: str) -> dict[str, Any] | None:
        """Why this node is, or is not, in the subset; None if the list has no such node or the subset is disabled."""


class AdminRoutes:
    """Answers requests on the admin socket. Each configured subsystem adds its paths.

    Args:
        name: The broker's name, which each view contains.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.routes: dict[str, Route] = {}
        self.admission: AdmissionCommands | None = None

    # --- paths

    def add_view(self, path: str, subsystem: ViewableSubsystem) -> None:
        """Register a handler that answers requests for this path with a subsystem's view."""

        def show(_request: Request) -> Coroutine:
            yield from ()
            return json_response(
                HTTPStatus.OK, {"broker": self.name, **msgspec.to_builtins(subsystem.view())}
            )

        self.routes[path] = show

    def add_command(self, path: str, route: Route) -> None:
        """Register the handler of a subsystem's command for requests for this path."""
        self.routes[path] = route

    def add_zones(self, zones: ZoneFailover, core: Core) -> None:
        """Register a handler that answers requests for `/zones` with the states of all zones."""

        def show(_request: Request) -> Coroutine:
            yield from ()
            return json_response(HTTPStatus.OK, zones_answer(self.name, zones, core))

        self.routes["/zones"] = show

    def add_subsets(self, subsets: ViewableSubsets) -> None:
        """Register a handler that answers requests for `/subset` with the subset's state.

        `?held=1` adds the nodes in use; `?why=NODE` adds why this node is, or is not, in use.
        """

        def show(request: Request) -> Coroutine:
            report = yield from subsets.report("held" in request.query)
            answer = {"broker": self.name, **report}
            if "why" in request.query:
                server = request.query["why"]
                reason = subsets.explain(server)
                if reason is None and not subsets.fault:
                    error = ErrorAnswer(f"the list has no node {server}")
                    return json_response(HTTPStatus.NOT_FOUND, error)
                answer["why"] = reason
            return json_response(HTTPStatus.OK, answer)

        self.routes["/subset"] = show

    # --- requests

    def handle(self, request: Request, _connection: Connection) -> Coroutine:
        """Answer one request."""
        yield from ()
        route = self.routes.get(request.path)
        if route is not None:
            return (yield from route(request))
        if request.path.startswith("/admission/") and self.admission is not None:
            return self.admission.handle(request)
        answer = UnknownPathAnswer(f"unknown path {request.path}", PATHS)
        return json_response(HTTPStatus.NOT_FOUND, answer)


def zones_answer(name: str, zones: ZoneFailover, core: Core) -> ZonesAnswer:
    """The present states of all zones."""
    return ZonesAnswer(
        broker=name,
        own=zones.settings.own,
        spill=zones.derived.spill,
        disturbed=zones.has_unhealthy_zone(),
        shed=core.counts["shed"],
        zones=zones.views(core.loop.now),
    )
