"""Admin commands that change the banned and allowed networks."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

from stepknot.admission.access_lists import AccessList, AccessLists
from stepknot.broker.admin.views import (
    AdmissionListsAnswer,
    ErrorAnswer,
    UnknownPathAnswer,
    json_response,
)
from stepknot.broker.admission_list_file import AdmissionListFile
from stepknot.net.http import Request, Response


@dataclass(frozen=True, slots=True)
class ListChange:
    """The list that a command changes, and whether it adds or removes a network."""

    access_list: AccessList
    adds: bool


CHANGES = {
    "/admission/ban": ListChange(AccessList.BANNED, True),
    "/admission/unban": ListChange(AccessList.BANNED, False),
    "/admission/allow": ListChange(AccessList.ALLOWED, True),
    "/admission/disallow": ListChange(AccessList.ALLOWED, False),
}


class AdmissionCommands:
    """Adds networks to the banned or allowed ones, or removes them.

    Example: `POST /admission/ban?network=10.0.0.0/8&seconds=600`.

    Args:
        lists: The lists that admission uses.
        file: The file that keeps the lists over a restart.
        log: Writes the log event of each change.
    """

    def __init__(
        self, lists: AccessLists, file: AdmissionListFile, log: Callable[..., None]
    ) -> None:
        self.lists, self.file, self.log = lists, file, log

    def handle(self, request: Request) -> Response:
        """Carry out one command. The change is on disk before the command is answered."""
        change = CHANGES.get(request.path)
        if change is None or request.method != "POST":
            status = HTTPStatus.METHOD_NOT_ALLOWED if change else HTTPStatus.NOT_FOUND
            return json_response(
                status, UnknownPathAnswer("expected POST to one of these paths", [*CHANGES])
            )
        network = request.query.get("network", "")
        try:
            seconds = float(request.query.get("seconds", "inf"))
            self._apply(change, network, seconds)
            self.file.save(self.lists)
        except (ValueError, OSError) as error:
            return json_response(HTTPStatus.BAD_REQUEST, ErrorAnswer(str(error)))
        self.log(
            "access_list_changed",
            what=request.path.rpartition("/")[2],
            network=network,
            seconds=seconds,
        )
        answer = AdmissionListsAnswer(self.lists.banned, self.lists.allowed)
        return json_response(HTTPStatus.OK, answer)

    def _apply(self, change: ListChange, network: str, seconds: float) -> None:
        if not seconds > 0:
            raise ValueError(f"seconds must be greater than 0, got {seconds}")
        if change.adds:
            self.lists.add(change.access_list, network, time.time() + seconds)
        elif not self.lists.remove(change.access_list, network):
            raise ValueError(f"{network} is not {change.access_list.value}")
