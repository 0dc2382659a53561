"""A keyed part whose first connection comes up late is sent again after its window for repeats."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import sys
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
DEADLINE = 2.5  # seconds that a client waits
WINDOW = 0.56  # seconds for which holders of a shard drop repeats
SLACK = 0.05 + 0.15  # seconds: each limit is longer on sockets; a broker may be held up
CONNECT_TIMEOUT = 1.5  # seconds that the settings allow a connection to come up
CELLS = 3  # with two nodes each
LATE_NODES = 2  # of six: a third of the connections come up late
DOOR_CLOSED = 0.45  # seconds; the kernel tries again 1 s after it began to connect
ROUNDS = 8
REQUESTS = 4  # of a round, to each shard of a late node
GAP = 0.01  # seconds between two of them
WARM_UP = 2.0  # seconds of usual traffic before each round
INTERVAL = 0.04  # seconds between two requests of the usual traffic
MAX_DUMMIES = 8


class LateNode(s.Node):
    """A node whose connections come up late while its door is closed: its queue of connections is full."""

    async def start(self) -> None:
        """Listen with a short queue."""
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.dummies: list[socket.socket] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_door()

    def open_door(self) -> None:
        """Accept connections again."""
        for dummy in self.dummies:
            dummy.close()
        self.dummies = []
        asyncio.get_running_loop().add_reader(self.listener, self._accept)

    def close_door(self) -> None:
        """Accept nothing, and fill the queue: the kernel drops further attempts to connect."""
        asyncio.get_running_loop().remove_reader(self.listener)
        for _ in range(MAX_DUMMIES):
            dummy = socket.socket()
            dummy.setblocking(False)
            dummy.connect_ex(("127.0.0.1", self.port))
            self.dummies.append(dummy)
            if not select.select([], [dummy], [], 0.05)[1]:
                return  # this one does not come up
        raise RuntimeError("the node's queue of connections does not fill")

    def close_idle(self) -> None:
        """Close all connections."""
        for writer in self.writers:
            writer.close()

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            sock, _ = self.listener.accept()
            sock.setblocking(False)
            task = asyncio.create_task(self._serve_socket(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve_socket(self, sock: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=sock)
        self.writers.add(writer)
        await self._serve(reader, writer)
        self.writers.discard(writer)


class ResettingNode(s.Node):
    """A node that, in a round, resets each connection under a request that it has run."""

    is_resetting = False

    async def _run(
        self,
        attempt: s.Attempt,
        writer: asyncio.StreamWriter,
        running: dict[str, asyncio.Task[None]],
    ) -> None:
        if not self.is_resetting:
            await super()._run(attempt, writer, running)
            return
        await asyncio.sleep(self.work)
        running.pop(attempt.part, None)
        self.record.write("node-ran-and-resets", node=self.name, part=attempt.part)
        writer.transport.abort()


async def play(record: s.Record, temporary: Path) -> list[str]:
    """Play rounds of late connections and resets; returns the parts that were sent after their window."""
    late = [LateNode(f"s-{number}", number, record, 0.02) for number in range(LATE_NODES)]
    others = [
        ResettingNode(f"s-{number}", number % CELLS, record, 0.02)
        for number in range(LATE_NODES, 2 * CELLS)
    ]
    nodes: list[s.Node] = [*late, *others]
    for node in nodes:
        await node.start()
    discovery = s.Discovery(record, nodes)
    await discovery.start()
    lane = s.make_lane("transfer", "deduplicated", 1.2, DEADLINE)
    lane["window-ns"] = int(WINDOW * s.NANOSECONDS)
    config = s.make_config(nodes, discovery, [lane])
    config["settings"]["allowed"]["connect-timeout-ns"] = int(CONNECT_TIMEOUT * s.NANOSECONDS)
    broker = s.Broker(record, config, temporary)
    await broker.start()
    try:
        for number in range(ROUNDS):
            await warm_up(record, broker)
            record.write("round", number=number)
            await play_round(record, broker, late, others)
            if find_late(nodes):
                break
    finally:
        await broker.end()
    return find_late(nodes)


async def warm_up(record: s.Record, broker: s.Broker) -> None:
    """Usual traffic, without trouble."""
    asked = []
    end = record.now() + WARM_UP
    while record.now() < end:
        asked.append(asyncio.create_task(ask(record, broker, tuple(range(CELLS)))))
        await asyncio.sleep(INTERVAL)
    await asyncio.gather(*asked)


async def play_round(
    record: s.Record, broker: s.Broker, late: list[LateNode], others: list[ResettingNode]
) -> None:
    """Some requests while new connections to the late nodes come up late."""
    if s.has_trouble():
        for node in late:
            node.close_idle()
            node.close_door()
        for other in others:
            other.is_resetting = True
        record.write("trouble-begins")
    await asyncio.sleep(0.1)
    shards = [node.cell for node in late] * REQUESTS
    asked = []
    for shard in shards:
        asked.append(asyncio.create_task(ask(record, broker, (shard,))))
        await asyncio.sleep(GAP)
    await asyncio.sleep(DOOR_CLOSED)
    if s.has_trouble():
        for node in late:
            node.open_door()
        for other in others:
            other.is_resetting = False
        record.write("trouble-ends")
    await asyncio.gather(*asked)


async def ask(record: s.Record, broker: s.Broker, shards: tuple[int, ...]) -> None:
    """One request on a connection of its own."""
    client = await s.Client(record).connect(broker.port)
    await client.ask("transfer", shards, DEADLINE, DEADLINE + 1)
    client.close()


def find_late(nodes: list[s.Node]) -> list[str]:
    """The attempts that came to a node after the window of an earlier one of the same part, which ran."""
    first: dict[str, float] = {}
    broken = []
    attempts = [(each.last_byte, each.part, node.name) for node in nodes for each in node.attempts]
    for came, part, name in sorted(attempts):
        begun = first.setdefault(part, came)
        if came - begun > WINDOW + SLACK:
            broken.append(
                f"duplicate: part {part} runs again at {name}, {came - begun:.2f} s after its "
                f"first run; repeats are dropped for {WINDOW} s"
            )
    return broken


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
