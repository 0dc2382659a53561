"""Exceptions of leases, of the rolling drains job and of a voter's stored state."""

from __future__ import annotations

from stepknot.errors import StepknotError


class LeaseError(StepknotError):
    """Base class of this package's exceptions."""


class CommandRejectedError(LeaseError, ValueError):
    """An operator's command cannot be accepted; the message is shown to the operator."""


class VoterStateError(LeaseError):
    """A voter's stored state cannot be used."""


class DamagedVoterStateError(VoterStateError):
    """The stored state is incomplete or altered."""


class VoterStateMismatchError(VoterStateError):
    """The stored state is intact but of another fleet, voter or format version; it is neither used nor moved."""
