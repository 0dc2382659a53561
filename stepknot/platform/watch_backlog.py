"""Whether changes of the endpoint list are received that are not applied yet, and what waits for them."""

from __future__ import annotations

from stepknot.decisions.send_hold import MAX_DECISION_HOLD, MAX_WRITE_HOLD, SendHold
from stepknot.net.link import Link
from stepknot.net.loop import Loop


class WatchBacklog:
    """Knows the connections of the open watches, and asks the decision module once a turn.

    Invariant 10 of `stepknot.platform` is kept here.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._links: list[Link] = []
        self._decision_hold = SendHold(MAX_DECISION_HOLD)
        self._write_hold = SendHold(MAX_WRITE_HOLD)
        self._updated_turn = -1  # of the loop
        self._must_decisions_wait = False  # in that turn
        self._must_writes_wait = False

    def add(self, link: Link) -> None:
        """A watch reads from this connection from now on."""
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """Its watch ended; does nothing where it was not added."""
        if link in self._links:
            self._links.remove(link)

    def must_decisions_wait(self) -> bool:
        """Whether nothing is decided on in this turn of the loop."""
        self._update()
        return self._must_decisions_wait

    def must_writes_wait(self) -> bool:
        """Whether nothing is written to nodes in this turn of the loop."""
        self._update()
        return self._must_writes_wait

    def _update(self) -> None:
        """Decide for this turn, in its first call."""
        turn = self._loop.turns
        if self._updated_turn == turn:
            return
        self._updated_turn = turn
        now, has_unread = self._loop.now, any(link.has_unread() for link in self._links)
        self._must_decisions_wait = self._decision_hold.should_wait(turn, now, has_unread)
        self._must_writes_wait = self._write_hold.should_wait(turn, now, has_unread)
