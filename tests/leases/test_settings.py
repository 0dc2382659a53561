"""The settings block `ownership`; without it, the modules that run leases are not imported."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from stepknot.config.errors import ConfigError
from stepknot.config.settings import load
from stepknot.simulation.fleet import settings_text


def load_config(tmp_path: Path, block: str, name: str = "b0") -> Any:
    """The settings of broker `name`, with `block` as the content of the block `ownership`."""
    peers = f'peers {{\n  name = "{name}"\n  listen = "127.0.0.1:9600"\n}}\n\n'
    path = tmp_path / "broker.hcl"
    path.write_text(
        settings_text(
            port=1, admin=2, graph=3, peers=peers, ownership=f"ownership {{\n{block}\n}}\n\n"
        )
    )
    return load(path)


def test_the_block_is_read_and_only_a_voter_has_a_state_folder(tmp_path: Path) -> None:
    block = '  voters = ["b0", "b1", "b2"]\n  state = "votes"\n  lease = "3s"\n  drift = 0.1'
    owners = load_config(tmp_path, block).owners
    assert owners.state_folder == tmp_path / "votes" and owners.settings.lease_seconds == 3.0
    assert owners.settings.voter_lease_seconds > owners.settings.holder_lease_seconds
    assert load_config(tmp_path, block, name="b7").owners.state_folder is None
    assert load_config(tmp_path, block + "\n  enabled = false").owners is None


@pytest.mark.parametrize(
    ("block", "expected"),
    [
        ('voters = ["b0", "b1"]', "ownership.voters: expected 3, 5 or 7"),
        ('voters = ["b0", "b1", "b1"]', "ownership.voters: expected each voter once"),
        ('voters = "b0"', "expected a list of names"),
        ('voters = ["b0", "b1", "b2"]', "ownership.state: missing"),
        ('voters = ["b1", "b2", "b3"]\n  lease = "1ms"', "ownership.lease: expected from"),
        ('voters = ["b1", "b2", "b3"]\n  drift = 0.5', "ownership.drift"),
        ('voters = ["b1", "b2", "b3"]\n  quorum = 2', "unknown; known here"),
    ],
)
def test_wrong_settings_are_reported_with_their_key(
    tmp_path: Path, block: str, expected: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        load_config(tmp_path, block)
    assert expected in str([str(each) for each in caught.value.problems])


@pytest.mark.parametrize("module", ["stepknot.platform.service", "stepknot.broker.service"])
def test_lease_modules_are_not_imported_without_the_block(module: str) -> None:
    code = (
        f"import sys, {module}; sys.exit(any(name in sys.modules for name in ('stepknot.broker.lease_driver', "
        "'stepknot.leases.node', 'stepknot.broker.voter_store')))"
    )
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
