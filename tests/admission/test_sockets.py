"""Tests of admission with sockets: floods, limits, slow and malformed clients, and the answers that they receive."""

from __future__ import annotations

import hashlib
import os
import resource
import select
import socket
import struct
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import msgspec
import orjson
import pytest

from stepknot.admission.model import TrustLevel
from stepknot.admission.proxy_protocol import SIGNATURE
from stepknot.simulation.fleet import read_ready, settings_text
from stepknot.simulation.ports import reserve_ports
from tests.broker.scripted import WAIT, Call, Client, Running, ScriptedNode, broker, until
from tests.graphql.asking import JSON
from tests.graphql.test_hard_cases import set_limits

KNOWN, KEY = "127.0.9.1", "a-secret"
KEYED = f"authorization: ApiKey {KEY}\r\n"
SEARCH = "/reports/_search"
# Clients of the current test, referenced so that their sockets stay open.
OPEN_CLIENTS: list[list[Client]] = []
COUNT = b"GET /reports/_count HTTP/1.1\r\nhost: x\r\n\r\n"


def admission_block(**changed: Any) -> str:
    values = {
        "per_address": 20,
        "per_v4_24": 10_000,
        "rate": 100_000,
        "listed": '["127.0.9.0/24"]',
        "lane": 16,
        "lane_time": '"500ms"',
        "connections": 60,
    } | changed
    lines = [f"  {name} = {value}" for name, value in values.items()]
    return "\n".join(
        [
            *lines,
            '  key "ops" {',
            f'    sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"',
            "  }",
        ]
    )


@contextmanager
def broker_with_admission(folder: Path, **changed: Any) -> Iterator[Running]:
    with broker(folder, [0, 1], shards=2, admission=admission_block(**changed)) as run:
        yield run


@pytest.fixture
def run(tmp_path: Path) -> Iterator[Running]:
    with broker_with_admission(tmp_path) as running:
        yield running


def connect(port: int, address: str) -> socket.socket:
    return socket.create_connection(("127.0.0.1", port), WAIT, (address, 0))


def client_from(run: Running, address: str) -> Client:
    return Client(connect(run.service.server.port, address))


def fill(run: Running, address: str, count: int) -> list[Client]:
    """Open connections that are idle after one served request each."""
    clients = []
    for _ in range(count):
        clients.append(client_from(run, address))
        assert clients[-1]("GET", "/reports/_count").status == 200
    OPEN_CLIENTS.append(clients)  # without a reference the sockets would be closed
    return clients


@pytest.fixture(autouse=True)
def release_clients() -> Iterator[None]:
    yield
    OPEN_CLIENTS.clear()


def view(run: Running) -> dict[str, Any]:
    found: dict[str, Any] = run.call(lambda: msgspec.to_builtins(run.service.gate.view()))  # type: ignore[union-attr]
    return found


def test_flood_of_5000_connections_is_answered_while_a_known_client_is_served(run: Running) -> None:
    """Each connection of the flood gets a final answer; a known client and an ordinary one are served throughout."""
    statuses: Counter[int] = Counter()
    flood_ended = threading.Event()
    port = run.service.server.port

    def flood() -> None:
        open_sockets = []
        for _ in range(5000):
            sock = connect(port, "127.0.0.66")
            sock.sendall(COUNT)
            client = Client(sock)
            answer = client.read()
            statuses[answer.status] += 1
            if answer.status == 200:
                open_sockets.append(sock)
            else:
                assert answer.headers["retry-after"] and answer.headers["connection"] == "close"
                assert answer.body["error"]["type"] == "rejected_execution_exception"
                assert client.rest() == b""
                sock.close()
        for sock in open_sockets:
            sock.close()
        flood_ended.set()

    thread = threading.Thread(target=flood)
    thread.start()
    served = 0
    while not flood_ended.is_set():
        for address in (KNOWN, "127.0.0.5"):
            assert client_from(run, address)("POST", SEARCH).status == 200
            served += 1
    thread.join(WAIT)
    assert statuses == {200: 20, 429: 4980} and served > 50
    found = view(run)
    assert found["refused"][0]["address"] == "127.0.0.66"
    assert found["decisions"]["refused: connections of the address"] > 4900
    rejections = [fields for event, fields in run.logged if event == "admission_rejected"]
    assert 0 < len(rejections) < 400  # the log events are sampled


