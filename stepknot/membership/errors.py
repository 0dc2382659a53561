"""Exceptions of membership."""

from __future__ import annotations

from stepknot.errors import StepknotError


class DatagramError(StepknotError):
    """A datagram cannot be used. Its text is the reason that dropped datagrams are counted under."""
