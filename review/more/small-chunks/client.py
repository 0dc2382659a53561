"""A bad client's process: sends one request on each of many connections at once, with the body in small chunks."""

from __future__ import annotations

import secrets
import selectors
import socket
import sys
import time

BODY_BYTES = 64 * 1024  # what a body may hold
CHUNK = b"2\r\nab\r\n"  # two bytes of the body
PATIENCE = 8.0  # seconds
READ_BYTES = 65536


def main(port: int, count: int) -> None:
    """Open the connections, send all requests at full speed, and read what comes until the broker ends them."""
    selector, left = selectors.DefaultSelector(), {}
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        head = (
            f"POST /history HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {secrets.token_hex(8)}\r\n"
            "X-Remaining: 2500m\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        left[sock] = memoryview(head.encode() + CHUNK * (BODY_BYTES // 2) + b"0\r\n\r\n")
        selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
    end = time.monotonic() + PATIENCE
    while left and time.monotonic() < end:
        for key, events in selector.select(0.1):
            step(selector, left, key.fileobj, events)


def step(
    selector: selectors.DefaultSelector,
    left: dict[socket.socket, memoryview],
    sock: socket.socket,
    events: int,
) -> None:
    """Read and write what is possible on one connection; drop it where it ended."""
    try:
        if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
            raise ConnectionError
        if events & selectors.EVENT_WRITE:
            left[sock] = left[sock][sock.send(left[sock]) :]
            if not left[sock]:
                selector.modify(sock, selectors.EVENT_READ)
    except BlockingIOError:
        pass
    except OSError:
        selector.unregister(sock)
        sock.close()
        del left[sock]


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
