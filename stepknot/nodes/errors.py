"""Exceptions of the nodes' side."""

from __future__ import annotations

from stepknot.errors import StepknotError


class NodeError(StepknotError):
    """Base class of the errors of this package."""


class MalformedReplyError(NodeError, ValueError):
    """A node's reply is well-formed JSON, but does not answer what was sent."""
