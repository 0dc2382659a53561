"""Several brokers as processes, with faults between them while clients ask: nothing that was taken goes unanswered."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from tests.broker.scripted import WAIT, Client
from tests.platform.test_service import Process
from tests.platform.world import Call, request

BROKERS, CLIENTS = 3, 8


class Crowd:
    """Clients that go on until they are told to stop, each on one connection at a time. As the platform has it: a
    request that crossed the end of a used connection is sent once more on a new one; a broker that refuses connections
    is left for the next.
    """

    def __init__(self, brokers: list[Process]) -> None:
        self.brokers, self.over = brokers, threading.Event()
        self.killed: set[int] = (
            set()
        )  # numbers of brokers whose requests are the client's to ask again
        self.counts: Counter[str] = Counter()
        self.lost: list[str] = []
        self.threads = [
            threading.Thread(target=self.go_on, args=(number,), daemon=True)
            for number in range(CLIENTS)
        ]
        for thread in self.threads:
            thread.start()

    def go_on(self, number: int) -> None:
        client, at, asked = None, number, 0
        while not self.over.is_set():
            asked += 1
            name = f"c{number}-{asked}"
            for once_more in (False, True):
                fresh = client is None
                if client is None:
                    client, at = self.connect(at)
                try:
                    client.sock.sendall(
                        request(
                            ("list", "move")[asked % 2],
                            (asked % 2,),
                            x_txn=name,
                            x_remaining="1500m",
                        )
                    )
                    reply = client.read()
                except (OSError, EOFError):
                    crossed = not client.data and not fresh and not once_more
                    client.sock.close()
                    client = None
                    if at % BROKERS in self.killed:
                        break
                    if not crossed:
                        self.lost.append(name)
                        break
                else:
                    self.counts[str(reply.status)] += 1
                    if reply.headers.get("connection") == "close":
                        client.sock.close()
                        client, at = None, at + 1
                    break

    def connect(self, at: int) -> tuple[Client, int]:
        end = time.monotonic() + WAIT
        while time.monotonic() < end:
            try:
                return Client(
                    socket.create_connection(self.brokers[at % BROKERS].listen, timeout=WAIT)
                ), at
            except OSError:
                at += 1
        raise AssertionError("no broker takes connections")

    def wait_for(self, more: int) -> None:
        """So many more answers."""
        wanted, end = sum(self.counts.values()) + more, time.monotonic() + WAIT
        while sum(self.counts.values()) < wanted:
            assert time.monotonic() < end and any(each.is_alive() for each in self.threads)
            self.over.wait(0.005)

    def stop(self) -> None:
        self.over.set()
        for thread in self.threads:
            thread.join(WAIT)
            assert not thread.is_alive()


@contextmanager
def fleet(folder: Path) -> Iterator[tuple[list[Process], Crowd]]:
    first = Process(folder)
    brokers = [first, *(Process(folder, first, f"n{number}") for number in range(1, BROKERS))]
    crowd = Crowd(brokers)
    try:
        yield brokers, crowd
    finally:
        crowd.over.set()
        for each in brokers:
            each.process.kill()
            each.process.wait(WAIT)
        for stand_in in (*first.nodes, first.discovery):
            stand_in.close()


def test_rolling_restarts_under_load_lose_no_request(tmp_path: Path) -> None:
    with fleet(tmp_path) as (brokers, crowd):
        for _ in range(2):
            for broker in brokers:
                crowd.wait_for(50)
                broker.process.send_signal(signal.SIGTERM)
                crowd.wait_for(20)
                assert broker.process.wait(WAIT) == 0
                broker.start()
        crowd.wait_for(50)
        crowd.stop()
        assert not crowd.lost and set(crowd.counts) <= {"200", "503"}, (crowd.lost, crowd.counts)
        assert crowd.counts["200"] > 10 * crowd.counts["503"]


def test_restarts_during_faults_of_nodes_and_watches_lose_no_request(
    tmp_path: Path,
) -> None:
    with fleet(tmp_path) as (brokers, crowd):
        nodes, discovery = brokers[0].nodes, brokers[0].discovery
        for place, broker in enumerate(brokers):
            crowd.wait_for(30)
            hung = nodes[place % 2]
            hung.script = lambda call: None  # takes what comes and answers none of it
            broker.process.send_signal(signal.SIGTERM)
            for sock in discovery.watches:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
            assert broker.process.wait(WAIT) == 0  # with requests that no node will answer
            hung.script = Call.answer
            for call in hung.calls[-20:]:
                with suppress(OSError):
                    call.close(reset=True)
            broker.start()
        crowd.wait_for(50)
        crowd.stop()
        assert not crowd.lost and set(crowd.counts) <= {"200", "500", "503"}, (
            crowd.lost,
            crowd.counts,
        )


def test_killed_broker_loses_only_its_own_requests_and_comes_back(tmp_path: Path) -> None:
    with fleet(tmp_path) as (brokers, crowd):
        crowd.wait_for(50)
        crowd.killed.add(1)
        brokers[1].process.kill()
        brokers[1].process.wait(WAIT)
        crowd.wait_for(50)
        brokers[1].start()
        crowd.wait_for(100)
        crowd.stop()
        assert not crowd.lost and crowd.counts["200"] > 150