def test_flood_that_stops_leaves_no_state(run: Running) -> None:
    for _ in range(3):
        socks = [connect(run.service.server.port, "127.0.0.66") for _ in range(200)]
        for sock in socks:
            sock.close()
    # Wait until all are accepted: connections that are still in the kernel's queue have no slot yet.
    until(lambda: run.call(lambda: run.service.gate.accepted) == 600)  # type: ignore[union-attr]
    until(lambda: view(run)["seats"]["unknown"] == 0 and view(run)["lane"] == 0)
    assert run.call(lambda: len(run.service.gate.admission.connections)) == 0  # type: ignore[union-attr]
    assert run.call(lambda: len(run.service.gate.admission.slots.idle)) == 0  # type: ignore[union-attr]
    assert run.call(lambda: run.service.gate.admission.queries.taken) == 0  # type: ignore[union-attr]
    assert client_from(run, "127.0.0.66")("GET", "/reports/_count").status == 200


def test_connections_opened_and_never_used_are_closed_without_an_answer(run: Running) -> None:
    fill(run, "127.0.0.66", 20)
    unused = [Client(connect(run.service.server.port, "127.0.0.66")) for _ in range(10)]
    for each in unused:
        assert each.rest() == b""
    assert view(run)["silent"]["silent in the lane"] == 10


def test_both_frontends_reject_in_their_own_protocol(run: Running) -> None:
    fill(run, "127.0.0.66", 20)
    assert run.service.graphql_server is not None
    client = Client(connect(run.service.graphql_server.port, "127.0.0.66"))
    answer = client("POST", "/graphql", {"query": "{__typename}"}, JSON)
    assert answer.status == 429 and answer.headers["content-type"].startswith(
        "application/graphql-response+json"
    )
    (error,) = answer.body["errors"]
    assert (
        error["extensions"]["code"] == "REQUEST_RATE_LIMITED"
        and error["extensions"]["retryAfterMs"] > 0
    )
    assert client.rest() == b""
    assert (
        client_from(run, "127.0.0.66")("GET", "/reports/_count").body["error"]["type"]
        == "rejected_execution_exception"
    )


def test_rejection_reaches_a_client_that_is_still_sending(run: Running) -> None:
    fill(run, "127.0.0.66", 20)
    client = client_from(run, "127.0.0.66")
    client.sock.sendall(
        b"POST /reports/_search HTTP/1.1\r\nhost: x\r\ncontent-length: 2000000\r\n\r\n"
    )
    assert client.read().status == 429
    assert view(run)["lane"] == 1  # the connection stays open until the body has been read
    # The broker reads and discards the body: closing with unread data would reset the connection and could lose the
    # answer.
    client.sock.sendall(b"x" * 2_000_000)
    assert client.sock.recv(1) == b""
    until(lambda: view(run)["lane"] == 0)


def test_api_key_admits_where_its_address_is_over_its_limit(run: Running) -> None:
    clients = fill(run, "127.0.0.66", 20)
    client = client_from(run, "127.0.0.66")
    assert client("POST", SEARCH, None, KEYED).status == 200
    assert client("POST", SEARCH, None, KEYED).status == 200
    assert view(run)["seats"]["listed"] == 1
    assert (
        client_from(run, "127.0.0.66")(
            "POST", SEARCH, None, "authorization: ApiKey wrong\r\n"
        ).status
        == 429
    )
    assert clients[0]("GET", "/reports/_count").status == 200


def test_full_slots_evict_the_longest_idle_connection_and_no_query(run: Running) -> None:
    """Three addresses, one with a query in flight, take all of the 48 slots (of 60) that unknown clients may have."""
    release_query = threading.Event()
    heavy = fill(run, "127.0.1.1", 20)
    fill(run, "127.0.1.2", 14)
    fill(run, "127.0.1.3", 14)

    def serve_when_released(call: Call) -> None:
        if not call.probe:
            release_query.wait(WAIT)
        call.serve()

    for box in run.nodes:
        box.script = serve_when_released
    heavy[0].ask("POST", SEARCH)
    until(
        lambda: (
            any(box.work() and box.work()[-1].body.count(b"multi") == 0 for box in run.nodes)
            and view(run)["queries"] == 1
        )
    )
    new_client = client_from(run, "127.0.1.4")
    new_client.ask("GET", "/")
    assert new_client.read().status == 200
    assert heavy[1].rest() == b""  # the longest idle connection without a query in flight
    release_query.set()
    assert heavy[0].read().status == 200
    assert view(run)["silent"]["idle, shed"] == 1


