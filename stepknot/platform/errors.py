"""Exceptions of the platform's protocol."""

from __future__ import annotations

from stepknot.errors import StepknotError


class PlatformError(StepknotError):
    """Any error of the platform's protocol."""


class MalformedInputError(PlatformError):
    """Input that cannot be used; the message names the place, what was expected and what came."""


class ConfigurationError(MalformedInputError):
    """The configuration that `LB_CONFIG` names is missing or malformed."""


class WatchError(MalformedInputError):
    """Discovery sent what is not a watch or not an endpoint list."""


class FrameError(PlatformError):
    """Bytes of a node that are not a frame of the protocol."""


class BadRequestError(PlatformError):
    """A client's request that is answered with an error and does not become a query.

    Attributes:
        status: HTTP status of the answer, 4xx.
        reason: text for the client.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
