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
    """What a command does: to which list, and whether it adds or removes."""

    access_list: AccessList
    adds: bool


CHANGES = {
    "/admission/ban": ListChange(AccessList.BANNED, True),
    "/admission/unban": ListChange(AccessList.BANNED, False),
    "/admission/allow": ListChange(AccessList.ALLOWED, True),
    "/admission/disallow": ListChange(AccessList.ALLOWED, False),
}


class AdmissionCommands:
    """Bans and allows networks, or takes them off: `POST /admission/ban?network=10.0.0.0/8&seconds=600`.

    Args:
        lists: The lists in force.
        file: Where they are kept over a restart.
        log: Takes the event of each change.
    """

    def __init__(
        self, lists: AccessLists, file: AdmissionListFile, log: Callable[..., None]
    ) -> None:
        self.lists, self.file, self.log = lists, file, log

    def handle(self, request: Request) -> Response:
        """Carry out one command, durably before it is answered."""
        change = CHANGES.get(request.path)
        if change is None or request.method != "POST":
            status = HTTPStatus.METHOD_NOT_ALLOWED if change else HTTPStatus.NOT_FOUND
            return json_response(status, UnknownPathAnswer("POST to one of these", [*CHANGES]))
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
            raise ValueError("seconds must be over 0")
        if change.adds:
            self.lists.add(change.access_list, network, time.time() + seconds)
        elif not self.lists.remove(change.access_list, network):
            raise ValueError(f"{network} is not {change.access_list.value}")
