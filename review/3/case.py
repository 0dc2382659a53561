"""An unsafe class, one sound replica that turns some parts away, and a second copy of that answer."""

import asyncio
import time
from pathlib import Path

import lab as laboratory

HERE = Path(__file__).resolve().parent
SECONDS, REMAINING, WORK = 14.0, 2.0, 0.1
TURNED_AWAY = 4  # one part in so many: the node's queue is full of other brokers' work
SPACING = 0.1  # seconds between two requests: nothing else waits on the connection
REFUSED = (429, 503)


class Trouble:
    """What the node does to some parts, and what it saw."""

    def __init__(self, lab, node):
        self.lab, self.node = lab, node
        self.parts = set()
        self.turned_away, self.copies = [], []
        node.script, node.after_write = self.turn_away, self.write_behind

    def turn_away(self, run):
        """Turn the first attempt of some parts away, before any of it ran."""
        is_first = run.part not in self.parts
        self.parts.add(run.part)
        if not is_first or len(self.parts) % TURNED_AWAY:
            return None
        self.turned_away.append(run)
        return [(0.002, laboratory.answer_of(run.part, "REJECTED"))]

    def write_behind(self, run, writer, data):
        """The disruption: a second copy right behind, where nothing else is waiting."""
        if self.lab.trouble and run in self.turned_away and not self.is_another_waiting(run):
            writer.write(data)
            self.copies.append(run)
            self.lab.record(self.node.name, f"conn {run.conn} wrote the same once more")

    def is_another_waiting(self, run):
        """Whether another part waits on the connection."""
        return any(
            each.conn == run.conn and each.answered_at is None and each.cancelled_at is None
            for each in self.node.runs
        )

    def find_run(self):
        """The times at which the node began to work on each part."""
        ran = {}
        for run in self.node.runs:
            if run not in self.turned_away:
                ran.setdefault(run.part, []).append(run.at)
        return ran


async def case(lab):
    """Returns whether no part ran twice, and none ran whose request was refused."""
    settings = laboratory.settings()
    settings["lanes"][1]["idempotency"] = "at_most_once"  # `transfer`
    await lab.make_nodes(1, WORK)  # the outage left each shard one sound node
    trouble = Trouble(lab, lab.nodes[0])
    discovery = laboratory.Discovery(lab, lab.nodes)
    await discovery.start()
    broker = lab.make_broker(discovery.port, discovery.snapshot(), settings=settings)
    await broker.start()
    client, end = laboratory.Client(lab, broker.port), time.monotonic() + SECONDS
    while time.monotonic() < end:
        await client.ask("transfer", REMAINING, segments=[0])
        await asyncio.sleep(SPACING)
    ran = trouble.find_run()
    twice = {part: times for part, times in ran.items() if len(times) > 1}
    for part, times in twice.items():
        lab.record(f"TWICE {part}: ran from {', '.join(f'{at:.4f}' for at in times)}")
    refused = {asked.txn for asked in lab.asked if asked.status in REFUSED}
    harmful = [part for part in ran if part.split(".")[0] in refused]
    for part in harmful:
        lab.record(f"REFUSED {part}: a repeat was called harmless, and the part ran")
    lab.record.say(
        f"{len(lab.asked)} requests, {len(trouble.turned_away)} parts turned away, {len(trouble.copies)} of them"
        f" with a second copy; {len(twice)} ran twice, {len(harmful)} ran and were refused"
    )
    return not twice and not harmful


laboratory.main(HERE, case)
