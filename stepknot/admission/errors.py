"""Exceptions of admission control."""

from __future__ import annotations

from stepknot.errors import StepknotError


class AdmissionError(StepknotError):
    """Base class of the package's exceptions."""


class ProxyHeaderError(AdmissionError):
    """The bytes at the start of a connection are not a valid PROXY protocol header."""


class AccessListError(AdmissionError, ValueError):
    """An entry cannot be added to an access list."""


class SnapshotDamagedError(AdmissionError):
    """A snapshot of the access lists is damaged or incomplete."""


class DescriptorLimitError(AdmissionError, ValueError):
    """The process's descriptor limit is too low for a working broker."""

    def __init__(self, limit: int, min_limit: int) -> None:
        super().__init__(
            f"the descriptor limit of the process is {limit}, but a broker needs at least {min_limit}"
        )
        self.limit = limit
        self.min_limit = min_limit
