"""Exceptions of the loop and of HTTP."""

from __future__ import annotations

from stepknot.errors import StepknotError


class NetError(StepknotError):
    """Any error of the loop or of HTTP."""


class WaitTimeoutError(NetError):
    """A wait took longer than its time-out."""


class HttpError(NetError):
    """A message that is rejected.

    Attributes:
        status: HTTP status of the answer.
        reason: text for the peer.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
