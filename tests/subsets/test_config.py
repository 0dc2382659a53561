"""Tests of the `subset` block: accepted values, values reported with their line, commands, and lazy loading."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from click.testing import CliRunner

from stepknot.cli.admin_client import as_view
from stepknot.cli.main import cli
from stepknot.cli.tables import explain_node, subset_table
from stepknot.cli.views import SubsetView
from stepknot.config.errors import ConfigError
from stepknot.config.settings import load
from stepknot.simulation.fleet import settings_text
from stepknot.subsets.model import DEFAULT_HOLDERS, DEFAULT_NEAR, DEFAULT_SIZE, SubsetSettings

BLOCK = """\
subset {
  identity = "eu-7"
  size     = 4
  holders  = 200
  near     = 8
}
"""
PEERS = 'peers {\n  name = "b3"\n  listen = "127.0.0.1:9600"\n}\n'
TIERS = ("zones {\n", 'zones {\n  tiers = [["a"], ["b", "c"]]\n')


def write_settings(tmp_path: Path, block: str, *changes: tuple[str, str]) -> Path:
    text = settings_text(port=9200)
    for old, new in changes:
        assert old in text
        text = text.replace(old, new, 1)
    path = tmp_path / "broker.hcl"
    path.write_text(text + block)
    return path


def problem(path: Path) -> tuple[str, str, str]:
    """Return the key and the expectation of the only problem, and the line of the file to which it refers."""
    with pytest.raises(ConfigError) as caught:
        load(path)
    (reported,) = caught.value.problems
    return reported.key, reported.expected, path.read_text().splitlines()[reported.line - 1]


def test_subset_is_absent_without_the_block_or_when_disabled(tmp_path: Path) -> None:
    assert load(write_settings(tmp_path, "")).subset is None
    assert (
        load(
            write_settings(tmp_path, BLOCK.replace("subset {", "subset {\n  enabled = false"))
        ).subset
        is None
    )


def test_block_is_read_with_zone_and_tiers_of_other_blocks(tmp_path: Path) -> None:
    subset = load(write_settings(tmp_path, BLOCK, TIERS)).subset
    assert subset == SubsetSettings("eu-7", 4, 200.0, 8.0, "a", (("a",), ("b", "c")))


def test_identity_defaults_to_the_peer_name_and_other_keys_to_defaults(
    tmp_path: Path,
) -> None:
    subset = load(write_settings(tmp_path, "subset {}\n" + PEERS)).subset
    assert subset == SubsetSettings("b3", DEFAULT_SIZE, DEFAULT_HOLDERS, DEFAULT_NEAR, "a")
    both = load(write_settings(tmp_path, BLOCK + PEERS)).subset
    assert both is not None and both.identity == "eu-7"


@pytest.mark.parametrize(
    "peers", ["", PEERS.replace('name = "b3"', ""), PEERS.replace("name", "enabled = false\n #")]
)
def test_missing_identity_is_rejected(tmp_path: Path, peers: str) -> None:
    key, expected, line = problem(
        write_settings(tmp_path, BLOCK.replace('identity = "eu-7"', "") + peers)
    )
    assert key == "subset.identity" and line.startswith("subset")
    assert expected.startswith("missing: brokers with one identity would use the same nodes")


@pytest.mark.parametrize(
    ("old", "new", "key", "expected"),
    [
        ('"eu-7"', f'"{"n" * 65}"', "identity", "64 printable characters"),
        ('"eu-7"', '"a\\nb"', "identity", "64 printable characters"),
        ('"eu-7"', '""', "identity", "not empty"),
        ("size     = 4", "size     = 65", "size", "from 1 to 64"),
        ("size     = 4", "size     = 0", "size", "from 1 to 64"),
        ("size     = 4", "size     = 2", "size", "expected limits.max_attempts (3) or more, not 2"),
        ("holders  = 200", "holders  = 0.5", "holders", "from 1 to"),
        ("near     = 8", "near     = 0.9", "near", "from 1 to 1000"),
        ("near     = 8", "near     = 1e400", "near", "from 1 to 1000"),
        (
            "near     = 8",
            "nearest  = 8",
            "nearest",
            "unknown; known here: enabled, identity, size, holders, near",
        ),
    ],
)
def test_invalid_value_is_reported_with_its_line(
    tmp_path: Path, old: str, new: str, key: str, expected: str
) -> None:
    result = problem(write_settings(tmp_path, BLOCK.replace(old, new)))
    assert result[0] == f"subset.{key}" and expected in result[1] and key in result[2]


def test_size_of_one_is_rejected_with_hedged_requests(tmp_path: Path) -> None:
    one_attempt = ("max_attempts    = 3", "max_attempts    = 1")
    key, expected, _ = problem(
        write_settings(tmp_path, BLOCK.replace("size     = 4", "size     = 1"), one_attempt)
    )
    assert key == "subset.size" and "a second copy goes to another replica" in expected
    no_hedging = (one_attempt[0], one_attempt[1] + "\n  second_copies = false")
    subset = load(
        write_settings(tmp_path, BLOCK.replace("size     = 4", "size     = 1"), no_hedging)
    ).subset
    assert subset is not None and subset.size == 1


def test_default_size_under_max_attempts_is_reported_at_the_block(tmp_path: Path) -> None:
    more_attempts = ("max_attempts    = 3", "max_attempts    = 9")
    key, expected, line = problem(
        write_settings(tmp_path, BLOCK.replace("  size     = 4\n", ""), more_attempts)
    )
    assert key == "subset.size" and "(9) or more, not 4" in expected and line.startswith("subset")


def test_near_that_leaves_far_zones_no_weight_is_rejected(tmp_path: Path) -> None:
    tiers = (
        "zones {\n",
        f"zones {{\n  tiers = {orjson.dumps([[f't{each}'] for each in range(40)]).decode()}\n",
    )
    key, expected, _ = problem(
        write_settings(tmp_path, BLOCK.replace("near     = 8", "near     = 1000"), tiers)
    )
    assert key == "subset.near" and "41 tiers" in expected


def test_duplicate_block_is_reported(tmp_path: Path) -> None:
    key, expected, _ = problem(write_settings(tmp_path, BLOCK + BLOCK))
    assert key == "subset" and expected == "given twice"


def test_check_command_shows_the_subset(tmp_path: Path) -> None:
    path = write_settings(tmp_path, "")
    assert "all nodes used" in CliRunner().invoke(cli, ["check", str(path)]).output
    assert (
        orjson.loads(CliRunner().invoke(cli, ["check", str(path), "--json"]).output)["subset"]
        is None
    )
    path = write_settings(tmp_path, BLOCK)
    assert (
        "a subset: 4 replicas a shard, as eu-7"
        in CliRunner().invoke(cli, ["check", str(path)]).output
    )
    assert (
        orjson.loads(CliRunner().invoke(cli, ["check", str(path), "--json"]).output)["subset"][
            "size"
        ]
        == 4
    )


def test_command_exits_with_2_when_unreachable_and_help_has_examples() -> None:
    run = CliRunner().invoke(cli, ["subset", "127.0.0.1:1"])
    assert run.exit_code == 2 and "127.0.0.1:1" in run.output
    text = CliRunner().invoke(cli, ["subset", "--help"]).output
    assert "Example: stepknot subset" in text and "--why" in text and "Exit code 1" in text


def test_table_and_reason_show_the_answer() -> None:
    answer = {
        "broker": "demo",
        "identity": "eu-7",
        "zone": "a",
        "instances": 40,
        "off": "",
        "busy": False,
        "quota_least": 2,
        "quota_greatest": 3,
        "cells": 4,
        "left_out": 1,
        "longest_slice": 0.0021,
        "changes": {"the list": 3, "a node is warm": 0},
        "zones": [
            {"zone": "a", "tier": 0, "listed": 9, "live": 8, "warm": 4, "cold": 1, "draining": 1}
        ],
    }
    table = subset_table(as_view(answer, SubsetView))
    assert (
        "eu-7 in zone a, one of 40 brokers: 2 to 3 warm nodes a cell" in table
        and "3 by the list" in table
    )
    assert "1 entries left out" in table and "2.1 ms" in table
    assert subset_table(
        as_view({"broker": "b", "off": "ValueError: x", "nodes": 9}, SubsetView)
    ) == ("b: ALL 9 NODES ARE USED, for a defect: ValueError: x")
    why = {
        "server": "n1",
        "cell": 2,
        "zone": "a",
        "tier": 0,
        "held": True,
        "word": "it is cold",
        "place": 1,
        "nodes": 9,
        "live": 8,
        "quota": 3,
        "score": 0.25,
        "cold_share": 0.5,
        "sharers": 20.0,
    }
    explanation = explain_node(as_view({"broker": "b", "why": why}, SubsetView))
    assert explanation is not None
    assert (
        "n1 is in use by b: it is cold" in explanation
        and "by preference 2 of 9 nodes of cell 2" in explanation
    )
    assert "50.00% of brokers may send to it; this one takes a part in 20.0" in explanation


@pytest.mark.parametrize(
    "module",
    [
        "stepknot.platform.__main__, stepknot.platform.service",
        "stepknot.broker.service",
        "stepknot.cli.serve",
    ],
)
def test_subset_modules_are_not_loaded_by_importing_the_program(module: str) -> None:
    code = (
        f"import sys, {module}; sys.exit(any(name.startswith(('stepknot.subsets', 'stepknot.broker.subset_')) "
        "for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0


def test_subset_modules_are_not_loaded_when_disabled(tmp_path: Path) -> None:
    path = write_settings(tmp_path, "subset {\n  enabled = false\n}\n")
    code = (
        "import sys, pathlib; from stepknot.cli.serve import make; from stepknot.config.settings import load; "
        f"make(load(pathlib.Path({str(path)!r})), lambda *_, **__: None); "
        "sys.exit(any(name.startswith(('stepknot.subsets', 'stepknot.broker.subset_')) for name in sys.modules))"
    )
    text = path.read_text().replace('"127.0.0.1:9200"', '"127.0.0.1:0"')
    path.write_text(text)
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
