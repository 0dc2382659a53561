"""Bad clients: each sends one request whose head never ends, at full speed, and reads what it is sent.

Usage: bad_clients.py PORT COUNT SECONDS. Each stops at its error or close, or after so many seconds.
"""

import selectors
import socket
import sys
import time

HEAD = b"POST /history HTTP/1.1\r\nHost: backend.local\r\nX-Txn: 0badc0de0badc0de\r\nX-More: "
BLOCK = memoryview(b"a" * (1 << 20))


def main(port: int, count: int, seconds: float) -> None:
    """Connect all, then send and read until each has ended."""
    begun = time.monotonic()
    poll = selectors.DefaultSelector()
    sent: dict[socket.socket, int] = {}
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(HEAD)
        sock.setblocking(False)
        sent[sock] = 0
        poll.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
    while sent and time.monotonic() < begun + seconds:
        for key, mask in poll.select(0.1):
            sock, how = key.fileobj, ""
            try:
                if mask & selectors.EVENT_READ:
                    got = sock.recv(4096)
                    how = f"got {got[:12]!r}" if got else "closed"
                elif mask & selectors.EVENT_WRITE:
                    sent[sock] += sock.send(BLOCK)
            except BlockingIOError:
                continue
            except OSError as error:
                how = f"ended: {error.strerror}"
            if how:
                finish(poll, sock, how, sent.pop(sock), begun)
    for sock, size in sent.items():
        finish(poll, sock, "nothing came", size, begun)


def finish(poll, sock, how: str, size: int, begun: float) -> None:
    """Report how it ended, and close it."""
    print(
        f"bad client: {how}, {time.monotonic() - begun:.2f} s after connecting, {size} bytes sent",
        flush=True,
    )
    poll.unregister(sock)
    sock.close()


main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
