"""A broker process stays below its memory limit and answers usual clients, whatever other clients send."""

from __future__ import annotations

import gc
import time
import weakref
from dataclasses import replace
from pathlib import Path

import orjson
import pytest

from stepknot.platform.config import parse_config
from stepknot.platform.service import Service
from tests.broker.scripted import Client
from tests.platform.hostile_clients import (
    FULL_SPEED,
    STOPPING,
    Crowd,
    HostileCrowd,
    seconds_left,
)
from tests.platform.test_discovery import config_of
from tests.platform.test_service import Process, started
from tests.platform.world import free_port, profile, request

pytestmark = pytest.mark.measures_time

LIMITS = {"cores": 1.0, "memory_mb": 32, "sockets": 1024}  # the least memory of the platform's page
CROWD = 600
CROWD_SECONDS = 4.0
FULL_SPEED_SECONDS = 6.0
CLIENT_TIME = 1.5  # seconds that a usual client waits
ANSWER_GRACE = 0.5  # seconds after its time in which a late answer is not lost


class Rows(list[dict[str, object]]):
    """Rows of an endpoint list that a weak reference can follow."""


def test_cached_list_is_not_kept_once_it_is_applied() -> None:
    """Its decoded rows took megabytes of a large fleet's broker for the life of the process."""
    rows = Rows([{"id": "s-0", "addr": "127.0.0.1:1", "cell": 0, "state": "active"}])
    followed = weakref.ref(rows)
    given = config_of(profile()) | {"listen": f"127.0.0.1:{free_port()}"}
    config = parse_config(orjson.dumps(given), "test")
    cached = {"version": 1, "full": True, "servers": rows}
    service = Service(replace(config, cached_list=cached), lambda *_, **__: None, lambda: config)
    service.server.close()
    del rows, cached
    gc.collect()
    assert "s-0" in service.nodes.pool.nodes and followed() is None


def peak_megabytes(process: Process) -> float:
    """The most memory that the process had resident so far."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


class UsualClient:
    """Sends one small request after the other and keeps its connection; counts answers by status."""

    def __init__(self, process: Process) -> None:
        self.process = process
        self.client: Client | None = None
        self.statuses: list[int] = []
        self.slowest = 0.0

    def ask(self) -> None:
        """One request; a connection that the broker ended before it read anything is replaced once."""
        number = len(self.statuses)
        for _ in range(2):
            is_new = self.client is None
            client = self.client = self.client or self.process.client()
            client.sock.settimeout(CLIENT_TIME + ANSWER_GRACE)
            begun = time.monotonic()
            try:
                client.sock.sendall(
                    request("list", (0,), x_txn=f"u{number}", x_remaining=f"{CLIENT_TIME * 1e3}m")
                )
                answer = client.read()
            except (ConnectionError, EOFError):
                client.sock.close()
                self.client = None
                assert not is_new and not client.data, "a request got no answer"
                continue
            self.slowest = max(self.slowest, time.monotonic() - begun)
            self.statuses.append(answer.status)
            if answer.headers.get("connection") == "close":
                client.sock.close()
                self.client = None
            return
        raise AssertionError("a request got no answer on two connections")

    def ask_for(self, seconds: float) -> None:
        for _ in seconds_left(seconds):
            self.ask()
            time.sleep(0.01)


def check_limit_and_answers(process: Process, usual: UsualClient) -> None:
    assert process.process.poll() is None
    assert peak_megabytes(process) < LIMITS["memory_mb"]
    assert set(usual.statuses) <= {200, 503}
    assert usual.statuses.count(200) > len(usual.statuses) / 2
    assert usual.slowest < CLIENT_TIME + ANSWER_GRACE


@pytest.mark.parametrize("name", STOPPING)
def test_hundreds_of_clients_stay_within_the_memory_limit(tmp_path: Path, name: str) -> None:
    """The sum of what connections held was not bounded: the process was killed for its memory."""
    with started(tmp_path, limits=LIMITS) as process:
        usual = UsualClient(process)
        usual.ask()
        with HostileCrowd(process.listen, Crowd(name, CROWD)):
            usual.ask_for(CROWD_SECONDS)
        check_limit_and_answers(process, usual)


@pytest.mark.parametrize("name", FULL_SPEED)
def test_one_client_at_full_speed_stays_within_the_memory_limit(tmp_path: Path, name: str) -> None:
    """What a rejected request held was not freed: memory grew for as long as one client went on."""
    with started(tmp_path, limits=LIMITS) as process:
        usual = UsualClient(process)
        usual.ask()
        with HostileCrowd(process.listen, Crowd(name, 1, again=True)):
            usual.ask_for(FULL_SPEED_SECONDS)
        check_limit_and_answers(process, usual)


@pytest.mark.parametrize("name", ["half a body", "chunks of two bytes"])
def test_slow_writers_stay_within_the_memory_limit(tmp_path: Path, name: str) -> None:
    """Hundreds of clients write some bytes at a time, and one request after the other."""
    with started(tmp_path, limits=LIMITS) as process:
        usual = UsualClient(process)
        usual.ask()
        crowd = Crowd(name, CROWD // 2, again=True, write_bytes=700, pause=0.02)
        with HostileCrowd(process.listen, crowd):
            usual.ask_for(CROWD_SECONDS)
        check_limit_and_answers(process, usual)
