"""The client of discovery on a virtual clock, and the far ends of its calls."""

from __future__ import annotations

import socket
from typing import Any

import orjson

from stepknot.net.link import Link
from stepknot.net.loop import Loop
from stepknot.net.network import READ
from stepknot.net.tasks import Coroutine
from stepknot.platform.config import Address
from stepknot.platform.discovery import DiscoveryClient
from stepknot.platform.endpoint_list import WatchEvent
from tests.net.test_loop import virtual
from tests.platform.test_watch_parser import HEAD, chunk

EMPTY_LIST: dict[str, Any] = {"version": 7, "full": True, "servers": []}
MAX_STEPS = 1000  # of a virtual loop, in one wait


class Calls:
    """A client of discovery on a virtual clock, and the far ends of its calls."""

    def __init__(self) -> None:
        self.loop: Loop = virtual()
        self.loop.connect = self.connect  # type: ignore[assignment]
        self.client = DiscoveryClient(self.loop, Address("127.0.0.1", 1), "n0", None, 0.0, self)
        self.links: list[Link] = []
        self.peers: list[socket.socket] = []
        self.versions: list[int] = []
        self.failures: list[str] = []

    def connect(self, *_: object) -> Coroutine:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        self.links.append(Link(self.loop, ours))
        self.peers.append(theirs)
        yield from ()
        return self.links[-1]

    def on_watch_event(self, event: WatchEvent) -> None:
        self.versions.append(event.version)

    def on_watch_failure(self, reason: str) -> None:
        self.failures.append(reason)

    def advance(self, seconds: float) -> None:
        """Run the loop until so much time of its clock has passed."""
        end = self.loop.now + seconds
        self.loop.call_at(end, lambda: None)
        for _ in range(MAX_STEPS):
            if self.loop.now >= end:
                return
            self.loop.turn()
        raise AssertionError("the loop's clock stands still")

    def open(self) -> None:
        self.client.open_watch()
        self.advance(0.0)
        self.loop.turn()

    def answer(self, call: int, event: dict[str, Any] = EMPTY_LIST) -> None:
        """Send a list as this call's first event."""
        self.peers[call].sendall(HEAD + chunk(orjson.dumps(event) + b"\n"))
        self.links[call].on_event(READ)
        self.loop.turn()

    def is_open(self, call: int) -> bool:
        """Whether the client has not ended this call."""
        self.peers[call].setblocking(False)
        try:
            while self.peers[call].recv(65536):
                pass
        except BlockingIOError:
            return True
        return False
