"""What the core needs of the nodes' side, whichever protocol is spoken there."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from stepknot.interface import Outcome
from stepknot.nodes.codec import PartReply

Load = dict[str, float]  # metrics of a load report by name


@dataclass(slots=True, eq=False)
class OutgoingAttempt:
    """One attempt of a part, from its sending to its reply; the core's own attempt adds the rest.

    Attributes:
        request: The part, in the transport's own terms.
        name: Name of its query, in logs and at nodes.
        wait: Seconds for which the reply is awaited.
        call: The call in which it travels, in the transport's own terms; None: it is over.
        not_after: By the loop's clock; an attempt that is not completely written by then is never written.
    """

    request: Any
    name: str
    wait: float
    call: Any = None
    not_after: float = math.inf


OnReply = Callable[[Any, PartReply, Load], None]


class NodeTransport(Protocol):
    """Sends attempts to nodes. Each attempt ends once: by a call of `on_reply`, or by `cancel`."""

    on_reply: OnReply

    def send(self, server: str, attempts: list[Any]) -> int:
        """Send the attempts of one turn to one node; returns the number of calls in which they travel."""

    def cancel(self, attempt: Any) -> None:
        """The attempt's reply is no longer awaited."""

    def is_unsent(self, attempt: Any) -> bool:
        """Whether no byte of the attempt was handed to the kernel yet."""

    def withdraw(self, server: str) -> None:
        """The node accepts nothing new: attempts that are not being written yet end as not connected."""

    def probe(self, server: str, on_end: Callable[[Outcome, Load], None]) -> None:
        """Request the load report alone; `on_end` is called once."""

    def close_idle(self, server: str) -> None:
        """Close the connections to a node on which nothing is in flight."""


def ignore_reply(attempt: Any, reply: PartReply, load: Load) -> None:
    """The value of `on_reply` until a core sets its own."""
