"""A node begins to drain while discovery takes 1.8 s for each call."""

import asyncio
import time
from pathlib import Path

import lab as laboratory

HERE = Path(__file__).resolve().parent

DELAY = 1.8  # seconds for each call; discovery's own time-out is 2 s
TOLD, GRACE = (
    6.0,
    0.5,
)  # seconds until a change counts as told; `rules.drain-grace-ns` of the settings
CLIENTS, BEFORE, SECONDS, REMAINING = 4, 6.0, 30.0, 2.0


async def case(lab):
    """Returns whether the draining node got nothing new after the grace."""
    await lab.make_nodes(3)
    discovery = laboratory.Discovery(lab, lab.nodes)
    await discovery.start()
    discovery.delay = DELAY if lab.trouble else 0.0
    broker = lab.make_broker(discovery.port, discovery.snapshot())
    await broker.start()
    end = time.monotonic() + SECONDS

    async def usual(number):
        client = laboratory.Client(lab, broker.port)
        await asyncio.sleep(number * 0.1)
        while time.monotonic() < end:
            await client.ask("history", REMAINING)
            await asyncio.sleep(0.4)

    tasks = [asyncio.create_task(usual(number)) for number in range(CLIENTS)]
    await asyncio.sleep(BEFORE)
    node, at = lab.nodes[0], lab.record.now()
    node.state = "leaving"
    discovery.change(node.entry())
    await asyncio.gather(*tasks)
    limit = at + TOLD + GRACE + laboratory.SLACK
    late = [run for run in node.runs if run.at > limit]
    for run in late:
        lab.record(f"DRAIN {run.part}: sent to {node.name} {run.at - at:.2f} s after its drain")
    last = f"{node.runs[-1].at - at:.2f} s" if node.runs else "never"
    lab.record.say(
        f"{node.name} began to drain at {at:.2f}; {len(discovery.calls)} calls to discovery; {len(late)} parts"
        f" sent to it more than {limit - at:.2f} s later, the last one {last} after the drain"
    )
    return not late


laboratory.main(HERE, case)
