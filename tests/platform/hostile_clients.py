"""Clients that send what no usual client sends: by hundreds, at full speed, or never to the end of a request."""

from __future__ import annotations

import errno
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path

import orjson

from stepknot.net.http import gzipped
from tests.platform.world import request

ROOT = Path(__file__).parent.parent.parent
MAX_SECONDS = 120.0  # a crowd ends by itself
HEAD = b"POST /list HTTP/1.1\r\nhost: x\r\nx-txn: h%d\r\nx-remaining: 1500m\r\n"
BODY_LIMIT = 64 * 1024  # bytes, of the protocol page
WRITE_BYTES = 16 * 1024  # at a time, so that no connection has the pump for itself
CONNECT_PAUSE = 0.02  # seconds


def half_body(number: int) -> bytes:
    """Stops before the end of a large body."""
    return HEAD % number + b"content-length: 65000\r\n\r\n" + b"x" * 60_000


def fields(first: int, last: int, value: bytes = b"") -> bytes:
    return b"".join(b"%x:%s\r\n" % (each, value) for each in range(first, last))


def short_fields(number: int) -> bytes:
    """Stops in a head of very many short fields, under the bound on its bytes."""
    return HEAD % number + fields(0x10, 0x5D0)


def valued_fields(number: int) -> bytes:
    return HEAD % number + fields(0x100, 0x4B0, b"%x" % (number % 4096))


def chunks(size: int) -> Callable[[int], bytes]:
    """A body of the largest size in chunks of so many bytes; it stops before the last one."""

    def build(number: int) -> bytes:
        chunk = b"%x\r\n%s\r\n" % (size, b"xyzuvw"[:size])
        return (
            HEAD % number + b"transfer-encoding: chunked\r\n\r\n" + chunk * (BODY_LIMIT // size - 1)
        )

    return build


def small_requests(number: int) -> bytes:
    return b"GET /x%d HTTP/1.1\r\n\r\n" % number * 3000


def sound_requests(number: int) -> bytes:
    return b"".join(request("list", (0,), x_txn=f"h{number}-{each}") for each in range(200))


def waiting_request(number: int) -> bytes:
    """A sound request with thousands of small ones behind it."""
    return request("list", (0,), x_txn=f"h{number}") + b"GET /x HTTP/1.1\r\n\r\n" * 5000


def body_over_the_bound(number: int) -> bytes:
    piece = b"3fff\r\n" + b"x" * 0x3FFF + b"\r\n"
    return HEAD % number + b"transfer-encoding: chunked\r\n\r\n" + piece * 5


def head_over_the_bound(number: int) -> bytes:
    return HEAD % number + fields(0x100, 0x600, b"v")


def target_over_the_bound(number: int) -> bytes:
    return b"POST /" + b"x" * 3000 + b" HTTP/1.1\r\nx-n: %d\r\n\r\n" % number


def unsound_requests(number: int) -> bytes:
    return b"".join(
        request("list", (0,), x_txn=f"h{number}-{each}", x_remaining="soon") for each in range(200)
    )


def hopeless_requests(number: int) -> bytes:
    """Sound, each under a new name, with no time left."""
    return b"".join(
        request("list", (0,), x_txn=f"h{number}-{each}", x_remaining="1u") for each in range(200)
    )


def deep_targets(number: int) -> bytes:
    target = b"POST /" + b"/" * 900 + b" HTTP/1.1\r\nx-txn: h%d\r\ncontent-length: 0\r\n\r\n"
    return target % number * 60


def many_segments(number: int) -> bytes:
    body = b'{"text":"","segments":[' + b'{"segment":0,"boost":1},' * 2500 + b"{}]}"
    return request("list", (0,), x_txn=f"h{number}", body=body)


def compressed_bodies(number: int) -> bytes:
    """Requests of some hundred bytes whose bodies have 64 KiB."""
    data = gzipped(bytes(BODY_LIMIT))
    head = HEAD % number + b"content-encoding: gzip\r\ncontent-length: %d\r\n\r\n" % len(data)
    return (head + data) * 30


def no_http(number: int) -> bytes:
    return b"\x16\x03\x01%d" % number * 5000


SHAPES: dict[str, Callable[[int], bytes]] = {
    "half a body": half_body,
    "a head of short fields": short_fields,
    "a head of short fields with values": valued_fields,
    "chunks of one byte": chunks(1),
    "chunks of two bytes": chunks(2),
    "chunks of six bytes": chunks(6),
    "a request with small ones behind it": waiting_request,
    "small requests": small_requests,
    "sound requests": sound_requests,
    "a body over the bound": body_over_the_bound,
    "a head over the bound": head_over_the_bound,
    "a target over the bound": target_over_the_bound,
    "unsound requests": unsound_requests,
    "requests with no time left": hopeless_requests,
    "deep targets": deep_targets,
    "many segments": many_segments,
    "no HTTP": no_http,
    "compressed bodies": compressed_bodies,
}
STOPPING = (
    "half a body",
    "a head of short fields",
    "a head of short fields with values",
    "chunks of one byte",
    "chunks of two bytes",
    "chunks of six bytes",
    "a request with small ones behind it",
    "small requests",
    "sound requests",
    "compressed bodies",
)
FULL_SPEED = (
    "a body over the bound",
    "a head over the bound",
    "a target over the bound",
    "small requests",
    "unsound requests",
    "requests with no time left",
    "deep targets",
    "many segments",
    "no HTTP",
    "chunks of two bytes",
)


@dataclass
class _Connection:
    sock: socket.socket
    number: int
    left: memoryview = field(default_factory=lambda: memoryview(b""))


@dataclass(frozen=True)
class Crowd:
    """What a crowd sends, and how.

    Attributes:
        shape: of `SHAPES`.
        count: connections at once; one that ends is replaced.
        again: whether a connection that has sent everything sends more; else it stays and says nothing.
        write_bytes: written at most on a connection before the others have their turn.
        pause: seconds between two rounds over all connections.
        first_number: of the connections' names; crowds on one broker have different ones.
    """

    shape: str
    count: int
    again: bool = False
    write_bytes: int = WRITE_BYTES
    pause: float = 0.0
    first_number: int = 0


class HostileCrowd:
    """A crowd in a process of its own, so that usual clients beside it are not held up by its work."""

    def __init__(self, address: tuple[str, int], crowd: Crowd) -> None:
        arguments = orjson.dumps([address, asdict(crowd)]).decode()
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.hostile_clients", arguments], cwd=ROOT
        )

    def stop(self) -> None:
        assert self._process.poll() is None, "the crowd ended by itself"
        self._process.kill()
        self._process.wait()

    def __enter__(self) -> HostileCrowd:
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()


