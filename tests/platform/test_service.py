"""The broker as a process on the platform: start, ready, signals, end."""

from __future__ import annotations

import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from stepknot.net.rejections import LATE_REQUEST_GRACE
from stepknot.platform.discovery import MAX_PROPAGATION_DELAY
from stepknot.platform.service import (
    ACCEPT_AFTER_STOP,
    CLOSE_TIMEOUT_AT_STOP,
    WRITE_TIMEOUT_AT_STOP,
)
from tests.broker.scripted import WAIT, Answer, Client, until, wait_for
from tests.platform.world import Call, Discovery, Node, free_port, profile, request, row

EARLIEST_KILL = 3.0 + 0.7  # seconds after SIGTERM, where deadlines are longer
HEAVY = (
    "click",
    "structlog",
    "prometheus_client",
    "graphql",
    "hcl2",
    "asyncio",
    "msgspec",
    "stepknot.zones.failover",
)


class Process:
    """A broker as `run` starts it, with two nodes and discovery, which it may share with others. `changes`: of what it
    is told.
    """

    def __init__(
        self,
        folder: Path,
        shared: Process | None = None,
        name: str = "n0",
        port: int = 0,
        **changes: Any,
    ) -> None:
        self.nodes = shared.nodes if shared else [Node(), Node()]
        rows = [row(node, number) for number, node in enumerate(self.nodes)]
        self.discovery = shared.discovery if shared else Discovery(rows)
        self.listen = ("127.0.0.1", port or free_port())
        self.file = folder / f"{name}.json"
        self.given: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.listen[1]}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "known": {"version": 3, "full": True, "servers": rows},
            "settings": profile(),
        } | changes
        self.write()
        self.start()

    def start(self, cores: set[int] | None = None) -> None:
        self.started = time.monotonic()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "stepknot.platform"],
            stderr=subprocess.DEVNULL,
            env=os.environ | {"LB_CONFIG": str(self.file)},
        )
        if cores:
            os.sched_setaffinity(self.process.pid, cores)
        else:
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
def started(folder: Path, **changes: Any) -> Iterator[Process]:
    found = Process(folder, **changes)
    try:
        yield found
    finally:
        if found.process.poll() is None:
            found.process.kill()
        found.process.communicate()
        for each in (*found.nodes, found.discovery):
            each.close()


def test_sigterm_serves_new_requests_finishes_those_in_flight_and_exits_with_0(
    tmp_path: Path,
) -> None:
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
    return subprocess.run(
        [sys.executable, "-m", "stepknot.platform", *arguments],
        capture_output=True,
        text=True,
        timeout=WAIT,
        env={**os.environ, "LB_CONFIG": "", **environment},
    )


def test_error_at_the_start_is_one_line_that_names_it(tmp_path: Path) -> None:
    file = tmp_path / "config.json"
    settings = profile()
    del settings["allowed"]["open-cap"]
    taken = socket.create_server(("127.0.0.1", 0))
    good = {
        "name": "n0",
        "listen": f"127.0.0.1:{taken.getsockname()[1]}",
        "discovery": "127.0.0.1:1",
        "seed": "8c",
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
        "known": {},
        "settings": profile(),
    }
    for content, expected in (
        (b"{", "not JSON"),
        (orjson.dumps(good | {"settings": settings}), "'open-cap' is missing"),
        (orjson.dumps(good | {"seed": "x"}), "wrong kind"),
        (orjson.dumps(good | {"discovery": "x"}), "discovery: expected HOST:PORT"),
        (orjson.dumps(good), "in use"),
    ):
        file.write_bytes(content)
        ended = start({"LB_CONFIG": str(file)})
        assert (
            ended.returncode == 2 and expected in ended.stderr and ended.stderr.count("\n") == 1
        ), ended.stderr
    taken.close()
    assert "LB_CONFIG" in start({}).stderr
    assert start({}, "--help").returncode == 0 and "SIGTERM" in start({}, "--help").stdout
    assert start({}, "--odd").returncode == 2


def test_command_line_starts_the_platforms_broker() -> None:
    ended = subprocess.run(
        [sys.executable, "-m", "stepknot", "platform"],
        capture_output=True,
        text=True,
        timeout=WAIT,
        env={**os.environ, "LB_CONFIG": ""},
    )
    assert ended.returncode == 2 and "LB_CONFIG" in ended.stderr


