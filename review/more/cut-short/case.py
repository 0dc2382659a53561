"""An answer whose length does not fit is passed on to the client, cut short."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import standins as s

FOLDER = Path(__file__).resolve().parent
DEADLINE = 2.5  # seconds that a client waits
REQUESTS = 100
INTERVAL = 0.05  # seconds between two requests
SPOILT_EVERY = 10  # one of so many answers of all nodes together
MISSING = 8  # bytes of the value that the spoilt frame's length does not cover


async def play(record: s.Record, temporary: Path) -> list[str]:
    """Send requests while some answers are spoilt; returns the answers that no node made."""
    answered = 0

    def make_frame(part: str, value: str) -> bytes:
        nonlocal answered
        answered += 1
        good = s.make_answer(part, value)
        if not s.has_trouble() or answered % SPOILT_EVERY:
            return good
        record.write("node-spoils", part=part, value=value)
        length = len(good) - s.HEADER - MISSING
        return length.to_bytes(s.HEADER, "little") + good[s.HEADER :]

    nodes = [s.Node(f"s-{number}", number % 2, record) for number in range(4)]
    for node in nodes:
        node.make_frame = make_frame
        await node.start()
    discovery = s.Discovery(record, nodes)
    await discovery.start()
    lanes = [s.make_lane("history", "idempotent", 1.2, DEADLINE)]
    broker = s.Broker(record, s.make_config(nodes, discovery, lanes), temporary)
    await broker.start()
    try:
        asked = []
        for _ in range(REQUESTS):
            asked.append(asyncio.create_task(ask(record, broker)))
            await asyncio.sleep(INTERVAL)
        answers = await asyncio.gather(*asked)
    finally:
        await broker.end()
    return [line for each in answers for line in find_wrong(each, nodes)]


async def ask(record: s.Record, broker: s.Broker) -> s.Answer:
    """One request on a connection of its own."""
    client = await s.Client(record).connect(broker.port)
    answer = await client.ask("history", (0, 1), DEADLINE, DEADLINE + 1)
    client.close()
    return answer


def find_wrong(answer: s.Answer, nodes: list[s.Node]) -> list[str]:
    """The values in a served answer that no node made for that part."""
    wrong = []
    for row in answer.body["matches"] if answer.status == s.READY else []:
        part = f"{answer.txn}.{row['segment']}"
        made = [each.value for node in nodes for each in node.attempts if each.part == part]
        if row["payload"] not in made:
            wrong.append(f"wrong value: part {part} got {row['payload']!r}, nodes made {made}")
    return wrong


if __name__ == "__main__":
    sys.exit(s.main(FOLDER, play))
