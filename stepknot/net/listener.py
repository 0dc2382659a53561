"""A listening socket on the loop, which goes on when descriptors run out."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from stepknot.net.link import Link
from stepknot.net.network import BACKLOG
from stepknot.net.tasks import Coroutine

if TYPE_CHECKING:
    from stepknot.net.loop import Loop

ACCEPT_PAUSE = 0.05  # seconds for which a listener pauses when descriptors or buffers run out
ACCEPT_BATCH = 64  # connections accepted in a row before other tasks have their turn
MAX_SPARE_USES = 16  # connections in a row that get a rejection by means of the spare descriptor
OUT_OF_RESOURCES = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    """Accepts connections until it is closed.

    When descriptors or buffers run out it pauses for `ACCEPT_PAUSE`. A spare descriptor is kept, by
    which some of the waiting connections can be accepted for a moment and rejected.

    Attributes:
        address: where it listens.
        pause_count: how often it paused.
        screen: called with each accepted socket and its peer's address; returns whether the socket is
            taken care of, so that it does not become a link.
        on_failed: called where the socket that was accepted last came to nothing.
        on_exhausted: called with sockets that are accepted by means of the spare descriptor; they are
            closed right after.
    """

    def __init__(
        self, loop: Loop, sock: Any, on_accept: Callable[[Link, tuple[Any, ...]], None]
    ) -> None:
        self.loop = loop
        self.link = Link(loop, sock)
        self.address: tuple[Any, ...] = sock.getsockname()
        self.pause_count = 0
        self.screen: Callable[[Any, tuple[Any, ...]], bool] | None = None
        self.on_failed: Callable[[], None] = lambda: None
        self.on_exhausted: Callable[[Any, tuple[Any, ...]], None] | None = None
        self._on_accept = on_accept
        self._spare: int | None = _open_spare()
        self.task = loop.spawn(self._accept(), "accept")

    def _accept(self) -> Coroutine:
        link = self.link
        taken = 0
        while not link.closed:
            try:
                sock, peer = link.sock.accept()
            except BlockingIOError:
                taken = 0
                yield link.park_reader
                continue
            except OSError as error:
                if link.closed:
                    return
                if error.errno in OUT_OF_RESOURCES:
                    self.pause_count += 1
                    self._use_spare()
                    yield from self.loop.sleep(ACCEPT_PAUSE)
                continue  # else the peer disconnected before it was accepted
            taken += 1
            if taken % ACCEPT_BATCH == 0:
                yield from self.loop.sleep(0.0)
            self._try_take(sock, peer)

    def accept_rest(self) -> None:
        """Take the connections that the kernel accepted: closing the listener would reset them.

        Clients may go on connecting meanwhile: no more are taken than could wait before.
        """
        for _ in range(BACKLOG):
            if self.link.closed:
                return
            try:
                sock, peer = self.link.sock.accept()
            except OSError as error:
                if error.errno in (errno.ECONNABORTED, errno.EINTR):
                    continue
                return  # none is left, or there is no descriptor for it
            self._try_take(sock, peer)

    def _try_take(self, sock: Any, peer: tuple[Any, ...]) -> None:
        try:
            self._take(sock, peer)
        except Exception as error:  # noqa: BLE001 - one connection's fault must not end accepting
            sock.close()
            self.on_failed()
            if not isinstance(error, OSError):  # else the peer disconnected already
                self.loop.on_error("accept", error)

    def _take(self, sock: Any, peer: tuple[Any, ...]) -> None:
        if self.screen is not None and self.screen(sock, peer):
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_accept(Link(self.loop, sock), peer)

    def _use_spare(self) -> None:
        """Use the spare descriptor for some waiting connections, one after the other, to reject them."""
        if self.on_exhausted is None or self._spare is None:
            return
        os.close(self._spare)
        self._spare = None
        try:
            for _ in range(MAX_SPARE_USES):
                sock, peer = self.link.sock.accept()
                try:
                    sock.setblocking(False)
                    self.on_exhausted(sock, peer)
                finally:
                    sock.close()
        except OSError:
            pass  # none waits any more, or the descriptor was taken meanwhile
        self._reopen_spare()

    def _reopen_spare(self) -> None:
        if self._spare is None and not self.link.closed:
            try:
                self._spare = _open_spare()
            except OSError:
                self.loop.call_later(ACCEPT_PAUSE, self._reopen_spare)

    def close(self) -> None:
        """Stop accepting."""
        self.link.close()
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None


def _open_spare() -> int:
    return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
