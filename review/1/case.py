"""A client that dies in the middle of its requests ends the broker's process."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
DEADLINE = 2.5  # seconds that a client waits
INTERVAL = 0.05  # seconds between two requests of the usual clients
ROUNDS = 20  # client processes that die, one after the other
CONNECTIONS = 100  # of each of them: under a third of the broker's 512 descriptors
QUIET_TIME = 10.0  # seconds of the run without the disruption


async def play(record: s.Record, temporary: Path) -> list[str]:
    """Serve usual clients while client processes die; returns whether the broker ended by itself."""
    nodes = [s.Node(f"s-{number}", number % 2, record) for number in range(4)]
    for node in nodes:
        await node.start()
    discovery = s.Discovery(record, nodes)
    await discovery.start()
    lanes = [s.make_lane("history", "idempotent", 1.2, DEADLINE)]
    broker = s.Broker(record, s.make_config(nodes, discovery, lanes), temporary)
    await broker.start()
    usual = asyncio.create_task(ask_all(record, broker))
    try:
        if s.has_trouble():
            await play_bad_clients(record, broker)
        else:
            await asyncio.sleep(QUIET_TIME)
        code = broker.process.returncode
    finally:
        usual.cancel()
        await broker.end()
    return [] if code is None else [f"crash: the broker ended by itself with exit code {code}"]


async def play_bad_clients(record: s.Record, broker: s.Broker) -> None:
    """One process after the other, until the broker is gone."""
    for number in range(ROUNDS):
        client = await asyncio.create_subprocess_exec(
            sys.executable, "-B", FOLDER / "client.py", str(broker.port), str(CONNECTIONS)
        )
        record.write("bad-client-started", round=number, connections=CONNECTIONS, pid=client.pid)
        await client.wait()
        record.write("bad-client-died", round=number)
        await asyncio.sleep(0.2)
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
