"""The broker as a process on the platform: start, ready, signals, end."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from tests.broker.scripted import WAIT, Answer, Client, until
from tests.platform.world import Call, Discovery, Node, free_port, profile, request, row

HEAVY = ("click", "structlog", "prometheus_client", "graphql", "hcl2", "asyncio")


class Process:
    """A broker as `run` starts it, with one node and discovery."""

    def __init__(self, folder: Path) -> None:
        self.nodes = [Node(), Node()]
        rows = [row(node, number) for number, node in enumerate(self.nodes)]
        self.discovery = Discovery(rows)
        self.listen = ("127.0.0.1", free_port())
        self.file = folder / "config.json"
        self.given: dict[str, Any] = {
            "name": "n0", "listen": f"127.0.0.1:{self.listen[1]}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 3, "full": True, "servers": rows}, "settings": profile()}
        self.write()
        self.process = subprocess.Popen([sys.executable, "-m", "stepknot.platform"], stderr=subprocess.PIPE,
                                        env=os.environ | {"LB_CONFIG": str(self.file)})
        until(self.ready)

    def write(self) -> None:
        self.file.write_bytes(orjson.dumps(self.given))

    def ready(self) -> bool:
        try:
            with socket.create_connection(self.listen, timeout=WAIT) as sock:
                return Client(sock)("GET", "/healthz").status == 200
        except OSError:
            assert self.process.poll() is None, self.process.communicate()
            return False

    def client(self) -> Client:
        return Client(socket.create_connection(self.listen, timeout=WAIT))

    def ask(self, client: Client | None = None, **changes: Any) -> Answer:
        client = client or self.client()
        client.sock.sendall(request("list", (0,), **changes))
        return client.read()


@contextmanager
def started(folder: Path) -> Iterator[Process]:
    found = Process(folder)
    try:
        yield found
    finally:
        if found.process.poll() is None:
            found.process.kill()
        found.process.communicate()
        for each in (*found.nodes, found.discovery):
            each.close()


def test_sigterm_serves_what_still_comes_finishes_what_is_in_work_and_exits_with_0(tmp_path: Path) -> None:
    with started(tmp_path) as found:
        idle = found.client()
        assert found.ask(idle).status == 200
        found.nodes[0].script = lambda call: None
        held = found.client()
        held.sock.sendall(request("list", (0,), x_txn="held"))
        until(lambda: len(found.nodes[0].calls) == 2)
        found.process.send_signal(signal.SIGTERM)
        found.process.send_signal(signal.SIGTERM)  # a second one changes nothing
        found.process.send_signal(signal.SIGHUP)
        found.nodes[0].script = Call.answer
        late = found.ask(x_txn="late")  # a new connection, as the front still sends them
        assert late.status == 200
        until(lambda: found.ask(x_txn="later").headers.get("connection") == "close")
        assert idle.rest() == b""  # ended within the time for which connections come
        assert found.process.poll() is None
        found.nodes[0].calls[1].answer()
        assert held.read().headers["connection"] == "close"
        assert found.process.wait(WAIT) == 0


def test_sighup_follows_discovery_to_its_new_address_and_ends_nothing(tmp_path: Path) -> None:
    with started(tmp_path) as found:
        until(lambda: found.discovery.asked)
        other = Discovery(found.discovery.rows, version=30)
        found.given["discovery"] = f"127.0.0.1:{other.port}"
        found.write()
        found.process.send_signal(signal.SIGHUP)
        until(lambda: other.asked)
        found.file.write_bytes(b"{")
        found.process.send_signal(signal.SIGHUP)
        assert found.ask().status == 200 and found.process.poll() is None
        other.close()


def start(environment: dict[str, str], *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", "stepknot.platform", *arguments], capture_output=True, text=True,
                          timeout=WAIT, env={**os.environ, "LB_CONFIG": "", **environment})


def test_what_is_wrong_at_the_start_is_one_line_that_names_it(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    settings = profile()
    del settings["allowed"]["open-cap"]
    taken = socket.create_server(("127.0.0.1", 0))
    good = {"name": "n0", "listen": f"127.0.0.1:{taken.getsockname()[1]}", "discovery": "127.0.0.1:1", "seed": "8c",
            "limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "known": {}, "settings": profile()}
    for content, expected in ((b"{", "not JSON"),
                              (orjson.dumps(good | {"settings": settings}), "'open-cap' is missing"),
                              (orjson.dumps(good | {"seed": "x"}), "wrong kind"),
                              (orjson.dumps(good | {"discovery": "x"}), "discovery: expected HOST:PORT"),
                              (orjson.dumps(good), "in use")):
        file.write_bytes(content)
        ended = start({"LB_CONFIG": str(file)})
        assert ended.returncode == 2 and expected in ended.stderr and ended.stderr.count("\n") == 1, ended.stderr
    taken.close()
    assert "LB_CONFIG" in start({}).stderr
    assert start({}, "--help").returncode == 0 and "SIGTERM" in start({}, "--help").stdout
    assert start({}, "--odd").returncode == 2


def test_the_command_line_starts_it_too() -> None:
    ended = subprocess.run([sys.executable, "-m", "stepknot", "platform"], capture_output=True, text=True, timeout=WAIT,
                           env={**os.environ, "LB_CONFIG": ""})
    assert ended.returncode == 2 and "LB_CONFIG" in ended.stderr


@pytest.mark.parametrize("name", HEAVY)
def test_run_imports_nothing_that_it_has_no_room_for(name: str) -> None:
    code = f"import sys, stepknot.platform.service, stepknot.platform.__main__; sys.exit({name!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_the_log_is_bounded_in_rate() -> None:
    code = ("import os\nfrom stepknot.platform.log import make_log\nlog = make_log({}, lambda: 5.0)\n"
            "for number in range(1000):\n    log('node_spoilt', number=number)\n    log('call_sent')")
    lines = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True).stderr.splitlines()
    assert len(lines) == 20