def test_known_clients_have_their_reserve_when_all_other_slots_are_taken(run: Running) -> None:
    unknown = [fill(run, f"127.0.2.{each}", 1) for each in range(1, 49)]
    assert view(run)["seats"]["unknown"] == 48
    assert client_from(run, "127.0.3.1")("GET", "/reports/_count").status == 429
    known = [client_from(run, f"127.0.9.{each}") for each in range(1, 13)]
    assert [each("POST", SEARCH).status for each in known] == [200] * 12
    assert view(run)["seats"] == {"unknown": 48, "conduct": 0, "listed": 12} and len(unknown) == 48
    # Above the reserve a known client evicts an idle unknown one.
    another = client_from(run, "127.0.9.50")
    assert another("POST", SEARCH).status == 200 and view(run)["seats"]["unknown"] == 47


def test_known_client_that_floods_is_limited_as_well(run: Running) -> None:
    statuses = []
    clients = []
    for _ in range(100):
        client = client_from(run, KNOWN)
        statuses.append(client("GET", "/reports/_count").status)
        clients.append(client)
    assert (
        statuses.count(200) == 30 and statuses.count(429) == 70
    )  # of 60 slots it gets as many as remain free
    assert (
        client_from(run, "127.0.3.1")("GET", "/").status == 200
        and client_from(run, "127.0.9.2")("GET", "/").status == 200
    )


def test_thousands_of_pipelined_requests_are_served_one_at_a_time(run: Running) -> None:
    """The requests are served in order, one at a time, and other clients are served at the same time."""
    client = client_from(run, "127.0.0.7")
    statuses: list[int] = []

    def read() -> None:
        for _ in range(2000):
            statuses.append(client.read().status)

    thread = threading.Thread(target=read)
    thread.start()
    client.sock.sendall(COUNT * 2000)
    max_queries = 0
    while thread.is_alive():
        max_queries = max(max_queries, view(run)["queries"])
        assert client_from(run, "127.0.0.8")("POST", SEARCH).status == 200
    assert statuses == [200] * 2000 and max_queries <= 2


def test_answered_request_releases_its_bytes_though_the_next_has_begun(run: Running) -> None:
    client = client_from(run, "127.0.0.7")
    body = b'{"query": {"match_all": {}}}' + b" " * 30_000
    first = b"POST /reports/_count HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    # Each time, the end of one request and the beginning of the next arrive together.
    for _ in range(5):
        client.sock.sendall(first % len(body) + body + b"GET /reports/_count HT")
        assert client.read().status == 200
        until(lambda: view(run)["bytes"] < 100)
        client.sock.sendall(b"TP/1.1\r\nhost: x\r\n\r\n")
        assert client.read().status == 200


@pytest.mark.parametrize(
    "head",
    [
        b"GET /reports/_count HTTP/1.1\r\nhost: x\r\nx-a: ",
        b"POST /reports/_search HTTP/1.1\r\nhost: x\r\ncontent-length: 5000\r\n\r\n",
    ],
    ids=["header", "body"],
)
def test_slow_senders_in_every_slot_are_answered_and_closed(tmp_path: Path, head: bytes) -> None:
    """Single bytes are below the minimum rate: each client gets a 408, and the slots become free again."""
    with broker_with_admission(
        tmp_path, grace='"300ms"', progress=1000, connections=25, reserve=0.0
    ) as run:
        slow = [client_from(run, f"127.0.4.{each % 5 + 1}") for each in range(25)]
        for each in slow:
            each.sock.sendall(head)
        until(
            lambda: (
                run.call(
                    lambda: sum(each.parser.started for each in run.service.server.connections)
                )
                == 25
            )
        )
        # None of them is idle.
        assert client_from(run, "127.0.5.1")("GET", "/reports/_count").status == 429
        stop = threading.Event()

        def drip() -> None:
            while not stop.wait(0.1):
                for each in slow:
                    with suppress(OSError):
                        each.sock.send(b"x")

        thread = threading.Thread(target=drip)
        thread.start()
        try:
            assert {each.read().status for each in slow} == {408}
        finally:
            stop.set()
            thread.join()
        until(lambda: view(run)["seats"]["unknown"] == 0)
        assert client_from(run, "127.0.5.1")("GET", "/reports/_count").status == 200


