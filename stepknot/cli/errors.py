"""Errors of the command line."""

from __future__ import annotations

from stepknot.errors import StepknotError


class AdminRequestError(StepknotError, OSError):
    """A broker's admin socket rejected a request, or what answered is not a broker.

    Attributes:
        status: The HTTP status; 0 where the answer could not be read.
        reason: What the broker answered, or why it could not be read.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(f"status {status}: {reason}" if status else reason)
        self.status = status
        self.reason = reason