@pytest.mark.parametrize("name", HEAVY)
def test_run_does_not_import_large_packages(name: str) -> None:
    code = f"import sys, stepknot.platform.service, stepknot.platform.__main__; sys.exit({name!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0


def test_log_is_bounded_in_rate() -> None:
    code = (
        "import os\nfrom stepknot.platform.log import make_log\nlog = make_log({}, lambda: 5.0)\n"
        "for number in range(1000):\n    log('node_protocol_violated', number=number)\n    log('call_sent')"
    )
    lines = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    ).stderr.splitlines()
    assert len(lines) == 20


def test_no_client_delays_the_exit(tmp_path: Path) -> None:
    """One that rests, one in the midst of its request, one that hardly reads its answers: each was waited for."""
    with started(tmp_path) as found:
        found.nodes[0].script = lambda call: call.answer("x" * 60_000)
        resting, half, deaf = found.client(), found.client(), found.client()
        assert found.ask(resting).status == 200
        half.sock.sendall(request("list", (0,), x_txn="half")[:-1])
        deaf.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        taken = found.nodes[0].calls
        blocked = False  # no more of its answers fit anywhere: the next step of the writing takes too long
        while not blocked:  # one by one: too many bytes behind a request end the connection
            count = len(taken)
            assert count < 1000
            deaf.sock.sendall(request("list", (0,), x_txn=f"d{count}"))
            blocked = not wait_for(lambda count=count: len(taken) > count, 0.5)
        assert len(taken) > 3
        begun = time.monotonic()
        found.process.send_signal(signal.SIGTERM)
        assert found.process.wait(WAIT) == 0
        assert (
            time.monotonic() - begun
            < ACCEPT_AFTER_STOP + WRITE_TIMEOUT_AT_STOP + CLOSE_TIMEOUT_AT_STOP + 0.8
        )  # nothing was in work
        assert half.rest() == b"" or b" 503 " in half.data or b" 408 " in half.data


def test_request_completed_late_in_the_shutdown_is_rejected_at_once(tmp_path: Path) -> None:
    """The last byte of a request comes after the time for which the front still sends: it was taken up, and cut off by
    the kill.
    """
    with started(tmp_path) as found:
        found.nodes[0].script = lambda call: None
        held, late = found.client(), found.client()
        held.sock.sendall(request("list", (0,), x_txn="held"))
        whole = request("list", (1,), x_txn="late")
        late.sock.sendall(whole[:-1])
        until(lambda: found.nodes[0].calls)
        found.process.send_signal(signal.SIGTERM)
        until(lambda: refused(found.listen))
        time.sleep(LATE_REQUEST_GRACE + 0.1)  # the time itself is what is tested
        late.sock.sendall(whole[-1:])
        assert late.read().status == 503 and not found.nodes[1].calls
        found.nodes[0].calls[0].answer()
        assert held.read().status == 200 and found.process.wait(WAIT) == 0


def test_request_at_the_end_of_the_shutdowns_grace_is_waited_for(tmp_path: Path) -> None:
    """Queries were waited for once: a request that came just after that was forwarded and its connection closed."""
    with started(tmp_path) as found:
        found.nodes[0].script = lambda call: threading.Timer(1.5, call.answer).start()
        found.process.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        time.sleep(ACCEPT_AFTER_STOP / 2)
        late = found.client()
        time.sleep(begun + ACCEPT_AFTER_STOP + LATE_REQUEST_GRACE / 2 - time.monotonic())
        late.sock.sendall(request("list", (0,), x_remaining="1900m"))
        assert late.read().status == 200 and found.process.wait(WAIT) == 0


def test_request_at_a_hanging_node_gets_its_answer_before_the_kill(tmp_path: Path) -> None:
    """Deadlines over 3 s were waited for to their end, and the process may be killed before."""
    settings = profile()
    for each in settings["lanes"]:
        each["deadline-ns"] = 6e9
    with started(tmp_path, settings=settings) as found:
        for node in found.nodes:
            node.script = lambda call: None
        client = found.client()
        client.sock.sendall(request("list", (0,), x_remaining="5900m"))
        until(lambda: any(node.calls for node in found.nodes))
        found.process.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        assert client.read().status == 503
        assert time.monotonic() - begun < EARLIEST_KILL


def refused(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, timeout=WAIT).close()
        return False
    except OSError:
        return True


