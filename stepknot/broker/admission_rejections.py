"""Answers and sampled log events for connections and requests that admission rejects."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from stepknot.admission.model import RejectReason, Verdict
from stepknot.net.http import Request, Response, encode_response
from stepknot.net.loop import Loop
from stepknot.net.server import Server

MAX_CACHED_ANSWERS = 1000
MAX_EVENTS_PER_SECOND = 5  # log events per second and reason; further rejections are only counted

# Makes a frontend's answer from the reason and the seconds for Retry-After.
Reject = Callable[[str, float], Response]
# Returns a request's priority level (the number of different higher priority weights) and its tenant.
Classify = Callable[[Request], tuple[int, str]]


@dataclass(frozen=True, slots=True)
class Frontend:
    """The functions of a server's frontend that admission uses."""

    reject: Reject
    classify: Classify


class RejectionAnswers:
    """Encodes the answers that reject a connection in its frontend's protocol, and caches their bytes."""

    def __init__(self) -> None:
        self._cached: dict[tuple[Server, RejectReason | None, int], bytes] = {}

    def encode(self, server: Server, frontend: Frontend, verdict: Verdict) -> bytes:
        """The bytes of an answer after which the connection is closed."""
        retry_after = int(verdict.retry_after + 0.999)  # rounds up
        key = (server, verdict.reason, retry_after)
        answer = self._cached.get(key)
        if answer is None:
            if len(self._cached) > MAX_CACHED_ANSWERS:
                self._cached.clear()
            response = frontend.reject(verdict.reason_text, float(retry_after))
            answer = self._cached[key] = encode_response(response, None, True)
        return answer


class RejectionLog:
    """Logs rejections, limited by reason and second, so that a flood of rejections does not flood the log."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        self._loop = loop
        self._log = log
        self._second = 0
        self._counts: Counter[str] = Counter()  # rejections in this second, by reason

    def record(self, verdict: Verdict) -> None:
        """Count a rejection; log the first `MAX_EVENTS_PER_SECOND` rejections of each second for each reason."""
        second = int(self._loop.now)
        if second != self._second:
            self._log_suppressed()
            self._counts.clear()
            self._second = second
        reason = verdict.reason_text
        self._counts[reason] += 1
        if self._counts[reason] <= MAX_EVENTS_PER_SECOND:
            self._log("admission_rejected", reason=reason, placement=verdict.placement.value)

    def _log_suppressed(self) -> None:
        """Log the number of rejections in the last second that were not logged."""
        for reason, count in self._counts.items():
            suppressed = count - MAX_EVENTS_PER_SECOND
            if suppressed > 0:
                self._log("admission_rejections_suppressed", reason=reason, count=suppressed)


class Rejections:
    """Makes the answers to rejected connections and requests in their frontend's protocol, and logs them."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        self._answers = RejectionAnswers()
        self._log = RejectionLog(loop, log)

    def encode(self, server: Server, frontend: Frontend, verdict: Verdict) -> bytes:
        """The bytes of the last answer on a rejected connection."""
        self._log.record(verdict)
        return self._answers.encode(server, frontend, verdict)

    def respond(self, frontend: Frontend, verdict: Verdict) -> Response:
        """The answer to a rejected request, whose connection stays open."""
        self._log.record(verdict)
        return frontend.reject(verdict.reason_text, verdict.retry_after)
