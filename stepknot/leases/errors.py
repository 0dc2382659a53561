"""Exceptions of leases, of the rolling drains job and of a voter's stored state."""

from __future__ import annotations

from stepknot.errors import StepknotError


class LeaseError(StepknotError):
    """Base class of this package's exceptions."""


class CommandRejectedError(LeaseError, ValueError):
    """An operator's command that cannot be taken; the message is shown to the operator."""


class VoterStateError(LeaseError):
    """A voter's stored state that cannot be used."""


class DamagedVoterStateError(VoterStateError):
    """The file's content is not what was written."""


class VoterStateMismatchError(VoterStateError):
    """An intact state of another fleet, another voter or another format version: not used and not moved."""
