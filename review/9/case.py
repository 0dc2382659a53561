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

CLASS, AIM, DEADLINE = "term-report", 3.0, 6.0  # seconds; DEADLINE is also the client's time
WORK = 0.04  # seconds of a part at a node
LISTED = 3200  # nodes: the most that the pages name
REPLICAS = 3  # of each shard; there are as many shards as nodes
REPLACED = (
    0.6  # of the nodes; two of three neighbours at most, so that each shard keeps a node that stays
)
WATCHED = 7.0  # seconds after the change for which clients go on
GRACE = 0.25 + 0.05  # seconds of `drain-grace-ns`, and the slack of the sockets
CLIENTS = 60
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
        first = (place * 271 + number * 37) % LISTED
        shards = [(first + step) % LISTED for step in range(3)]
        client.send(CLASS, f"c{place}-{number}", shards, DEADLINE)
        if client.read(DEADLINE + 1.0) is None:
            client = broker.client(f"client{place}")
        number += 1
        time.sleep(0.02)


def case(lab: Lab) -> list[str]:
    """Returns what broke the rule."""
    staying, arriving = Node(lab.record, "staying", 0, work), Node(lab.record, "arriving", 0, work)
    leaving = Node(lab.record, "leaving", 0, work)
    chosen = [number for number in range(LISTED) if number % REPLICAS < REPLICAS - 1]
    chosen = chosen[: int(LISTED * REPLACED)]
    if not lab.has_trouble:
        del chosen[1:]  # one node: an ordinary release
    replaced = set(chosen)
    rows = [
        (leaving if number in replaced else staying).row(id=f"s-{number:08x}", cell=number)
        for number in range(LISTED)
    ]
    discovery = LineDiscovery(lab.record, rows)
    settings = make_settings(
        [lane(CLASS, AIM, DEADLINE)],
        cells=LISTED,
        span=REPLICAS,
        brokers=3,
        rules={"drain-grace-ns": 250_000_000},
        allowed={"max-attempts": 4},
    )
    broker = Broker(lab, settings, discovery)
    broker.start()
    end = lab.record.now() + 2.0 + WATCHED
    threads = [
        threading.Thread(target=go_on, args=(lab, broker, place, end)) for place in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    changes = []
    for number in chosen:
        started = {"id": f"n-{number:08x}", "started_ms": int(time.time() * 1000)}
        changes.append(arriving.row(**started, cell=number))
        changes.append(rows[number] | {"state": "leaving"})
    told = discovery.replace(changes)
    for thread in threads:
        thread.join()
    late = [part.at - told for part in leaving.parts if part.at > told + GRACE]
    if not late:
        return []
    return [
        f"{len(late)} parts began at leaving nodes more than {GRACE:.2f} s after the line that says so of the "
        f"last of them was written, the last one {max(late):.2f} s after it"
    ]


if __name__ == "__main__":
    run_case(case, __file__)
