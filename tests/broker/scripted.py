"""A broker in the test's process, whose nodes answer by scripts, and a raw HTTP client of the broker."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from stepknot.broker.service import Service
from stepknot.cli.serve import make
from stepknot.config.settings import load
from stepknot.simulation.fleet import settings_text

SEARCH = "/reports/_search"
WAIT = 10.0  # seconds after which a wait counts as failed; waits that succeed are much shorter
Script = Callable[["Call"], None]


@dataclass
class Call:
    """One request that a node received, and the socket on which to answer it."""

    node: ScriptedNode
    sock: socket.socket
    head: str
    body: bytes

    @property
    def parts(self) -> list[tuple[dict[str, Any], dict[str, Any]]]:
        lines = [orjson.loads(line) for line in self.body.split(b"\n") if line]
        return list(zip(lines[::2], lines[1::2], strict=True))

    @property
    def probe(self) -> bool:
        return self.head.startswith("HEAD")

    @property
    def write(self) -> bool:
        return self.head.startswith("POST /_bulk")

    @property
    def token(self) -> str:
        return next(
            line[13:]
            for line in self.head.split("\r\n")
            if line.lower().startswith("x-opaque-id: ")
        )

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def reply(self, body: Any, status: int = 200) -> None:
        data = orjson.dumps(body)
        self.send(f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data)

    def serve(self) -> None:
        """Send a valid answer, in which each shard has one document, `s<shard>`."""
        if self.probe:
            self.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
        elif self.write:
            self.reply(bulk_answer(self.body))
        else:
            self.reply({"took": 0, "responses": [shard_answer(*pair) for pair in self.parts]})

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.sock.close()


def shard_answer(head: dict[str, Any], body: dict[str, Any]) -> dict[str, Any]:
    shard = int(head["preference"].partition(":")[2])
    wanted = body["query"].get("ids", {}).get("values")
    rows = []
    for name in wanted or ([f"s{shard}"] if body["size"] else []):
        if name.startswith("unknown"):
            continue
        hit: dict[str, Any] = {"_index": head["index"], "_id": name, "_score": 1.0}
        if "sort" in body:
            hit["sort"] = [f"s{shard}" if "_id" in key else shard for key in body["sort"]]
        if body.get("_source") is not False:
            hit["_source"] = {"name": name, "title": name, "club": "c"}
        rows.append(hit)
    hits = {"total": {"value": 1, "relation": "eq"}, "max_score": 1.0, "hits": rows}
    answer = {
        "took": 0,
        "timed_out": False,
        "status": 200,
        "hits": hits,
        "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
    }
    if "aggs" in body:
        answer["aggregations"] = {
            name: {
                "buckets": {
                    key: {"doc_count": 1, "bestRating": {"value": shard}}
                    for key in each["filters"]["filters"]
                }
            }
            for name, each in body["aggs"].items()
        }
    return answer


def bulk_answer(body: bytes) -> dict[str, Any]:
    line = orjson.loads(body.split(b"\n")[0])
    ((action, meta),) = line.items()
    item = {
        **meta,
        "_version": 1,
        "result": "created",
        "_seq_no": 0,
        "_primary_term": 1,
        "status": 201,
        "_shards": {"total": 1, "successful": 1, "failed": 0},
    }
    return {"took": 0, "errors": False, "items": [{action: item}]}


class ListeningServer:
    """A server on its own port, with a thread for each connection."""

    def __init__(self, port: int = 0) -> None:
        self.listener = socket.create_server(("127.0.0.1", port))
        self.port: int = self.listener.getsockname()[1]
        self.socks: list[socket.socket] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            # Without delay, the data is on its way when `sendall` returns.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.socks.append(sock)
            threading.Thread(target=self.serve_connection, args=(sock,), daemon=True).start()

    def serve_connection(self, sock: socket.socket) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Close all sockets at once, even while threads read from them."""
        for sock in [self.listener, *self.socks]:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()


