"""A summary of rejected requests and ended connections, logged once a second while there are any."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from stepknot.net.server import Server
from stepknot.platform.process_memory import read_resident_bytes

REPORT_INTERVAL = 1.0  # seconds


class ClientLog:
    """Counts rejections by status, and logs what is new since the last report.

    Single rejections are debug events: a client at full speed causes thousands in a second.
    """

    def __init__(self, server: Server, log: Callable[..., None]) -> None:
        self._server = server
        self._log = log
        self._rejections: Counter[str] = Counter()  # by status, since the last report
        self._reported_ends: Counter[str] = Counter()

    def count_rejection(self, status: int) -> None:
        """Count a request that was answered with this status."""
        self._rejections[str(status)] += 1

    def report(self) -> None:
        """Log the rejections and ends since the last report, if there were any."""
        ends = Counter(self._server.end_counts)
        ends.subtract(self._reported_ends)
        ends = +ends
        if not self._rejections and not ends:
            return
        budget = self._server.memory_budget
        self._log(
            "clients_rejected",
            statuses=dict(self._rejections),
            ends=dict(ends),
            connections=len(self._server.connections),
            idle=len(self._server.idle),
            held_bytes=budget.held,
            held_limit=budget.limit,
            resident_bytes=read_resident_bytes(),
        )
        self._rejections.clear()
        self._reported_ends = Counter(self._server.end_counts)
