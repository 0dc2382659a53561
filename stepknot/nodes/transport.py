"""What the core needs of the boxes' side, whichever protocol is spoken there."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stepknot.interface import Outcome
from stepknot.nodes.codec import PartReply

Load = dict[str, float]


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """One attempt of a part on its way to a box and back, as the sides know it; the core's attempt adds the rest."""

    request: Any  # what is asked, in the side's own terms
    name: str  # of its query, in logs and at boxes
    wait: float  # seconds for which somebody waits
    call: Any = None  # the one in which it travels, in the side's own terms; none: over
    not_after: float = (
        math.inf
    )  # by the loop's clock: not written whole by then, it is never written


OnReply = Callable[[Any, PartReply, Load], None]


class NodeTransport(Protocol):
    """Each attempt sent ends once: by a call of `on_reply`, or by `cancel`."""

    on_reply: OnReply

    def send(self, server: str, attempts: list[Any]) -> int:
        """What goes to one box in one turn; the number of calls in which it travels."""

    def cancel(self, attempt: Any) -> None:
        """Nobody waits for it any more."""

    def unsent(self, attempt: Any) -> bool:
        """Whether no byte of it was handed to the kernel yet."""

    def withdraw(self, server: str) -> None:
        """Nothing new may go there: what is not on the wire yet ends as not connected."""

    def probe(self, server: str, on_end: Callable[[Outcome, Load], None]) -> None:
        """Ask for the load alone; `on_end` is called once."""

    def close_idle(self, server: str) -> None:
        """Close the connections on which nothing is out."""


def ignore_reply(attempt: Any, reply: PartReply, load: Load) -> None:
    """No core listens yet."""
