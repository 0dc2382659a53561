"""Usual clients ask while a few bad clients send heads that never end."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import lab as laboratory

HERE = Path(__file__).resolve().parent

USUAL, BAD = 8, 12  # clients
REMAINING = 2.0  # seconds that a usual client waits for its answer
QUIET, SECONDS, BAD_SECONDS = 3.0, 18.0, 10.0


async def case(lab):
    """Returns whether every usual request got its final answer."""
    await lab.make_nodes(3)
    discovery = laboratory.Discovery(lab, lab.nodes)
    await discovery.start()
    broker = lab.make_broker(discovery.port, discovery.snapshot())
    await broker.start()
    end = time.monotonic() + SECONDS

    async def usual(number):
        client = laboratory.Client(lab, broker.port)
        await asyncio.sleep(number * 0.05)
        while time.monotonic() < end:
            await client.ask("history", REMAINING)
            await asyncio.sleep(0.4)

    tasks = [asyncio.create_task(usual(number)) for number in range(USUAL)]
    await asyncio.sleep(QUIET)
    output = lab.temporary / "bad"
    if lab.trouble:
        command = [sys.executable, "-B", str(HERE / "bad_clients.py")]
        command += [str(broker.port), str(BAD), str(BAD_SECONDS)]
        lab.processes.append(subprocess.Popen(command, stdout=output.open("w")))
        lab.record("bad clients", f"{BAD} begin to send")
    await asyncio.gather(*tasks)
    if output.exists():
        for line in output.read_text().splitlines():
            lab.record.say(line)
    limit = broker.config["limits"]["memory_mb"]
    lab.record.say(f"broker: {broker.peak() // 1024} MB at most, of {limit} MB")
    lost = lab.lost()
    for asked in lost:
        took = f"{asked.ended_at - asked.sent_at:.2f} s" if asked.ended_at else "never"
        lab.record(
            f"LOST {asked.txn}: sent at {asked.sent_at:.2f}, {asked.how} {asked.status}, {took}"
        )
    answers = [a.ended_at - a.sent_at for a in lab.asked if a.ended_at]
    lab.record.say(
        f"{len(lab.asked)} usual requests, {len(lost)} lost; slowest answer {max(answers):.2f} s"
    )
    return not lost


laboratory.main(HERE, case)
