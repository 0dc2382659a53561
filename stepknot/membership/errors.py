"""Exceptions of the membership package."""

from __future__ import annotations

from stepknot.errors import StepknotError


class DatagramError(StepknotError):
    """A datagram cannot be used. The message is the reason under which the dropped datagram is counted."""