def test_slow_reader_of_a_large_answer_is_closed(tmp_path: Path) -> None:
    with broker_with_admission(tmp_path, grace='"300ms"', progress=5_000_000) as run:

        def large(call: Call) -> None:
            if call.probe or b'"ids"' not in call.body:
                return call.serve()
            return call.reply(
                {
                    "took": 0,
                    "responses": [
                        {
                            "took": 0,
                            "timed_out": False,
                            "status": 200,
                            "_shards": {"total": 1, "successful": 1, "skipped": 0, "failed": 0},
                            "hits": {
                                "total": {"value": 1, "relation": "eq"},
                                "max_score": 1.0,
                                "hits": [
                                    {
                                        "_index": "reports",
                                        "_id": name,
                                        "_score": 1.0,
                                        "_source": {"name": "n" * 10_000_000},
                                    }
                                    for name in body["query"]["ids"]["values"]
                                ],
                            },
                        }
                        for _, body in call.parts
                    ],
                }
            )

        for box in run.nodes:
            box.script = large
        client = client_from(run, "127.0.0.9")
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.ask("POST", SEARCH)
        until(
            lambda: run.call(
                lambda: any(each.link.unsent for each in run.service.server.connections)
            )
        )
        end = time.monotonic() + WAIT
        while run.call(lambda: len(run.service.server.connections)) and time.monotonic() < end:
            client.sock.recv(2000)  # slowly
            threading.Event().wait(0.02)
        assert run.call(lambda: len(run.service.server.connections)) == 0


def test_limits_lowered_under_present_use_drop_no_connection(run: Running) -> None:
    from dataclasses import replace

    clients = fill(run, "127.0.0.66", 20)
    run.call(
        lambda: setattr(
            run.service.gate.admission.slots,
            "settings",  # type: ignore[union-attr]
            replace(run.service.gate.settings, per_address=5),
        )
    )  # type: ignore[union-attr]
    assert client_from(run, "127.0.0.66")("GET", "/reports/_count").status == 429
    assert [each("GET", "/reports/_count").status for each in clients] == [200] * 20
    for each in clients[:16]:
        each.sock.close()
    until(lambda: view(run)["seats"]["unknown"] == 4)
    assert client_from(run, "127.0.0.66")("GET", "/reports/_count").status == 200


# --- proxies


def proxied(run: Running, header: bytes) -> Client:
    client = client_from(run, "127.0.0.1")
    client.sock.sendall(header)
    return client


@pytest.fixture
def behind_proxy(tmp_path: Path) -> Iterator[Running]:
    """Run a broker behind a trusted proxy that uses the PROXY protocol; all other peers are not trusted."""
    with broker_with_admission(
        tmp_path, trusted='["127.0.0.1/32"]', proxy_protocol="true", per_address=3
    ) as running:
        yield running


def test_limits_go_by_the_address_in_a_trusted_proxys_header(behind_proxy: Running) -> None:
    line = b"PROXY TCP4 203.0.113.7 127.0.0.1 5000 9200\r\n"
    clients = [proxied(behind_proxy, line) for _ in range(5)]
    assert (
        sorted(each("GET", "/reports/_count").status for each in clients) == [200] * 3 + [429] * 2
    )
    block = (
        SIGNATURE
        + bytes([0x21, 0x11])
        + struct.pack(">H", 12)
        + socket.inet_aton("203.0.113.8")
        + bytes(8)
    )
    other = proxied(behind_proxy, block)
    assert other("GET", "/reports/_count").status == 200
    local = SIGNATURE + bytes([0x20, 0, 0, 0])
    assert proxied(behind_proxy, local)("GET", "/reports/_count").status == 200
    connected = {each["address"] for each in view(behind_proxy)["connected"]}
    assert {"203.0.113.7", "203.0.113.8"} <= connected


@pytest.mark.parametrize(
    "header",
    [
        b"PROXY TCP4 999.0.0.1 127.0.0.1 1 2\r\n",
        b"PROXY TCP4 1.2.3.4 127.0.0.1 1\r\n",
        b"PROXY " + b"x" * 200,
        b"GET / HTTP/1.1\r\n\r\n",
        SIGNATURE + bytes([0x31, 0x11, 0, 12]) + bytes(12),
        SIGNATURE + bytes([0x21, 0x11, 0xFF, 0xFF]),
        b"PROXY TCP6 1.2.3.4 ::1 1 2\r\n",
        b"PROXY TCP4 1.2.3.4 5.6.7.8 1 70000\r\n",
    ],
)
def test_malformed_proxy_headers_are_answered_with_400(
    behind_proxy: Running, header: bytes
) -> None:
    assert proxied(behind_proxy, header).read().status == 400
    assert proxied(behind_proxy, b"PROXY UNKNOWN\r\n")("GET", "/reports/_count").status == 200