class ScriptedNode(ListeningServer):
    """A node that answers each request by its present script."""

    def __init__(self, script: Script | None = None) -> None:
        self.script: Script = script or Call.serve
        self.calls: list[Call] = []
        self.changed = threading.Condition()
        self.closed_count = 0  # connections that ended, for example as the broker closed them
        super().__init__()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def serve_connection(self, sock: socket.socket) -> None:
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    chunk = sock.recv(65536)
                    if not chunk:
                        raise ConnectionError
                    data += chunk
                head, _, data = data.partition(b"\r\n\r\n")
                text = head.decode()
                length = next(
                    (
                        int(line[15:])
                        for line in text.split("\r\n")
                        if line.lower().startswith("content-length:")
                    ),
                    0,
                )
                while len(data) < length:
                    data += sock.recv(1 << 20)
                call = Call(self, sock, text, data[:length])
                data = data[length:]
                with self.changed:
                    self.calls.append(call)
                    self.changed.notify_all()
                self.script(call)
        except OSError:
            with self.changed:
                self.closed_count += 1
                self.changed.notify_all()

    def work(self) -> list[Call]:
        """The received calls without health checks."""
        return [call for call in self.calls if not call.probe]

    def wait(self, condition: Callable[[ScriptedNode], bool]) -> None:
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self), WAIT), (
                f"condition on the node at {self.address} not met within {WAIT} s"
            )


class BrokerOnThread:
    """A broker under test whose loop runs on its own thread."""

    service: Any

    def connect(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.service.server.port), timeout=WAIT)

    def call(self, function: Callable[[], Any]) -> Any:
        """Run a function on the broker's loop; returns its result."""
        done = threading.Event()
        result: list[Any] = []
        self.service.loop.call_at(0.0, lambda: (result.append(function()), done.set()))
        self.service.loop.network.wake()
        assert done.wait(WAIT)
        return result[0]


def start_loop_thread(service: Any) -> threading.Thread:
    thread = threading.Thread(target=service.loop.run, daemon=True)
    thread.start()
    return thread


def stop_broker(service: Any, thread: threading.Thread, servers: Sequence[ListeningServer]) -> None:
    service.loop.call_at(0.0, service.loop.stop)
    service.loop.network.wake()
    thread.join(WAIT)
    for each in servers:
        each.close()


@dataclass
class Running(BrokerOnThread):
    """The broker under test, its nodes and its endpoint list."""

    service: Service
    nodes: list[ScriptedNode]
    folder: Path
    cells: list[int]
    thread: threading.Thread
    logged: list[tuple[str, dict[str, Any]]] = field(default_factory=list)

    def connect_graph(self) -> socket.socket:
        assert self.service.graphql_server is not None
        return socket.create_connection(
            ("127.0.0.1", self.service.graphql_server.port), timeout=WAIT
        )

    def stall_with_the_next_query(self, seconds: float) -> list[float]:
        """Stall the loop in the iteration that starts the next query.

        This makes sure that the query's deadline does not pass before the stall begins, even on a busy machine.

        Returns:
            A list to which the stall is added when it begins.
        """
        earlier_queries = self.call(lambda: self.service.core.counts["queries"])
        stalls: list[float] = []

        def stall() -> None:
            if not stalls and self.service.core.counts["queries"] > earlier_queries:
                stalls.append(seconds)
                time.sleep(seconds)

        self.call(lambda: self.service.loop.turn_hooks.append(stall))
        return stalls

    def write_list(
        self, states: dict[int, str] | None = None, gone: set[int] | None = None
    ) -> None:
        rows = [
            {
                "address": node.address,
                "cell": self.cells[number],
                "zone": "a",
                "state": (states or {}).get(number, "live"),
            }
            for number, node in enumerate(self.nodes)
            if number not in (gone or set())
        ]
        path = self.folder / "boxes.json"
        path.with_suffix(".new").write_bytes(orjson.dumps({"boxes": rows}))
        path.with_suffix(".new").rename(path)


