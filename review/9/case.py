"""A large fleet replaces six in ten of its nodes within 7 s; discovery tells each change in a line of its own."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from lab2 import Broker, Discovery, Lab, Node, Part, Record, lane, make_settings, run_case

CLASS, AIM, DEADLINE = "history", 1.2, 3.0  # seconds; DEADLINE is also the client's time
WORK = 0.08  # seconds of a part at a node
LISTED = 3200  # nodes: the most that the pages name
CELLS = 50
STEPS, STEP_SECONDS = 1, 7.0  # the nodes are replaced in so many steps
REPLACED = 0.6  # of the nodes, in all steps together
GRACE = 0.5 + 0.05  # seconds of `drain-grace-ns`, and the slack of the sockets
CLIENTS = 16
KEEP_ALIVE = 2.0  # seconds


class LineDiscovery(Discovery):
    """Writes a line for each changed entry."""

    def __init__(self, record: Record, rows: list[dict[str, Any]]) -> None:
        super().__init__(record, rows)
        self.writing = threading.Lock()

    def _follow(self, sock: socket.socket, since: int) -> None:
        with self.writing:
            sock.sendall(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            missed = {row["id"]: row for version, row in self.changes if version > since}
            self.write(sock, [(self.version, list(missed.values()))])
            self.watches.append(sock)
        while not self.is_over:
            time.sleep(KEEP_ALIVE)
            with self.writing:
                sock.sendall(b"1\r\n\n\r\n")

    def write(self, sock: socket.socket, changes: list[tuple[int, list[dict[str, Any]]]]) -> None:
        """Write a line for each version, each in a chunk of its own."""
        data = []
        for version, rows in changes:
            given = {"version": version, "full": False, "servers": rows}
            line = json.dumps(given, separators=(",", ":")).encode() + b"\n"
            data.append(b"%x\r\n%s\r\n" % (len(line), line))
        sock.sendall(b"".join(data))

    def replace(self, rows: list[dict[str, Any]]) -> float:
        """Take changes, and write them to the watch; returns when all of it was written."""
        with self.writing:
            changes = []
            for row in rows:
                self.version += 1
                self.changes.append((self.version, row))
                changes.append((self.version, [row]))
            self.write(self.watches[-1], changes)
        return self.record("discovery", f"has written {len(rows)} changes, a line each")


def work(part: Part) -> None:
    """Answer after the part's work."""
    threading.Timer(WORK, part.answer).start()


def go_on(lab: Lab, broker: Broker, place: int, end: float) -> None:
    """One client, which asks one thing after the other."""
    client, number = broker.client(f"client{place}"), 0
    while lab.record.now() < end:
        shards = [(place * 7 + number * 3 + step) % CELLS for step in range(3)]
        client.send(CLASS, f"c{place}-{number}", shards, DEADLINE)
        if client.read(DEADLINE + 1.0) is None:
            client = broker.client(f"client{place}")
        number += 1
        time.sleep(0.02)


def case(lab: Lab) -> list[str]:
    """Returns what broke the rule."""
    staying, arriving = Node(lab.record, "staying", 0, work), Node(lab.record, "arriving", 0, work)
    leaving = [Node(lab.record, f"leaving{step}", 0, work) for step in range(STEPS)]
    in_step = int(LISTED * REPLACED / STEPS)
    groups = [
        leaving[number // in_step] if number < in_step * STEPS else staying
        for number in range(LISTED)
    ]
    rows = [
        group.row(id=f"s-{number:08x}", cell=number % CELLS) for number, group in enumerate(groups)
    ]
    discovery = LineDiscovery(lab.record, rows)
    settings = make_settings([lane(CLASS, AIM, DEADLINE)], cells=CELLS, span=1, brokers=2)
    broker = Broker(lab, settings, discovery)
    broker.start()
    end = lab.record.now() + 2.0 + STEPS * STEP_SECONDS + 2.0
    threads = [
        threading.Thread(target=go_on, args=(lab, broker, place, end)) for place in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    late: list[tuple[Node, float]] = []
    for step, node in enumerate(leaving):
        count = in_step if lab.has_trouble else 1  # one node in each step is an ordinary release
        changes = []
        for number in range(step * in_step, step * in_step + count):
            started = {"id": f"n-{number:08x}", "started_ms": int(time.time() * 1000)}
            changes.append(arriving.row(**started, cell=number % CELLS))
            changes.append(rows[number] | {"state": "leaving"})
        told = discovery.replace(changes)
        if lab.has_trouble:
            late.append((node, told))
        time.sleep(STEP_SECONDS)
    for thread in threads:
        thread.join()
    broken = []
    for node, told in late:
        after = [part.at - told for part in node.parts if part.at > told + GRACE]
        if after:
            broken.append(
                f"{len(after)} parts began at {node.name} more than {GRACE:.2f} s after the line that says "
                f"so of the last of these nodes was written, the last one {max(after):.2f} s after it"
            )
    return broken


if __name__ == "__main__":
    run_case(case, __file__)
