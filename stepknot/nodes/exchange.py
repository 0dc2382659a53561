"""One request to a node and its response."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from stepknot.interface import Outcome
from stepknot.net.link import Link
from stepknot.net.response_parser import ClientParser
from stepknot.net.tasks import Future

# Called once: with the parser of a complete response, or None, an outcome and a reason.
OnEnd = Callable[[ClientParser | None, Outcome, str], None]


def ignore_end(parser: ClientParser | None, outcome: Outcome, reason: str) -> None:
    """For an exchange for which nobody waits."""


def set_parser(
    done: Future,
    parser: ClientParser | None,
    outcome: Outcome,  # noqa: ARG001 - a future's value is the parser alone
    reason: str,  # noqa: ARG001
) -> None:
    """Set the future to the parser of the response; bound to its first argument, it is an `OnEnd`."""
    done.set(parser)


@dataclass(slots=True, eq=False)
class Exchange:
    """A request that is sent, or waits for its connection.

    Attributes:
        data: The request's bytes, or what makes them once the connection is up, as late as possible.
        on_end: Called once, unless the exchange is cancelled.
        link: The connection, from the time when the request is written to it.
        ended: Whether `on_end` was called or the exchange was cancelled.
        not_after: By the loop's clock; a request that was not begun by then is not sent.
    """

    data: bytes | Callable[[], bytes]
    on_end: OnEnd
    link: Link | None = None
    ended: bool = False
    not_after: float = math.inf

    def end(self, parser: ClientParser | None, outcome: Outcome, reason: str = "") -> None:
        """Call `on_end`, once."""
        if self.ended:
            return
        self.ended = True
        on_end = self.on_end
        self.on_end = ignore_end  # no reference cycle is left for the garbage collector
        on_end(parser, outcome, reason)

    def cancel(self) -> None:
        """Nobody waits any more: the connection is reset, which the node sees."""
        self.ended = True
        self.on_end = ignore_end
        if self.link is not None:
            self.link.close(abort=True)
