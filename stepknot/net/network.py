"""Sockets and the poll that waits for them: all that the loop needs of the operating system."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
PEER_CLOSED = select.EPOLLRDHUP
FAILED = select.EPOLLHUP | select.EPOLLERR
ALL_EVENTS = READ | WRITE | PEER_CLOSED | select.EPOLLET
BACKLOG = 1024  # connections that the kernel accepts before the listener takes them
MAX_EVENTS = 1024  # taken from one poll: the rest stays for the next turn


class Network:
    """The operating system's network; a virtual one has the same methods."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.waker = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.epoll.register(self.waker, READ)

    def wake(self) -> None:
        """End a poll now; may be called from a signal's handler."""
        os.eventfd_write(self.waker, 1)

    def listen(self, host: str, port: int, backlog: int = BACKLOG) -> socket.socket:
        """A listening TCP socket.

        Raises:
            OSError: the address cannot be listened on.
        """
        sock = socket.socket(_family(host), socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(backlog)
        return sock

    def datagrams(self, host: str, port: int) -> socket.socket:
        """A bound UDP socket.

        Raises:
            OSError: the address cannot be bound.
        """
        sock = socket.socket(_family(host), socket.SOCK_DGRAM)
        sock.setblocking(False)
        try:
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        return sock

    def connect(self, host: str, port: int, source: str = "") -> socket.socket:
        """A socket that is connecting; it becomes writable when it is connected or has failed.

        Raises:
            OSError: connecting failed at once.
        """
        sock = socket.socket(_family(host), socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex((host, port))
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            raise OSError(code, "connect")
        return sock

    def register(self, sock: socket.socket) -> None:
        """Poll the socket from now on."""
        self.epoll.register(sock.fileno(), ALL_EVENTS)

    def forget(self, sock: socket.socket) -> None:
        """Poll the socket no more."""
        with contextlib.suppress(OSError, ValueError):
            self.epoll.unregister(sock.fileno())

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Wait for events, at most `timeout` seconds; returns descriptors with their event masks."""
        try:
            ready = self.epoll.poll(timeout, MAX_EVENTS)
        except InterruptedError:
            return []
        if any(number == self.waker for number, _ in ready):
            os.eventfd_read(self.waker)
        return ready


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
