"""Ids of clients' requests, so that none repeats an effect. Types: `stepknot/interface.py`.

A client gives each request an id of its own. One that comes again, such as after its client left, would reach
the servers under the same ids of its parts, and have its effect a second time.
"""

from __future__ import annotations

MAX_REMEMBERED = 8192  # ids that are over: bounds the memory where every request has a new id


class RequestIds:
    """The ids of requests that are open, and of those that ended and may have run.

    Attributes:
        open: Ids of the requests in flight.
        retention: Seconds for which an id is remembered after its request ended.
    """

    def __init__(self, retention: float) -> None:
        """Remember no id.

        Args:
            retention: Seconds for which an id is remembered after its request ended.
        """
        self.open: set[str] = set()
        self.retention = retention
        self._forget_at: dict[str, float] = {}  # by id, the one to forget first in front

    def begin(self, now: float, request_id: str) -> bool:
        """Open a request; returns False where one of its id is open or may have run."""
        self._forget(now)
        if request_id in self.open or request_id in self._forget_at:
            return False
        self.open.add(request_id)
        return True

    def end(self, now: float, request_id: str, may_have_run: bool) -> None:
        """Close a request, and remember its id where it may have run."""
        self.open.discard(request_id)
        if may_have_run:
            self._forget_at[request_id] = now + self.retention
            self._forget(now)

    def _forget(self, now: float) -> None:
        while self._forget_at:
            request_id = next(iter(self._forget_at))
            if self._forget_at[request_id] > now and len(self._forget_at) <= MAX_REMEMBERED:
                return
            del self._forget_at[request_id]
