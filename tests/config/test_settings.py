"""Settings files: read, or told what is wrong with file, line and key."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from stepknot.cli.main import cli
from stepknot.config.errors import ConfigError
from stepknot.config.hcl import parse
from stepknot.config.settings import load
from stepknot.discovery.endpoint_file import diff_endpoint_lists, read_endpoint_list
from stepknot.interface import Effect, ServerState
from stepknot.simulation.fleet import settings_text

GOOD = settings_text(port=9200)


def problems(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / "broker.hcl"
    path.write_text(text)
    with pytest.raises(ConfigError) as caught:
        load(path)
    return [str(each).removeprefix(f"{path}:") for each in caught.value.problems]


def test_the_demos_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / "broker.hcl"
    path.write_text(GOOD)
    config = load(path)
    assert config.listen == ("127.0.0.1", 9200) and config.settings.cells == 4
    assert config.settings.classes["search"].second_step_parts == 1
    assert config.settings.classes["edit"].effect is Effect.UNSAFE
    assert (
        config.operations["create"] == "edit"
        and config.indices["reports"].fields["title"] == "text"
    )
    assert config.settings.rules.drain_grace == 1.0 and config.list_file == tmp_path / "boxes.json"


@pytest.mark.parametrize(
    ("old", "new", "key", "expected"),
    [
        (
            'drain_grace   = "1s"',
            'drain_grace   = "soon"',
            "rules.drain_grace",
            "expected a duration",
        ),
        (
            "floor         = 0.7",
            "floor         = 1.7",
            "class.search.floor",
            "expected a number from 0 to 1",
        ),
        (
            "floor         = 0.7",
            "flor         = 0.7",
            "class.search.flor",
            "unknown; known here: aim",
        ),
        (
            'listen    = "127.0.0.1:9200"',
            'listen    = "localhost"',
            "listen",
            "expected an address and port",
        ),
        (
            'effect        = "keyed"',
            'effect        = "maybe"',
            "class.store.effect",
            "expected one of safe, keyed",
        ),
        ("  shards = 12", "  shards = 0", "index.reports.shards", "expected a whole number from 1"),
        ("instances = 2", "", "instances", "missing"),
        (
            'operations = ["create", "update"]',
            'operations = ["create"]',
            "class",
            "missing: a class with update",
        ),
        (
            'effect     = "unsafe"',
            'effect     = "safe"',
            "class.edit.effect",
            "expected keyed or unsafe",
        ),
    ],
)
def test_what_is_wrong_is_told_with_its_line_and_key(
    tmp_path: Path, old: str, new: str, key: str, expected: str
) -> None:
    assert old in GOOD
    found = problems(tmp_path, GOOD.replace(old, new, 1))
    mine = next(each for each in found if f" {key}: " in each)
    assert expected in mine
    if expected != "missing" and key not in ("class", "class.edit.effect"):
        line = int(mine.partition(":")[0])
        assert new.split(" ")[0] in GOOD.replace(old, new, 1).split("\n")[line - 1]


def test_every_kind_of_literal_is_read(tmp_path: Path) -> None:
    block = parse(
        'a = true\nb = false\nc = -3\nd = [1, 2.5, "x\\"y"]\ne = { k = "v", "q" = -1.5 }\n', "f"
    )
    assert {key: value.value for key, value in block.values.items()} == {
        "a": True,
        "b": False,
        "c": -3,
        "d": [1, 2.5, 'x"y'],
        "e": {"k": "v", "q": -1.5},
    }
    assert [value.line for value in block.values.values()] == [1, 2, 3, 4, 5]
    for text in ("a = b.c\n", 'a = "${x}"\n', "a = 1 + 2\n"):
        with pytest.raises(ConfigError, match="f:1: a: "):
            parse(text, "f")


def test_zones_are_set_and_checked(tmp_path: Path) -> None:
    path = tmp_path / "broker.hcl"
    head, _, tail = GOOD.partition("zones {")
    rest = tail.partition("}")[2]
    path.write_text(head + 'zones {\n  tiers = [["a"], ["b", "c"]]\n  spill = 1.5\n}' + rest)
    zones = load(path).zones
    assert zones is not None and zones.tiers == (("a",), ("b", "c")) and zones.failover.spill == 1.5
    path.write_text(head + "zones {\n  enabled = false\n}" + rest)
    assert load(path).zones is None
    assert "zones.spill" in problems(tmp_path, head + "zones {\n  spill = 0.5\n}" + rest)[0]
    assert (
        "each zone in one tier"
        in problems(tmp_path, head + 'zones {\n  tiers = [["a"], ["a"]]\n}' + rest)[0]
    )


def test_all_problems_are_told_at_once_and_text_that_is_no_hcl_has_its_line(tmp_path: Path) -> None:
    text = GOOD.replace('"1s"', '"x"').replace("cells          = 4", "cells          = -4")
    assert len(problems(tmp_path, text)) >= 2
    (only,) = problems(tmp_path, "name = = 3\n")
    assert only.startswith("1: not HCL")
    shares = 'tenant "a" {\n  share = 0.7\n}\ntenant "b" {\n  share = 0.6\n}\n'
    assert "add up to 1" in problems(tmp_path, GOOD + shares)[0]
    assert "given twice" in problems(tmp_path, 'name = "a"\nname = "b"\n' + GOOD)[0]


def test_check_tells_by_its_exit_code(tmp_path: Path) -> None:
    path = tmp_path / "broker.hcl"
    path.write_text(GOOD)
    result = CliRunner().invoke(cli, ["check", str(path), "--json"])
    assert result.exit_code == 0 and '"ok":true' in result.output
    path.write_text(GOOD.replace('"1s"', '"x"'))
    result = CliRunner().invoke(cli, ["check", str(path)])
    assert (
        result.exit_code == 2
        and f"{path}:" in result.output
        and "rules.drain_grace" in result.output
    )


def test_box_lists_in_both_forms_and_their_changes(tmp_path: Path) -> None:
    one, two = tmp_path / "boxes.json", tmp_path / "boxes.hcl"
    one.write_text(
        '{"boxes": [{"address": "127.0.0.1:1", "cell": 1, "zone": "a"}, {"address": "[::1]:2"}]}'
    )
    two.write_text('box "127.0.0.1:1" {\n  cell = 1\n  zone = "a"\n  state = "draining"\n}\n')
    old, new = read_endpoint_list(one, 0.0), read_endpoint_list(two, 0.0)
    assert [(each.server, each.state) for each in diff_endpoint_lists(old, new)] == [
        ("[::1]:2", ServerState.GONE),
        ("127.0.0.1:1", ServerState.DRAINING),
    ]
    assert diff_endpoint_lists(old, old) == ()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{}",
        '{"boxes": 3}',
        '{"boxes": [{"address": "nowhere"}]}',
        '{"boxes": [{"address": "127.0.0.1:1", "cell": -1}]}',
        '{"boxes": [{"address": "127.0.0.1:1"}, {"address": "127.0.0.1:1"}]}',
        '{"boxes": [{"address": "127.0.0.1:1", "state": "gone"}]}',
    ],
)
def test_a_list_that_cannot_be_read_is_an_error_not_an_empty_fleet(
    tmp_path: Path, text: str
) -> None:
    path = tmp_path / "boxes.json"
    path.write_text(text)
    with pytest.raises(ConfigError):
        read_endpoint_list(path, 0.0)
