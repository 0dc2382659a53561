"""Ports for processes that are started later, reserved so that no other process reserves them meanwhile."""

from __future__ import annotations

import random
import socket

LISTENING = 10_000, 32_000  # ports: below those that connecting sockets get

_reservations: list[socket.socket] = []  # held until this process ends


def reserve_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Ports that are free for connections and for datagrams, all different, and reserved until this process ends.

    A listener with SO_REUSEADDR, as those of the brokers and the nodes, can be bound to a reserved port; another
    reservation cannot.
    """
    source = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = source.randrange(*LISTENING)
        if _reserve(host, port):
            ports.append(port)
    return ports


def _reserve(host: str, port: int) -> bool:
    """False where the port is used or reserved."""
    stream = socket.socket()
    try:
        stream.bind((host, port))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((host, port))
    except OSError:
        stream.close()
        return False
    # Set after the bind, which therefore excludes every other socket; from here on a listener may share the port.
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(stream)
    return True
