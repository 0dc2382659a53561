"""A request that comes late in a planned restart is forwarded and then abandoned."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
DEADLINE = 4.0  # seconds that a client waits
LATE_ANSWER = 0.5  # seconds after its time within which an answer is still no loss
CONNECT_AT, SEND_AT = 0.30, 0.60  # seconds after SIGTERM
KILL_AFTER = 3.0 + 0.7  # seconds from SIGTERM to SIGKILL: a longer deadline counts as 3 s
CLIENTS = 8
EARLIER_REQUESTS = 5


async def play(record: s.Record, temporary: Path) -> list[str]:
    """Play one restart; returns the lost requests."""
    nodes = [s.Node(f"s-{number}", number % 2, record) for number in range(4)]
    for node in nodes:
        await node.start()
    discovery = s.Discovery(record, nodes)
    await discovery.start()
    lanes = [s.make_lane("slot-lookup", "idempotent", 1.5, DEADLINE)]
    config = s.make_config(nodes, discovery, lanes)
    config["settings"]["allowed"]["may-duplicate"] = False  # a part has one attempt out at most
    broker = s.Broker(record, config, temporary)
    await broker.start()
    try:
        answers = await ask_all(record, broker, nodes)
    finally:
        await broker.end()
    forwarded = {each.part.partition(".")[0] for node in nodes for each in node.attempts}
    return [
        f"lost: request {each.txn}, forwarded to a node, no final answer: {each.ending} "
        f"{each.ended - each.sent:.2f} s after its last byte"
        for each in answers
        if each.txn in forwarded
        and (each.ending != "answer" or each.ended - each.sent > DEADLINE + LATE_ANSWER)
    ]


async def ask_all(record: s.Record, broker: s.Broker, nodes: list[s.Node]) -> list[s.Answer]:
    """Some requests in quiet, then the restart with those that come late in it."""
    answers = []
    for _ in range(EARLIER_REQUESTS):
        client = await s.Client(record).connect(broker.port)
        answers.append(await client.ask("slot-lookup", (0, 1), DEADLINE, DEADLINE + 1))
        client.close()
    if s.has_trouble():
        broker.signal(signal.SIGTERM)
        for node in nodes[: len(nodes) // 2]:
            node.is_hung = True
            record.write("node-hangs", node=node.name)
    begun = record.now()
    await asyncio.sleep(CONNECT_AT)
    clients = [await s.Client(record).connect(broker.port) for _ in range(CLIENTS)]
    record.write("clients-connected", count=CLIENTS)
    await asyncio.sleep(begun + SEND_AT - record.now())
    late = [each.ask("slot-lookup", (0, 1), DEADLINE, DEADLINE + 1) for each in clients]
    answers += await asyncio.gather(*late)
    if s.has_trouble() and broker.process.returncode is None:
        await asyncio.sleep(max(begun + KILL_AFTER - record.now(), 0.0))
    return answers


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
