"""Exceptions of admission control."""

from __future__ import annotations

from stepknot.errors import StepknotError


class AdmissionError(StepknotError):
    """Base class of the package's exceptions."""


class ProxyHeaderError(AdmissionError):
    """The bytes at the start of a connection are no PROXY protocol header."""


class AccessListError(AdmissionError, ValueError):
    """An entry cannot be added to an access list."""


class SnapshotDamagedError(AdmissionError):
    """A snapshot of the access lists is not what was written."""


class DescriptorLimitError(AdmissionError, ValueError):
    """The process's descriptor limit is too low for a broker to be of use."""

    def __init__(self, limit: int, min_limit: int) -> None:
        super().__init__(
            f"a descriptor limit of {limit} is too low: at least {min_limit} are needed"
        )
        self.limit = limit
        self.min_limit = min_limit
