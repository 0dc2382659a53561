"""Tests of the simulator adapter in a real process, started with the command of the deploy file."""

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
NS = 1_000_000_000

PROFILE: dict[str, Any] = {
    "allowed": {
        "cancelling": True,
        "max-attempts": 3,
        "max-retry-after-ns": NS,
        "may-duplicate": True,
        "open-cap": 200,
        "probing": False,
        "retry-after": True,
        "something-new": 1,
    },
    "balancers": 2,
    "callers": {"marks-retry": True},
    "deductions": {"late-fail": 0.08, "waste": 0.08},
    "discovery": "push",
    "family-info": {
        "call-ns": 0,
        "cells": 2,
        "class-fetch": [0, 0],
        "class-floor": [0.5, 1.0],
        "class-need": [1.0, 1.0],
        "partial-earns": [0.9, 0.9],
        "parts-a-call": 1,
        "ranges": 4,
        "span": 1,
    },
    "lanes": [
        {
            "deadline-ns": 3 * NS,
            "idempotency": "idempotent",
            "late-value": 0.0,
            "name": "part",
            "points": 3.0,
            "slo-ns": NS,
        },
        {
            "deadline-ns": 3 * NS,
            "idempotency": "at_most_once",
            "late-value": 0.0,
            "name": "once",
            "points": 1.0,
            "slo-ns": NS,
        },
    ],
    "me": 0,
    "my-zone": "east",
    "period-ns": 5_000_000,
    "projects": [{"name": "club", "quota-per-s": 12.0, "share": 1.0}],
    "rules": {
        "cold-from": 0.15,
        "cold-ns": 18 * NS,
        "drain-grace-ns": 2 * NS,
        "fall-ns": NS,
        "grace-to-answer-ns": 20_000_000,
        "tip-multiple": 4.0,
    },
}
SERVERS = [
    {
        "node": f"node.{cell}{letter}",
        "locality": "east",
        "generation-hw": "m",
        "set-no": cell,
        "lifecycle": "live",
        "size": 1,
        "brand-new": True,
    }
    for cell in range(2)
    for letter in "abc"
]


def command() -> list[str]:
    """The command of the deploy file, with this interpreter instead of the one in the built environment."""
    sim = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    assert sim.startswith("exec .venv/bin/python ")
    return ["/bin/sh", "-c", sim.replace(".venv/bin/python", sys.executable)]


def run_adapter(lines: list[str]) -> tuple[list[dict[str, Any]], str, int]:
    done = subprocess.run(
        command(),
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        env={"PATH": os.environ["PATH"]},
        check=False,
    )
    return [json.loads(line) for line in done.stdout.splitlines()], done.stderr, done.returncode


def batch(serial: int, clock: float, *items: dict[str, Any]) -> str:
    return json.dumps({"serial": serial, "clock-ns": round(clock * NS), "items": list(items)})


def start(instance: str, seed: int, profile: dict[str, Any] | None = None) -> list[dict[str, Any]]:
    return [
        {"START": {"i": instance, "prng": seed, "profile-data": profile or PROFILE}},
        {"LIST": {"table": 0, "lines": SERVERS}},
        {"SYNC": {"i": instance, "generation": 1, "mode": "cached", "table": 0}},
    ]


def ask(instance: str, first_id: int, category: str, parts: int) -> list[dict[str, Any]]:
    common = {"i": instance, "category": category, "billing": "club", "whole-no": first_id}
    return [
        {
            "ASK": common
            | {"request-id": first_id, "shard": -1, "amount": parts, "valid-until-ns": 13 * NS}
        }
    ] + [
        {
            "ASK": common
            | {
                "request-id": first_id + 1 + shard,
                "shard": shard,
                "amount": 1 / parts,
                "valid-until-ns": 13 * NS,
            }
        }
        for shard in range(parts)
    ]


def actions_named(reply: dict[str, Any], name: str) -> list[dict[str, Any]]:
    return [action[name] for action in reply["outbox"] if name in action]


def test_a_query_is_sent_and_answered() -> None:
    good = {"ending": "GOOD", "terminal": True, "wait-time-ns": 90_000_000, "go": 0}
    lines = [
        batch(0, 9.0),
        batch(1, 10.0, *start("broker-0", 5)),
        batch(2, 10.0, *ask("broker-0", 70, "part", 2)),
    ]
    sent = actions_named(run_adapter(lines)[0][2], "RELAY")
    assert [action["request-id"] for action in sent] == [71, 72]
    assert all(0 < action["max-wait-ns"] <= NS for action in sent)
    lines.append(
        batch(
            3,
            10.1,
            *[
                {
                    "RESPONSE": {
                        "i": "broker-0",
                        "request-id": action["request-id"],
                        "node": action["node"],
                        **good,
                    }
                }
                for action in sent
            ],
        )
    )
    replies, _, code = run_adapter(lines)
    assert code == 0 and [reply["serial"] for reply in replies] == [0, 1, 2, 3]
    assert actions_named(replies[3], "ASSEMBLE") == [
        {"i": "broker-0", "request-id": 70, "on": True}
    ]


