"""A bad client's process: sends half a request on each of many connections, and dies at the first error it gets."""

from __future__ import annotations

import os
import secrets
import select
import socket
import sys

RESET_AT_DEATH = b"\x01\0\0\0\0\0\0\0"  # linger: on, no time
PATIENCE = 6.0  # seconds


def main(port: int, count: int) -> None:
    """Open the connections, send half requests, wait for the first byte or end, and die."""
    poll, socks = select.epoll(), []
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_DEATH)
        poll.register(sock, select.EPOLLIN)
        socks.append(sock)
    for sock in socks:
        head = (
            f"POST /history HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {secrets.token_hex(8)}\r\n"
            'X-Remaining: 2500m\r\nContent-Length: 200\r\n\r\n{"segments":['
        )
        sock.sendall(head.encode())
    poll.poll(PATIENCE)
    os._exit(0)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
