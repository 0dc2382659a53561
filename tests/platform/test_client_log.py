"""What the log says of clients that are rejected: a summary each second, and the process's memory."""

from __future__ import annotations

from stepknot.platform.process_memory import read_resident_bytes
from tests.broker.scripted import until
from tests.platform.world import world


def test_rejections_and_ends_are_summed_up_once_a_second() -> None:
    with world() as found:
        server = found.service.server
        found.call(lambda: setattr(server, "max_connections", 2))
        clients = [found.client() for _ in range(3)]  # the third takes the descriptor of the first
        until(lambda: server.end_counts["evicted"] == 1)
        for path in ("/none", "/none", "/list"):
            clients[2].sock.sendall(found.request(path=path, body=b"{}"))
            assert clients[2].read().status in (400, 404)
        until(
            lambda: sum(sum(e["statuses"].values()) for e in found.events("clients_rejected")) == 3
        )
        reports = found.events("clients_rejected")
        assert sum(each["statuses"].get("404", 0) for each in reports) == 2
        assert sum(each["ends"].get("evicted", 0) for each in reports) == 1
        assert 1 <= reports[-1]["connections"] <= 2 and reports[-1]["resident_bytes"] > 1 << 20


def test_nothing_is_logged_while_nobody_is_rejected() -> None:
    with world() as found:
        assert found.ask().status == 200
        found.call(found.service.client_log.report)
        assert not found.events("clients_rejected")


def test_resident_memory_grows_with_what_is_allocated() -> None:
    before = read_resident_bytes()
    data = bytearray(b"x" * (64 << 20))
    assert read_resident_bytes() - before > (len(data) >> 1)
