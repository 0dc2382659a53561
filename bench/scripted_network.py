"""A clock and a network for `stepknot.net.loop.Loop` on which seeded peers act; sockets are objects in memory.

Sockets come up, fail, take a part of what is written, deliver bytes cut anywhere, end and reset, as the
seed has it. Each call that the code under test makes on a socket goes into the trace, with its time.
"""

from __future__ import annotations

import errno
import random
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from bench.trace_packages.trace import Trace
from stepknot.net.loop import Loop
from stepknot.net.network import FAILED, READ, WRITE, Network

WINDOW = 24_000  # bytes that a socket takes before its peer has to read


class Peer:
    """What is at a socket's other end: it is told of bytes and may answer by `sock.deliver`."""

    def on_bytes(self, sock: ScriptedSocket, data: bytes) -> None:
        """The code under test wrote these bytes."""

    def on_turn(self, sock: ScriptedSocket) -> None:
        """One step of time: say something, end, or nothing."""

    def on_shutdown(self, sock: ScriptedSocket) -> None:
        """The code under test half-closed."""


class ScriptedSocket:
    """One stream socket. Descriptor numbers are given in order and not used again."""

    def __init__(self, network: ScriptedNetwork, number: int, peer: Peer) -> None:
        self.network, self.number, self.peer = network, number, peer
        self.up = self.closed = self.ended = False
        self.error = 0  # what connecting came to
        self.reset = False
        self.room = WINDOW
        self.inbox = b""
        self.coming = b""  # said by the peer and not arrived yet
        self.events = 0
        self.comes_up = network.chance.random() < 0.95

    def fileno(self) -> int:
        """Its number in the network."""
        return self.number

    def send(self, data: bytes | memoryview) -> int:
        """Take what there is room for."""
        if self.reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        count = min(len(data), self.room)
        if not count:
            raise BlockingIOError
        self.room -= count
        taken = bytes(data[:count])
        self.network.note("send", self, taken)
        self.peer.on_bytes(self, taken)
        return count

    def recv(self, most: int, flags: int = 0) -> bytes:
        """Bytes that arrived, or the stream's end."""
        if self.reset:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        if not self.inbox:
            if self.ended and not self.coming:
                return b""
            raise BlockingIOError
        data = self.inbox[:most]
        if not flags:
            self.inbox = self.inbox[most:]
        return data

    def shutdown(self, how: int) -> None:
        """Half-closed by the code under test."""
        if self.reset:
            raise OSError(errno.ENOTCONN, "not connected")
        self.network.note("shutdown", self, bytes([how]))
        self.peer.on_shutdown(self)

    def setsockopt(self, level: int, option: int, value: object) -> None:
        """An option, which goes into the trace where it makes a close a reset."""
        del value
        if (level, option) == (socket.SOL_SOCKET, socket.SO_LINGER):
            self.network.note("linger", self, b"")

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def getsockopt(self, level: int, option: int) -> int:
        """The error of connecting."""
        del level, option
        return self.error

    def close(self) -> None:
        """Closed by the code under test."""
        self.closed = True
        self.network.note("close", self, b"")

    # --- called by peers

    def deliver(self, data: bytes) -> None:
        """Send bytes; they arrive cut anywhere."""
        if not self.ended and not self.reset:
            self.coming += data

    def end(self) -> None:
        """End the stream behind what was sent."""
        self.ended = True

    def abort(self, notice: bool = True) -> None:
        """Reset the connection; without `notice` the next call on it finds out."""
        self.reset = True
        if notice:
            self.events |= READ | FAILED


