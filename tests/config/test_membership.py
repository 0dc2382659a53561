"""The `peers` block: what is taken, what is told with its line, and what each command says."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from stepknot.cli.admin_client import as_view
from stepknot.cli.main import cli
from stepknot.cli.tables import explain_member, members_table
from stepknot.cli.views import MembersView
from stepknot.config.errors import ConfigError
from stepknot.config.settings import load
from stepknot.simulation.fleet import Fleet, settings_text

BLOCK = """\
peers {
  name   = "b0"
  listen = "127.0.0.1:9600"
  seeds  = ["127.0.0.1:9600", "127.0.0.1:9601"]
}
"""


def written(tmp_path: Path, block: str) -> Path:
    path = tmp_path / "broker.hcl"
    path.write_text(settings_text(port=9200) + block)
    return path


def test_without_the_block_or_disabled_there_is_no_membership(tmp_path: Path) -> None:
    assert load(written(tmp_path, "")).peers is None
    assert (
        load(written(tmp_path, BLOCK.replace("peers {", "peers {\n  enabled = false"))).peers
        is None
    )


def test_the_peers_block_is_read_and_other_settings_have_defaults(tmp_path: Path) -> None:
    peers = load(written(tmp_path, BLOCK)).peers
    assert peers is not None and peers.name == "b0" and peers.listen == ("127.0.0.1", 9600)
    assert (
        peers.settings.seeds == (("127.0.0.1", 9600), ("127.0.0.1", 9601))
        and peers.settings.configured == 2
    )
    assert peers.settings.dead_after == peers.settings.pause + peers.settings.period == 5.5
    unnamed = load(written(tmp_path, BLOCK.replace('name   = "b0"', ""))).peers
    assert unnamed is not None and unnamed.name == "127.0.0.1:9200"


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('listen = "127.0.0.1:9600"', 'listen = "here"', "peers.listen"),
        ('listen = "127.0.0.1:9600"', "", "peers.listen"),
        ('listen = "127.0.0.1:9600"', 'listen = "0.0.0.0:9600"', "peers.advertise"),
        ('"127.0.0.1:9601"', '"127.0.0.1:9600"', "peers.seeds"),
        ('"127.0.0.1:9601"', '"127.0.0.1:0"', "peers.seeds"),
        ('name   = "b0"', f'name = "{"n" * 65}"', "peers.name"),
        ('name   = "b0"', 'period = "1ms"', "peers.period"),
        ('name   = "b0"', 'pause = "1s"', "peers.pause"),
        ('name   = "b0"', 'tombstone = "20s"', "peers.tombstone"),
        ('name   = "b0"', "most = 1", "peers.most"),
        ('name   = "b0"', "gossip = 3", "peers.gossip"),
    ],
)
def test_a_wrong_setting_of_peers_is_reported_with_its_line(
    tmp_path: Path, old: str, new: str, key: str
) -> None:
    path = written(tmp_path, BLOCK.replace(old, new))
    with pytest.raises(ConfigError) as caught:
        load(path)
    (problem,) = caught.value.problems
    lines = path.read_text().splitlines()
    assert problem.key == key and (
        "peers" in lines[problem.line - 1] or key.partition(".")[2] in lines[problem.line - 1]
    )


def test_an_address_in_use_ends_serve_with_exit_code_2(tmp_path: Path) -> None:
    fleet = Fleet.plan(tmp_path, 1, 0, 0, with_peers=True)
    fleet.write_settings()
    fleet.write_list()
    path = tmp_path / "broker-0.hcl"
    own = fleet.brokers[0]
    path.write_text(path.read_text().replace(f'"127.0.0.1:{own.peer}"\n', '"192.0.2.1:9600"\n'))
    run = subprocess.run(
        [sys.executable, "-m", "stepknot", "serve", str(path)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    assert run.returncode == 2 and "cannot listen" in run.stderr and "Traceback" not in run.stderr


def test_an_unreachable_broker_ends_members_with_exit_code_2(tmp_path: Path) -> None:
    run = CliRunner().invoke(cli, ["peers", "127.0.0.1:1"])
    assert run.exit_code == 2 and "127.0.0.1:1" in run.output


def test_the_members_table_and_the_evidence_show_the_view() -> None:
    row = {
        "name": "b1",
        "state": "suspect",
        "address": "127.0.0.1:9601",
        "epoch": 7,
        "incarnation": 2,
        "self": False,
        "since": 1.5,
        "why": "silent for 2.10 s (last heard here); b2 had nothing younger",
        "watched": True,
        "heard": 2.1,
        "sign": 2.1,
        "sign_by": "heard here",
        "hears_me": None,
    }
    found = {
        "name": "b0",
        "fleet": "f",
        "live": 2,
        "suspect": 1,
        "at_least": 2,
        "at_most": 3,
        "sure": False,
        "version": 4,
        "digest": "00ff",
        "stepped_aside": False,
        "isolated": True,
        "isolated_why": "only 1 of 3 neighbours are heard",
        "members": [row],
    }
    view = as_view(found, MembersView)
    table = members_table(view)
    assert (
        "between 2 and 3 brokers, not sure" in table
        and "ISOLATED: only 1 of 3" in table
        and "suspect" in table
    )
    evidence = explain_member(view, "b1")
    assert evidence is not None and "b2 had nothing younger" in evidence
    assert explain_member(view, "b9") is None


def test_the_platforms_broker_does_not_load_membership() -> None:
    code = (
        "import sys, stepknot.platform.__main__, stepknot.platform.service; "
        "sys.exit(any('membership' in name for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
