"""Commands against a running broker: exit codes, texts and what is sent, with a canned admin socket."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import orjson
import pytest
from click.testing import CliRunner, Result

from stepknot.cli.admin_client import as_view, query_admin
from stepknot.cli.errors import AdminRequestError
from stepknot.cli.main import cli
from stepknot.cli.views import LeasesView

JOB = {
    "job": "drains",
    "owner": "b1",
    "last_owner": "b1",
    "epoch": 3,
    "here": False,
    "phase": "idle",
    "heard": 0.5,
    "since": None,
    "till": None,
    "why": "",
    "known_epoch": 3,
    "granted_by": [],
    "version": [3, 1],
    "ready": True,
    "older_refused": 0,
}
LEASES = {
    "name": "b0",
    "voters": ["b0", "b1", "b2"],
    "lease": 2.0,
    "jobs": [JOB],
    "drains": None,
    "voter": {"votes": True, "life": 1, "broken": "", "saves": 4},
}
MEMBER = {
    "name": "b0",
    "state": "alive",
    "address": "127.0.0.1:9600",
    "epoch": 1,
    "incarnation": 0,
    "self": True,
    "since": 1.0,
    "why": "",
    "watched": False,
    "heard": None,
    "sign": None,
    "sign_by": "",
    "hears_me": None,
}
MEMBERS = {
    "name": "b0",
    "fleet": "f",
    "live": 1,
    "suspect": 0,
    "at_least": 1,
    "at_most": 1,
    "sure": True,
    "version": 1,
    "digest": "00",
    "stepped_aside": False,
    "isolated": False,
    "isolated_why": "",
    "members": [MEMBER],
}
ZONES = {
    "broker": "b0",
    "own": "a",
    "spill": 2.0,
    "disturbed": False,
    "shed": 0,
    "zones": [],
}


class AdminSocket:
    """Answers each path with a canned status and body, and keeps what was asked."""

    def __init__(self) -> None:
        self.answers: dict[str, tuple[int, bytes]] = {}
        self.asked: list[tuple[str, str, bytes]] = []
        canned = self

        class Handler(BaseHTTPRequestHandler):
            def answer(self) -> None:
                body = self.rfile.read(int(self.headers.get("content-length", 0)))
                canned.asked.append((self.command, self.path, body))
                status, data = canned.answers.get(self.path.partition("?")[0], (404, b"{}"))
                self.send_response(status)
                self.send_header("content-length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self) -> None:
                self.answer()

            def do_POST(self) -> None:
                self.answer()

            def log_message(self, *args: object) -> None:
                """Write nothing."""

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.server.server_address[1]

    def put(self, path: str, body: Any, status: int = 200) -> None:
        self.answers[path] = status, body if isinstance(body, bytes) else orjson.dumps(body)

    def run(self, command: str, *arguments: str) -> Result:
        host, port = self.address
        return CliRunner().invoke(cli, [command, f"{host}:{port}", *arguments])

    def close(self) -> None:
        self.server.shutdown()
        self.server.server_close()
        self.thread.join(5)


@pytest.fixture
def admin() -> Iterator[AdminSocket]:
    socket = AdminSocket()
    yield socket
    socket.close()


@pytest.mark.parametrize(
    ("changes", "code"),
    [({}, 0), ({"isolated": True}, 1), ({"stepped_aside": True}, 1)],
)
def test_members_ends_with_1_where_the_broker_is_isolated(
    admin: AdminSocket, changes: dict[str, bool], code: int
) -> None:
    admin.put("/peers", MEMBERS | changes)
    assert admin.run("members").exit_code == code
    assert admin.run("peers", "--json").exit_code == code


def test_members_names_the_known_ones_where_a_name_is_unknown(admin: AdminSocket) -> None:
    admin.put("/peers", MEMBERS)
    result = admin.run("members", "--why", "b9")
    assert result.exit_code == 2 and "no member b9; known: b0" in result.output


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({}, 0),
        ({"voter": None}, 0),
        ({"jobs": [JOB | {"owner": ""}]}, 1),
        ({"voter": {"votes": False, "life": 1, "broken": "", "saves": 0}}, 1),
    ],
)
def test_leases_ends_with_1_without_a_holder_or_a_vote(
    admin: AdminSocket, changes: dict[str, Any], code: int
) -> None:
    admin.put("/owner", LEASES | changes)
    assert admin.run("leases").exit_code == code


@pytest.mark.parametrize("option", ["--transfer", "--yield"])
@pytest.mark.parametrize(
    ("status", "error", "code"),
    [
        (200, "", 0),
        (409, "drains is not owned here", 1),
        (404, "POST, for one of these jobs: drains", 2),
    ],
)
def test_transfer_ends_with_1_where_the_lease_is_not_held_here(
    admin: AdminSocket, option: str, status: int, error: str, code: int
) -> None:
    admin.put("/owner/yield", {"error": error}, status)
    admin.put("/owner", LEASES | {"jobs": [JOB | {"owner": ""}]})
    result = admin.run("leases", option, "drains")
    assert result.exit_code == code and error in result.output
    assert admin.asked[0][:2] == ("POST", "/owner/yield?job=drains")


@pytest.mark.parametrize(("status", "code"), [(200, 0), (409, 1), (500, 2)])
def test_drain_ends_with_1_where_the_order_is_rejected(
    admin: AdminSocket, status: int, code: int
) -> None:
    admin.put("/owner/order", {"error": "no node in zone c"}, status)
    admin.put("/owner", LEASES)
    assert admin.run("drain", "--zone", "c").exit_code == code


@pytest.mark.parametrize(
    ("words", "order"),
    [
        (["--pause"], {"stop": True, "go_on": False, "undo": False}),
        (["--resume"], {"stop": False, "go_on": True, "undo": False}),
        (["--undo"], {"stop": False, "go_on": False, "undo": True}),
        (
            [
                "--zone",
                "a",
                "--max-draining",
                "2",
                "--drain-time",
                "30s",
                "--pause-if",
                "failing>2%",
            ],
            {
                "stop": False,
                "go_on": False,
                "undo": False,
                "drain": {
                    "zone": "a",
                    "at_most": 2,
                    "every": 30.0,
                    "force": False,
                    "failing": 0.02,
                },
            },
        ),
        (
            ["--zone", "a", "--force"],
            {
                "stop": False,
                "go_on": False,
                "undo": False,
                "drain": {"zone": "a", "at_most": 1, "every": 5.0, "force": True, "failing": 1.0},
            },
        ),
    ],
)
def test_drain_posts_the_order(admin: AdminSocket, words: list[str], order: dict[str, Any]) -> None:
    admin.put("/owner/order", {"taken": True})
    admin.put("/owner", LEASES)
    assert admin.run("drain", *words).exit_code == 0
    method, path, body = admin.asked[0]
    assert method == "POST" and path.startswith("/owner/order?job=drains&number=")
    assert orjson.loads(body) == order


def test_drain_without_an_option_orders_nothing(admin: AdminSocket) -> None:
    admin.put("/owner", LEASES)
    assert admin.run("drain").output == "no drain was ordered\n"
    assert [method for method, *_ in admin.asked] == ["GET"]


def test_drain_takes_one_order_at_a_time(admin: AdminSocket) -> None:
    assert admin.run("drain", "--pause", "--undo").exit_code == 2
    assert admin.asked == []


@pytest.mark.parametrize(
    ("words", "path"),
    [
        (["--ban", "10.0.0.0/8"], "/admission/ban?network=10.0.0.0%2F8"),
        (
            ["--allow", "10.0.0.0/8", "--seconds", "600"],
            "/admission/allow?network=10.0.0.0%2F8&seconds=600.0",
        ),
        (["--unban", "10.0.0.0/8"], "/admission/unban?network=10.0.0.0%2F8"),
        (["--disallow", "10.0.0.0/8"], "/admission/disallow?network=10.0.0.0%2F8"),
    ],
)
def test_admission_posts_the_change_and_prints_the_answer(
    admin: AdminSocket, words: list[str], path: str
) -> None:
    admin.put(path.partition("?")[0], {"banned": {}, "allowed": {}})
    result = admin.run("admission", *words)
    assert result.exit_code == 0 and result.output == '{"banned":{},"allowed":{}}\n'
    assert admin.asked == [("POST", path, b"")]


@pytest.mark.parametrize(
    ("command", "path", "body"),
    [
        ("zones", "/zones", b"not JSON"),
        ("zones", "/zones", b"{}"),
        ("members", "/peers", b"not JSON"),
        ("members", "/peers", b"{}"),
        ("subset", "/subset", b"not JSON"),
        ("subset", "/subset", b"{}"),
        ("leases", "/owner", b"not JSON"),
        ("leases", "/owner", b"{}"),
        ("drain", "/owner", b"{}"),
        ("admission", "/admission", b"not JSON"),
        ("admission", "/admission", b'{"budgets": 1}'),
    ],
)
def test_answer_that_is_not_a_brokers_ends_with_2(
    admin: AdminSocket, command: str, path: str, body: bytes
) -> None:
    admin.put(path, body)
    result = admin.run(command)
    assert result.exit_code == 2 and "not a broker's answer" in result.output


def test_zones_prints_the_answer_unchanged_as_json(admin: AdminSocket) -> None:
    admin.put("/zones", ZONES | {"later": 1})
    assert orjson.loads(admin.run("zones", "--json").output) == ZONES | {"later": 1}


@pytest.mark.parametrize("command", ["zones", "members", "subset", "leases", "drain", "admission"])
def test_nothing_at_the_address_ends_with_2(command: str) -> None:
    result = CliRunner().invoke(cli, [command, "127.0.0.1:1"])
    assert result.exit_code == 2 and "127.0.0.1:1" in result.output


def test_rejected_request_carries_its_status_and_reason(admin: AdminSocket) -> None:
    admin.put("/owner/order", {"error": "no"}, 409)
    with pytest.raises(AdminRequestError, match="status 409") as caught:
        query_admin(admin.address, "/owner/order", "POST", b"{}")
    assert caught.value.status == 409 and caught.value.reason == '{"error":"no"}'


def test_view_names_the_key_that_is_missing() -> None:
    with pytest.raises(AdminRequestError, match="missing required field `lease`"):
        as_view({key: value for key, value in LEASES.items() if key != "lease"}, LeasesView)
