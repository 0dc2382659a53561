"""Errors that a request's author is told, in the engines' terms."""

from __future__ import annotations


class RequestError(Exception):
    """A request that is turned down before anything is sent: `status`, the engines' `type` and a reason."""

    def __init__(
        self, reason: str, type_: str = "illegal_argument_exception", status: int = 400
    ) -> None:
        super().__init__(reason)
        self.reason, self.type, self.status = reason, type_, status


class ParsingError(RequestError):
    def __init__(self, reason: str) -> None:
        super().__init__(reason, "parsing_exception")


def unsupported(what: str, where: str) -> ParsingError:
    return ParsingError(f"[{what}] is not supported in [{where}]")
