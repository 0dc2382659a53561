"""A connection in the waiting queue: it waits for its first request, and then until its rejection is sent.

It needs no coroutine: a waiting connection is one object, and most need only one read, one write and one close.
"""

from __future__ import annotations

import re
import socket
from enum import Enum
from typing import TYPE_CHECKING, Any

from stepknot.admission.model import Placement
from stepknot.net.link import Link
from stepknot.net.server import Server

if TYPE_CHECKING:
    from stepknot.broker.admission_gate import AdmissionGate

MAX_HEAD = 16 * 1024  # maximum bytes read to find the end of the first request's head
READ_SIZE = 64 * 1024
MAX_LENGTH_DIGITS = 11  # a content-length with more digits is ignored
AUTHORIZATION = re.compile(rb"authorization", re.IGNORECASE)


class SilentClose(Enum):
    """Why a connection was closed without an answer. The values are labels of metrics."""

    DISCONNECTED = "left before its refusal"
    NO_REQUEST = "closed without a word"
    IDLE_EVICTED = "idle, shed"
    WAITING_EVICTED = "let go in the lane"
    WAITING_TIMEOUT = "silent in the lane"


def content_length(head: bytes) -> int:
    """The length of the body according to a request's head; 0 if the head has no valid content-length."""
    _, found, after = head.lower().partition(b"content-length:")
    digits = after.partition(b"\r\n")[0].strip() if found else b""
    return int(digits) if digits.isdigit() and len(digits) <= MAX_LENGTH_DIGITS else 0


class WaitingConnection:
    """Reads the first request of a connection that exceeded a limit, and admits the connection or rejects the request.

    The connection is admitted only if the request has an API key with which admission control gives it a slot.
    """

    __slots__ = (
        "_data",
        "_gate",
        "_unread",
        "answered",
        "link",
        "number",
        "peer",
        "server",
        "since",
    )

    def __init__(
        self, gate: AdmissionGate, server: Server, link: Link, peer: tuple[Any, ...], number: int
    ) -> None:
        self._gate = gate
        self.server = server
        self.link = link
        self.peer = peer
        self.number = number
        self.since = gate.loop.now
        self.answered = False
        self._data = b""  # bytes of the first request
        self._unread = 0  # bytes of its body that have not been read yet
        link.on_readable = self._on_readable

    def _on_readable(self) -> None:
        try:
            data = self.link.recv_now(READ_SIZE)
        except OSError:
            data = b""
        if data is None:
            return
        if data:
            self.receive(data)
        else:
            self.close(None if self.answered else SilentClose.DISCONNECTED)

    def receive(self, data: bytes) -> None:
        """Process bytes of the first request, or of the rest of its body after the rejection."""
        if self.answered:
            self._unread -= len(data)
            if self._unread <= 0:
                self.close()
            return
        self._data += data
        if b"\r\n\r\n" in self._data or len(self._data) > MAX_HEAD:
            self._decide()

    def _decide(self) -> None:
        """Admit or reject the connection by the head of its first request."""
        head, _, body = self._data.partition(b"\r\n\r\n")
        verdict = self._gate.on_first_request(self.number, head)
        if verdict.placement is Placement.ADMITTED:
            self.link.on_readable = None
            self._gate.admit_waiting(self, self._data)
            return
        answer = self._gate.encode_rejection(self.server, verdict)
        self.answered = True
        self._unread = content_length(head) - len(body)
        try:
            self.link.sock.send(answer)
            self.link.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close(SilentClose.DISCONNECTED)
            return
        # Closing a socket with unread bytes resets the connection, and the client may lose the answer. So the rest of
        # the body is read first.
        if self._unread <= 0:
            self.close()

    def close(self, silent: SilentClose | None = None) -> None:
        """Close the connection; `silent` is the reason if it got no answer."""
        self.link.close()
        self._gate.on_waiting_closed(self, silent)
