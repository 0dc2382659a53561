"""A short bad day on real processes is clean, and the audit catches a planted breach of each rule in its records."""

from __future__ import annotations

import copy
import fcntl
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from stepknot.cli.main import cli
from stepknot.simulation.audit import Event, Records, audit, drains_kept, part_names
from stepknot.simulation.day import run_day
from stepknot.simulation.fleet import readable
from stepknot.simulation.script import built_in, from_journal, read_script


@pytest.fixture(scope="module")
def folder(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder: Path = tmp_path_factory.mktemp("day")
    run_day(folder, built_in(10.0, 25.0), 2, 8, 1500, 1, lambda text: None, cold_time=3.0)
    return folder


@pytest.fixture
def records(folder: Path) -> Records:
    return Records.load(folder)


def broken(records: Records) -> list[str]:
    return [report.rule[0] for report in audit(records) if report.broken]


def test_a_bad_day_breaks_no_rule_and_each_was_checked(records: Records) -> None:
    reports = audit(records)
    assert [report.breaches for report in reports] == [[]] * 6
    assert all(report.checks > 0 for report in reports)
    for front in ("search", "graphql"):
        names = {each["query"] for each in records.client if each.get("front") == front}
        assert (
            sum(each["what"] == "answered" and each["query"] in names for each in records.client)
            > 50
        )
    assert sum("entities_wrong" in each for each in records.client) > 10
    done = {event["do"] for event in records.fleet if event["what"] == "step"}
    assert {
        "crash",
        "hang",
        "fail_fast",
        "drain",
        "kill_broker",
        "stall_broker",
        "lost",
        "cut",
        "flood",
    } <= done
    assert {"ran", "fault", "up", "call", "write"} <= {event["what"] for event in records.boxes}
    assert {"answered", "hung_up"} <= {event["what"] for event in records.client}


def one(events: list[Event], **wanted: object) -> Event:
    return next(
        each for each in events if all(each.get(key) == value for key, value in wanted.items())
    )


def entity_told_wrongly(records: Records) -> None:
    next(each for each in records.client if "entities_wrong" in each)["entities_wrong"] = 1


def answered(records: Records, kind: str, status: int) -> Event:
    names = {
        each["query"] for each in records.client if each["what"] == "asked" and each["kind"] == kind
    }
    return next(
        each
        for each in records.client
        if each["what"] == "answered"
        and each["query"] in names
        and each["status"] == status
        and not each.get("failed_shards")
    )


def second_answer(records: Records) -> None:
    records.client.append(copy.deepcopy(answered(records, "get", 200)))


def bytes_after(records: Records) -> None:
    event = answered(records, "get", 200)
    records.client.append(
        {"t": event["t"] + 0.1, "what": "extra_bytes", "query": event["query"], "bytes": 5}
    )


def late_answer(records: Records) -> None:
    answered(records, "search", 200)["t"] += 10


def part_after_the_end(records: Records) -> None:
    event = answered(records, "search", 200)
    call = next(
        each
        for each in records.boxes
        if each["what"] == "call" and event["query"] in part_names(each)
    )
    records.boxes.append({**call, "t": event["t"] + 1.0})


def unsafe_twice(records: Records) -> None:
    write = next(
        each for each in records.boxes if each["what"] == "write" and each["actions"] == ["create"]
    )
    records.boxes.append({**write, "t": write["t"] + 0.1, "who": "another"})


def ran_though_refused(records: Records) -> None:
    event = answered(records, "create", 201)
    event["status"] = 429


def repeat_after_the_window(records: Records) -> None:
    write = next(
        each for each in records.boxes if each["what"] == "write" and each["actions"] == ["index"]
    )
    records.boxes.append({**write, "t": write["t"] + 3.5})


def work_after_a_drain(records: Records) -> None:
    lists = [each for each in records.fleet if each["what"] == "list"]
    drained = next(each for each in lists if any(state == "draining" for _, state in each["boxes"]))
    address = next(address for address, state in drained["boxes"] if state == "draining")
    call = next(each for each in records.boxes if each["what"] == "call")
    back = next(
        (
            each["t"]
            for each in lists
            if each["t"] > drained["t"] and [address, "live"] in each["boxes"]
        ),
        drained["t"] + 10,
    )
    for (
        each
    ) in records.fleet:  # the window of the day is shorter than the grace: make it long enough
        if each["t"] >= back:
            each["t"] += 10
            if "before" in each:
                each["before"] += 10
    records.boxes.append({**call, "who": address, "t": drained["t"] + 2.0, "parts": []})


def a_box_fell(records: Records) -> None:
    records.boxes.append({"t": 1.0, "who": "a box", "what": "fell", "age": 0.5})


def a_wrong_total(records: Records) -> None:
    answered(records, "search", 200)["total"]["value"] += 1


def whole_that_is_not(records: Records) -> None:
    event = answered(records, "search", 200)
    event["failed_shards"] = [3]


def under_the_floor(records: Records) -> None:
    event = answered(records, "search", 200)
    event["failed_shards"] = list(range(6))


def too_many_attempts(records: Records) -> None:
    call = next(each for each in records.boxes if each["what"] == "call" and each["parts"])
    records.boxes.extend({**call} for _ in range(800))


@pytest.mark.parametrize(
    ("plant", "rule"),
    [
        (second_answer, "1"),
        (bytes_after, "1"),
        (late_answer, "1"),
        (part_after_the_end, "1"),
        (unsafe_twice, "2"),
        (ran_though_refused, "2"),
        (repeat_after_the_window, "2"),
        (work_after_a_drain, "3"),
        (a_box_fell, "4"),
        (a_wrong_total, "5"),
        (whole_that_is_not, "5"),
        (entity_told_wrongly, "5"),
        (under_the_floor, "5"),
        (too_many_attempts, "6"),
    ],
)
def test_a_planted_breach_is_caught(
    records: Records, plant: Callable[[Records], None], rule: str
) -> None:
    plant(records)
    assert rule in broken(records)


def test_work_for_a_box_that_is_listed_again_is_no_breach_though_the_note_of_it_comes_later(
    records: Records,
) -> None:
    """A broker may read the list as soon as it is there: the laboratory's note of it takes a moment more."""

    def breaches(at: float) -> int:
        lists = [(0.0, "live"), (10.0, "draining"), (14.0, "live")]
        records.fleet = [
            {"t": each, "before": each - 0.1, "what": "list", "boxes": [["box", state]]}
            for each, state in lists
        ]
        records.boxes = [{"t": at, "who": "box", "what": "call", "parts": []}]
        return drains_kept(records).broken

    assert breaches(13.95) == 0
    assert breaches(13.85) == 1


def test_the_audit_command_tells_by_its_exit_code(folder: Path, tmp_path: Path) -> None:
    clean = CliRunner().invoke(cli, ["audit", str(folder)])
    assert clean.exit_code == 0 and clean.output.count("kept") >= 6
    assert CliRunner().invoke(cli, ["audit", str(tmp_path)]).exit_code == 2


def test_scripts_are_read_and_their_errors_have_lines(tmp_path: Path) -> None:
    path = tmp_path / "day.hcl"
    path.write_text(
        'seconds = 12\nstep {\n  at = "3s"\n  do = "crash"\n  boxes = 2\n  for = 0.25\n}\n'
    )
    script = read_script(path, rate=5.0)
    assert (script.seconds, script.rate) == (12, 5)
    assert (script.steps[0].at, script.steps[0].lasts, script.steps[0].boxes) == (3.0, 3.0, 2)
    path.write_text('step {\n  at = "3s"\n  do = "explode"\n}\n')
    result = CliRunner().invoke(cli, ["day", str(path)])
    assert result.exit_code == 2 and f"{path}:3: step.do: expected one of" in result.output


def test_a_bench_days_troubles_become_steps_in_their_order(tmp_path: Path) -> None:
    path = tmp_path / "entry.json"
    path.write_text(
        '{"days": [{"name": "rough-1", "troubles": ["burst", "crash", "idle_reap", "answer_lost"]}]}'
    )
    script, left_out = from_journal(path, "rough-1", 20.0, 30.0)
    assert [step.do for step in script.steps] == ["burst", "crash", "lost"] and left_out == [
        "idle_reap"
    ]


def test_process_is_read_where_descriptors_have_large_numbers() -> None:
    """`select` takes descriptors below 1,024 alone: a run in a process that holds more ended with an error."""
    process = subprocess.Popen([sys.executable, "-c", "print(1)"], stdout=subprocess.PIPE)
    assert process.stdout is not None
    number = fcntl.fcntl(process.stdout, fcntl.F_DUPFD, 1024)
    process.stdout.close()
    process.stdout = os.fdopen(number, "rb")
    process.wait()
    assert readable(process)
    process.stdout.close()
