"""Whether changes of the endpoint list are received that are not applied yet, and whether sending waits for them."""

from __future__ import annotations

from stepknot.decisions.send_hold import SendHold
from stepknot.net.link import Link
from stepknot.net.loop import Loop


class WatchBacklog:
    """Knows the connections of the open watches, and asks the decision module once a turn.

    Invariant 10 of `stepknot.platform` is kept here.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._links: list[Link] = []
        self._hold = SendHold()
        self._decided_turn = -1  # of the loop, for which `_is_waiting` holds
        self._is_waiting = False

    def add(self, link: Link) -> None:
        """A watch reads from this connection from now on."""
        self._links.append(link)

    def remove(self, link: Link) -> None:
        """Its watch ended; does nothing where it was not added."""
        if link in self._links:
            self._links.remove(link)

    def must_sending_wait(self) -> bool:
        """Whether nothing new is sent to nodes in this turn of the loop; a wait makes the next turn follow at once."""
        if self._decided_turn != self._loop.turns:
            self._decided_turn = self._loop.turns
            has_unread = any(link.has_unread() for link in self._links)
            self._is_waiting = self._hold.should_wait(self._loop.now, has_unread)
        if self._is_waiting:
            self._loop.again = True
        return self._is_waiting
