"""Rejections by admission as bytes of a final answer and as sampled log events."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from stepknot.admission.model import RejectReason, Verdict
from stepknot.net.http import Request, Response, encode_response
from stepknot.net.loop import Loop
from stepknot.net.server import Server

MAX_CACHED_ANSWERS = 1000
MAX_EVENTS_PER_SECOND = 5  # log events of a reason; the rest is counted

Reject = Callable[
    [str, float], Response
]  # the reason and Retry-After seconds: the frontend's answer
Classify = Callable[
    [Request], tuple[int, str]
]  # how many classes have a higher priority; the tenant


@dataclass(frozen=True, slots=True)
class Frontend:
    """What admission needs of a server's frontend."""

    reject: Reject
    classify: Classify


class RejectionAnswers:
    """Encodes the answers that reject a connection, in the protocol of its frontend; the bytes are cached."""

    def __init__(self) -> None:
        self._cached: dict[tuple[Server, RejectReason | None, int], bytes] = {}

    def encode(self, server: Server, frontend: Frontend, verdict: Verdict) -> bytes:
        """The bytes of an answer that closes the connection."""
        retry_after = int(verdict.retry_after + 0.999)  # rounded up
        key = (server, verdict.reason, retry_after)
        answer = self._cached.get(key)
        if answer is None:
            if len(self._cached) > MAX_CACHED_ANSWERS:
                self._cached.clear()
            response = frontend.reject(verdict.reason_text, float(retry_after))
            answer = self._cached[key] = encode_response(response, None, True)
        return answer


class RejectionLog:
    """Logs rejections, sampled by reason: a flood of rejections does not become a flood of lines."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        self._loop = loop
        self._log = log
        self._second = 0
        self._counts: Counter[str] = Counter()  # of this second

    def record(self, verdict: Verdict) -> None:
        """Count a rejection, and log it if it is among the first of its reason in this second."""
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
        """Log how many rejections of the last second were not."""
        for reason, count in self._counts.items():
            suppressed = count - MAX_EVENTS_PER_SECOND
            if suppressed > 0:
                self._log("admission_rejections_suppressed", reason=reason, count=suppressed)


class Rejections:
    """Rejects connections and requests in the protocol of their frontend, and logs it."""

    def __init__(self, loop: Loop, log: Callable[..., None]) -> None:
        self._answers = RejectionAnswers()
        self._log = RejectionLog(loop, log)

    def encode(self, server: Server, frontend: Frontend, verdict: Verdict) -> bytes:
        """The bytes of the final answer to a rejected connection."""
        self._log.record(verdict)
        return self._answers.encode(server, frontend, verdict)

    def respond(self, frontend: Frontend, verdict: Verdict) -> Response:
        """The answer to a rejected request, whose connection goes on."""
        self._log.record(verdict)
        return frontend.reject(verdict.reason_text, verdict.retry_after)
