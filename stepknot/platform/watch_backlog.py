"""Whether changes of the endpoint list are received that are not applied yet, and what waits for them."""

from __future__ import annotations

from stepknot.decisions.send_hold import MAX_DECISION_HOLD, MAX_WRITE_HOLD, SendHold
from stepknot.net.link import Link
from stepknot.net.loop import Loop


class WatchBacklog:
    """Knows the connections of the open watches, and asks the decision module once a turn.

    Invariant 10 of `stepknot.platform` is kept here.

    Attributes:
        must_decisions_wait: whether nothing is decided on in this turn of the loop, see `update`.
        must_writes_wait: whether nothing is written to nodes in it.
    """

    def __init__(self, loop: Loop) -> None:
        self.must_decisions_wait = False
        self.must_writes_wait = False
        self._loop = loop
        self._links: list[Link] = []
        self._decision_hold = SendHold(MAX_DECISION_HOLD)
        self._write_hold = SendHold(MAX_WRITE_HOLD)
        self._updated_turn = -1  # of the loop

    def add(self, link: Link) -> None:
        """A watch reads from this connection from now on."""
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """Its watch ended; does nothing where it was not added."""
        if link in self._links:
            self._links.remove(link)

    def update(self) -> None:
        """Decide for this turn, in its first call; where something waits, the next turn follows at once."""
        turn = self._loop.turns
        if self._updated_turn == turn:
            return
        self._updated_turn = turn
        now, has_unread = self._loop.now, any(link.has_unread() for link in self._links)
        self.must_decisions_wait = self._decision_hold.should_wait(turn, now, has_unread)
        self.must_writes_wait = self._write_hold.should_wait(turn, now, has_unread)
        self._loop.again |= self.must_decisions_wait or self.must_writes_wait