@contextmanager
def broker(folder: Path, cells: list[int], shards: int = 2, **settings: Any) -> Iterator[Running]:
    """Run one broker, with one scripted node for each entry of `cells`, which is the node's cell."""
    nodes = [ScriptedNode() for _ in cells]
    path = folder / "broker.hcl"
    path.write_text(
        settings_text(port=0, instances=1, cells=max(cells) + 1, shards=shards, **settings)
    )
    running = Running(None, nodes, folder, cells, None)  # type: ignore[arg-type]
    running.write_list()
    service = make(load(path), lambda event, **fields: running.logged.append((event, fields)))
    running.service = service
    running.thread = start_loop_thread(service)
    try:
        yield running
    finally:
        stop_broker(service, running.thread, nodes)


@dataclass
class Answer:
    status: int
    headers: dict[str, str]
    body: Any


class Client:
    """A raw HTTP client on one connection, which reads exactly the bytes that the broker sends."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.data = b""

    def ask(self, method: str, path: str, body: Any = None, headers: str = "") -> None:
        data = b"" if body is None else body if isinstance(body, bytes) else orjson.dumps(body)
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: x\r\n{headers}content-length: {len(data)}\r\n\r\n"
        )
        self.sock.sendall(head.encode() + data)

    def read(self) -> Answer:
        while b"\r\n\r\n" not in self.data:
            self.more()
        head, _, rest = self.data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        length = int(headers["content-length"])
        pieces, size = [rest], len(rest)
        while size < length:
            pieces.append(self.sock.recv(1 << 20))
            size += len(pieces[-1])
            if not pieces[-1]:
                raise EOFError
        rest = b"".join(pieces)
        self.data = rest[length:]
        status = int(lines[0].split(" ")[1])
        body = rest[:length]
        return Answer(
            status,
            headers,
            orjson.loads(body) if "json" in headers["content-type"] and body else body,
        )

    def more(self) -> None:
        chunk = self.sock.recv(1 << 20)
        if not chunk:
            raise EOFError
        self.data += chunk

    def rest(self) -> bytes:
        """Read until the broker closes the connection; returns all bytes."""
        try:
            while True:
                self.more()
        except EOFError:
            return self.data
        except ConnectionResetError:
            return self.data

    def receives_nothing_for(self, seconds: float) -> bool:
        """Whether no byte arrives within this time; True also if the broker closes the connection."""
        self.sock.settimeout(seconds)
        try:
            return not self.sock.recv(1)
        except TimeoutError:
            return True
        finally:
            self.sock.settimeout(WAIT)

    def __call__(self, method: str, path: str, body: Any = None, headers: str = "") -> Answer:
        self.ask(method, path, body, headers)
        return self.read()


def until(condition: Callable[[], object]) -> None:
    """Wait until a condition is met, for `WAIT` seconds at most."""
    end = time.monotonic() + WAIT
    while not condition():
        assert time.monotonic() < end, f"condition not met within {WAIT} s"
        threading.Event().wait(0.005)


def wait_for(condition: Callable[[], object], seconds: float = 5.0) -> bool:
    """Wait until a condition is met; returns whether it is met within so many seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        threading.Event().wait(0.01)
    return False


def wait_any(nodes: Sequence[ScriptedNode], condition: Callable[[ScriptedNode], object]) -> bool:
    """Wait until one of these nodes meets a condition; returns whether one does within five seconds."""
    end = time.monotonic() + 5
    while time.monotonic() < end:
        for node in nodes:
            if condition(node):
                return True
            with node.changed:
                node.changed.wait(0.02)
    return False


def unresponsive(call: Call) -> None:
    """A script that answers health checks, but no other calls."""
    if call.probe:
        call.serve()


def warm_up(run: Running) -> None:
    """Run twenty successful searches, so that one slow answer does not dominate what the broker knows of a node."""
    client = Client(run.connect())
    for _ in range(20):
        assert client("POST", SEARCH).status == 200


def document_names(answer: Any) -> set[str]:
    """The names of the documents on a search's page."""
    return {hit["_source"]["name"] for hit in answer["hits"]["hits"]}


def raw(run: Running, data: bytes) -> bytes:
    """Send these bytes on a new connection; returns all bytes that the broker sends until it closes."""
    sock = run.connect()
    sock.sendall(data)
    return Client(sock).rest()
