"""A scale run at a small size plays all its troubles, and one that has no room is refused before anything starts."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from stepknot.simulation.scale_plan import Machine, ScalePlan, needs, refusal
from stepknot.simulation.scale_run import Result
from stepknot.simulation.socket_recorder import read

COMMAND = [
    sys.executable,
    "-m",
    "stepknot",
    "scale",
    "--members",
    "24",
    "--nodes",
    "12",
    "--period",
    "250ms",
    "--pause",
    "1s",
]
AMPLE = Machine(10**12, 10**6)


def started_by(folder: Path) -> list[str]:
    """Processes that run, of this folder's run."""
    found = []
    for each in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            words = each.read_bytes().decode().split("\0")
        except OSError:
            continue  # it ended meanwhile
        found += [word for word in words if word.startswith(f"{folder}/")]
    return found


def test_all_troubles_are_played_and_known_and_no_rule_is_broken(tmp_path: Path) -> None:
    extra = tmp_path / "extra.hcl"
    extra.write_text('tenant "of-{name}" {\n  share = 0.1\n}\n')
    folder, file = tmp_path / "run", tmp_path / "run.json"
    done = subprocess.run(
        [
            *COMMAND,
            "--seconds",
            "120",
            "--out",
            str(folder),
            "--json",
            str(file),
            "--config-extra",
            str(extra),
            "--voters",
            "5",
        ],
        capture_output=True,
        text=True,
    )
    result = msgspec.json.decode(file.read_bytes(), type=Result)
    assert done.returncode == 0, done.stdout + done.stderr
    assert not result.not_reached and result.model is not None
    assert not [each.breaches for each in result.rules if each.broken]
    assert all(each.checks > 0 for each in result.rules)
    steps = [event["do"] for event in read(folder / "fleet.tap") if event["what"] == "step"]
    assert steps == [
        "start",
        "crash",
        "stall",
        "cut",
        "lose_zone",
        "zone_back",
        "restart",
        "restart",
        "restart",
    ]
    assert (
        result.times.crash is not None and result.times.crash > 1.0
    )  # nobody is dead before the pause is over
    assert (
        result.times.zone_lost is not None and result.times.zone_lost > 2.0
    )  # many at once: twice that
    assert (
        result.owner_sent > 0
        and result.times.owner is not None
        and result.times.owner_again is not None
    )
    assert result.stood_still >= 1
    costs = [each for each in (result.broker, result.member, result.model.cost) if each is not None]
    assert len(costs) == 3 and all(each.sent > 0 for each in costs) and costs[1].cpu > 0
    assert 'tenant "of-b1"' in (folder / "broker-1.hcl").read_text()
    assert not started_by(folder)


def test_whoever_interrupts_it_leaves_no_process_behind(tmp_path: Path) -> None:
    folder = tmp_path / "run"

    def as_from_a_terminal() -> None:
        """Where the tests run in the background of a shell, SIGINT is ignored, and a child would inherit that."""
        signal.signal(signal.SIGINT, signal.SIG_DFL)

    with subprocess.Popen(
        [*COMMAND, "--out", str(folder)], stderr=subprocess.PIPE, preexec_fn=as_from_a_terminal
    ) as run:
        assert run.stderr is not None
        while b"start " not in (
            line := run.stderr.readline()
        ):  # all processes are up, and members start
            assert line, "it ended early"
        processes = started_by(folder)
        run.send_signal(signal.SIGINT)
        run.stderr.read()
    assert run.returncode not in (0, None) and len(processes) == 9
    assert not started_by(folder)


@pytest.mark.parametrize(
    ("machine", "lacking"),
    [
        (Machine(2 * needs(ScalePlan(Path())).memory - 2, 10**6), "memory"),
        (Machine(10**12, needs(ScalePlan(Path())).descriptors - 1), "descriptors"),
    ],
)
def test_a_run_that_has_no_room_is_told_what_it_lacks(machine: Machine, lacking: str) -> None:
    plan = ScalePlan(Path())
    assert refusal(plan, AMPLE) == ""
    assert refusal(plan, machine).startswith(f"not enough {lacking}: ")
    assert refusal(plan, Machine(2 * needs(plan).memory, needs(plan).descriptors)) == ""


def test_the_command_refuses_in_one_line_before_anything_is_started(tmp_path: Path) -> None:
    folder = tmp_path / "run"
    limited = f'ulimit -n 200 && exec "$0" "$@" --out {folder}'
    done = subprocess.run(
        ["sh", "-c", limited, *COMMAND], capture_output=True, text=True, env=dict(os.environ)
    )
    assert done.returncode == 2 and not folder.exists()
    assert done.stderr.startswith("error: not enough descriptors") and done.stderr.count("\n") == 1