@pytest.mark.parametrize("number", ["SIGHUP", "SIGTERM"])
def test_signal_before_the_loop_handles_it_waits(tmp_path: Path, number: str) -> None:
    """The listener is there by then, and the kernel takes connections: ended there, the process would lose them."""
    code = (
        "import os, signal, sys\nfrom stepknot.platform import __main__, service\n"
        "live = service.Service.run_loop\n"
        f"def late(self, reload):\n    os.kill(os.getpid(), signal.{number})\n    live(self, reload)\n"
        "service.Service.run_loop = late\nsys.exit(__main__.main([]))"
    )
    found = Process.__new__(Process)
    file = tmp_path / "config.json"
    port = free_port()
    file.write_bytes(
        orjson.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:1",
                "seed": "8c",
                "known": "garbage",
                "limits": {"cores": 1, "memory_mb": 64, "sockets": 256},
                "settings": profile(),
            }
        )
    )
    found.listen, found.process = (
        ("127.0.0.1", port),
        subprocess.Popen(
            [sys.executable, "-c", code],
            stderr=subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(file)},
        ),
    )
    if number == "SIGHUP":
        until(found.ready)
        found.process.send_signal(signal.SIGTERM)
    _, told = found.process.communicate(timeout=WAIT)
    assert found.process.returncode == 0
    assert (b'"event":"config_reloaded"' in told) == (
        number == "SIGHUP"
    ) and b'"event":"cached_list_rejected"' in told


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_signals_in_series_do_not_change_the_exit_code(tmp_path: Path, number: int) -> None:
    """The interpreter restores the default actions before it ends: one more signal killed the process."""
    with started(tmp_path) as found:
        found.process.send_signal(signal.SIGTERM)
        while found.process.poll() is None:
            found.process.send_signal(number)
            time.sleep(0.001)  # far less than the interpreter takes to end
        assert found.process.returncode == 0


def test_nine_of_ten_processes_on_one_core_are_ready_in_time(tmp_path: Path) -> None:
    """Started together on one core, with discovery down and lists as last had that are empty, old or malformed."""
    with started(tmp_path) as first:
        first.discovery.mood = "silent"
        others = []
        for number in range(10):
            known = [
                None,
                {},
                "garbage",
                {"version": 1, "full": True, "servers": [{"id": 7}]},
                first.given["known"],
            ][number % 5]
            other = Process.__new__(Process)
            other.nodes, other.discovery = first.nodes, first.discovery
            other.listen, other.file = ("127.0.0.1", free_port()), tmp_path / f"n{number + 1}.json"
            other.given = first.given | {"known": known, "listen": f"127.0.0.1:{other.listen[1]}"}
            if number % 2:
                other.given["discovery"] = f"127.0.0.1:{free_port()}"  # nobody is there
            other.write()
            others.append(other)
        core = {min(os.sched_getaffinity(0))}
        for other in others:
            other.start(core)
        took = []
        for other in others:
            until(other.ready)
            took.append(time.monotonic() - other.started)
        for other in others:
            other.process.kill()
            other.process.wait(WAIT)
        assert sorted(took)[8] < 10.0, took


def test_idle_clients_at_the_descriptor_limit_do_not_keep_discovery_and_clients_out(
    tmp_path: Path,
) -> None:
    with started(tmp_path, limits={"cores": 1.0, "memory_mb": 64, "sockets": 64}) as found:
        resource.prlimit(found.process.pid, resource.RLIMIT_NOFILE, (64, 64))
        until(lambda: found.discovery.asked)
        port = found.discovery.port
        found.discovery.close()  # and every watch with it
        crowd = []
        for number in range(120):
            sock = socket.create_connection(found.listen, timeout=WAIT)
            if number % 2:
                sock.sendall(request("list", (0,), x_txn=f"c{number}"))
            crowd.append(sock)
        back = Discovery(
            [row(node, number) for number, node in enumerate(found.nodes)], version=40, port=port
        )
        begun = time.monotonic()
        until(lambda: back.asked)
        assert time.monotonic() - begun < MAX_PROPAGATION_DELAY
        back.change(row(found.nodes[0], 0, "leaving"))
        until(
            lambda: found.ask(x_txn=f"n{time.monotonic_ns()}").status == 503
        )  # it heard of the drain
        client = found.client()
        client.sock.sendall(request("list", (1,), x_txn="after"))
        assert client.read().status == 200
        for sock in crowd:
            sock.close()
        back.close()
