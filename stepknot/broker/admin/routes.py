"""The admin socket's paths, and what each answers."""

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


class Viewed(Protocol):
    """A subsystem that can be shown as JSON."""

    def view(self) -> Any:
        """All that operators may see of it."""


class ViewedSubsets(Protocol):
    """The subset driver, as far as it is shown."""

    fault: str

    def report(self, with_held: bool) -> Coroutine:
        """All that operators may see of the subset, with the nodes in use if asked for."""

    def explain(self, server: str) -> dict[str, Any] | None:
        """Why this node is, or is not, in use; None where the list does not name it."""


class AdminRoutes:
    """Answers requests on the admin socket. Each subsystem that is configured adds its paths.

    Args:
        name: The broker's, which each view carries.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.routes: dict[str, Route] = {}
        self.admission: AdmissionCommands | None = None

    # --- paths

    def add_view(self, path: str, subsystem: Viewed) -> None:
        """Show a subsystem at this path."""

        def show(_request: Request) -> Coroutine:
            yield from ()
            return json_response(
                HTTPStatus.OK, {"broker": self.name, **msgspec.to_builtins(subsystem.view())}
            )

        self.routes[path] = show

    def add_command(self, path: str, route: Route) -> None:
        """Answer requests for this path by a subsystem's command."""
        self.routes[path] = route

    def add_zones(self, zones: ZoneFailover, core: Core) -> None:
        """Show the zones at `/zones`."""

        def show(_request: Request) -> Coroutine:
            yield from ()
            return json_response(HTTPStatus.OK, zones_answer(self.name, zones, core))

        self.routes["/zones"] = show

    def add_subsets(self, subsets: ViewedSubsets) -> None:
        """Show the subset at `/subset`: `?held=1` with the nodes in use; `?why=NODE` why this one is in use or not."""

        def show(request: Request) -> Coroutine:
            survey = yield from subsets.report("held" in request.query)
            found = {"broker": self.name, **survey}
            if "why" in request.query:
                server = request.query["why"]
                reason = subsets.explain(server)
                if reason is None and not subsets.fault:
                    error = ErrorAnswer(f"the list has no node {server}")
                    return json_response(HTTPStatus.NOT_FOUND, error)
                found["why"] = reason
            return json_response(HTTPStatus.OK, found)

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
        answer = UnknownPathAnswer(f"nothing at {request.path}", PATHS)
        return json_response(HTTPStatus.NOT_FOUND, answer)


def zones_answer(name: str, zones: ZoneFailover, core: Core) -> ZonesAnswer:
    """The zones as they are now."""
    return ZonesAnswer(
        broker=name,
        own=zones.settings.own,
        spill=zones.derived.spill,
        disturbed=zones.has_unhealthy_zone(),
        shed=core.counts["shed"],
        zones=zones.views(core.loop.now),
    )