def test_untrusted_peers_proxy_line_and_forwarded_headers_are_ignored(
    behind_proxy: Running,
) -> None:
    untrusted = client_from(behind_proxy, "127.0.0.77")
    untrusted.sock.sendall(b"PROXY TCP4 203.0.113.7 127.0.0.1 5000 9200\r\n")
    assert untrusted.read().status == 400
    untrusted.sock.close()
    until(lambda: view(behind_proxy)["seats"]["unknown"] == 0)
    clients = [client_from(behind_proxy, "127.0.0.77") for _ in range(4)]
    statuses = [
        each(
            "GET",
            "/reports/_count",
            None,
            f"x-forwarded-for: 10.9.8.{number}\r\nforwarded: for=10.1.1.1\r\n",
        ).status
        for number, each in enumerate(clients)
    ]
    assert sorted(statuses) == [200] * 3 + [429]


def test_budgets_go_by_the_client_in_a_trusted_proxys_header(tmp_path: Path) -> None:
    with broker_with_admission(tmp_path, trusted='["127.0.0.1/32"]') as run:
        run.call(lambda: set_limits(run, rate=0.001, burst=2.0))
        assert run.service.graphql_server is not None
        client = Client(connect(run.service.graphql_server.port, "127.0.0.1"))

        def ask(address: str) -> int:
            return client(
                "POST",
                "/graphql",
                {"query": "{reports(first: 0){totalCount}}"},
                f"{JSON}x-forwarded-for: {address}\r\n",
            ).status

        assert [ask("203.0.113.7"), ask("203.0.113.7"), ask("203.0.113.8")] == [200, 429, 200]


# --- operators


def test_bans_and_allowances_survive_a_restart_and_damage_is_logged(tmp_path: Path) -> None:
    state = {"state": '"admission.state"'}
    with broker_with_admission(tmp_path, **state) as run:
        admin = run.service.admin_routes.handle
        from stepknot.net.http import Request

        def post(path: str, **query: str) -> int:
            def ask() -> int:
                steps = admin(Request("POST", path, query, {}, b""), None)  # type: ignore[arg-type]
                try:
                    next(steps)
                except StopIteration as stop:
                    return int(stop.value.status)
                raise AssertionError

            return int(run.call(ask))

        assert post("/admission/ban", network="127.0.6.0/24", seconds="600") == 200
        assert (
            post("/admission/ban", network="127.0.6.1/24") == 400
            and post("/admission/nothing") == 404
        )
        banned = client_from(run, "127.0.6.1")("GET", "/", None, KEYED)
        assert banned.status == 429 and "banned" in banned.body["error"]["reason"]
        assert post("/admission/allow", network="127.0.6.9/32") == 200
        assert client_from(run, "127.0.6.9")("GET", "/").status == 200
    with broker_with_admission(tmp_path, **state) as run:
        assert (
            client_from(run, "127.0.6.1")("GET", "/").status == 429
            and client_from(run, "127.0.6.9")("GET", "/").status == 200
        )
    path = tmp_path / "admission.state"
    path.write_bytes(path.read_bytes()[:-20])
    with broker_with_admission(tmp_path, **state) as run:
        assert client_from(run, "127.0.6.1")("GET", "/").status == 200
        assert any(event == "access_lists_load_failed" for event, _ in run.logged)
        assert path.with_suffix(".state.damaged").exists()


# --- descriptors: a broker in a separate process with a low descriptor limit


