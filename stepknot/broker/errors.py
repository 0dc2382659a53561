"""Errors of the broker package."""

from __future__ import annotations

from stepknot.errors import StepknotError


class BrokerError(StepknotError):
    """Base class of the broker's errors."""


class ReloadError(BrokerError, ValueError):
    """Reloaded settings contain a change that a running broker cannot make."""
