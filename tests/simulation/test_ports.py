"""Ports that a run reserves for its processes are reserved by no other run, and the processes can listen on them."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path

import pytest

from stepknot.net.network import Network
from stepknot.simulation.fleet import Fleet
from stepknot.simulation.ports import reserve_ports

SEED = 7
RESERVE_IN_ANOTHER_PROCESS = f"""
import random
random.SystemRandom = lambda: random.Random({SEED})
from stepknot.simulation.ports import reserve_ports
print(*reserve_ports(8), flush=True)
input()
"""


def test_two_runs_that_draw_the_same_ports_reserve_different_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two runs planned at once had a port in common, and a broker of one ended as its address was taken."""
    with subprocess.Popen(
        [sys.executable, "-c", RESERVE_IN_ANOTHER_PROCESS],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        assert other.stdin is not None and other.stdout is not None
        taken = {int(port) for port in other.stdout.readline().split()}
        monkeypatch.setattr(random, "SystemRandom", lambda: random.Random(SEED))
        own = reserve_ports(8)
        assert len(taken) == len(set(own)) == 8
        assert not taken & set(own)
        other.stdin.write("\n")


def test_a_reserved_port_is_listened_on_again_and_again_and_holds_datagrams() -> None:
    network = Network()
    (port,) = reserve_ports(1)
    for _ in range(3):
        with (
            network.listen("127.0.0.1", port),
            network.datagrams("127.0.0.1", port),
            pytest.raises(OSError, match="in use"),
        ):
            network.listen("127.0.0.1", port)


def test_a_broker_that_cannot_listen_is_named_with_the_reason(tmp_path: Path) -> None:
    fleet = Fleet.plan(tmp_path, brokers=1, boxes=0, documents=0)
    with Network().listen("127.0.0.1", fleet.brokers[0].port):
        try:
            with pytest.raises(RuntimeError, match=r"broker 0 did not come up: .*cannot listen"):
                fleet.start(lambda text: None)
        finally:
            fleet.stop()
