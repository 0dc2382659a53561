"""Requests in small chunks drive the broker over its memory limit, and the platform kills it."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 128  # the broker's limit; days have 32 to 192 MB
DESCRIPTORS = 512  # the broker's limit; days have 256 to 1,024
CONNECTIONS = DESCRIPTORS // 3  # of the bad client
DEADLINE = 2.5  # seconds that a client waits
INTERVAL = 0.05  # seconds between two requests of the usual clients
ROUNDS = 3  # bad clients, one after the other
QUIET_TIME = 10.0  # seconds of the run without the disruption
CHECK_INTERVAL = 0.02  # seconds between two looks at the broker's memory
KILOBYTES = 1024  # in a megabyte


async def play(record: s.Record, temporary: Path) -> list[str]:
    """Serve usual clients beside the bad ones; returns whether the broker went over its limit."""
    nodes = [s.Node(f"s-{number}", number % 2, record) for number in range(4)]
    for node in nodes:
        await node.start()
    discovery = s.Discovery(record, nodes)
    await discovery.start()
    lanes = [s.make_lane("history", "idempotent", 1.2, DEADLINE)]
    config = s.make_config(nodes, discovery, lanes)
    config["limits"] |= {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    broker = s.Broker(record, config, temporary)
    await broker.start()
    limited = asyncio.create_task(limit_memory(record, broker))
    usual = asyncio.create_task(ask_all(record, broker))
    try:
        if s.has_trouble():
            await play_bad_clients(record, broker)
        else:
            await asyncio.sleep(QUIET_TIME)
        code = broker.process.returncode
    finally:
        usual.cancel()
        limited.cancel()
        await broker.end()
    return [] if code is None else [f"crash: the broker ended, with code {code} (see record.txt)"]


async def limit_memory(record: s.Record, broker: s.Broker) -> None:
    """The platform's limit: over it the broker is killed."""
    most = 0
    while broker.process.returncode is None:
        used = read_memory(broker.process.pid)
        if used >= most + 10:
            most = used
            record.write("platform-memory", used_mb=used, limit_mb=MEMORY_MB)
        if used > MEMORY_MB:
            broker.signal(signal.SIGKILL)
            return
        await asyncio.sleep(CHECK_INTERVAL)


def read_memory(pid: int) -> int:
    """The resident memory of a process in megabytes."""
    with contextlib.suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) // KILOBYTES
    return 0


async def play_bad_clients(record: s.Record, broker: s.Broker) -> None:
    """One process after the other, until the broker is gone."""
    for number in range(ROUNDS):
        client = await asyncio.create_subprocess_exec(
            sys.executable, "-B", FOLDER / "client.py", str(broker.port), str(CONNECTIONS)
        )
        record.write("bad-client-started", round=number, connections=CONNECTIONS, pid=client.pid)
        await client.wait()
        record.write("bad-client-ended", round=number)
        if broker.process.returncode is not None:
            return


async def ask_all(record: s.Record, broker: s.Broker) -> None:
    """The usual clients: one request after the other, each on a connection of its own."""
    asked = set()
    while broker.process.returncode is None:
        task = asyncio.create_task(ask(record, broker))
        asked.add(task)
        task.add_done_callback(asked.discard)
        await asyncio.sleep(INTERVAL)


async def ask(record: s.Record, broker: s.Broker) -> None:
    """One request."""
    try:
        client = await s.Client(record).connect(broker.port)
    except OSError as error:
        record.write("client-not-connected", error=type(error).__name__)
        return
    await client.ask("history", (0, 1), DEADLINE, DEADLINE + 1)
    client.close()


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