class Pump:
    """Writes on all connections of a crowd in turn, and reads and drops the answers."""

    def __init__(self, address: tuple[str, int], crowd: Crowd) -> None:
        self.address, self.crowd = address, crowd
        self._opened = crowd.first_number
        self._connections: list[_Connection] = []

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            while len(self._connections) < self.crowd.count and self._open():
                pass
            wrote = [self._serve(each) for each in list(self._connections)]
            if self.crowd.pause or not any(wrote):
                time.sleep(max(self.crowd.pause, 0.002))

    def _open(self) -> bool:
        sock = socket.socket()
        sock.setblocking(False)
        code = sock.connect_ex(self.address)
        if code not in (0, errno.EINPROGRESS):
            sock.close()
            time.sleep(CONNECT_PAUSE)
            return False
        self._opened += 1
        data = SHAPES[self.crowd.shape](self._opened)
        self._connections.append(_Connection(sock, self._opened, memoryview(data)))
        return len(self._connections) % 64 != 0  # those that are open have their turn

    def _serve(self, connection: _Connection) -> bool:
        """Write and read once; returns whether anything was written."""
        sent = 0
        try:
            if not connection.left and self.crowd.again:
                connection.left = memoryview(SHAPES[self.crowd.shape](connection.number))
            if connection.left:
                sent = connection.sock.send(connection.left[: self.crowd.write_bytes])
                connection.left = connection.left[sent:]
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                self._drop(connection)
                return False
        try:
            if not connection.sock.recv(1 << 16):
                self._drop(connection)
        except BlockingIOError:
            pass
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                self._drop(connection)
        return sent > 0

    def _drop(self, connection: _Connection) -> None:
        connection.sock.close()
        self._connections.remove(connection)


def seconds_left(duration: float) -> Iterator[float]:
    """Yields until so many seconds have passed."""
    end = time.monotonic() + duration
    while (left := end - time.monotonic()) > 0:
        yield left


if __name__ == "__main__":
    (host, port), given = orjson.loads(sys.argv[1])
    Pump((host, port), Crowd(**given)).run(MAX_SECONDS)