def test_one_process_and_several_act_alike() -> None:
    def lines(instances: list[str]) -> list[str]:
        boot = [item for name in instances for item in start(name, int(name[-1]) + 3)]
        work = [
            item for name in instances for item in ask(name, 100 * int(name[-1]) + 100, "part", 4)
        ]
        return [batch(0, 10.0, *boot), batch(1, 10.0, *work), batch(2, 11.5)]

    names = ["broker-0", "broker-1", "broker-2"]
    together = [action for reply in run_adapter(lines(names))[0] for action in reply["outbox"]]
    for name in names:
        alone = [action for reply in run_adapter(lines([name]))[0] for action in reply["outbox"]]
        assert alone and alone == [
            action for action in together if next(iter(action.values()))["i"] == name
        ]


def test_a_killed_instance_loses_its_state_and_may_start_again_in_the_same_batch() -> None:
    lines = [
        batch(0, 10.0, *start("broker-0", 5)),
        batch(1, 10.0, *ask("broker-0", 70, "part", 2)),
        batch(2, 10.1, {"CRASH_NOW": {"i": "broker-0"}}, *start("broker-0", 6)),
        batch(
            3,
            10.2,
            {"DUE": {"i": "broker-0", "ctx": 71}},
            {"DROPPED": {"i": "broker-0", "request-id": 70}},
        ),
        batch(4, 10.3, {"CRASH_NOW": {"i": "broker-0"}}, {"DUE": {"i": "broker-0", "ctx": 1}}),
    ]
    replies, _, code = run_adapter(lines)
    assert code == 0
    assert not any(
        actions_named(reply, name)
        for reply in replies[2:]
        for name in ("ASSEMBLE", "NOT_NOW", "RELAY")
    )


def test_a_list_number_may_be_reused_within_a_batch() -> None:
    one, two = SERVERS[:1], SERVERS[1:2]
    lines = [
        batch(
            0,
            10.0,
            *start("broker-0", 5)[:1],
            {"LIST": {"table": 3, "lines": one}},
            {"SYNC": {"i": "broker-0", "generation": 1, "mode": "cached", "table": 3}},
            {"LIST": {"table": 3, "lines": two}},
            {"SYNC": {"i": "broker-0", "generation": 2, "mode": "full", "table": 3}},
        ),
        batch(1, 10.0, *ask("broker-0", 70, "part", 1)),
    ]
    assert [action["node"] for action in actions_named(run_adapter(lines)[0][1], "RELAY")] == [
        "node.0b"
    ]


def test_unknown_events_keys_and_columns_are_skipped() -> None:
    lines = [
        batch(0, 10.0, *start("broker-0", 5), {"NOVELTY": {"i": "broker-0"}}),
        batch(
            1,
            10.0,
            {
                "RESPONSE": {
                    "i": "broker-0",
                    "request-id": 9,
                    "ending": "GOOD",
                    "terminal": True,
                    "node": "node.0a",
                    "wait-time-ns": 1,
                    "go": 0,
                    "health-info": {"unheard-of": 7, "util": None},
                }
            },
        ),
    ]
    replies, errors, code = run_adapter(lines)
    assert code == 0 and not errors and replies[1]["outbox"] == []


@pytest.mark.parametrize(
    "line",
    [
        "{",
        "[]",
        "3",
        '{"serial":1}',
        batch(1, 1.0, {"ASK": {"i": "broker-0"}}),
        batch(1, 1.0, {"START": {"i": "broker-0", "prng": 1, "profile-data": {}}}),
        batch(1, 1.0, {"SYNC": {"i": "x", "mode": "full", "table": 9}}),
        batch(1, 1.0, {"A": {}, "B": {}}),
    ],
)
def test_a_malformed_line_ends_the_process_with_one_line_on_stderr(line: str) -> None:
    replies, errors, code = run_adapter([batch(0, 1.0), line])
    assert code != 0 and len(replies) == 1
    assert len(errors.splitlines()) == 1 and errors.startswith("benchlink: ")


@pytest.mark.parametrize(
    "section,key",
    [
        ("allowed", "max-attempts"),
        ("rules", "tip-multiple"),
        ("family-info", "cells"),
        (None, "lanes"),
        (None, "balancers"),
    ],
)
def test_a_missing_setting_ends_the_process(section: str | None, key: str) -> None:
    profile = json.loads(json.dumps(PROFILE))
    del (profile[section] if section else profile)[key]
    _, errors, code = run_adapter([batch(0, 1.0, *start("broker-0", 1, profile))])
    assert code != 0 and len(errors.splitlines()) == 1 and key in errors


def test_a_failing_module_is_named_in_an_internal_error() -> None:
    work = ask("broker-0", 70, "part", 1)
    work[1]["ASK"]["amount"] = "much"
    replies, _, _ = run_adapter([batch(0, 10.0, *start("broker-0", 5)), batch(1, 10.0, *work)])
    (fields,) = actions_named(replies[1], "INTERNAL_ERROR")
    assert fields["i"] == "broker-0" and "TypeError" in fields["reason-text"]
