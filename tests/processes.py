"""Several brokers as processes, told from outside: stopped, killed, started again, asked for what they know."""

from __future__ import annotations

import http.client
import os
import signal
import time
from collections.abc import Callable
from typing import Any

import orjson

from stepknot.cli.admin_client import query_admin
from stepknot.simulation.fleet import Broker, Fleet
from stepknot.simulation.links import Links

SLOW = 30.0  # seconds for what takes a few, on a machine with much else to do


class Brokers:
    """The fleet as the tests see it. Queries run while they wait, and each gets an answer."""

    def __init__(self, fleet: Fleet, links: Links) -> None:
        self.fleet, self.links = fleet, links
        self.names = [each.name for each in fleet.brokers]
        self.asked = 0
        self.stopped: set[str] = set()

    def __getitem__(self, name: str) -> Broker:
        return next(each for each in self.fleet.brokers if each.name == name)

    def view(self, name: str) -> dict[str, Any]:
        return query_admin(("127.0.0.1", self[name].admin), "/peers")

    def alive(self, name: str) -> set[str]:
        return {row["name"] for row in self.view(name)["members"] if row["state"] == "alive"}

    def out(self, gone: set[str]) -> bool:
        """Whether all others hold exactly these to be dead."""
        return all(
            {row["name"] for row in self.view(name)["members"] if row["state"] == "dead"} == gone
            for name in self.names
            if name not in gone | self.stopped
        )

    def query(self) -> None:
        """One of those that run answers a search, whatever became of the others."""
        running = self.running()
        if not running:
            return
        broker = self[running[self.asked % len(running)]]
        self.asked += 1
        connection = http.client.HTTPConnection("127.0.0.1", broker.port, timeout=5)
        try:
            connection.request(
                "POST",
                "/reports/_search",
                orjson.dumps({"size": 1}),
                {"content-type": "application/json"},
            )
            response = connection.getresponse()
            response.read()
            assert response.status in (200, 429, 503), response.status
        finally:
            connection.close()

    def until(self, what: Callable[[], bool], within: float = SLOW) -> None:
        end = time.monotonic() + within
        while not what():
            assert time.monotonic() < end, self.story()
            self.query()
            time.sleep(0.05)

    def story(self) -> dict[str, Any]:
        return {
            name: (self.alive(name), self.view(name)["isolated_why"]) for name in self.running()
        }

    def running(self) -> list[str]:
        return [name for name in self.names if name not in self.stopped]

    def watch(self, seconds: float) -> None:
        """Let it go on for so long: to see that something does not happen, there is nothing to wait for."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.query()
            time.sleep(0.05)

    def agreed(self) -> bool:
        views = [self.view(name) for name in self.names]
        return len({view["digest"] for view in views}) == 1 and all(
            view["live"] == len(self.names) and view["sure"] for view in views
        )

    def agree(self) -> None:
        self.until(self.agreed)

    def logged(self, name: str, mark: bytes = b'"member_state_changed"') -> list[dict[str, Any]]:
        text = (self.fleet.folder / f"broker-{self[name].number}.log").read_bytes()
        return [orjson.loads(line) for line in text.splitlines() if mark in line]

    def dead(self, since: dict[str, int]) -> set[str]:
        """Who was held dead by anybody since then."""
        return {
            row["member"]
            for name in self.names
            for row in self.logged(name)[since[name] :]
            if row["event"] == "member_state_changed" and row["new_state"] == "dead"
        }

    def mark(self) -> dict[str, int]:
        return {name: len(self.logged(name)) for name in self.names}

    def stop(self, *names: str) -> None:
        for name in names:
            process = self[name].process
            assert process is not None
            os.kill(process.pid, signal.SIGSTOP)
        self.stopped |= set(names)

    def go_on(self, *names: str) -> None:
        for name in names:
            process = self[name].process
            assert process is not None
            os.kill(process.pid, signal.SIGCONT)
        self.stopped -= set(names)

    def end(self, *names: str, by: int = signal.SIGKILL) -> None:
        self.stopped |= set(names)
        for name in names:
            process = self[name].process
            assert process is not None
            process.send_signal(by)
        for name in names:
            process = self[name].process
            assert process is not None
            process.wait(20)

    def start(self, *names: str) -> None:
        for name in names:
            self.fleet.start_broker(self[name])
        for name in names:
            self.fleet.broker_ready(self[name])
        self.stopped -= set(names)
