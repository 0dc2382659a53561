"""A UDP socket on the loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stepknot.net.link import Link
from stepknot.net.tasks import NEXT_TURN

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

DATAGRAM_BATCH = 64  # datagrams read in a row before other tasks have their turn
MAX_DATAGRAM_BYTES = 2048  # a longer one is cut, and too long for any protocol here


class Datagrams:
    """A UDP socket. What the kernel does not take at once is lost, as datagrams may be anyway.

    Attributes:
        address: where it is bound.
        lost: datagrams that the kernel did not take.
    """

    def __init__(
        self, loop: Loop, sock: Any, on_datagram: Callable[[tuple[Any, ...], bytes], None]
    ) -> None:
        self.loop = loop
        self.address: tuple[Any, ...] = sock.getsockname()
        self.lost = 0
        self.link = Link(loop, sock)
        self.link.on_readable = self._read
        self._on_datagram = on_datagram

    def _read(self) -> None:
        """Read all datagrams, in batches: the next edge comes only once the socket was empty."""
        for _ in range(DATAGRAM_BATCH):
            if self.link.closed:
                return
            try:
                data, source = self.link.sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # an earlier datagram could not be delivered, as ICMP reports
                continue
            self._on_datagram(source, data)
        self.loop.call_later(NEXT_TURN, self._read)

    def send(self, address: tuple[str, int], data: bytes) -> None:
        """Send one datagram."""
        try:
            self.link.sock.sendto(data, address)
        except OSError:
            self.lost += 1

    def close(self) -> None:
        """Close the socket."""
        self.link.close()