class ScriptedListener:
    """A listening socket: clients wait in its queue until they are accepted."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.queue: deque[ScriptedSocket] = deque()
        self.errors: deque[int] = deque()  # of the next calls of accept
        self.events = 0
        self.closed = False

    def fileno(self) -> int:
        """Its number in the network."""
        return self.number

    def getsockname(self) -> tuple[str, int]:
        """Where it listens."""
        return ("127.0.0.1", 1)

    def accept(self) -> tuple[ScriptedSocket, tuple[str, int]]:
        """The next client."""
        if self.errors:
            raise OSError(self.errors.popleft(), "accept")
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "accept")
        sock = self.queue.popleft()
        return sock, ("10.1.0.1", sock.number)

    def close(self) -> None:
        """Closed by the code under test."""
        self.closed = True


class ScriptedNetwork(Network):
    """Sockets in memory; each poll lets some time pass and the peers act."""

    def __init__(self, trace: Trace, seed: int, make_peer: Callable[[str, int], Peer]) -> None:
        self.trace, self.chance, self.make_peer = trace, random.Random(seed), make_peer
        self.time = 100.0
        self.socks: dict[int, Any] = {}
        self.last_number = 0
        self.come_up = 0.4  # probabilities, for each step
        self.fail = 0.04

    def clock(self) -> float:
        """The virtual time in seconds."""
        return self.time

    def loop(self) -> Loop:
        """A loop on this network and its clock."""
        return Loop(self.clock, random.Random(1), self)

    def mute(self) -> None:
        """The run is over: what the collector ends later, at any time, is not in the trace."""
        self.trace = Trace()

    def note(self, what: str, sock: ScriptedSocket, data: bytes) -> None:
        """Put one call on a socket into the trace."""
        self.trace.add(what, self.time, sock.number, data)

    def connect(self, host: str, port: int, source: str = "") -> Any:
        """A socket that comes up or fails in a later step."""
        del source
        self.trace.add("connect", self.time, host, port)
        if self.chance.random() < self.fail:
            raise OSError(errno.ENETUNREACH, "unreachable")
        self.last_number += 1
        return ScriptedSocket(self, self.last_number, self.make_peer(host, port))

    def listen(self, host: str, port: int, backlog: int = 1024) -> Any:
        """A listener without clients."""
        del host, port, backlog
        self.last_number += 1
        return ScriptedListener(self.last_number)

    def arrive(self, listener: ScriptedListener, peer: Peer) -> ScriptedSocket:
        """A client connects to the listener."""
        self.last_number += 1
        sock = ScriptedSocket(self, self.last_number, peer)
        sock.up = True
        sock.events |= WRITE
        listener.queue.append(sock)
        listener.events |= READ
        return sock

    def register(self, sock: Any) -> None:
        """The loop follows it from now on."""
        self.socks[sock.number] = sock

    def forget(self, sock: Any) -> None:
        """The loop follows it no more."""
        self.socks.pop(sock.number, None)

    def wake(self) -> None:
        """Nothing waits."""

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Let time pass, at most `timeout`, and return what happened to sockets."""
        self.time += min(timeout, self.chance.expovariate(1 / 0.02))
        for sock in list(self.socks.values()):
            if isinstance(sock, ScriptedSocket):
                self.act(sock)
        ready = [(each.number, each.events) for each in self.socks.values() if each.events]
        for sock in self.socks.values():
            sock.events = 0
        return ready

    def act(self, sock: ScriptedSocket) -> None:
        """One step of one socket."""
        chance = self.chance.random()
        if not sock.up:
            if not sock.comes_up:
                return
            if chance < self.come_up:
                sock.up = True
                sock.events |= WRITE
            elif chance < self.come_up + self.fail:
                sock.up, sock.error, sock.reset = True, errno.ECONNREFUSED, True
                sock.events |= READ | WRITE | FAILED
            return
        sock.peer.on_turn(sock)
        if chance < 0.3 and sock.room < WINDOW:
            sock.room = WINDOW
            sock.events |= WRITE
        if sock.coming:
            cut = self.chance.choice((1, 7, 60, 1000, 100_000))
            sock.inbox += sock.coming[:cut]
            sock.coming = sock.coming[cut:]
            sock.events |= READ
        elif sock.ended:
            sock.events |= READ | select.EPOLLRDHUP