@contextmanager
def broker_with_descriptor_limit(
    folder: Path, limit: int, **changed: Any
) -> Iterator[tuple[int, int, subprocess.Popen[bytes], Path]]:
    port, graph, admin = reserve_ports(3)
    nodes = [ScriptedNode(), ScriptedNode()]
    (folder / "broker.hcl").write_text(
        settings_text(
            port=port,
            graph=graph,
            admin=admin,
            instances=1,
            cells=2,
            shards=2,
            admission=admission_block(connections=0, **changed),
        )
    )
    (folder / "boxes.json").write_bytes(
        orjson.dumps(
            {"boxes": [{"address": each.address, "cell": cell} for cell, each in enumerate(nodes)]}
        )
    )
    log = folder / "broker.log"
    with log.open("wb") as errors:
        process = subprocess.Popen(
            [sys.executable, "-m", "stepknot", "serve", str(folder / "broker.hcl")],
            stdout=subprocess.PIPE,
            stderr=errors,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
        )
    try:
        read_ready(process, "broker", log)
        yield port, admin, process, log
    finally:
        process.terminate()
        assert process.wait(30) == 0
        assert process.stdout is not None
        process.stdout.close()
        for each in nodes:
            each.close()


def descriptors_of(pid: int) -> int:
    return len(os.listdir(f"/proc/{pid}/fd"))


def cpu_of(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def test_descriptor_limit_of_128_is_never_exceeded_and_known_clients_are_served(
    tmp_path: Path,
) -> None:
    """Clients from 150 addresses take all slots and further ones keep connecting.

    The broker must stay within its descriptor budgets, serve known clients, keep descriptors for connections to
    servers, and not spin at the limit.
    """
    with broker_with_descriptor_limit(tmp_path, 128, per_address=4) as (port, admin, process, _log):
        clients = []
        for each in range(150):
            sock = connect(port, f"127.0.{10 + each // 100}.{each % 100 + 1}")
            sock.sendall(COUNT)
            clients.append(Client(sock))
        statuses = Counter(each.read().status for each in clients)
        assert statuses[200] > 20 and statuses[429] > 50 and sum(statuses.values()) == 150
        begin, cpu = time.monotonic(), cpu_of(process.pid)
        rejected = Counter[int]()
        for each in range(300):
            client = Client(connect(port, f"127.0.20.{each % 200 + 1}"))
            rejected[client("GET", "/reports/_count").status] += 1
            known = Client(connect(port, KNOWN))
            assert known("POST", SEARCH).status == 200
            known.sock.close()
            client.sock.close()
            assert descriptors_of(process.pid) <= 128
        assert rejected == {429: 300}
        idle_begin = time.monotonic()
        select.select([], [], [], 1.0)  # no requests at the limit: the event loop must not spin
        assert cpu_of(process.pid) - cpu < 0.9 * (time.monotonic() - begin) and idle_begin > begin
        idle_cpu = cpu_of(process.pid)
        select.select([], [], [], 1.0)
        assert cpu_of(process.pid) - idle_cpu < 0.3
        sock = connect(admin, "127.0.0.1")
        found = Client(sock)("GET", "/admission").body
        assert (
            found["budgets"]["limit"] == 128
            and found["seats"]["unknown"] <= found["budgets"]["clients"]
        )
        for client in clients:
            client.sock.close()
        until(
            lambda: (
                Client(connect(admin, "127.0.0.1"))("GET", "/admission").body["seats"]["unknown"]
                == 0
            )
        )
        assert Client(connect(port, "127.0.20.1"))("GET", "/reports/_count").status == 200


def test_spare_descriptor_answers_connections_when_descriptors_run_out(
    tmp_path: Path,
) -> None:
    """When the limit of a running broker is lowered and accept fails, clients are still answered."""
    with broker_with_descriptor_limit(tmp_path, 256, per_address=400, per_v4_24=400) as (
        port,
        _,
        process,
        _log,
    ):
        known = Client(connect(port, KNOWN))
        assert known("POST", SEARCH).status == 200
        open_descriptors = descriptors_of(process.pid)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (open_descriptors, 256))
        statuses = Counter[int]()
        for _ in range(40):
            client = Client(connect(port, "127.0.0.66"))
            client.ask("GET", "/reports/_count")
            try:
                statuses[client.read().status] += 1
            except (EOFError, ConnectionResetError):
                statuses[0] += 1
            client.sock.close()
            assert known("POST", SEARCH).status == 200
        assert statuses[429] > 20 and statuses[200] == 0
        cpu = cpu_of(process.pid)
        waiting = [connect(port, "127.0.0.66") for _ in range(5)]
        select.select([], [], [], 1.0)
        assert cpu_of(process.pid) - cpu < 0.5
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (256, 256))
        until(lambda: Client(connect(port, "127.0.0.66"))("GET", "/reports/_count").status == 200)
        assert len(waiting) == 5 and TrustLevel.LISTED.value == 2
